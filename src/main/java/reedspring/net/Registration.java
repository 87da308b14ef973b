package reedspring.net;

import io.netty.channel.Channel;

/**
 * Registers a socket with the selector anew. epoll_ctl can fail for want of memory, and the JDK passes over
 * its result: it takes the socket for registered, and nothing that comes there is ever told.
 */
final class Registration {
    private Registration() {
    }

    /** Takes the socket out of the selector, and puts it in again once the selector has seen that. */
    static void renew(Channel socket, Turns turns) {
        if (!socket.isRegistered() || !socket.config().isAutoRead()) {
            return;
        }
        socket.config().setAutoRead(false);
        turns.afterReading(new Runnable() {
            @Override
            public void run() {
                turns.noMore(this);
                socket.config().setAutoRead(true);
            }
        });
    }
}
