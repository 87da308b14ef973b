package reedspring.api;

import java.util.List;

/** An input of the scheduler. Times and spans are in ticks: whole tenths of a millisecond. */
public sealed interface Event {
    /** Whether a list holds only changes, is complete, or was known before discovery was contacted. */
    enum ListKind { CHANGES, COMPLETE, CACHED }

    enum Health { UP, DRAINING, GONE }

    /** An entry of the engine list; {@code startedAt} is 0 for an engine that started long ago. */
    record Listing(Id.Engine engine, Id.Kind kind, Id.Zone zone, Id.Cell cell, Health health,
            long startedAt) {
    }

    record EnginesListed(ListKind kind, List<Listing> entries) implements Event {
    }

    /** A call to discovery failed or its subscription was lost; the last list remains valid. */
    record ListUnavailable() implements Event {
    }

    /**
     * The front has accepted a query.
     *
     * @param estimate the estimated work of all threads, 0 if unknown
     * @param needMb the estimated memory, 0 if unknown
     * @param clientDeadline until when the client waits
     * @param key null if it has no order key
     */
    record Taken(Id.Query query, Id.Group group, Id.Tenant tenant, Id.DataSet dataSet, long estimate,
                 double needMb, long clientDeadline, Id.OrderKey key) implements Event {
    }

    /** The client has gone, so no answer is due. */
    record Left(Id.Query query) implements Event {
    }

    /** The submission has started to return rows. */
    record StreamBegan(Id.Query query, Id.Submission submission) implements Event {
    }

    /**
     * A progress report: {@code progress} is the completed fraction of the submission. It may have arrived
     * earlier than it was read by up to {@code arrivalUncertainty}, because the front itself was stalled.
     */
    record ShareDone(Id.Query query, Id.Submission submission, double progress,
            long arrivalUncertainty) implements Event {
    }

    /**
     * A submission has ended.
     *
     * @param queryOver whether the query has its final answer or its client has gone
     * @param elapsed the time since it was sent
     * @param arrivalUncertainty by how much {@code elapsed} may be too long, because the front was stalled
     * @param work the work reported by the engine, 0 if it reports none
     */
    record Closed(Id.Query query, Id.Submission submission, Outcome outcome, boolean queryOver, long elapsed,
                  long arrivalUncertainty, long work) implements Event {
    }

    /** An engine's load as reported with an answer: delayed, noisy and possibly wrong. */
    record LoadReported(Id.Engine engine, Load load) implements Event {
    }

    /** The front shuts down: all queries, including those it still accepts, must be answered by then. */
    record Leaving(long deadline) implements Event {
    }

    /** A timer that was started with {@link Action.StartTimer} has expired. */
    record Woken(Id.Timer timer) implements Event {
    }

    /** How a submission ended. */
    enum Outcome {
        FINISHED(false), ERROR(false), TURNED_AWAY(true), TIMED_OUT(false), UNREACHABLE(true), BROKEN(false),
        CANCELLED(false), NOT_SENT(true),
        /**
         * Not sent: by the time it could be, its engine was not up or its latest time to start had passed.
         */
        WITHHELD(true),
        /** It finished, but its answer could not be stored for the client, nor could that of another run. */
        NOT_KEPT(false);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** Whether the outcome proves that the engine did not start the query. */
        public boolean neverRan() {
            return neverRan;
        }

        /** Whether the engine may still be running it. */
        public boolean mayStillRun() {
            return this == TIMED_OUT || this == BROKEN || this == CANCELLED;
        }
    }
}
