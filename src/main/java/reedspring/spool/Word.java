package reedspring.spool;

import java.util.List;
import reedspring.api.Id;

/** An event that the spool reacts to. {@code expiresAt} is Unix time in ticks (tenths of a millisecond). */
public sealed interface Word {
    /** An engine announced an answer of so many pages; {@code repeatable}: its query may run again. */
    record Began(Id.Query query, String tenant, boolean repeatable, int pages) implements Word {
    }

    /** A page arrived from the engine. */
    record PageCame(AnswerId answer, int page, int bytes) implements Word {
    }

    /**
     * The page is no longer buffered in memory. Sent once for each {@link Step.Write}, even if the segment
     * failed or the answer was abandoned.
     */
    record PageWritten(AnswerId answer, int page) implements Word {
    }

    /** All of the answer is on disk and survives a crash of this process. */
    record AnswerCommitted(AnswerId answer) implements Word {
    }

    /** Nothing written to the segment since its last commit is reliable, nor is any later write to it. */
    record SegmentFailed(long segment, String reason) implements Word {
    }

    /** The query ended in another way before its answer was committed. */
    record QueryOver(AnswerId answer) implements Word {
    }

    /** A client requests a page with a valid handle; {@code readId} identifies the read. */
    record Asked(long readId, Handle handle, int page) implements Word {
    }

    /** The page was read and passed on. */
    record PageRead(long readId, AnswerId answer, int page) implements Word {
    }

    /** An I/O error prevented the read; the stored page isn't known to be corrupt. */
    record PageReadFailed(long readId, AnswerId answer, int page, String reason) implements Word {
    }

    /** The page is corrupt or missing. */
    record PageCorrupt(long readId, AnswerId answer, int page, String reason) implements Word {
    }

    /** A client releases its answer. */
    record Released(Handle handle) implements Word {
    }

    /** The copy in the target segment is durable. */
    record AnswerMoved(AnswerId answer, long targetSegment) implements Word {
    }

    /** The stored answer is corrupt or missing and could not be copied. */
    record MoveFailed(AnswerId answer, long targetSegment, String reason) implements Word {
    }

    /** Result of recovery; {@code lastSegment}: the highest segment number on disk. */
    record Recovered(List<RecoveredSegment> segments, List<RecoveredAnswer> answers,
                     long lastSegment) implements Word {
    }

    /** A segment on disk with its total size. */
    record RecoveredSegment(long number, long bytes) {
    }

    /**
     * A committed copy of an answer. {@code sequence} grows with each commit; {@code complete}: all pages are
     * present.
     */
    record RecoveredAnswer(AnswerId answer, String tenant, boolean repeatable, int pages, long bytes,
                           long expiresAt, long segment, long sequence, boolean complete) {
    }

    /** Recovery failed for good: no answers can be kept. */
    record Unusable(String reason) implements Word {
    }

    /** A message for the log; it changes no state. */
    record StoreNotice(String text) implements Word {
    }

    /** Drives expiry and compaction; expected a few times a second. */
    record Tick() implements Word {
    }
}
