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
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadFactory;
import org.tinylog.provider.ProviderRegistry;
import reedspring.boot.InvalidConfigurationException;
import reedspring.settings.InstallationSettings;
import reedspring.spool.SpoolCapacity;
import reedspring.spool.SpoolLimits;

/** Reads the configuration, starts the front on its event loop, and stops it when a signal asks for that. */
public final class Startup {
    private static final int EXIT_CONFIGURATION = 78;
    private static final int EXIT_UNAVAILABLE = 69;
    private static final long LOG_CLOSE_TIMEOUT_MS = 100;
    private static final long SPOOL_CLOSE_TIMEOUT_MS = 300;
    private static final long RETRY_DELAY_MS = 50;
    private static final ThreadFactory LOOP_THREADS = new DefaultThreadFactory("event-loop");
    /** Up to 2.5 s, 1.5 s and 3 s: together well under the 10 s within which a front has to be ready. */
    private static final StartAttempts FILE_READ_ATTEMPTS = new StartAttempts(50, RETRY_DELAY_MS);
    private static final StartAttempts LOOP_START_ATTEMPTS = new StartAttempts(30, RETRY_DELAY_MS);
    private static final StartAttempts BIND_ATTEMPTS = new StartAttempts(60, RETRY_DELAY_MS);

    private Startup() {
    }

    /**
     * Serves until the process is told to stop, with the features that the installation's settings enable.
     *
     * @return the exit code; the caller has to halt with it, as the event loop's thread is still alive
     */
    public static int serve(Map<String, String> environment, InstallationSettings settings)
            throws InterruptedException {
        return serve(environment, new Installation(settings));
    }

    /** Serves without any optional feature, and without loading the classes of one. */
    public static int serve(Map<String, String> environment) throws InterruptedException {
        return serve(environment, (OptionalFeatures) null);
    }

    /** Optional features of an installation; an interface, so that a reference to it loads none of them. */
    interface OptionalFeatures {
        /** Formatter of JSON log lines, or null for plain text. */
        Log.JsonLines jsonLines();

        /** Whether answers are kept on disk. */
        boolean keepsAnswers();

        /** Adds the features to the front; on the loop's thread. */
        void install(Front front, EventLoop loop, String name) throws InvalidConfigurationException;
    }

    private static int serve(Map<String, String> environment, OptionalFeatures features)
            throws InterruptedException {
        String path = environment.get("RELAY_CONFIG");
        // Signal handlers first: a signal during the start would kill the process or be lost.
        Termination termination = new Termination();
        Reloads reloads = new Reloads();
        ProcessSignals signals = new ProcessSignals();
        signals.handle("TERM", termination::request);
        signals.handle("INT", termination::request);
        // If the parent process (such as nohup) ignores SIGHUP, the JVM keeps it ignored: no reloads.
        boolean reloadsEnabled = signals.handle("HUP", reloads::request);
        boolean dispatchedWithoutThreads = signals.dispatchWithoutThreads();
        try {
            FrontConfiguration configuration =
                    FILE_READ_ATTEMPTS.call(() -> FrontConfiguration.read(path, features != null
                                    && features.keepsAnswers()),
                            IOException.class::isInstance);
            EventLoopTurns turns =
                    new EventLoopTurns(error -> FatalErrors.endProcess("event loop", error));
            EventLoop loop = LOOP_START_ATTEMPTS.call(() -> openEventLoop(turns), Startup::isUnavailable);
            LOOP_START_ATTEMPTS.call(() -> startThread(loop), Startup::isUnavailable);
            StartedFront started = startFront(loop, turns, configuration, features, termination);
            Front front = started.front();
            if (startReloads(reloads, front)) {
                reloads.enable(() -> reload(loop, front, started.journal(), path));
            }
            Channel listener = BIND_ATTEMPTS.call(() -> bind(loop, front, configuration),
                    failure -> isUnavailable(failure) && !termination.isRequested());
            if (!reloadsEnabled) {
                front.log().warn("SIGHUP is inherited as ignored from the parent process, no reload is heard",
                        "");
            }
            if (!dispatchedWithoutThreads) {
                front.log().warn("each signal starts a new thread",
                        "this JVM does not allow replacing its signal handlers");
            }
            front.log().info("front " + configuration.name() + " serves on",
                    configuration.listen().toString());
            loop.execute(() -> front.setListenerCloser(listener::close));
            listener.closeFuture().addListener(closed -> {
                if (!front.isLeaving()) {
                    termination.fail(EXIT_UNAVAILABLE);
                }
            });
            int exitCode = termination.await();
            closeFront(front, reloads);
            return exitCode;
        } catch (InvalidConfigurationException e) {
            System.err.println("reedspring: configuration: " + e.getMessage());
            return EXIT_CONFIGURATION;
        } catch (UnavailableException e) {
            if (termination.isRequested()) {
                // Told to stop while waiting for its listen address: no request has been accepted.
                return Termination.EXIT_OK;
            }
            System.err.println("reedspring: " + e.getMessage());
            return EXIT_UNAVAILABLE;
        } catch (IOException e) {
            System.err.println("reedspring: configuration: "
                    + FrontConfiguration.unreadableFile(e).getMessage());
            return EXIT_CONFIGURATION;
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception | Error e) {
            System.err.println("reedspring: start failed: " + e);
            return Termination.EXIT_SOFTWARE_FAULT;
        }
    }

    /** A system resource that the start needs is not available. */
    private static final class UnavailableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnavailableException(String resource, Throwable cause) {
            super(resource + ": " + cause.getMessage(), cause);
        }
    }

    /** The front and its client of the journal service. */
    private record StartedFront(Front front, Journal journal) {
    }

    /** Runs the loop on a thread of its own, and ends the process if that thread ends. */
    private static void startLoopThread(Runnable loop) {
        LOOP_THREADS.newThread(() -> {
            Throwable cause = null;
            try {
                loop.run();
            } catch (RuntimeException | Error e) {
                cause = e;
            } finally {
                FatalErrors.endProcess("the thread of the event loop has ended", cause);
            }
        }).start();
    }

    /** Creates an event loop with an open selector. */
    private static EventLoop openEventLoop(EventLoopTurns turns) throws UnavailableException {
        try {
            return new MultiThreadIoEventLoopGroup(1, Startup::startLoopThread, turns).next();
        } catch (IllegalStateException e) {
            throw new UnavailableException("event loop, epoll_create1 or eventfd", rootCause(e));
        }
    }

    /** Starts the loop's thread by running a task on it. */
    private static boolean startThread(EventLoop loop) throws UnavailableException, InterruptedException,
            ExecutionException {
        try {
            return loop.submit(() -> true).get();
        } catch (OutOfMemoryError e) {
            throw new UnavailableException("event loop, pthread_create", e);
        }
    }

    private static boolean isUnavailable(Throwable failure) {
        return failure instanceof UnavailableException;
    }

    private static Throwable rootCause(Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root;
    }

    private static Channel bind(EventLoop loop, Front front, FrontConfiguration configuration)
            throws UnavailableException, InterruptedException {
        ChannelFuture bound = listenerBootstrap(loop, front, configuration.limits())
                .bind(configuration.listen()).await();
        if (!bound.isSuccess()) {
            throw new UnavailableException("listen", bound.cause());
        }
        return bound.channel();
    }

    /** Returns false if no thread can be created; the front serves without reloads then. */
    private static boolean startReloads(Reloads reloads, Front front) {
        try {
            reloads.start();
            return true;
        } catch (OutOfMemoryError e) {
            front.log().warn("no thread for reloads, SIGHUP is ignored", e.getMessage());
            return false;
        }
    }

    private static StartedFront startFront(EventLoop loop, EventLoopTurns turns,
                                           FrontConfiguration configuration,
                                           OptionalFeatures features, Termination termination)
            throws InterruptedException, InvalidConfigurationException {
        try {
            return loop.submit(() -> {
                Log log = new Log(configuration.limits(), features == null ? null : features.jsonLines());
                Front front = new Front(loop, turns, configuration.deploymentReader(), configuration.limits(),
                        log, configuration.seed());
                if (features != null) {
                    features.install(front, loop, configuration.name());
                }
                termination.frontStarted(front);
                return new StartedFront(front, followJournal(loop, front, configuration));
            }).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof InvalidConfigurationException error) {
                throw error;
            }
            throw new InvalidConfigurationException("known", String.valueOf(e.getCause()));
        }
    }

    /** Gives the front the engines of the configuration, and then the updates of the journal service. */
    static Journal followJournal(EventLoop loop, Front front, FrontConfiguration configuration)
            throws InvalidConfigurationException {
        Journal journal = new Journal(loop, front, configuration.limits(), configuration.journal(),
                ~configuration.seed());
        front.setJournalReader(journal::readNow);
        journal.loadConfigured(configuration.known());
        journal.connect();
        return journal;
    }

    /**
     * Applies the journal service's address from the configuration file. It is the only value that can change
     * while the front serves; limits and the state of decisions were computed from the others at start. An
     * unusable file changes nothing.
     *
     * @return whether the file could be used
     */
    static boolean reload(EventLoop loop, Front front, Journal journal, String path) {
        try {
            InetSocketAddress service = FrontConfiguration.read(path).journal();
            loop.execute(() -> {
                front.log().warn("configuration read again, journal at", service.toString());
                journal.changeAddress(service);
            });
            return true;
        } catch (IOException e) {
            logUnusable(loop, front, FrontConfiguration.unreadableFile(e));
        } catch (InvalidConfigurationException e) {
            logUnusable(loop, front, e);
        } catch (RuntimeException e) {
            loop.execute(() -> front.log().error("configuration can't be used, nothing changed", e));
        }
        return false;
    }

    /** The message is part of the event, so that the log's rate limit applies to each fault on its own. */
    private static void logUnusable(EventLoop loop, Front front, InvalidConfigurationException error) {
        String line = "configuration can't be used, nothing changed: " + error.getMessage();
        loop.execute(() -> front.log().warn(line, ""));
    }

    /** Closes the spool and writes the last log lines, for a limited time, as the log may be blocked. */
    private static void closeFront(Front front, Reloads reloads) throws InterruptedException {
        if (front.keptAnswers() != null && !front.keptAnswers().close(SPOOL_CLOSE_TIMEOUT_MS)) {
            front.log().info("spool not closed,", "its unfinished segments are checked at the next start");
        }
        reloads.finish(Startup::closeLog, LOG_CLOSE_TIMEOUT_MS);
    }

    private static void closeLog() {
        try {
            ProviderRegistry.getLoggingProvider().shutdown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The listener, configured but not bound. */
    static ServerBootstrap listenerBootstrap(EventLoopGroup group, Front front, Limits limits) {
        AcceptGuard guard = new AcceptGuard(front);
        front.setAcceptGuard(guard);
        return new ServerBootstrap().group(group).channelFactory(FrontServerSocketChannel::new).handler(guard)
                .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 1024)
                .option(ChannelOption.SO_RCVBUF, limits.socketBytes)
                .childOption(ChannelOption.SO_SNDBUF, limits.socketBytes)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(limits.unsentBytes / 2, limits.unsentBytes))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(256, limits.initialReadBytes, limits.maxReadBytes))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientConnection client = new ClientConnection(front, guard.earliestArrival());
                        channel.pipeline().addLast(client.socketReads(),
                                new FlushConsolidationHandler(limits.maxMessagesPerWrite, true),
                                client.decoder(), client);
                        if (!front.clientConnections().add(client)) {
                            channel.close();
                        }
                    }
                });
    }

    /** The error in a configuration file, or null if it is usable. */
    public static String configurationError(String path) {
        try {
            FrontConfiguration.read(path);
            return null;
        } catch (IOException e) {
            return FrontConfiguration.unreadableFile(e).getMessage();
        } catch (InvalidConfigurationException e) {
            return e.getMessage();
        }
    }

    /**
     * What the limits of a usable configuration file allow a spool with these settings.
     *
     * @throws InvalidConfigurationException if the file is not usable
     */
    public static SpoolCapacity spoolCapacity(String path, SpoolLimits limits)
            throws IOException, InvalidConfigurationException {
        return SpoolCapacity.of(limits, FrontConfiguration.read(path, true).limits().spoolBudget);
    }
}
