package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.LongSupplier;

/**
 * The first handler of a connection. It passes the input on in slices, as far as the connection's budget for
 * the turn of the event loop allows; the rest follows in the next turns. It can also look whether the socket
 * holds more than the selector has reported. Times are in ticks; one tick is a tenth of a millisecond.
 */
final class SocketReads extends ChannelInboundHandlerAdapter implements FrontSocketChannel.ReadListener {
    /** Maximum passes of one look, as a read may be interrupted again and again. */
    private static final int MAX_PASSES = 64;

    private final Front front;
    private final ReadBudget budget;
    private final ArrivalBound arrival;
    private final long createdInTurn;
    private ChannelHandlerContext context;
    private long bytesRead;
    private long lastReadAt;
    /** Input that was read but is not passed on yet; null if there is none. */
    private ByteBuf undelivered;
    private boolean delivering;
    private boolean reading;
    /** Whether the last read left nothing in the socket, except perhaps the end of the stream. */
    private boolean emptied;
    /** Whether the last read returned nothing: no more data, and no end of the stream before now. */
    private boolean exhausted;
    private long readCalls;
    private long budgetMetInTurn = -1;
    /** The selector has reported data here, which proves that the socket is registered. */
    private boolean selectorReported;
    private boolean readingWithoutSelector;
    private long lastEmptyAt;

    /** For a connection whose arrival times are not needed. */
    SocketReads(Front front, ReadBudget.Limit limit, LongSupplier decodedCount) {
        this(front, limit, decodedCount, null);
    }

    /** @param decodedCount what was decoded on the connection so far */
    SocketReads(Front front, ReadBudget.Limit limit, LongSupplier decodedCount, ArrivalBound arrival) {
        this.front = front;
        this.budget = new ReadBudget(front.turns(), limit, decodedCount);
        this.arrival = arrival;
        this.createdInTurn = front.turns().turnNumber();
        this.lastReadAt = front.clock().now();
        this.lastEmptyAt = arrival == null ? 0 : arrival.earliest();
    }

    /** Total number of bytes received. */
    long bytesRead() {
        return bytesRead;
    }

    /** When the last bytes were received, or the creation time. */
    long lastReadAt() {
        return lastReadAt;
    }

    /** Lower bound of the arrival time of the data that is being read, in ticks. */
    long earliestArrival() {
        return readingWithoutSelector ? arrival.earliestIfUnreported(lastEmptyAt) : arrival.earliest();
    }

    /**
     * Reads until there is no more data or the peer has closed, as far as the budget of this turn allows. One
     * read doesn't show that nothing follows: a close, or a cancel, shows only once a read returns no data.
     *
     * @return whether all has been read; false if more may lie in the socket
     */
    boolean readToEnd(Channel socket) {
        if (!(socket.unsafe() instanceof AbstractNioChannel.NioUnsafe reader)) {
            return true;
        }
        if (reading || delivering) {
            return false;
        }
        reading = true;
        exhausted = false;
        try {
            for (int pass = 0; pass < MAX_PASSES && socket.isActive() && !exhausted && mayRead(); pass++) {
                long before = readCalls;
                reader.read();
                if (readCalls == before) {
                    // Netty reads no more, as the peer's end of the stream has been handled.
                    return true;
                }
            }
        } finally {
            reading = false;
        }
        boolean ended = exhausted || !socket.isActive();
        if (!ended && arrival != null) {
            arrival.markNotEmptied();
        }
        return ended;
    }

    /**
     * Reads from a socket for which the selector has reported nothing yet, as its registration may have
     * failed.
     *
     * @param now in ticks
     * @return whether there was data that the selector had not reported
     */
    boolean readUnreported(Channel socket, long now) {
        boolean polled = front.turns().turnNumber() > createdInTurn + 1;
        if (selectorReported || !polled || !socket.isActive()) {
            return false;
        }
        long before = bytesRead;
        readingWithoutSelector = true;
        try {
            readToEnd(socket);
        } finally {
            readingWithoutSelector = false;
            lastEmptyAt = now;
        }
        return bytesRead > before;
    }

    /** Number of bytes that wait to be written to a socket. */
    static long pendingBytes(Channel socket) {
        ChannelOutboundBuffer outboundBuffer = socket.unsafe().outboundBuffer();
        // The buffer's own total shrinks by whole messages only.
        return outboundBuffer == null ? 0
                : outboundBuffer.totalPendingWriteBytes() - outboundBuffer.currentProgress();
    }

    /**
     * Tries to write pending data although the selector has not reported the socket as writable.
     *
     * @return whether the socket accepted any of it
     */
    static boolean flushUnreported(Channel socket) {
        long before = pendingBytes(socket);
        if (before == 0 || !(socket.unsafe() instanceof AbstractNioChannel.NioUnsafe writer)) {
            return false;
        }
        writer.forceFlush();
        return pendingBytes(socket) < before;
    }

    @Override
    public boolean mayRead() {
        boolean allowed = undelivered == null && !budget.isExhausted();
        if (!allowed) {
            emptied = false;
            recordBudgetMet();
        }
        return allowed;
    }

    @Override
    public void onRead(int requestedBytes, int readBytes) {
        readCalls++;
        exhausted = readBytes == 0 || readBytes == FrontSocketChannel.END_OF_STREAM;
        emptied = readBytes >= FrontSocketChannel.END_OF_STREAM && readBytes < requestedBytes;
    }

    private void recordBudgetMet() {
        if (budgetMetInTurn != front.turns().turnNumber()) {
            budgetMetInTurn = front.turns().turnNumber();
            front.recordBudgetMet(budget.limit().kind(), String.valueOf(context.channel().remoteAddress()));
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        if (ctx.channel() instanceof FrontSocketChannel socket) {
            socket.setReadListener(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        selectorReported |= !reading;
        ByteBuf received = (ByteBuf) message;
        bytesRead += received.readableBytes();
        lastReadAt = front.clock().now();
        budget.addBytes(received.readableBytes());
        undelivered = received;
        deliver();
    }

    /** Passes input on until none is left or the budget is used up. */
    private void deliver() {
        delivering = true;
        try {
            while (undelivered != null && context.channel().isOpen() && !budget.isDecodingExhausted()) {
                context.fireChannelRead(nextSlice());
            }
        } finally {
            delivering = false;
        }
        if (undelivered != null && context.channel().isOpen()) {
            emptied = false;
            recordBudgetMet();
            front.turns().runInNextTurn(this::resume);
        } else {
            releaseUndelivered();
        }
    }

    private ByteBuf nextSlice() {
        ByteBuf rest = undelivered;
        if (rest.readableBytes() > budget.limit().sliceBytes()) {
            return rest.readRetainedSlice(budget.limit().sliceBytes());
        }
        undelivered = null;
        return rest;
    }

    private void resume() {
        if (undelivered != null) {
            deliver();
            if (arrival != null) {
                // The socket itself is read again in the next turn.
                arrival.markNotEmptied();
            }
            context.fireChannelReadComplete();
        }
    }

    private void releaseUndelivered() {
        if (undelivered != null) {
            undelivered.release();
            undelivered = null;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (arrival != null && !reading) {
            if (emptied && arrival.mayHaveWaited()) {
                // After a stall, a short read doesn't show that the socket is empty.
                emptied = readToEnd(ctx.channel());
            }
            if (!emptied) {
                arrival.markNotEmptied();
            }
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseUndelivered();
        ctx.fireChannelInactive();
    }
}
