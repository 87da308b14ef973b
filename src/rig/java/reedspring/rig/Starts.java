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
 * What a started front costs in CPU: until it serves, in its first 5 s under 110 queries a second, and after
 * them, by thread. With another checkout that is built, in turns with it: bench/start [--against DIR].
 */
public final class Starts {
    private static final int ENGINES = 5;
    private static final int CONNECTIONS = 12;
    private static final long EACH_MICROS = 1_000_000 / 110;
    private static final long FIRST_MS = 5_000;
    private static final long LATER_MS = 3_000;
    /** Of the kernel's clock ticks for user programs, the same on every Linux. */
    private static final double TICKS_A_SECOND = 100;
    /** Of the other checkout's figure: what one run differs from the next by chance. */
    private static final double AT_MOST = 1.1;

    private Starts() {
    }

    /** Seconds of CPU: until it serves, until 5 s after that, and a second from then on. */
    private record Cost(double ready, double first, double second, Map<String, Double> firstByThread) {
    }

    private static Cost one(Path home) throws Exception {
        ScheduledExecutorService load = Executors.newScheduledThreadPool(2);
        try (JournalStandIn journal = new JournalStandIn()) {
            List<EngineStandIn> engines = new ArrayList<>();
            String[] hosts = new String[ENGINES];
            for (int k = 0; k < ENGINES; k++) {
                engines.add(new EngineStandIn(command -> load.schedule(
                        () -> EngineStandIn.pages(2).accept(command), 30, TimeUnit.MILLISECONDS)));
                hosts[k] = JournalStandIn.host("e" + k, engines.get(k).address(), "ready");
            }
            journal.tell(true, hosts);
            load.scheduleAtFixedRate(journal::comment, 0, 500, TimeUnit.MILLISECONDS);
            try (Program front = new Program(Program.config(Program.freeAddress(), journal.address(),
                    JournalStandIn.event(1, true, hosts)), home).ready()) {
                Map<String, Double> atReady = cpu(front.process.pid());
                long[] sent = new long[1];
                List<Client> clients = new ArrayList<>();
                for (int k = 0; k < CONNECTIONS; k++) {
                    Client client = front.client();
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
                }, 0, EACH_MICROS, TimeUnit.MICROSECONDS);
                Thread.sleep(FIRST_MS);
                Map<String, Double> atFirst = cpu(front.process.pid());
                Thread.sleep(LATER_MS);
                Map<String, Double> atLater = cpu(front.process.pid());
                Map<String, Double> byThread = new TreeMap<>();
                atFirst.forEach((name, s) -> byThread.put(name, s - atReady.getOrDefault(name, 0.0)));
                return new Cost(sum(atReady), sum(byThread),
                        (sum(atLater) - sum(atFirst)) * 1000 / LATER_MS, byThread);
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

    /** Seconds by thread; what threads that have ended took is under "ended". */
    private static Map<String, Double> cpu(long pid) throws IOException {
        Map<String, Double> threads = new HashMap<>();
        try (var tasks = Files.list(Path.of("/proc", Long.toString(pid), "task"))) {
            for (Path task : tasks.toList()) {
                String stat = Files.readString(task.resolve("stat"));
                threads.merge(stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')')), ticks(stat),
                        Double::sum);
            }
        }
        double all = ticks(Files.readString(Path.of("/proc", Long.toString(pid), "stat")));
        threads.put("ended", Math.max(0, all - sum(threads)));
        return threads;
    }

    private static double ticks(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS_A_SECOND;
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
        for (int round = 0; round < (bench.shortly() ? 1 : 7); round++) {
            for (Map.Entry<String, Path> home : homes.entrySet()) {
                costs.computeIfAbsent(home.getKey(), k -> new ArrayList<>()).add(one(home.getValue()));
            }
        }
        StringBuilder line = new StringBuilder();
        costs.forEach((name, runs) -> {
            Map<String, Double> threads = new TreeMap<>();
            runs.forEach(run -> run.firstByThread.forEach(
                    (thread, s) -> threads.merge(thread, s / runs.size(), Double::sum)));
            System.err.println(name + ", seconds of CPU in the first 5 s by thread:");
            threads.entrySet().stream().sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                    .limit(8).forEach(e -> System.err.printf("  %-20s %.2f%n", e.getKey(), e.getValue()));
            line.append(String.format("%s_ready_s=%.2f %s_first5_s=%.2f %s_later_s=%.3f ", name,
                    median(runs, Cost::ready), name, median(runs, Cost::first), name,
                    median(runs, Cost::second)));
        });
        bench.end(line.toString().trim(), !costs.containsKey("other") || notMore(costs, Cost::ready)
                && notMore(costs, Cost::first) && notMore(costs, Cost::second));
    }

    private static boolean notMore(Map<String, List<Cost>> costs, ToDoubleFunction<Cost> figure) {
        return median(costs.get("this"), figure) <= AT_MOST * median(costs.get("other"), figure);
    }
}
