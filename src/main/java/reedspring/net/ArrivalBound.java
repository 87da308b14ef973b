package reedspring.net;

/**
 * The latest time at which a socket is known to have been empty, which is a lower bound of the arrival time
 * of data that is read from it now. It holds for data that lay unread during a stall of the loop or the whole
 * process, too. Times are in ticks; one tick is a tenth of a millisecond.
 *
 * <p>The bound comes from the selector: a socket that a poll does not report was empty at some time after the
 * start of that poll, and so was a socket whose read returned less than requested. A time read after a poll
 * proves nothing, as the process may have been stopped between the two.
 */
final class ArrivalBound {
    /** A bound that is no older than this, in ticks, is accurate enough. */
    private static final long CLOSE_ENOUGH_TICKS = 100;

    private final EventLoopTurns turns;
    private final Clock clock;
    private long emptyAt;
    /** The latest turn of the loop in which the socket is not known to have been emptied. */
    private long unprovenTurn;

    /** @param emptyAt a time in ticks at which the socket was empty or did not exist */
    ArrivalBound(EventLoopTurns turns, Clock clock, long emptyAt) {
        this.turns = turns;
        this.clock = clock;
        this.emptyAt = emptyAt;
        this.unprovenTurn = turns.turnNumber();
    }

    /**
     * The lower bound for a socket of which the selector has reported nothing yet: its registration may have
     * failed, and then polls prove nothing.
     *
     * @param lastEmptyAt when a read without the selector last found the socket empty
     */
    long earliestIfUnreported(long lastEmptyAt) {
        return Math.min(earliest(), lastEmptyAt);
    }

    /** Lower bound of the arrival time of data that is read in this turn, in ticks. */
    long earliest() {
        if (unprovenTurn < turns.turnNumber() - 1) {
            emptyAt = Math.max(emptyAt, clock.at(turns.previousPollStartNanos()));
        }
        return emptyAt;
    }

    /**
     * Whether data that is read now may have waited so long that all data in the socket has to be read before
     * a decision.
     */
    boolean mayHaveWaited() {
        return clock.now() - earliest() > CLOSE_ENOUGH_TICKS;
    }

    /** Notes that the socket may hold more data than was read in this turn. */
    void markNotEmptied() {
        unprovenTurn = turns.turnNumber();
    }
}
