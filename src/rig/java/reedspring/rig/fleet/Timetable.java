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
 * What a fleet is and what happens to it when, as one file tells it. Times are tenths of a millisecond from
 * the moment at which all fronts serve. Whom an entry hits is drawn from the run's seed, so a run is its
 * file and its seed.
 */
public record Timetable(String name, int fronts, int engines, int sites, double[] cores, double memoryMb,
                        long length, long settle, double perSecond, Mix mix, int busyFronts,
                        double busyTimes, int sessions, int patience, double coldMultiple,
                        List<Entry> entries) {
    /**
     * What is asked: one in so many is long, one in so many a change that must not run twice (0: none). Works
     * and needs are means, widely scattered, by the group's place in {@link Terms#GROUPS}.
     */
    public record Mix(int longOneIn, int changeOneIn, double[] workMs, double[] needMb) {
        public int group(SplittableRandom chance) {
            if (changeOneIn > 0 && chance.nextInt(changeOneIn) == 0) {
                return Terms.CHANGE;
            }
            return chance.nextInt(longOneIn) == 0 ? 1 : 0;
        }

        public double workMs(int group, SplittableRandom chance) {
            return workMs[group] * Math.exp(chance.nextGaussian() - 0.5);
        }

        public double needMb(int group, SplittableRandom chance) {
            return needMb[group] * Math.exp(0.7 * chance.nextGaussian() - 0.25);
        }

        double meanWorkMs() {
            return (workMs[0] * (longOneIn - 1) + workMs[1]) / longOneIn;
        }
    }

    /** The end of a link that is not the front. */
    public enum Link { CLIENT, ENGINE, JOURNAL }

    /** What can happen; the first eight happen to links. */
    public enum What {
        /** New connections are refused, open ones reset. */
        REFUSE,
        /** Nothing passes either way, nothing new comes up, nobody is told; goes on afterwards. */
        CUT,
        /** The same from the front on only. */
        CUT_THERE,
        /** The same towards the front only. */
        CUT_BACK,
        /** Open connections lose their far end and are not told; new ones work. */
        HALF_OPEN,
        /** Open connections are reset once. */
        RESET,
        DELAY,
        THROTTLE,
        /** SIGKILL, and a start when the time is over. */
        KILL,
        /** SIGSTOP, and SIGCONT when the time is over. */
        STOP,
        /** SIGTERM, and a start when the time is over. */
        LEAVE,
        /** Engines answer `failed` at once. */
        FAIL,
        /** Engines have a part of their cores only. */
        SLOW,
        /** Engines run what comes and answer nothing. */
        SILENT,
        /** Engines say that they are idle, whatever they are. */
        LIE,
        /** Engines say what they said last. */
        STUCK,
        /** Engines say nothing of their load. */
        MUTE,
        /** Engines stand still and then go on: what they would have said in between comes then. */
        HANG,
        /** Engines close connections that rest, some behind half an answer. */
        FORGET,
        /** Engines send each answer twice. */
        COPIES,
        /** One answer in five is malformed, or begins and does not end. */
        SPOIL,
        /** Engines are listed as draining, and as ready again when the time is over. */
        DRAIN,
        /** Engines are listed as draining, end what they hold, and go; a new one comes for each, cold. */
        REPLACE,
        /** One in {@code times} of the fronts' accepts fails, in all the ways that are documented. */
        ACCEPT_FAILS,
        /** The same of connects and new sockets. */
        CONNECT_FAILS,
        /** Every third read and write of the fronts is interrupted, and all move a few hundred bytes only. */
        INTERRUPTS,
        /** The fronts' wall clock is ahead by {@code by} for the time. */
        CLOCK_FORWARD,
        /** The same behind. */
        CLOCK_BACK,
        /** The fronts can have no more threads. */
        NO_THREADS,
        /** Starts of the fronts meet calls that fail: reading the file, the selector, a registration. */
        START_FAILS,
        /** {@code times} new configurations over the span, each with discovery at another address. */
        RELOAD,
        /** SIGHUP in series, while the configuration's file is away for half of the span. */
        SIGNALS,
        /** Three clients in ten take their query back, or close their connection, soon after asking. */
        GIVE_UP,
        /** One client in six writes its query in pieces over a second or two. */
        SLOW_CLIENTS,
        /** Connections with noise, half messages, silence, or many queries and a close at once. */
        BAD_CLIENTS,
        /** Connections with thirty queries at once. */
        PIPELINE,
        /** Hundreds of connections that say nothing. */
        IDLE_CROWD,
        /** Connections that send the trace of another client's query with a statement of their own. */
        COPIED_TRACES,
        /** Lists reach these fronts late. */
        LATE_LIST,
        /** More queries. */
        BURST,
        // Those of the scale run alone.
        /** {@code times} changes of configuration over the span, each to all fronts. */
        CONFIGURE,
        /** One that can't be used. */
        CONFIGURE_BAD,
        /** Each engine drains, and at the same moment another takes its place. */
        PRIMARY,
        /** Engines have gone without a word, and as many new ones come when the time is over. */
        LOSE,
        /** The journal service ends under all who follow it, and is back when the time is over. */
        JOURNAL_AWAY;

        /** Played by bench/scale and by nothing else. */
        public boolean ofScale() {
            return ordinal() > BURST.ordinal();
        }

        public boolean ofLinks() {
            return ordinal() <= THROTTLE.ordinal();
        }

        /** Done by a library that is loaded into the fronts. */
        boolean ofShim() {
            return ordinal() >= ACCEPT_FAILS.ordinal() && ordinal() <= START_FAILS.ordinal();
        }

        boolean ofEngines() {
            return ordinal() >= FAIL.ordinal() && ordinal() <= REPLACE.ordinal();
        }
    }

    /**
     * One thing that happens from {@code at} on for {@code span}. {@code by} is a time (of a delay or lag),
     * {@code times} a factor (slower, more queries), {@code rate} bytes a second.
     */
    public record Entry(String title, long at, long span, What what, Link link, String fronts, String engines,
                        long by, double times, long rate) {
        public long until() {
            return at + span;
        }
    }

    private static final long SECOND = 10_000;
    /** Engines and fronts stand in racks by turns. */
    private static final int RACKS = 50;
    private static final long LONGEST_PATIENCE_WHILE_LEAVING_MS = 3_000;
    private static final long KILLED_AFTER_PATIENCE_MS = 700;
    private static final int MOST = 1_000;
    private static final int MOST_FRONTS = 10_000;
    private static final int MOST_ENGINES = 100_000;

    public static Timetable read(Path file) throws SettingsException {
        Ini ini = new Ini(file);
        String it = "fleet";
        ini.has(it);
        int fronts = (int) ini.count(it, "fronts", 8, 1, MOST_FRONTS);
        int engines = (int) ini.count(it, "engines", 6, 1, MOST_ENGINES);
        List<Entry> entries = new ArrayList<>();
        for (String section : ini.sections()) {
            if (!section.equals(it)) {
                entries.add(entry(ini, section));
            }
        }
        Timetable read = new Timetable(file.getFileName().toString(), fronts, engines,
                (int) ini.count(it, "sites", 1, 1, 26), sizes(ini, it),
                ini.size(it, "memory", 4L << 30, 1 << 20, 1L << 50) / (double) (1 << 20),
                ini.duration(it, "length", 10 * SECOND, SECOND, 600 * SECOND),
                ini.duration(it, "settle", 5 * SECOND, 0, 60 * SECOND),
                ini.count(it, "queries_a_second", 80, 0, 100_000), mix(ini, it),
                (int) ini.count(it, "busy_fronts", 0, 0, fronts), ini.count(it, "busy_times", 1, 1, 100),
                (int) ini.count(it, "sessions", 200, 1, 100_000), (int) ini.count(it, "patience", 3, 1, 60),
                ini.count(it, "cold_multiple", 3, 1, 100),
                        List.copyOf(entries));
        for (Entry entry : entries) {
            if (!pattern(entry.fronts)) {
                ini.fault(entry.title, "fronts", "'" + entry.fronts + "' chooses nobody");
            }
            if (!pattern(entry.engines)) {
                ini.fault(entry.title, "engines", "'" + entry.engines + "' chooses nobody");
            }
        }
        ini.finish();
        return read;
    }

    private static Mix mix(Ini ini, String it) {
        double shortMs = ini.duration(it, "short_work", 1_200, 10, 600 * SECOND) / 10.0;
        double longMs = ini.duration(it, "long_work", 9_000, 10, 600 * SECOND) / 10.0;
        double shortMb = ini.size(it, "short_need", 60 << 20, 0, 1L << 50) / (double) (1 << 20);
        double longMb = ini.size(it, "long_need", 250 << 20, 0, 1L << 50) / (double) (1 << 20);
        return new Mix((int) ini.count(it, "long_one_in", 8, 1, MOST),
                (int) ini.count(it, "change_one_in", 20, 0, MOST), new double[] {shortMs, longMs, shortMs},
                new double[] {shortMb, longMb, shortMb});
    }

    private static Entry entry(Ini ini, String section) {
        ini.has(section);
        List<String> words = IntStream.range(0, What.values().length).mapToObj(k -> word(What.values()[k]))
                .toList();
        String what = ini.choice(section, "what", null, words);
        if (what == null) {
            ini.fault(section, "what", "missing");
        }
        String link = ini.choice(section, "link", "engine", List.of("client", "engine", "journal"));
        return new Entry(section, ini.duration(section, "at", 0, 0, 600 * SECOND),
                ini.duration(section, "for", 0, 0, 600 * SECOND),
                What.values()[Math.max(0, words.indexOf(what))], Link.valueOf(link.toUpperCase()),
                ini.any(section, "fronts", "all"), ini.any(section, "engines", "all"),
                ini.duration(section, "by", 0, 0, 60 * SECOND),
                factor(ini, section), ini.size(section, "rate", 1 << 20, 1, 1L << 40));
    }

    private static String word(What what) {
        return what.name().toLowerCase().replace('_', '-');
    }

    private static double[] sizes(Ini ini, String section) {
        String text = ini.any(section, "cores", "8");
        if (!text.matches("[0-9]{1,4}( [0-9]{1,4})*")) {
            ini.fault(section, "cores", "'" + text + "' is no list of cores such as 4 8 16");
            return new double[] {8};
        }
        return List.of(text.split(" ")).stream().mapToDouble(Double::parseDouble).toArray();
    }

    private static double factor(Ini ini, String section) {
        String text = ini.any(section, "times", "1");
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,2})?")) {
            ini.fault(section, "times", "'" + text + "' is no factor such as 1.5");
            return 1;
        }
        return Double.parseDouble(text);
    }

    private static boolean pattern(String who) {
        return who.matches("all|none|[0-9]{1,2}%|[0-9]{1,4}|site [a-z]{1,26}|rack [0-9]{1,2}"
                + "|[fe][0-9]{1,5}( [fe][0-9]{1,5})*");
    }

    /** The same with other things that happen. */
    Timetable with(String otherName, List<Entry> other) {
        return new Timetable(otherName, fronts, engines, sites, cores, memoryMb, length, settle, perSecond,
                mix,
                busyFronts, busyTimes, sessions, patience, coldMultiple, List.copyOf(other));
    }

    /** From SIGTERM to SIGKILL, at the earliest: the longest patience, 3 s at most, and 0.7 s. */
    long leavesFor() {
        long longest = 0;
        for (int group = 0; group < Terms.GROUPS.length; group++) {
            longest = Math.max(longest, Terms.leavesMs(this, group));
        }
        return (Math.min(longest, LONGEST_PATIENCE_WHILE_LEAVING_MS) + KILLED_AFTER_PATIENCE_MS) * 10;
    }

    /** A front or engine's site. */
    public char site(int index) {
        return (char) ('a' + index % sites);
    }

    public double cores(int engine) {
        return cores[engine % cores.length];
    }

    /** The same with other numbers of fronts and engines, and the load that the engines' number gives. */
    public Timetable sized(int otherFronts, int otherEngines) {
        return new Timetable(name, otherFronts, otherEngines, sites, cores, memoryMb, length, settle,
                perSecond * otherEngines / engines, mix, busyFronts * otherFronts / fronts, busyTimes,
                sessions, patience, coldMultiple, entries);
    }

    /** How much of all queries the front gets. */
    public double part(int front) {
        double all = busyFronts * busyTimes + fronts - busyFronts;
        return (front < busyFronts ? busyTimes : 1) / all;
    }

    public Set<Integer> frontsOf(Entry entry, long seed) {
        return drawn(entry.fronts, 'f', fronts, seed ^ entry.title.hashCode());
    }

    public Set<Integer> enginesOf(Entry entry, long seed) {
        return drawn(entry.engines, 'e', engines, seed ^ ~entry.title.hashCode());
    }

    private Set<Integer> drawn(String who, char letter, int count, long seed) {
        if (who.equals("all") || who.equals("none")) {
            return IntStream.range(0, who.equals("all") ? count : 0).boxed().collect(HashSet::new, Set::add,
                    Set::addAll);
        }
        Set<Integer> set = new HashSet<>();
        if (who.startsWith("site ")) {
            IntStream.range(0, count).filter(k -> who.indexOf(site(k), 5) >= 0).forEach(set::add);
        } else if (who.startsWith("rack ")) {
            int rack = Integer.parseInt(who.substring(5)) % RACKS;
            IntStream.range(0, count).filter(k -> k % RACKS == rack).forEach(set::add);
        } else if (who.charAt(0) == letter) {
            for (String name : who.split(" ")) {
                set.add(Integer.parseInt(name.substring(1)) % count);
            }
        } else if (who.matches("[0-9].*")) {
            int many = who.endsWith("%") ? (int) Math.ceil(count * Integer.parseInt(who.substring(0,
                    who.length() - 1)) / 100.0) : Integer.parseInt(who);
            SplittableRandom chance = new SplittableRandom(seed);
            while (set.size() < Math.min(many, count)) {
                set.add(chance.nextInt(count));
            }
        }
        return set;
    }

    @Override
    public String toString() {
        return name;
    }
}
