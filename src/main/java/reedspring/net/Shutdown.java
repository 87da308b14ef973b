package reedspring.net;

import java.util.List;

/**
 * The end of a front, from SIGTERM on: it serves on while requests can still come, waits until all that it
 * has taken is answered, shuts its connections in order, and gives clients a moment to read their last
 * answers.
 */
final class Shutdown {
    /** Between two looks, in tenths of a millisecond. */
    private static final long LOOK_EVERY = 100;
    private static final long LINGER_LOOK_EVERY = 20;

    private final Front front;
    private final Limits limits;
    private final ClientRoster roster;
    private final long since;
    private Runnable left;
    private long acceptedAtLook;

    /** @param since when the front was told to end */
    Shutdown(Front front, Limits limits, ClientRoster roster, long since) {
        this.front = front;
        this.limits = limits;
        this.roster = roster;
        this.since = since;
    }

    /** @param whenLeft runs once nothing is left */
    void begin(Runnable whenLeft) {
        left = whenLeft;
        look();
    }

    private void look() {
        long gone = front.clock().now() - since;
        boolean moreCame = roster.accepted() != acceptedAtLook;
        acceptedAtLook = roster.accepted();
        if (gone < limits.leavingQuiet * 10L || !front.allAnswered() && gone < limits.leavingLongest * 10L
                + limits.lastResort * 20L) {
            lookLater();
            return;
        }
        List<ClientConnection> open = roster.open();
        // Nothing can come any more but on connections that rest here. What lies unread there is still taken.
        open.forEach(ClientConnection::there);
        // A turn accepts some connections only, and reads a part of a long query. After a stop of the loop
        // the others still wait in the listener's queue, which ends with it: all of them would be reset.
        boolean more = moreCame || front.mayHoldUnaccepted()
                || open.stream().anyMatch(ClientConnection::midway);
        if ((more || !front.allAnswered()) && gone < limits.leavingLongest * 10L) {
            lookLater();
            return;
        }
        front.closeListener();
        roster.open().forEach(client -> client.shut(CloseReason.FRONT_ENDS));
        lingerOn(front.clock().now(), since + limits.leavingGone * 10L);
    }

    private void lookLater() {
        front.timers().in(LOOK_EVERY, this::look);
    }

    /**
     * Until each client has read its last answer, for as long as there is time, and has ended its side, for a
     * moment: not all do.
     */
    private void lingerOn(long from, long until) {
        long now = front.clock().now();
        boolean allRead = roster.lingering().stream().noneMatch(ClientConnection::unsent);
        if (roster.lingering().isEmpty() || now >= until || now >= from + limits.leavingFlush * 10L
                && allRead) {
            front.log().once("left", "");
            front.tellSums();
            left.run();
        } else {
            front.timers().in(LINGER_LOOK_EVERY, () -> lingerOn(from, until));
        }
    }
}
