package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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
    private ChannelHandlerContext channel;
    private long lastUsedAt;
    private long deafSince = Long.MAX_VALUE;
    private long unsentBytes;
    private boolean progress;
    private boolean useful;
    private int ticks;
    private int unfinishedTicks;
    private long messages;
    private long sentAt;

    ClientConnection(Front front) {
        this.front = front;
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

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        lastUsedAt = front.clock().now();
        if (!ctx.channel().isOpen()) {
            // What was read together with the message that it was closed for, behind it.
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
                front.left(q);
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
                channel.writeAndFlush(RpcWriter.heartbeat(channel.alloc(), call.id(), front.able()));
            } else if (front.kept() != null && (call.method().equals("page")
                    || call.method().equals("release"))) {
                kept(call);
            } else if (open.size() >= front.limits().clientQueries) {
                turnAway(call.id());
            } else {
                // While this client was not read from, what it sent lay in a buffer.
                long arrived = Math.min(front.timers().earliestArrival(), deafSince);
                OpenQuery q = front.take(this, call, arrived);
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
            channel.write(RpcWriter.rowsHead(channel.alloc(), id, length));
            channel.write(text);
            front.hold(length);
            channel.writeAndFlush(RpcWriter.rowsTail(channel.alloc(), "sheet", Integer.toString(sheet)))
                    .addListener(done -> {
                        front.hold(-length);
                        progress = true;
                    });
        }
    }

    void readLater(long id, long pauseMs, String why) {
        reads.remove(id);
        front.log().line("page not read", why);
        shed(id, pauseMs);
    }

    void readError(long id, String why) {
        reads.remove(id);
        error(id, why);
    }

    /** The answer is gone, and its query may be asked once more without harm. */
    void askAnew(long id, String why) {
        reads.remove(id);
        channel.writeAndFlush(RpcWriter.error(channel.alloc(), id, "Shed", "say", why));
    }

    void released(long id) {
        channel.writeAndFlush(RpcWriter.heartbeat(channel.alloc(), id, true));
    }

    /** An error, and the end of a connection on which nothing can be told apart any more. */
    void spoilt(long id, String why) {
        front.log().line("client connection closed, numbers used twice", why);
        error(id, why);
        close();
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
        channel.write(RpcWriter.rowsHead(channel.alloc(), q.messageId, length));
        pages.forEach(page -> channel.write(page.retain()));
        front.hold(length);
        channel.writeAndFlush(RpcWriter.rowsTail(channel.alloc())).addListener(done -> {
            front.hold(-length);
            progress = true;
        });
    }

    /** The first page of an answer that is kept, and how to come for the others. */
    void firstPage(OpenQuery q, Submission s) {
        open.remove(q.messageId);
        use();
        ByteBuf first = s.pages[0];
        int length = first.readableBytes();
        channel.write(RpcWriter.rowsHead(channel.alloc(), q.messageId, length));
        channel.write(first.retain());
        front.hold(length);
        channel.writeAndFlush(RpcWriter.rowsTail(channel.alloc(), "sheets", Integer.toString(s.sheets),
                "handle",
                s.handle, "kept", Long.toString(s.keptForMs))).addListener(done -> {
                    front.hold(-length);
                    progress = true;
                });
    }

    /** A retry is safe; {@code comeBack} in tenths, 0 for no time named. */
    void defer(OpenQuery q, long comeBack) {
        open.remove(q.messageId);
        shed(q.messageId, comeBack / 10);
    }

    void kill(OpenQuery q, String why) {
        open.remove(q.messageId);
        error(q.messageId, why);
    }

    void turnAway(long id) {
        front.log().line("query turned away by a limit", "");
        shed(id, front.limits().comeBack);
    }

    private void shed(long id, long pauseMs) {
        channel.writeAndFlush(RpcWriter.error(channel.alloc(), id, "Shed", "pause",
                pauseMs > 0 ? Long.toString(pauseMs) : null));
    }

    void error(long id, String why) {
        channel.writeAndFlush(RpcWriter.error(channel.alloc(), id, "Fault", "say", why));
    }

    /** Whether it has been there for long enough to have sent something. */
    boolean hadItsChance() {
        return ticks >= front.limits().chanceTicks;
    }

    private void use() {
        useful = true;
        lastUsedAt = front.clock().now();
        front.used(this);
    }

    boolean idleSince(long time) {
        return open.isEmpty() && lastUsedAt < time && !unsent();
    }

    boolean unsent() {
        return pending() > 0;
    }

    private long pending() {
        ChannelOutboundBuffer out = channel.channel().unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /** Cuts off a client that takes nothing any more: what waits for it takes room from others' answers. */
    void tick(long now) {
        long waits = pending();
        if (waits == 0 || waits < unsentBytes || progress) {
            sentAt = now;
        }
        progress = false;
        unsentBytes = waits;
        if (now - sentAt >= front.limits().clientStall * 10L) {
            front.log().line("client connection closed, it does not read", waits + " bytes wait");
            close();
        } else if (idleSince(now - front.limits().clientIdle * 10L)) {
            close();
        } else if (!useful && ++ticks > front.limits().silentTicks) {
            front.log().line("client connection closed, nothing of use came", "");
            close();
        } else if (unfinished()) {
            front.log().line("client connection closed, a message does not end", "");
            close();
        }
    }

    /** Ticks, not spans: time in which the front itself stood still must not count against a client. */
    private boolean unfinished() {
        boolean waits = decoder.midway() && decoder.messages() == messages && reads();
        messages = decoder.messages();
        unfinishedTicks = waits ? unfinishedTicks + 1 : 0;
        return unfinishedTicks > front.limits().unfinishedTicks;
    }

    void close() {
        channel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        boolean reads = ctx.channel().isWritable();
        ctx.channel().config().setAutoRead(reads);
        if (!reads) {
            deafSince = Math.min(deafSince, front.clock().now());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        // What lay in the socket has been read, so the next bytes are new; not so while it isn't read.
        if (ctx.channel().config().isAutoRead()) {
            deafSince = Long.MAX_VALUE;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        front.gone(this);
        List<OpenQuery> left = new ArrayList<>(open.values());
        open.clear();
        left.forEach(front::left);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!ctx.channel().isOpen()) {
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
        ctx.close();
    }
}
