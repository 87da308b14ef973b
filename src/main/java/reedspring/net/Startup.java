package reedspring.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import org.tinylog.provider.ProviderRegistry;
import reedspring.boot.BootException;
import reedspring.settings.StandingOrders;

/** Reads the configuration, brings the front up on its loop, and takes it down when the platform says so. */
public final class Startup {
    private static final int UNUSABLE = 78;
    private static final int UNAVAILABLE = 69;
    private static final long LOG_CLOSING_MS = 100;
    private static final long SPOOL_CLOSING_MS = 300;
    private static final long REST_MS = 50;
    /** 2.5 s at the most, 1.5 s and 3 s: together well under the time in which a front has to be ready. */
    private static final StartAttempts FILE_READS = new StartAttempts(50, REST_MS);
    private static final StartAttempts LOOP_STARTS = new StartAttempts(30, REST_MS);
    private static final StartAttempts BINDS = new StartAttempts(60, REST_MS);

    private Startup() {
    }

    /**
     * Serves until the process is ended, with what the installation switches on;
     * returns its exit code. The caller has to halt with it: the event loop's thread still stands.
     */
    public static int serve(Map<String, String> environment, StandingOrders standing)
            throws InterruptedException {
        return serve(environment, new Installation(standing));
    }

    /** The platform's front: nothing is switched on, and no class of what could be is loaded. */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        return serve(environment, (Additions) null);
    }

    /** What an installation adds to a front, behind an interface so that naming it loads none of it. */
    interface Additions {
        /** Null for plain text. */
        Log.JsonLines jsonLines();

        void join(Front front, EventLoop loop, String name) throws BootException;
    }

    private static int serve(Map<String, String> environment, Additions additions)
            throws InterruptedException {
        String path = environment.get("RELAY_CONFIG");
        // The signals before all else: one that comes during the start would end the process, or be lost.
        Termination termination = new Termination();
        Reloads reloads = new Reloads();
        ProcessSignals signals = new ProcessSignals();
        signals.handle("TERM", termination::request);
        signals.handle("INT", termination::request);
        // Started with SIGHUP ignored, as nohup does it, the JVM leaves that so, and no reload is heard.
        boolean hearsReloads = signals.handle("HUP", reloads::request);
        boolean threadless = signals.dispatchWithoutThreads();
        try {
            FrontConfiguration configuration =
                    FILE_READS.of(() -> FrontConfiguration.read(path), IOException.class::isInstance);
            Turns turns = new Turns();
            EventLoop loop = LOOP_STARTS.of(() -> eventLoop(turns), Startup::lacksResource);
            LOOP_STARTS.of(() -> runs(loop), Startup::lacksResource);
            Started started = raise(loop, turns, configuration, additions, termination);
            Front front = started.front();
            if (startsReloads(reloads, front)) {
                reloads.by(() -> reload(loop, front, started.journal(), path));
            }
            Channel listener = BINDS.of(() -> bind(loop, front, configuration),
                    failure -> lacksResource(failure) && !termination.isRequested());
            if (!hearsReloads) {
                front.log().line("SIGHUP is ignored by what started the front, no reload is heard", "");
            }
            if (!threadless) {
                front.log().line("each signal takes a new thread", "this JVM does not let that be changed");
            }
            front.log().once("front " + configuration.name() + " serves on",
                    configuration.listen().toString());
            loop.execute(() -> front.atTheEnd(listener::close));
            listener.closeFuture().addListener(closed -> {
                if (!front.leaves()) {
                    termination.fails(UNAVAILABLE);
                }
            });
            int exitCode = termination.await();
            close(front, reloads);
            return exitCode;
        } catch (BootException e) {
            System.err.println("reedspring: configuration: " + e.getMessage());
            return UNUSABLE;
        } catch (UnavailableException e) {
            if (termination.isRequested()) {
                // Told to end while it waited for its address: nothing has been taken.
                return Termination.ENDED;
            }
            System.err.println("reedspring: " + e.getMessage());
            return UNAVAILABLE;
        } catch (IOException e) {
            System.err.println("reedspring: configuration: " + FrontConfiguration.unusable(e).getMessage());
            return UNUSABLE;
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception | Error e) {
            System.err.println("reedspring: the start failed: " + e);
            return Termination.SOFTWARE_FAULT;
        }
    }

    /** What a start needs of the system was not to be had. */
    private static final class UnavailableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnavailableException(String what, Throwable cause) {
            super(what + ": " + cause.getMessage(), cause);
        }
    }

    /** A front, and what it hears of engines by. */
    private record Started(Front front, Journal journal) {
    }

    /** A loop whose selector is open. */
    private static EventLoop eventLoop(Turns turns) throws UnavailableException {
        try {
            return new MultiThreadIoEventLoopGroup(1, turns).next();
        } catch (IllegalStateException e) {
            throw new UnavailableException("event loop, epoll_create1 or eventfd", rootOf(e));
        }
    }

    /** Starts the loop's thread. */
    private static boolean runs(EventLoop loop) throws UnavailableException, InterruptedException,
            ExecutionException {
        try {
            return loop.submit(() -> true).get();
        } catch (OutOfMemoryError e) {
            throw new UnavailableException("event loop, pthread_create", e);
        }
    }

    private static boolean lacksResource(Throwable failure) {
        return failure instanceof UnavailableException;
    }

    private static Throwable rootOf(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }

    private static Channel bind(EventLoop loop, Front front, FrontConfiguration configuration)
            throws UnavailableException, InterruptedException {
        ChannelFuture bound = server(loop, front, configuration.limits()).bind(configuration.listen())
                .await();
        if (!bound.isSuccess()) {
            throw new UnavailableException("listen", bound.cause());
        }
        return bound.channel();
    }

    /** False if there is no thread to be had; the front serves all the same. */
    private static boolean startsReloads(Reloads reloads, Front front) {
        try {
            reloads.start();
            return true;
        } catch (OutOfMemoryError e) {
            front.log().line("no thread for reloads, SIGHUP is not heeded", e.getMessage());
            return false;
        }
    }

    private static Started raise(EventLoop loop, Turns turns, FrontConfiguration configuration,
                                 Additions additions, Termination termination)
            throws InterruptedException, BootException {
        try {
            return loop.submit(() -> {
                Log log = new Log(configuration.limits(), additions == null ? null : additions.jsonLines());
                Front front = new Front(loop, turns, configuration.boot(), configuration.limits(), log,
                        configuration.seed());
                if (additions != null) {
                    additions.join(front, loop, configuration.name());
                }
                termination.raised(front);
                return new Started(front, follow(loop, front, configuration));
            }).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof BootException wrong) {
                throw wrong;
            }
            throw new BootException("known", String.valueOf(e.getCause()));
        }
    }

    /** Has the front hear what is known of engines, and what the journal service tells from then on. */
    static Journal follow(EventLoop loop, Front front, FrontConfiguration configuration)
            throws BootException {
        Journal journal = new Journal(loop, front, configuration.limits(), configuration.journal(),
                ~configuration.seed());
        front.newsFrom(journal::readNow);
        journal.known(configuration.known());
        journal.follow();
        return journal;
    }

    /**
     * Takes over the journal service's address, the one thing that can change under a front that serves: the
     * rest is what its decisions and limits were made from. A file that can't be used changes nothing.
     *
     * @return whether the file could be used
     */
    static boolean reload(EventLoop loop, Front front, Journal journal, String path) {
        try {
            InetSocketAddress service = FrontConfiguration.read(path).journal();
            loop.execute(() -> {
                front.log().line("configuration read again, journal at", service.toString());
                journal.move(service);
            });
            return true;
        } catch (IOException e) {
            tellUnusable(loop, front, FrontConfiguration.unusable(e));
        } catch (BootException e) {
            tellUnusable(loop, front, e);
        } catch (RuntimeException e) {
            loop.execute(() -> front.log().fault("configuration can't be used, nothing changed", e));
        }
        return false;
    }

    /** A kind of line of its own for each fault, so that each is named. */
    private static void tellUnusable(EventLoop loop, Front front, BootException wrong) {
        String line = "configuration can't be used, nothing changed: " + wrong.getMessage();
        loop.execute(() -> front.log().line(line, ""));
    }

    /** The front has left: what it kept, and the last lines, unless nobody takes the log any more. */
    private static void close(Front front, Reloads reloads) throws InterruptedException {
        if (front.kept() != null && !front.kept().close(SPOOL_CLOSING_MS)) {
            front.log().once("spool not closed,", "what it had begun is looked through at the next start");
        }
        reloads.finish(Startup::closeLog, LOG_CLOSING_MS);
    }

    private static void closeLog() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static ServerBootstrap server(EventLoopGroup group, Front front, Limits limits) {
        AcceptGuard guard = new AcceptGuard(front);
        front.listensBehind(guard);
        return new ServerBootstrap().group(group).channelFactory(FrontServerSocketChannel::new).handler(guard)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_RCVBUF, limits.socketBytes)
                .childOption(ChannelOption.SO_SNDBUF, limits.socketBytes)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(limits.unsentBytes / 2, limits.unsentBytes))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(256, limits.firstRead, limits.largestRead))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel made) {
                        ClientConnection client = new ClientConnection(front, guard.earliestArrival());
                        made.pipeline().addLast(client.socketReads(),
                                new FlushConsolidationHandler(limits.flushes, true), client.decoder(),
                                        client);
                        if (!front.roster().came(client)) {
                            made.close();
                        }
                    }
                });
    }

    /** What is wrong with a configuration file, or null. */
    public static String fault(String path) {
        try {
            FrontConfiguration.read(path);
            return null;
        } catch (IOException e) {
            return FrontConfiguration.unusable(e).getMessage();
        } catch (BootException e) {
            return e.getMessage();
        }
    }
}
