package reedspring.rig;

import static reedspring.rig.JournalStandIn.engineRow;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The benchmark bench/stops. Fronts are suspended and continued (SIGSTOP, SIGCONT) in a seeded pattern, 40 to
 * 900 ms each time, while engines drain and clients send queries. It checks that no submission reaches an
 * engine too long after its drain notice, and that each query gets one answer in time.
 */
public final class Stops {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final int ENGINES = 5;
    private static final int CONNECTIONS = 12;
    private static final int QUERY_PATIENCE_MS = 3_000;
    /** How long after a drain notice submissions may arrive: the rule's 500 ms and the latency of sockets. */
    private static final long MAX_SEND_AFTER_DRAIN_MS = 550;
    /** Tolerance for an answer past its deadline, or past the end of the suspension that contained it. */
    private static final long ANSWER_TOLERANCE_MS = 250;

    private final SplittableRandom random;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
    private final List<Drain> drains = new ArrayList<>();
    private final List<long[]> suspensions = new ArrayList<>();
    private final List<LoadClient> loadClients = new ArrayList<>();
    private final List<EngineStandIn> startedEngines = new ArrayList<>();
    private JournalStandIn journal;
    private Program front;

    private record Drain(EngineStandIn engine, long noticeSentNanos) {
    }

    /**
     * Counts over one or several fronts.
     *
     * @param worstMs the longest time from a drain notice to the arrival of a submission
     */
    public record Tally(int drains, int stops, int queries, int served, int deferred, int failed,
                        int unanswered, int twice, int late, int breaches, long worstMs) {
        Tally plus(Tally t) {
            return new Tally(drains + t.drains, stops + t.stops, queries + t.queries, served + t.served,
                    deferred + t.deferred, failed + t.failed, unanswered + t.unanswered, twice + t.twice,
                    late + t.late, breaches + t.breaches, Math.max(worstMs, t.worstMs));
        }

        public boolean holds() {
            return drains > 0 && served > queries / 2 && unanswered + twice + late + breaches == 0;
        }

        @Override
        public String toString() {
            return "drains=" + drains + " stops=" + stops + " queries=" + queries + " served=" + served
                    + " deferred=" + deferred + " failed=" + failed + " unanswered=" + unanswered + " twice="
                    + twice + " late=" + late + " breaches=" + breaches + " worst_ms=" + worstMs;
        }
    }

    private Stops(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Runs one front through {@code drains} drains, about a second each. */
    public static Tally play(long seed, int drains) throws Exception {
        return new Stops(seed).run(drains);
    }

    private Tally run(int count) throws Exception {
        journal = new JournalStandIn();
        try {
            EngineStandIn[] fleet = new EngineStandIn[ENGINES];
            String[] names = new String[ENGINES];
            String[] hosts = new String[ENGINES];
            for (int k = 0; k < ENGINES; k++) {
                fleet[k] = startEngine();
                names[k] = "e" + k;
                hosts[k] = engineRow(names[k], fleet[k].address(), "ready");
            }
            journal.publish(true, hosts);
            front = new Program(Program.configJson(Program.freeAddress(), journal.address(),
                    JournalStandIn.event(1, true, hosts))).awaitReady();
            scheduler.scheduleAtFixedRate(journal::sendKeepAlive, 0, 500, TimeUnit.MILLISECONDS);
            for (int k = 0; k < CONNECTIONS; k++) {
                loadClients.add(new LoadClient(front.connectClient()));
            }
            SplittableRandom clientChoice = random.split();
            var load = scheduler.scheduleAtFixedRate(
                    () -> loadClients.get(clientChoice.nextInt(CONNECTIONS)).sendQuery(), 50, 9,
                    TimeUnit.MILLISECONDS);
            for (int k = 0; k < count; k++) {
                int drained = random.nextInt(ENGINES);
                drainAroundSuspension(names[drained], fleet[drained]);
                String gone = engineRow(names[drained], fleet[drained].address(), "gone");
                fleet[drained] = startEngine();
                names[drained] = "e" + (ENGINES + k);
                journal.publish(false, gone, engineRow(names[drained], fleet[drained].address(), "ready"));
            }
            load.cancel(false);
            Thread.sleep(QUERY_PATIENCE_MS + 2 * ANSWER_TOLERANCE_MS);
            return tally();
        } finally {
            scheduler.shutdownNow();
            if (front != null) {
                front.close();
            }
            for (EngineStandIn engine : startedEngines) {
                engine.close();
            }
            journal.close();
        }
    }

    private EngineStandIn startEngine() throws IOException {
        SplittableRandom serviceTimes = random.split();
        EngineStandIn engine = new EngineStandIn(command -> {
            long serviceMs;
            synchronized (serviceTimes) {
                serviceMs = 5 + serviceTimes.nextInt(75);
            }
            scheduler.schedule(() -> EngineStandIn.answerWithPages(1).accept(command), serviceMs,
                    TimeUnit.MILLISECONDS);
        });
        startedEngines.add(engine);
        return engine;
    }

    /** Suspends the front and sends a drain notice: in 3 of 4 cases while suspended, else just after. */
    private void drainAroundSuspension(String name, EngineStandIn engine) throws Exception {
        Thread.sleep(60 + random.nextInt(300));
        long suspensionMs = 40 + random.nextInt(860);
        boolean duringSuspension = random.nextInt(4) > 0;
        long beforeNoticeMs = duringSuspension ? random.nextLong(suspensionMs / 2) : suspensionMs;
        front.sendSignal("-STOP");
        long suspendedNanos = System.nanoTime();
        Thread.sleep(beforeNoticeMs);
        if (duringSuspension) {
            sendDrainNotice(name, engine);
            Thread.sleep(suspensionMs - beforeNoticeMs);
        }
        front.sendSignal("-CONT");
        suspensions.add(new long[] {suspendedNanos, System.nanoTime()});
        if (!duringSuspension) {
            Thread.sleep(random.nextInt(20));
            sendDrainNotice(name, engine);
        }
        long sinceNoticeMs =
                (System.nanoTime() - drains.get(drains.size() - 1).noticeSentNanos) / NANOS_PER_MS;
        Thread.sleep(Math.max(0, MAX_SEND_AFTER_DRAIN_MS + 150 - sinceNoticeMs));
    }

    private void sendDrainNotice(String name, EngineStandIn engine) {
        journal.publish(false, engineRow(name, engine.address(), "draining"));
        drains.add(new Drain(engine, System.nanoTime()));
    }

    private Tally tally() {
        int breaches = 0;
        long worstMs = 0;
        for (Drain drain : drains) {
            for (EngineStandIn.Command sent : drain.engine.received("fetch")) {
                long afterNoticeMs = (sent.firstByteNanos() - drain.noticeSentNanos) / NANOS_PER_MS;
                worstMs = Math.max(worstMs, afterNoticeMs);
                breaches += afterNoticeMs > MAX_SEND_AFTER_DRAIN_MS ? 1 : 0;
            }
        }
        Tally sum = new Tally(drains.size(), suspensions.size(), 0, 0, 0, 0, 0, 0, 0, breaches, worstMs);
        for (LoadClient client : loadClients) {
            sum = sum.plus(client.tally());
        }
        return sum;
    }

    /** The latest permitted arrival of an answer with this deadline, given the suspensions around it. */
    private long latestAllowed(long deadline) {
        long latest = deadline;
        for (long[] suspension : suspensions) {
            if (suspension[0] <= deadline + ANSWER_TOLERANCE_MS * NANOS_PER_MS
                    && suspension[1] >= deadline - ANSWER_TOLERANCE_MS * NANOS_PER_MS) {
                latest = Math.max(latest, suspension[1]);
            }
        }
        return latest + ANSWER_TOLERANCE_MS * NANOS_PER_MS;
    }

    /** One client connection with its queries by id and the counts of their answers. */
    private final class LoadClient {
        private final Client client;
        private final Map<Long, Long> sentNanos = new ConcurrentHashMap<>();
        private final Map<Long, Long> answeredNanos = new ConcurrentHashMap<>();
        private int lastId;
        private volatile int served;
        private volatile int deferred;
        private volatile int failed;
        private volatile int twice;

        LoadClient(Client client) {
            this.client = client;
            CompletableFuture.runAsync(this::readAnswers, task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                thread.start();
            });
        }

        void sendQuery() {
            try {
                long id = ++lastId;
                sentNanos.put(id, System.nanoTime());
                client.send(Client.query((int) id, Client.trace(), QUERY_PATIENCE_MS, "select"));
            } catch (IOException e) {
                // the query counts as unanswered
            }
        }

        private void readAnswers() {
            try {
                while (true) {
                    List<?> answer = client.read();
                    if (answeredNanos.put((Long) answer.get(1), System.nanoTime()) != null) {
                        twice++;
                    }
                    served += Client.rows(answer) != null ? 1 : 0;
                    deferred += "Shed".equals(Client.error(answer)) ? 1 : 0;
                    failed += "Fault".equals(Client.error(answer)) ? 1 : 0;
                }
            } catch (IOException e) {
                // the front has closed the connection
            }
        }

        private Tally tally() {
            int unanswered = 0;
            int late = 0;
            for (Map.Entry<Long, Long> sent : sentNanos.entrySet()) {
                Long answered = answeredNanos.get(sent.getKey());
                unanswered += answered == null ? 1 : 0;
                late += answered != null
                        && answered > latestAllowed(sent.getValue() + QUERY_PATIENCE_MS * NANOS_PER_MS)
                        ? 1 : 0;
            }
            return new Tally(0, 0, sentNanos.size(), served, deferred, failed, unanswered, twice, late, 0, 0);
        }
    }

    /** {@code [--seed N] [--short]}: 200 drains on four parallel fronts, or with --short 20 on two. */
    public static void main(String[] args) throws Exception {
        Bench bench = Bench.of(args);
        int fronts = bench.shortRun() ? 2 : 4;
        int drains = bench.shortRun() ? 10 : 50;
        List<CompletableFuture<Tally>> results = new ArrayList<>();
        for (int k = 0; k < fronts; k++) {
            long seed = bench.seed() + k;
            results.add(CompletableFuture.supplyAsync(() -> {
                try {
                    Tally tally = play(seed, drains);
                    System.err.println("seed " + seed + ": " + tally);
                    return tally;
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }, task -> new Thread(task).start()));
        }
        Tally sum = results.get(0).get();
        for (CompletableFuture<Tally> result : results.subList(1, fronts)) {
            sum = sum.plus(result.get());
        }
        bench.printAndExit(sum.toString(), sum.holds());
    }
}
