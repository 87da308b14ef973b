package reedspring.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import reedspring.api.Event.Outcome;

/**
 * A connection to one engine. It carries several submissions at a time; their answers come in any order, and
 * the pages of a result after the first are requested one by one.
 */
final class EngineConnection extends ChannelInboundHandlerAdapter
        implements WithdrawnCommands.Connection {
    private static final Set<String> FINAL_ANSWER_KINDS = Set.of("data", "full", "failed", "moot");

    private final Front front;
    private final Limits limits;
    private final String engine;
    private final BooleanSupplier engineUp;
    private final Consumer<EngineConnection> onClosed;
    private final Map<String, Submission> openSubmissions = new LinkedHashMap<>();
    /** Traces of queries whose closed submissions may still get answers on this connection; bounded. */
    private final Set<String> lateTraces = new LinkedHashSet<>();
    /** The late traces whose queries the engine may still be running. */
    private final Map<String, Long> runningTraces = new LinkedHashMap<>();
    private final ArrivalTracker arrivals = new ArrivalTracker();
    private final WithdrawnCommands withdrawnCommands;
    private final AnswerDecoder decoder;
    private final ResultReader results;
    private final SocketReads socketReads;
    private Channel channel;
    private long decodedAtLastCheck;
    private long bytesReadAtLastCheck;
    /** Consecutive checks that found the same answer incomplete, and those at which it had not grown. */
    private int incompleteChecks;
    private int stalledChecks;
    private boolean connected;
    private boolean everSent;
    private boolean retired;
    private String closeReason = "closed by the engine";
    private long lastUsedAt;
    private long lastReceivedAt;
    private long probeSentAt = -1;

    EngineConnection(Front front, Limits limits, RowValidator rowValidator, String engine,
                     BooleanSupplier engineUp, Consumer<EngineConnection> onClosed) {
        this.front = front;
        this.limits = limits;
        this.results = new ResultReader(front, limits, rowValidator, this);
        this.engine = engine;
        this.engineUp = engineUp;
        this.onClosed = onClosed;
        this.withdrawnCommands = new WithdrawnCommands(this, arrivals, front.clock()::now,
                front.timers()::scheduleIn, limits.arrivalCheckMs * 10L);
        this.decoder = new AnswerDecoder(limits);
        this.socketReads = new SocketReads(front, limits.engineReads, decoder::answerCount);
        this.lastUsedAt = front.clock().now();
    }

    void dial(Bootstrap dialer, InetSocketAddress address) {
        EngineConnection self = this;
        ChannelFuture connecting = dialer.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel created) {
                created.pipeline().addLast(socketReads,
                        new FlushConsolidationHandler(limits.maxMessagesPerWrite, true),
                        new WholeCommandEncoder(), new RedisDecoder(), decoder, self);
            }
        }).connect(address);
        channel = connecting.channel();
        // Uses the front's own timers: after a pause of this process, Netty's connect timeout would fire
        // before the socket is looked at, and an engine that accepted in time would count as unreachable.
        Timers.Timer connectTimer = front.timers().scheduleIn(limits.connectTimeoutMs * 10L, () -> {
            closeReason = "not connected within " + limits.connectTimeoutMs + " ms";
            Front.close(channel);
        });
        front.onDialComplete(connecting, future -> {
            front.timers().cancel(connectTimer);
            if (future.isSuccess()) {
                connected = true;
                openSubmissions.values().forEach(front::queueForSending);
            } else {
                closeSubmissions(Outcome.UNREACHABLE, "engine unreachable",
                        future.cause() instanceof ClosedChannelException
                                ? closeReason : String.valueOf(future.cause().getMessage()));
            }
        });
    }

    /** The number of open submissions. */
    int load() {
        return openSubmissions.size();
    }

    /** Whether no submission is open and no late answer is expected, so that closing affects no query. */
    boolean isIdle() {
        return connected && openSubmissions.isEmpty() && runningTraces.isEmpty();
    }

    long lastUsedAt() {
        return lastUsedAt;
    }

    /** Whether the submission may be sent on this connection. */
    boolean accepts(Submission s) {
        // Answers carry only the query's id: late answers to an earlier submission of the same query could
        // not be distinguished from those to this one, and pages of two runs must not be mixed in one result.
        return !retired && openSubmissions.size() < limits.connectionQueries
                && !openSubmissions.containsKey(s.query.trace)
                && !lateTraces.contains(s.query.trace)
                && (channel == null || !connected || channel.isWritable());
    }

    /**
     * Whether a liveness probe has gone unanswered for as long as a new connection may take to open. After a
     * network interruption, unacknowledged data arrives only with TCP's next retransmission, well after the
     * network has recovered, and later data queues behind it.
     */
    @Override
    public boolean isUnresponsive() {
        return probeSentAt >= 0 && front.clock().now() - probeSentAt >= limits.connectTimeoutMs * 10L;
    }

    /** Adds the submission and hands it over for sending, at once or when the connection opens. */
    void send(Submission s) {
        s.connection = this;
        openSubmissions.put(s.query.trace, s);
        if (openSubmissions.size() == 1) {
            lastReceivedAt = front.clock().now();
        }
        if (connected) {
            front.queueForSending(s);
        }
    }

    String engine() {
        return engine;
    }

    /** Whether the engine may be sent submissions, by the list of engines as it stands. */
    boolean canSend() {
        return !retired && engineUp.getAsBoolean();
    }

    /**
     * Reads the socket and returns whether the connection is still open. Engines close idle connections, some
     * of them early; a submission written after that has an unknown outcome, and a mutating query can't be
     * sent again. A connection that has not carried anything yet is not checked: an engine that closes every
     * new connection counts as unreachable.
     */
    boolean checkOpen() {
        if (openSubmissions.size() > 1 || !everSent) {
            return true;
        }
        socketReads.readToEnd(channel);
        retired |= !channel.isOpen();
        return channel.isOpen();
    }

    /** Removes a submission that is to be sent on another connection. */
    void detach(Submission s) {
        openSubmissions.remove(s.query.trace, s);
        s.connection = null;
    }

    /**
     * Writes the submission and flushes at once: data left for a later flush would be delayed if the process
     * were paused in between.
     *
     * @return false if there was no memory for the command; no part of it has been written then
     */
    boolean write(Submission s) {
        OpenQuery q = s.query;
        lastUsedAt = front.clock().now();
        everSent = true;
        s.sentAt = lastUsedAt;
        q.firstSentAt = q.firstSentAt == 0 ? lastUsedAt : q.firstSentAt;
        long remainingMs = Math.max(1, (s.timeoutAt - lastUsedAt) / 10);
        String fields = "lane=" + q.group + ",ttl=" + remainingMs
                + (q.priority >= 0 ? ",urgency=" + q.priority : "")
                + (q.repeatToken != null ? ",dedupe=" + q.repeatToken : "");
        if (!writeCommand(q.statement, "fetch", q.trace, fields)) {
            return false;
        }
        s.written = true;
        s.commandNumber = arrivals.written();
        if (s.latestSendAt < Long.MAX_VALUE) {
            // After that time its repeat would not be recognised, so it must not arrive any more.
            probe();
            front.timers().scheduleAt(s.latestSendAt + limits.repeatTransitMs * 10L, () -> {
                if (!arrivals.hasArrived(s.commandNumber)) {
                    reset("a repeat has not arrived in time");
                }
            });
        }
        // Bypasses the handler that delays flushes.
        channel.pipeline().context(FlushConsolidationHandler.class).flush();
        return true;
    }

    /** Sends the query's current priority. */
    void renice(Submission s) {
        if (s.written) {
            sendCommand("renice", s.query.trace, Integer.toString(s.query.priority));
        }
    }

    /** Asks the engine to cancel the submission. */
    void cancel(Submission s) {
        if (s.written) {
            sendCommand("abort", s.query.trace);
        }
    }

    /** Forgets the submission; answers to it that come later are dropped. */
    void drop(Submission s) {
        if (openSubmissions.remove(s.query.trace, s)) {
            if (s.pageCount > 1 && connected) {
                sendCommand("done", s.query.trace);
            }
            if (s.pages == null) {
                preventLateArrival(s);
            }
            if (s.written && (s.pages == null || s.missingPages > 0)) {
                addBounded(lateTraces, s.query.trace);
                if (s.pages == null) {
                    addRunning(s.query);
                }
            }
        }
        if (retired && openSubmissions.isEmpty()) {
            close();
        }
    }

    /**
     * Keeps a submission that nobody waits for any more from beginning at its engine later than the rules
     * allow.
     */
    void preventLateArrival(Submission s) {
        if (s.written) {
            withdrawnCommands.add(s.commandNumber);
        }
    }

    @Override
    public boolean isConnected() {
        return connected;
    }

    @Override
    public boolean carriesOthers() {
        return openSubmissions.values().stream().anyMatch(s -> !s.query.answered());
    }

    @Override
    public void probe() {
        if (probeSentAt < 0) {
            probeSentAt = front.clock().now();
        }
        sendCommand("alive", arrivals.probeWritten());
    }

    /** Closes the connection at once; the kernel drops what has not been delivered. */
    @Override
    public void reset(String reason) {
        if (!connected || !channel.isOpen()) {
            return;
        }
        front.log().warn("engine connection reset, " + reason, engine);
        closeReason = reason;
        retired = true;
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    private void addRunning(OpenQuery q) {
        if (runningTraces.put(q.trace, q.traceId) == null) {
            front.runningTraces().add(q.traceId);
        }
        if (runningTraces.size() > limits.queries) {
            removeRunning(runningTraces.keySet().iterator().next());
        }
    }

    /** Returns whether the engine counted as running the query. */
    private boolean removeRunning(String trace) {
        Long traceId = runningTraces.remove(trace);
        if (traceId != null) {
            front.runningTraces().remove(traceId);
        }
        return traceId != null;
    }

    private void addBounded(Set<String> traces, String trace) {
        traces.add(trace);
        if (traces.size() > limits.queries) {
            traces.remove(traces.iterator().next());
        }
    }

    /** Accepts no more submissions; open ones may still finish. */
    void retire() {
        retired = true;
        if (openSubmissions.isEmpty()) {
            close();
        }
    }

    void tick(long now) {
        // Closes before the engine's own idle timeout: a submission that crossed the engine's close would
        // have an unknown outcome. Not while the engine may still run a query of this connection, which
        // closing would cancel.
        if (openSubmissions.isEmpty() && runningTraces.isEmpty()
                && now - lastUsedAt >= limits.engineIdleMs * 10L) {
            close();
        }
        if (connected) {
            recoverMissedReadiness();
        }
        if (connected && answerStalled()) {
            front.log().warn("engine connection closed, an answer does not end", engine);
            close();
        }
        if (connected && !openSubmissions.isEmpty() && probeSentAt < 0
                && now - lastReceivedAt >= limits.engineSilenceMs * 10L) {
            probe();
        }
    }

    /** Registers the channel again if the selector misses it, or misses that it has data to read or write. */
    private void recoverMissedReadiness() {
        if (!openSubmissions.isEmpty() && socketReads.readUnreported(channel, front.clock().now())
                || SocketReads.flushUnreported(channel)) {
            front.reregister(channel);
        }
    }

    /**
     * Whether an answer has stayed incomplete for several checks without any progress, or for very many.
     * Everything that follows would be read as its remainder, so no submission on this connection could
     * finish any more. An engine that writes an answer slowly makes progress.
     */
    private boolean answerStalled() {
        boolean incomplete = socketReads.bytesRead() != decoder.decodedBytes()
                && decodedAtLastCheck == decoder.decodedBytes();
        boolean stalled = incomplete && socketReads.bytesRead() == bytesReadAtLastCheck;
        decodedAtLastCheck = decoder.decodedBytes();
        bytesReadAtLastCheck = socketReads.bytesRead();
        incompleteChecks = incomplete ? incompleteChecks + 1 : 0;
        stalledChecks = stalled ? stalledChecks + 1 : 0;
        return stalledChecks > limits.incompleteAnswerTicks || incompleteChecks > limits.slowAnswerTicks;
    }

    private void close() {
        retired = true;
        if (connected && withdrawnCommands.anyInTransit()) {
            reset("what was given up may not have arrived");
        } else if (channel != null) {
            Front.close(channel);
        }
    }

    private void sendCommand(String... arguments) {
        if (writeCommand(null, arguments)) {
            channel.flush();
        }
    }

    /**
     * Writes a command without flushing. Returns false if nothing was written, because memory was lacking or
     * the connection had closed.
     */
    private boolean writeCommand(ByteBuf body, String... arguments) {
        Throwable failure;
        try {
            failure = channel.write(buildCommand(body, arguments)).cause();
        } catch (OutOfMemoryError e) {
            FatalErrors.endProcessIfFatal("command to an engine not written", e);
            failure = e;
        }
        if (failure != null && !(failure instanceof ClosedChannelException)) {
            FatalErrors.logOrEndProcess(front.log(), "command to an engine not written", failure);
        }
        return failure == null;
    }

    /** Builds a command from words and an optional body; the caller keeps its reference to the body. */
    private ArrayRedisMessage buildCommand(ByteBuf body, String... arguments) {
        List<RedisMessage> parts = new ArrayList<>(arguments.length + 1);
        try {
            for (String argument : arguments) {
                parts.add(new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(channel.alloc(), argument)));
            }
        } catch (RuntimeException | Error e) {
            parts.forEach(ReferenceCountUtil::release);
            throw e;
        }
        if (body != null) {
            parts.add(new FullBulkStringRedisMessage(body.retainedDuplicate()));
        }
        return new ArrayRedisMessage(parts);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        front.stallProbe().nameWork("engine answer");
        AnswerDecoder.Answer answer = (AnswerDecoder.Answer) message;
        try {
            if (!ctx.channel().isOpen()) {
                return;
            }
            lastUsedAt = front.clock().now();
            lastReceivedAt = lastUsedAt;
            probeSentAt = -1;
            Submission s = openSubmissions.get(answer.id());
            if (s != null) {
                s.query.firstReplyAt = lastReceivedAt;
                arrivals.answered(s.commandNumber);
            }
            boolean late = lateTraces.contains(answer.id());
            if (answer.fields().get("rep") != null) {
                front.loadReported(engine, answer.fields().get("rep"));
            }
            if (s == null && FINAL_ANSWER_KINDS.contains(answer.kind())
                    && removeRunning(answer.id())) {
                lateTraces.remove(answer.id());
            }
            switch (answer.kind()) {
                case "data" -> results.onData(s, answer, late);
                case "page" -> results.onPage(s, answer);
                case "full" -> closeByAnswer(s, Outcome.TURNED_AWAY);
                case "failed" -> closeByAnswer(s, Outcome.ERROR);
                case "moot" -> closeByAnswer(s, Outcome.NOT_SENT);
                case "news" -> {
                    if (s != null && "done".equals(answer.fields().get("why"))) {
                        front.reportProgress(s, answer.number("val", 0));
                    }
                }
                case "well" -> arrivals.probeAnswered(answer.id());
                default -> throw new CorruptedFrameException("unknown kind of answer");
            }
        } finally {
            answer.body().release();
        }
    }

    private void closeByAnswer(Submission s, Outcome outcome) {
        if (s != null) {
            if (s.pages == null) {
                // The engine may send its final answer twice. The duplicate would be mistaken for the end of
                // the query's next submission, and a query that runs would count as never run.
                openSubmissions.remove(s.query.trace, s);
                addBounded(lateTraces, s.query.trace);
            }
            front.submissionEnded(s, outcome);
        }
    }

    /** Requests a page of the result. */
    void requestPage(Submission s, int page) {
        sendCommand("more", s.query.trace, Integer.toString(page));
    }

    /** Tells the engine that no page of a result is needed which nobody waits for. */
    void declinePages(String trace) {
        // If the engine sends but doesn't read, nothing more is written once the write buffer is full.
        if (channel.isWritable()) {
            sendCommand("done", trace);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closeSubmissions(Outcome.BROKEN, "engine connection lost", closeReason);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            closeReason = String.valueOf(cause.getMessage());
        } else if (cause instanceof DecoderException) {
            front.log().warn("engine connection closed, malformed answer", engine + " " + cause.getMessage());
        } else {
            FatalErrors.logOrEndProcess(front.log(), "engine connection closed, fault", cause);
        }
        ctx.close();
    }

    private void closeSubmissions(Outcome outcome, String logText, String detail) {
        connected = false;
        retired = true;
        onClosed.accept(this);
        // The engine gives up what is open on a connection when that closes.
        List.copyOf(runningTraces.keySet()).forEach(this::removeRunning);
        if (!openSubmissions.isEmpty()) {
            front.log().warn(logText, engine + " " + detail);
        }
        for (Submission s : List.copyOf(openSubmissions.values())) {
            front.submissionEnded(s, s.written ? Outcome.BROKEN : outcome == Outcome.BROKEN
                    ? Outcome.UNREACHABLE : outcome);
        }
    }
}
