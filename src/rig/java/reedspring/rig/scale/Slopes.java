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
import reedspring.net.JournalEventParser;
import reedspring.rig.Rig;
import reedspring.rig.scale.Figures.Figure;

/**
 * Measures the cost of each factor with the others fixed: the decisions of one front, the parsing of journal
 * events, and a front process by its connections and its queries. Each part runs in its own JVM with the
 * flags and memory sizes of the deployment's start command, on one thread whose CPU time is measured. A part
 * that exceeds its time limit is ended, and a figure records which measurement it was in.
 */
public final class Slopes {
    public static final int MEMORY_MB = 256;
    public static final int FRONTS = 3_600;
    public static final double TOTAL_QUERIES_PER_SECOND = 6_100_000;
    private static final int[] ENGINE_COUNTS = {40, 160, 400, 1_000, 2_500};
    private static final int FIXED_ENGINES = 400;
    private static final int[] FRONT_COUNTS = {1, 12, 120, 3_600};
    private static final int LARGEST_ENGINES = 25_000;
    private static final int REPEATS = 3;
    private static final long WARM_UP_NANOS = 200_000_000;
    private static final long MEASURE_NANOS = 150_000_000;
    private static final long TIME_LIMIT_S = 150;
    private static final int TIME_LIMIT_EXIT_STATUS = 3;
    private static final Pattern JVM_FLAGS_PATTERN =
            Pattern.compile("exec \\$e java (.*?) -XX:SharedArchiveFile");
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final String run;
    private final long seed;
    private final boolean shortRun;
    private final Path file;
    private final List<Figure> figures = new ArrayList<>();
    /** A field, so that it can be cleared before the heap is measured. */
    private ControlDriver controlDriver;
    private volatile String currentFigure = "start";
    private volatile int engines;
    private volatile int fronts = FRONTS;
    private volatile int repeat = 1;
    private volatile long currentFigureStartNanos;

    private Slopes(String run, long seed, boolean shortRun, Path file) {
        this.run = run;
        this.seed = seed;
        this.shortRun = shortRun;
        this.file = file;
    }

    /** Runs all parts, or only {@code part} if it is not null; writes one file for each. */
    public static List<Figure> measure(Path directory, long seed, boolean shortRun, String part)
            throws IOException, InterruptedException {
        String run = commit() + " bench/scale --slopes --seed " + seed + (shortRun ? " --short" : "");
        List<Figure> all = new ArrayList<>();
        for (String partName : List.of("known", "journal", "rates", "engines", "sockets", "large",
                "largest")) {
            if (part != null ? !part.equals(partName) : shortRun && partName.startsWith("large")) {
                continue;
            }
            Path file = directory.resolve("slopes-" + partName + ".csv");
            Files.deleteIfExists(file);
            System.err.println("slopes: " + partName);
            List<String> command = new ArrayList<>();
            command.add(ProcessHandle.current().info().command().orElse("java"));
            // The part sockets only holds clients and engines; its front is a process with its own sizes.
            command.addAll(partName.equals("sockets") ? List.of() : jvmFlags());
            command.addAll(List.of("-cp", System.getProperty("java.class.path"), Slopes.class.getName(),
                    partName, run, Long.toString(seed), Boolean.toString(shortRun), file.toString()));
            Process child = new ProcessBuilder(command).redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.INHERIT).start();
            try {
                Rig.require(child.waitFor(2 * TIME_LIMIT_S, TimeUnit.SECONDS), partName
                        + " did not end in time");
                Rig.require(child.exitValue() == 0 || child.exitValue() == TIME_LIMIT_EXIT_STATUS,
                        partName + " exited with status " + child.exitValue());
            } finally {
                child.destroyForcibly();
            }
            all.addAll(Figures.read(file));
        }
        return all;
    }

    /** The JVM flags in the deployment's start command, memory sizes included, without the class archive. */
    static List<String> jvmFlags() throws IOException, InterruptedException {
        Matcher matcher = JVM_FLAGS_PATTERN.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        Rig.require(matcher.find(), "no JVM flags in the start command of deploy/balancer.toml");
        Process shell = new ProcessBuilder("/bin/sh", "-c",
                "m=" + MEMORY_MB + "; echo " + matcher.group(1)).start();
        String output = new String(shell.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        Rig.require(shell.waitFor() == 0 && output.contains("-Xmx"), "no -Xmx in the JVM flags " + output);
        return List.of(output.split(" +"));
    }

    /** The commit of this checkout, or {@code unknown} outside a repository. */
    static String commit() throws IOException {
        Process git = new ProcessBuilder("git", "rev-parse", "--short=7", "HEAD")
                .redirectError(ProcessBuilder.Redirect.DISCARD).start();
        String output = new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
        // Its output is at its end, so its exit follows at once.
        return git.onExit().join().exitValue() == 0 && !output.isEmpty() ? output : "unknown";
    }

    /**
     * {@code --out DIR [--seed N] [--short] [PART]}, like bench/scale --slopes; or, in the child JVM of one
     * part: its name, the name of the run, the seed, whether the run is short, and the file for the figures.
     */
    public static void main(String[] args) throws Exception {
        if (args.length > 1 && args[0].equals("--out")) {
            List<String> arguments = new ArrayList<>(List.of(args).subList(2, args.length));
            int seedIndex = arguments.indexOf("--seed");
            long seed = seedIndex < 0 ? 1 : Long.parseLong(arguments.get(seedIndex + 1));
            if (seedIndex >= 0) {
                arguments.subList(seedIndex, seedIndex + 2).clear();
            }
            boolean shortRun = arguments.remove("--short");
            List<Figure> all = measure(Path.of(args[1]), seed, shortRun, arguments.isEmpty() ? null
                    : arguments.get(0));
            System.out.println("figures=" + all.size() + " charts="
                    + SlopeCharts.writeByEngines(all, Path.of(args[1])).size());
            return;
        }
        Slopes slopes = new Slopes(args[1], Long.parseLong(args[2]), Boolean.parseBoolean(args[3]),
                Path.of(args[4]));
        slopes.startWatchdog(Thread.currentThread().getId());
        switch (args[0]) {
            case "engines" -> slopes.measureByEngines();
            case "large" -> slopes.measureLarge();
            case "largest" -> slopes.measureLargest();
            case "known" -> slopes.measureByFronts();
            case "rates" -> slopes.measureByRate();
            case "journal" -> slopes.measureJournal();
            case "sockets" -> slopes.measureSockets();
            default -> throw new IllegalArgumentException(args[0]);
        }
        System.exit(0);
    }

    /** Ends the part at its time limit, and records the CPU time of the measurement that was running. */
    private void startWatchdog(long threadId) {
        Thread watchdog = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(TIME_LIMIT_S);
                long cpuNanos = THREADS.getThreadCpuTime(threadId) - currentFigureStartNanos;
                recordFigure(currentFigure + "_cut_off", "s", 0, 0, cpuNanos / 1e9);
            } catch (IOException | InterruptedException e) {
                System.err.println("slopes: " + e);
            }
            Runtime.getRuntime().halt(TIME_LIMIT_EXIT_STATUS);
        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private synchronized void recordFigure(String figure, String unit, double queriesPerSecond,
            int connections, double value) throws IOException {
        figures.add(new Figure(run, figure, unit, fronts, engines, Math.rint(queriesPerSecond), connections,
                0, repeat, value));
        Figures.write(file, figures);
        System.err.println("  " + figure + " " + engines + " engines, " + fronts + " fronts, "
                + queriesPerSecond + "/s, " + connections + " connections: " + value + " " + unit);
    }

    private static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /**
     * Mean CPU time of a call in nanoseconds, after a warm-up, over at least {@link #MEASURE_NANOS} or
     * {@code maxCalls} calls.
     */
    private double cpuNanosPerCall(String figure, int maxCalls, Runnable call) {
        beginFigure(figure);
        long warmUpEnd = cpuNanos() + WARM_UP_NANOS;
        for (int k = 0; k < maxCalls && (k == 0 || cpuNanos() < warmUpEnd); k++) {
            call.run();
        }
        long startNanos = cpuNanos();
        int calls = 0;
        do {
            call.run();
            calls++;
        } while (calls < maxCalls && cpuNanos() - startNanos < MEASURE_NANOS);
        return (cpuNanos() - startNanos) / (double) calls;
    }

    private void beginFigure(String figure) {
        currentFigure = figure;
        currentFigureStartNanos = cpuNanos();
    }

    private static double heapMb() {
        for (int k = 0; k < 3; k++) {
            System.gc();
        }
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) / 1e6;
    }

    private void measureFullList(String figure) throws IOException {
        beginFigure(figure);
        long startNanos = cpuNanos();
        controlDriver.deliverFullList();
        recordFigure(figure, "ms", 0, 0, (cpuNanos() - startNanos) / 1e6);
    }

    private void measureEvents(int maxCalls) throws IOException {
        recordFigure("control_query", "us", 0, 0, cpuNanosPerCall("control_query", maxCalls,
                controlDriver::runShortQuery) / 1e3);
        recordFigure("control_pulse", "us", 0, 0, cpuNanosPerCall("control_pulse", maxCalls,
                controlDriver::firePulse) / 1e3);
        recordFigure("control_report", "us", 0, 0, cpuNanosPerCall("control_report", maxCalls,
                controlDriver::deliverLoadReport) / 1e3);
        recordFigure("control_row", "us", 0, 0, cpuNanosPerCall("control_row", maxCalls,
                controlDriver::deliverRowChange) / 1e3);
    }

    private int repeatCount() {
        return shortRun ? 1 : REPEATS;
    }

    private void warmUp() {
        ControlDriver controlDriver = new ControlDriver(seed, 12, 160, TOTAL_QUERIES_PER_SECOND);
        for (int k = 0; k < 40; k++) {
            controlDriver.deliverFullList();
        }
        for (int k = 0; k < 3_000; k++) {
            controlDriver.runShortQuery();
            controlDriver.firePulse();
            controlDriver.deliverLoadReport();
            controlDriver.deliverRowChange();
        }
    }

    private void measureControl(int engineCount, int frontCount, int maxCalls) throws IOException {
        engines = engineCount;
        fronts = frontCount;
        controlDriver = null;
        double heapBefore = heapMb();
        controlDriver = new ControlDriver(seed + repeat, frontCount, engineCount, TOTAL_QUERIES_PER_SECOND);
        measureFullList("control_list_first");
        measureEvents(maxCalls);
        // Includes what the front has recorded about engines and queries meanwhile.
        recordFigure("control_heap", "MB", 0, 0, heapMb() - heapBefore);
        Rig.require(controlDriver.submitCount() > 1, "no query was submitted");
        // Last, since it may exceed the time limit of the part.
        measureFullList("control_list_again");
    }

    private void measureByEngines() throws IOException {
        warmUp();
        for (int size : ENGINE_COUNTS) {
            for (repeat = 1; repeat <= repeatCount() && !(shortRun && size > 1_000); repeat++) {
                measureControl(size, FRONTS, 20_000);
            }
        }
    }

    /** Measured once for each size. */
    private void measureLarge() throws IOException {
        warmUp();
        measureControl(5_000, FRONTS, 400);
        measureControl(10_000, FRONTS, 60);
    }

    /** Apart from the others, since the first list alone may take the whole time limit. */
    private void measureLargest() throws IOException {
        warmUp();
        measureControl(LARGEST_ENGINES, FRONTS, 20);
    }

    private void measureByFronts() throws IOException {
        warmUp();
        for (int frontCount : FRONT_COUNTS) {
            for (repeat = 1; repeat <= repeatCount(); repeat++) {
                measureControl(FIXED_ENGINES, frontCount, 20_000);
            }
        }
    }

    /** By query rate, each query open for 50 ms; few fronts, so that the front's quota is not reached. */
    private void measureByRate() throws IOException {
        warmUp();
        engines = FIXED_ENGINES;
        fronts = 4;
        for (double rate : new double[] {20, 200, 1_694, 6_800}) {
            for (repeat = 1; repeat <= repeatCount(); repeat++) {
                ControlDriver controlDriver = new ControlDriver(seed + repeat, fronts, engines,
                        TOTAL_QUERIES_PER_SECOND);
                controlDriver.deliverFullList();
                for (int k = 0; k < rate; k++) {
                    controlDriver.runQueryAtRate(rate);
                }
                double nanosPerQuery = cpuNanosPerCall("control_query", 20_000, () ->
                        controlDriver.runQueryAtRate(rate)) / 1e3;
                Rig.require(controlDriver.openQueryCount() >= rate / 20 - 1, controlDriver.openQueryCount()
                        + " queries open at a rate of " + rate);
                recordFigure("control_query", "us", rate, 0, nanosPerQuery);
                recordFigure("control_pulse", "us", rate, 0,
                        cpuNanosPerCall("control_pulse", 20_000, controlDriver::firePulse) / 1e3);
            }
        }
    }

    private void measureJournal() throws Exception {
        JournalEventParser parser = new JournalEventParser();
        int maxEventBytes = JournalEventParser.maxEventBytes();
        fronts = 0;
        engines = 0;
        recordFigure("journal_event_bound", "B", 0, 0, maxEventBytes);
        for (int sockets : new int[] {1_024, 4_096, 16_384}) {
            for (String resource : List.of("clients", "engines", "queries")) {
                recordFigure("front_holds_" + resource, "count of " + sockets + " descriptors", 0, 0,
                        JournalEventParser.capacities(sockets, MEMORY_MB).get(resource));
            }
        }
        byte[] smallEvent = ControlDriver.fullListEvent(ENGINE_COUNTS[2]);
        for (int k = 0; k < 300; k++) {
            parser.read(smallEvent, Integer.MAX_VALUE);
        }
        for (int size : new int[] {40, 400, 2_500, 6_000, 12_500, LARGEST_ENGINES}) {
            engines = size;
            byte[] event = ControlDriver.fullListEvent(size);
            for (repeat = 1; repeat <= repeatCount(); repeat++) {
                beginFigure("journal_event_cpu");
                recordFigure("journal_event", "B", 0, 0, event.length);
                recordFigure("journal_event_taken", "rows", 0, 0,
                        Math.max(0, parser.read(event, maxEventBytes)));
                long allocatedBefore = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
                Rig.require(parser.read(event, Integer.MAX_VALUE) == size,
                        "not all rows of the event were read");
                recordFigure("journal_event_allocated", "MB", 0, 0, (THREADS.getThreadAllocatedBytes(
                        Thread.currentThread().getId()) - allocatedBefore) / 1e6);
                double heapWithEvent = heapMb();
                parser.releaseParsed();
                recordFigure("journal_event_heap", "MB", 0, 0, heapWithEvent - heapMb());
                recordFigure("journal_event_cpu", "ms", 0, 0, cpuNanosPerCall("journal_event_cpu", 2_000,
                        () -> parser.read(event, Integer.MAX_VALUE)) / 1e6);
                parser.read(smallEvent, Integer.MAX_VALUE);
            }
        }
    }

    private void measureSockets() throws Exception {
        engines = MeasuredFront.ENGINES;
        fronts = 1;
        try (MeasuredFront front = new MeasuredFront()) {
            beginFigure("front_idle");
            // Lets the JIT compile the startup code before the measurement.
            front.measureIdle(5_000);
            int[] sizes = shortRun ? new int[] {0, 100} : new int[] {0, 500, 1_000, 2_000, 4_000};
            for (int connections : sizes) {
                front.connect(connections);
                for (repeat = 1; repeat <= repeatCount(); repeat++) {
                    MeasuredFront.Usage usage = front.measureIdle(1_500);
                    recordFigure("front_idle_cpu", "core", 0, connections, usage.cores());
                    recordFigure("front_idle_memory", "MB", 0, connections, usage.memoryMb());
                }
            }
        }
        try (MeasuredFront front = new MeasuredFront()) {
            beginFigure("front_busy");
            front.connect(64);
            front.measureServing(400, 6_000);
            for (int rate : shortRun ? new int[] {100, 400} : new int[] {100, 200, 400, 800}) {
                for (repeat = 1; repeat <= repeatCount(); repeat++) {
                    MeasuredFront.Usage usage = front.measureServing(rate, 2_000);
                    recordFigure("front_busy_cpu", "core", usage.queriesPerSecond(), 64, usage.cores());
                    recordFigure("front_busy_memory", "MB", usage.queriesPerSecond(), 64, usage.memoryMb());
                }
            }
            for (int connections : shortRun ? new int[] {64} : new int[] {64, 256, 1_000, 2_000}) {
                front.connect(connections);
                front.measureServing(200, 500);
                for (repeat = 1; repeat <= repeatCount(); repeat++) {
                    MeasuredFront.Usage usage = front.measureServing(200, 2_000);
                    recordFigure("front_by_connections_cpu", "core", usage.queriesPerSecond(), connections,
                            usage.cores());
                }
            }
        }
    }
}
