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
import reedspring.rig.fleet.Timetable.Link;
import reedspring.rig.fleet.Timetable.Mix;
import reedspring.rig.fleet.Timetable.What;

/**
 * The fault soak: started fronts under a day that the seed draws, with several troubles that overlap, judged
 * from outside by {@link Rules} with the limits of the operators' pages. A find is its seed: the same number
 * draws the same fleet, the same troubles and the same moments.
 *
 * <p>{@code [--seed N] [--runs N] [--fronts N] [--home DIR]}: bench/soak. {@code home} is another checkout
 * that is built.
 */
public final class Soak {
    private static final int USAGE = 64;
    private static final long SECOND = 10_000;
    private static final long LENGTH = 10 * SECOND;
    private static final long SETTLE = 7 * SECOND;
    /** One day in so many has short deadlines, so that SIGKILL comes soon after SIGTERM. */
    private static final int SHORT_PATIENCE_ONE_IN = 3;

    /** What a run came to. */
    private enum Verdict { KEPT, BROKEN, VOID }

    private Soak() {
    }

    /** The day of that seed, of a fleet as it draws it. */
    static Timetable day(long seed) {
        return day(seed, 0);
    }

    /** The same with so many fronts; 0 for as many as the seed draws. */
    static Timetable day(long seed, int size) {
        SplittableRandom chance = new SplittableRandom(seed);
        int drawn = 6 + chance.nextInt(9);
        int engines = 5 + chance.nextInt(6);
        Mix mix = new Mix(6 + chance.nextInt(6), 6, new double[] {80, 500, 60}, new double[] {60, 200, 60});
        int patience = chance.nextInt(SHORT_PATIENCE_ONE_IN) == 0 ? 1 : 3;
        int fronts = size > 0 ? size : drawn;
        Timetable bare = new Timetable("soak", fronts, engines, 1 + chance.nextInt(3), new double[] {8, 12},
                4_096, LENGTH, SETTLE, 40 + chance.nextInt(60), mix, 0, 1, 200, patience, 3,
                List.of());
        List<Entry> troubles = new ArrayList<>();
        int count = 4 + chance.nextInt(5);
        List<What> all = List.of(PLAYED);
        for (int k = 0; k < count; k++) {
            troubles.add(trouble(k, all.get(chance.nextInt(all.size())), chance, bare.leavesFor()));
        }
        return bare.with("soak " + seed, apart(troubles));
    }

    private static final What[] PLAYED = {What.REFUSE, What.CUT, What.RESET, What.HALF_OPEN, What.DELAY,
        What.KILL, What.STOP, What.LEAVE, What.FAIL, What.SLOW, What.SILENT, What.HANG, What.FORGET,
                What.COPIES,
        What.SPOIL, What.DRAIN, What.REPLACE, What.ACCEPT_FAILS, What.CONNECT_FAILS, What.INTERRUPTS,
        What.CLOCK_FORWARD, What.CLOCK_BACK, What.RELOAD, What.GIVE_UP, What.SLOW_CLIENTS, What.BAD_CLIENTS,
        What.PIPELINE, What.BURST, What.STOP, What.LEAVE, What.LEAVE, What.DRAIN, What.REPLACE,
        What.START_FAILS, What.START_FAILS, What.SIGNALS, What.SIGNALS, What.NO_THREADS,
        What.IDLE_CROWD, What.COPIED_TRACES,
        What.COPIED_TRACES};

    private static Entry trouble(int number, What what, SplittableRandom chance, long leavesFor) {
        // Most of them meet in the middle of the day.
        long at = SECOND + chance.nextLong(5 * SECOND);
        long span = SECOND + chance.nextLong(4 * SECOND);
        String fronts = chance.nextInt(3) == 0 ? "all" : (20 + chance.nextInt(60)) + "%";
        String engines = (15 + chance.nextInt(30)) + "%";
        Link link = what.ofLinks() ? chance.nextInt(3) == 0 ? Link.JOURNAL : Link.ENGINE : Link.ENGINE;
        long by = (100 + chance.nextInt(400)) * 10L;
        double times = 2 + chance.nextInt(3);
        switch (what) {
            case STOP -> span = (100 + chance.nextInt(1_400)) * 10L;
            case LEAVE -> span = leavesFor;
            case START_FAILS -> {
                // From before the first start that a trouble of the day brings, to after the last.
                at = 0;
                span = LENGTH;
            }
            case KILL -> span = SECOND / 2;
            case CLOCK_FORWARD, CLOCK_BACK -> by = chance.nextBoolean() ? 3_600 * SECOND : 5 * SECOND;
            case BURST -> times = 2;
            case HANG -> span = SECOND + chance.nextLong(3 * SECOND);
            default -> {
                // as drawn
            }
        }
        if (what == What.KILL || what == What.LEAVE) {
            fronts = (15 + chance.nextInt(30)) + "%";
        }
        return new Entry("trouble " + number + " " + what, at, span, what, link, fronts, engines, by, times,
                1 << 20);
    }

    /** A front is killed or told to end once; two of that in one day would be two starts at once. */
    private static List<Entry> apart(List<Entry> troubles) {
        List<Entry> kept = new ArrayList<>();
        for (Entry each : troubles) {
            boolean ends = each.what() == What.KILL || each.what() == What.LEAVE;
            boolean twice = kept.stream().anyMatch(e -> e.what() == each.what()
                    || ends && (e.what() == What.KILL || e.what() == What.LEAVE));
            if (!twice) {
                kept.add(each);
            }
        }
        return kept;
    }

    /** What is played, for those who read a find. */
    static String story(Timetable day) {
        return day.fronts() + " fronts, " + day.engines() + " engines: " + day.entries().stream()
                .sorted((a, b) -> Long.compare(a.at(), b.at()))
                .map(e -> String.format(Locale.ROOT, "%s %.1f to %.1f s%s", e.what(),
                        e.at() / (double) SECOND,
                        e.until() / (double) SECOND, e.what().ofLinks() ? " of " + e.link() : ""))
                .collect(Collectors.joining("; "));
    }

    /** One run by the limits of the terms; throws what broke. */
    public static Tally play(long seed, int size, Path home) throws Exception {
        return Fleet.play(day(seed, size), seed, home, Rules.Slack.TERMS);
    }

    public static void main(String[] args) throws IOException {
        long seed = 1;
        int runs = 1;
        int size = 0;
        Path home = Path.of(".");
        for (int k = 0; k < args.length; k++) {
            boolean more = k + 1 < args.length;
            if (args[k].equals("--seed") && more && args[k + 1].matches("[0-9]{1,18}")) {
                seed = Long.parseLong(args[++k]);
            } else if (args[k].equals("--runs") && more && args[k + 1].matches("[0-9]{1,4}")) {
                runs = Integer.parseInt(args[++k]);
            } else if (args[k].equals("--fronts") && more && args[k + 1].matches("[1-9][0-9]{0,2}")) {
                size = Integer.parseInt(args[++k]);
            } else if (args[k].equals("--home") && more) {
                home = Path.of(args[++k]);
            } else {
                System.err.println("usage: bench/soak [--seed N] [--runs N] [--fronts N] [--home DIR]");
                System.exit(USAGE);
            }
        }
        Map<Verdict, Integer> verdicts = new EnumMap<>(Verdict.class);
        for (long each = seed; each < seed + runs; each++) {
            verdicts.merge(told(each, size, home), 1, Integer::sum);
        }
        int broken = verdicts.getOrDefault(Verdict.BROKEN, 0);
        System.out.println("runs=" + runs + " kept=" + verdicts.getOrDefault(Verdict.KEPT, 0) + " broken="
                + broken + " void=" + verdicts.getOrDefault(Verdict.VOID, 0) + " seed=" + seed);
        System.exit(broken == 0 ? 0 : 1);
    }

    private static Verdict told(long seed, int size, Path home) {
        String story = story(day(seed, size));
        try {
            System.err.println("seed " + seed + ": kept, " + play(seed, size, home) + "; " + story);
            return Verdict.KEPT;
        } catch (Rules.VoidRunException e) {
            System.err.println("seed " + seed + ": void, " + e.getMessage());
            return Verdict.VOID;
        } catch (Exception | AssertionError e) {
            System.err.println("seed " + seed + ": BROKEN " + e.getMessage() + "; " + story);
            return Verdict.BROKEN;
        }
    }
}
