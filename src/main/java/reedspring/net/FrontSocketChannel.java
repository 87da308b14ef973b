package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A connection whose reads survive EINTR. The JDK returns a number below -1 for an interrupted read of a
 * non-blocking channel, and Netty takes every negative number for the end of the stream: it would close the
 * connection, and the answers due on it would be lost.
 */
final class FrontSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    /** Interrupted more often than that, a read is left to the next turn of the event loop. */
    private static final int MAX_ATTEMPTS = 16;

    /** For an outgoing connection. */
    FrontSocketChannel() {
    }

    /** For an accepted connection. */
    FrontSocketChannel(Channel listener, SocketChannel socket) {
        super(listener, socket);
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        int count = super.doReadBytes(buffer);
        for (int attempts = 1; count < END_OF_STREAM && attempts < MAX_ATTEMPTS; attempts++) {
            count = super.doReadBytes(buffer);
        }
        return count < END_OF_STREAM ? 0 : count;
    }
}
