package reedspring.net;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** The client connections, in the order in which they are closed to make room for another. */
final class ClientConnections {
    private final Front front;
    private final Limits limits;
    /** Connections without a valid request yet, in order of arrival. */
    private final Set<ClientConnection> unusedConnections = new LinkedHashSet<>();
    /** The other open connections, least recently used first. */
    private final Set<ClientConnection> usedConnections = new LinkedHashSet<>();
    /** Connections whose output is shut down, in the order of the shutdowns. */
    private final Set<ClientConnection> lingeringConnections = new LinkedHashSet<>();
    private long acceptedCount;

    ClientConnections(Front front, Limits limits) {
        this.front = front;
        this.limits = limits;
    }

    /** Returns how many connections were accepted since the start, including refused ones. */
    long acceptedCount() {
        return acceptedCount;
    }

    /** Returns the connections that are open in both directions. */
    List<ClientConnection> openConnections() {
        return Stream.concat(unusedConnections.stream(), usedConnections.stream()).toList();
    }

    /** Returns the connections whose output is shut down. */
    Set<ClientConnection> lingeringConnections() {
        return lingeringConnections;
    }

    /** Returns how many connections can be added before the limit is reached. */
    int freePlaces() {
        return Math.max(0, limits.clientConnections - unusedConnections.size() - usedConnections.size());
    }

    /** Adds a connection, closing another if the limit is reached; returns false if it must be refused. */
    boolean add(ClientConnection client) {
        acceptedCount++;
        if (freePlaces() == 0) {
            front.log().warn("client connections at their limit", Integer.toString(limits.clientConnections));
            ClientConnection replaceable = findReplaceable();
            if (replaceable != null) {
                replaceable.closeGracefully(CloseReason.NO_ROOM);
            } else if (freePlaces() == 0) {
                front.counters().add(CloseReason.NO_ROOM);
                return false;
            }
        }
        unusedConnections.add(client);
        return true;
    }

    /**
     * Closes clients that have stopped within a message, those that hold the most first, until so many bytes
     * are free.
     */
    void closeStalledInMessage(long bytes) {
        List<ClientConnection> stalled = openConnections().stream()
                .filter(ClientConnection::isStalledInMessage)
                .sorted(Comparator.comparingLong(ClientConnection::partialBytes).reversed()).toList();
        long freed = 0;
        for (ClientConnection client : stalled) {
            if (freed >= bytes) {
                return;
            }
            freed += client.partialBytes();
            client.closeToReclaimMemory();
        }
    }

    /** Adds a connection whose output is shut down and whose further input is discarded. */
    void addLingering(ClientConnection client) {
        if (lingeringConnections.size() >= limits.maxLingering && !front.isLeaving()) {
            // Each holds a descriptor; many closes at once must not use up those for engines and the journal.
            ClientConnection oldest = lingeringConnections.stream().filter(ClientConnection::isOutputEnded)
                    .findFirst().orElseGet(() -> lingeringConnections.iterator().next());
            lingeringConnections.remove(oldest);
            oldest.close();
        }
        lingeringConnections.add(client);
    }

    void removeLingering(ClientConnection client) {
        lingeringConnections.remove(client);
    }

    /**
     * Returns the connection to close for a new one, or null. First come those that sent no valid request in
     * their grace period, and fresh ones if they hold a large part of all places; then the one idle for
     * longest, as its client can reconnect. The other fresh ones come last: they are probably about to send a
     * request, which would be lost. None is closed if a look into its socket finds that one has ended.
     */
    private ClientConnection findReplaceable() {
        for (ClientConnection silent : List.copyOf(unusedConnections)) {
            boolean tooMany = unusedConnections.size() > limits.maxFreshConnections;
            if (!silent.isPastGracePeriod() && !tooMany) {
                break;
            }
            if (isReplaceable(silent)) {
                return silent;
            }
            if (freePlaces() > 0) {
                return null;
            }
        }
        long now = front.clock().now();
        for (ClientConnection client : List.copyOf(usedConnections)) {
            if (client.isIdleSince(now) && isReplaceable(client)) {
                return client;
            }
            if (freePlaces() > 0) {
                return null;
            }
        }
        return unusedConnections.stream().findFirst().filter(ClientConnections::isReplaceable).orElse(null);
    }

    /**
     * Reads the connection's socket and returns whether nobody waits for anything on it. After a stall of the
     * loop, or right after the accept, a request may lie unread in the socket, and a close would lose it.
     */
    private static boolean isReplaceable(ClientConnection client) {
        return client.readPresence() == ClientConnection.Presence.CONNECTED && !client.hasOpenWork()
                && !client.hasPartialMessage() && !client.hasPendingBytes();
    }

    /** Moves a connection that had a valid request or an answer to the end of the closing order. */
    void markUsed(ClientConnection client) {
        if (unusedConnections.remove(client) || usedConnections.remove(client)) {
            usedConnections.add(client);
        }
    }

    void remove(ClientConnection client) {
        unusedConnections.remove(client);
        usedConnections.remove(client);
    }
}
