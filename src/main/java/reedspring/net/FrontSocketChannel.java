package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A connection whose reads can be bounded, and survive EINTR. The JDK returns a number below -1 for an
 * interrupted read of a non-blocking channel, and Netty takes every negative number for the end of the
 * stream: it would close the connection, and the answers due on it would be lost.
 */
final class FrontSocketChannel extends NioSocketChannel {
    static final int END_OF_STREAM = -1;
    /** Interrupted more often than that, a read is left to the next turn of the event loop. */
    private static final int MAX_ATTEMPTS = 16;

    /** Decides whether the socket is read, and is told what each read returned. */
    interface ReadListener {
        /** Returns whether the socket may be read now; if not, its data stays in the kernel. */
        boolean mayRead();

        /** @param readBytes 0 if there is no data, {@link #END_OF_STREAM}, or less after interruptions */
        void onRead(int requestedBytes, int readBytes);
    }

    private ReadListener readListener;

    /** For an outgoing connection. */
    FrontSocketChannel() {
    }

    /** For an accepted connection. */
    FrontSocketChannel(Channel listener, SocketChannel socket) {
        super(listener, socket);
    }

    void setReadListener(ReadListener listener) {
        readListener = listener;
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        if (readListener != null && !readListener.mayRead()) {
            return 0;
        }
        int requestedBytes = buffer.writableBytes();
        int count = readThroughInterrupts(buffer);
        if (readListener != null) {
            readListener.onRead(requestedBytes, count);
        }
        return count < END_OF_STREAM ? 0 : count;
    }

    private int readThroughInterrupts(ByteBuf buffer) throws Exception {
        int count = super.doReadBytes(buffer);
        for (int attempts = 1; count < END_OF_STREAM && attempts < MAX_ATTEMPTS; attempts++) {
            count = super.doReadBytes(buffer);
        }
        return count;
    }
}
