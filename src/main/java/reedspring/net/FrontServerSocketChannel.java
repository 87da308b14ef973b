package reedspring.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** The listener, which accepts connections as {@link FrontSocketChannel}s. */
final class FrontServerSocketChannel extends NioServerSocketChannel {
    @Override
    protected int doReadMessages(List<Object> connections) throws Exception {
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            connections.add(new FrontSocketChannel(this, socket));
            return 1;
        } catch (RuntimeException | Error e) {
            socket.close();
            throw e;
        }
    }
}
