package reedspring.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.ArrayList;
import java.util.List;

/**
 * The turns of one event loop: says when a turn has read the sockets that were ready. The loop's own tasks
 * can't tell, as what is due at once may still run in the turn that scheduled it.
 */
final class Turns implements IoHandlerFactory {
    private final IoHandlerFactory sockets = NioIoHandler.newFactory();
    private final List<Runnable> afterReading = new ArrayList<>();

    /** On the loop's thread only, like all that it calls. Each is called, in the order in which they came. */
    void afterReading(Runnable what) {
        afterReading.add(what);
    }

    void noMore(Runnable what) {
        afterReading.remove(what);
    }

    @Override
    public IoHandler newHandler(ThreadAwareExecutor executor) {
        IoHandler made = sockets.newHandler(executor);
        return new IoHandler() {
            @Override
            public int run(IoHandlerContext context) {
                int handled = made.run(context);
                afterReading.forEach(Runnable::run);
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
                return made.register(handle);
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
