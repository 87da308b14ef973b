package reedspring.rig;

import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;

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
 * A started front with a spool, round which clients read at the pace of a slow line or a fast one, and which
 * is killed under load: bench/spool.
 */
public final class Keeps implements Closeable {
    private static final int PAGES = 5;
    private static final int PATIENCE_MS = 9_000;
    private static final int MEMORY_MB = 192;
    private static final int WARM_UP = 300;

    private final Path folder = Files.createTempDirectory("reedspring-spool");
    private final JournalStandIn journal = new JournalStandIn();
    private final AtomicLong busyNanos = new AtomicLong();
    private final Map<String, Long> fetchedAt = new ConcurrentHashMap<>();
    private final EngineStandIn engine = new EngineStandIn(this::work);
    private final String listen = Program.freeAddress();
    private Program front;

    private Keeps() throws IOException {
        Files.createDirectory(folder.resolve("spool"));
        Files.write(folder.resolve("key"), "a key for this run alone".getBytes());
        Files.writeString(folder.resolve("own.ini"), "[spool]\nfolder = " + folder.resolve("spool")
                + "\nkey_file = " + folder.resolve("key")
                        + "\ntotal = 256MB\ntenant_part = 100%\nkeep = 1h\n");
    }

    /** Busy from a query's arrival until its last page is taken. */
    private void work(EngineStandIn.Command command) {
        if (command.word().equals("fetch")) {
            fetchedAt.put(command.id(), command.at());
            EngineStandIn.pages(command.words().get(3).equals("large") ? PAGES : 1).accept(command);
            if (!command.words().get(3).equals("large")) {
                fetchedAt.remove(command.id());
            }
        } else if (command.word().equals("done")) {
            Long since = fetchedAt.remove(command.id());
            busyNanos.addAndGet(since == null ? 0 : System.nanoTime() - since);
        } else {
            EngineStandIn.pages(PAGES).accept(command);
        }
    }

    private void start() throws Exception {
        front = Program.with(Program.config(listen, journal.address(),
                event(1, true, host("e0", engine.address(), "ready"))), folder.resolve("own.ini")).ready();
        Rig.await("what lies on the disk", () -> front.logged("answers found"));
    }

    private void kill() throws Exception {
        front.signal("-KILL");
        Rig.require(front.process.waitFor(20, TimeUnit.SECONDS), "a front that outlives SIGKILL");
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
        try (Stream<Path> files = Files.walk(folder)) {
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
                "sheet",
                Integer.toString(page)))));
    }

    private static String handle(List<?> answer) {
        List<?> pairs = answer.get(2) != null ? List.of() : (List<?>) ((List<?>) answer.get(3)).get(1);
        int at = pairs.indexOf("handle");
        return at < 0 ? null : (String) pairs.get(at + 1);
    }

    // ---- slow clients against fast ones

    private record Pace(double busyS, double p99Ms, long memoryKb, int wrong) {
    }

    /** So many clients each ask for a large answer and read it; others ask for small ones all the while. */
    private static Pace pace(int bytesPerSecond, int clients, long seed) throws Exception {
        try (Keeps rig = new Keeps()) {
            rig.start();
            // A JVM that has just started makes engines wait by chance more than slow clients ever do.
            for (int k = 0; k < WARM_UP; k++) {
                Rig.require(rig.readAll(Integer.MAX_VALUE) == 0, "wrong pages before the start");
            }
            rig.busyNanos.set(0);
            ExecutorService readers = Executors.newCachedThreadPool();
            List<Future<Integer>> wrong = new ArrayList<>();
            for (int k = 0; k < clients; k++) {
                wrong.add(readers.submit(() -> rig.readAll(bytesPerSecond)));
            }
            // The same small queries for the same time whatever the others do.
            SplittableRandom chance = new SplittableRandom(seed);
            List<Double> took = new ArrayList<>();
            try (Client other = rig.client(Integer.MAX_VALUE)) {
                long end = System.nanoTime() + 15_000_000_000L;
                for (int id = 1; System.nanoTime() < end; id++) {
                    long sent = System.nanoTime();
                    other.send(query(id, Client.trace(), false)).read();
                    took.add((System.nanoTime() - sent) / 1e6);
                    Thread.sleep(chance.nextInt(10));
                }
            }
            int bad = 0;
            for (Future<Integer> each : wrong) {
                bad += each.get(120, TimeUnit.SECONDS);
            }
            readers.shutdown();
            long peak = Files.readAllLines(Path.of("/proc", Long.toString(rig.front.process.pid()), "status"))
                    .stream().filter(l -> l.startsWith("VmHWM")).mapToLong(l -> Long.parseLong(
                            l.replaceAll("\\D", ""))).sum();
            took.sort(null);
            return new Pace(rig.busyNanos.get() / 1e9, took.get(took.size() * 99 / 100), peak, bad);
        }
    }

    /** How many of its pages were not what the engine made. */
    private int readAll(int bytesPerSecond) throws IOException, InterruptedException {
        try (Client client = client(bytesPerSecond)) {
            client.socket.setSoTimeout(60_000);
            String trace = Client.trace();
            List<?> answer = client.send(query(1, trace, true)).read();
            String handle = handle(answer);
            int wrong = handle != null && EngineStandIn.page(trace, 0).equals(Client.rows(answer)) ? 0 : 1;
            for (int page = 1; handle != null && page < PAGES; page++) {
                List<?> came = client.send(page(page + 1, handle, page)).read();
                if ("Shed".equals(Client.error(came)) && ((List<?>) ((List<?>) came.get(2)).get(1))
                        .contains("pause")) {
                    // Told to come back.
                    Thread.sleep(100);
                    page--;
                    continue;
                }
                wrong += EngineStandIn.page(trace, page).equals(Client.rows(came)) ? 0 : 1;
            }
            return wrong;
        }
    }

    // ---- kills

    private record Toll(int kills, int kept, int lost, int wrong, int twice, int silent) {
    }

    /** Kills the front at seeded moments while clients ask, and then reads all that had a handle. */
    private static Toll kills(int count, long seed) throws Exception {
        SplittableRandom chance = new SplittableRandom(seed);
        Map<String, String> kept = new ConcurrentHashMap<>();
        int lost = 0;
        int wrong = 0;
        int[] twice = new int[1];
        int silent = 0;
        int all = 0;
        try (Keeps rig = new Keeps()) {
            rig.start();
            for (int kill = 0; kill < count; kill++) {
                List<Thread> askers = new CopyOnWriteArrayList<>();
                for (int k = 0; k < 6; k++) {
                    Thread asker = new Thread(() -> rig.askUntilKilled(kept, twice));
                    asker.start();
                    askers.add(asker);
                }
                Thread.sleep(100 + chance.nextInt(500));
                rig.kill();
                for (Thread asker : askers) {
                    // The kernel ends its connection: it hears of that at once.
                    asker.join(5_000);
                    silent += asker.isAlive() ? 1 : 0;
                }
                rig.start();
                if (chance.nextInt(4) == 0) {
                    // Once more right after it has come up, while it may still be writing indexes.
                    rig.kill();
                    rig.start();
                }
                try (Client reader = rig.client(Integer.MAX_VALUE)) {
                    int id = 0;
                    for (Map.Entry<String, String> each : new HashMap<>(kept).entrySet()) {
                        for (int page = 0; page < PAGES; page++) {
                            String rows = Client.rows(reader.send(page(++id, each.getValue(), page)).read());
                            lost += rows == null ? 1 : 0;
                            wrong += rows != null && !rows.equals(EngineStandIn.page(each.getKey(), page))
                                    ? 1 : 0;
                        }
                    }
                }
                all += kept.size();
                kept.clear();
            }
        }
        return new Toll(count, all, lost, wrong, twice[0], silent);
    }

    private void askUntilKilled(Map<String, String> kept, int[] twice) {
        try (Client client = client(Integer.MAX_VALUE)) {
            Map<Long, String> open = new HashMap<>();
            for (int id = 1; ; id++) {
                String trace = Client.trace();
                open.put((long) id, trace);
                List<?> answer = client.send(query(id, trace, true)).read();
                String asked = open.remove((Long) answer.get(1));
                if (asked == null) {
                    synchronized (twice) {
                        twice[0]++;
                    }
                } else if (handle(answer) != null) {
                    kept.put(asked, handle(answer));
                }
            }
        } catch (IOException | UncheckedIOException e) {
            // the kill
        }
    }

    public static void main(String[] args) throws Exception {
        Bench bench = Bench.of(args);
        int clients = bench.shortly() ? 20 : 50;
        Pace fast = pace(Integer.MAX_VALUE, clients, bench.seed());
        System.err.println("fast clients: " + fast);
        Pace slow = pace(1_000, clients, bench.seed());
        System.err.println("slow clients: " + slow);
        Toll toll = kills(bench.shortly() ? 20 : 200, bench.seed());
        System.err.println(toll);
        double busy = slow.busyS / fast.busyS;
        double p99 = slow.p99Ms / fast.p99Ms;
        boolean holds = busy <= 1.05 && p99 <= 1.10 && slow.memoryKb <= MEMORY_MB * 1024L && toll.kept > 0
                && fast.wrong + slow.wrong + toll.lost + toll.wrong + toll.twice + toll.silent == 0;
        String files = Appends.figures(bench.shortly() ? new double[] {0.1} : new double[] {0.1, 1, 4});
        bench.end(String.format(
                "clients=%d busy_fast_s=%.3f busy_slow_s=%.3f busy_ratio=%.3f p99_fast_ms=%.2f "
                + "p99_slow_ms=%.2f p99_ratio=%.3f memory_mb=%d wrong_pages=%d kills=%d kept=%d lost=%d "
                + "wrong=%d twice=%d silent=%d %s", clients, fast.busyS, slow.busyS, busy, fast.p99Ms,
                slow.p99Ms,
                p99, slow.memoryKb / 1024, fast.wrong + slow.wrong, toll.kills, toll.kept, toll.lost,
                toll.wrong,
                toll.twice, toll.silent, files), holds);
    }
}
