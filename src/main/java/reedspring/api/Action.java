package reedspring.api;

/** What a front asks for. Times and spans are whole tenths of a millisecond. */
public sealed interface Action {
    /**
     * {@code timeout} 0: until the client leaves. Past {@code departBy} it must not begin any more, whatever
     * held it up on its way out: {@code Long.MAX_VALUE} where nothing but the timeout bounds that.
     */
    record Submit(Id.Query query, Id.Engine engine, long timeout, long departBy) implements Action {
    }

    /** Holds for later submissions and, at once, for those that are out; 0 to 3, 1 is usual. */
    record SetPriority(Id.Query query, int priority) implements Action {
    }

    record Cancel(Id.Query query, Id.Submission submission) implements Action {
    }

    /** Final: a retry is safe. {@code comeBack} 0: no time is named. */
    record Defer(Id.Query query, long comeBack) implements Action {
    }

    /** Final, with no promise. */
    record Kill(Id.Query query) implements Action {
    }

    record WakeMe(Id.Timer timer, long span) implements Action {
    }

    /** Asks discovery for changes from now on. */
    record FollowEngines() implements Action {
    }

    record Remark(String text) implements Action {
    }
}
