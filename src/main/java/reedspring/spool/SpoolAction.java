package reedspring.spool;

import reedspring.api.Id;

/**
 * An action that the spool decides on. The caller performs the actions in the order given. Durations are in
 * ticks (tenths of a millisecond), {@code expiresAt} is Unix time in ticks.
 */
public sealed interface SpoolAction {
    /** Space is reserved for the answer under this id; page 0 can be delivered. */
    record AcceptAnswer(Id.Query query, AnswerId answer) implements SpoolAction {
    }

    /**
     * The answer isn't kept and is no longer tracked. {@code retryAfter}: ticks until another one may be
     * accepted, 0 if waiting doesn't help.
     */
    record RefuseAnswer(Id.Query query, String reason, long retryAfter) implements SpoolAction {
    }

    /** Requests a page of an accepted answer from its engine. */
    record FetchPage(AnswerId answer, int page) implements SpoolAction {
    }

    /** Creates a segment file. */
    record OpenSegment(long segment) implements SpoolAction {
    }

    /** Appends a received page to the segment. */
    record WritePage(AnswerId answer, long segment, int page) implements SpoolAction {
    }

    /** Follows the writes of all pages of the answer: makes the answer durable. */
    record CommitAnswer(AnswerId answer, long segment, String tenant, boolean repeatable, int pages,
                        long expiresAt) implements SpoolAction {
    }

    /** The answer is durable: its query can be answered with a handle. */
    record CompleteAnswer(Id.Query query, AnswerId answer, int pages, long expiresAt) implements SpoolAction {
    }

    /** An accepted answer could not be kept; its query has to end in another way. */
    record FailAnswer(Id.Query query, AnswerId answer, String reason) implements SpoolAction {
    }

    /** Reads a page for the client whose read has this id. */
    record ReadPage(long readId, AnswerId answer, long segment, int page) implements SpoolAction {
    }

    /** Rejects a read. {@code retryAfter}: ticks after which to retry, for {@link Reason#BUSY} only. */
    record RejectRead(long readId, Reason reason, long retryAfter) implements SpoolAction {
    }

    /**
     * Removes the answer. {@code recorded}: a record on disk has to keep it from being restored after a
     * restart; an expired answer is not restored anyway.
     */
    record DropAnswer(AnswerId answer, long segment, boolean recorded) implements SpoolAction {
    }

    /** Closes the segment for writes and writes its index. */
    record SealSegment(long segment) implements SpoolAction {
    }

    /** Deletes the segment and its index. */
    record DeleteSegment(long segment) implements SpoolAction {
    }

    /** Copies a committed answer to another segment and makes the copy durable. */
    record MoveAnswer(AnswerId answer, long sourceSegment, long targetSegment) implements SpoolAction {
    }

    /** Writes a line to the log. */
    record LogMessage(String text) implements SpoolAction {
    }

    /** Why a read is rejected. */
    enum Reason {
        /** The expiry time in the handle has passed. */
        EXPIRED,
        /** Released, evicted after it was read to its end, or dropped because it was corrupt. */
        GONE,
        /** A page is corrupt, or the spool can't be used. */
        CORRUPT,
        NO_SUCH_PAGE,
        /**
         * The concurrency limits are reached, recovery is in progress or the disk failed; a later try may
         * succeed.
         */
        BUSY
    }
}
