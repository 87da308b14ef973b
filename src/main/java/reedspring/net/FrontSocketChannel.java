package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A connection whose reads survive EINTR. The JDK hands an interrupted read of a non-blocking channel on as a
 * number below -1, and Netty takes every number below 0 for the end of the stream: it would close the
 * connection, and what was owed on it would be lost.
 */
final class FrontSocketChannel extends NioSocketChannel {
    private static final int END_OF_STREAM = -1;
    /** A signal that interrupts one call more often than that leaves the rest to the selector's next turn. */
    private static final int MOST_TRIES = 16;

    /** For a connection that this process makes. */
    FrontSocketChannel() {
    }

    /** For one that it accepts. */
    FrontSocketChannel(Channel listener, SocketChannel socket) {
        super(listener, socket);
    }

    @Override
    protected int doReadBytes(ByteBuf into) throws Exception {
        int count = super.doReadBytes(into);
        for (int tries = 1; count < END_OF_STREAM && tries < MOST_TRIES; tries++) {
            count = super.doReadBytes(into);
        }
        return count < END_OF_STREAM ? 0 : count;
    }
}
