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
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.tinylog.provider.ProviderRegistry;
import reedspring.boot.Boot;
import reedspring.boot.BootException;
import reedspring.settings.StandingOrders;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Reads the configuration, brings the front up on its loop, and takes it down when the platform says so. */
public final class Startup {
    private static final int UNUSABLE = 78;
    private static final int UNAVAILABLE = 69;
    private static final int LEAST_SOCKETS = 64;
    /** As in the line that starts the program, which needs it before there is anything to read the file. */
    private static final int USUAL_MEMORY_MB = 192;
    private static final int LEAST_MEMORY_MB = 64;
    private static final long LOG_CLOSING_MS = 100;
    private static final int LISTEN_TRIES = 60;
    private static final long LISTEN_REST_MS = 50;
    /** Over 1.5 s in all. */
    private static final int RELOAD_TRIES = 5;
    private static final long RELOAD_FIRST_REST_MS = 100;
    private static final long SPOOL_CLOSING_MS = 300;

    private Startup() {
    }

    /** All that the configuration file tells. */
    record Orders(String name, InetSocketAddress listen, InetSocketAddress journal, long seed,
                          Map<?, ?> known, Boot boot, Limits limits) {
        static Orders read(String path) throws BootException {
            Map<?, ?> file = file(path);
            Boot boot = new Boot(Json.flat(Json.map(file.get("settings"), "settings")));
            if (boot.deployment().groups().isEmpty()) {
                throw new BootException("settings.classes", "missing");
            }
            long sockets = Json.whole(Json.map(file.get("limits"), "limits"), "sockets", 0);
            if (sockets < LEAST_SOCKETS) {
                throw new BootException("limits.sockets", "at least " + LEAST_SOCKETS + " are needed");
            }
            long memory = Json.whole(Json.map(file.get("limits"), "limits"), "memory_mb", USUAL_MEMORY_MB);
            if (memory < LEAST_MEMORY_MB) {
                throw new BootException("limits.memory_mb", "at least " + LEAST_MEMORY_MB + " are needed");
            }
            return new Orders(Json.text(file, "name"), address(Json.text(file, "listen"), "listen"),
                    address(Json.text(file, "journal"), "journal"), seedOf(Json.text(file, "seed")),
                    Json.map(file.get("known"), "known"), boot,
                    new Limits(boot, (int) Math.min(sockets, Integer.MAX_VALUE), memory));
        }
    }

    /**
     * Serves until the process is ended, with what the installation switches on;
     * returns an exit code only if the front can't come up. The caller has to halt with it, as an ordinary
     * exit runs the hook that SIGTERM runs.
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
        AtomicReference<Front> raised = new AtomicReference<>();
        String path = environment.get("RELAY_CONFIG");
        // Both before all else: a signal that comes during the start would end the process, or be lost.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(raised.get())));
        // The JVM would end on SIGHUP. It hands each signal to a thread of its own, several at the same time.
        // Started with SIGHUP ignored, as nohup does it, it leaves that so, and no reload would be heard.
        Reloads reloads = new Reloads();
        boolean deaf = Signal.handle(new Signal("HUP"), signal -> reloads.wanted()) == SignalHandler.SIG_IGN;
        Turns turns = new Turns();
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, turns);
        EventLoop loop = group.next();
        try {
            Orders orders = Orders.read(path);
            Journal journal = loop.submit(() -> raise(loop, turns, orders, additions, raised)).get();
            Front front = raised.get();
            reloads.by(() -> reloadUntilRead(loop, front, journal, path));
            ChannelFuture bound = listen(() -> server(group, front, orders.limits()), orders.listen());
            if (!bound.isSuccess()) {
                System.err.println("reedspring: listen: " + bound.cause().getMessage());
                Runtime.getRuntime().halt(UNAVAILABLE);
            }
            if (deaf) {
                front.log().line("SIGHUP is ignored by what started the front, no reload is heard", "");
            }
            front.log().once("front " + orders.name() + " serves on", orders.listen().toString());
            loop.execute(() -> front.atTheEnd(bound.channel()::close));
            bound.channel().closeFuture().sync();
            if (front.leaves()) {
                // The hook that takes it down ends the process, once the last answers are read.
                new CountDownLatch(1).await();
            }
            return UNAVAILABLE;
        } catch (BootException e) {
            System.err.println("reedspring: configuration: " + e.getMessage());
            return UNUSABLE;
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            System.err.println("reedspring: configuration: "
                    + (cause instanceof BootException ? cause.getMessage() : "known: " + cause));
            return UNUSABLE;
        }
    }

    /**
     * Waits for the address for a while: the process before may not have gone yet, and the system may lack
     * for a moment what a socket takes.
     */
    private static ChannelFuture listen(Supplier<ServerBootstrap> server, InetSocketAddress address)
            throws InterruptedException {
        ChannelFuture bound = server.get().bind(address).awaitUninterruptibly();
        for (int tries = 1; tries < LISTEN_TRIES && !bound.isSuccess(); tries++) {
            Thread.sleep(LISTEN_REST_MS);
            bound = server.get().bind(address).awaitUninterruptibly();
        }
        return bound;
    }

    /**
     * One that is wanted before the front is up is made up for: the file may have been read just before.
     * They are done one after another, or one that had read an earlier file could be the last to be in force.
     */
    static final class Reloads {
        private final AtomicBoolean wanted = new AtomicBoolean();
        private volatile Runnable reload = () -> { };

        void wanted() {
            wanted.set(true);
            run();
        }

        void by(Runnable what) {
            reload = () -> {
                if (wanted.getAndSet(false)) {
                    what.run();
                }
            };
            run();
        }

        private synchronized void run() {
            reload.run();
        }
    }

    private static Journal raise(EventLoop loop, Turns turns, Orders orders, Additions additions,
                                 AtomicReference<Front> raised) throws BootException {
        Log log = new Log(orders.limits(), additions == null ? null : additions.jsonLines());
        Front front = new Front(loop, turns, orders.boot(), orders.limits(), log, orders.seed());
        if (additions != null) {
            additions.join(front, loop, orders.name());
        }
        raised.set(front);
        return follow(loop, front, orders);
    }

    /** Has the front hear what is known of engines, and what the journal service tells from then on. */
    static Journal follow(EventLoop loop, Front front, Orders orders) throws BootException {
        Journal journal = new Journal(loop, front, orders.limits(), orders.journal(), ~orders.seed());
        front.newsFrom(journal::readNow);
        journal.known(orders.known());
        journal.follow();
        return journal;
    }

    /** A file that is away or half written for a moment is read again: no further signal may come for it. */
    private static void reloadUntilRead(EventLoop loop, Front front, Journal journal, String path) {
        long rest = RELOAD_FIRST_REST_MS;
        for (int tries = 1; !reload(loop, front, journal, path) && tries < RELOAD_TRIES; tries++) {
            try {
                Thread.sleep(rest);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            rest *= 2;
        }
    }

    /**
     * Takes over the journal service's address, the one thing that can change under a front that serves: the
     * rest is what its decisions and limits were made from. A file that can't be used changes nothing.
     *
     * @return whether the file could be used
     */
    static boolean reload(EventLoop loop, Front front, Journal journal, String path) {
        try {
            InetSocketAddress service = Orders.read(path).journal();
            loop.execute(() -> {
                front.log().line("configuration read again, journal at", service.toString());
                journal.move(service);
            });
            return true;
        } catch (BootException e) {
            // A kind of its own for each fault, so that each is named.
            String line = "configuration can't be used, nothing changed: " + e.getMessage();
            loop.execute(() -> front.log().line(line, ""));
        } catch (RuntimeException e) {
            loop.execute(() -> front.log().fault("configuration can't be used, nothing changed", e));
        }
        return false;
    }

    /** Runs as a shutdown hook, on SIGTERM: holds the end up until the front has left, and makes it a 0. */
    private static void leave(Front front) {
        if (front == null) {
            // Nothing has been taken yet.
            Runtime.getRuntime().halt(0);
        }
        CountDownLatch left = new CountDownLatch(1);
        front.loop().execute(() -> front.leave(left::countDown));
        try {
            left.await();
            if (front.kept() != null && !front.kept().close(SPOOL_CLOSING_MS)) {
                front.log().once("spool not closed,",
                        "what it had begun is looked through at the next start");
            }
            // The last lines, unless nobody takes the log any more.
            Thread closing = new Thread(Startup::closeLog);
            closing.setDaemon(true);
            closing.start();
            closing.join(LOG_CLOSING_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
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
            Orders.read(path);
            return null;
        } catch (BootException e) {
            return e.getMessage();
        }
    }

    private static Map<?, ?> file(String path) throws BootException {
        if (path == null || path.isEmpty()) {
            throw new BootException("RELAY_CONFIG", "missing");
        }
        try {
            byte[] text = Files.readAllBytes(Path.of(path));
            return Json.map(Json.read(text, text.length, "known.entries.hosts.hosts",
                    new HostRow.Reader(Integer.MAX_VALUE)), "RELAY_CONFIG");
        } catch (IOException e) {
            throw new BootException("RELAY_CONFIG", "can't be read: " + String.valueOf(e.getMessage()).lines()
                    .findFirst().orElse(""));
        }
    }

    private static long seedOf(String text) throws BootException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BootException("seed", "'" + text + "' is no hexadecimal number");
        }
    }

    /** Only figures: there is no name service. */
    static InetSocketAddress address(String text, String field) throws BootException {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port > 0 && port < 1 << 16) {
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below
        }
        throw new BootException(field, "'" + text + "' is no address with a port");
    }
}
