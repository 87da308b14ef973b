package reedspring.rig.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A TCP proxy that carries every link of the fleet on one event loop and injects network faults. Each
 * {@link ProxiedLink} has a listening address in place of its target's, and a {@link LinkCondition} that says
 * how bytes and connections pass.
 */
final class FaultProxy implements Closeable {
    /** Buffered bytes in one direction of a connection above which its sender is no longer read from. */
    private static final int MAX_BUFFERED_BYTES = 1 << 18;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SplittableRandom random;

    private static final long STALL_CHECK_INTERVAL_NS = 5_000_000;
    private long lastStallCheckAt;
    private volatile long longestStallNs;

    FaultProxy(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** The condition of a link. A direction that is cut buffers its bytes until it is restored. */
    record LinkCondition(boolean cutTowardsTarget, boolean cutTowardsClient, long delayMs,
            long bytesPerSecond) {
        static final LinkCondition UNIMPAIRED = new LinkCondition(false, false, 0, Long.MAX_VALUE);
    }

    /** One link: each connection to {@link #address} is relayed to the target from a fixed source address. */
    final class ProxiedLink {
        private final InetAddress listenAddress;
        private final InetAddress sourceAddress;
        private final Supplier<InetSocketAddress> target;
        private final Set<ProxiedConnection> openConnections = new LinkedHashSet<>();
        private final List<SocketChannel> backlogFillers = new ArrayList<>();
        private Channel listener;
        private ServerSocket backlogBlocker;
        private int port;
        private LinkCondition condition = LinkCondition.UNIMPAIRED;

        private ProxiedLink(InetAddress listenAddress, InetAddress sourceAddress,
                Supplier<InetSocketAddress> target) {
            this.listenAddress = listenAddress;
            this.sourceAddress = sourceAddress;
            this.target = target;
        }

        String address() {
            return listenAddress.getHostAddress() + ":" + port;
        }

        private ChannelFuture startListening() {
            ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 256)
                    .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel clientChannel) {
                            openConnections.add(new ProxiedConnection(ProxiedLink.this, clientChannel));
                        }
                    }).bind(new InetSocketAddress(listenAddress, port));
            listener = bound.channel();
            return bound;
        }

        /** Sets the condition of the link, and sends on the buffered bytes that it lets pass. */
        void condition(LinkCondition newCondition) {
            runOnLoop(() -> {
                boolean wasCut = condition.cutTowardsTarget || condition.cutTowardsClient;
                boolean isCut = newCondition.cutTowardsTarget || newCondition.cutTowardsClient;
                condition = newCondition;
                List.copyOf(openConnections).forEach(ProxiedConnection::flush);
                if (isCut && !wasCut) {
                    refuseConnections();
                    blockConnects();
                } else if (wasCut && !isCut) {
                    unblockConnects();
                    acceptConnections();
                }
            });
        }

        /** Refuses new connections from now on. */
        void refuseConnections() {
            runOnLoop(() -> {
                if (listener != null) {
                    listener.close();
                    listener = null;
                }
            });
        }

        void acceptConnections() {
            runOnLoop(() -> {
                if (listener == null && backlogBlocker == null) {
                    startListening();
                }
            });
        }

        /**
         * Resets all open connections, as the crash of a process does.
         *
         * @param half whether only the target's side is reset, so that the client learns nothing
         */
        void reset(boolean half) {
            runOnLoop(() -> List.copyOf(openConnections).forEach(connection -> connection.reset(half)));
        }

        /** Makes connects hang: the kernel drops a SYN while the listener's accept queue is full. */
        private void blockConnects() {
            if (backlogBlocker != null || !condition.cutTowardsTarget && !condition.cutTowardsClient) {
                return;
            }
            try {
                ServerSocket blocker = new ServerSocket();
                blocker.setReuseAddress(true);
                blocker.bind(new InetSocketAddress(listenAddress, port), 1);
                backlogBlocker = blocker;
                for (int k = 0; k < 4; k++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(new InetSocketAddress(listenAddress, port));
                    backlogFillers.add(filler);
                }
            } catch (BindException e) {
                // The selector releases the listener that was just closed in its next iteration.
                loop.schedule(this::blockConnects, 2, TimeUnit.MILLISECONDS);
            } catch (IOException e) {
                throw new IllegalStateException("failed to cut a link", e);
            }
        }

        private void unblockConnects() {
            try {
                for (SocketChannel filler : backlogFillers) {
                    filler.close();
                }
                backlogFillers.clear();
                if (backlogBlocker != null) {
                    backlogBlocker.close();
                    backlogBlocker = null;
                }
            } catch (IOException e) {
                throw new IllegalStateException("failed to restore a link", e);
            }
        }

        int connectionCount() {
            return openConnections.size();
        }
    }

    /** One connection through a link, as a pair of channels. */
    private final class ProxiedConnection {
        private final ProxiedLink link;
        private final Channel clientChannel;
        private final Direction towardsTarget;
        private final Direction towardsClient;
        private Channel targetChannel;
        private boolean wasReset;

        private ProxiedConnection(ProxiedLink link, Channel clientChannel) {
            this.link = link;
            this.clientChannel = clientChannel;
            this.towardsTarget = new Direction(this, true);
            this.towardsClient = new Direction(this, false);
            clientChannel.pipeline().addLast(new DirectionReader(towardsTarget, clientChannel));
            Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel newChannel) {
                            newChannel.pipeline().addLast(new DirectionReader(towardsClient, newChannel));
                        }
                    });
            bootstrap.connect(link.target.get(), new InetSocketAddress(link.sourceAddress, 0)).addListener(
                    (ChannelFuture connected) -> {
                        if (connected.isSuccess() && !wasReset) {
                            targetChannel = connected.channel();
                            clientChannel.config().setAutoRead(true);
                            targetChannel.config().setAutoRead(true);
                        } else {
                            reset(false);
                        }
                    });
        }

        private Channel receiver(boolean towardsTarget) {
            return towardsTarget ? targetChannel : clientChannel;
        }

        private boolean isCut(boolean towardsTarget) {
            return towardsTarget ? link.condition.cutTowardsTarget : link.condition.cutTowardsClient;
        }

        private void flush() {
            towardsTarget.flush();
            towardsClient.flush();
        }

        private void reset(boolean half) {
            wasReset = true;
            towardsTarget.discardBuffered();
            towardsClient.discardBuffered();
            for (Channel channel : half ? new Channel[] {targetChannel}
                    : new Channel[] {clientChannel, targetChannel}) {
                // Setting an option fails on a channel that its own side has just closed.
                if (channel != null && channel.isOpen()) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                    channel.close();
                }
            }
            if (half) {
                clientChannel.config().setAutoRead(true);
            } else {
                link.openConnections.remove(this);
            }
        }
    }

    /**
     * One direction of a connection: the buffered chunks in order, each with the time when it may be sent.
     */
    private final class Direction {
        private record Chunk(ByteBuf bytes, long dueAt) {
        }

        private final ProxiedConnection connection;
        private final boolean towardsTarget;
        private final ArrayDeque<Chunk> buffered = new ArrayDeque<>();
        private int bufferedBytes;
        private long lastDueAt;

        private Direction(ProxiedConnection connection, boolean towardsTarget) {
            this.connection = connection;
            this.towardsTarget = towardsTarget;
        }

        /** Buffers a chunk; null means that the sender has closed its side. */
        private void receive(ByteBuf bytes, Channel sender) {
            if (connection.wasReset) {
                if (bytes != null) {
                    bytes.release();
                } else {
                    connection.link.openConnections.remove(connection);
                }
                return;
            }
            LinkCondition condition = connection.link.condition;
            long now = System.nanoTime();
            long dueAt = now;
            if (condition.delayMs > 0) {
                dueAt += TimeUnit.MILLISECONDS.toNanos(condition.delayMs / 2
                        + random.nextLong(condition.delayMs + 1));
            }
            int sizeBytes = bytes == null ? 0 : bytes.readableBytes();
            dueAt = Math.max(dueAt, lastDueAt);
            if (condition.bytesPerSecond < Long.MAX_VALUE) {
                dueAt += (long) (sizeBytes * 1e9 / condition.bytesPerSecond);
            }
            lastDueAt = dueAt;
            buffered.add(new Chunk(bytes, dueAt));
            bufferedBytes += sizeBytes;
            if (bufferedBytes > MAX_BUFFERED_BYTES) {
                sender.config().setAutoRead(false);
            }
            if (dueAt <= now) {
                flush();
            } else {
                loop.schedule(this::flush, dueAt - now, TimeUnit.NANOSECONDS);
            }
        }

        private void flush() {
            Channel receiver = connection.receiver(towardsTarget);
            while (!buffered.isEmpty() && !connection.isCut(towardsTarget) && receiver != null
                    && buffered.peek().dueAt <= System.nanoTime()) {
                Chunk chunk = buffered.poll();
                if (chunk.bytes == null) {
                    receiver.close();
                    if (!towardsTarget || !connection.clientChannel.isActive()) {
                        connection.link.openConnections.remove(connection);
                    }
                } else {
                    bufferedBytes -= chunk.bytes.readableBytes();
                    receiver.writeAndFlush(chunk.bytes);
                }
            }
            Channel sender = connection.receiver(!towardsTarget);
            if (bufferedBytes <= MAX_BUFFERED_BYTES / 2 && sender != null
                    && connection.targetChannel != null) {
                sender.config().setAutoRead(true);
            }
        }

        private void discardBuffered() {
            for (Chunk chunk = buffered.poll(); chunk != null; chunk = buffered.poll()) {
                if (chunk.bytes != null) {
                    chunk.bytes.release();
                }
            }
            bufferedBytes = 0;
        }
    }

    private static final class DirectionReader extends ChannelInboundHandlerAdapter {
        private final Direction direction;
        private final Channel channel;

        private DirectionReader(Direction direction, Channel channel) {
            this.direction = direction;
            this.channel = channel;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            direction.receive((ByteBuf) message, channel);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            direction.receive(null, channel);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                cause.printStackTrace();
            }
            ctx.close();
        }
    }

    /**
     * Opens a link on a loopback address of its own, 127.{@code first}.x.y, where {@code second} and
     * {@code third} tell links apart.
     */
    ProxiedLink openLink(int first, int second, int third, InetAddress sourceAddress,
            Supplier<InetSocketAddress> target) throws IOException {
        ProxiedLink link = new ProxiedLink(loopback(first, second, third), sourceAddress, target);
        ChannelFuture bound = link.startListening().syncUninterruptibly();
        link.port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        return link;
    }

    static InetAddress loopback(int first, int second, int third) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, (byte) first, (byte) (second % 250 + 1),
            (byte) (third % 250 + 1)});
    }

    /** Starts to measure stalls of the event loop. */
    void monitorStalls() {
        lastStallCheckAt = System.nanoTime();
        loop.next().scheduleAtFixedRate(() -> {
            long now = System.nanoTime();
            longestStallNs = Math.max(longestStallNs, now - lastStallCheckAt - STALL_CHECK_INTERVAL_NS);
            lastStallCheckAt = now;
        }, STALL_CHECK_INTERVAL_NS, STALL_CHECK_INTERVAL_NS, TimeUnit.NANOSECONDS);
    }

    /** The longest stall of the event loop in milliseconds. */
    long longestStallMs() {
        return TimeUnit.NANOSECONDS.toMillis(longestStallNs);
    }

    /** Runs the task on the event loop in one iteration, and waits for its end. */
    void runOnLoop(Runnable task) {
        Runnable printingTask = () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                e.printStackTrace();
                throw e;
            }
        };
        if (loop.next().inEventLoop()) {
            printingTask.run();
        } else {
            loop.submit(printingTask).syncUninterruptibly();
        }
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
