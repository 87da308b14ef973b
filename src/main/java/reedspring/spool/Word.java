package reedspring.spool;

import java.util.List;
import reedspring.api.Id;

/** What the spool is told. */
public sealed interface Word {
    /** An engine has announced an answer of so many pages; {@code repeatable}: its query may run again. */
    record Began(Id.Query query, String tenant, boolean repeatable, int pages) implements Word {
    }

    record PageCame(AnswerId answer, int page, int bytes) implements Word {
    }

    /**
     * The page waits in memory no more. Said once for each {@link Step.Write}, also where the segment has
     * failed or the answer is not wanted any more.
     */
    record PageWritten(AnswerId answer, int page) implements Word {
    }

    /** The answer is on the disk, whole, and stays there whatever happens to this process. */
    record AnswerCommitted(AnswerId answer) implements Word {
    }

    /** Nothing that was written to the segment since its last commit can be relied on, nor what comes. */
    record SegmentFailed(long segment, String reason) implements Word {
    }

    /** Its query has ended otherwise, before the answer was kept. */
    record QueryOver(AnswerId answer) implements Word {
    }

    /** A client asks for a page by a handle that is its own; {@code reader} names the call. */
    record Asked(long readId, Handle handle, int page) implements Word {
    }

    record PageRead(long readId, AnswerId answer, int page) implements Word {
    }

    /**
     * The page can't be read just now, as the disk or the system fails; what is there is not known to be
     * bad.
     */
    record PageReadFailed(long readId, AnswerId answer, int page, String reason) implements Word {
    }

    /** The page is not what was written, or can't be read any more. */
    record PageCorrupt(long readId, AnswerId answer, int page, String reason) implements Word {
    }

    record Released(Handle handle) implements Word {
    }

    /** A copy is in the other segment and committed. */
    record AnswerMoved(AnswerId answer, long targetSegment) implements Word {
    }

    record MoveFailed(AnswerId answer, long targetSegment, String reason) implements Word {
    }

    /** What was on the disk at the start; {@code last}: the highest number that a segment there has. */
    record Recovered(List<RecoveredSegment> segments, List<RecoveredAnswer> answers, long lastSegment) implements Word {
    }

    record RecoveredSegment(long number, long bytes) {
    }

    /** {@code order} grows with each commit; {@code whole}: all its pages are there. */
    record RecoveredAnswer(AnswerId answer, String tenant, boolean repeatable, int pages, long bytes,
                       long expiresAt, long segment, long sequence, boolean complete) {
    }

    /** What was on the disk can't be used, and nothing can be kept. */
    record Unusable(String reason) implements Word {
    }

    /** Something that is worth a line, and changes nothing. */
    record StoreNotice(String text) implements Word {
    }

    /** Time has passed; wanted a few times a second. */
    record Tick() implements Word {
    }
}
