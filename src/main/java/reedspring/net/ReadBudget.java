package reedspring.net;

import java.util.function.LongSupplier;

/**
 * How much input of one connection may be handled in one turn of the event loop. Whatever its peer adds
 * meanwhile waits in the socket until the other connections have had their turn.
 */
final class ReadBudget {
    /**
     * The limits of one kind of connection.
     *
     * @param kind what is counted when a connection reaches its limit
     * @param bytes bytes that may be read in one turn
     * @param decoded what may be decoded in one turn, by the connection's counter: messages, or bytes of them
     * @param sliceBytes input that is decoded before that is counted again
     */
    record Limit(LoopBudget kind, int bytes, int decoded, int sliceBytes) {
    }

    private final EventLoopTurns turns;
    private final Limit limit;
    private final LongSupplier decodedCount;
    private long turn = -1;
    private int bytesRead;
    private long decodedBefore;

    /** @param decodedCount what was decoded on the connection so far */
    ReadBudget(EventLoopTurns turns, Limit limit, LongSupplier decodedCount) {
        this.turns = turns;
        this.limit = limit;
        this.decodedCount = decodedCount;
    }

    Limit limit() {
        return limit;
    }

    /** Adds bytes that were read in this turn. */
    void addBytes(int count) {
        startTurn();
        bytesRead += count;
    }

    /** Returns whether no more bytes may be read in this turn. */
    boolean isExhausted() {
        return isDecodingExhausted() || bytesRead >= limit.bytes();
    }

    /** Returns whether no more input may be decoded in this turn. */
    boolean isDecodingExhausted() {
        startTurn();
        return decodedCount.getAsLong() - decodedBefore >= limit.decoded();
    }

    private void startTurn() {
        if (turn != turns.turnNumber()) {
            turn = turns.turnNumber();
            bytesRead = 0;
            decodedBefore = decodedCount.getAsLong();
        }
    }
}
