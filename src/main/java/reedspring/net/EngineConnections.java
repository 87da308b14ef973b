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

/** Connection pools to all listed engines, with a few connections to each. */
final class EngineConnections implements SubmissionRunner {
    private final Limits limits;
    private final Front front;
    private final RowValidator rowValidator;
    private final Bootstrap dialer;
    private final Map<Id.Engine, EnginePool> pools = new LinkedHashMap<>();
    /** Pools with at least one connection: bounded by the connection limit, not by the number of engines. */
    private final Set<EnginePool> connectedPools = new LinkedHashSet<>();
    /** Engines no longer listed, kept until their last connection has closed. */
    private final Set<Id.Engine> removedEngines = new LinkedHashSet<>();
    private int connectionCount;
    private long listCount;

    /** One engine's connections. Connections to its previous address or process accept no submissions. */
    private static final class EnginePool {
        private Host host;
        private boolean up;
        private boolean gone;
        /** The count of lists received when the engine was last named. */
        private long lastListedIn;
        private final List<EngineConnection> connections = new ArrayList<>(0);
    }

    EngineConnections(EventLoop loop, Limits limits, Front front) {
        this.limits = limits;
        this.front = front;
        this.rowValidator = new RowValidator(limits.pageBytes);
        this.dialer = new Bootstrap().group(loop).channelFactory(FrontSocketChannel::new)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .option(ChannelOption.TCP_NODELAY, true);
    }

    @Override
    public void enginesListed(Event.ListKind listKind, List<Host> hosts) {
        listCount++;
        for (Host host : hosts) {
            Id.Engine id = host.listing().engine();
            EnginePool pool = pools.computeIfAbsent(id, k -> new EnginePool());
            Host previous = pool.host;
            pool.host = host;
            pool.lastListedIn = listCount;
            pool.up = host.listing().health() == Event.Health.UP;
            pool.gone = host.listing().health() == Event.Health.GONE;
            if (pool.gone) {
                removedEngines.add(id);
            }
            if (previous != null && (!previous.address().equals(host.address())
                    || previous.listing().startedAt() != host.listing().startedAt())) {
                List.copyOf(pool.connections).forEach(EngineConnection::retire);
            }
        }
        if (listKind != Event.ListKind.CHANGES) {
            pools.forEach((id, pool) -> {
                if (pool.lastListedIn != listCount) {
                    pool.up = false;
                    pool.gone = true;
                    removedEngines.add(id);
                }
            });
        }
        List.copyOf(connectedPools).stream().filter(pool -> pool.gone)
                .forEach(pool -> List.copyOf(pool.connections).forEach(EngineConnection::retire));
    }

    @Override
    public void send(Id.Engine engine, Submission s) {
        EnginePool pool = pools.get(engine);
        if (pool == null) {
            front.submissionEnded(s, Event.Outcome.UNREACHABLE);
            return;
        }
        List<EngineConnection> usable = pool.connections.stream().filter(c -> c.accepts(s)).toList();
        // A malformed answer closes its connection and fails every submission on it, so few submissions share
        // one connection. One connection per submission would cost a starting front more than it saves.
        EngineConnection leastLoaded = usable.stream().filter(c -> !c.isUnresponsive())
                .min(Comparator.comparingInt(EngineConnection::load)).orElse(null);
        boolean belowEngineLimit = pool.connections.size() < limits.engineConnections;
        if (leastLoaded != null && (leastLoaded.load() < limits.submissionsPerConnection || !belowEngineLimit
                || connectionCount >= limits.allEngineConnections)) {
            leastLoaded.send(s);
            return;
        }
        if (leastLoaded == null && !(belowEngineLimit && makeRoom())) {
            front.log().warn("engine connections at their limit", engine.address());
            if (usable.isEmpty()) {
                front.submissionEnded(s, Event.Outcome.UNREACHABLE);
            } else {
                usable.get(0).send(s);
            }
            return;
        }
        InetSocketAddress address = pool.host.address();
        EngineConnection connection = new EngineConnection(front, limits, rowValidator, engine.address(),
                () -> pool.up, ended -> onConnectionEnded(pool, ended));
        pool.connections.add(connection);
        connectedPools.add(pool);
        connectionCount++;
        connection.send(s);
        connection.dial(dialer, address);
    }

    private void onConnectionEnded(EnginePool pool, EngineConnection connection) {
        if (pool.connections.remove(connection)) {
            connectionCount--;
        }
        if (pool.connections.isEmpty()) {
            connectedPools.remove(pool);
        }
    }

    /**
     * Makes room for one more connection, if necessary by closing the connection that has been idle longest.
     * With many engines, idle connections would otherwise use up the limit, and engines without a connection
     * would count as unreachable.
     *
     * @return false if the limit is reached and no connection is idle
     */
    private boolean makeRoom() {
        if (connectionCount < limits.allEngineConnections) {
            return true;
        }
        EnginePool longestIdlePool = null;
        EngineConnection longestIdle = null;
        for (EnginePool pool : connectedPools) {
            for (EngineConnection connection : pool.connections) {
                if (connection.isIdle() && (longestIdle == null
                        || connection.lastUsedAt() < longestIdle.lastUsedAt())) {
                    longestIdlePool = pool;
                    longestIdle = connection;
                }
            }
        }
        if (longestIdle != null) {
            longestIdle.retire();
            onConnectionEnded(longestIdlePool, longestIdle);
        }
        return longestIdle != null;
    }

    @Override
    public void tick(long now) {
        for (EnginePool pool : List.copyOf(connectedPools)) {
            for (EngineConnection connection : List.copyOf(pool.connections)) {
                connection.tick(now);
            }
        }
        removedEngines.removeIf(id -> {
            EnginePool pool = pools.get(id);
            if (pool.gone && pool.connections.isEmpty()) {
                pools.remove(id);
            }
            return !pool.gone || pool.connections.isEmpty();
        });
    }
}
