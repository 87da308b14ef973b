package reedspring.net;

import java.util.List;

/**
 * Graceful shutdown of a front after SIGTERM: it goes on serving while requests can still arrive, waits until
 * all accepted requests are answered, closes its connections in order, and gives clients a moment to read
 * their last answers. Times are in ticks; one tick is a tenth of a millisecond.
 */
final class Shutdown {
    /** Poll intervals, in ticks. */
    private static final long CHECK_INTERVAL_TICKS = 100;
    private static final long LINGER_CHECK_INTERVAL_TICKS = 20;

    private final Front front;
    private final Limits limits;
    private final ClientConnections clientConnections;
    private final long startedAt;
    private Runnable onComplete;
    private long acceptedAtLastCheck;

    /** @param startedAt when the front was told to stop */
    Shutdown(Front front, Limits limits, ClientConnections clientConnections, long startedAt) {
        this.front = front;
        this.limits = limits;
        this.clientConnections = clientConnections;
        this.startedAt = startedAt;
    }

    /** @param whenComplete runs once the shutdown is complete */
    void begin(Runnable whenComplete) {
        onComplete = whenComplete;
        check();
    }

    private void check() {
        long elapsedTicks = front.clock().now() - startedAt;
        boolean acceptedMore = clientConnections.acceptedCount() != acceptedAtLastCheck;
        acceptedAtLastCheck = clientConnections.acceptedCount();
        if (elapsedTicks < limits.shutdownQuietMs * 10L
                || !front.allAnswered() && elapsedTicks < limits.shutdownAnsweredMs * 10L
                + limits.fallbackAnswerMs * 20L) {
            checkLater();
            return;
        }
        List<ClientConnection> open = clientConnections.openConnections();
        // Requests can arrive only on connections that are still open. What is unread there is accepted.
        boolean unread = open.stream().map(ClientConnection::readPresence).toList()
                .contains(ClientConnection.Presence.UNKNOWN);
        // One loop turn accepts a limited number of connections and reads only part of a long request. After
        // a stall of the loop the others still wait in the accept queue, which closing the listener resets.
        boolean mayHoldMore = acceptedMore || unread || front.mayHaveUnacceptedConnections()
                || open.stream().anyMatch(ClientConnection::hasPartialMessage);
        if ((mayHoldMore || !front.allAnswered()) && elapsedTicks < limits.shutdownAnsweredMs * 10L) {
            checkLater();
            return;
        }
        front.closeListener();
        clientConnections.openConnections().forEach(client -> client.closeGracefully(CloseReason.FRONT_ENDS));
        awaitClients(front.clock().now(), startedAt + limits.shutdownEndMs * 10L);
    }

    private void checkLater() {
        front.timers().scheduleIn(CHECK_INTERVAL_TICKS, this::check);
    }

    /**
     * Waits until each client has read its last answer, up to the deadline, and for a shorter time until it
     * has closed its side of the connection, which not all clients do.
     */
    private void awaitClients(long lingerStart, long deadline) {
        long now = front.clock().now();
        boolean allRead = clientConnections.lingeringConnections().stream()
                .noneMatch(ClientConnection::hasPendingBytes);
        if (clientConnections.lingeringConnections().isEmpty() || now >= deadline
                || now >= lingerStart + limits.shutdownLingerMs * 10L && allRead) {
            front.log().info("left", "");
            front.logSummary();
            onComplete.run();
        } else {
            front.timers().scheduleIn(LINGER_CHECK_INTERVAL_TICKS, () -> awaitClients(lingerStart, deadline));
        }
    }
}
