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
import reedspring.api.Event.Listing;
import reedspring.api.Event.ListKind;
import reedspring.api.Id;
import reedspring.api.Load;

/**
 * What lists cost the decisions, in CPU of the one thread: a whole list first, the same again, one with half
 * of its engines replaced, one changed row, one load report. By engines, in one process, ended after the
 * size whose first list took over a minute. {@code java -cp target/classes:target/rig-classes
 * reedspring.rig.Lists [SIZE ...]}; a build before this one by its own target/classes.
 */
final class Lists {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double MOST_S = 60;
    private static final int REPEATS = 5;
    private static final long SECOND = 10_000;

    private Lists() {
    }

    public static void main(String[] args) {
        int[] sizes = args.length == 0 ? new int[] {40, 400, 2_500, 10_000, 25_000}
                : Arrays.stream(args).mapToInt(Integer::parseInt).toArray();
        measure(400, false);
        System.out.println("engines,first_ms,again_ms,half_replaced_ms,one_changed_ms,one_report_ms");
        for (int engines : sizes) {
            if (measure(engines, true) > MOST_S * 1e3) {
                break;
            }
        }
    }

    /** @return ms of the first list */
    private static double measure(int engines, boolean tells) {
        List<double[]> all = new ArrayList<>();
        double spent = 0;
        for (int repeat = 0; repeat < REPEATS && spent < MOST_S * 1e3 / 2; repeat++) {
            Control control = new Control(repeat, rules(), 1_000_000, action -> { });
            List<Listing> list = rows(0, engines);
            double first = listed(control, ListKind.CACHED, list);
            double again = Double.NaN;
            double half = Double.NaN;
            if (first < MOST_S * 1e3 / 3) {
                again = listed(control, ListKind.COMPLETE, list);
                half = listed(control, ListKind.COMPLETE, rows(engines / 2, engines));
            }
            double changed = 0;
            double report = 0;
            for (int k = 0; k < 20; k++) {
                Listing row = rows(engines - 1 - k, 1).get(0);
                changed += listed(control, ListKind.CHANGES, List.of(new Listing(row.engine(), row.kind(),
                        row.zone(), row.cell(), Health.DRAINING, 0))) / 20;
                report += cpu(() -> control.onEvent(1_000_000, new Event.LoadReported(row.engine(),
                        new Load(0.5, 0.5, 0.5, 3, 1)), action -> { })) / 20;
            }
            all.add(new double[] {first, again, half, changed, report});
            spent += first + again + half;
        }
        if (tells) {
            StringBuilder line = new StringBuilder().append(engines);
            for (int k = 0; k < 5; k++) {
                int column = k;
                double[] sorted = all.stream().mapToDouble(row -> row[column]).sorted().toArray();
                line.append(String.format(",%.3f", sorted[sorted.length / 2]));
            }
            System.out.println(line.append("   # median of ").append(all.size()));
        }
        return all.get(0)[0];
    }

    private static double listed(Control control, ListKind reading, List<Listing> rows) {
        return cpu(() -> control.onEvent(1_000_000, new Event.EnginesListed(reading, rows), action -> { }));
    }

    private static double cpu(Runnable what) {
        long before = THREADS.getCurrentThreadCpuTime();
        what.run();
        return (THREADS.getCurrentThreadCpuTime() - before) / 1e6;
    }

    private static List<Listing> rows(int first, int many) {
        List<Listing> rows = new ArrayList<>();
        for (int k = first; k < first + many; k++) {
            rows.add(new Listing(new Id.Engine("s-" + Integer.toHexString(0x10000000 + k)), new Id.Kind("m"),
                    new Id.Zone("z" + k % 14), new Id.Cell(k % 40), Health.UP, 0));
        }
        return rows;
    }

    private static Deployment rules() {
        return new Deployment(3_600, List.of(new Deployment.ResourceGroup(10_000, 2, 1, 0, 1,
                Deployment.Effect.READ_ONLY, Deployment.Recognised.ALL, 4 * SECOND, false, null, null)),
                List.of(new Deployment.Tenant(1, 100)),
                Map.of(new Id.Kind("m"), new Deployment.Machine(8, 16_000)),
                new Deployment.Capabilities(true, true, true, 4, SECOND / 2),
                new Deployment.Discovery(false, 10 * SECOND),
                new Deployment.ColdStart(0.3, 10 * SECOND, 3, 2 * SECOND), null, SECOND, 0.1, 2 * SECOND,
                true);
    }
}
