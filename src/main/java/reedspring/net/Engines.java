package reedspring.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedspring.api.Event;
import reedspring.api.Id;

/** The connections to all engines, a few to each. */
final class Engines implements SubmissionRunner {
    private final Limits limits;
    private final Front front;
    private final Rows rows;
    private final Bootstrap dialer;
    private final Map<Id.Engine, Link> links = new LinkedHashMap<>();

    /** One engine's connections. Those to an address or a process that it has no more carry nothing new. */
    private static final class Link {
        private Host host;
        private boolean up;
        private boolean gone;
        private final List<EngineConnection> connections = new ArrayList<>();
    }

    Engines(EventLoop loop, Limits limits, Front front) {
        this.limits = limits;
        this.front = front;
        this.rows = new Rows(limits.pageBytes);
        this.dialer = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    public void listed(Event.Reading reading, List<Host> hosts) {
        for (Host host : hosts) {
            Id.Engine id = host.listing().engine();
            Link link = links.computeIfAbsent(id, k -> new Link());
            Host before = link.host;
            link.host = host;
            link.up = host.listing().health() == Event.Health.UP;
            link.gone = host.listing().health() == Event.Health.GONE;
            if (before != null && (!before.address().equals(host.address())
                    || before.listing().startedAt() != host.listing().startedAt())) {
                List.copyOf(link.connections).forEach(EngineConnection::retire);
            }
        }
        links.forEach((id, link) -> {
            link.gone |= reading != Event.Reading.CHANGES
                    && hosts.stream().noneMatch(host -> host.listing().engine().equals(id));
            if (link.gone) {
                link.up = false;
                List.copyOf(link.connections).forEach(EngineConnection::retire);
            }
        });
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
        boolean room = mayDial(link);
        if (best != null && best.load() >= limits.sharedBy && room) {
            best = null;
        }
        if (best == null && !room) {
            front.log().line("engine connections at their limit", engine.address());
            if (open.isEmpty()) {
                front.closed(s, Event.Outcome.UNREACHABLE);
                return;
            }
            best = open.get(0);
        }
        if (best != null) {
            best.send(s);
            return;
        }
        InetSocketAddress address = link.host.address();
        EngineConnection connection = new EngineConnection(front, limits, rows, engine.address(),
                () -> link.up, link.connections::remove);
        link.connections.add(connection);
        connection.send(s);
        connection.dial(dialer, address);
    }

    private boolean mayDial(Link link) {
        return link.connections.size() < limits.engineConnections
                && links.values().stream().mapToInt(l -> l.connections.size()).sum()
                        < limits.allEngineConnections;
    }

    @Override
    public void tick(long now) {
        for (Link link : links.values()) {
            for (EngineConnection connection : List.copyOf(link.connections)) {
                connection.tick(now);
            }
        }
        links.values().removeIf(link -> link.gone && link.connections.isEmpty());
    }
}
