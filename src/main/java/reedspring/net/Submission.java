package reedspring.net;

import io.netty.buffer.ByteBuf;
import java.util.BitSet;
import reedspring.api.Id;
import reedspring.spool.AnswerId;

/**
 * One try to run a query on an engine, until its outcome. Times are in ticks (tenths of a millisecond) unless
 * a name ends in {@code Ms}.
 */
final class Submission {
    final OpenQuery query;
    final Id.Submission number;
    long sentAt;
    long timeoutAt;
    /** The latest time at which it may be sent. */
    final long latestSendAt;
    EngineConnection connection;
    Timers.Timer timeoutTimer;
    boolean written;
    /** Number of its command among those of its connection, once it is written. */
    long commandNumber;
    boolean ended;
    /** Turns in which its client's input could not be read to the end before it was to be sent. */
    int unfinishedLooks;
    /** Turns in which the journal could not be read to the end before it was to be sent. */
    int turnsBehindJournal;
    /** Set once the engine has finished the query: the pages, null where one is still missing. */
    ByteBuf[] pages;
    int missingPages;
    int pageCount;
    /**
     * For an answer that is kept on disk: its id, then the pages received, and the handle and the time for
     * which it is kept, which the client is sent.
     */
    AnswerId keptAnswerId;
    BitSet receivedPages;
    String handle;
    long keptForMs;
    int resultBytes;
    long endedAt;
    /** How long the end may have lain unread while the process was paused. */
    long unseenTicks;
    /** The engine's work on the query, as the engine reports it. */
    long workTicks;

    Submission(OpenQuery query, long sentAt, long timeoutAt, long latestSendAt) {
        this.query = query;
        this.number = new Id.Submission(query.submissionCount++);
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
        this.latestSendAt = latestSendAt;
    }

    /** Releases the buffered pages. */
    void release() {
        for (int k = 0; pages != null && k < pages.length; k++) {
            if (pages[k] != null) {
                pages[k].release();
            }
        }
        pages = null;
    }
}
