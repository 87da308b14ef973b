package reedspring.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.Reading;
import reedspring.api.Id;
import reedspring.boot.BootException;
import reedspring.core.policy.EngineStartTime;

/**
 * Follows the list of engines: what the configuration knows first, then the journal service's events by their
 * numbers. Whatever happens to the stream, the list held so far stays.
 */
final class Journal {
    /** That are heard at a time, each with a descriptor of its own. */
    private static final int MOST_CALLS = 3;
    private static final long NEVER_HEARD = 0;

    private final Front front;
    private final Limits limits;
    private InetSocketAddress service;
    private final Bootstrap dialer;
    private final SplittableRandom chance;
    private Map<Id.Engine, Host> held = new LinkedHashMap<>();
    /** Those that are heard, the newest last. There are several only while none of them says anything. */
    private final Deque<Call> calls = new ArrayDeque<>();
    private long position;
    private long wait;
    private Timers.Due nextCall;
    private boolean gapSeen;
    /** Of the last event that could not be read. */
    private String malformedId = "";

    Journal(EventLoop loop, Front front, Limits limits, InetSocketAddress service, long seed) {
        this.front = front;
        this.limits = limits;
        this.service = service;
        this.chance = new SplittableRandom(seed);
        this.wait = limits.journalFirstWait;
        this.dialer = new Bootstrap().group(loop).channelFactory(FrontSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
    }

    /** Reads all that lies in the sockets now, ahead of the selector's turn. Not while that is being done. */
    void readNow() {
        List.copyOf(calls).forEach(Call::readNow);
    }

    /** Hands over the list that the configuration holds. */
    void known(Map<?, ?> known) throws BootException {
        for (Object entry : Json.list(known.get("entries"), "known.entries")) {
            Map<?, ?> event = Json.map(entry, "known.entries");
            if (event.get("hosts") != null) {
                Map<?, ?> list = Json.map(event.get("hosts"), "known.entries.hosts");
                take(whole(list), hosts(list, NEVER_HEARD));
            }
        }
        position = Json.whole(known, "pos", 0);
        if (position > 0 || !held.isEmpty()) {
            front.listed(Reading.REMEMBERED, List.copyOf(held.values()));
        }
    }

    /** Another address for the same numbering. What the old calls still tell is not heard. */
    void move(InetSocketAddress to) {
        service = to;
        wait = limits.journalFirstWait;
        List<Call> old = List.copyOf(calls);
        calls.clear();
        old.forEach(Call::close);
        follow();
    }

    /**
     * Calls the service. Calls that were made before and have said nothing are heard on until one of them
     * speaks: a service that takes longer to answer than this front waits would else be given up each time.
     */
    void follow() {
        front.timers().cancel(nextCall);
        nextCall = null;
        if (calls.size() >= MOST_CALLS) {
            calls.removeFirst().close();
        }
        Call call = new Call();
        calls.addLast(call);
        call.dial();
    }

    /** Calls again in a moment. Half of it is chance, so that fronts don't come back together. */
    private void followLater() {
        if (nextCall == null) {
            long tenths = wait * 5 + chance.nextLong(wait * 5 + 1);
            wait = Math.min(limits.journalLongestWait, wait * 2);
            nextCall = front.timers().in(tenths, this::follow);
        }
    }

    /** One call, from its dial to its end. */
    private final class Call extends ChannelInboundHandlerAdapter {
        private final SocketReads reads = new SocketReads();
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
        private Channel channel;
        private long heardAt;
        private boolean connected;
        private boolean answered;
        private boolean reading;

        private void dial() {
            heardAt = front.clock().now();
            ChannelFuture dialled = dialer.clone().handler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel made) {
                    made.pipeline().addLast(reads, new HttpClientCodec(), Call.this);
                }
            }).connect(service);
            channel = dialled.channel();
            channel.closeFuture().addListener(closed -> ended());
            front.dialled(dialled, this::dialled);
            watch();
        }

        private void dialled(ChannelFuture done) {
            if (!done.isSuccess()) {
                if (calls.contains(this)) {
                    front.log().line("journal unreachable", String.valueOf(done.cause().getMessage()));
                }
                ended();
                return;
            }
            connected = true;
            DefaultFullHttpRequest get =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/journal");
            get.headers().set(HttpHeaderNames.HOST,
                    service.getAddress().getHostAddress() + ":" + service.getPort())
                    .set(HttpHeaderNames.ACCEPT, "text/event-stream")
                    .set("Last-Event-ID", Long.toString(position));
            channel.writeAndFlush(get);
        }

        /**
         * Among the front's own alarms, as for engines: a stop of this process is no silence of the
         * service.
         */
        private void watch() {
            long patience = (connected ? limits.journalSilence : limits.journalConnect) * 10L;
            front.timers().at(heardAt + patience, () -> {
                if (!calls.contains(this)) {
                    return;
                }
                long silent = front.clock().now() - heardAt;
                if (silent < (connected ? limits.journalSilence : limits.journalConnect) * 10L) {
                    watch();
                } else if (calls.peekLast() == this) {
                    front.log().line("journal silent, called again", "");
                    followLater();
                }
            });
        }

        /** It has told something: the others are needed no more. */
        private void speaks() {
            boolean watched = calls.peekLast() == this && nextCall == null;
            heardAt = front.clock().now();
            List<Call> others = calls.stream().filter(call -> call != this).toList();
            calls.removeAll(others);
            others.forEach(Call::close);
            front.timers().cancel(nextCall);
            nextCall = null;
            if (!watched) {
                watch();
            }
        }

        private void readNow() {
            if (!reading && channel.isActive()) {
                reads.readAll(channel);
            }
        }

        private void close() {
            Front.close(channel);
        }

        /** Called again, unless another call may still be answered. */
        private void ended() {
            boolean newest = calls.peekLast() == this;
            if (calls.remove(this) && newest) {
                followLater();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            front.probe().is("journal event");
            if (!calls.contains(this) || !channel.isOpen()) {
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
                if (message instanceof HttpContent content && answered && events.feed(content.content())
                        && calls.contains(this)) {
                    // Only a whole line is a sign of life: bytes that trickle tell nothing.
                    speaks();
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
                if (Journal.this.read(id, data, length, heardAt)) {
                    wait = limits.journalFirstWait;
                } else {
                    channel.close();
                }
            } catch (IOException | BootException e) {
                malformed(id, e.getMessage());
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (answered && calls.contains(this)) {
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

    /**
     * False if events before it are missing and it has to be called again from the last one read.
     *
     * @param lastHeard when the call that brings it last said anything before
     */
    private boolean read(String id, byte[] data, int length, long lastHeard) throws IOException,
            BootException {
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
        Map<Id.Engine, Host> hosts = list == null ? Map.of() : hosts(list, lastHeard);
        gapSeen = false;
        position = number;
        if (list != null) {
            take(whole, hosts);
            front.listed(whole ? Reading.COMPLETE : Reading.CHANGES, List.copyOf(hosts.values()));
        }
        return true;
    }

    /** Called again; one that comes malformed again is passed over, or nothing behind it would be heard. */
    private void malformed(String id, String why) {
        boolean again = !id.isEmpty() && id.equals(malformedId);
        malformedId = id;
        if (!again) {
            front.log().line("journal event malformed, called again", why);
            return;
        }
        front.log().line("journal event malformed again, passed over", why);
        try {
            position = Math.max(position, Long.parseLong(id));
        } catch (NumberFormatException e) {
            // An event without a number can't be asked past.
        }
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
    private Map<Id.Engine, Host> hosts(Map<?, ?> list, long lastHeard) throws BootException {
        Map<Id.Engine, Host> hosts = new LinkedHashMap<>();
        for (Object entry : Json.list(list.get("hosts"), "hosts")) {
            if (!(entry instanceof HostRow row)) {
                throw new BootException("hosts", "holds what is no object");
            }
            hosts.put(row.engine(), new Host(new Event.Listing(row.engine(), row.kind(), row.zone(),
                    row.cell(), row.health(), startedAt(row, lastHeard)), row.address(), row.bornMs()));
        }
        return hosts;
    }

    /** The same start is the same moment each time it is named, whatever the system's clock did meanwhile. */
    private long startedAt(HostRow row, long lastHeard) {
        Host before = held.get(row.engine());
        if (before != null && before.bornMs() == row.bornMs()) {
            return before.listing().startedAt();
        }
        long estimate = front.clock().ofUnixMs(row.bornMs());
        return estimate == 0 ? 0 : EngineStartTime.ofNewEngine(estimate, lastHeard);
    }
}
