package reedspring.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
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
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import reedspring.api.Event.Outcome;

/** One connection to an engine: many submissions, answers in any order, pages fetched as they are wanted. */
final class EngineConnection extends ChannelInboundHandlerAdapter {
    private static final Set<String> LAST_WORDS = Set.of("data", "full", "failed", "moot");

    private final Front front;
    private final Limits limits;
    private final String engine;
    private final BooleanSupplier engineUp;
    private final Consumer<EngineConnection> ended;
    private final Map<String, Submission> open = new LinkedHashMap<>();
    /** Queries that have still something to come here from a submission that is over, the latest of them. */
    private final Set<String> spent = new LinkedHashSet<>();
    /** Those of them that the engine may still be at work on. */
    private final Set<String> running = new LinkedHashSet<>();
    private final AnswerDecoder decoder;
    private final Rows rows;
    private final SocketReads reads = new SocketReads();
    private Channel channel;
    private long partBytes;
    private int partTicks;
    private boolean up;
    private boolean rested;
    private boolean retired;
    private String lost = "closed by the engine";
    private long lastUsedAt;
    private long heardAt;
    private long askedAt = -1;

    EngineConnection(Front front, Limits limits, Rows rows, String engine, BooleanSupplier engineUp,
                     Consumer<EngineConnection> ended) {
        this.front = front;
        this.limits = limits;
        this.rows = rows;
        this.engine = engine;
        this.engineUp = engineUp;
        this.ended = ended;
        this.decoder = new AnswerDecoder(limits);
        this.lastUsedAt = front.clock().now();
    }

    void dial(Bootstrap dialer, InetSocketAddress address) {
        EngineConnection self = this;
        ChannelFuture dialled = dialer.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel made) {
                made.pipeline().addLast(reads, new FlushConsolidationHandler(limits.flushes, true),
                        new WholeCommandEncoder(), new RedisDecoder(), decoder, self);
            }
        }).connect(address);
        channel = dialled.channel();
        // Among the front's own alarms: Netty's would ring before the socket is looked at, after a stop of
        // this process, and an engine that took the connection in time would count as unreachable.
        Timers.Due tooLate = front.timers().in(limits.connectTimeout * 10L, () -> {
            lost = "no connection in " + limits.connectTimeout + " ms";
            Front.close(channel);
        });
        front.dialled(dialled, done -> {
            front.timers().cancel(tooLate);
            if (done.isSuccess()) {
                up = true;
                open.values().forEach(front::departs);
            } else {
                end(Outcome.UNREACHABLE, "engine unreachable", done.cause() instanceof ClosedChannelException
                        ? lost : String.valueOf(done.cause().getMessage()));
            }
        });
    }

    int load() {
        return open.size();
    }

    /** Whether nothing is out on it nor still to come, so that its end costs no query anything. */
    boolean rests() {
        return up && open.isEmpty() && running.isEmpty();
    }

    long lastUsedAt() {
        return lastUsedAt;
    }

    boolean takes(Submission s) {
        // What is still to come here of an earlier submission could not be told from this one's: an answer
        // has only the query's id, and pages of two runs must not end up in one result.
        return !retired && open.size() < limits.connectionQueries && !open.containsKey(s.query.trace)
                && !spent.contains(s.query.trace)
                && (channel == null || !up || channel.isWritable());
    }

    /**
     * Asked and without an answer for as long as a new connection would have to come up. What was sent before
     * a cut arrives only with the kernel's next try, long after its end; what is sent later waits behind it.
     */
    boolean doubtful() {
        return askedAt >= 0 && front.clock().now() - askedAt >= limits.connectTimeout * 10L;
    }

    void send(Submission s) {
        s.connection = this;
        open.put(s.query.trace, s);
        if (open.size() == 1) {
            heardAt = front.clock().now();
        }
        if (up) {
            front.departs(s);
        }
    }

    String engine() {
        return engine;
    }

    /** Whether its engine may still be given anything, by the news as they stand. */
    boolean departable() {
        return !retired && engineUp.getAsBoolean();
    }

    /**
     * Whether it still stands, by what lies in its socket now. Engines close what rests, some of them early;
     * a submission that is written after that has an unclear end, and a mutating query can't be sent again.
     * One that has carried nothing yet is no resting one: an engine that closes each new connection is
     * unreachable.
     */
    boolean there() {
        if (open.size() > 1 || !rested) {
            return true;
        }
        reads.readAll(channel);
        retired |= !channel.isOpen();
        return channel.isOpen();
    }

    /** It goes by another connection. */
    void release(Submission s) {
        open.remove(s.query.trace, s);
        s.connection = null;
    }

    /**
     * Writes it out at once: what waits for others could stand here while the process is stopped.
     *
     * @return false if there was no memory for its command; nothing of it was written then
     */
    boolean depart(Submission s) {
        OpenQuery q = s.query;
        lastUsedAt = front.clock().now();
        rested = true;
        s.sentAt = lastUsedAt;
        q.firstSentAt = q.firstSentAt == 0 ? lastUsedAt : q.firstSentAt;
        long left = Math.max(1, (s.timeoutAt - lastUsedAt) / 10);
        String fields = "lane=" + q.group + ",ttl=" + left + (q.priority >= 0 ? ",urgency=" + q.priority : "")
                + (q.mark != null ? ",dedupe=" + q.mark : "");
        if (!written(q.statement, "fetch", q.trace, fields)) {
            return false;
        }
        s.written = true;
        // Past the handler that gathers flushes until the turn's end.
        channel.pipeline().context(FlushConsolidationHandler.class).flush();
        return true;
    }

    void renice(Submission s) {
        if (s.written) {
            command("renice", s.query.trace, Integer.toString(s.query.priority));
        }
    }

    void cancel(Submission s) {
        if (s.written) {
            command("abort", s.query.trace);
        }
    }

    /** What comes for the submission later is dropped. */
    void drop(Submission s) {
        if (open.remove(s.query.trace, s)) {
            if (s.sheets > 1 && up) {
                command("done", s.query.trace);
            }
            if (s.written && (s.pages == null || s.missing > 0)) {
                keepLatest(spent, s.query.trace);
                if (s.pages == null) {
                    keepLatest(running, s.query.trace);
                }
            }
        }
        if (retired && open.isEmpty()) {
            close();
        }
    }

    private void keepLatest(Set<String> traces, String trace) {
        traces.add(trace);
        if (traces.size() > limits.queries) {
            traces.remove(traces.iterator().next());
        }
    }

    /** Takes nothing new; what is out on it may still end well. */
    void retire() {
        retired = true;
        if (open.isEmpty()) {
            close();
        }
    }

    void tick(long now) {
        // Before the engine closes it for idleness: a submission that crossed that would have an unclear end.
        // Not while the engine may be at work for it, as closing would cancel that.
        if (open.isEmpty() && running.isEmpty() && now - lastUsedAt >= limits.engineIdle * 10L) {
            close();
        }
        if (up) {
            lookPastSelector();
        }
        if (up && stopsShort()) {
            front.log().line("engine connection closed, an answer does not end", engine);
            close();
        }
        if (up && !open.isEmpty() && askedAt < 0 && now - heardAt >= limits.engineSilence * 10L) {
            askedAt = now;
            command("alive", "front");
        }
    }

    /** Sees to a connection that the selector does not know, or does not know to be waited for. */
    private void lookPastSelector() {
        if (!open.isEmpty() && reads.findsUntold(channel, front.clock().now())
                || SocketReads.sendsUntold(channel)) {
            front.registersAnew(channel);
        }
    }

    /**
     * Whether an answer stands begun and unfinished for some looks: all that comes behind it would be taken
     * for its rest, so nothing that is out here can end any more.
     */
    private boolean stopsShort() {
        boolean same = reads.bytes() != decoder.bytes() && partBytes == decoder.bytes();
        partBytes = decoder.bytes();
        partTicks = same ? partTicks + 1 : 0;
        return partTicks > limits.partTicks;
    }

    private void close() {
        retired = true;
        if (channel != null) {
            Front.close(channel);
        }
    }

    private void command(String... words) {
        if (written(null, words)) {
            channel.flush();
        }
    }

    /**
     * Hands a command to the socket; false if nothing of it was written, as there was no memory for it or the
     * connection had gone.
     */
    private boolean written(ByteBuf body, String... words) {
        Throwable failure;
        try {
            failure = channel.write(message(body, words)).cause();
        } catch (OutOfMemoryError e) {
            failure = e;
        }
        if (failure != null && !(failure instanceof ClosedChannelException)) {
            front.log().fault("command to an engine not written", failure);
        }
        return failure == null;
    }

    /** A command of these words, and of a body that stays its owner's, or null. */
    private ArrayRedisMessage message(ByteBuf body, String... words) {
        List<RedisMessage> parts = new ArrayList<>(words.length + 1);
        try {
            for (String word : words) {
                parts.add(new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(channel.alloc(), word)));
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
        front.probe().is("engine answer");
        AnswerDecoder.Answer answer = (AnswerDecoder.Answer) message;
        try {
            if (!ctx.channel().isOpen()) {
                return;
            }
            lastUsedAt = front.clock().now();
            heardAt = lastUsedAt;
            askedAt = -1;
            Submission s = open.get(answer.id());
            if (s != null) {
                s.query.heardAt = heardAt;
            }
            boolean late = spent.contains(answer.id());
            if (answer.fields().get("rep") != null) {
                front.reported(engine, answer.fields().get("rep"));
            }
            if (s == null && LAST_WORDS.contains(answer.word()) && running.remove(answer.id())) {
                spent.remove(answer.id());
            }
            switch (answer.word()) {
                case "data" -> data(s, answer, late);
                case "page" -> page(s, answer);
                case "full" -> over(s, Outcome.TURNED_AWAY);
                case "failed" -> over(s, Outcome.ERROR);
                case "moot" -> over(s, Outcome.NOT_SENT);
                case "news" -> {
                    if (s != null && "done".equals(answer.fields().get("why"))) {
                        front.progress(s, figure(answer, "val", 0));
                    }
                }
                case "well" -> {
                    // tells only that the connection works
                }
                default -> throw new CorruptedFrameException("an answer of an unknown kind");
            }
        } finally {
            answer.body().release();
        }
    }

    private void over(Submission s, Outcome outcome) {
        if (s != null) {
            if (s.pages == null) {
                // The engine's last word, but perhaps not the only copy of it. A second one would pass for
                // the end of the query's next submission, and prove that what runs never ran.
                open.remove(s.query.trace, s);
                keepLatest(spent, s.query.trace);
            }
            front.closed(s, outcome);
        }
    }

    /** Wanted for the spool, as far as it has room. */
    void more(Submission s, int page) {
        command("more", s.query.trace, Integer.toString(page));
    }

    private void data(Submission s, AnswerDecoder.Answer answer, boolean late) {
        double sheets = figure(answer, "sheets", 1);
        boolean keeps = s != null && s.pages == null && s.query.paged && sheets > 1
                && sheets == Math.rint(sheets)
                && sheets <= Integer.MAX_VALUE;
        if (!(sheets >= 1 && (keeps || sheets <= limits.pages))) {
            throw new CorruptedFrameException("a result of " + sheets + " pages");
        }
        if (s == null || s.pages != null) {
            // An engine that sends and does not read gets no more than its buffer holds.
            if (s == null && sheets > 1 && late && channel.isWritable()) {
                command("done", answer.id());
            }
            return;
        }
        s.sheets = (int) sheets;
        s.missing = s.sheets;
        front.seenEnd(s);
        s.work = Math.round(Math.max(0, figure(answer, "toil", 0)) * 10);
        if (keeps && !s.query.answered()) {
            s.pages = new ByteBuf[1];
            s.came = new BitSet();
            keep(s, 0, answer.body());
            front.kept().begin(s);
            return;
        }
        s.pages = new ByteBuf[s.sheets];
        keep(s, 0, answer.body());
        if (s.over) {
            return;
        }
        if (s.query.answered()) {
            // Nobody waits for the other pages; the work is done all the same.
            front.closed(s, Outcome.FINISHED);
            return;
        }
        if (s.pages.length > 1 && front.full() && !s.query.client.reads()) {
            front.log().line("result given up, answers at their limit", engine);
            front.closed(s, Outcome.FINISHED);
            return;
        }
        for (int k = 1; k < s.pages.length; k++) {
            command("more", answer.id(), Integer.toString(k));
        }
    }

    private void page(Submission s, AnswerDecoder.Answer answer) {
        if (s == null) {
            return;
        }
        double sheet = figure(answer, "sheet", -1);
        if (s.pages == null || !(sheet >= 0 && sheet < s.sheets) || sheet != Math.rint(sheet)) {
            throw new CorruptedFrameException("a page that the result does not have");
        }
        if (s.came != null) {
            if (!s.came.get((int) sheet)) {
                if (!rows.whole(answer.body())) {
                    throw new CorruptedFrameException("a page that is no whole rows");
                }
                s.came.set((int) sheet);
                s.missing--;
                front.kept().came(s, (int) sheet, answer.body());
            }
            return;
        }
        keep(s, (int) sheet, answer.body());
    }

    private void keep(Submission s, int at, ByteBuf page) {
        if (s.pages[at] != null) {
            return;
        }
        if (!rows.whole(page)) {
            throw new CorruptedFrameException("a page that is no whole rows");
        }
        s.pages[at] = page.retain();
        s.bytes += page.readableBytes();
        front.hold(page.readableBytes());
        if (s.came != null) {
            s.came.set(at);
            s.missing--;
        } else if (s.bytes > limits.answerBytes) {
            front.log().line("engine result over the limit", engine);
            front.closed(s, Outcome.ERROR);
        } else if (--s.missing == 0) {
            front.closed(s, Outcome.FINISHED);
        }
    }

    private static double figure(AnswerDecoder.Answer answer, String field, double otherwise) {
        String value = answer.fields().get(field);
        try {
            double figure = value == null ? otherwise : Double.parseDouble(value);
            if (Math.abs(figure) < 1e12) {
                return figure;
            }
        } catch (NumberFormatException e) {
            // malformed, as is a figure that no engine could mean
        }
        throw new CorruptedFrameException(field + " is no figure");
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(Outcome.BROKEN, "engine connection lost", lost);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            lost = String.valueOf(cause.getMessage());
        } else if (cause instanceof DecoderException) {
            front.log().line("engine connection closed, malformed answer", engine + " " + cause.getMessage());
        } else {
            front.log().fault("engine connection closed, fault", cause);
        }
        ctx.close();
    }

    private void end(Outcome outcome, String kind, String detail) {
        up = false;
        retired = true;
        ended.accept(this);
        if (!open.isEmpty()) {
            front.log().line(kind, engine + " " + detail);
        }
        for (Submission s : List.copyOf(open.values())) {
            front.closed(s, s.written ? Outcome.BROKEN : outcome == Outcome.BROKEN ? Outcome.UNREACHABLE
                    : outcome);
        }
    }
}
