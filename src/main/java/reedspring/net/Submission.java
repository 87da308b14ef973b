package reedspring.net;

import io.netty.buffer.ByteBuf;
import java.util.BitSet;
import reedspring.api.Id;
import reedspring.spool.AnswerId;

/** One submission of a query to an engine, until its outcome. */
final class Submission {
    final OpenQuery query;
    final Id.Submission number;
    long sentAt;
    long timeoutAt;
    /** Past this it may not begin any more. */
    final long departBy;
    EngineConnection connection;
    Timers.Due end;
    boolean written;
    boolean over;
    /** Set once the engine has ended well: the pages, null where one is still to come. */
    ByteBuf[] pages;
    int missing;
    int sheets;
    /** Where the answer is kept on disk: its name, the pages that have come, and what its client is told. */
    AnswerId kept;
    BitSet came;
    String handle;
    long keptForMs;
    int bytes;
    long endedAt;
    long unseen;
    long work;

    Submission(OpenQuery query, long sentAt, long timeoutAt, long departBy) {
        this.query = query;
        this.number = new Id.Submission(query.submissions++);
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
        this.departBy = departBy;
    }

    void release() {
        for (int k = 0; pages != null && k < pages.length; k++) {
            if (pages[k] != null) {
                pages[k].release();
            }
        }
        pages = null;
    }
}
