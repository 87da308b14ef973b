package reedspring.api;

/** A request of the scheduler to its front. Times and spans are in ticks: whole tenths of a millisecond. */
public sealed interface Action {
    /**
     * Sends a query to an engine.
     *
     * @param timeout 0 to wait until the client's deadline
     * @param latestSendAt the latest time at which it may be sent, whatever delays it; {@code Long.MAX_VALUE}
     *         if only the timeout limits it
     */
    record Submit(Id.Query query, Id.Engine engine, long timeout, long latestSendAt) implements Action {
    }

    /** Sets the priority of the query's current and later submissions: 0 to 3, by default 1. */
    record SetPriority(Id.Query query, int priority) implements Action {
    }

    record Cancel(Id.Query query, Id.Submission submission) implements Action {
    }

    /** A final answer: not served, a retry is safe after {@code retryAfter}; 0 to name no time. */
    record Defer(Id.Query query, long retryAfter) implements Action {
    }

    /** A final answer: not served, and a retry may not be safe. */
    record Kill(Id.Query query) implements Action {
    }

    /** Starts a timer that ends with {@link Event.Woken}. */
    record StartTimer(Id.Timer timer, long delay) implements Action {
    }

    /** Subscribes to the engine list of discovery. */
    record SubscribeToEngines() implements Action {
    }

    /** Logs a message for operators. */
    record LogMessage(String text) implements Action {
    }
}
