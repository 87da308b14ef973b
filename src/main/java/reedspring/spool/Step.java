package reedspring.spool;

import reedspring.api.Id;

/**
 * An action that the spool decides on. The caller performs the actions in the order given. Durations are in
 * ticks (tenths of a millisecond), {@code expiresAt} is Unix time in ticks.
 */
public sealed interface Step {
    /** Space is reserved for the answer under this id; page 0 can be delivered. */
    record Take(Id.Query query, AnswerId answer) implements Step {
    }

    /**
     * The answer isn't kept and is no longer tracked. {@code retryAfter}: ticks until another one may be
     * accepted, 0 if waiting doesn't help.
     */
    record Refuse(Id.Query query, String why, long retryAfter) implements Step {
    }

    /** Requests a page of an accepted answer from its engine. */
    record AskPage(AnswerId answer, int page) implements Step {
    }

    /** Creates a segment file. */
    record OpenSegment(long segment) implements Step {
    }

    /** Appends a received page to the segment. */
    record Write(AnswerId answer, long segment, int page) implements Step {
    }

    /** Follows the writes of all pages of the answer: makes the answer durable. */
    record CommitAnswer(AnswerId answer, long segment, String tenant, boolean repeatable, int pages,
                        long expiresAt) implements Step {
    }

    /** The answer is durable: its query can be answered with a handle. */
    record Kept(Id.Query query, AnswerId answer, int pages, long expiresAt) implements Step {
    }

    /** An accepted answer could not be kept; its query has to end in another way. */
    record Lost(Id.Query query, AnswerId answer, String why) implements Step {
    }

    /** Reads a page for the client whose read has this id. */
    record ReadPage(long readId, AnswerId answer, long segment, int page) implements Step {
    }

    /** Rejects a read. {@code comeBack}: ticks after which to retry, for {@link Reason#BUSY} only. */
    record Say(long reader, Reason reason, long comeBack) implements Step {
    }

    /** Removes the answer, so that it isn't restored after a restart. */
    record DropAnswer(AnswerId answer, long segment) implements Step {
    }

    /** Closes the segment for writes and writes its index. */
    record SealSegment(long segment) implements Step {
    }

    /** Deletes the segment and its index. */
    record DeleteSegment(long segment) implements Step {
    }

    /** Copies a committed answer to another segment and makes the copy durable. */
    record MoveAnswer(AnswerId answer, long sourceSegment, long targetSegment) implements Step {
    }

    /** Writes a line to the log. */
    record Remark(String text) implements Step {
    }

    /** Why a read is rejected. */
    enum Reason {
        /** The expiry time in the handle has passed. */
        EXPIRED,
        /** Released, evicted after it was read to its end, or dropped because it was corrupt. */
        GONE,
        /** A page is corrupt, or the spool can't be used. */
        DAMAGED,
        NO_SUCH_PAGE,
        /**
         * The concurrency limits are reached, recovery is in progress or the disk failed; a later try may
         * succeed.
         */
        BUSY
    }
}
