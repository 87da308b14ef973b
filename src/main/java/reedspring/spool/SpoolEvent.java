package reedspring.spool;

import java.util.List;
import reedspring.api.Id;

/** An event that the spool reacts to. {@code expiresAt} is Unix time in ticks (tenths of a millisecond). */
public sealed interface SpoolEvent {
    /** An engine announced an answer of so many pages; {@code repeatable}: its query may run again. */
    record AnswerAnnounced(Id.Query query, String tenant, boolean repeatable, int pages)
            implements SpoolEvent {
    }

    /** A page arrived from the engine. */
    record PageReceived(AnswerId answer, int page, int bytes) implements SpoolEvent {
    }

    /**
     * The page is no longer buffered in memory. Sent once for each {@link SpoolAction.WritePage}, even if the
     * segment failed or the answer was abandoned.
     */
    record PageWritten(AnswerId answer, int page) implements SpoolEvent {
    }

    /** All of the answer is on disk and survives a crash of this process. */
    record AnswerCommitted(AnswerId answer) implements SpoolEvent {
    }

    /** Nothing written to the segment since its last commit is reliable, nor is any later write to it. */
    record SegmentFailed(long segment, String reason) implements SpoolEvent {
    }

    /** The query ended in another way before its answer was committed. */
    record QueryEnded(AnswerId answer) implements SpoolEvent {
    }

    /** A client requests a page with a valid handle; {@code readId} identifies the read. */
    record PageRequested(long readId, Handle handle, int page) implements SpoolEvent {
    }

    /** The page was read and passed on. */
    record PageRead(long readId, AnswerId answer, int page) implements SpoolEvent {
    }

    /** An I/O error prevented the read; the stored page isn't known to be corrupt. */
    record PageReadFailed(long readId, AnswerId answer, int page, String reason) implements SpoolEvent {
    }

    /** The page is corrupt or missing. */
    record PageCorrupt(long readId, AnswerId answer, int page, String reason) implements SpoolEvent {
    }

    /** A client releases its answer. */
    record AnswerReleased(Handle handle) implements SpoolEvent {
    }

    /** The copy in the target segment is durable. */
    record AnswerMoved(AnswerId answer, long targetSegment) implements SpoolEvent {
    }

    /** The stored answer is corrupt or missing and could not be copied. */
    record MoveFailed(AnswerId answer, long targetSegment, String reason) implements SpoolEvent {
    }

    /**
     * Result of recovery. {@code lastSegment}: the highest segment number on disk; {@code expiredAnswers}:
     * the number of answers that are left out as they have expired.
     */
    record Recovered(List<RecoveredSegment> segments, List<RecoveredAnswer> answers, long lastSegment,
                     int expiredAnswers) implements SpoolEvent {
    }

    /** A segment on disk with its total size and the number of drop records in it. */
    record RecoveredSegment(long number, long bytes, int dropRecords) {
    }

    /**
     * A committed copy of an answer. {@code sequence} grows with each commit; {@code complete}: all pages are
     * present.
     */
    record RecoveredAnswer(AnswerId answer, String tenant, boolean repeatable, int pages, long bytes,
                           long expiresAt, long segment, long sequence, boolean complete) {
    }

    /** Recovery failed for good: no answers can be kept. */
    record Unusable(String reason) implements SpoolEvent {
    }

    /** A message for the log; it changes no state. */
    record StoreNotice(String text) implements SpoolEvent {
    }

    /** Drives expiry and compaction; expected a few times a second. */
    record Tick() implements SpoolEvent {
    }
}
