package reedspring.net;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** The connections of clients, in the order in which they go where there is no room for another. */
final class ClientRoster {
    private final Front front;
    private final Limits limits;
    /** Connections on which nothing of use has come yet, in the order of arrival; the rest by last use. */
    private final Set<ClientConnection> newcomers = new LinkedHashSet<>();
    private final Set<ClientConnection> clients = new LinkedHashSet<>();
    /** Those whose write side is shut, in the order of their ends. */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();
    private long accepted;

    ClientRoster(Front front, Limits limits) {
        this.front = front;
        this.limits = limits;
    }

    /** How many have come since the start. */
    long accepted() {
        return accepted;
    }

    /** All that are open both ways. */
    List<ClientConnection> open() {
        return Stream.concat(newcomers.stream(), clients.stream()).toList();
    }

    /** Those whose write side is shut. */
    Set<ClientConnection> lingering() {
        return lingering;
    }

    /** False if the connection is one too many. */
    boolean came(ClientConnection client) {
        accepted++;
        if (newcomers.size() + clients.size() >= limits.clientConnections) {
            front.log().line("client connections at their limit", Integer.toString(limits.clientConnections));
            ClientConnection idle = leastClaim();
            if (idle != null) {
                idle.shut(CloseReason.NO_ROOM);
            } else if (newcomers.size() + clients.size() >= limits.clientConnections) {
                front.counters().add(CloseReason.NO_ROOM);
                return false;
            }
        }
        newcomers.add(client);
        return true;
    }

    /** Its write side is shut, and what still comes is thrown away. */
    void lingers(ClientConnection client) {
        if (lingering.size() >= limits.lingering && !front.leaves()) {
            // Each holds a descriptor, and a flood of ends must not take those of engines and journal.
            ClientConnection eldest = lingering.iterator().next();
            lingering.remove(eldest);
            eldest.close();
        }
        lingering.add(client);
    }

    void lingersNoMore(ClientConnection client) {
        lingering.remove(client);
    }

    /**
     * Those that had their chance and sent nothing of use go first. Then the longest idle: its client asks
     * again on another. What has just come is about to ask, and would lose its query.
     */
    private ClientConnection leastClaim() {
        for (ClientConnection silent : List.copyOf(newcomers)) {
            if (!silent.hadItsChance()) {
                break;
            }
            if (!asks(silent)) {
                return silent;
            }
        }
        long now = front.clock().now();
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.idleSince(now) && !client.midway() && !asks(client)) {
                return client;
            }
        }
        return newcomers.stream().findFirst().filter(eldest -> !asks(eldest)).orElse(null);
    }

    /**
     * Whether something of it lay unread. What looks idle after a stop of the loop, or a moment after it was
     * accepted, may have asked already, and the end of its connection would cost that query.
     */
    private static boolean asks(ClientConnection client) {
        return !client.there() || client.busy() || client.midway() || client.unsent();
    }

    /** It has sent something of use or had an answer, and goes to the end of the line. */
    void used(ClientConnection client) {
        if (newcomers.remove(client) || clients.remove(client)) {
            clients.add(client);
        }
    }

    void gone(ClientConnection client) {
        newcomers.remove(client);
        clients.remove(client);
    }
}
