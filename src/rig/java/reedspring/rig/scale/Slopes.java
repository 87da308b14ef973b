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
 * Measures the cost of each factor with the others fixed: the decisions of one front, the parsing of journal
 * events, and a front process by its connections and its queries. Each part runs in its own JVM with the flags
 * and memory sizes of the deployment's start command, on one thread whose CPU time is measured. A part that
 * exceeds its time limit is ended, and a figure records which measurement it was in.
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
    /** A field, so that it can be cleared before the heap is measured. */
    private ControlDriver front;
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

    /** Runs all parts, or only {@code part} if it is not null; writes one file for each. */
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
            // The part sockets only holds clients and engines; its front is a process with its own sizes.
            command.addAll(one.equals("sockets") ? List.of() : flags());
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), Slopes.class.getName(), one,
                    run, Long.toString(seed), Boolean.toString(shortly), file.toString()));
            Process child = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.INHERIT).start();
            try {
                Rig.require(child.waitFor(2 * CUT_S, TimeUnit.SECONDS), one + " did not end in time");
                Rig.require(child.exitValue() == 0 || child.exitValue() == CUT,
                        one + " exited with status " + child.exitValue());
            } finally {
                child.destroyForcibly();
            }
            all.addAll(Figures.read(file));
        }
        return all;
    }

    /** The JVM flags in the deployment's start command, memory sizes included, without the class archive. */
    static List<String> flags() throws IOException, InterruptedException {
        Matcher words = FLAGS.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        Rig.require(words.find(), "no JVM flags in the start command of deploy/balancer.toml");
        Process shell = new ProcessBuilder("/bin/sh", "-c",
                "m=" + MEMORY_MB + "; echo " + words.group(1)).start();
        String told = new String(shell.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        Rig.require(shell.waitFor() == 0 && told.contains("-Xmx"), "no -Xmx in the JVM flags " + told);
        return List.of(told.split(" +"));
    }

    /** The commit of this checkout, or {@code unknown} outside a repository. */
    static String commit() throws IOException {
        Process git = new ProcessBuilder("git", "rev-parse", "--short=7", "HEAD")
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
        String told = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        // Its output is at its end, so its exit follows at once.
        return git.onExit().join().exitValue() == 0 && !told.isEmpty() ? told : "unknown";
    }

    /**
     * {@code --out DIR [--seed N] [--short] [PART]}, like bench/scale --slopes; or, in the child JVM of one part:
     * its name, the name of the run, the seed, whether the run is short, and the file for the figures.
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
            List<Figure> all = measure(Path.of(args[1]), seed, shortly, more.isEmpty() ? null : more.get(0));
            System.out.println("figures=" + all.size() + " charts="
                    + SlopeCharts.writeByEngines(all, Path.of(args[1])).size());
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

    /** Ends the part at its time limit, and records the CPU time of the measurement that was running. */
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

    /** Mean CPU time of a call in nanoseconds, after a warm-up, over at least {@link #ENOUGH_NANOS} or the most calls. */
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

    private void list(String figure) throws IOException {
        begin(figure);
        long before = cpu();
        front.deliverFullList();
        keep(figure, "ms", 0, 0, (cpu() - before) / 1e6);
    }

    private void events(int most) throws IOException {
        keep("control_query", "us", 0, 0, each("control_query", most, front::runShortQuery) / 1e3);
        keep("control_pulse", "us", 0, 0, each("control_pulse", most, front::firePulse) / 1e3);
        keep("control_report", "us", 0, 0, each("control_report", most, front::deliverLoadReport) / 1e3);
        keep("control_row", "us", 0, 0, each("control_row", most, front::deliverRowChange) / 1e3);
    }

    private int repeats() {
        return shortly ? 1 : REPEATS;
    }

    private void warm() {
        ControlDriver front = new ControlDriver(seed, 12, 160, ALL_QUERIES);
        for (int k = 0; k < 40; k++) {
            front.deliverFullList();
        }
        for (int k = 0; k < 3_000; k++) {
            front.runShortQuery();
            front.firePulse();
            front.deliverLoadReport();
            front.deliverRowChange();
        }
    }

    private void one(int size, int known, int most) throws IOException {
        engines = size;
        fronts = known;
        front = null;
        double before = heapMb();
        front = new ControlDriver(seed + repeat, known, size, ALL_QUERIES);
        list("control_list_first");
        events(most);
        // Includes what the front has recorded about engines and queries meanwhile.
        keep("control_heap", "MB", 0, 0, heapMb() - before);
        Rig.require(front.submitCount() > 1, "no query was submitted");
        // Last, since it may exceed the time limit of the part.
        list("control_list_again");
    }

    private void byEngines() throws IOException {
        warm();
        for (int size : ENGINES) {
            for (repeat = 1; repeat <= repeats() && !(shortly && size > 1_000); repeat++) {
                one(size, FRONTS, 20_000);
            }
        }
    }

    /** Measured once for each size. */
    private void large() throws IOException {
        warm();
        one(5_000, FRONTS, 400);
        one(10_000, FRONTS, 60);
    }

    /** Apart from the others, since the first list alone may take the whole time limit. */
    private void largest() throws IOException {
        warm();
        one(LARGEST, FRONTS, 20);
    }

    private void byFronts() throws IOException {
        warm();
        for (int known : KNOWN) {
            for (repeat = 1; repeat <= repeats(); repeat++) {
                one(HELD_ENGINES, known, 20_000);
            }
        }
    }

    /** By query rate, each query open for 50 ms; few fronts, so that the front's quota is not reached. */
    private void byRate() throws IOException {
        warm();
        engines = HELD_ENGINES;
        fronts = 4;
        for (double rate : new double[] {20, 200, 1_694, 6_800}) {
            for (repeat = 1; repeat <= repeats(); repeat++) {
                ControlDriver front = new ControlDriver(seed + repeat, fronts, engines, ALL_QUERIES);
                front.deliverFullList();
                for (int k = 0; k < rate; k++) {
                    front.runQueryAtRate(rate);
                }
                double each = each("control_query", 20_000, () -> front.runQueryAtRate(rate)) / 1e3;
                Rig.require(front.openQueryCount() >= rate / 20 - 1, front.openQueryCount() + " queries open at a rate of " + rate);
                keep("control_query", "us", rate, 0, each);
                keep("control_pulse", "us", rate, 0, each("control_pulse", 20_000, front::firePulse) / 1e3);
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
        byte[] small = ControlDriver.fullListEvent(ENGINES[2]);
        for (int k = 0; k < 300; k++) {
            reading.read(small, Integer.MAX_VALUE);
        }
        for (int size : new int[] {40, 400, 2_500, 6_000, 12_500, LARGEST}) {
            engines = size;
            byte[] event = ControlDriver.fullListEvent(size);
            for (repeat = 1; repeat <= repeats(); repeat++) {
                begin("journal_event_cpu");
                keep("journal_event", "B", 0, 0, event.length);
                keep("journal_event_taken", "rows", 0, 0, Math.max(0, reading.read(event, most)));
                long allocated = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
                Rig.require(reading.read(event, Integer.MAX_VALUE) == size, "not all rows of the event were read");
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
        engines = MeasuredFront.ENGINES;
        fronts = 1;
        try (MeasuredFront front = new MeasuredFront()) {
            begin("front_idle");
            // Lets the JIT compile the startup code before the measurement.
            front.measureIdle(5_000);
            int[] sizes = shortly ? new int[] {0, 100} : new int[] {0, 500, 1_000, 2_000, 4_000};
            for (int connections : sizes) {
                front.connect(connections);
                for (repeat = 1; repeat <= repeats(); repeat++) {
                    MeasuredFront.Usage used = front.measureIdle(1_500);
                    keep("front_idle_cpu", "core", 0, connections, used.cores());
                    keep("front_idle_memory", "MB", 0, connections, used.memoryMb());
                }
            }
        }
        try (MeasuredFront front = new MeasuredFront()) {
            begin("front_busy");
            front.connect(64);
            front.measureServing(400, 6_000);
            for (int rate : shortly ? new int[] {100, 400} : new int[] {100, 200, 400, 800}) {
                for (repeat = 1; repeat <= repeats(); repeat++) {
                    MeasuredFront.Usage used = front.measureServing(rate, 2_000);
                    keep("front_busy_cpu", "core", used.queriesPerSecond(), 64, used.cores());
                    keep("front_busy_memory", "MB", used.queriesPerSecond(), 64, used.memoryMb());
                }
            }
            for (int connections : shortly ? new int[] {64} : new int[] {64, 256, 1_000, 2_000}) {
                front.connect(connections);
                front.measureServing(200, 500);
                for (repeat = 1; repeat <= repeats(); repeat++) {
                    MeasuredFront.Usage used = front.measureServing(200, 2_000);
                    keep("front_by_connections_cpu", "core", used.queriesPerSecond(), connections, used.cores());
                }
            }
        }
    }
}
