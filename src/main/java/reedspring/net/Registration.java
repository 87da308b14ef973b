package reedspring.net;

import io.netty.channel.Channel;

/**
 * Registers a socket with the selector again. epoll_ctl can fail for lack of memory, and the JDK ignores its
 * result: it treats the socket as registered, and no event of it is ever reported.
 */
final class Registration {
    private Registration() {
    }

    /** Removes the socket from the selector, and adds it again once the next poll has processed that. */
    static void renew(Channel socket, EventLoopTurns turns) {
        if (!socket.isRegistered() || !socket.config().isAutoRead()) {
            return;
        }
        socket.config().setAutoRead(false);
        turns.afterReading(new Runnable() {
            @Override
            public void run() {
                turns.removeAfterReading(this);
                socket.config().setAutoRead(true);
            }
        });
    }
}
