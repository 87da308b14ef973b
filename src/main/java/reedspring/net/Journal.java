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
import io.netty.channel.socket.nio.NioSocketChannel;
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
import java.util.ArrayList;
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
    private final Map<Id.Engine, Long> bornMs = new LinkedHashMap<>();
    private final Map<Id.Engine, Long> startedAt = new LinkedHashMap<>();
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
        this.dialer = new Bootstrap().group(loop).channel(NioSocketChannel.class)
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
        Map<Id.Engine, Host> held = new LinkedHashMap<>();
        for (Object entry : Json.list(known.get("entries"), "known.entries")) {
            Map<?, ?> event = Json.map(entry, "known.entries");
            if (event.get("hosts") != null) {
                Map<?, ?> list = Json.map(event.get("hosts"), "known.entries.hosts");
                if (whole(list)) {
                    held.clear();
                }
                hosts(list).forEach(host -> held.put(host.listing().engine(), host));
            }
        }
        held.values().removeIf(host -> host.listing().health() == Health.GONE);
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
        private final EventStream events = new EventStream(limits.journalBytes, this::event);
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

        private void event(String id, String data) {
            if (!channel.isOpen()) {
                return;
            }
            try {
                if (read(id, data)) {
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
    private boolean read(String id, String data) throws IOException, BootException {
        Map<?, ?> event = Json.map(Json.read(data), "event");
        long number = id.isEmpty() ? Json.whole(event, "pos", 0) : Json.whole(Map.of("id", id), "id", 0);
        if (number <= position) {
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
        List<Host> hosts = list == null ? List.of() : hosts(list);
        gapSeen = false;
        position = number;
        if (list != null) {
            // Names are new with each engine; what is kept of one goes with it.
            hosts.stream().filter(host -> host.listing().health() == Health.GONE).forEach(host -> {
                bornMs.remove(host.listing().engine());
                startedAt.remove(host.listing().engine());
            });
            if (whole) {
                // Who is not named any more has gone without a word.
                List<Id.Engine> named = hosts.stream().map(host -> host.listing().engine()).toList();
                bornMs.keySet().retainAll(named);
                startedAt.keySet().retainAll(named);
            }
            front.listed(whole ? Reading.COMPLETE : Reading.CHANGES, hosts);
        }
        return true;
    }

    /** The number of the last event read. */
    long position() {
        return position;
    }

    /** Of how many engines something is kept here. */
    int held() {
        return startedAt.size();
    }

    private static boolean whole(Map<?, ?> list) {
        return "true".equals(list.get("whole"));
    }

    private List<Host> hosts(Map<?, ?> list) throws BootException {
        List<Host> hosts = new ArrayList<>();
        for (Object entry : Json.list(list.get("hosts"), "hosts")) {
            Map<?, ?> host = Json.map(entry, "hosts");
            Id.Engine engine = new Id.Engine(Json.text(host, "host"));
            Health health = health(Json.text(host, "health"));
            hosts.add(new Host(new Event.Listing(engine, new Id.Kind(optional(host, "class")),
                    new Id.Zone(optional(host, "site")), new Id.Cell(Json.whole(host, "block", 0)), health,
                    started(engine, Json.whole(host, "born_ms", 0))),
                    Startup.address(Json.text(host, "dial"), "dial")));
        }
        return hosts;
    }

    /** The same start is the same moment each time it is named, whatever the system's clock did meanwhile. */
    private long started(Id.Engine engine, long born) {
        if (bornMs.getOrDefault(engine, -1L) != born) {
            bornMs.put(engine, born);
            startedAt.put(engine, front.clock().ofUnixMs(born));
        }
        return startedAt.get(engine);
    }

    private static String optional(Map<?, ?> host, String field) {
        return host.get(field) instanceof String text ? text : "";
    }

    private static Health health(String word) throws BootException {
        return switch (word) {
            case "ready" -> Health.UP;
            case "draining" -> Health.DRAINING;
            case "gone" -> Health.GONE;
            default -> throw new BootException("health", "'" + word + "' is no state of an engine");
        };
    }
}
