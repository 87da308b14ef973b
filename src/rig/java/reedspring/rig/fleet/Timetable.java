package reedspring.rig.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import reedspring.settings.Ini;
import reedspring.settings.SettingsException;

/**
 * A fleet, its load and the scheduled faults, read from one file. Times are in ticks (tenths of a
 * millisecond) from the time when all fronts serve. The fronts and engines that an entry affects are drawn
 * from the run's seed, so the file and the seed determine a run.
 */
public record Timetable(String name, int fronts, int engines, int sites, double[] cores, double memoryMb,
                        long lengthTicks, long settleTicks, double queriesPerSecond, Mix mix, int busyFronts,
                        double busyFactor, int sessions, int patienceFactor, double coldOverloadMultiple,
                        List<Entry> entries) {
    /**
     * The mix of queries: one in {@code longOneIn} is long, one in {@code changeOneIn} is mutating (0: none).
     * Work and memory need are means of log-normal distributions, indexed as {@link FleetSettings#GROUPS}.
     */
    public record Mix(int longOneIn, int changeOneIn, double[] workMs, double[] needMb) {
        public int group(SplittableRandom random) {
            if (changeOneIn > 0 && random.nextInt(changeOneIn) == 0) {
                return FleetSettings.MUTATING_GROUP;
            }
            return random.nextInt(longOneIn) == 0 ? 1 : 0;
        }

        public double workMs(int group, SplittableRandom random) {
            return workMs[group] * Math.exp(random.nextGaussian() - 0.5);
        }

        public double needMb(int group, SplittableRandom random) {
            return needMb[group] * Math.exp(0.7 * random.nextGaussian() - 0.25);
        }

        double meanWorkMs() {
            return (workMs[0] * (longOneIn - 1) + workMs[1]) / longOneIn;
        }
    }

    /** The peer at the end of a link opposite to the front. */
    public enum Link { CLIENT, ENGINE, JOURNAL }

    /** The types of entries. Their order matters: the methods below classify them by ordinal. */
    public enum EntryType {
        /** New connections are refused and open ones reset. */
        REFUSE,
        /** Nothing passes in either direction and connects hang; buffered bytes pass afterwards. */
        CUT,
        /** Like CUT, for the direction from the front only. */
        CUT_THERE,
        /** Like CUT, for the direction to the front only. */
        CUT_BACK,
        /** The far ends of open connections are reset without notice to the near ends; new ones work. */
        HALF_OPEN,
        /** Open connections are reset once. */
        RESET,
        /** Bytes are delayed by {@code byTicks}, with a random variation of up to a half. */
        DELAY,
        /** Bytes pass at the limited rate {@code bytesPerSecond}. */
        THROTTLE,
        /** Fronts receive SIGKILL and are restarted at the end of the span. */
        KILL,
        /** Fronts receive SIGSTOP, and SIGCONT at the end of the span. */
        STOP,
        /** Fronts receive SIGTERM, and at the end of the span SIGKILL and a restart. */
        LEAVE,
        /** Engines answer {@code failed} at once. */
        FAIL,
        /** Engines are slower by the factor {@code times}. */
        SLOW,
        /** Engines execute queries but answer nothing. */
        SILENT,
        /** Engines report that they are idle, whatever their load. */
        LIE,
        /** Engines keep reporting the load of the entry's start. */
        STUCK,
        /** Engines report no load. */
        MUTE,
        /** Engines hang, and send at the end of the span the answers that they withheld. */
        HANG,
        /** Engines close idle connections, some of them after an incomplete answer. */
        FORGET,
        /** Engines send each answer twice. */
        COPIES,
        /** One answer in five is malformed or truncated. */
        SPOIL,
        /** Engines are listed as draining, and as ready again at the end of the span. */
        DRAIN,
        /** Engines are listed as draining and end; a cold engine takes the place of each. */
        REPLACE,
        /** One in {@code times} of the fronts' accepts fails, with each of the documented errors. */
        ACCEPT_FAILS,
        /** One in {@code times} of the fronts' connects and one in twice as many new sockets fail. */
        CONNECT_FAILS,
        /**
         * Every third read and write of the fronts is interrupted; all transfer a few hundred bytes at most.
         */
        INTERRUPTS,
        /** The fronts' wall clock is ahead by {@code byTicks} during the span. */
        CLOCK_FORWARD,
        /** The fronts' wall clock is behind by {@code byTicks} during the span. */
        CLOCK_BACK,
        /** The fronts can create no more threads. */
        NO_THREADS,
        /** System calls fail at the fronts' starts: opening the file, creating a selector, registering. */
        START_FAILS,
        /** {@code times} reloads over the span, each with the journal at another address. */
        RELOAD,
        /** Series of SIGHUP while the configuration file is missing for half of the span. */
        SIGNALS,
        /** Three clients in ten revoke their request or close their connection soon after sending it. */
        GIVE_UP,
        /** One client in six writes its request in chunks over a second or two. */
        SLOW_CLIENTS,
        /**
         * Connections with malformed or partial messages, silence, or many requests and an immediate close.
         */
        BAD_CLIENTS,
        /** Connections with thirty pipelined requests. */
        PIPELINE,
        /** Hundreds of connections that send nothing. */
        IDLE_CROWD,
        /** Connections that reuse the trace of another client's request with another statement. */
        COPIED_TRACES,
        /** Engine lists reach the fronts late. */
        LATE_LIST,
        /** The query rate is multiplied by {@code times}. */
        BURST,
        // The types below belong to the scale run only.
        /** {@code times} configuration changes over the span, each on all fronts. */
        CONFIGURE,
        /** An invalid configuration. */
        CONFIGURE_BAD,
        /** Each engine drains, and another takes its place at the same time. */
        PRIMARY,
        /** Engines disappear without notice, and as many new ones start at the end of the span. */
        LOSE,
        /** The journal service stops with all its watchers connected, and is back at the end of the span. */
        JOURNAL_AWAY;

        /** Whether only bench/scale plays this type. */
        public boolean isScaleOnly() {
            return ordinal() > BURST.ordinal();
        }

        public boolean affectsLinks() {
            return ordinal() <= THROTTLE.ordinal();
        }

        /** Whether the fault shim, a library preloaded into the fronts, implements this type. */
        boolean needsFaultShim() {
            return ordinal() >= ACCEPT_FAILS.ordinal() && ordinal() <= START_FAILS.ordinal();
        }

        boolean affectsEngines() {
            return ordinal() >= FAIL.ordinal() && ordinal() <= REPLACE.ordinal();
        }
    }

    /**
     * One scheduled entry, from {@code startTicks} on for {@code spanTicks}.
     *
     * @param fronts selects the affected fronts
     * @param engines selects the affected engines
     * @param byTicks a delay, a lag or a clock offset, in ticks
     * @param times a factor or a count, by the type
     */
    public record Entry(String title, long startTicks, long spanTicks, EntryType type, Link link,
                        String fronts, String engines, long byTicks, double times, long bytesPerSecond) {
        public long endTicks() {
            return startTicks + spanTicks;
        }
    }

    private static final long TICKS_PER_SECOND = 10_000;
    /** Engines and fronts are assigned to the racks in turn. */
    private static final int RACKS = 50;
    private static final long MAX_SHUTDOWN_PATIENCE_MS = 3_000;
    private static final long KILL_MARGIN_MS = 700;
    private static final int MAX_ONE_IN = 1_000;
    private static final int MAX_FRONTS = 10_000;
    private static final int MAX_ENGINES = 100_000;

    public static Timetable read(Path file) throws SettingsException {
        Ini ini = new Ini(file);
        String fleetSection = "fleet";
        ini.has(fleetSection);
        int fronts = (int) ini.count(fleetSection, "fronts", 8, 1, MAX_FRONTS);
        int engines = (int) ini.count(fleetSection, "engines", 6, 1, MAX_ENGINES);
        List<Entry> entries = new ArrayList<>();
        for (String section : ini.sections()) {
            if (!section.equals(fleetSection)) {
                entries.add(readEntry(ini, section));
            }
        }
        Timetable timetable = new Timetable(file.getFileName().toString(), fronts, engines,
                (int) ini.count(fleetSection, "sites", 1, 1, 26), readCores(ini, fleetSection),
                ini.size(fleetSection, "memory", 4L << 30, 1 << 20, 1L << 50) / (double) (1 << 20),
                ini.duration(fleetSection, "length", 10 * TICKS_PER_SECOND, TICKS_PER_SECOND,
                600 * TICKS_PER_SECOND),
                ini.duration(fleetSection, "settle", 5 * TICKS_PER_SECOND, 0, 60 * TICKS_PER_SECOND),
                ini.count(fleetSection, "queries_a_second", 80, 0, 100_000), mix(ini, fleetSection),
                (int) ini.count(fleetSection, "busy_fronts", 0, 0, fronts),
                ini.count(fleetSection, "busy_times", 1, 1, 100),
                (int) ini.count(fleetSection, "sessions", 200, 1, 100_000),
                (int) ini.count(fleetSection, "patience", 3, 1, 60),
                ini.count(fleetSection, "cold_multiple", 3, 1, 100), List.copyOf(entries));
        for (Entry entry : entries) {
            if (!isSelector(entry.fronts)) {
                ini.fault(entry.title, "fronts", "'" + entry.fronts + "' selects nothing");
            }
            if (!isSelector(entry.engines)) {
                ini.fault(entry.title, "engines", "'" + entry.engines + "' selects nothing");
            }
        }
        ini.finish();
        return timetable;
    }

    private static Mix mix(Ini ini, String section) {
        double shortMs = ini.duration(section, "short_work", 1_200, 10, 600 * TICKS_PER_SECOND) / 10.0;
        double longMs = ini.duration(section, "long_work", 9_000, 10, 600 * TICKS_PER_SECOND) / 10.0;
        double shortMb = ini.size(section, "short_need", 60 << 20, 0, 1L << 50) / (double) (1 << 20);
        double longMb = ini.size(section, "long_need", 250 << 20, 0, 1L << 50) / (double) (1 << 20);
        return new Mix((int) ini.count(section, "long_one_in", 8, 1, MAX_ONE_IN),
                (int) ini.count(section, "change_one_in", 20, 0, MAX_ONE_IN),
                new double[] {shortMs, longMs, shortMs}, new double[] {shortMb, longMb, shortMb});
    }

    private static Entry readEntry(Ini ini, String section) {
        ini.has(section);
        List<String> typeKeys = IntStream.range(0, EntryType.values().length)
                .mapToObj(k -> keyOf(EntryType.values()[k])).toList();
        String typeKey = ini.choice(section, "what", null, typeKeys);
        if (typeKey == null) {
            ini.fault(section, "what", "missing");
        }
        String link = ini.choice(section, "link", "engine", List.of("client", "engine", "journal"));
        return new Entry(section, ini.duration(section, "at", 0, 0, 600 * TICKS_PER_SECOND),
                ini.duration(section, "for", 0, 0, 600 * TICKS_PER_SECOND),
                EntryType.values()[Math.max(0, typeKeys.indexOf(typeKey))], Link.valueOf(link.toUpperCase()),
                ini.any(section, "fronts", "all"), ini.any(section, "engines", "all"),
                ini.duration(section, "by", 0, 0, 60 * TICKS_PER_SECOND),
                readFactor(ini, section), ini.size(section, "rate", 1 << 20, 1, 1L << 40));
    }

    private static String keyOf(EntryType type) {
        return type.name().toLowerCase().replace('_', '-');
    }

    private static double[] readCores(Ini ini, String section) {
        String text = ini.any(section, "cores", "8");
        if (!text.matches("[0-9]{1,4}( [0-9]{1,4})*")) {
            ini.fault(section, "cores", "'" + text + "' is not a list of cores such as 4 8 16");
            return new double[] {8};
        }
        return List.of(text.split(" ")).stream().mapToDouble(Double::parseDouble).toArray();
    }

    private static double readFactor(Ini ini, String section) {
        String text = ini.any(section, "times", "1");
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,2})?")) {
            ini.fault(section, "times", "'" + text + "' is not a factor such as 1.5");
            return 1;
        }
        return Double.parseDouble(text);
    }

    private static boolean isSelector(String selector) {
        return selector.matches("all|none|[0-9]{1,2}%|[0-9]{1,4}|site [a-z]{1,26}|rack [0-9]{1,2}"
                + "|[fe][0-9]{1,5}( [fe][0-9]{1,5})*");
    }

    /** A copy of this timetable with another name and other entries. */
    Timetable withEntries(String otherName, List<Entry> otherEntries) {
        return new Timetable(otherName, fronts, engines, sites, cores, memoryMb, lengthTicks, settleTicks,
                queriesPerSecond, mix,
                busyFronts, busyFactor, sessions, patienceFactor, coldOverloadMultiple,
                List.copyOf(otherEntries));
    }

    /** The ticks from SIGTERM to SIGKILL at least: the longest patience, at most 3 s, and 0.7 s more. */
    long shutdownTicks() {
        long longestMs = 0;
        for (int group = 0; group < FleetSettings.GROUPS.length; group++) {
            longestMs = Math.max(longestMs, FleetSettings.patienceMs(this, group));
        }
        return (Math.min(longestMs, MAX_SHUTDOWN_PATIENCE_MS) + KILL_MARGIN_MS) * 10;
    }

    /** The site of the front or engine with that index. */
    public char site(int index) {
        return (char) ('a' + index % sites);
    }

    public double cores(int engine) {
        return cores[engine % cores.length];
    }

    /** A copy for other numbers of fronts and engines, with the load scaled to the number of engines. */
    public Timetable sized(int otherFronts, int otherEngines) {
        return new Timetable(name, otherFronts, otherEngines, sites, cores, memoryMb, lengthTicks,
                settleTicks, queriesPerSecond * otherEngines / engines, mix,
                busyFronts * otherFronts / fronts, busyFactor, sessions, patienceFactor,
                coldOverloadMultiple, entries);
    }

    /** The front's share of all queries. */
    public double queryShare(int front) {
        double totalWeight = busyFronts * busyFactor + fronts - busyFronts;
        return (front < busyFronts ? busyFactor : 1) / totalWeight;
    }

    public Set<Integer> frontsOf(Entry entry, long seed) {
        return select(entry.fronts, 'f', fronts, seed ^ entry.title.hashCode());
    }

    public Set<Integer> enginesOf(Entry entry, long seed) {
        return select(entry.engines, 'e', engines, seed ^ ~entry.title.hashCode());
    }

    private Set<Integer> select(String selector, char letter, int count, long seed) {
        if (selector.equals("all") || selector.equals("none")) {
            return IntStream.range(0, selector.equals("all") ? count : 0).boxed()
                    .collect(HashSet::new, Set::add, Set::addAll);
        }
        Set<Integer> selected = new HashSet<>();
        if (selector.startsWith("site ")) {
            IntStream.range(0, count).filter(k -> selector.indexOf(site(k), 5) >= 0).forEach(selected::add);
        } else if (selector.startsWith("rack ")) {
            int rack = Integer.parseInt(selector.substring(5)) % RACKS;
            IntStream.range(0, count).filter(k -> k % RACKS == rack).forEach(selected::add);
        } else if (selector.charAt(0) == letter) {
            for (String name : selector.split(" ")) {
                selected.add(Integer.parseInt(name.substring(1)) % count);
            }
        } else if (selector.matches("[0-9].*")) {
            int wanted = selector.endsWith("%")
                    ? (int) Math.ceil(count * Integer.parseInt(selector.substring(0,
                    selector.length() - 1)) / 100.0) : Integer.parseInt(selector);
            SplittableRandom random = new SplittableRandom(seed);
            while (selected.size() < Math.min(wanted, count)) {
                selected.add(random.nextInt(count));
            }
        }
        return selected;
    }

    @Override
    public String toString() {
        return name;
    }
}
