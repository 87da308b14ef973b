package reedspring.net;

/**
 * The last moment at which a socket is known to have been empty, so that what is read from it now came after
 * that. It bounds the arrival of what lay unread while the loop or the whole process stood still.
 *
 * <p>The selector is the witness: a socket that a poll does not report was empty at some moment after that
 * poll began, and so was one that was read until it gave less than was asked for. No time that is taken
 * after a poll proves as much, as the process may have been stopped between the two.
 */
final class ArrivalBound {
    /** What is read within that time of its bound needs no closer look, in tenths of a millisecond. */
    private static final long CLOSE_ENOUGH = 100;

    private final Turns turns;
    private final Clock clock;
    private long emptyAt;
    /** The latest turn after which nothing shows that the socket was emptied in it. */
    private long unprovenTurn;

    /** @param emptyAt a moment at which the socket was empty, or not there; in tenths of a millisecond */
    ArrivalBound(Turns turns, Clock clock, long emptyAt) {
        this.turns = turns;
        this.clock = clock;
        this.emptyAt = emptyAt;
        this.unprovenTurn = turns.number();
    }

    /**
     * The same where the selector has told of nothing at the socket so far: it may not know it, and then its
     * polls prove nothing.
     *
     * @param seenEmptyAt when a look past the selector last found the socket empty
     */
    long earliestUntold(long seenEmptyAt) {
        return Math.min(earliest(), seenEmptyAt);
    }

    /** For what is read in this turn: it came then at the earliest. In tenths of a millisecond. */
    long earliest() {
        if (unprovenTurn < turns.number() - 1) {
            emptyAt = Math.max(emptyAt, clock.at(turns.previousPollBegan()));
        }
        return emptyAt;
    }

    /** Whether what is read now may have waited for so long that it matters whether more lies behind it. */
    boolean mayHaveWaited() {
        return clock.now() - earliest() > CLOSE_ENOUGH;
    }

    /** More may lie in the socket than was read in this turn. */
    void notEmptied() {
        unprovenTurn = turns.number();
    }
}
