package reedspring.rig;

import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * The benchmark bench/spool. Compares clients that read from a front with a spool slowly and fast, and kills
 * the front under load to check that every answer with a handle survives.
 */
public final class Keeps implements Closeable {
    private static final int LARGE_ANSWER_PAGES = 5;
    private static final int PATIENCE_MS = 9_000;
    private static final int MEMORY_MB = 192;
    private static final int WARM_UP_QUERIES = 300;

    private final Path directory = Files.createTempDirectory("reedspring-spool");
    private final JournalStandIn journal = new JournalStandIn();
    private final AtomicLong engineBusyNanos = new AtomicLong();
    private final Map<String, Long> fetchNanos = new ConcurrentHashMap<>();
    private final EngineStandIn engine = new EngineStandIn(this::handleCommand);
    private final String listen = Program.freeAddress();
    private Program front;

    private Keeps() throws IOException {
        Files.createDirectory(directory.resolve("spool"));
        Files.write(directory.resolve("key"), "a key for this run alone".getBytes());
        Files.writeString(directory.resolve("own.ini"), "[spool]\nfolder = " + directory.resolve("spool")
                + "\nkey_file = " + directory.resolve("key")
                        + "\ntotal = 256MB\ntenant_part = 100%\nkeep = 1h\n");
    }

    /** Handles a command. The engine is busy from a query's arrival until its last page has been fetched. */
    private void handleCommand(EngineStandIn.Command command) {
        if (command.word().equals("fetch")) {
            fetchNanos.put(command.id(), command.firstByteNanos());
            EngineStandIn.answerWithPages(command.words().get(3).equals("large") ? LARGE_ANSWER_PAGES : 1)
                    .accept(command);
            if (!command.words().get(3).equals("large")) {
                fetchNanos.remove(command.id());
            }
        } else if (command.word().equals("done")) {
            Long startNanos = fetchNanos.remove(command.id());
            engineBusyNanos.addAndGet(startNanos == null ? 0 : System.nanoTime() - startNanos);
        } else {
            EngineStandIn.answerWithPages(LARGE_ANSWER_PAGES).accept(command);
        }
    }

    private void start() throws Exception {
        front = Program.withSettings(Program.configJson(listen, journal.address(),
                event(1, true, engineRow("e0", engine.address(), "ready"))), directory.resolve("own.ini"))
                .awaitReady();
        Rig.await("the recovery of the spool", () -> front.logged("answers found"));
    }

    private void kill() throws Exception {
        front.sendSignal("-KILL");
        Rig.require(front.process.waitFor(20, TimeUnit.SECONDS), "the front did not exit after SIGKILL");
    }

    private Client client(int bytesPerSecond) throws IOException {
        return new Client(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)), bytesPerSecond);
    }

    @Override
    public void close() throws IOException {
        if (front != null) {
            front.close();
        }
        engine.close();
        journal.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    private static byte[] query(int id, String trace, boolean large) {
        Map<String, Object> fields = Client.fields(trace, PATIENCE_MS);
        if (large) {
            fields.put("pages", "1");
        }
        return Client.pack(List.of(0, id, "lookup", List.of(fields, (large ? "large" : "small").getBytes())));
    }

    private static byte[] page(int id, String handle, int page) {
        return Client.pack(List.of(0, id, "page", List.of(Map.of("handle", handle, "customer", "acme",
                "sheet", Integer.toString(page)))));
    }

    private static String handle(List<?> answer) {
        List<?> pairs = answer.get(2) != null ? List.of() : (List<?>) ((List<?>) answer.get(3)).get(1);
        int at = pairs.indexOf("handle");
        return at < 0 ? null : (String) pairs.get(at + 1);
    }

    // ---- slow clients compared with fast ones

    /**
     * The result of one run; its names are printed.
     *
     * @param busyS the engine's busy time in seconds
     * @param p99Ms the 99th percentile of the latency of small queries
     * @param memoryKb the front's peak resident memory
     * @param wrong the number of wrong pages
     */
    private record Pace(double busyS, double p99Ms, long memoryKb, int wrong) {
    }

    /** Lets {@code clients} clients each read a large answer while another one sends small queries. */
    private static Pace measurePace(int bytesPerSecond, int clients, long seed) throws Exception {
        try (Keeps rig = new Keeps()) {
            rig.start();
            // A JVM that is not warmed up delays engines at random for longer than slow clients do.
            for (int k = 0; k < WARM_UP_QUERIES; k++) {
                Rig.require(rig.readLargeAnswer(Integer.MAX_VALUE) == 0, "wrong pages during warm-up");
            }
            rig.engineBusyNanos.set(0);
            ExecutorService readers = Executors.newCachedThreadPool();
            List<Future<Integer>> wrongPagesByReader = new ArrayList<>();
            for (int k = 0; k < clients; k++) {
                wrongPagesByReader.add(readers.submit(() -> rig.readLargeAnswer(bytesPerSecond)));
            }
            // The load of small queries is the same for the same time, independent of the other clients.
            SplittableRandom random = new SplittableRandom(seed);
            List<Double> latenciesMs = new ArrayList<>();
            try (Client smallQueryClient = rig.client(Integer.MAX_VALUE)) {
                long end = System.nanoTime() + 15_000_000_000L;
                for (int id = 1; System.nanoTime() < end; id++) {
                    long sent = System.nanoTime();
                    smallQueryClient.send(query(id, Client.trace(), false)).read();
                    latenciesMs.add((System.nanoTime() - sent) / 1e6);
                    Thread.sleep(random.nextInt(10));
                }
            }
            int wrongPages = 0;
            for (Future<Integer> each : wrongPagesByReader) {
                wrongPages += each.get(120, TimeUnit.SECONDS);
            }
            readers.shutdown();
            long peakMemoryKb = ProcessStatus.PEAK_RESIDENT_KB.of(rig.front.process);
            latenciesMs.sort(null);
            return new Pace(rig.engineBusyNanos.get() / 1e9, latenciesMs.get(latenciesMs.size() * 99 / 100),
                    peakMemoryKb, wrongPages);
        }
    }

    /** Reads one large answer and returns the number of pages that differ from the engine's. */
    private int readLargeAnswer(int bytesPerSecond) throws IOException, InterruptedException {
        try (Client client = client(bytesPerSecond)) {
            client.socket.setSoTimeout(60_000);
            String trace = Client.trace();
            List<?> answer = client.send(query(1, trace, true)).read();
            String handle = handle(answer);
            int wrongPages = handle != null && EngineStandIn.page(trace, 0).equals(Client.rows(answer))
                    ? 0 : 1;
            for (int page = 1; handle != null && page < LARGE_ANSWER_PAGES; page++) {
                List<?> pageAnswer = client.send(page(page + 1, handle, page)).read();
                if ("Shed".equals(Client.error(pageAnswer))
                        && ((List<?>) ((List<?>) pageAnswer.get(2)).get(1)).contains("pause")) {
                    // The front asks the client to retry later.
                    Thread.sleep(100);
                    page--;
                    continue;
                }
                wrongPages += EngineStandIn.page(trace, page).equals(Client.rows(pageAnswer)) ? 0 : 1;
            }
            return wrongPages;
        }
    }

    // ---- kills

    /**
     * The result of the runs with kills; its names are printed.
     *
     * @param kept the number of answers that had a handle
     * @param lost the number of their pages that were gone after the kill
     * @param wrong the number of their pages that had other rows
     * @param twice the number of answers to a request that was answered already
     * @param silent the number of clients that did not notice the kill within 5 s
     */
    private record Toll(int kills, int kept, int lost, int wrong, int twice, int silent) {
    }

    /** Kills the front at seeded random times under load, and then reads every answer that had a handle. */
    private static Toll killRepeatedly(int count, long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, String> handlesByTrace = new ConcurrentHashMap<>();
        int lostPages = 0;
        int wrongPages = 0;
        int[] duplicates = new int[1];
        int hangingClients = 0;
        int keptAnswers = 0;
        try (Keeps rig = new Keeps()) {
            rig.start();
            for (int kill = 0; kill < count; kill++) {
                List<Thread> clientThreads = new CopyOnWriteArrayList<>();
                for (int k = 0; k < 6; k++) {
                    Thread clientThread = new Thread(() -> rig.queryUntilKilled(handlesByTrace, duplicates));
                    clientThread.start();
                    clientThreads.add(clientThread);
                }
                Thread.sleep(100 + random.nextInt(500));
                rig.kill();
                for (Thread clientThread : clientThreads) {
                    // The kernel closes the connection with the process, so the client ends at once.
                    clientThread.join(5_000);
                    hangingClients += clientThread.isAlive() ? 1 : 0;
                }
                rig.start();
                if (random.nextInt(4) == 0) {
                    // Kill it again just after recovery, while it may still be writing indexes.
                    rig.kill();
                    rig.start();
                }
                try (Client reader = rig.client(Integer.MAX_VALUE)) {
                    int id = 0;
                    for (Map.Entry<String, String> each : new HashMap<>(handlesByTrace).entrySet()) {
                        for (int page = 0; page < LARGE_ANSWER_PAGES; page++) {
                            String rows = Client.rows(reader.send(page(++id, each.getValue(), page)).read());
                            lostPages += rows == null ? 1 : 0;
                            wrongPages += rows != null
                                    && !rows.equals(EngineStandIn.page(each.getKey(), page)) ? 1 : 0;
                        }
                    }
                }
                keptAnswers += handlesByTrace.size();
                handlesByTrace.clear();
            }
        }
        return new Toll(count, keptAnswers, lostPages, wrongPages, duplicates[0], hangingClients);
    }

    private void queryUntilKilled(Map<String, String> handlesByTrace, int[] duplicates) {
        try (Client client = client(Integer.MAX_VALUE)) {
            Map<Long, String> openTraces = new HashMap<>();
            for (int id = 1; ; id++) {
                String trace = Client.trace();
                openTraces.put((long) id, trace);
                List<?> answer = client.send(query(id, trace, true)).read();
                String answeredTrace = openTraces.remove((Long) answer.get(1));
                if (answeredTrace == null) {
                    synchronized (duplicates) {
                        duplicates[0]++;
                    }
                } else if (handle(answer) != null) {
                    handlesByTrace.put(answeredTrace, handle(answer));
                }
            }
        } catch (IOException | UncheckedIOException e) {
            // the front was killed
        }
    }

    public static void main(String[] args) throws Exception {
        Bench bench = Bench.of(args);
        int clients = bench.shortRun() ? 20 : 50;
        Pace fast = measurePace(Integer.MAX_VALUE, clients, bench.seed());
        System.err.println("fast clients: " + fast);
        Pace slow = measurePace(1_000, clients, bench.seed());
        System.err.println("slow clients: " + slow);
        Toll killResult = killRepeatedly(bench.shortRun() ? 20 : 200, bench.seed());
        System.err.println(killResult);
        double busyRatio = slow.busyS / fast.busyS;
        double p99Ratio = slow.p99Ms / fast.p99Ms;
        boolean targetsMet = busyRatio <= 1.05 && p99Ratio <= 1.10 && slow.memoryKb <= MEMORY_MB * 1024L
                && killResult.kept > 0 && fast.wrong + slow.wrong + killResult.lost + killResult.wrong
                        + killResult.twice + killResult.silent == 0;
        String storeFigures = Appends.figures(bench.shortRun() ? new double[] {0.1}
                : new double[] {0.1, 1, 4});
        bench.printAndExit(String.format(
                "clients=%d busy_fast_s=%.3f busy_slow_s=%.3f busy_ratio=%.3f p99_fast_ms=%.2f "
                + "p99_slow_ms=%.2f p99_ratio=%.3f memory_mb=%d wrong_pages=%d kills=%d kept=%d lost=%d "
                + "wrong=%d twice=%d silent=%d %s", clients, fast.busyS, slow.busyS, busyRatio, fast.p99Ms,
                slow.p99Ms, p99Ratio, slow.memoryKb / 1024, fast.wrong + slow.wrong,
                killResult.kills, killResult.kept, killResult.lost, killResult.wrong, killResult.twice,
                killResult.silent, storeFigures), targetsMet);
    }
}
