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
 * Every link of the fleet passes here, on one loop thread. A link is a {@link Door}: an address of its own
 * that stands for the far end, and a manner in which bytes and connections get through.
 */
final class Relay implements Closeable {
    /** What may wait in one direction of a connection before its sender is not read from. */
    private static final int MOST_HELD = 1 << 18;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final SplittableRandom chance;

    private static final long LOOK_NANOS = 5_000_000;
    private long lookedAt;
    private volatile long lateNanos;

    Relay(long seed) {
        this.chance = new SplittableRandom(seed);
    }

    /**
     * How bytes get through: a direction that is cut holds what comes. Rates are bytes a second, times ms.
     */
    record Manner(boolean cutThere, boolean cutBack, long delayMs, long rate) {
        static final Manner PLAIN = new Manner(false, false, 0, Long.MAX_VALUE);
    }

    /**
     * One link: what connects to {@link #address} comes out at {@code target}, from the address {@code
     * from}.
     */
    final class Door {
        private final InetAddress own;
        private final InetAddress from;
        private final Supplier<InetSocketAddress> target;
        private final Set<Pipe> pipes = new LinkedHashSet<>();
        private final List<SocketChannel> fillers = new ArrayList<>();
        private Channel listening;
        private ServerSocket barred;
        private int port;
        private Manner manner = Manner.PLAIN;

        private Door(InetAddress own, InetAddress from, Supplier<InetSocketAddress> target) {
            this.own = own;
            this.from = from;
            this.target = target;
        }

        String address() {
            return own.getHostAddress() + ":" + port;
        }

        private ChannelFuture listen() {
            ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_REUSEADDR, true).option(ChannelOption.SO_BACKLOG, 256)
                    .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel near) {
                            pipes.add(new Pipe(Door.this, near));
                        }
                    }).bind(new InetSocketAddress(own, port));
            listening = bound.channel();
            return bound;
        }

        /** Bytes and connections get through as told from now on; what was held goes on if it may. */
        void manner(Manner next) {
            run(() -> {
                boolean wasCut = manner.cutThere || manner.cutBack;
                boolean isCut = next.cutThere || next.cutBack;
                manner = next;
                List.copyOf(pipes).forEach(Pipe::flush);
                if (isCut && !wasCut) {
                    refuse();
                    bar();
                } else if (wasCut && !isCut) {
                    unbar();
                    open();
                }
            });
        }

        /** New connections are refused from now on. */
        void refuse() {
            run(() -> {
                if (listening != null) {
                    listening.close();
                    listening = null;
                }
            });
        }

        void open() {
            run(() -> {
                if (listening == null && barred == null) {
                    listen();
                }
            });
        }

        /**
         * Ends all that is open, as a process does that dies; half: the far ends only, and nobody is told.
         */
        void reset(boolean half) {
            run(() -> List.copyOf(pipes).forEach(pipe -> pipe.reset(half)));
        }

        /**
         * Connections don't come up: a full queue of connections that nobody accepts makes the kernel drop
         * whatever knocks.
         */
        private void bar() {
            if (barred != null || !manner.cutThere && !manner.cutBack) {
                return;
            }
            try {
                ServerSocket full = new ServerSocket();
                full.setReuseAddress(true);
                full.bind(new InetSocketAddress(own, port), 1);
                barred = full;
                for (int k = 0; k < 4; k++) {
                    SocketChannel filler = SocketChannel.open();
                    filler.configureBlocking(false);
                    filler.connect(new InetSocketAddress(own, port));
                    fillers.add(filler);
                }
            } catch (BindException e) {
                // The listener that was closed a moment ago is let go of by the selector's next turn.
                loop.schedule(this::bar, 2, TimeUnit.MILLISECONDS);
            } catch (IOException e) {
                throw new IllegalStateException("a link could not be cut", e);
            }
        }

        private void unbar() {
            try {
                for (SocketChannel filler : fillers) {
                    filler.close();
                }
                fillers.clear();
                if (barred != null) {
                    barred.close();
                    barred = null;
                }
            } catch (IOException e) {
                throw new IllegalStateException("a link could not be mended", e);
            }
        }

        int connections() {
            return pipes.size();
        }
    }

    /** One connection through a door. */
    private final class Pipe {
        private final Door door;
        private final Channel near;
        private final Way there;
        private final Way back;
        private Channel far;
        private boolean dead;

        private Pipe(Door door, Channel near) {
            this.door = door;
            this.near = near;
            this.there = new Way(this, true);
            this.back = new Way(this, false);
            near.pipeline().addLast(new End(there, near));
            Bootstrap dialer = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline().addLast(new End(back, made));
                        }
                    });
            dialer.connect(door.target.get(), new InetSocketAddress(door.from, 0)).addListener(
                    (ChannelFuture done) -> {
                        if (done.isSuccess() && !dead) {
                            far = done.channel();
                            near.config().setAutoRead(true);
                            far.config().setAutoRead(true);
                        } else {
                            reset(false);
                        }
                    });
        }

        private Channel to(boolean there) {
            return there ? far : near;
        }

        private boolean cut(boolean there) {
            return there ? door.manner.cutThere : door.manner.cutBack;
        }

        private void flush() {
            there.flush();
            back.flush();
        }

        private void reset(boolean half) {
            dead = true;
            there.drop();
            back.drop();
            for (Channel end : half ? new Channel[] {far} : new Channel[] {near, far}) {
                // One that its own side has closed a moment ago has no option to set any more.
                if (end != null && end.isOpen()) {
                    end.config().setOption(ChannelOption.SO_LINGER, 0);
                    end.close();
                }
            }
            if (half) {
                near.config().setAutoRead(true);
            } else {
                door.pipes.remove(this);
            }
        }
    }

    /** One direction of a connection: what has come, in order, with the moment at which it may go on. */
    private final class Way {
        private record Piece(ByteBuf bytes, long dueAt) {
        }

        private final Pipe pipe;
        private final boolean there;
        private final ArrayDeque<Piece> held = new ArrayDeque<>();
        private int heldBytes;
        private long lastDue;

        private Way(Pipe pipe, boolean there) {
            this.pipe = pipe;
            this.there = there;
        }

        /** Null: the sender has ended its side. */
        private void came(ByteBuf bytes, Channel from) {
            if (pipe.dead) {
                if (bytes != null) {
                    bytes.release();
                } else {
                    pipe.door.pipes.remove(pipe);
                }
                return;
            }
            Manner manner = pipe.door.manner;
            long now = System.nanoTime();
            long due = now;
            if (manner.delayMs > 0) {
                due += TimeUnit.MILLISECONDS.toNanos(manner.delayMs / 2 + chance.nextLong(manner.delayMs
                        + 1));
            }
            int size = bytes == null ? 0 : bytes.readableBytes();
            due = Math.max(due, lastDue);
            if (manner.rate < Long.MAX_VALUE) {
                due += (long) (size * 1e9 / manner.rate);
            }
            lastDue = due;
            held.add(new Piece(bytes, due));
            heldBytes += size;
            if (heldBytes > MOST_HELD) {
                from.config().setAutoRead(false);
            }
            if (due <= now) {
                flush();
            } else {
                loop.schedule(this::flush, due - now, TimeUnit.NANOSECONDS);
            }
        }

        private void flush() {
            Channel to = pipe.to(there);
            while (!held.isEmpty() && !pipe.cut(there) && to != null && held.peek().dueAt <= System
                    .nanoTime()) {
                Piece next = held.poll();
                if (next.bytes == null) {
                    to.close();
                    if (!there || !pipe.near.isActive()) {
                        pipe.door.pipes.remove(pipe);
                    }
                } else {
                    heldBytes -= next.bytes.readableBytes();
                    to.writeAndFlush(next.bytes);
                }
            }
            Channel from = pipe.to(!there);
            if (heldBytes <= MOST_HELD / 2 && from != null && pipe.far != null) {
                from.config().setAutoRead(true);
            }
        }

        private void drop() {
            for (Piece piece = held.poll(); piece != null; piece = held.poll()) {
                if (piece.bytes != null) {
                    piece.bytes.release();
                }
            }
            heldBytes = 0;
        }
    }

    private static final class End extends ChannelInboundHandlerAdapter {
        private final Way way;
        private final Channel own;

        private End(Way way, Channel own) {
            this.way = way;
            this.own = own;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            way.came((ByteBuf) message, own);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            way.came(null, own);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                cause.printStackTrace();
            }
            ctx.close();
        }
    }

    /** On an address of loopback that nothing else has: {@code second} and {@code third} tell links apart. */
    Door door(int first, int second, int third, InetAddress from, Supplier<InetSocketAddress> target)
            throws IOException {
        Door door = new Door(loopback(first, second, third), from, target);
        ChannelFuture bound = door.listen().syncUninterruptibly();
        door.port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        return door;
    }

    static InetAddress loopback(int first, int second, int third) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, (byte) first, (byte) (second % 250 + 1),
            (byte) (third % 250 + 1)});
    }

    /** From now on, how late this relay is itself. */
    void watchLateness() {
        lookedAt = System.nanoTime();
        loop.next().scheduleAtFixedRate(() -> {
            long now = System.nanoTime();
            lateNanos = Math.max(lateNanos, now - lookedAt - LOOK_NANOS);
            lookedAt = now;
        }, LOOK_NANOS, LOOK_NANOS, TimeUnit.NANOSECONDS);
    }

    /** For how long nothing passed at the most, as the loop stood still; in milliseconds. */
    long lateMs() {
        return TimeUnit.NANOSECONDS.toMillis(lateNanos);
    }

    /** On the loop, in one turn. */
    void run(Runnable what) {
        Runnable safe = () -> {
            try {
                what.run();
            } catch (RuntimeException e) {
                e.printStackTrace();
                throw e;
            }
        };
        if (loop.next().inEventLoop()) {
            safe.run();
        } else {
            loop.submit(safe).syncUninterruptibly();
        }
    }

    @Override
    public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
