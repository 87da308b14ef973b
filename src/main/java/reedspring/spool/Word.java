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
    record Written(AnswerId answer, int page) implements Word {
    }

    /** The answer is on the disk, whole, and stays there whatever happens to this process. */
    record Committed(AnswerId answer) implements Word {
    }

    /** Nothing that was written to the segment since its last commit can be relied on, nor what comes. */
    record SegmentFailed(long segment, String why) implements Word {
    }

    /** Its query has ended otherwise, before the answer was kept. */
    record QueryOver(AnswerId answer) implements Word {
    }

    /** A client asks for a page by a handle that is its own; {@code reader} names the call. */
    record Asked(long reader, Handle handle, int page) implements Word {
    }

    record PageRead(long reader, AnswerId answer, int page) implements Word {
    }

    /**
     * The page can't be read just now, as the disk or the system fails; what is there is not known to be
     * bad.
     */
    record PageUnread(long reader, AnswerId answer, int page, String why) implements Word {
    }

    /** The page is not what was written, or can't be read any more. */
    record PageDamaged(long reader, AnswerId answer, int page, String why) implements Word {
    }

    record Released(Handle handle) implements Word {
    }

    /** A copy is in the other segment and committed. */
    record Moved(AnswerId answer, long to) implements Word {
    }

    record MoveFailed(AnswerId answer, long to, String why) implements Word {
    }

    /** What was on the disk at the start; {@code last}: the highest number that a segment there has. */
    record Found(List<FoundSegment> segments, List<FoundAnswer> answers, long last) implements Word {
    }

    record FoundSegment(long number, long bytes) {
    }

    /** {@code order} grows with each commit; {@code whole}: all its pages are there. */
    record FoundAnswer(AnswerId answer, String tenant, boolean repeatable, int pages, long bytes,
                       long expiresAt, long segment, long order, boolean whole) {
    }

    /** What was on the disk can't be used, and nothing can be kept. */
    record Unusable(String why) implements Word {
    }

    /** Something that is worth a line, and changes nothing. */
    record Remarked(String text) implements Word {
    }

    /** Time has passed; wanted a few times a second. */
    record Tick() implements Word {
    }
}
