package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * The first handler of a connection: counts the bytes that come, and can read all that lies in the socket
 * now, ahead of the selector. One read is no proof that nothing lies behind it: a close, or a cancel, shows
 * only once a read brings nothing more.
 */
final class SocketReads extends ChannelInboundHandlerAdapter {
    /** Passes of sixteen reads each, for which one look goes on at the most: far more than a socket holds. */
    private static final int MOST_PASSES = 256;

    private final ArrivalBound arrival;
    private long bytes;
    private boolean readingAll;
    /** The selector has told of something here, so that it knows the socket. */
    private boolean told;
    private boolean lookingPastSelector;
    private long seenEmptyAt;

    /** Of a connection on which nobody asks when bytes came. */
    SocketReads() {
        this(null);
    }

    SocketReads(ArrivalBound arrival) {
        this.arrival = arrival;
        this.seenEmptyAt = arrival == null ? 0 : arrival.earliest();
    }

    /** The bytes that have come so far. */
    long bytes() {
        return bytes;
    }

    /** Of what is read now: when it came at the earliest. In tenths of a millisecond. */
    long earliestArrival() {
        return lookingPastSelector ? arrival.earliestUntold(seenEmptyAt) : arrival.earliest();
    }

    /** Reads until nothing more comes, the other side has closed, or for as long as one look may take. */
    void readAll(Channel socket) {
        if (readingAll || !(socket.unsafe() instanceof AbstractNioChannel.NioUnsafe reader)) {
            return;
        }
        readingAll = true;
        try {
            long before = -1;
            for (int pass = 0; pass < MOST_PASSES && bytes != before && socket.isActive(); pass++) {
                before = bytes;
                reader.read();
            }
        } finally {
            readingAll = false;
        }
    }

    /**
     * Looks into a socket of which the selector has told nothing so far, as it may not know of it.
     *
     * @param now in tenths of a millisecond
     * @return whether something lay there that it had not told of
     */
    boolean findsUntold(Channel socket, long now) {
        if (told || !socket.isActive()) {
            return false;
        }
        long before = bytes;
        lookingPastSelector = true;
        try {
            readAll(socket);
        } finally {
            lookingPastSelector = false;
            seenEmptyAt = now;
        }
        return bytes > before;
    }

    /** What waits to be sent on a socket, in bytes. */
    static long pending(Channel socket) {
        ChannelOutboundBuffer out = socket.unsafe().outboundBuffer();
        return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /**
     * Tries to send what waits, though the selector has not told that the socket takes more.
     *
     * @return whether it did take something
     */
    static boolean sendsUntold(Channel socket) {
        long before = pending(socket);
        if (before == 0 || !(socket.unsafe() instanceof AbstractNioChannel.NioUnsafe writer)) {
            return false;
        }
        writer.forceFlush();
        return pending(socket) < before;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        told |= !readingAll;
        bytes += ((ByteBuf) message).readableBytes();
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (arrival != null && !readingAll) {
            if (filled(ctx.channel())) {
                arrival.notEmptied();
            } else if (arrival.mayHaveWaited()) {
                // After a stop a read that was cut short must not pass for the socket's end.
                readAll(ctx.channel());
            }
        }
        ctx.fireChannelReadComplete();
    }

    /** Whether the last read took all that it had room for, so that more may lie there. */
    private static boolean filled(Channel socket) {
        RecvByteBufAllocator.Handle reads = socket.unsafe().recvBufAllocHandle();
        return reads.lastBytesRead() > 0 && reads.lastBytesRead() == reads.attemptedBytesRead();
    }
}
