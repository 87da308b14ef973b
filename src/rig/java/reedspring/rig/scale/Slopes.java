package reedspring.rig.scale;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedspring.net.JournalReading;
import reedspring.rig.Rig;
import reedspring.rig.scale.Figures.Figure;

/**
 * What each factor costs, with the others held: one front's decisions alone, the reading of the journal's
 * events, and a started front by its connections and its queries. Each part runs in a JVM of its own with the
 * flags and the sizes of the line that starts the program, on one thread whose CPU is counted; a part that
 * goes on for too long is cut off, and its figures say how far it came.
 */
public final class Slopes {
    public static final int MEMORY_MB = 256;
    public static final int FRONTS = 3_600;
    public static final double ALL_QUERIES = 6_100_000;
    private static final int[] ENGINES = {40, 160, 400, 1_000, 2_500};
    private static final int HELD_ENGINES = 400;
    private static final int[] KNOWN = {1, 12, 120, 3_600};
    private static final int LARGEST = 25_000;
    private static final int REPEATS = 3;
    private static final long WARM_NANOS = 200_000_000;
    private static final long ENOUGH_NANOS = 150_000_000;
    private static final long CUT_S = 150;
    private static final int CUT = 3;
    private static final Pattern FLAGS = Pattern.compile("exec \\$e java (.*?) -XX:SharedArchiveFile");
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final String run;
    private final long seed;
    private final boolean shortly;
    private final Path file;
    private final List<Figure> figures = new ArrayList<>();
    /** A field, so that it is known when nothing refers to it any more. */
    private Alone front;
    private volatile String doing = "start";
    private volatile int engines;
    private volatile int fronts = FRONTS;
    private volatile int repeat = 1;
    private volatile long doingSince;

    private Slopes(String run, long seed, boolean shortly, Path file) {
        this.run = run;
        this.seed = seed;
        this.shortly = shortly;
        this.file = file;
    }

    /** All parts of it, or the one that is named where {@code part} is not null; a file for each. */
    public static List<Figure> measure(Path out, long seed, boolean shortly, String part)
            throws IOException, InterruptedException {
        String run = commit() + " bench/scale --slopes --seed " + seed + (shortly ? " --short" : "");
        List<Figure> all = new ArrayList<>();
        for (String one : List.of("known", "journal", "rates", "engines", "sockets", "large", "largest")) {
            if (part != null ? !part.equals(one) : shortly && one.startsWith("large")) {
                continue;
            }
            Path file = out.resolve("slopes-" + one + ".csv");
            Files.deleteIfExists(file);
            System.err.println("slopes: " + one);
            List<String> command = new ArrayList<>();
            command.add(ProcessHandle.current().info().command().orElse("java"));
            // The sockets' part only holds clients and engines; the front that it starts has its own sizes.
            command.addAll(one.equals("sockets") ? List.of() : flags());
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), Slopes.class.getName(), one,
                    run, Long.toString(seed), Boolean.toString(shortly), file.toString()));
            Process child = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.INHERIT).start();
            try {
                Rig.require(child.waitFor(2 * CUT_S, TimeUnit.SECONDS), one + " does not end");
                Rig.require(child.exitValue() == 0 || child.exitValue() == CUT,
                        one + " ended with " + child.exitValue());
            } finally {
                child.destroyForcibly();
            }
            all.addAll(Figures.read(file));
        }
        return all;
    }

    /** The JVM's words in the line that starts the program, with its sizes, but no archive of classes. */
    static List<String> flags() throws IOException, InterruptedException {
        Matcher words = FLAGS.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        Rig.require(words.find(), "no JVM in the line that starts the program");
        Process shell = new ProcessBuilder("/bin/sh", "-c",
                "m=" + MEMORY_MB + "; echo " + words.group(1)).start();
        String told = new String(shell.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        Rig.require(shell.waitFor() == 0 && told.contains("-Xmx"), "no sizes in " + told);
        return List.of(told.split(" +"));
    }

    private static String commit() throws IOException, InterruptedException {
        Process git = new ProcessBuilder("git", "rev-parse", "--short=7", "HEAD").start();
        String told = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        return git.waitFor() == 0 && !told.isEmpty() ? told : "unknown";
    }

    /**
     * {@code --out DIR [--seed N] [--short] [PART]}, as bench/scale --slopes has it; or, in a JVM of its own,
     * one part: its name, what the run is called, seed, whether shortly, and the file.
     */
    public static void main(String[] args) throws Exception {
        if (args.length > 1 && args[0].equals("--out")) {
            List<String> more = new ArrayList<>(List.of(args).subList(2, args.length));
            int at = more.indexOf("--seed");
            long seed = at < 0 ? 1 : Long.parseLong(more.get(at + 1));
            if (at >= 0) {
                more.subList(at, at + 2).clear();
            }
            boolean shortly = more.remove("--short");
            System.out.println("figures=" + measure(Path.of(args[1]), seed, shortly,
                    more.isEmpty() ? null : more.get(0)).size());
            return;
        }
        Slopes slopes = new Slopes(args[1], Long.parseLong(args[2]), Boolean.parseBoolean(args[3]),
                Path.of(args[4]));
        slopes.cutOff(Thread.currentThread().getId());
        switch (args[0]) {
            case "engines" -> slopes.byEngines();
            case "large" -> slopes.large();
            case "largest" -> slopes.largest();
            case "known" -> slopes.byFronts();
            case "rates" -> slopes.byRate();
            case "journal" -> slopes.journal();
            case "sockets" -> slopes.sockets();
            default -> throw new IllegalArgumentException(args[0]);
        }
        System.exit(0);
    }

    /** Tells how far the part came in its time, and ends it. */
    private void cutOff(long thread) {
        Thread watch = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(CUT_S);
                long took = THREADS.getThreadCpuTime(thread) - doingSince;
                keep(doing + "_cut_off", "s", 0, 0, took / 1e9);
            } catch (IOException | InterruptedException e) {
                System.err.println("slopes: " + e);
            }
            Runtime.getRuntime().halt(CUT);
        });
        watch.setDaemon(true);
        watch.start();
    }

    private synchronized void keep(String figure, String unit, double perSecond, int connections,
            double value) throws IOException {
        figures.add(new Figure(run, figure, unit, fronts, engines, Math.rint(perSecond), connections, 0,
                repeat, value));
        Figures.write(file, figures);
        System.err.println("  " + figure + " " + engines + " engines, " + fronts + " fronts, " + perSecond
                + "/s, " + connections + " connections: " + value + " " + unit);
    }

    private static long cpu() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** CPU of one call, nanoseconds: after a warm-up, over enough calls to be counted well. */
    private double each(String figure, int most, Runnable call) {
        begin(figure);
        long end = cpu() + WARM_NANOS;
        for (int k = 0; k < most && (k == 0 || cpu() < end); k++) {
            call.run();
        }
        long before = cpu();
        int calls = 0;
        do {
            call.run();
            calls++;
        } while (calls < most && cpu() - before < ENOUGH_NANOS);
        return (cpu() - before) / (double) calls;
    }

    private void begin(String figure) {
        doing = figure;
        doingSince = cpu();
    }

    private static double heapMb() {
        for (int k = 0; k < 3; k++) {
            System.gc();
        }
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1e6;
    }

    private void lists(Alone front, boolean again) throws IOException {
        begin("control_list_first");
        long before = cpu();
        front.wholeList();
        keep("control_list_first", "ms", 0, 0, (cpu() - before) / 1e6);
        if (again) {
            listAgain(front);
        }
    }

    private void listAgain(Alone front) throws IOException {
        begin("control_list_again");
        long before = cpu();
        front.wholeList();
        keep("control_list_again", "ms", 0, 0, (cpu() - before) / 1e6);
    }

    private void events(Alone front, int most) throws IOException {
        keep("control_query", "us", 0, 0, each("control_query", most, front::query) / 1e3);
        keep("control_pulse", "us", 0, 0, each("control_pulse", most, front::pulse) / 1e3);
        keep("control_report", "us", 0, 0, each("control_report", most, front::report) / 1e3);
        keep("control_row", "us", 0, 0, each("control_row", most, front::row) / 1e3);
    }

    private int repeats() {
        return shortly ? 1 : REPEATS;
    }

    private void warm() {
        Alone front = new Alone(seed, 12, 160, ALL_QUERIES);
        for (int k = 0; k < 40; k++) {
            front.wholeList();
        }
        for (int k = 0; k < 3_000; k++) {
            front.query();
            front.pulse();
            front.report();
            front.row();
        }
    }

    private void one(int size, int known, boolean again, int most) throws IOException {
        engines = size;
        fronts = known;
        front = new Alone(seed + repeat, known, size, ALL_QUERIES);
        lists(front, again);
        events(front, most);
        heap();
    }

    /** With all that it has learnt meanwhile. */
    private void heap() throws IOException {
        double with = heapMb();
        Rig.require(front.submits() > 1, "nothing was submitted");
        front = null;
        keep("control_heap", "MB", 0, 0, with - heapMb());
    }

    private void byEngines() throws IOException {
        warm();
        for (int size : ENGINES) {
            for (repeat = 1; repeat <= repeats() && !(shortly && size > 1_000); repeat++) {
                one(size, FRONTS, true, 20_000);
            }
        }
    }

    /** One repeat each; the whole list again comes last, as it may not end in the time that there is. */
    private void large() throws IOException {
        warm();
        one(5_000, FRONTS, true, 400);
        one(10_000, FRONTS, false, 60);
        front = new Alone(seed + 1, FRONTS, engines, ALL_QUERIES);
        front.wholeList();
        listAgain(front);
    }

    /** The first list alone may take all the time that there is. */
    private void largest() throws IOException {
        warm();
        one(LARGEST, FRONTS, false, 20);
    }

    private void byFronts() throws IOException {
        warm();
        for (int known : KNOWN) {
            for (repeat = 1; repeat <= repeats(); repeat++) {
                one(HELD_ENGINES, known, true, 20_000);
            }
        }
    }

    /** By queries a second that are each out for 50 ms; few fronts, so that the bound is not met. */
    private void byRate() throws IOException {
        warm();
        engines = HELD_ENGINES;
        fronts = 4;
        for (double rate : new double[] {20, 200, 1_694, 6_800}) {
            for (repeat = 1; repeat <= repeats(); repeat++) {
                Alone front = new Alone(seed + repeat, fronts, engines, ALL_QUERIES);
                front.wholeList();
                for (int k = 0; k < rate; k++) {
                    front.queryOf(rate);
                }
                double each = each("control_query", 20_000, () -> front.queryOf(rate)) / 1e3;
                Rig.require(front.held() >= rate / 20 - 1, front.held() + " queries out at " + rate);
                keep("control_query", "us", rate, 0, each);
                keep("control_pulse", "us", rate, 0, each("control_pulse", 20_000, front::pulse) / 1e3);
            }
        }
    }

    private void journal() throws Exception {
        JournalReading reading = new JournalReading();
        int most = JournalReading.most();
        fronts = 0;
        engines = 0;
        keep("journal_event_bound", "B", 0, 0, most);
        for (int sockets : new int[] {1_024, 4_096, 16_384}) {
            for (String what : List.of("clients", "engines", "queries")) {
                keep("front_holds_" + what, "count of " + sockets + " descriptors", 0, 0,
                        JournalReading.holds(sockets, MEMORY_MB).get(what));
            }
        }
        byte[] small = Alone.wholeEvent(ENGINES[2]);
        for (int k = 0; k < 300; k++) {
            reading.read(small, Integer.MAX_VALUE);
        }
        for (int size : new int[] {40, 400, 2_500, 6_000, 12_500, LARGEST}) {
            engines = size;
            byte[] event = Alone.wholeEvent(size);
            for (repeat = 1; repeat <= repeats(); repeat++) {
                begin("journal_event_cpu");
                keep("journal_event", "B", 0, 0, event.length);
                keep("journal_event_taken", "rows", 0, 0, Math.max(0, reading.read(event, most)));
                long allocated = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
                Rig.require(reading.read(event, Integer.MAX_VALUE) == size, "rows were lost");
                keep("journal_event_allocated", "MB", 0, 0, (THREADS.getThreadAllocatedBytes(
                        Thread.currentThread().getId()) - allocated) / 1e6);
                double with = heapMb();
                reading.forget();
                keep("journal_event_heap", "MB", 0, 0, with - heapMb());
                keep("journal_event_cpu", "ms", 0, 0, each("journal_event_cpu", 2_000,
                        () -> reading.read(event, Integer.MAX_VALUE)) / 1e6);
                reading.read(small, Integer.MAX_VALUE);
            }
        }
    }

    private void sockets() throws Exception {
        engines = OneFront.ENGINES;
        fronts = 1;
        try (OneFront front = new OneFront()) {
            begin("front_idle");
            // What starts once is compiled meanwhile.
            front.watch(5_000);
            int[] sizes = shortly ? new int[] {0, 100} : new int[] {0, 500, 1_000, 2_000, 4_000};
            for (int connections : sizes) {
                front.connect(connections);
                for (repeat = 1; repeat <= repeats(); repeat++) {
                    OneFront.Used used = front.watch(1_500);
                    keep("front_idle_cpu", "core", 0, connections, used.cores());
                    keep("front_idle_memory", "MB", 0, connections, used.memoryMb());
                }
            }
        }
        try (OneFront front = new OneFront()) {
            begin("front_busy");
            front.connect(64);
            front.serve(400, 6_000);
            for (int rate : shortly ? new int[] {100, 400} : new int[] {100, 200, 400, 800}) {
                for (repeat = 1; repeat <= repeats(); repeat++) {
                    OneFront.Used used = front.serve(rate, 2_000);
                    keep("front_busy_cpu", "core", used.perSecond(), 64, used.cores());
                    keep("front_busy_memory", "MB", used.perSecond(), 64, used.memoryMb());
                }
            }
            for (int connections : shortly ? new int[] {64} : new int[] {64, 256, 1_000, 2_000}) {
                front.connect(connections);
                front.serve(200, 500);
                for (repeat = 1; repeat <= repeats(); repeat++) {
                    OneFront.Used used = front.serve(200, 2_000);
                    keep("front_by_connections_cpu", "core", used.perSecond(), connections, used.cores());
                }
            }
        }
    }
}
