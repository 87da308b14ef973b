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
import java.util.function.Consumer;

/**
 * Numbers the turns (iterations) of one event loop and runs callbacks once a turn has read all ready sockets.
 * A task of the loop can't serve as such a callback, as a task that is due at once may still run in the turn
 * that scheduled it.
 */
final class EventLoopTurns implements IoHandlerFactory {
    private final IoHandlerFactory nioFactory = NioIoHandler.newFactory();
    private final Consumer<Error> onError;
    private final List<Runnable> afterReading = new ArrayList<>();
    private final List<Runnable> forNextTurn = new ArrayList<>();
    private StallProbe probe;
    private long turnNumber;
    private long pollStartNanos = System.nanoTime();
    private long previousPollStartNanos = pollStartNanos;

    /** Leaves it to the loop what becomes of an error. */
    EventLoopTurns() {
        this(error -> { });
    }

    /** @param onError called on the loop's thread with an error that would end the thread */
    EventLoopTurns(Consumer<Error> onError) {
        this.onError = onError;
    }

    /** Number of the current turn. Each turn begins with a poll of all sockets. */
    long turnNumber() {
        return turnNumber;
    }

    /** Start of the previous turn's poll, in nanoseconds of the monotonic clock. */
    long previousPollStartNanos() {
        return previousPollStartNanos;
    }

    /**
     * Adds a callback that runs in every turn after the ready sockets have been read, in order of addition.
     * Both this method and the callbacks run on the loop's thread only.
     */
    void afterReading(Runnable callback) {
        afterReading.add(callback);
    }

    /** Removes a callback that {@link #afterReading} added. */
    void removeAfterReading(Runnable callback) {
        afterReading.remove(callback);
    }

    /**
     * Runs a task once in the next turn, after the ready sockets have been read; the loop does not wait for
     * sockets before it. On the loop's thread only.
     */
    void runInNextTurn(Runnable task) {
        forNextTurn.add(task);
    }

    /** Has the probe measure the turns, from the next one on. */
    void measureWith(StallProbe stallProbe) {
        probe = stallProbe;
    }

    private void runTasks(List<Runnable> tasks) {
        for (Runnable task : tasks) {
            if (probe == null) {
                task.run();
                continue;
            }
            probe.beginWork("work left from the last turn");
            try {
                task.run();
            } finally {
                probe.endWork();
            }
        }
    }

    /** A context with which the selector only looks and doesn't wait. */
    private static IoHandlerContext withoutWaiting(IoHandlerContext context) {
        return new IoHandlerContext() {
            @Override
            public boolean canBlock() {
                return false;
            }

            @Override
            public long delayNanos(long currentTimeNanos) {
                return 0;
            }

            @Override
            public long deadlineNanos() {
                return context.deadlineNanos();
            }

            @Override
            public void reportActiveIoTime(long activeNanos) {
                context.reportActiveIoTime(activeNanos);
            }

            @Override
            public boolean shouldReportActiveIoTime() {
                return context.shouldReportActiveIoTime();
            }
        };
    }

    /** How long the loop may wait in its selector, in nanoseconds. */
    private static long maxWaitNanos(IoHandlerContext context) {
        return context.canBlock() ? context.delayNanos(System.nanoTime()) : 0;
    }

    /** Wraps a socket's handle so that the probe measures each of its I/O events as one unit of work. */
    private final class MeasuredHandle implements NioIoHandle {
        private final NioIoHandle delegate;

        MeasuredHandle(NioIoHandle socket) {
            this.delegate = socket;
        }

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            if (probe == null) {
                delegate.handle(registration, event);
                return;
            }
            probe.beginWork("socket");
            try {
                delegate.handle(registration, event);
            } finally {
                probe.endWork();
            }
        }

        @Override
        public SelectableChannel selectableChannel() {
            return delegate.selectableChannel();
        }

        @Override
        public void registered() {
            delegate.registered();
        }

        @Override
        public void unregistered() {
            delegate.unregistered();
        }

        @Override
        public void close() throws Exception {
            delegate.close();
        }
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        IoHandler nioHandler = nioFactory.newHandler(executor);
        return new IoHandler() {
            @Override
            public int run(IoHandlerContext loopContext) {
                try {
                    return runTurn(loopContext);
                } catch (Error e) {
                    onError.accept(e);
                    throw e;
                }
            }

            private int runTurn(IoHandlerContext loopContext) {
                List<Runnable> leftOver = List.copyOf(forNextTurn);
                forNextTurn.clear();
                IoHandlerContext context = leftOver.isEmpty() ? loopContext : withoutWaiting(loopContext);
                if (probe != null) {
                    probe.beginTurn(maxWaitNanos(context));
                }
                turnNumber++;
                previousPollStartNanos = pollStartNanos;
                pollStartNanos = System.nanoTime();
                int handled = nioHandler.run(context);
                if (probe != null) {
                    probe.socketsRead();
                }
                runTasks(leftOver);
                // By index, as a callback may stop its front and remove itself from the list.
                for (int k = 0; k < afterReading.size(); k++) {
                    afterReading.get(k).run();
                }
                return handled;
            }

            @Override
            public void initialize() {
                nioHandler.initialize();
            }

            @Override
            public void prepareToDestroy() {
                nioHandler.prepareToDestroy();
            }

            @Override
            public void destroy() {
                nioHandler.destroy();
            }

            @Override
            public IoRegistration register(IoHandle handle) throws Exception {
                return nioHandler.register(
                        handle instanceof NioIoHandle nio ? new MeasuredHandle(nio) : handle);
            }

            @Override
            public void wakeup() {
                nioHandler.wakeup();
            }

            @Override
            public boolean isCompatible(Class<? extends IoHandle> type) {
                return nioHandler.isCompatible(type);
            }
        };
    }
}
