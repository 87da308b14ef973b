package reedspring.api;

import java.util.List;

/** What a front is told. Times and spans are whole tenths of a millisecond. */
public sealed interface Event {
    /** How a list of engines is to be read. */
    enum Reading { CHANGES, COMPLETE, REMEMBERED }

    enum Health { UP, DRAINING, GONE }

    /** {@code startedAt} is 0 for an engine that started long ago. */
    record Listing(Id.Engine engine, Id.Kind kind, Id.Zone zone, Id.Cell cell, Health health,
            long startedAt) {
    }

    record EnginesListed(Reading reading, List<Listing> entries) implements Event {
    }

    /** A call to discovery failed, or its subscription broke; the list held so far stays valid. */
    record ListUnavailable() implements Event {
    }

    /** {@code estimate} is the work of all threads; it and {@code needMb} may be 0, {@code key} null. */
    record Taken(Id.Query query, Id.Group group, Id.Tenant tenant, Id.DataSet dataSet, long estimate,
                 double needMb, long leavesAt, Id.OrderKey key) implements Event {
    }

    /** The client has gone; nothing more is owed. */
    record Left(Id.Query query) implements Event {
    }

    record StreamBegan(Id.Query query, Id.Submission submission) implements Event {
    }

    /** {@code unseen}: how much earlier it may have come while the front itself stood still. */
    record ShareDone(Id.Query query, Id.Submission submission, double share, long unseen) implements Event {
    }

    /**
     * {@code work} is what the engine reports as used, 0 if it reports none. {@code took} may be too long by
     * up to {@code unseen}, where the front itself stood still before it saw the end.
     */
    record Closed(Id.Query query, Id.Submission submission, Outcome outcome, boolean over, long took,
                  long unseen, long work) implements Event {
    }

    /** Of an engine, as it came with an answer; late, noisy and perhaps wrong. */
    record LoadReported(Id.Engine engine, Load load) implements Event {
    }

    /** The front ends: all that it has taken is answered by then, and so is what it still takes. */
    record Leaving(long by) implements Event {
    }

    record Woken(Id.Timer timer) implements Event {
    }

    enum Outcome {
        FINISHED(false), ERROR(false), TURNED_AWAY(true), TIMED_OUT(false), UNREACHABLE(true), BROKEN(false),
        CANCELLED(false), NOT_SENT(true),
        /** Kept by the front: when it could leave, its engine was not up or its time to begin was over. */
        WITHHELD(true),
        /** It ran well, and its answer could not be kept for the client: another run would fare no better. */
        NOT_KEPT(false);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether the outcome proves that the engine did not begin the query. */
        public boolean neverRan() {
            return neverRan;
        }

        /** Whether the engine may still be at work on it. */
        public boolean mayStillRun() {
            return this == TIMED_OUT || this == BROKEN || this == CANCELLED;
        }
    }
}
