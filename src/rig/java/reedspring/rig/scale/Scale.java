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

/** Main class of bench/scale: runs many hollow fronts beside a few real ones, with the events of a timetable. */
@Command(name = "bench/scale", sortOptions = false)
public final class Scale implements Callable<Integer> {
    private static final int USAGE = 64;
    private static final int UNUSABLE = 78;
    private static final int UNAVAILABLE = 69;
    private static final int BROKEN = 1;

    @Option(names = "--seed", paramLabel = "N", description = "of all that is drawn")
    private long seed = 1;
    @Option(names = "--fronts", paramLabel = "N", description = "in place of the timetable's")
    private int fronts;
    @Option(names = "--engines", paramLabel = "N", description = "in place of the timetable's")
    private int engines;
    @Option(names = "--real", paramLabel = "N", description = "how many of the fronts are started programs")
    private int real;
    @Option(names = "--short", description = "ends in two minutes")
    private boolean shortly;
    @Option(names = "--timetable", paramLabel = "FILE", description = "what happens when")
    private Path timetable;
    @Option(names = "--out", paramLabel = "DIR", description = "for the figures as CSV and the charts as SVG")
    private Path out;
    @Option(names = "--page", description = "prints the table of docs/CAPACITY.md from the kept figures")
    private boolean page;
    @Option(names = "--slopes", description = "measures each factor alone instead, into --out")
    private boolean slopes;

    public static void main(String[] args) {
        CommandLine line = new CommandLine(new Scale());
        line.setParameterExceptionHandler((e, given) -> {
            System.err.println(e.getMessage());
            e.getCommandLine().usage(System.err);
            return USAGE;
        });
        System.exit(line.execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (page) {
            System.out.print(Page.tables(Figures.readAll(Page.RESULTS)));
            return 0;
        }
        if (slopes) {
            if (out == null) {
                System.err.println("bench/scale: --slopes needs --out");
                return USAGE;
            }
            Files.createDirectories(out);
            List<Figures.Figure> all = Slopes.measure(out, seed, shortly, null);
            System.out.println("figures=" + all.size() + " charts=" + SlopeCharts.writeByEngines(all, out).size());
            return 0;
        }
        Path file = timetable != null ? timetable
                : Path.of("bench/timetables/" + (shortly ? "scale-short.ini" : "scale-day.ini"));
        Timetable table;
        try {
            table = Timetable.read(file);
        } catch (SettingsException e) {
            System.err.println(e.getMessage());
            return UNUSABLE;
        }
        int f = fronts > 0 ? fronts : table.fronts();
        int e = engines > 0 ? engines : table.engines();
        int r = Math.min(f, real > 0 ? real : shortly ? 4 : 8);
        Size size = new Size(f, e, r);
        String lacking = size.lacks();
        if (lacking != null) {
            System.err.println("bench/scale: " + lacking);
            return UNAVAILABLE;
        }
        if (out != null) {
            Files.createDirectories(out);
        }
        try (ScaleRun run = new ScaleRun(table, file, size, seed, true)) {
            ScaleRun.Result result = run.play();
            if (out != null) {
                Figures.write(out.resolve("scale.csv"), result.figures());
                InForceChart.write(out.resolve("in-force.svg"), f + " fronts, " + e + " engines", result.figures());
            }
            System.out.println(result.line());
            result.broken().forEach(what -> System.err.println("BROKEN " + what));
            return result.broken().isEmpty() ? 0 : BROKEN;
        } catch (IOException | IllegalStateException | AssertionError broken) {
            System.err.println("bench/scale: run failed: " + broken.getMessage());
            return UNAVAILABLE;
        }
    }

    /** Number of fronts, engines, and real fronts among the fronts, and the machine resources that they need. */
    record Size(int fronts, int engines, int real) {
        private static final int FRONTS_A_HOST = 250;
        private static final int ENGINES_A_HOST = 8_192;
        private static final int OWN = 200;
        private static final int MOST_PROCESSES = 200;
        private static final int MAIN_MB = 1024;

        int hollowHosts() {
            return (hollow() + FRONTS_A_HOST - 1) / FRONTS_A_HOST;
        }

        int engineHosts() {
            return (engines + ENGINES_A_HOST - 1) / ENGINES_A_HOST;
        }

        int hollow() {
            return fronts - real;
        }

        /** Heap of one process of hollow fronts. A front was measured to hold under a kilobyte for each engine. */
        int hollowHeapMb() {
            int each = (hollow() + Math.max(1, hollowHosts()) - 1) / Math.max(1, hollowHosts());
            return 192 + (int) (each * (0.25 + engines * 0.0015));
        }

        int realMb() {
            return engines <= 2_000 ? 128 : 256;
        }

        /** Descriptors of the process that needs the most. */
        int descriptors() {
            int main = OWN + (JournalService.ADDRESSES_PER_WATCHER + 2) * fronts;
            int engineHost = OWN + Math.min(engines, ENGINES_A_HOST) + 300 * real;
            int hollowHost = OWN + 2 * Math.min(hollow(), FRONTS_A_HOST);
            return Math.max(main, Math.max(engineHost, hollowHost));
        }

        long memoryMb() {
            return MAIN_MB + (long) hollowHosts() * hollowHeapMb() + engineHosts() * 512L + 256
                    + (long) real * realMb();
        }

        /** A message about a resource that the machine lacks, or null. */
        String lacks() {
            var system = ManagementFactory.getOperatingSystemMXBean();
            long limit = system instanceof UnixOperatingSystemMXBean unix
                    ? unix.getMaxFileDescriptorCount() : Long.MAX_VALUE;
            long half = ((OperatingSystemMXBean) system).getTotalMemorySize() / 2 >> 20;
            int processes = 2 + hollowHosts() + engineHosts() + real;
            return descriptors() > limit ? String.format(Locale.ROOT,
                    "%d descriptors are needed in one process for %d fronts and %d engines, the limit is %d",
                    descriptors(), fronts, engines, limit)
                    : memoryMb() > half ? String.format(Locale.ROOT, "%d MB are needed for %d fronts and %d "
                    + "engines, half of the machine's memory is %d MB", memoryMb(), fronts, engines, half)
                    : processes > MOST_PROCESSES ? processes + " processes are needed, the most are "
                    + MOST_PROCESSES : null;
        }
    }
}
