package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.Closeable;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import reedspring.api.Event;
import reedspring.api.Id;
import reedspring.boot.InvalidConfigurationException;

/**
 * A front whose control is the program's own (configuration, journal follower on a real socket, timers,
 * {@code Control} under the configuration's seed) and whose data path is drawn: queries come from chance in
 * place of clients' sockets, and submissions end after drawn times in place of engine connections. Many of
 * them share a {@link Loop}. What it saw is told by the other methods, from any thread; their moments are
 * nanoseconds of the system's steady clock, which processes of one machine share.
 */
public final class HollowFront implements Closeable {
    /** Whether a query of this front's group is asked, and what it is like. */
    public record Draw(String group, double workMs, double needMb, int patienceMs) {
    }

    private static final int CLIENTS = 8;
    /** Events of which the moment in force is kept. */
    private static final int KEPT = 8_192;
    private static final double SCATTER = 0.2;

    /** One event loop's thread, for as many fronts as its thread can carry. */
    public static final class Loop implements Closeable {
        private final EventLoopTurns turns = new EventLoopTurns();
        private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, turns);
        private final EventLoop loop = group.next();
        private final long thread = on(() -> Thread.currentThread().getId());

        private <T> T on(Callable<T> what) {
            try {
                return loop.submit(what).get(60, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause().toString(), e.getCause());
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        /** Processor time of its thread so far, in nanoseconds. */
        public long cpuNanos() {
            return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread);
        }

        @Override
        public void close() {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private final Loop on;
    private final Function<SplittableRandom, Draw> draws;
    private final double perSecond;
    private final SplittableRandom chance;
    private final Front front;
    private final Journal journal;
    private final List<EmbeddedChannel> clients = new ArrayList<>();
    private final Map<String, String> listed = new HashMap<>();
    private final Map<String, Long> sentAt = new HashMap<>();
    private final Map<String, Long> firstSentAt = new HashMap<>();
    private final ArrayDeque<long[]> inForce = new ArrayDeque<>();
    private final Map<String, Integer> logged = new HashMap<>();
    private final AtomicReference<String> reloading = new AtomicReference<>();
    private long traces;
    private long asked;
    private long answered;
    private long finished;
    private long digest;
    private boolean ended;

    /**
     * Brings one up.
     *
     * @param config a front's configuration file
     * @param perSecond queries a second, on average
     * @throws IllegalStateException if the configuration can't be used, naming the field
     */
    public HollowFront(Loop on, Path config, double perSecond, Function<SplittableRandom, Draw> draws) {
        this.on = on;
        this.draws = draws;
        this.perSecond = perSecond;
        Object[] made = on.on(() -> raise(config));
        this.chance = (SplittableRandom) made[0];
        this.front = (Front) made[1];
        this.journal = (Journal) made[2];
        on.loop.execute(this::begin);
    }

    private Object[] raise(Path config) throws InvalidConfigurationException, IOException {
        FrontConfiguration orders = FrontConfiguration.read(config.toString());
        Log log = new Log(orders.limits(), this::line);
        Front made = new Front(on.loop, on.turns, orders.deploymentReader(), orders.limits(), log, orders.seed(),
                Runner::new);
        Journal follower = Startup.followJournal(on.loop, made, orders);
        return new Object[] {new SplittableRandom(orders.seed()), made, follower};
    }

    private void begin() {
        for (int k = 0; k < CLIENTS; k++) {
            clients.add(new EmbeddedChannel(new ClientConnection(front)));
        }
        askLater();
        note();
    }

    // ---- the drawn data path

    private void askLater() {
        if (perSecond > 0) {
            double span = -Math.log(1 - chance.nextDouble()) * 10_000 / perSecond;
            front.timers().scheduleIn(Math.max(1, Math.round(span)), () -> {
                askLater();
                ask(draws.apply(chance));
            });
        }
    }

    private void ask(Draw draw) {
        Map<String, String> fields = new HashMap<>();
        fields.put("trace", String.format("%016x", ++traces));
        fields.put("patience", Integer.toString(draw.patienceMs()));
        fields.put("customer", "acme");
        fields.put("weight", String.format(Locale.ROOT, "%.2f", draw.workMs()));
        fields.put("need_mb", String.format(Locale.ROOT, "%.0f", draw.needMb()));
        EmbeddedChannel client = clients.get((int) (traces % CLIENTS));
        asked++;
        client.writeInbound(new RpcDecoder.Request(traces, draw.group(), fields, Unpooled.copiedBuffer(
                "select 1 from sales_" + traces % 9 + ".orders", StandardCharsets.US_ASCII), null));
        take(client);
    }

    /** Takes what has been answered; a message begins with the array of four that MessagePack-RPC has. */
    private void take(EmbeddedChannel client) {
        client.runPendingTasks();
        for (ByteBuf out = client.readOutbound(); out != null; out = client.readOutbound()) {
            boolean head = out.readableBytes() > 1 && out.getByte(0) == (byte) 0x94 && out.getByte(1) == 1;
            answered += head ? 1 : 0;
            out.release();
        }
    }

    /** Ends each submission well, after about its work. */
    private final class Runner implements SubmissionRunner {
        private final Front of;

        private Runner(Front of) {
            this.of = of;
        }

        @Override
        public void enginesListed(Event.ListKind reading, List<Host> hosts) {
            if (reading != Event.ListKind.CHANGES) {
                listed.clear();
                digest = 0;
            }
            for (Host host : hosts) {
                String name = host.listing().engine().address();
                boolean gone = host.listing().health() == Event.Health.GONE;
                String row = digestText(name, host.listing().health() == Event.Health.UP);
                String before = gone ? listed.remove(name) : listed.put(name, row);
                digest += (gone ? 0 : digest(row)) - (before == null ? 0 : digest(before));
                if (gone) {
                    firstSentAt.remove(name);
                }
            }
            on.loop.execute(HollowFront.this::note);
        }

        @Override
        public void send(Id.Engine engine, Submission s) {
            long at = System.nanoTime();
            sentAt.put(engine.address(), at);
            firstSentAt.putIfAbsent(engine.address(), at);
            s.written = true;
            s.sentAt = of.clock().now();
            long work = s.query.takenEvent.estimate();
            long took = Math.max(1, Math.round(work * Math.exp(SCATTER * chance.nextGaussian())));
            of.timers().scheduleIn(took, () -> ends(engine, s, work));
        }

        private void ends(Id.Engine engine, Submission s, long work) {
            if (s.ended) {
                return;
            }
            s.pages = new ByteBuf[0];
            s.workTicks = work;
            of.recordEnd(s);
            of.loadReported(engine.address(), String.format(Locale.ROOT, "util:%.2f;x0:%.2f;queue:0",
                    0.5 * chance.nextDouble(), 0.5 * chance.nextDouble()));
            finished++;
            of.submissionEnded(s, Event.Outcome.FINISHED);
        }

        @Override
        public void tick(long now) {
            clients.forEach(HollowFront.this::take);
        }
    }

    // ---- what it saw

    private void note() {
        long position = journal.position();
        if (inForce.isEmpty() || inForce.getLast()[0] < position) {
            inForce.add(new long[] {position, System.nanoTime()});
            if (inForce.size() > KEPT) {
                inForce.poll();
            }
        }
    }

    private String line(String level, String event, String detail, int more) {
        logged.merge(detail.isEmpty() ? event : event + ": " + detail, 1 + more, Integer::sum);
        return "";
    }

    /** What makes up a digest of a list: the sum over its engines' rows. */
    public static String digestText(String engine, boolean up) {
        return engine + (up ? " up" : " draining");
    }

    /** Of one row of {@link #digestText}. */
    public static long digest(String row) {
        long hash = 1125899906842597L;
        for (int k = 0; k < row.length(); k++) {
            hash = 31 * hash + row.charAt(k);
        }
        return hash;
    }

    /** Over the list that it holds: equal lists have equal digests, whatever the order of their news. */
    public long digest() {
        return on.on(() -> digest);
    }

    /** When the journal's event of that number, or a later one, was in force here; 0 if none is yet. */
    public long inForceAt(long number) {
        return on.on(() -> inForce.stream().filter(seen -> seen[0] >= number).mapToLong(seen -> seen[1])
                .findFirst().orElse(0));
    }

    /** When it last sent something to the engine; 0 if never. */
    public long lastSentTo(String engine) {
        return on.on(() -> sentAt.getOrDefault(engine, 0L));
    }

    /** When it first sent something to the engine; 0 if never. */
    public long firstSentTo(String engine) {
        return on.on(() -> firstSentAt.getOrDefault(engine, 0L));
    }

    /** How many lines of its log began so. */
    public int logged(String start) {
        return on.on(() -> logged.entrySet().stream().filter(line -> line.getKey().startsWith(start))
                .mapToInt(Map.Entry::getValue).sum());
    }

    /** Queries drawn, answered in whatever way, and ended well by their engine. */
    public long[] queries() {
        return on.on(() -> {
            clients.forEach(this::take);
            return new long[] {asked, answered, finished};
        });
    }

    /**
     * Reads another configuration by the program's own code, as SIGHUP does, on the thread that is given. One
     * that is wanted before the last was begun takes its place, as the program reads what its file holds.
     */
    public void reload(Path config, Executor signals) {
        if (reloading.getAndSet(config.toString()) == null) {
            signals.execute(() -> {
                String path = reloading.getAndSet(null);
                if (!on.on(() -> ended)) {
                    Startup.reload(on.loop, front, journal, path);
                }
            });
        }
    }

    /** As a process that is killed: nothing of it runs any more. Its socket ends with the other side's. */
    @Override
    public void close() {
        on.on(() -> {
            ended = true;
            front.timers().stop();
            return null;
        });
    }
}
