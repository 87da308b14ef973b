package reedspring.rig;

import static reedspring.rig.JournalStandIn.host;

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
 * Plays started fronts that are stopped and continued in a seeded pattern, 40 to 900 ms each time, while
 * engines drain and clients ask, and checks the rules on drains and on answers: bench/stops.
 */
public final class Stops {
    private static final long MS = 1_000_000;
    private static final int ENGINES = 5;
    private static final int CONNECTIONS = 12;
    private static final int PATIENCE_MS = 3_000;
    /** The rule's half second and what the sockets add. */
    private static final long DRAIN_MS = 550;
    /** Of an answer past its time, or past the end of the stop that its time fell into. */
    private static final long LATE_MS = 250;

    private final SplittableRandom chance;
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(2);
    private final List<Drain> drains = new ArrayList<>();
    private final List<long[]> stops = new ArrayList<>();
    private final List<Asker> askers = new ArrayList<>();
    private final List<EngineStandIn> opened = new ArrayList<>();
    private JournalStandIn journal;
    private Program front;

    private record Drain(EngineStandIn engine, long toldAt) {
    }

    /** Counts over one or several fronts; {@code worstMs} is the latest submission after a notice. */
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
        chance = new SplittableRandom(seed);
    }

    /** One front and that many drains, about a second each. */
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
                fleet[k] = engine();
                names[k] = "e" + k;
                hosts[k] = host(names[k], fleet[k].address(), "ready");
            }
            journal.tell(true, hosts);
            front = new Program(Program.config(Program.freeAddress(), journal.address(),
                    JournalStandIn.event(1, true, hosts))).ready();
            later.scheduleAtFixedRate(journal::comment, 0, 500, TimeUnit.MILLISECONDS);
            for (int k = 0; k < CONNECTIONS; k++) {
                askers.add(new Asker(front.client()));
            }
            SplittableRandom asking = chance.split();
            var load = later.scheduleAtFixedRate(() -> askers.get(asking.nextInt(CONNECTIONS)).ask(), 50, 9,
                    TimeUnit.MILLISECONDS);
            for (int k = 0; k < count; k++) {
                int at = chance.nextInt(ENGINES);
                drainAroundAStop(names[at], fleet[at]);
                String gone = host(names[at], fleet[at].address(), "gone");
                fleet[at] = engine();
                names[at] = "e" + (ENGINES + k);
                journal.tell(false, gone, host(names[at], fleet[at].address(), "ready"));
            }
            load.cancel(false);
            Thread.sleep(PATIENCE_MS + 2 * LATE_MS);
            return tally();
        } finally {
            later.shutdownNow();
            if (front != null) {
                front.close();
            }
            for (EngineStandIn engine : opened) {
                engine.close();
            }
            journal.close();
        }
    }

    private EngineStandIn engine() throws IOException {
        SplittableRandom own = chance.split();
        EngineStandIn engine = new EngineStandIn(command -> {
            long takes;
            synchronized (own) {
                takes = 5 + own.nextInt(75);
            }
            later.schedule(() -> EngineStandIn.pages(1).accept(command), takes, TimeUnit.MILLISECONDS);
        });
        opened.add(engine);
        return engine;
    }

    /** Mostly the notice comes while the front stands still, else right after it goes on. */
    private void drainAroundAStop(String name, EngineStandIn engine) throws Exception {
        Thread.sleep(60 + chance.nextInt(300));
        long length = 40 + chance.nextInt(860);
        boolean within = chance.nextInt(4) > 0;
        long before = within ? chance.nextLong(length / 2) : length;
        front.signal("-STOP");
        long from = System.nanoTime();
        Thread.sleep(before);
        if (within) {
            drain(name, engine);
            Thread.sleep(length - before);
        }
        front.signal("-CONT");
        stops.add(new long[] {from, System.nanoTime()});
        if (!within) {
            Thread.sleep(chance.nextInt(20));
            drain(name, engine);
        }
        long since = (System.nanoTime() - drains.get(drains.size() - 1).toldAt) / MS;
        Thread.sleep(Math.max(0, DRAIN_MS + 150 - since));
    }

    private void drain(String name, EngineStandIn engine) {
        journal.tell(false, host(name, engine.address(), "draining"));
        drains.add(new Drain(engine, System.nanoTime()));
    }

    private Tally tally() {
        int breaches = 0;
        long worst = 0;
        for (Drain drain : drains) {
            for (EngineStandIn.Command sent : drain.engine.seen("fetch")) {
                long after = (sent.at() - drain.toldAt) / MS;
                worst = Math.max(worst, after);
                breaches += after > DRAIN_MS ? 1 : 0;
            }
        }
        Tally sum = new Tally(drains.size(), stops.size(), 0, 0, 0, 0, 0, 0, 0, breaches, worst);
        for (Asker asker : askers) {
            sum = sum.plus(asker.tally());
        }
        return sum;
    }

    /** The moment by which an answer that is due then has to be there, as the front was stopped meanwhile. */
    private long atTheLatest(long due) {
        long latest = due;
        for (long[] stop : stops) {
            if (stop[0] <= due + LATE_MS * MS && stop[1] >= due - LATE_MS * MS) {
                latest = Math.max(latest, stop[1]);
            }
        }
        return latest + LATE_MS * MS;
    }

    /** One connection, its queries by number and what came for them. */
    private final class Asker {
        private final Client client;
        private final Map<Long, Long> sentAt = new ConcurrentHashMap<>();
        private final Map<Long, Long> answeredAt = new ConcurrentHashMap<>();
        private int ids;
        private volatile int served;
        private volatile int deferred;
        private volatile int failed;
        private volatile int twice;

        Asker(Client client) {
            this.client = client;
            CompletableFuture.runAsync(this::read, task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                thread.start();
            });
        }

        void ask() {
            try {
                long id = ++ids;
                sentAt.put(id, System.nanoTime());
                client.send(Client.query((int) id, Client.trace(), PATIENCE_MS, "select"));
            } catch (IOException e) {
                // no answer comes, which the tally shows
            }
        }

        private void read() {
            try {
                while (true) {
                    List<?> answer = client.read();
                    if (answeredAt.put((Long) answer.get(1), System.nanoTime()) != null) {
                        twice++;
                    }
                    served += Client.rows(answer) != null ? 1 : 0;
                    deferred += "Shed".equals(Client.error(answer)) ? 1 : 0;
                    failed += "Fault".equals(Client.error(answer)) ? 1 : 0;
                }
            } catch (IOException e) {
                // the front has gone
            }
        }

        private Tally tally() {
            int unanswered = 0;
            int late = 0;
            for (Map.Entry<Long, Long> sent : sentAt.entrySet()) {
                Long answered = answeredAt.get(sent.getKey());
                unanswered += answered == null ? 1 : 0;
                late += answered != null
                        && answered > atTheLatest(sent.getValue() + PATIENCE_MS * MS) ? 1 : 0;
            }
            return new Tally(0, 0, sentAt.size(), served, deferred, failed, unanswered, twice, late, 0, 0);
        }
    }

    /** {@code [--seed N] [--short]}: four fronts beside each other, 200 drains, or 20 on two. */
    public static void main(String[] args) throws Exception {
        Bench bench = Bench.of(args);
        int fronts = bench.shortly() ? 2 : 4;
        int drains = bench.shortly() ? 10 : 50;
        List<CompletableFuture<Tally>> plays = new ArrayList<>();
        for (int k = 0; k < fronts; k++) {
            long seed = bench.seed() + k;
            plays.add(CompletableFuture.supplyAsync(() -> {
                try {
                    Tally tally = play(seed, drains);
                    System.err.println("seed " + seed + ": " + tally);
                    return tally;
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }, task -> new Thread(task).start()));
        }
        Tally sum = plays.get(0).get();
        for (CompletableFuture<Tally> play : plays.subList(1, fronts)) {
            sum = sum.plus(play.get());
        }
        bench.end(sum.toString(), sum.holds());
    }
}
