package reedspring.rig;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import reedspring.Control;
import reedspring.api.Deployment;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.ListKind;
import reedspring.api.Event.Listing;
import reedspring.api.Id;
import reedspring.api.Load;

/**
 * Measures the CPU time that {@code Control} takes to apply lists of engines: a first complete list, the same
 * list again, one with half of its engines replaced, one changed row, and one load report. One process
 * measures all numbers of engines, and ends after the first whose first list took over a minute. Started as
 * {@code java -cp target/classes:target/rig-classes reedspring.rig.Lists [SIZE ...]}; to measure an earlier
 * build, give its target/classes.
 */
final class Lists {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double MAX_FIRST_LIST_SECONDS = 60;
    private static final int REPEATS = 5;
    /** A tick, a tenth of a millisecond, is the unit of time of the decisions. */
    private static final long TICKS_PER_SECOND = 10_000;

    private Lists() {
    }

    public static void main(String[] args) {
        int[] sizes = args.length == 0 ? new int[] {40, 400, 2_500, 10_000, 25_000}
                : Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
        measure(400, false);
        System.out.println("engines,first_ms,again_ms,half_replaced_ms,one_changed_ms,one_report_ms");
        for (int engines : sizes) {
            if (measure(engines, true) > MAX_FIRST_LIST_SECONDS * 1e3) {
                break;
            }
        }
    }

    /** @return CPU time of the first list in the first repeat, in milliseconds */
    private static double measure(int engines, boolean print) {
        List<double[]> results = new ArrayList<>();
        double spentMs = 0;
        for (int repeat = 0; repeat < REPEATS && spentMs < MAX_FIRST_LIST_SECONDS * 1e3 / 2; repeat++) {
            Control control = new Control(repeat, deployment(), 1_000_000, action -> { });
            List<Listing> list = rows(0, engines);
            double firstMs = applyList(control, ListKind.CACHED, list);
            double againMs = Double.NaN;
            double halfReplacedMs = Double.NaN;
            if (firstMs < MAX_FIRST_LIST_SECONDS * 1e3 / 3) {
                againMs = applyList(control, ListKind.COMPLETE, list);
                halfReplacedMs = applyList(control, ListKind.COMPLETE, rows(engines / 2, engines));
            }
            double changedMs = 0;
            double reportMs = 0;
            for (int k = 0; k < 20; k++) {
                Listing row = rows(engines - 1 - k, 1).get(0);
                changedMs += applyList(control, ListKind.CHANGES,
                        List.of(new Listing(row.engine(), row.kind(),
                        row.zone(), row.cell(), Health.DRAINING, 0))) / 20;
                reportMs += cpuMs(() -> control.onEvent(1_000_000, new Event.LoadReported(row.engine(),
                        new Load(0.5, 0.5, 0.5, 3, 1)), action -> { })) / 20;
            }
            results.add(new double[] {firstMs, againMs, halfReplacedMs, changedMs, reportMs});
            spentMs += firstMs + againMs + halfReplacedMs;
        }
        if (print) {
            StringBuilder line = new StringBuilder().append(engines);
            for (int k = 0; k < 5; k++) {
                int column = k;
                double[] sorted = results.stream().mapToDouble(row -> row[column]).sorted().toArray();
                line.append(String.format(",%.3f", sorted[sorted.length / 2]));
            }
            System.out.println(line.append("   # median of ").append(results.size()));
        }
        return results.get(0)[0];
    }

    private static double applyList(Control control, ListKind reading, List<Listing> rows) {
        return cpuMs(() -> control.onEvent(1_000_000, new Event.EnginesListed(reading, rows), action -> { }));
    }

    private static double cpuMs(Runnable task) {
        long before = THREADS.getCurrentThreadCpuTime();
        task.run();
        return (THREADS.getCurrentThreadCpuTime() - before) / 1e6;
    }

    private static List<Listing> rows(int first, int count) {
        List<Listing> rows = new ArrayList<>();
        for (int k = first; k < first + count; k++) {
            rows.add(new Listing(new Id.Engine("s-" + Integer.toHexString(0x10000000 + k)), new Id.Kind("m"),
                    new Id.Zone("z" + k % 14), new Id.Cell(k % 40), Health.UP, 0));
        }
        return rows;
    }

    private static Deployment deployment() {
        return new Deployment(3_600, List.of(new Deployment.ResourceGroup(10_000, 2, 1, 0, 1,
                Deployment.Effect.READ_ONLY, Deployment.Recognised.ALL, 4 * TICKS_PER_SECOND, false, null,
                null)),
                List.of(new Deployment.Tenant(1, 100)),
                Map.of(new Id.Kind("m"), new Deployment.Machine(8, 16_000)),
                new Deployment.Capabilities(true, true, true, 4, TICKS_PER_SECOND / 2),
                new Deployment.Discovery(false, 10 * TICKS_PER_SECOND),
                new Deployment.ColdStart(0.3, 10 * TICKS_PER_SECOND, 3, 2 * TICKS_PER_SECOND), null,
                TICKS_PER_SECOND, 0.1, 2 * TICKS_PER_SECOND, true);
    }
}
