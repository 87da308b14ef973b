package reedspring.spool;

import reedspring.api.Id;

/** What the spool asks for, to be done in the order given. */
public sealed interface Step {
    /** The answer has room and a name; page 0 can be handed over. */
    record Take(Id.Query query, AnswerId answer) implements Step {
    }

    /** There is no room for the answer; it is never asked for again. {@code comeBack}: when there may be. */
    record Refuse(Id.Query query, String why, long retryAfter) implements Step {
    }

    /** Wanted from the engine. */
    record AskPage(AnswerId answer, int page) implements Step {
    }

    record OpenSegment(long segment) implements Step {
    }

    record Write(AnswerId answer, long segment, int page) implements Step {
    }

    /** After its pages are written: makes them last. */
    record CommitAnswer(AnswerId answer, long segment, String tenant, boolean repeatable, int pages,
                  long expiresAt) implements Step {
    }

    /** The final answer can go out, with a handle. */
    record Kept(Id.Query query, AnswerId answer, int pages, long expiresAt) implements Step {
    }

    /** An answer that was begun is not kept, and its query has to end otherwise. */
    record Lost(Id.Query query, AnswerId answer, String why) implements Step {
    }

    record ReadPage(long readId, AnswerId answer, long segment, int page) implements Step {
    }

    /** What a client that asks for a page or a release is told instead. */
    record Say(long reader, Reason reason, long comeBack) implements Step {
    }

    /** Not wanted any more, and not to come back after a restart. */
    record DropAnswer(AnswerId answer, long segment) implements Step {
    }

    /** Takes no more; its index is written. */
    record SealSegment(long segment) implements Step {
    }

    record DeleteSegment(long segment) implements Step {
    }

    record MoveAnswer(AnswerId answer, long sourceSegment, long targetSegment) implements Step {
    }

    record Remark(String text) implements Step {
    }

    enum Reason {
        /** The time that the handle names has passed. */
        EXPIRED,
        /** Released, or read to the end and given up for others' room. */
        GONE,
        /** It was kept and can't be read any more. */
        DAMAGED,
        NO_SUCH_PAGE,
        /** Too many pages are being read; {@code comeBack} says when to ask again. */
        BUSY
    }
}
