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
import reedspring.rig.ProcessStatus;
import reedspring.rig.Program;
import reedspring.rig.Rig;

/** One front process with stand-in engines and clients; measures the CPU and memory that the front uses. */
final class MeasuredFront implements Closeable {
    static final int ENGINES = 8;
    private static final int CALLER_THREADS = 8;
    private static final int SOCKET_LIMIT = 16_384;
    /** Descriptors of the measuring process that are kept free for everything but client connections. */
    private static final int RESERVED_DESCRIPTORS = 500;
    private final JournalStandIn journal = new JournalStandIn();
    private final ScheduledExecutorService journalCommentExecutor = Executors.newScheduledThreadPool(1);
    private final ExecutorService callerExecutor = Executors.newFixedThreadPool(CALLER_THREADS);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final Program front;
    private int issuedIds;

    /** CPU of all threads of the front in cores, its resident memory, and queries answered per second. */
    record Usage(double cores, double memoryMb, double queriesPerSecond) {
    }

    MeasuredFront() throws IOException, InterruptedException {
        String[] hosts = new String[ENGINES];
        for (int k = 0; k < ENGINES; k++) {
            engines.add(new EngineStandIn(EngineStandIn.answerWithPages(1)));
            hosts[k] = JournalStandIn.engineRow("e" + k, engines.get(k).address(), "ready");
        }
        journal.publish(true, hosts);
        journalCommentExecutor.scheduleAtFixedRate(journal::sendKeepAlive, 0, 1, TimeUnit.SECONDS);
        front = new Program(Program.configJson(Program.freeAddress(), journal.address(),
                JournalStandIn.event(1, true, hosts)).replace("\"sockets\":1024", "\"sockets\":"
                + SOCKET_LIMIT)
                .replace("\"memory_mb\":192", "\"memory_mb\":" + Slopes.MEMORY_MB)).awaitReady();
    }

    /** Opens connections up to this number, a multiple of the callers; each exchanges one heartbeat. */
    void connect(int connections) throws IOException {
        long free = freeDescriptors();
        Rig.require(connections - clients.size() + RESERVED_DESCRIPTORS < free,
                connections + " connections need more than the " + free + " free descriptors");
        while (clients.size() < connections) {
            Client client = front.connectClient();
            clients.add(client);
            client.send(Client.pack(List.of(0, 1, "heartbeat", List.of(Map.of())))).read();
        }
    }

    private static long freeDescriptors() throws IOException {
        String limit = Files.readAllLines(Path.of("/proc/self/limits")).stream()
                .filter(line -> line.startsWith("Max open files")).findFirst().orElseThrow().split(" +")[3];
        try (var open = Files.list(Path.of("/proc/self/fd"))) {
            return Long.parseLong(limit) - open.count();
        }
    }

    /** Measures the front for some time without sending queries. */
    Usage measureIdle(int durationMs) throws IOException, InterruptedException {
        Map<Path, Long> cpuBefore = cpuNanosByThread();
        long startNanos = System.nanoTime();
        Thread.sleep(durationMs);
        return usageSince(cpuBefore, startNanos, 0);
    }

    /**
     * Sends queries at this rate over all connections in turn; a caller waits for each answer before its next
     * query.
     */
    Usage measureServing(int queriesPerSecond, int durationMs) throws Exception {
        Map<Path, Long> cpuBefore = cpuNanosByThread();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + durationMs * 1_000_000L;
        List<Future<Integer>> callerResults = new ArrayList<>();
        for (int k = 0; k < CALLER_THREADS; k++) {
            int callerIndex = k;
            callerResults.add(callerExecutor.submit(() ->
                    runCaller(callerIndex, startNanos, endNanos, 1_000_000_000L * CALLER_THREADS
                            / queriesPerSecond)));
        }
        int answered = 0;
        for (Future<Integer> result : callerResults) {
            answered += result.get();
        }
        return usageSince(cpuBefore, startNanos, answered);
    }

    private int runCaller(int callerIndex, long startNanos, long endNanos, long intervalNanos)
            throws IOException, InterruptedException {
        int answered = 0;
        long nextNanos = startNanos + callerIndex * intervalNanos / CALLER_THREADS;
        for (int k = callerIndex; nextNanos < endNanos; k += CALLER_THREADS, nextNanos += intervalNanos) {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, nextNanos - System.nanoTime()));
            Client client = clients.get(k % clients.size());
            client.send(Client.query(nextId(), Client.trace(), 3_000, "select a from sales_7.orders"));
            List<?> answer = client.read();
            Rig.require(Client.error(answer) == null, "query answered with an error: " + answer);
            answered++;
        }
        return answered;
    }

    private synchronized int nextId() {
        return 2 + issuedIds++;
    }

    private Usage usageSince(Map<Path, Long> cpuBefore, long startNanos, int answered) throws IOException {
        double elapsedNanos = System.nanoTime() - startNanos;
        long cpuNanos = 0;
        for (Map.Entry<Path, Long> thread : cpuNanosByThread().entrySet()) {
            cpuNanos += thread.getValue() - cpuBefore.getOrDefault(thread.getKey(), 0L);
        }
        return new Usage(cpuNanos / elapsedNanos, ProcessStatus.RESIDENT_KB.of(front.process) * 1024 / 1e6,
                answered * 1e9 / elapsedNanos);
    }

    /**
     * CPU time of each live thread. Compared thread by thread, since JIT threads end during a measurement: in
     * a difference of sums, the time that they had used before it would be subtracted.
     */
    private Map<Path, Long> cpuNanosByThread() throws IOException {
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
        journalCommentExecutor.shutdownNow();
        callerExecutor.shutdownNow();
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
