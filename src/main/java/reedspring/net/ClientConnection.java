package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One connection of a client: its open queries by message id, and its answers in any order. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private final Front front;
    private final Map<Long, OpenQuery> open = new HashMap<>();
    /** Pages that are being read for it. */
    private final Set<Long> reads = new HashSet<>();
    private final RpcDecoder decoder;
    private final SocketReads socket;
    private ChannelHandlerContext channel;
    private long lastUsedAt;
    /** Answers that are written and have not gone out: for their client these are still open. */
    private int unread;
    private boolean ending;
    /** Ended by the front, not by its client. */
    private boolean endedHere;
    private boolean lost;
    private Timers.Due lingers;
    private long unsentBytes;
    private boolean progress;
    private boolean useful;
    private int ticks;
    private int unfinishedTicks;
    private int stalledTicks;
    private long messages;
    private long bytes;
    private long sentAt;

    /** One that is accepted now. */
    ClientConnection(Front front) {
        this(front, front.clock().now());
    }

    /** @param notBefore a moment at which it had not come yet */
    ClientConnection(Front front, long notBefore) {
        this.front = front;
        this.socket = new SocketReads(new ArrivalBound(front.turns(), front.clock(), notBefore));
        this.decoder = new RpcDecoder(front.limits(), front::piece);
        this.lastUsedAt = front.clock().now();
        this.sentAt = lastUsedAt;
    }

    boolean midway() {
        return decoder.midway();
    }

    RpcDecoder decoder() {
        return decoder;
    }

    /** The first of its handlers. */
    SocketReads socketReads() {
        return socket;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        front.probe().is("client message");
        lastUsedAt = front.clock().now();
        if (ending || !ctx.channel().isOpen()) {
            // What was read together with the message that it ended for, behind it.
            if (message instanceof RpcDecoder.Call call && call.body() != null) {
                call.body().release();
            }
        } else if (message instanceof RpcDecoder.Call call) {
            take(call);
        } else if (message instanceof RpcDecoder.Refused refused) {
            turnAway(refused.id());
        } else if (message instanceof RpcDecoder.Notice notice && notice.method().equals("revoke")) {
            OpenQuery q = open.remove(notice.id());
            if (q != null) {
                front.left(q, false);
            }
        }
    }

    private void take(RpcDecoder.Call call) {
        try {
            if (open.containsKey(call.id())) {
                // An answer under the number could be either's, so that neither has rows for one.
                spoilt(call.id(), "the id is open already");
            } else if (call.fault() != null) {
                error(call.id(), call.fault());
            } else if (call.method().equals("heartbeat")) {
                use();
                answer(RpcWriter.heartbeat(channel.alloc(), call.id(), front.able()));
            } else if (front.kept() != null && (call.method().equals("page")
                    || call.method().equals("release"))) {
                kept(call);
            } else if (open.size() + unread >= front.limits().clientQueries) {
                front.turnedAway(call);
                turnAway(call.id());
            } else {
                OpenQuery q = front.take(this, call, socket.earliestArrival());
                if (q != null) {
                    use();
                    open.put(call.id(), q);
                    front.decide(q);
                }
            }
        } finally {
            if (call.body() != null) {
                call.body().release();
            }
        }
    }

    private void kept(RpcDecoder.Call call) {
        if (reads.contains(call.id())) {
            spoilt(call.id(), "the id is open already");
        } else if (call.method().equals("release")) {
            use();
            front.kept().release(this, call.id(), call.fields());
        } else if (reads.size() >= front.limits().clientQueries) {
            turnAway(call.id());
        } else {
            use();
            reads.add(call.id());
            front.kept().ask(this, call.id(), call.fields());
        }
    }

    /** A page of an answer that is kept. */
    void page(long id, int sheet, ByteBuf text) {
        if (reads.remove(id) && channel.channel().isActive()) {
            use();
            int length = text.readableBytes();
            ByteBuf whole = RpcWriter.rows(channel.alloc(), id, List.of(text), "sheet",
                    Integer.toString(sheet));
            text.release();
            answer(whole, length, null);
        }
    }

    void readLater(long id, long pauseMs, String why) {
        if (reads.remove(id)) {
            front.log().line("page not read", why);
            shed(id, pauseMs);
        }
    }

    void readError(long id, String why) {
        if (reads.remove(id)) {
            error(id, why);
        }
    }

    /** The answer is gone, and its query may be asked once more without harm. */
    void askAnew(long id, String why) {
        if (reads.remove(id)) {
            answer(RpcWriter.error(channel.alloc(), id, "Shed", "say", why));
        }
    }

    void released(long id) {
        answer(RpcWriter.heartbeat(channel.alloc(), id, true));
    }

    /** An error, and the end of a connection on which nothing can be told apart any more. */
    void spoilt(long id, String why) {
        front.log().line("client connection closed, numbers used twice", why);
        error(id, why);
        reads.remove(id);
        OpenQuery same = open.remove(id);
        if (same != null) {
            // Both go by this number, and so does the one answer that either can have.
            front.left(same, false);
        }
        shut(CloseReason.NUMBER_USED_TWICE);
    }

    /** Whether it takes what is sent to it. */
    boolean reads() {
        return channel.channel().isWritable();
    }

    void rows(OpenQuery q, List<ByteBuf> pages) {
        if (front.full() && !reads()) {
            // It has an answer all the same, and a small one.
            kill(q, "results wait unread");
            return;
        }
        open.remove(q.messageId);
        use();
        int length = pages.stream().mapToInt(ByteBuf::readableBytes).sum();
        answer(RpcWriter.rows(channel.alloc(), q.messageId, pages), length, q);
    }

    /** The first page of an answer that is kept, and how to come for the others. */
    void firstPage(OpenQuery q, Submission s) {
        open.remove(q.messageId);
        use();
        ByteBuf first = s.pages[0];
        answer(RpcWriter.rows(channel.alloc(), q.messageId, List.of(first), "sheets",
                Integer.toString(s.sheets), "handle", s.handle, "kept", Long.toString(s.keptForMs)),
                first.readableBytes(), q);
    }

    /** A retry is safe; {@code comeBack} in tenths, 0 for no time named. */
    void defer(OpenQuery q, long comeBack) {
        open.remove(q.messageId);
        answer(refusal(q.messageId, comeBack / 10), 0, q);
    }

    void kill(OpenQuery q, String why) {
        open.remove(q.messageId);
        answer(fault(q.messageId, why), 0, q);
    }

    void turnAway(long id) {
        front.log().line("query turned away by a limit", "");
        shed(id, front.limits().comeBack);
    }

    private void shed(long id, long pauseMs) {
        answer(refusal(id, pauseMs));
    }

    private ByteBuf refusal(long id, long pauseMs) {
        return RpcWriter.error(channel.alloc(), id, "Shed", "pause",
                pauseMs > 0 ? Long.toString(pauseMs) : null);
    }

    void error(long id, String why) {
        answer(fault(id, why));
    }

    private ByteBuf fault(long id, String why) {
        return RpcWriter.error(channel.alloc(), id, "Fault", "say", why);
    }

    private void answer(ByteBuf message) {
        answer(message, 0, null);
    }

    /**
     * The last bytes of an answer, {@code held} of it counted against the room for all.
     *
     * @param q the query whose final answer it is, or null
     */
    private void answer(ByteBuf message, int held, OpenQuery q) {
        unread++;
        front.hold(held);
        if (q != null) {
            front.misses().decided(q);
        }
        channel.writeAndFlush(message).addListener(done -> {
            unread--;
            front.hold(-held);
            progress |= held > 0;
            if (q != null && done.isSuccess()) {
                front.misses().written(q);
            } else if (q != null) {
                front.misses().dropped(q, endedHere);
            }
        });
        // It is read from all the same, as only so its close and its revokes are seen. No client has so many
        // open, and each answer here, however small, takes room.
        if (unread > front.limits().clientUnread && !ending) {
            front.log().line("client connection closed, it does not read", unread + " answers wait");
            close(CloseReason.NOT_READING);
        }
    }

    /** Whether it has been there for long enough to have sent something. */
    boolean hadItsChance() {
        return ticks >= front.limits().chanceTicks;
    }

    private void use() {
        useful = true;
        lastUsedAt = front.clock().now();
        front.roster().used(this);
    }

    boolean idleSince(long time) {
        return open.isEmpty() && lastUsedAt < time && !unsent();
    }

    boolean unsent() {
        return pending() > 0;
    }

    private long pending() {
        return SocketReads.pending(channel.channel());
    }

    /** Sees to a connection that the selector does not know, or does not know to be waited for. */
    private void lookPastSelector() {
        Channel connection = channel.channel();
        boolean waitsUnsent = pending() > 0 && pending() >= unsentBytes && !progress;
        boolean found = !ending && socket.findsUntold(connection, front.clock().now());
        if (found || waitsUnsent && SocketReads.sendsUntold(connection)) {
            front.registersAnew(connection);
        }
    }

    /** Cuts off a client that takes nothing any more: what waits for it takes room from others' answers. */
    void tick(long now) {
        lookPastSelector();
        long waits = pending();
        if (waits == 0 || waits < unsentBytes || progress) {
            sentAt = now;
        }
        progress = false;
        unsentBytes = waits;
        if (now - sentAt >= front.limits().clientStall * 10L) {
            front.log().line("client connection closed, it does not read", waits + " bytes wait");
            close(CloseReason.NOT_READING);
        } else if (idleSince(now - front.limits().clientIdle * 10L)) {
            // A query may lie unread just now.
            if (there() && idleSince(now - front.limits().clientIdle * 10L)) {
                shut(CloseReason.IDLE);
            }
        } else if (!useful && ++ticks > front.limits().silentTicks) {
            front.log().line("client connection closed, nothing of use came", "");
            shut(CloseReason.NOTHING_OF_USE);
        } else if (unfinished()) {
            front.log().line("client connection closed, a message does not end", "");
            shut(CloseReason.UNFINISHED_MESSAGE);
        }
    }

    /**
     * Whether a message has begun that does not end. A client that has been served may write slowly, as
     * long as it writes; while a query of its own is open, that goes first. Ticks, not spans: time in which
     * the front itself stood still must not count against a client.
     */
    private boolean unfinished() {
        boolean waits = decoder.midway() && decoder.messages() == messages && reads();
        boolean stalls = waits && socket.bytes() == bytes;
        messages = decoder.messages();
        bytes = socket.bytes();
        unfinishedTicks = waits ? unfinishedTicks + 1 : 0;
        stalledTicks = stalls ? stalledTicks + 1 : 0;
        if (busy()) {
            return false;
        }
        return (useful ? stalledTicks : unfinishedTicks) > front.limits().unfinishedTicks
                || unfinishedTicks > front.limits().slowTicks;
    }

    /** At once. What is still unread, or not yet sent, is lost with it. */
    void close() {
        channel.close();
    }

    private void close(CloseReason why) {
        endedHere = true;
        front.counters().add(why);
        close();
    }

    /**
     * An orderly end: the last answers go out, then the write side is shut, and what crosses that is read to
     * its end and thrown away, for a bounded time. A close over unread bytes would reset the connection and
     * take answers on their way with it; and what is read after the shutdown can't be answered any more, so
     * that it must not be sent on. Its client sees the end and asks again elsewhere.
     */
    void shut(CloseReason why) {
        if (ending) {
            return;
        }
        ending = true;
        endedHere = true;
        front.counters().add(why);
        decoder.hearNoMore();
        answerWhatIsOpen();
        abandon();
        front.roster().lingers(this);
        unsentBytes = Long.MAX_VALUE;
        sentAt = front.clock().now();
        lingerOn();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            if (done.isSuccess() && channel.channel() instanceof DuplexChannel socket) {
                socket.shutdownOutput();
            } else {
                close();
            }
        });
    }

    /**
     * Until its answers are out, or for as long as any client may take nothing: one that is silent for
     * two seconds, and then goes on, must not have lost what waits here for it.
     */
    private void lingerOn() {
        lingers = front.timers().in(front.limits().clientLinger * 10L, () -> {
            long waits = pending();
            long now = front.clock().now();
            sentAt = waits < unsentBytes ? now : sentAt;
            unsentBytes = waits;
            if (waits > 0 && now - sentAt < front.limits().clientStall * 10L) {
                lingerOn();
            } else {
                close();
            }
        });
    }

    /** What was taken is owed an answer, whatever its connection ends for. */
    private void answerWhatIsOpen() {
        List.copyOf(reads).forEach(this::turnAway);
        List.copyOf(open.values()).forEach(front::giveUp);
    }

    /** Nothing more is owed here. */
    private void abandon() {
        front.roster().gone(this);
        List<OpenQuery> left = new ArrayList<>(open.values());
        open.clear();
        reads.clear();
        left.forEach(q -> front.left(q, endedHere));
    }

    /**
     * Whether it is still there, by what lies in its socket now. After a stop of the loop a query, its revoke
     * and the close of its connection lie there together, and the selector hands over one look's worth.
     */
    boolean there() {
        Channel connection = channel.channel();
        if (!ending) {
            socket.readAll(connection);
        }
        if (!connection.isOpen()) {
            // Netty tells so with a task of its own, after this.
            abandon();
        }
        return connection.isOpen() && !ending;
    }

    boolean busy() {
        return !open.isEmpty() || !reads.isEmpty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!endedHere) {
            front.counters().add(lost ? CloseReason.LOST : CloseReason.BY_CLIENT);
        }
        ending = true;
        abandon();
        front.roster().lingersNoMore(this);
        front.timers().cancel(lingers);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!ctx.channel().isOpen() || ending && !(cause instanceof IOException)) {
            // The rest of what was read is decoded once more at the close, and fails once more.
            return;
        }
        if (cause instanceof DecoderException && cause.getCause() == null) {
            front.log().line("client connection closed, broken framing", cause.getMessage());
        } else if (cause instanceof IOException) {
            front.log().line("client connection lost", String.valueOf(cause.getMessage()));
        } else {
            front.log().fault("client connection closed, fault", cause);
        }
        if (cause instanceof IOException) {
            lost = true;
            close();
        } else {
            shut(cause instanceof DecoderException && cause.getCause() == null ? CloseReason.BROKEN_FRAMING
                    : CloseReason.FAULT);
        }
    }
}
