package reedspring.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.Reading;
import reedspring.api.Id;
import reedspring.boot.BootException;

/**
 * Follows the list of engines: what the configuration knows first, then the journal service's events by their
 * numbers. Whatever happens to the stream, the list held so far stays.
 */
final class Journal {
    private final Front front;
    private final Limits limits;
    private InetSocketAddress service;
    private final Bootstrap dialer;
    private final SplittableRandom chance;
    private Map<Id.Engine, Host> held = new LinkedHashMap<>();
    private long position;
    private long wait;
    private Channel channel;
    private Channel calledAgain;
    private long heardAt;
    private boolean gapSeen;
    private boolean reading;

    Journal(EventLoop loop, Front front, Limits limits, InetSocketAddress service, long seed) {
        this.front = front;
        this.limits = limits;
        this.service = service;
        this.chance = new SplittableRandom(seed);
        this.wait = limits.journalFirstWait;
        this.dialer = new Bootstrap().group(loop).channelFactory(FrontSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
    }

    /** Reads what lies in the socket now, ahead of the selector's turn. Not while that is being done. */
    void readNow() {
        if (!reading && channel != null && channel.isActive()
                && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    /** Hands over the list that the configuration holds. */
    void known(Map<?, ?> known) throws BootException {
        for (Object entry : Json.list(known.get("entries"), "known.entries")) {
            Map<?, ?> event = Json.map(entry, "known.entries");
            if (event.get("hosts") != null) {
                Map<?, ?> list = Json.map(event.get("hosts"), "known.entries.hosts");
                take(whole(list), hosts(list));
            }
        }
        position = Json.whole(known, "pos", 0);
        if (position > 0 || !held.isEmpty()) {
            front.listed(Reading.REMEMBERED, List.copyOf(held.values()));
        }
    }

    /** Another address for the same numbering. What the old stream still tells is not heard. */
    void move(InetSocketAddress to) {
        service = to;
        wait = limits.journalFirstWait;
        follow();
    }

    private void follow(Channel instead) {
        // A call that was begun meanwhile, after a move, stands.
        if (channel == instead) {
            follow();
        }
    }

    void follow() {
        Channel before = channel;
        heardAt = front.clock().now();
        ChannelFuture dialled = dialer.clone().handler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel made) {
                made.pipeline().addLast(new HttpClientCodec(), new Stream());
            }
        }).connect(service);
        channel = dialled.channel();
        Channel called = channel;
        called.closeFuture().addListener(closed -> again(called));
        // Among the front's own alarms, as for engines: a stop of this process is no silence of the service.
        Timers.Due tooLate = front.timers().in(limits.journalConnect * 10L, () -> Front.close(called));
        front.dialled(dialled, done -> {
            front.timers().cancel(tooLate);
            if (done.isSuccess()) {
                DefaultFullHttpRequest get =
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/journal");
                get.headers().set(HttpHeaderNames.HOST,
                        service.getAddress().getHostAddress() + ":" + service.getPort())
                        .set(HttpHeaderNames.ACCEPT, "text/event-stream")
                        .set("Last-Event-ID", Long.toString(position));
                called.writeAndFlush(get);
            } else {
                front.log().line("journal unreachable", String.valueOf(done.cause().getMessage()));
                again(called);
            }
        });
        watch(called);
        if (before != null) {
            Front.close(before);
        }
    }

    /** A stream that says nothing, not even a comment, is cut off. */
    private void watch(Channel watched) {
        front.timers().at(heardAt + limits.journalSilence * 10L, () -> {
            if (!watched.isOpen() || watched != channel) {
                return;
            }
            if (front.clock().now() - heardAt >= limits.journalSilence * 10L) {
                front.log().line("journal silent, called again", "");
                watched.close();
            } else {
                watch(watched);
            }
        });
    }

    private void again(Channel ended) {
        if (ended != channel || ended == calledAgain) {
            return;
        }
        calledAgain = ended;
        // Half of the wait is chance, so that fronts which lost it together don't come back together.
        long tenths = wait * 5 + chance.nextLong(wait * 5 + 1);
        wait = Math.min(limits.journalLongestWait, wait * 2);
        front.timers().in(tenths, () -> follow(ended));
    }

    private final class Stream extends ChannelInboundHandlerAdapter {
        private final EventStream events = new EventStream(limits.journalBytes, limits.journalPart,
                new EventStream.Reader() {
                    @Override
                    public void read(String id, byte[] data, int length) {
                        event(id, data, length);
                    }

                    @Override
                    public void tooLong(String id, long bytes) {
                        notTaken("journal event too long, not taken", bytes, limits.journalBytes);
                    }
                });
        private boolean answered;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            front.probe().is("journal event");
            if (ctx.channel() != channel || !channel.isOpen()) {
                // After a move, or after an event that could not be used.
                ReferenceCountUtil.release(message);
                return;
            }
            reading = true;
            try {
                if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                    front.log().line("journal answer malformed", part.decoderResult().toString());
                    ctx.close();
                    return;
                }
                if (message instanceof HttpResponse response) {
                    answered = response.status().code() == 200;
                    if (!answered) {
                        front.log().line("journal refused", response.status().toString());
                        ctx.close();
                        return;
                    }
                }
                if (message instanceof HttpContent content && answered && events.feed(content.content())) {
                    // Only a whole line is a sign of life: bytes that trickle tell nothing.
                    heardAt = front.clock().now();
                }
                if (message instanceof LastHttpContent) {
                    ctx.close();
                }
            } finally {
                reading = false;
                ReferenceCountUtil.release(message);
            }
        }

        private void event(String id, byte[] data, int length) {
            if (!channel.isOpen()) {
                return;
            }
            try {
                if (read(id, data, length)) {
                    wait = limits.journalFirstWait;
                } else {
                    channel.close();
                }
            } catch (IOException | BootException e) {
                front.log().line("journal event malformed, called again", e.getMessage());
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (answered && ctx.channel() == channel) {
                front.log().line("journal stream ended, called again", "");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                front.log().line("journal stream lost", String.valueOf(cause.getMessage()));
            } else {
                front.log().fault("journal stream closed, fault", cause);
            }
            ctx.close();
        }
    }

    /** False if events before it are missing and it has to be called again from the last one read. */
    private boolean read(String id, byte[] data, int length) throws IOException, BootException {
        HostRow.Reader rows = new HostRow.Reader(limits.engines);
        Map<?, ?> event = Json.map(Json.read(data, length, "hosts.hosts", rows), "event");
        long number = id.isEmpty() ? Json.whole(event, "pos", 0) : Json.whole(Map.of("id", id), "id", 0);
        if (number <= position) {
            return true;
        }
        if (rows.rows() > limits.engines) {
            notTaken("journal list of too many engines, not taken", rows.rows(), limits.engines);
            return true;
        }
        Map<?, ?> list = event.get("hosts") == null ? null : Json.map(event.get("hosts"), "hosts");
        boolean whole = list != null && whole(list);
        if (number > position + 1 && !whole) {
            front.log().line("journal events missing", position + " to " + number);
            if (!gapSeen) {
                gapSeen = true;
                return false;
            }
            // Called again, and still not told: a late list is better than none.
        }
        Map<Id.Engine, Host> hosts = list == null ? Map.of() : hosts(list);
        gapSeen = false;
        position = number;
        if (list != null) {
            take(whole, hosts);
            front.listed(whole ? Reading.COMPLETE : Reading.CHANGES, List.copyOf(hosts.values()));
        }
        return true;
    }

    /** The list held so far stays. A call from before the event would bring the same again. */
    private void notTaken(String what, long size, long most) {
        front.log().line(what, size + " of " + most);
        gapSeen = true;
    }

    /** Names are new with each engine; what is kept of one goes with it, also if it goes without a word. */
    private void take(boolean whole, Map<Id.Engine, Host> hosts) {
        if (whole) {
            held = new LinkedHashMap<>();
        }
        if (held.size() + hosts.size() > limits.engines) {
            leaveOut(hosts);
        }
        hosts.forEach((id, host) -> {
            if (gone(host)) {
                held.remove(id);
            } else {
                held.put(id, host);
            }
        });
    }

    /** The number of the last event read. */
    long position() {
        return position;
    }

    /** Of how many engines something is kept here. */
    int held() {
        return held.size();
    }

    private static boolean whole(Map<?, ?> list) {
        return "true".equals(list.get("whole"));
    }

    /** Of those that are not held yet, what is past the limit. */
    private void leaveOut(Map<Id.Engine, Host> hosts) {
        int before = hosts.size();
        int[] room = {limits.engines - held.size()};
        hosts.values().removeIf(host -> !gone(host) && !held.containsKey(host.listing().engine())
                && --room[0] < 0);
        if (hosts.size() < before) {
            front.log().line("engines at their limit, left out", before - hosts.size() + " of " + before);
        }
    }

    private static boolean gone(Host host) {
        return host.listing().health() == Health.GONE;
    }

    /** By name: of one that is named twice, the last word counts, once. */
    private Map<Id.Engine, Host> hosts(Map<?, ?> list) throws BootException {
        Map<Id.Engine, Host> hosts = new LinkedHashMap<>();
        for (Object entry : Json.list(list.get("hosts"), "hosts")) {
            if (!(entry instanceof HostRow row)) {
                throw new BootException("hosts", "holds what is no object");
            }
            hosts.put(row.engine(), new Host(new Event.Listing(row.engine(), row.kind(), row.zone(),
                    row.cell(), row.health(), startedAt(row)), row.address(), row.bornMs()));
        }
        return hosts;
    }

    /** The same start is the same moment each time it is named, whatever the system's clock did meanwhile. */
    private long startedAt(HostRow row) {
        Host before = held.get(row.engine());
        return before != null && before.bornMs() == row.bornMs() ? before.listing().startedAt()
                : front.clock().ofUnixMs(row.bornMs());
    }
}
