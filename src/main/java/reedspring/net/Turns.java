package reedspring.net;

import io.netty.channel.IoEvent;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandle;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.nio.channels.SelectableChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * The turns of one event loop: says when a turn has read the sockets that were ready. The loop's own tasks
 * can't tell, as what is due at once may still run in the turn that scheduled it.
 */
final class Turns implements IoHandlerFactory {
    private final IoHandlerFactory sockets = NioIoHandler.newFactory();
    private final List<Runnable> afterReading = new ArrayList<>();
    private StallProbe probe;
    private long number;
    private long pollBegan = System.nanoTime();
    private long previousPollBegan = pollBegan;

    /** Of this turn; each begins with a poll of all sockets. */
    long number() {
        return number;
    }

    /** When the poll of the turn before this one began, in nanoseconds of the steady clock. */
    long previousPollBegan() {
        return previousPollBegan;
    }

    /** On the loop's thread only, like all that it calls. Each is called, in the order in which they came. */
    void afterReading(Runnable what) {
        afterReading.add(what);
    }

    void noMore(Runnable what) {
        afterReading.remove(what);
    }

    /** From its next turn on. */
    void watchedBy(StallProbe watcher) {
        probe = watcher;
    }

    /** For which the loop may wait in its selector, in nanoseconds. */
    private static long mayWait(IoHandlerContext context) {
        return context.canBlock() ? context.delayNanos(System.nanoTime()) : 0;
    }

    /** One socket, whose reads and writes count as one thing done in a turn. */
    private final class Watched implements NioIoHandle {
        private final NioIoHandle socket;

        Watched(NioIoHandle socket) {
            this.socket = socket;
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            if (probe == null) {
                socket.handle(registration, event);
                return;
            }
            probe.begin("socket");
            try {
                socket.handle(registration, event);
            } finally {
                probe.end();
            }
        }

        @Override
        public SelectableChannel selectableChannel() {
            return socket.selectableChannel();
        }

        @Override
        public void registered() {
            socket.registered();
        }

        @Override
        public void unregistered() {
            socket.unregistered();
        }

        @Override
        public void close() throws Exception {
            socket.close();
        }
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        IoHandler made = sockets.newHandler(executor);
        return new IoHandler() {
            @Override
            public int run(IoHandlerContext context) {
                if (probe != null) {
                    probe.turn(mayWait(context));
                }
                number++;
                previousPollBegan = pollBegan;
                pollBegan = System.nanoTime();
                int handled = made.run(context);
                if (probe != null) {
                    probe.read();
                }
                // By number: one of them may end its front, and take itself out.
                for (int k = 0; k < afterReading.size(); k++) {
                    afterReading.get(k).run();
                }
                return handled;
            }

            @Override
            public void initialize() {
                made.initialize();
            }

            @Override
            public void prepareToDestroy() {
                made.prepareToDestroy();
            }

            @Override
            public void destroy() {
                made.destroy();
            }

            @Override
            public IoRegistration register(IoHandle handle) throws Exception {
                return made.register(handle instanceof NioIoHandle socket ? new Watched(socket) : handle);
            }

            @Override
            public void wakeup() {
                made.wakeup();
            }

            @Override
            public boolean isCompatible(Class<? extends IoHandle> type) {
                return made.isCompatible(type);
            }
        };
    }
}
