package reedspring.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * The benchmark bench/start [--against DIR]. Measures a front's CPU time by thread: until it serves, in its
 * first 5 s under 110 queries a second, and after those. With the build of another checkout, runs of the two
 * alternate.
 */
public final class Starts {
    private static final int ENGINES = 5;
    private static final int CONNECTIONS = 12;
    private static final long QUERY_INTERVAL_MICROS = 1_000_000 / 110;
    private static final long FIRST_PHASE_MS = 5_000;
    private static final long LATER_PHASE_MS = 3_000;
    /** USER_HZ, the unit of CPU times under /proc, the same on every Linux. */
    private static final double USER_HZ = 100;
    /** Maximum ratio to the other checkout's figure; runs of the same code vary by as much. */
    private static final double MAX_RATIO = 1.1;

    private Starts() {
    }

    /**
     * CPU seconds of one run.
     *
     * @param readySeconds used until the front served
     * @param firstPhaseSeconds used in the next 5 s
     * @param laterSecondsPerSecond used per second after that
     * @param firstPhaseByThread {@code firstPhaseSeconds} by thread name
     */
    private record Cost(double readySeconds, double firstPhaseSeconds, double laterSecondsPerSecond,
            Map<String, Double> firstPhaseByThread) {
    }

    private static Cost measureStart(Path home) throws Exception {
        ScheduledExecutorService load = Executors.newScheduledThreadPool(2);
        try (JournalStandIn journal = new JournalStandIn()) {
            List<EngineStandIn> engines = new ArrayList<>();
            String[] hosts = new String[ENGINES];
            for (int k = 0; k < ENGINES; k++) {
                engines.add(new EngineStandIn(command -> load.schedule(
                        () -> EngineStandIn.answerWithPages(2).accept(command), 30, TimeUnit.MILLISECONDS)));
                hosts[k] = JournalStandIn.engineRow("e" + k, engines.get(k).address(), "ready");
            }
            journal.publish(true, hosts);
            load.scheduleAtFixedRate(journal::sendKeepAlive, 0, 500, TimeUnit.MILLISECONDS);
            try (Program front = new Program(Program.configJson(Program.freeAddress(), journal.address(),
                    JournalStandIn.event(1, true, hosts)), home).awaitReady()) {
                Map<String, Double> atReady = cpuSecondsByThread(front.process.pid());
                long[] sent = new long[1];
                List<Client> clients = new ArrayList<>();
                for (int k = 0; k < CONNECTIONS; k++) {
                    Client client = front.connectClient();
                    clients.add(client);
                    Server.runInBackground(() -> {
                        while (true) {
                            client.read();
                        }
                    });
                }
                load.scheduleAtFixedRate(() -> {
                    int id = (int) ++sent[0];
                    try {
                        clients.get(id % CONNECTIONS).send(Client.query(id, Client.trace(), 3_000,
                                "select a from sales_" + id % 50 + ".orders where day = '2026-12-01'"));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                }, 0, QUERY_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
                Thread.sleep(FIRST_PHASE_MS);
                Map<String, Double> atFirst = cpuSecondsByThread(front.process.pid());
                Thread.sleep(LATER_PHASE_MS);
                Map<String, Double> atLater = cpuSecondsByThread(front.process.pid());
                Map<String, Double> byThread = new TreeMap<>();
                atFirst.forEach((name, s) -> byThread.put(name, s - atReady.getOrDefault(name, 0.0)));
                return new Cost(sum(atReady), sum(byThread),
                        (sum(atLater) - sum(atFirst)) * 1000 / LATER_PHASE_MS, byThread);
            } finally {
                for (EngineStandIn engine : engines) {
                    engine.close();
                }
            }
        } finally {
            load.shutdownNow();
        }
    }

    private static double sum(Map<String, Double> threads) {
        return threads.values().stream().mapToDouble(s -> s).sum();
    }

    /** CPU seconds by thread name, those of exited threads under "ended". */
    private static Map<String, Double> cpuSecondsByThread(long pid) throws IOException {
        Map<String, Double> threads = new HashMap<>();
        try (var tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path task : tasks.toList()) {
                String stat = Files.readString(task.resolve("stat"));
                threads.merge(stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')')), cpuSeconds(stat),
                        Double::sum);
            }
        }
        double all = cpuSeconds(Files.readString(Path.of("/proc", Long.toString(pid), "stat")));
        threads.put("ended", Math.max(0, all - sum(threads)));
        return threads;
    }

    private static double cpuSeconds(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / USER_HZ;
    }

    private static double median(List<Cost> costs, ToDoubleFunction<Cost> figure) {
        double[] sorted = costs.stream().mapToDouble(figure).sorted().toArray();
        return sorted[sorted.length / 2];
    }

    public static void main(String[] args) throws Exception {
        Bench bench = Bench.of(args);
        Map<String, Path> homes = new LinkedHashMap<>();
        homes.put("this", Path.of("."));
        if (bench.against() != null) {
            homes.put("other", Path.of(bench.against()));
        }
        Map<String, List<Cost>> costs = new LinkedHashMap<>();
        for (int round = 0; round < (bench.shortRun() ? 1 : 7); round++) {
            for (Map.Entry<String, Path> home : homes.entrySet()) {
                costs.computeIfAbsent(home.getKey(), k -> new ArrayList<>())
                        .add(measureStart(home.getValue()));
            }
        }
        StringBuilder line = new StringBuilder();
        costs.forEach((name, runs) -> {
            Map<String, Double> threads = new TreeMap<>();
            runs.forEach(run -> run.firstPhaseByThread.forEach(
                    (thread, s) -> threads.merge(thread, s / runs.size(), Double::sum)));
            System.err.println(name + ", seconds of CPU in the first 5 s by thread:");
            threads.entrySet().stream().sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                    .limit(8).forEach(e -> System.err.printf("  %-20s %.2f%n", e.getKey(), e.getValue()));
            line.append(String.format("%s_ready_s=%.2f %s_first5_s=%.2f %s_later_s=%.3f ", name,
                    median(runs, Cost::readySeconds), name, median(runs, Cost::firstPhaseSeconds), name,
                    median(runs, Cost::laterSecondsPerSecond)));
        });
        bench.printAndExit(line.toString().trim(), !costs.containsKey("other")
                || withinMaxRatio(costs, Cost::readySeconds)
                && withinMaxRatio(costs, Cost::firstPhaseSeconds)
                && withinMaxRatio(costs, Cost::laterSecondsPerSecond));
    }

    private static boolean withinMaxRatio(Map<String, List<Cost>> costs, ToDoubleFunction<Cost> figure) {
        return median(costs.get("this"), figure) <= MAX_RATIO * median(costs.get("other"), figure);
    }
}
