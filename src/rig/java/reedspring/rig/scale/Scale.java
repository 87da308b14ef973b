package reedspring.rig.scale;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedspring.rig.fleet.Timetable;
import reedspring.settings.SettingsException;

/**
 * Main class of bench/scale: runs many hollow fronts beside a few real ones, with the events of a timetable.
 */
@Command(name = "bench/scale", sortOptions = false)
public final class Scale implements Callable<Integer> {
    private static final int EXIT_USAGE = 64;
    private static final int EXIT_UNUSABLE_CONFIGURATION = 78;
    private static final int EXIT_UNAVAILABLE = 69;
    private static final int EXIT_RULE_VIOLATED = 1;

    @Option(names = "--seed", paramLabel = "N", description = "seed of all random choices")
    private long seed = 1;
    @Option(names = "--fronts", paramLabel = "N", description =
            "number of fronts, instead of the timetable's")
    private int fronts;
    @Option(names = "--engines", paramLabel = "N", description =
            "number of engines, instead of the timetable's")
    private int engines;
    @Option(names = "--real", paramLabel = "N", description = "number of fronts that run as processes")
    private int real;
    @Option(names = "--short", description = "runs for at most two minutes")
    private boolean shortRun;
    @Option(names = "--timetable", paramLabel = "FILE", description = "timetable of the run")
    private Path timetable;
    @Option(names = "--out", paramLabel = "DIR", description =
            "directory for the figures (CSV) and the charts (SVG)")
    private Path outDirectory;
    @Option(names = "--page", description = "prints the tables of docs/CAPACITY.md from the kept figures")
    private boolean page;
    @Option(names = "--slopes", description = "measures the cost of each factor instead, into --out")
    private boolean slopes;

    public static void main(String[] args) {
        CommandLine commandLine = new CommandLine(new Scale());
        commandLine.setParameterExceptionHandler((e, arguments) -> {
            System.err.println(e.getMessage());
            e.getCommandLine().usage(System.err);
            return EXIT_USAGE;
        });
        System.exit(commandLine.execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (page) {
            System.out.print(Page.tables(Figures.readAll(Page.RESULTS)));
            return 0;
        }
        if (slopes) {
            if (outDirectory == null) {
                System.err.println("bench/scale: --slopes needs --out");
                return EXIT_USAGE;
            }
            Files.createDirectories(outDirectory);
            List<Figures.Figure> all = Slopes.measure(outDirectory, seed, shortRun, null);
            System.out.println("figures=" + all.size() + " charts="
                    + SlopeCharts.writeByEngines(all, outDirectory).size());
            return 0;
        }
        Path file = timetable != null ? timetable
                : Path.of("bench/timetables/" + (shortRun ? "scale-short.ini" : "scale-day.ini"));
        Timetable table;
        try {
            table = Timetable.read(file);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return EXIT_UNUSABLE_CONFIGURATION;
        }
        int frontCount = fronts > 0 ? fronts : table.fronts();
        int engineCount = engines > 0 ? engines : table.engines();
        int realCount = Math.min(frontCount, real > 0 ? real : shortRun ? 4 : 8);
        Size size = new Size(frontCount, engineCount, realCount);
        String lackingResource = size.lackingResource();
        if (lackingResource != null) {
            System.err.println("bench/scale: " + lackingResource);
            return EXIT_UNAVAILABLE;
        }
        if (outDirectory != null) {
            Files.createDirectories(outDirectory);
        }
        try (ScaleRun run = new ScaleRun(table, file, size, seed, true)) {
            ScaleRun.Result result = run.play();
            if (outDirectory != null) {
                Figures.write(outDirectory.resolve("scale.csv"), result.figures());
                InForceChart.write(outDirectory.resolve("in-force.svg"), frontCount + " fronts, "
                        + engineCount + " engines", result.figures());
            }
            System.out.println(result.summary());
            result.violations().forEach(violation -> System.err.println("BROKEN " + violation));
            return result.violations().isEmpty() ? 0 : EXIT_RULE_VIOLATED;
        } catch (IOException | IllegalStateException | AssertionError broken) {
            System.err.println("bench/scale: run failed: " + broken.getMessage());
            return EXIT_UNAVAILABLE;
        }
    }

    /**
     * Number of fronts, engines, and real fronts among the fronts, and the machine resources that they need.
     */
    record Size(int fronts, int engines, int realFronts) {
        private static final int FRONTS_PER_PROCESS = 250;
        private static final int ENGINES_PER_PROCESS = 8_192;
        private static final int BASE_DESCRIPTORS = 200;
        private static final int MAX_PROCESSES = 200;
        private static final int MAIN_PROCESS_MB = 1024;

        int hollowProcesses() {
            return (hollowFronts() + FRONTS_PER_PROCESS - 1) / FRONTS_PER_PROCESS;
        }

        int engineProcesses() {
            return (engines + ENGINES_PER_PROCESS - 1) / ENGINES_PER_PROCESS;
        }

        int hollowFronts() {
            return fronts - realFronts;
        }

        /**
         * Heap of one process of hollow fronts. A front was measured to hold under a kilobyte for each
         * engine.
         */
        int hollowHeapMb() {
            int frontsPerProcess = (hollowFronts() + Math.max(1, hollowProcesses()) - 1)
                    / Math.max(1, hollowProcesses());
            return 192 + (int) (frontsPerProcess * (0.25 + engines * 0.0015));
        }

        int realMb() {
            return engines <= 2_000 ? 128 : 256;
        }

        /** Descriptors of the process that needs the most. */
        int descriptors() {
            int main = BASE_DESCRIPTORS + (JournalService.ADDRESSES_PER_WATCHER + 2) * fronts;
            int engineProcess = BASE_DESCRIPTORS + Math.min(engines, ENGINES_PER_PROCESS) + 300 * realFronts;
            int hollowProcess = BASE_DESCRIPTORS + 2 * Math.min(hollowFronts(), FRONTS_PER_PROCESS);
            return Math.max(main, Math.max(engineProcess, hollowProcess));
        }

        long memoryMb() {
            return MAIN_PROCESS_MB + (long) hollowProcesses() * hollowHeapMb() + engineProcesses() * 512L
                    + 256 + (long) realFronts * realMb();
        }

        /** A message about a resource that the machine lacks, or null. */
        String lackingResource() {
            var system = ManagementFactory.getOperatingSystemMXBean();
            long limit = system instanceof UnixOperatingSystemMXBean unix
                    ? unix.getMaxFileDescriptorCount() : Long.MAX_VALUE;
            long halfMemoryMb = ((OperatingSystemMXBean) system).getTotalMemorySize() / 2 >> 20;
            int processes = 2 + hollowProcesses() + engineProcesses() + realFronts;
            return descriptors() > limit ? String.format(Locale.ROOT,
                    "%d descriptors are needed in one process for %d fronts and %d engines, the limit is %d",
                    descriptors(), fronts, engines, limit)
                    : memoryMb() > halfMemoryMb ? String.format(Locale.ROOT,
                    "%d MB are needed for %d fronts and %d "
                    + "engines, half of the machine's memory is %d MB", memoryMb(), fronts, engines,
                    halfMemoryMb)
                    : processes > MAX_PROCESSES ? processes + " processes are needed, the most are "
                    + MAX_PROCESSES : null;
        }
    }
}
