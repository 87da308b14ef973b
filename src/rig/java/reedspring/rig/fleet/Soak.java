package reedspring.rig.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import reedspring.rig.fleet.Timetable.Entry;
import reedspring.rig.fleet.Timetable.EntryType;
import reedspring.rig.fleet.Timetable.Link;
import reedspring.rig.fleet.Timetable.Mix;

/**
 * A randomized fault test: front processes run under a timetable drawn from the seed, with several
 * overlapping faults, and {@link RunChecker} checks them from outside with the limits of the operators'
 * documentation. The same seed draws the same fleet, faults and times, so a failure is reproduced by its
 * seed.
 *
 * <p>Started by bench/soak with {@code [--seed N] [--runs N] [--fronts N] [--home DIR]}, where {@code DIR}
 * is another checkout that has been built.
 */
public final class Soak {
    private static final int EXIT_USAGE = 64;
    private static final long TICKS_PER_SECOND = 10_000;
    private static final long LENGTH_TICKS = 10 * TICKS_PER_SECOND;
    private static final long SETTLE_TICKS = 7 * TICKS_PER_SECOND;
    /** One timetable in so many has short deadlines, so that SIGKILL comes soon after SIGTERM. */
    private static final int SHORT_PATIENCE_ONE_IN = 3;

    /** The verdict on a run; a run is void if the rig itself stalled. */
    private enum Verdict { RULES_KEPT, RULE_BROKEN, VOID }

    private Soak() {
    }

    /** Draws the timetable of the seed, including the number of fronts. */
    static Timetable drawTimetable(long seed) {
        return drawTimetable(seed, 0);
    }

    /**
     * Draws the timetable of the seed with {@code frontCount} fronts; 0 for the number that the seed draws.
     */
    static Timetable drawTimetable(long seed, int frontCount) {
        SplittableRandom random = new SplittableRandom(seed);
        int drawnFronts = 6 + random.nextInt(9);
        int engines = 5 + random.nextInt(6);
        Mix mix = new Mix(6 + random.nextInt(6), 6, new double[] {80, 500, 60}, new double[] {60, 200, 60});
        int patience = random.nextInt(SHORT_PATIENCE_ONE_IN) == 0 ? 1 : 3;
        int fronts = frontCount > 0 ? frontCount : drawnFronts;
        Timetable withoutEntries = new Timetable("soak", fronts, engines, 1 + random.nextInt(3),
                new double[] {8, 12},
                4_096, LENGTH_TICKS, SETTLE_TICKS, 40 + random.nextInt(60), mix, 0, 1, 200, patience, 3,
                List.of());
        List<Entry> drawnEntries = new ArrayList<>();
        int count = 4 + random.nextInt(5);
        List<EntryType> types = List.of(DRAWN_TYPES);
        for (int k = 0; k < count; k++) {
            drawnEntries.add(drawEntry(k, types.get(random.nextInt(types.size())), random,
                    withoutEntries.shutdownTicks()));
        }
        return withoutEntries.withEntries("soak " + seed, withoutRepeats(drawnEntries));
    }

    private static final EntryType[] DRAWN_TYPES = {
        EntryType.REFUSE, EntryType.CUT, EntryType.RESET, EntryType.HALF_OPEN, EntryType.DELAY,
        EntryType.KILL, EntryType.STOP, EntryType.LEAVE, EntryType.FAIL, EntryType.SLOW, EntryType.SILENT,
        EntryType.HANG, EntryType.FORGET, EntryType.COPIES, EntryType.SPOIL, EntryType.DRAIN,
        EntryType.REPLACE, EntryType.ACCEPT_FAILS, EntryType.CONNECT_FAILS, EntryType.INTERRUPTS,
        EntryType.CLOCK_FORWARD, EntryType.CLOCK_BACK, EntryType.RELOAD, EntryType.GIVE_UP,
        EntryType.SLOW_CLIENTS, EntryType.BAD_CLIENTS, EntryType.PIPELINE, EntryType.BURST, EntryType.STOP,
        EntryType.LEAVE, EntryType.LEAVE, EntryType.DRAIN, EntryType.REPLACE, EntryType.START_FAILS,
        EntryType.START_FAILS, EntryType.SIGNALS, EntryType.SIGNALS, EntryType.NO_THREADS,
        EntryType.IDLE_CROWD, EntryType.COPIED_TRACES, EntryType.COPIED_TRACES};

    private static Entry drawEntry(int number, EntryType type, SplittableRandom random, long shutdownTicks) {
        // Most faults overlap in the middle of the run.
        long at = TICKS_PER_SECOND + random.nextLong(5 * TICKS_PER_SECOND);
        long span = TICKS_PER_SECOND + random.nextLong(4 * TICKS_PER_SECOND);
        String fronts = random.nextInt(3) == 0 ? "all" : (20 + random.nextInt(60)) + "%";
        String engines = (15 + random.nextInt(30)) + "%";
        Link link = type.affectsLinks() ? random.nextInt(3) == 0 ? Link.JOURNAL : Link.ENGINE : Link.ENGINE;
        long byTicks = (100 + random.nextInt(400)) * 10L;
        double times = 2 + random.nextInt(3);
        switch (type) {
            case STOP -> span = (100 + random.nextInt(1_400)) * 10L;
            case LEAVE -> span = shutdownTicks;
            case START_FAILS -> {
                // Covers every restart that another entry of the run causes.
                at = 0;
                span = LENGTH_TICKS;
            }
            case KILL -> span = TICKS_PER_SECOND / 2;
            case CLOCK_FORWARD, CLOCK_BACK -> byTicks = random.nextBoolean() ? 3_600 * TICKS_PER_SECOND
                    : 5 * TICKS_PER_SECOND;
            case BURST -> times = 2;
            case HANG -> span = TICKS_PER_SECOND + random.nextLong(3 * TICKS_PER_SECOND);
            default -> {
                // values as drawn above
            }
        }
        if (type == EntryType.KILL || type == EntryType.LEAVE) {
            fronts = (15 + random.nextInt(30)) + "%";
        }
        return new Entry("trouble " + number + " " + type, at, span, type, link, fronts, engines, byTicks,
                times, 1 << 20);
    }

    /**
     * Keeps one entry of each type, and one of KILL and LEAVE, as two would restart a front twice at once.
     */
    private static List<Entry> withoutRepeats(List<Entry> entries) {
        List<Entry> kept = new ArrayList<>();
        for (Entry entry : entries) {
            boolean endsFront = entry.type() == EntryType.KILL || entry.type() == EntryType.LEAVE;
            boolean repeats = kept.stream().anyMatch(e -> e.type() == entry.type()
                    || endsFront && (e.type() == EntryType.KILL || e.type() == EntryType.LEAVE));
            if (!repeats) {
                kept.add(entry);
            }
        }
        return kept;
    }

    /** Describes the timetable for the report of a run. */
    static String describe(Timetable timetable) {
        return timetable.fronts() + " fronts, " + timetable.engines() + " engines: "
                + timetable.entries().stream()
                .sorted((a, b) -> Long.compare(a.startTicks(), b.startTicks()))
                .map(e -> String.format(Locale.ROOT, "%s %.1f to %.1f s%s", e.type(),
                        e.startTicks() / (double) TICKS_PER_SECOND,
                        e.endTicks() / (double) TICKS_PER_SECOND, e.type().affectsLinks() ? " of " + e.link()
                        : ""))
                .collect(Collectors.joining("; "));
    }

    /** Plays one run with the documented limits; throws on the first broken rule. */
    public static RunSummary play(long seed, int frontCount, Path home) throws Exception {
        return Fleet.play(drawTimetable(seed, frontCount), seed, home, RunChecker.Tolerances.DOCUMENTED);
    }

    public static void main(String[] args) throws IOException {
        long seed = 1;
        int runs = 1;
        int frontCount = 0;
        Path home = Path.of(".");
        for (int k = 0; k < args.length; k++) {
            boolean hasValue = k + 1 < args.length;
            if (args[k].equals("--seed") && hasValue && args[k + 1].matches("[0-9]{1,18}")) {
                seed = Long.parseLong(args[++k]);
            } else if (args[k].equals("--runs") && hasValue && args[k + 1].matches("[0-9]{1,4}")) {
                runs = Integer.parseInt(args[++k]);
            } else if (args[k].equals("--fronts") && hasValue && args[k + 1].matches("[1-9][0-9]{0,2}")) {
                frontCount = Integer.parseInt(args[++k]);
            } else if (args[k].equals("--home") && hasValue) {
                home = Path.of(args[++k]);
            } else {
                System.err.println("usage: bench/soak [--seed N] [--runs N] [--fronts N] [--home DIR]");
                System.exit(EXIT_USAGE);
            }
        }
        Map<Verdict, Integer> verdicts = new EnumMap<>(Verdict.class);
        for (long each = seed; each < seed + runs; each++) {
            verdicts.merge(playAndReport(each, frontCount, home), 1, Integer::sum);
        }
        int broken = verdicts.getOrDefault(Verdict.RULE_BROKEN, 0);
        System.out.println("runs=" + runs + " kept=" + verdicts.getOrDefault(Verdict.RULES_KEPT, 0)
                + " broken="
                + broken + " void=" + verdicts.getOrDefault(Verdict.VOID, 0) + " seed=" + seed);
        System.exit(broken == 0 ? 0 : 1);
    }

    private static Verdict playAndReport(long seed, int frontCount, Path home) {
        String description = describe(drawTimetable(seed, frontCount));
        try {
            System.err.println("seed " + seed + ": kept, " + play(seed, frontCount, home) + "; "
                    + description);
            return Verdict.RULES_KEPT;
        } catch (RunChecker.VoidRunException e) {
            System.err.println("seed " + seed + ": void, " + e.getMessage());
            return Verdict.VOID;
        } catch (Exception | AssertionError e) {
            System.err.println("seed " + seed + ": BROKEN " + e.getMessage() + "; " + description);
            return Verdict.RULE_BROKEN;
        }
    }
}
