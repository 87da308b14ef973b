package reedspring.rig.scale;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;
import reedspring.rig.Rig;

/** One started front with its engines and clients, and what its process has used meanwhile. */
final class OneFront implements Closeable {
    static final int ENGINES = 8;
    private static final int CALLERS = 8;
    private static final int SOCKETS = 16_384;
    /** Of the one who measures, for all that is no client. */
    private static final int TO_SPARE = 500;
    private final JournalStandIn journal = new JournalStandIn();
    private final ScheduledExecutorService life = Executors.newScheduledThreadPool(1);
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final Program front;
    private int ids;

    /** Of all its threads, in cores; what the system holds of it in memory; and queries answered a second. */
    record Used(double cores, double memoryMb, double perSecond) {
    }

    OneFront() throws IOException, InterruptedException {
        String[] hosts = new String[ENGINES];
        for (int k = 0; k < ENGINES; k++) {
            engines.add(new EngineStandIn(EngineStandIn.pages(1)));
            hosts[k] = JournalStandIn.host("e" + k, engines.get(k).address(), "ready");
        }
        journal.tell(true, hosts);
        life.scheduleAtFixedRate(journal::comment, 0, 1, TimeUnit.SECONDS);
        front = new Program(Program.config(Program.freeAddress(), journal.address(),
                JournalStandIn.event(1, true, hosts)).replace("\"sockets\":1024", "\"sockets\":" + SOCKETS)
                .replace("\"memory_mb\":192", "\"memory_mb\":" + Slopes.MEMORY_MB)).ready();
    }

    /** So many connections are open, a multiple of the callers; each has asked for a sign of life. */
    void connect(int connections) throws IOException {
        long free = descriptors();
        Rig.require(connections - clients.size() + TO_SPARE < free,
                connections + " connections need more than the " + free + " descriptors that are free");
        while (clients.size() < connections) {
            Client client = front.client();
            clients.add(client);
            client.send(Client.pack(List.of(0, 1, "heartbeat", List.of(Map.of())))).read();
        }
    }

    private static long descriptors() throws IOException {
        String limit = Files.readAllLines(Path.of("/proc/self/limits")).stream()
                .filter(line -> line.startsWith("Max open files")).findFirst().orElseThrow().split(" +")[3];
        try (var open = Files.list(Path.of("/proc/self/fd"))) {
            return Long.parseLong(limit) - open.count();
        }
    }

    Used watch(int ms) throws IOException, InterruptedException {
        Map<Path, Long> before = cpuNanos();
        long since = System.nanoTime();
        Thread.sleep(ms);
        return used(before, since, 0);
    }

    /** So many queries a second over all connections in turn, each answered before its caller's next. */
    Used serve(int perSecond, int ms) throws Exception {
        Map<Path, Long> before = cpuNanos();
        long since = System.nanoTime();
        long end = since + ms * 1_000_000L;
        List<Future<Integer>> done = new ArrayList<>();
        for (int k = 0; k < CALLERS; k++) {
            int first = k;
            done.add(callers.submit(() -> call(first, since, end, 1_000_000_000L * CALLERS / perSecond)));
        }
        int answered = 0;
        for (Future<Integer> each : done) {
            answered += each.get();
        }
        return used(before, since, answered);
    }

    private int call(int first, long since, long end, long every) throws IOException, InterruptedException {
        int answered = 0;
        long at = since + first * every / CALLERS;
        for (int k = first; at < end; k += CALLERS, at += every) {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, at - System.nanoTime()));
            Client client = clients.get(k % clients.size());
            client.send(Client.query(id(), Client.trace(), 3_000, "select a from sales_7.orders"));
            List<?> answer = client.read();
            Rig.require(Client.error(answer) == null, "refused: " + answer);
            answered++;
        }
        return answered;
    }

    private synchronized int id() {
        return 2 + ids++;
    }

    private Used used(Map<Path, Long> before, long since, int answered) throws IOException {
        double took = System.nanoTime() - since;
        String resident = Files.readAllLines(Path.of("/proc/" + front.process.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS:")).findFirst().orElseThrow().replaceAll("[^0-9]", "");
        long nanos = 0;
        for (Map.Entry<Path, Long> thread : cpuNanos().entrySet()) {
            nanos += thread.getValue() - before.getOrDefault(thread.getKey(), 0L);
        }
        return new Used(nanos / took, Long.parseLong(resident) * 1024 / 1e6,
                answered * 1e9 / took);
    }

    /**
     * Of the threads that live. A front's own do for its whole life; the JIT's end, and with a sum over all
     * what those had taken before would have been taken off what is measured.
     */
    private Map<Path, Long> cpuNanos() throws IOException {
        Map<Path, Long> threads = new HashMap<>();
        try (var tasks = Files.list(Path.of("/proc/" + front.process.pid() + "/task"))) {
            for (Path task : tasks.toList()) {
                threads.put(task, Long.parseLong(Files.readString(task.resolve("schedstat")).split(" ")[0]));
            }
        }
        return threads;
    }

    @Override
    public void close() throws IOException {
        life.shutdownNow();
        callers.shutdownNow();
        for (Client client : clients) {
            client.close();
        }
        front.close();
        journal.close();
        for (EngineStandIn engine : engines) {
            engine.close();
        }
    }
}
