package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A client connection: its open queries by message id. Answers are sent in any order. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private final Front front;
    private final Map<Long, OpenQuery> openQueries = new HashMap<>();
    /** Message ids of requests for pages that are being read from the spool. */
    private final Set<Long> pageReads = new HashSet<>();
    private final RpcDecoder decoder;
    private final SocketReads socketReads;
    private ChannelHandlerContext context;
    private long lastUsedAt;
    /** Answers written but not yet flushed to the socket; they count against the limit on open queries. */
    private int unsentAnswers;
    private boolean closing;
    /** Whether the client can see the end of the stream: what it sends from now on is not handled. */
    private boolean outputEnded;
    /** Whether the front, not the client, closed the connection. */
    private boolean closedByFront;
    private boolean connectionLost;
    private Timers.Timer lingerTimer;
    /** Bytes that waited in the write buffer at the last check. */
    private long lastPendingBytes;
    /** Whether an answer with rows or pages was flushed since the last check. */
    private boolean answerFlushed;
    /** Whether a valid request or an answer was ever handled. */
    private boolean everUsed;
    /** Periodic checks made before the first valid request. */
    private int unusedTicks;
    /** Consecutive checks that found the same message incomplete, and those at which it had not grown. */
    private int partialMessageTicks;
    private int stalledMessageTicks;
    private long lastMessageCount;
    private long lastByteCount;
    /** Consecutive checks at which the client had read none of its pending answers. */
    private int unreadTicks;
    /** Bytes of all answers so far. */
    private long answeredBytes;
    /** Bytes that the client's kernel had acknowledged after half of a stall. */
    private long acknowledgedAtHalf;
    private int unreadLingerChecks;

    /** Creates a connection that is accepted now. */
    ClientConnection(Front front) {
        this(front, front.clock().now());
    }

    /** @param connectedAfter a time before the client connected */
    ClientConnection(Front front, long connectedAfter) {
        this.front = front;
        this.decoder = new RpcDecoder(front.limits(), front::addPartialMessageBytes);
        this.socketReads = new SocketReads(front, front.limits().clientReads, decoder::messageCount,
                new ArrivalBound(front.turns(), front.clock(), connectedAfter));
        this.lastUsedAt = front.clock().now();
    }

    /** Returns whether part of a message has been received. */
    boolean hasPartialMessage() {
        return decoder.hasPartialMessage();
    }

    RpcDecoder decoder() {
        return decoder;
    }

    /** Returns the first handler of the pipeline. */
    SocketReads socketReads() {
        return socketReads;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        front.stallProbe().nameWork("client message");
        lastUsedAt = front.clock().now();
        if (outputEnded || !ctx.channel().isOpen()) {
            // Read in one go with the message that caused the close, but behind it.
            if (message instanceof RpcDecoder.Request request && request.body() != null) {
                request.body().release();
            }
        } else if (message instanceof RpcDecoder.Request request) {
            handleRequest(request);
        } else if (message instanceof RpcDecoder.Refused refused) {
            turnAway(refused.id());
        } else if (message instanceof RpcDecoder.Notification notification
                && notification.method().equals("revoke")) {
            OpenQuery q = openQueries.remove(notification.id());
            if (q != null) {
                front.clientLeft(q, false);
            }
        }
    }

    private void handleRequest(RpcDecoder.Request request) {
        try {
            if (closing) {
                // The end can't be sent before the last answers, so this may still count as taken.
                turnAwayWhileClosing(request);
            } else if (openQueries.containsKey(request.id())) {
                // An answer under this id could belong to either request, so neither may get rows.
                closeForReusedId(request.id(), "the id is open already");
            } else if (request.fault() != null) {
                sendError(request.id(), request.fault());
            } else if (request.method().equals("heartbeat")) {
                markUsed();
                writeAnswer(RpcWriter.heartbeat(context.alloc(), request.id(), front.isReady()));
            } else if (front.keptAnswers() != null && (request.method().equals("page")
                    || request.method().equals("release"))) {
                handleKeptAnswerRequest(request);
            } else if (openQueries.size() + unsentAnswers >= front.limits().maxClientQueries) {
                front.recordTurnedAway(request);
                turnAway(request.id());
            } else {
                OpenQuery q = front.acceptRequest(this, request, socketReads.earliestArrival());
                if (q != null) {
                    markUsed();
                    openQueries.put(request.id(), q);
                    front.startDecisions(q);
                }
            }
        } finally {
            if (request.body() != null) {
                request.body().release();
            }
        }
    }

    private void turnAwayWhileClosing(RpcDecoder.Request request) {
        if (unsentAnswers > front.limits().maxUnreadAnswers) {
            close();
        } else if (request.method().equals("heartbeat")) {
            writeAnswer(RpcWriter.heartbeat(context.alloc(), request.id(), false));
        } else {
            front.recordTurnedAway(request);
            turnAway(request.id());
        }
    }

    /** Handles a request to read a page of a kept answer, or to release it. */
    private void handleKeptAnswerRequest(RpcDecoder.Request request) {
        if (pageReads.contains(request.id())) {
            closeForReusedId(request.id(), "the id is open already");
        } else if (request.method().equals("release")) {
            markUsed();
            front.keptAnswers().release(this, request.id(), request.fields());
        } else if (pageReads.size() >= front.limits().maxClientQueries) {
            turnAway(request.id());
        } else {
            markUsed();
            pageReads.add(request.id());
            front.keptAnswers().requestPage(this, request.id(), request.fields());
        }
    }

    /** Sends a page of a kept answer; takes ownership of {@code text}. */
    void sendPage(long id, int page, ByteBuf text) {
        if (pageReads.remove(id) && context.channel().isActive()) {
            markUsed();
            int length = text.readableBytes();
            ByteBuf message = RpcWriter.result(context.alloc(), id, List.of(text), "sheet",
                    Integer.toString(page));
            text.release();
            writeAnswer(message, length, null);
        }
    }

    /** Tells the client to request the page again after {@code pauseMs}. */
    void deferPageRead(long id, long pauseMs, String reason) {
        if (pageReads.remove(id)) {
            front.log().warn("page not read", reason);
            sendShed(id, pauseMs);
        }
    }

    void failPageRead(long id, String reason) {
        if (pageReads.remove(id)) {
            sendError(id, reason);
        }
    }

    /** Reports that the kept answer is lost, and that it is safe to run its query again. */
    void shedPageRead(long id, String reason) {
        if (pageReads.remove(id)) {
            writeAnswer(RpcWriter.error(context.alloc(), id, "Shed", "say", reason));
        }
    }

    void confirmRelease(long id) {
        writeAnswer(RpcWriter.heartbeat(context.alloc(), id, true));
    }

    /** Sends an error and closes the connection, as requests that share an id can't be distinguished. */
    void closeForReusedId(long id, String reason) {
        front.log().warn("client connection closed, message id reused", reason);
        sendError(id, reason);
        pageReads.remove(id);
        OpenQuery openQuery = openQueries.remove(id);
        if (openQuery != null) {
            // Both requests have this id, and the error above is the one answer under it.
            front.clientLeft(openQuery, false);
        }
        closeGracefully(CloseReason.NUMBER_USED_TWICE);
    }

    /** Returns whether the client reads its answers: the write buffer is below its limit. */
    boolean isWritable() {
        return context.channel().isWritable();
    }

    void sendRows(OpenQuery q, List<ByteBuf> pages) {
        if (front.isOverHeldLimit() && !isWritable()) {
            // The client still gets an answer, but a small one.
            sendKill(q, "results wait unread");
            return;
        }
        openQueries.remove(q.messageId);
        markUsed();
        int length = pages.stream().mapToInt(ByteBuf::readableBytes).sum();
        writeAnswer(RpcWriter.result(context.alloc(), q.messageId, pages), length, q);
    }

    /** Sends the first page of a kept answer, with the handle under which the others are requested. */
    void sendFirstPage(OpenQuery q, Submission s) {
        openQueries.remove(q.messageId);
        markUsed();
        ByteBuf first = s.pages[0];
        writeAnswer(RpcWriter.result(context.alloc(), q.messageId, List.of(first), "sheets",
                Integer.toString(s.pageCount), "handle", s.handle, "kept", Long.toString(s.keptForMs)),
                first.readableBytes(), q);
    }

    /** Tells the client that it may retry; {@code retryAfter} in ticks, 0 to name no time. */
    void sendDeferral(OpenQuery q, long retryAfter) {
        openQueries.remove(q.messageId);
        writeAnswer(shedMessage(q.messageId, retryAfter / 10), 0, q);
    }

    void sendKill(OpenQuery q, String reason) {
        openQueries.remove(q.messageId);
        writeAnswer(faultMessage(q.messageId, reason), 0, q);
    }

    /** Refuses a request because a limit is reached. */
    void turnAway(long id) {
        front.log().warn("request turned away by a limit", "");
        sendShed(id, front.limits().retryAfterMs);
    }

    private void sendShed(long id, long pauseMs) {
        writeAnswer(shedMessage(id, pauseMs));
    }

    private ByteBuf shedMessage(long id, long pauseMs) {
        return RpcWriter.error(context.alloc(), id, "Shed", "pause",
                pauseMs > 0 ? Long.toString(pauseMs) : null);
    }

    void sendError(long id, String reason) {
        writeAnswer(faultMessage(id, reason));
    }

    private ByteBuf faultMessage(long id, String reason) {
        return RpcWriter.error(context.alloc(), id, "Fault", "say", reason);
    }

    private void writeAnswer(ByteBuf message) {
        writeAnswer(message, 0, null);
    }

    /**
     * Writes an answer.
     *
     * @param heldBytes how much of it counts against the front's memory limit until it is flushed
     * @param q the query that it answers, or null
     */
    private void writeAnswer(ByteBuf message, int heldBytes, OpenQuery q) {
        unsentAnswers++;
        answeredBytes += message.readableBytes();
        front.addHeldBytes(heldBytes);
        if (q != null) {
            front.deadlineMisses().answerDecided(q);
        }
        context.writeAndFlush(message).addListener(done -> {
            unsentAnswers--;
            front.addHeldBytes(-heldBytes);
            answerFlushed |= heldBytes > 0;
            if (q != null && done.isSuccess()) {
                front.deadlineMisses().answerWritten(q);
            } else if (q != null) {
                front.deadlineMisses().answerDropped(q, closedByFront);
            }
        });
        // Reading goes on while answers wait, as closes and revokes are seen only that way. So a client that
        // never reads must be cut off: each answer takes memory, and no client has this many requests open.
        if (unsentAnswers > front.limits().maxUnreadAnswers && !closing) {
            front.log().warn("client connection closed, client does not read",
                    unsentAnswers + " answers wait");
            close(CloseReason.NOT_READING);
        }
    }

    /** Bytes of a message that this client has begun to send. */
    long partialBytes() {
        return decoder.partialBytes();
    }

    /** Returns whether it holds a part of a message and has lately sent no more of it. */
    boolean isStalledInMessage() {
        return !closing && decoder.partialBytes() > front.limits().smallMessageBytes
                && stalledMessageTicks >= front.limits().reclaimTicks;
    }

    /** Closes a client that has stopped within a message, as the memory that this takes is needed. */
    void closeToReclaimMemory() {
        front.log().warn("client connection closed, its memory is needed", partialBytes() + " bytes held");
        closeGracefully(CloseReason.UNFINISHED_MESSAGE);
    }

    /** Returns whether the client has had time to send its first request. */
    boolean isPastGracePeriod() {
        return unusedTicks >= front.limits().firstMessageTicks;
    }

    /** Records a valid request or an answer. */
    private void markUsed() {
        everUsed = true;
        lastUsedAt = front.clock().now();
        front.clientConnections().markUsed(this);
    }

    /** Returns whether nothing was received or answered since {@code time}, and nothing is open. */
    boolean isIdleSince(long time) {
        return !hasOpenWork() && lastUsedAt < time && socketReads.lastReadAt() < time
                && !hasPartialMessage() && !hasPendingBytes();
    }

    boolean hasPendingBytes() {
        return pendingBytes() > 0;
    }

    /** Returns how many bytes wait in the write buffer. */
    private long pendingBytes() {
        return SocketReads.pendingBytes(context.channel());
    }

    /** Registers the socket anew if the selector has missed input, or that it can be written to. */
    private void reregisterIfMissed() {
        Channel connection = context.channel();
        boolean outputStalled = pendingBytes() > 0 && pendingBytes() >= lastPendingBytes && !answerFlushed;
        boolean missedInput = !closing && socketReads.readUnreported(connection, front.clock().now());
        if (missedInput || outputStalled && SocketReads.flushUnreported(connection)) {
            front.reregister(connection);
        }
    }

    /**
     * Runs the periodic checks: closes connections that are stalled, idle, unused or stuck in a message. What
     * a client has to do is counted in checks, not in time: a stall of the front must not count against it.
     */
    void tick(long now) {
        reregisterIfMissed();
        long pendingBytes = pendingBytes();
        boolean progress = pendingBytes == 0 || pendingBytes < lastPendingBytes || answerFlushed;
        unreadTicks = progress ? 0 : unreadTicks + 1;
        checkSlowProgress(now);
        answerFlushed = false;
        lastPendingBytes = pendingBytes;
        if (unreadTicks >= front.limits().clientStallTicks) {
            front.log().warn("client connection closed, client does not read", pendingBytes + " bytes wait");
            close(CloseReason.NOT_READING);
        } else if (isIdleSince(now - front.limits().clientIdleMs * 10L)) {
            // There may be a request in the socket, not yet read.
            if (readPresence() == Presence.CONNECTED
                    && isIdleSince(now - front.limits().clientIdleMs * 10L)) {
                closeGracefully(CloseReason.IDLE);
            }
        } else if (!everUsed && ++unusedTicks > front.limits().silentTicks) {
            if (readPresence() != Presence.GONE && !everUsed) {
                front.log().warn("client connection closed, no valid request received", "");
                closeGracefully(CloseReason.NOTHING_OF_USE);
            }
        } else if (isMessageOverdue()) {
            long messagesBefore = decoder.messageCount();
            if (readPresence() != Presence.GONE && decoder.messageCount() == messagesBefore) {
                front.log().warn("client connection closed, message incomplete for too long", "");
                closeGracefully(CloseReason.UNFINISHED_MESSAGE);
            }
        }
    }

    /**
     * Lets the stall of a client that reads slowly begin anew. The kernel takes more bytes only once a third
     * of its buffer is free, so the bytes that the client's kernel has acknowledged are compared over the
     * second half of the time.
     */
    private void checkSlowProgress(long now) {
        int half = front.limits().clientStallTicks / 2;
        if (unreadTicks == half) {
            acknowledgedAtHalf = acknowledgedBytes(now);
        } else if (unreadTicks >= front.limits().clientStallTicks) {
            long acknowledged = acknowledgedBytes(now);
            if (acknowledgedAtHalf != KernelSendQueues.UNKNOWN && acknowledged > acknowledgedAtHalf) {
                acknowledgedAtHalf = acknowledged;
                unreadTicks = half;
            }
        }
    }

    /** Bytes that the client's kernel has acknowledged, or {@link KernelSendQueues#UNKNOWN}. */
    private long acknowledgedBytes(long now) {
        if (!(context.channel().localAddress() instanceof InetSocketAddress local)
                || !(context.channel().remoteAddress() instanceof InetSocketAddress remote)) {
            return KernelSendQueues.UNKNOWN;
        }
        long unacknowledged = front.kernelSendQueues().unacknowledgedBytes(local, remote, now);
        return unacknowledged == KernelSendQueues.UNKNOWN ? KernelSendQueues.UNKNOWN
                : answeredBytes - pendingBytes() - unacknowledged;
    }

    /**
     * Returns whether a message has been incomplete for too long. A client that has been served may write
     * slowly as long as bytes arrive, and the limit does not apply while it has requests open.
     */
    private boolean isMessageOverdue() {
        boolean partial = decoder.hasPartialMessage() && decoder.messageCount() == lastMessageCount
                && isWritable();
        boolean stalled = partial && socketReads.bytesRead() == lastByteCount;
        lastMessageCount = decoder.messageCount();
        lastByteCount = socketReads.bytesRead();
        partialMessageTicks = partial ? partialMessageTicks + 1 : 0;
        stalledMessageTicks = stalled ? stalledMessageTicks + 1 : 0;
        if (hasOpenWork()) {
            return false;
        }
        return (everUsed ? stalledMessageTicks : partialMessageTicks) > front.limits().unfinishedTicks
                || partialMessageTicks > front.limits().slowMessageTicks;
    }

    /** Closes the connection at once; unread input and unsent answers are lost. */
    void close() {
        context.close();
    }

    private void close(CloseReason reason) {
        closedByFront = true;
        front.counters().add(reason);
        close();
    }

    /**
     * Closes the connection gracefully: answers what is open, flushes at once, shuts down the output, and
     * then reads and discards further input for a bounded time. A close with unread input would reset the
     * connection and lose answers in flight. Until the end of the stream has left, requests are still
     * answered; what is read after it can't be, and its client retries elsewhere.
     */
    void closeGracefully(CloseReason reason) {
        if (closing) {
            return;
        }
        closing = true;
        closedByFront = true;
        front.counters().add(reason);
        if (reason.isInputUnusable()) {
            decoder.discardInput();
        }
        answerOpenWork();
        releaseQueries();
        front.clientConnections().addLingering(this);
        lastPendingBytes = Long.MAX_VALUE;
        scheduleLingerCheck();
        endOutputWhenFlushed();
        // Bypasses the handler that delays flushes: the client has to see the end as soon as it is decided.
        context.pipeline().context(FlushConsolidationHandler.class).flush();
    }

    /** Returns whether the end of the stream has been sent. */
    boolean isOutputEnded() {
        return outputEnded;
    }

    /** Shuts the output down once all answers, also those written meanwhile, are flushed. */
    private void endOutputWhenFlushed() {
        context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            if (!done.isSuccess()) {
                close();
            } else if (unsentAnswers > 0) {
                endOutputWhenFlushed();
            } else if (context.channel() instanceof DuplexChannel duplex) {
                outputEnded = true;
                decoder.discardInput();
                duplex.shutdownOutput();
            }
        });
    }

    /**
     * Closes the connection once its answers are flushed, or when the client has read nothing for as long as
     * any client may stall: one that pauses for two seconds must not lose the answers that wait.
     */
    private void scheduleLingerCheck() {
        lingerTimer = front.timers().scheduleIn(front.limits().lingerMs * 10L, () -> {
            long pendingBytes = pendingBytes();
            unreadLingerChecks = pendingBytes < lastPendingBytes ? 0 : unreadLingerChecks + 1;
            lastPendingBytes = pendingBytes;
            if (pendingBytes > 0 && unreadLingerChecks < front.limits().clientStallLingerChecks) {
                scheduleLingerCheck();
            } else {
                close();
            }
        });
    }

    /** Answers all open queries and page requests: each must be answered whatever the reason of the close. */
    private void answerOpenWork() {
        List.copyOf(pageReads).forEach(this::turnAway);
        List.copyOf(openQueries.values()).forEach(front::answerBeforeClose);
    }

    /** Removes itself from the client connections and ends the remaining queries unanswered. */
    private void releaseQueries() {
        front.clientConnections().remove(this);
        List<OpenQuery> abandoned = new ArrayList<>(openQueries.values());
        openQueries.clear();
        pageReads.clear();
        abandoned.forEach(q -> front.clientLeft(q, closedByFront));
    }

    /** What is known of a client after its socket has been read as far as one turn allows. */
    enum Presence {
        /** All its input has been read, and its connection is open. */
        CONNECTED,
        /** Its connection is closed, or about to be. */
        GONE,
        /** It has sent more than may be read in this turn, perhaps a revoke or the end. */
        UNKNOWN
    }

    /**
     * Reads the socket and returns whether the client is still connected. After a stall of the loop a query,
     * its revoke and the close may all wait in the socket, and one selector wake-up reads only part.
     */
    Presence readPresence() {
        Channel connection = context.channel();
        boolean allRead = closing || socketReads.readToEnd(connection);
        if (!connection.isOpen()) {
            // Netty calls channelInactive only in a later task.
            releaseQueries();
        }
        if (!connection.isOpen() || closing) {
            return Presence.GONE;
        }
        return allRead ? Presence.CONNECTED : Presence.UNKNOWN;
    }

    /** Returns whether queries are open or pages are being read. */
    boolean hasOpenWork() {
        return !openQueries.isEmpty() || !pageReads.isEmpty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (!closedByFront) {
            front.counters().add(connectionLost ? CloseReason.LOST : CloseReason.BY_CLIENT);
        }
        closing = true;
        releaseQueries();
        front.clientConnections().removeLingering(this);
        front.timers().cancel(lingerTimer);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endProcessIfFatal("client connection", cause);
        if (!ctx.channel().isOpen() || closing && !(cause instanceof IOException)) {
            // At the close Netty decodes the rest of the input again, and it fails again.
            return;
        }
        if (cause instanceof DecoderException && cause.getCause() == null) {
            front.log().warn("client connection closed, broken framing", cause.getMessage());
        } else if (cause instanceof IOException) {
            front.log().warn("client connection lost", String.valueOf(cause.getMessage()));
        } else {
            FatalErrors.logOrEndProcess(front.log(), "client connection closed, fault", cause);
        }
        if (cause instanceof IOException) {
            connectionLost = true;
            close();
        } else {
            closeGracefully(cause instanceof DecoderException && cause.getCause() == null
                    ? CloseReason.BROKEN_FRAMING : CloseReason.FAULT);
        }
    }
}
