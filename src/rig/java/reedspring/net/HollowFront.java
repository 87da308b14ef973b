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
 * A front with the real control plane and a simulated data path. Configuration, journal follower (on a real
 * socket), timers and {@code Control} (under the configuration's seed) are the program's own. Queries come
 * from a random generator instead of client sockets, and submissions end after random times instead of on
 * engine connections. Many hollow fronts share a {@link Loop}. The methods may be called from any thread.
 * Times are {@link System#nanoTime()}, a clock that the processes of one machine share. A tick is a tenth of
 * a millisecond, the unit of time of the front's decisions.
 */
public final class HollowFront implements Closeable {
    /**
     * The properties of a generated query.
     *
     * @param workMs the work that the client states, which the duration on an engine is drawn from
     * @param needMb the memory that the client states
     * @param patienceMs how long the client waits for an answer
     */
    public record GeneratedQuery(String group, double workMs, double needMb, int patienceMs) {
    }

    private static final int CLIENTS = 8;
    /** Number of journal positions whose time of taking effect is kept. */
    private static final int MAX_KEPT_POSITIONS = 8_192;
    /** Standard deviation of the logarithm of a submission's duration over its estimate. */
    private static final double DURATION_SIGMA = 0.2;

    /** An event loop with one thread, shared by any number of hollow fronts. */
    public static final class Loop implements Closeable {
        private final EventLoopTurns turns = new EventLoopTurns();
        private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, turns);
        private final EventLoop eventLoop = group.next();
        private final long threadId = call(() -> Thread.currentThread().getId());

        private <T> T call(Callable<T> task) {
            try {
                return eventLoop.submit(task).get(60, TimeUnit.SECONDS);
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause().toString(), e.getCause());
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        /** CPU time that the loop's thread has used, in nanoseconds. */
        public long cpuNanos() {
            return ManagementFactory.getThreadMXBean().getThreadCpuTime(threadId);
        }

        @Override
        public void close() {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private final Loop loop;
    private final Function<SplittableRandom, GeneratedQuery> queryGenerator;
    private final double queriesPerSecond;
    private final SplittableRandom random;
    private final Front front;
    private final Journal journal;
    private final List<EmbeddedChannel> clients = new ArrayList<>();
    private final Map<String, String> listedRows = new HashMap<>();
    private final Map<String, Long> lastSentNanos = new HashMap<>();
    private final Map<String, Long> firstSentNanos = new HashMap<>();
    private final ArrayDeque<long[]> effectiveTimes = new ArrayDeque<>();
    private final Map<String, Integer> logLineCounts = new HashMap<>();
    private final AtomicReference<String> pendingReload = new AtomicReference<>();
    private long lastTrace;
    private long generatedQueries;
    private long answers;
    private long finishedSubmissions;
    private long digest;
    private boolean closed;

    /**
     * Creates and starts a front on the loop.
     *
     * @param config a front's configuration file
     * @param queriesPerSecond the mean rate of queries, whose arrivals are a Poisson process
     * @param queryGenerator draws a query from the front's random generator
     * @throws IllegalStateException if the configuration can't be used, naming the field
     */
    public HollowFront(Loop loop, Path config, double queriesPerSecond,
            Function<SplittableRandom, GeneratedQuery> queryGenerator) {
        this.loop = loop;
        this.queryGenerator = queryGenerator;
        this.queriesPerSecond = queriesPerSecond;
        Object[] parts = loop.call(() -> createParts(config));
        this.random = (SplittableRandom) parts[0];
        this.front = (Front) parts[1];
        this.journal = (Journal) parts[2];
        loop.eventLoop.execute(this::start);
    }

    private Object[] createParts(Path config) throws InvalidConfigurationException, IOException {
        FrontConfiguration configuration = FrontConfiguration.read(config.toString());
        Log log = new Log(configuration.limits(), this::countLogLine);
        Front created = new Front(loop.eventLoop, loop.turns, configuration.deploymentReader(),
                configuration.limits(),
                log, configuration.seed(), SimulatedRunner::new);
        Journal follower = Startup.followJournal(loop.eventLoop, created, configuration);
        return new Object[] {new SplittableRandom(configuration.seed()), created, follower};
    }

    private void start() {
        for (int k = 0; k < CLIENTS; k++) {
            clients.add(new EmbeddedChannel(new ClientConnection(front)));
        }
        scheduleNextQuery();
        recordPosition();
    }

    // ---- the simulated data path

    private void scheduleNextQuery() {
        if (queriesPerSecond > 0) {
            double intervalTicks = -Math.log(1 - random.nextDouble()) * 10_000 / queriesPerSecond;
            front.timers().scheduleIn(Math.max(1, Math.round(intervalTicks)), () -> {
                scheduleNextQuery();
                submitQuery(queryGenerator.apply(random));
            });
        }
    }

    private void submitQuery(GeneratedQuery query) {
        Map<String, String> fields = new HashMap<>();
        fields.put("trace", String.format("%016x", ++lastTrace));
        fields.put("patience", Integer.toString(query.patienceMs()));
        fields.put("customer", "acme");
        fields.put("weight", String.format(Locale.ROOT, "%.2f", query.workMs()));
        fields.put("need_mb", String.format(Locale.ROOT, "%.0f", query.needMb()));
        EmbeddedChannel client = clients.get((int) (lastTrace % CLIENTS));
        generatedQueries++;
        client.writeInbound(new RpcDecoder.Request(lastTrace, query.group(), fields, Unpooled.copiedBuffer(
                "select 1 from sales_" + lastTrace % 9 + ".orders", StandardCharsets.US_ASCII), null));
        countAnswers(client);
    }

    /** Counts the answers: a response begins with MessagePack-RPC's array of four and the type 1. */
    private void countAnswers(EmbeddedChannel client) {
        client.runPendingTasks();
        for (ByteBuf message = client.readOutbound(); message != null; message = client.readOutbound()) {
            boolean startsResponse = message.readableBytes() > 1 && message.getByte(0) == (byte) 0x94
                    && message.getByte(1) == 1;
            answers += startsResponse ? 1 : 0;
            message.release();
        }
    }

    /** Finishes every submission successfully, after a log-normal time around its estimated work. */
    private final class SimulatedRunner implements SubmissionRunner {
        private final Front owner;

        private SimulatedRunner(Front owner) {
            this.owner = owner;
        }

        @Override
        public void enginesListed(Event.ListKind listKind, List<Host> hosts) {
            if (listKind != Event.ListKind.CHANGES) {
                listedRows.clear();
                digest = 0;
            }
            for (Host host : hosts) {
                String name = host.listing().engine().address();
                boolean gone = host.listing().health() == Event.Health.GONE;
                String row = digestText(name, host.listing().health() == Event.Health.UP);
                String before = gone ? listedRows.remove(name) : listedRows.put(name, row);
                digest += (gone ? 0 : digest(row)) - (before == null ? 0 : digest(before));
                if (gone) {
                    firstSentNanos.remove(name);
                }
            }
            loop.eventLoop.execute(HollowFront.this::recordPosition);
        }

        @Override
        public void send(Id.Engine engine, Submission s) {
            long sentNanos = System.nanoTime();
            lastSentNanos.put(engine.address(), sentNanos);
            firstSentNanos.putIfAbsent(engine.address(), sentNanos);
            s.written = true;
            s.sentAt = owner.clock().now();
            long workTicks = s.query.takenEvent.estimate();
            long durationTicks = Math.max(1,
                    Math.round(workTicks * Math.exp(DURATION_SIGMA * random.nextGaussian())));
            owner.timers().scheduleIn(durationTicks, () -> finish(engine, s, workTicks));
        }

        private void finish(Id.Engine engine, Submission s, long workTicks) {
            if (s.ended) {
                return;
            }
            s.pages = new ByteBuf[0];
            s.workTicks = workTicks;
            owner.recordEnd(s);
            owner.loadReported(engine.address(), String.format(Locale.ROOT, "util:%.2f;x0:%.2f;queue:0",
                    0.5 * random.nextDouble(), 0.5 * random.nextDouble()));
            finishedSubmissions++;
            owner.submissionEnded(s, Event.Outcome.FINISHED);
        }

        @Override
        public void tick(long now) {
            clients.forEach(HollowFront.this::countAnswers);
        }
    }

    // ---- observations

    private void recordPosition() {
        long position = journal.position();
        if (effectiveTimes.isEmpty() || effectiveTimes.getLast()[0] < position) {
            effectiveTimes.add(new long[] {position, System.nanoTime()});
            if (effectiveTimes.size() > MAX_KEPT_POSITIONS) {
                effectiveTimes.poll();
            }
        }
    }

    private String countLogLine(String level, String event, String detail, int more) {
        logLineCounts.merge(detail.isEmpty() ? event : event + ": " + detail, 1 + more, Integer::sum);
        return "";
    }

    /** The text of one engine's row; the digest of a list is the sum of the digests of its rows. */
    public static String digestText(String engine, boolean up) {
        return engine + (up ? " up" : " draining");
    }

    /** The digest of one row as {@link #digestText} returns it. */
    public static long digest(String row) {
        long hash = 1125899906842597L;
        for (int k = 0; k < row.length(); k++) {
            hash = 31 * hash + row.charAt(k);
        }
        return hash;
    }

    /** The digest of the current list of engines, which does not depend on the order of its events. */
    public long digest() {
        return loop.call(() -> digest);
    }

    /** When this journal position or a later one took effect in this front; 0 if none has yet. */
    public long effectiveAtNanos(long position) {
        return loop.call(() -> effectiveTimes.stream().filter(seen -> seen[0] >= position)
                .mapToLong(seen -> seen[1])
                .findFirst().orElse(0));
    }

    /** When the front last sent a submission to the engine; 0 if never. */
    public long lastSentToNanos(String engine) {
        return loop.call(() -> lastSentNanos.getOrDefault(engine, 0L));
    }

    /** When the front first sent a submission to the engine since it was listed; 0 if never. */
    public long firstSentToNanos(String engine) {
        return loop.call(() -> firstSentNanos.getOrDefault(engine, 0L));
    }

    /** Number of log lines that start with {@code start}; a line is an event, or {@code event: detail}. */
    public int countLogged(String start) {
        return loop.call(() -> logLineCounts.entrySet().stream()
                .filter(line -> line.getKey().startsWith(start)).mapToInt(Map.Entry::getValue).sum());
    }

    /** The numbers of generated queries, of answers of any kind, and of submissions that finished. */
    public long[] queryCounts() {
        return loop.call(() -> {
            clients.forEach(this::countAnswers);
            return new long[] {generatedQueries, answers, finishedSubmissions};
        });
    }

    /**
     * Reloads the configuration with the program's own code, as SIGHUP does, on the given executor. A reload
     * that is requested before the previous one has begun replaces it, as the program too reads the latest
     * content of its file.
     */
    public void reload(Path config, Executor signals) {
        if (pendingReload.getAndSet(config.toString()) == null) {
            signals.execute(() -> {
                String path = pendingReload.getAndSet(null);
                if (!loop.call(() -> closed)) {
                    Startup.reload(loop.eventLoop, front, journal, path);
                }
            });
        }
    }

    /** Stops the front's timers, as a kill would. Its journal socket stays until the peer closes it. */
    @Override
    public void close() {
        loop.call(() -> {
            closed = true;
            front.timers().stop();
            return null;
        });
    }
}
