package reedspring.net;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;

/** The listener, which accepts connections as {@link FrontSocketChannel}s, as far as its gate allows. */
final class FrontServerSocketChannel extends NioServerSocketChannel {
    /** Decides whether a connection is accepted, and is told of each. */
    interface AcceptGate {
        /** Returns whether another connection may be accepted now; if not, it waits in the accept queue. */
        boolean mayAccept();

        /** Called when a connection has been accepted, before its pipeline is set up. */
        void onAccept();
    }

    private AcceptGate acceptGate;

    void setAcceptGate(AcceptGate gate) {
        acceptGate = gate;
    }

    @Override
    protected int doReadMessages(List<Object> connections) throws Exception {
        if (acceptGate != null && !acceptGate.mayAccept()) {
            return 0;
        }
        SocketChannel socket = javaChannel().accept();
        if (socket == null) {
            return 0;
        }
        try {
            connections.add(new FrontSocketChannel(this, socket));
            if (acceptGate != null) {
                acceptGate.onAccept();
            }
            return 1;
        } catch (RuntimeException | Error e) {
            socket.close();
            throw e;
        }
    }
}
