package reedspring.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import reedspring.api.Event;
import reedspring.api.Id;

/** The connections to all engines, a few to each. */
final class Engines implements SubmissionRunner {
    private final Limits limits;
    private final Front front;
    private final Rows rows;
    private final Bootstrap dialer;
    private final Map<Id.Engine, Link> links = new LinkedHashMap<>();
    /** Those of them that have connections: as few as there may be connections, however many are listed. */
    private final Set<Link> connected = new LinkedHashSet<>();
    /** Named as gone, and kept until their last connection has ended. */
    private final Set<Id.Engine> leaving = new LinkedHashSet<>();
    private int connections;
    private long lists;

    /** One engine's connections. Those to an address or a process that it has no more carry nothing new. */
    private static final class Link {
        private Host host;
        private boolean up;
        private boolean gone;
        private long namedIn;
        private final List<EngineConnection> connections = new ArrayList<>(0);
    }

    Engines(EventLoop loop, Limits limits, Front front) {
        this.limits = limits;
        this.front = front;
        this.rows = new Rows(limits.pageBytes);
        this.dialer = new Bootstrap().group(loop).channelFactory(FrontSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    public void listed(Event.Reading reading, List<Host> hosts) {
        lists++;
        for (Host host : hosts) {
            Id.Engine id = host.listing().engine();
            Link link = links.computeIfAbsent(id, k -> new Link());
            Host before = link.host;
            link.host = host;
            link.namedIn = lists;
            link.up = host.listing().health() == Event.Health.UP;
            link.gone = host.listing().health() == Event.Health.GONE;
            if (link.gone) {
                leaving.add(id);
            }
            if (before != null && (!before.address().equals(host.address())
                    || before.listing().startedAt() != host.listing().startedAt())) {
                List.copyOf(link.connections).forEach(EngineConnection::retire);
            }
        }
        if (reading != Event.Reading.CHANGES) {
            links.forEach((id, link) -> {
                if (link.namedIn != lists) {
                    link.up = false;
                    link.gone = true;
                    leaving.add(id);
                }
            });
        }
        List.copyOf(connected).stream().filter(link -> link.gone)
                .forEach(link -> List.copyOf(link.connections).forEach(EngineConnection::retire));
    }

    @Override
    public void send(Id.Engine engine, Submission s) {
        Link link = links.get(engine);
        if (link == null) {
            front.closed(s, Event.Outcome.UNREACHABLE);
            return;
        }
        List<EngineConnection> open = link.connections.stream().filter(c -> c.takes(s)).toList();
        // One spoilt answer ends all that is out on its connection, so each carries little. One for each
        // submission would cost a starting front more than it saves.
        EngineConnection best = open.stream().filter(c -> !c.doubtful())
                .min(Comparator.comparingInt(EngineConnection::load)).orElse(null);
        boolean fits = link.connections.size() < limits.engineConnections;
        if (best != null && (best.load() < limits.sharedBy || !fits
                || connections >= limits.allEngineConnections)) {
            best.send(s);
            return;
        }
        if (best == null && !(fits && room())) {
            front.log().line("engine connections at their limit", engine.address());
            if (open.isEmpty()) {
                front.closed(s, Event.Outcome.UNREACHABLE);
            } else {
                open.get(0).send(s);
            }
            return;
        }
        InetSocketAddress address = link.host.address();
        EngineConnection connection = new EngineConnection(front, limits, rows, engine.address(),
                () -> link.up, ended -> ended(link, ended));
        link.connections.add(connection);
        connected.add(link);
        connections++;
        connection.send(s);
        connection.dial(dialer, address);
    }

    private void ended(Link link, EngineConnection connection) {
        if (link.connections.remove(connection)) {
            connections--;
        }
        if (link.connections.isEmpty()) {
            connected.remove(link);
        }
    }

    /**
     * Room for one more connection. Where engines are many, those that rest hold all places, and what has no
     * connection yet would count as unreachable: the one that has rested longest ends for it.
     */
    private boolean room() {
        if (connections < limits.allEngineConnections) {
            return true;
        }
        Link eldest = null;
        EngineConnection rested = null;
        for (Link link : connected) {
            for (EngineConnection connection : link.connections) {
                if (connection.rests() && (rested == null
                        || connection.lastUsedAt() < rested.lastUsedAt())) {
                    eldest = link;
                    rested = connection;
                }
            }
        }
        if (rested != null) {
            rested.retire();
            ended(eldest, rested);
        }
        return rested != null;
    }

    @Override
    public void tick(long now) {
        for (Link link : List.copyOf(connected)) {
            for (EngineConnection connection : List.copyOf(link.connections)) {
                connection.tick(now);
            }
        }
        leaving.removeIf(id -> {
            Link link = links.get(id);
            if (link.gone && link.connections.isEmpty()) {
                links.remove(id);
            }
            return !link.gone || link.connections.isEmpty();
        });
    }
}
