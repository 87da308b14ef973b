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
import reedspring.api.Event.ListKind;
import reedspring.api.Id;
import reedspring.boot.InvalidConfigurationException;
import reedspring.core.policy.EngineStartTime;

/**
 * Follows the list of engines: first the list in the configuration, then the numbered events of the journal
 * service. The current list stays in effect whatever happens to the event stream.
 */
final class Journal {
    /** Subscriptions open at the same time; each uses a file descriptor. */
    private static final int MAX_SUBSCRIPTIONS = 3;
    private static final long NEVER_RECEIVED = 0;

    private final Front front;
    private final Limits limits;
    private InetSocketAddress serviceAddress;
    private final Bootstrap dialer;
    private final SplittableRandom random;
    private Map<Id.Engine, Host> knownHosts = new LinkedHashMap<>();
    /** Open subscriptions, the newest last. There are several only while none of them has sent anything. */
    private final Deque<Subscription> subscriptions = new ArrayDeque<>();
    /** The number of the last event applied. */
    private long position;
    private long reconnectDelayMs;
    private Timers.Timer reconnectTimer;
    /** Whether the events missing now have been requested again already. */
    private boolean gapRetried;
    /** The id of the last event that could not be parsed. */
    private String lastMalformedId = "";

    Journal(EventLoop loop, Front front, Limits limits, InetSocketAddress serviceAddress, long seed) {
        this.front = front;
        this.limits = limits;
        this.serviceAddress = serviceAddress;
        this.random = new SplittableRandom(seed);
        this.reconnectDelayMs = limits.journalMinBackoffMs;
        this.dialer = new Bootstrap().group(loop).channelFactory(FrontSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
    }

    /**
     * Reads pending data from the sockets without waiting for the selector, as far as this turn allows; not
     * reentrant. Returns whether all has been read.
     */
    boolean readNow() {
        boolean allRead = true;
        for (Subscription subscription : List.copyOf(subscriptions)) {
            allRead &= subscription.readNow();
        }
        return allRead;
    }

    /** Loads the list of engines from the configuration. */
    void loadConfigured(Map<?, ?> configured) throws InvalidConfigurationException {
        for (Object entry : Json.list(configured.get("entries"), "known.entries")) {
            Map<?, ?> event = Json.map(entry, "known.entries");
            if (event.get("hosts") != null) {
                Map<?, ?> list = Json.map(event.get("hosts"), "known.entries.hosts");
                applyList(isComplete(list), parseHosts(list, NEVER_RECEIVED));
            }
        }
        position = Json.wholeNumber(configured, "pos", 0);
        if (position > 0 || !knownHosts.isEmpty()) {
            front.enginesListed(ListKind.CACHED, List.copyOf(knownHosts.values()));
        }
    }

    /** Moves to another address of the same journal. Events still arriving from the old one are dropped. */
    void changeAddress(InetSocketAddress address) {
        serviceAddress = address;
        reconnectDelayMs = limits.journalMinBackoffMs;
        List<Subscription> previous = List.copyOf(subscriptions);
        subscriptions.clear();
        previous.forEach(Subscription::close);
        connect();
    }

    /**
     * Opens a subscription. Earlier ones that have not sent anything stay open until one of them does: a
     * service that responds later than this front's timeout would otherwise be dropped on every try.
     */
    void connect() {
        front.timers().cancel(reconnectTimer);
        reconnectTimer = null;
        if (subscriptions.size() >= MAX_SUBSCRIPTIONS) {
            subscriptions.removeFirst().close();
        }
        Subscription subscription = new Subscription();
        subscriptions.addLast(subscription);
        subscription.dial();
    }

    /** Reconnects after a delay. Half of it is random, so that fronts don't reconnect all at once. */
    private void reconnectLater() {
        if (reconnectTimer == null) {
            long delay = reconnectDelayMs * 5 + random.nextLong(reconnectDelayMs * 5 + 1);
            reconnectDelayMs = Math.min(limits.journalMaxBackoffMs, reconnectDelayMs * 2);
            reconnectTimer = front.timers().scheduleIn(delay, this::connect);
        }
    }

    /** One subscription to the journal's event stream, from connecting to closing. */
    private final class Subscription extends ChannelInboundHandlerAdapter {
        private final SocketReads socketReads =
                new SocketReads(front, limits.journalReads, () -> this.eventBytes);
        private final EventStream events = new EventStream(limits.maxJournalEventBytes,
                limits.journalActivityBytes, new EventStream.Listener() {
                    @Override
                    public void event(String id, byte[] data, int length) {
                        eventBytes += length;
                        onEvent(id, data, length);
                    }

                    @Override
                    public void eventTooLong(String id, long bytes) {
                        eventBytes += bytes;
                        skipOversized("journal event too long, ignored", bytes, limits.maxJournalEventBytes);
                    }
                });
        private Channel channel;
        /** Total size of the events received. */
        private long eventBytes;
        private long lastReceivedAt;
        private boolean connected;
        private boolean accepted;
        private boolean reading;

        private void dial() {
            lastReceivedAt = front.clock().now();
            ChannelFuture connecting = dialer.clone().handler(new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel created) {
                    created.pipeline().addLast(socketReads, new HttpClientCodec(), Subscription.this);
                }
            }).connect(serviceAddress);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> onClosed());
            front.onDialComplete(connecting, this::onDialled);
            scheduleSilenceCheck();
        }

        private void onDialled(ChannelFuture future) {
            if (!future.isSuccess()) {
                if (subscriptions.contains(this)) {
                    front.log().warn("journal unreachable", String.valueOf(future.cause().getMessage()));
                }
                onClosed();
                return;
            }
            connected = true;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/journal");
            request.headers().set(HttpHeaderNames.HOST,
                    serviceAddress.getAddress().getHostAddress() + ":" + serviceAddress.getPort())
                    .set(HttpHeaderNames.ACCEPT, "text/event-stream")
                    .set("Last-Event-ID", Long.toString(position));
            channel.writeAndFlush(request);
        }

        /**
         * Uses the front's own timers, as for engines: a pause of this process must not count as silence of
         * the service.
         */
        private void scheduleSilenceCheck() {
            long timeout = (connected ? limits.journalSilenceMs : limits.journalConnectMs) * 10L;
            front.timers().scheduleAt(lastReceivedAt + timeout, () -> {
                if (!subscriptions.contains(this)) {
                    return;
                }
                long silentFor = front.clock().now() - lastReceivedAt;
                if (silentFor < (connected ? limits.journalSilenceMs : limits.journalConnectMs) * 10L) {
                    scheduleSilenceCheck();
                } else if (subscriptions.peekLast() == this) {
                    front.log().warn("journal silent, reconnecting", "");
                    reconnectLater();
                }
            });
        }

        /** Called when this subscription has received something: the others are closed. */
        private void onActivity() {
            boolean checkScheduled = subscriptions.peekLast() == this && reconnectTimer == null;
            lastReceivedAt = front.clock().now();
            List<Subscription> others = subscriptions.stream().filter(other -> other != this).toList();
            subscriptions.removeAll(others);
            others.forEach(Subscription::close);
            front.timers().cancel(reconnectTimer);
            reconnectTimer = null;
            if (!checkScheduled) {
                scheduleSilenceCheck();
            }
        }

        private boolean readNow() {
            return !channel.isActive() || !reading && socketReads.readToEnd(channel);
        }

        private void close() {
            Front.close(channel);
        }

        /** Reconnects, unless a newer subscription is still open. */
        private void onClosed() {
            boolean newest = subscriptions.peekLast() == this;
            if (subscriptions.remove(this) && newest) {
                reconnectLater();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            front.stallProbe().nameWork("journal event");
            if (!subscriptions.contains(this) || !channel.isOpen()) {
                // Closed after a change of address or after an event that could not be used.
                ReferenceCountUtil.release(message);
                return;
            }
            reading = true;
            try {
                if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                    front.log().warn("journal response malformed", part.decoderResult().toString());
                    ctx.close();
                    return;
                }
                if (message instanceof HttpResponse response) {
                    accepted = response.status().code() == 200;
                    if (!accepted) {
                        front.log().warn("journal refused the subscription", response.status().toString());
                        ctx.close();
                        return;
                    }
                }
                if (message instanceof HttpContent content && accepted && events.feed(content.content())
                        && subscriptions.contains(this)) {
                    // Single bytes are no activity: it takes a whole line or a large part of a long one.
                    onActivity();
                }
                if (message instanceof LastHttpContent) {
                    ctx.close();
                }
            } finally {
                reading = false;
                ReferenceCountUtil.release(message);
            }
        }

        private void onEvent(String id, byte[] data, int length) {
            if (!channel.isOpen()) {
                return;
            }
            try {
                if (Journal.this.handleEvent(id, data, length, lastReceivedAt)) {
                    reconnectDelayMs = limits.journalMinBackoffMs;
                } else {
                    channel.close();
                }
            } catch (IOException | InvalidConfigurationException e) {
                onMalformedEvent(id, e.getMessage());
                channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (accepted && subscriptions.contains(this)) {
                front.log().warn("journal stream ended, reconnecting", "");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (cause instanceof IOException) {
                front.log().warn("journal stream lost", String.valueOf(cause.getMessage()));
            } else {
                FatalErrors.logOrEndProcess(front.log(), "journal stream closed, fault", cause);
            }
            ctx.close();
        }
    }

    /**
     * Applies one event. Returns false if events before it are missing and the stream has to be requested
     * again from the last event read.
     *
     * @param lastReceived when the subscription had last received anything before this event
     */
    private boolean handleEvent(String id, byte[] data, int length, long lastReceived) throws IOException,
            InvalidConfigurationException {
        HostRow.Reader rowReader = new HostRow.Reader(limits.engines);
        Map<?, ?> event = Json.map(Json.read(data, length, "hosts.hosts", rowReader), "event");
        long eventNumber = id.isEmpty() ? Json.wholeNumber(event, "pos", 0)
                : Json.wholeNumber(Map.of("id", id), "id", 0);
        if (eventNumber <= position) {
            return true;
        }
        if (rowReader.rowCount() > limits.engines) {
            skipOversized("journal list of too many engines, ignored", rowReader.rowCount(), limits.engines);
            return true;
        }
        Map<?, ?> list = event.get("hosts") == null ? null : Json.map(event.get("hosts"), "hosts");
        boolean complete = list != null && isComplete(list);
        if (eventNumber > position + 1 && !complete) {
            front.log().warn("journal events missing", position + " to " + eventNumber);
            if (!gapRetried) {
                gapRetried = true;
                return false;
            }
            // Still missing after a second request: an incomplete list is better than an outdated one.
        }
        Map<Id.Engine, Host> hosts = list == null ? Map.of() : parseHosts(list, lastReceived);
        gapRetried = false;
        position = eventNumber;
        if (list != null) {
            applyList(complete, hosts);
            front.enginesListed(complete ? ListKind.COMPLETE : ListKind.CHANGES, List.copyOf(hosts.values()));
        }
        return true;
    }

    /** Requests the event again. One that is malformed twice is skipped, or it would block all later ones. */
    private void onMalformedEvent(String id, String reason) {
        boolean repeated = !id.isEmpty() && id.equals(lastMalformedId);
        lastMalformedId = id;
        if (!repeated) {
            front.log().warn("journal event malformed, reconnecting", reason);
            return;
        }
        front.log().warn("journal event malformed again, skipped", reason);
        try {
            position = Math.max(position, Long.parseLong(id));
        } catch (NumberFormatException e) {
            // An event without a number can't be skipped.
        }
    }

    /** Keeps the current list. Requesting the event again would only return the same event. */
    private void skipOversized(String logText, long size, long limit) {
        front.log().warn(logText, size + " of " + limit);
        gapRetried = true;
    }

    /** Updates the list; engines absent from a complete list are removed. Engine names are never reused. */
    private void applyList(boolean complete, Map<Id.Engine, Host> hosts) {
        if (complete) {
            knownHosts = new LinkedHashMap<>();
        }
        if (knownHosts.size() + hosts.size() > limits.engines) {
            dropExcess(hosts);
        }
        hosts.forEach((id, host) -> {
            if (isGone(host)) {
                knownHosts.remove(id);
            } else {
                knownHosts.put(id, host);
            }
        });
    }

    /** The number of the last event applied or skipped. */
    long position() {
        return position;
    }

    /** The number of engines in the list. */
    int knownHosts() {
        return knownHosts.size();
    }

    private static boolean isComplete(Map<?, ?> list) {
        return "true".equals(list.get("whole"));
    }

    /** Drops engines that are not in the list yet and would exceed the limit. */
    private void dropExcess(Map<Id.Engine, Host> hosts) {
        int listed = hosts.size();
        int[] room = {limits.engines - knownHosts.size()};
        hosts.values().removeIf(host -> !isGone(host) && !knownHosts.containsKey(host.listing().engine())
                && --room[0] < 0);
        if (hosts.size() < listed) {
            front.log().warn("engines at their limit, left out", listed - hosts.size() + " of " + listed);
        }
    }

    private static boolean isGone(Host host) {
        return host.listing().health() == Health.GONE;
    }

    /** Engines by name; if a name occurs twice, only the last entry counts. */
    private Map<Id.Engine, Host> parseHosts(Map<?, ?> list, long lastReceived)
            throws InvalidConfigurationException {
        Map<Id.Engine, Host> hosts = new LinkedHashMap<>();
        for (Object entry : Json.list(list.get("hosts"), "hosts")) {
            if (!(entry instanceof HostRow row)) {
                throw new InvalidConfigurationException("hosts", "contains an element that is not an object");
            }
            hosts.put(row.engine(), new Host(new Event.Listing(row.engine(), row.kind(), row.zone(),
                    row.cell(), row.health(), startedAt(row, lastReceived)), row.address(),
                    row.startedAtUnixMs()));
        }
        return hosts;
    }

    /** An unchanged start time keeps its first conversion, even if the system clock was changed since. */
    private long startedAt(HostRow row, long lastReceived) {
        Host previous = knownHosts.get(row.engine());
        if (previous != null && previous.startedAtUnixMs() == row.startedAtUnixMs()) {
            return previous.listing().startedAt();
        }
        long estimate = front.clock().engineStartFromUnixMs(row.startedAtUnixMs());
        return estimate == 0 ? 0 : EngineStartTime.ofNewEngine(estimate, lastReceived);
    }
}
