package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * The first handler of a connection: counts received bytes, and can read all that is in the socket now,
 * without waiting for the selector. One read doesn't show that nothing follows: a close, or a cancel, shows
 * only once a read returns no more data. Times are in ticks; one tick is a tenth of a millisecond.
 */
final class SocketReads extends ChannelInboundHandlerAdapter {
    /** Maximum passes of one {@link #readAll}, of sixteen reads each: far more than a socket buffer holds. */
    private static final int MAX_PASSES = 256;

    private final ArrivalBound arrival;
    private long bytesRead;
    private boolean readingAll;
    /** The selector has reported data here, which proves that the socket is registered. */
    private boolean selectorReported;
    private boolean readingWithoutSelector;
    private long lastEmptyAt;

    /** For a connection whose arrival times are not needed. */
    SocketReads() {
        this(null);
    }

    SocketReads(ArrivalBound arrival) {
        this.arrival = arrival;
        this.lastEmptyAt = arrival == null ? 0 : arrival.earliest();
    }

    /** Total number of bytes received. */
    long bytesRead() {
        return bytesRead;
    }

    /** Lower bound of the arrival time of the data that is being read, in ticks. */
    long earliestArrival() {
        return readingWithoutSelector ? arrival.earliestIfUnreported(lastEmptyAt) : arrival.earliest();
    }

    /** Reads until there is no more data, the peer has closed, or the maximum number of passes is reached. */
    void readAll(Channel socket) {
        if (readingAll || !(socket.unsafe() instanceof AbstractNioChannel.NioUnsafe reader)) {
            return;
        }
        readingAll = true;
        try {
            long before = -1;
            for (int pass = 0; pass < MAX_PASSES && bytesRead != before && socket.isActive(); pass++) {
                before = bytesRead;
                reader.read();
            }
        } finally {
            readingAll = false;
        }
    }

    /**
     * Reads from a socket for which the selector has reported nothing yet, as its registration may have
     * failed.
     *
     * @param now in ticks
     * @return whether there was data that the selector had not reported
     */
    boolean readUnreported(Channel socket, long now) {
        if (selectorReported || !socket.isActive()) {
            return false;
        }
        long before = bytesRead;
        readingWithoutSelector = true;
        try {
            readAll(socket);
        } finally {
            readingWithoutSelector = false;
            lastEmptyAt = now;
        }
        return bytesRead > before;
    }

    /** Number of bytes that wait to be written to a socket. */
    static long pendingBytes(Channel socket) {
        ChannelOutboundBuffer outboundBuffer = socket.unsafe().outboundBuffer();
        return outboundBuffer == null ? 0 : outboundBuffer.totalPendingWriteBytes();
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
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        selectorReported |= !readingAll;
        bytesRead += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (arrival != null && !readingAll) {
            if (filledBuffer(ctx.channel())) {
                arrival.markNotEmptied();
            } else if (arrival.mayHaveWaited()) {
                // After a stall, a short read doesn't show that the socket is empty.
                readAll(ctx.channel());
            }
        }
        ctx.fireChannelReadComplete();
    }

    /** Whether the last read filled its buffer, so that the socket may hold more. */
    private static boolean filledBuffer(Channel socket) {
        RecvByteBufAllocator.Handle allocHandle = socket.unsafe().recvBufAllocHandle();
        return allocHandle.lastBytesRead() > 0
                && allocHandle.lastBytesRead() == allocHandle.attemptedBytesRead();
    }
}
