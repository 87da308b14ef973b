package reedspring.core.policy;

import reedspring.api.Deployment.ResourceGroup;

/**
 * The state machine of one query from its arrival to its final answer, and the single place that decides
 * which operations are permitted. Callers ask before they start or send a submission or answer the query, and
 * proceed only if the verdict is {@link Verdict#ALLOWED}; the verdict is also the reason that is counted and
 * logged. A verdict that is a breach means that the caller was about to violate a rule: the front then does
 * not perform the operation, but counts and logs it.
 *
 * <p>Create one for each accepted query. Not thread-safe.
 */
public final class QueryLifecycle {
    /** Whether an operation is permitted, or why not. */
    public enum Verdict {
        ALLOWED(false),
        /** The query has its final answer, or its client has gone. */
        QUERY_OVER(false),
        /** The client has closed its connection or withdrawn the query. */
        CLIENT_GONE(false),
        /** The client no longer waits. */
        DEADLINE_PASSED(false),
        /** The engines that would recognise a repeat may have forgotten the first submission. */
        REPEAT_FORGOTTEN(false),
        /** The engine is draining, has gone, or is not the process that was chosen. */
        ENGINE_NOT_READY(false),
        /** Another submission of the query is outstanding. */
        ATTEMPT_OUT(true),
        ATTEMPTS_USED_UP(true),
        /** The query must not run twice and may have run. */
        UNSAFE_REPEAT(true),
        /** A retry by the client would not be safe. */
        UNSAFE_DEFERRAL(true),
        SECOND_ANSWER(true);

        private final boolean breach;

        Verdict(boolean breach) {
            this.breach = breach;
        }

        public boolean allowed() {
            return this == ALLOWED;
        }

        /** Whether it shows an error of the caller, which should have prevented this. */
        public boolean breach() {
            return breach;
        }
    }

    /** The kinds of final answer. */
    public enum Answer {
        /** All rows of the result. */
        SERVED,
        /** Not served; a retry is safe. */
        DEFERRED,
        /** Not served; a retry may not be safe. */
        FAILED
    }

    /**
     * The facts known immediately before a submission is written to its engine.
     *
     * @param deadline until when the client waits
     * @param lastStart the latest time at which it may start, as engines forget repeats afterwards
     * @param clientPresent whether the client is still connected and has not withdrawn the query
     * @param engineReady whether the engine accepts work according to the latest information
     */
    public record SendFacts(long now, long deadline, long lastStart, boolean clientPresent,
            boolean engineReady) {
    }

    private enum SubmissionState { NONE, DECIDED, SENT }

    private final ResourceGroup group;
    private final int maxSubmissions;
    private SubmissionState submission = SubmissionState.NONE;
    private int submissions;
    private boolean mayHaveRun;
    private boolean over;

    /** @param maxSubmissions how many submissions of a query the deployment allows */
    public QueryLifecycle(ResourceGroup group, int maxSubmissions) {
        this.group = group;
        this.maxSubmissions = maxSubmissions;
    }

    /** Starts another submission if permitted; it is then outstanding until {@link #submissionEnded}. */
    public Verdict startSubmission() {
        if (submission != SubmissionState.NONE) {
            return Verdict.ATTEMPT_OUT;
        }
        if (over) {
            return Verdict.QUERY_OVER;
        }
        if (submissions >= maxSubmissions) {
            return Verdict.ATTEMPTS_USED_UP;
        }
        if (!RepeatPolicy.mayRunAgain(group, mayHaveRun)) {
            return Verdict.UNSAFE_REPEAT;
        }
        submission = SubmissionState.DECIDED;
        submissions++;
        return Verdict.ALLOWED;
    }

    /** Whether the started submission may be sent now; if so, it may run from now on. */
    public Verdict send(SendFacts facts) {
        if (over) {
            return Verdict.QUERY_OVER;
        }
        if (!facts.clientPresent()) {
            return Verdict.CLIENT_GONE;
        }
        if (facts.now() >= facts.deadline()) {
            return Verdict.DEADLINE_PASSED;
        }
        if (facts.now() > facts.lastStart()) {
            return Verdict.REPEAT_FORGOTTEN;
        }
        if (!facts.engineReady()) {
            return Verdict.ENGINE_NOT_READY;
        }
        submission = SubmissionState.SENT;
        return Verdict.ALLOWED;
    }

    /** @param neverRan whether its outcome proves that the engine did not start it */
    public void submissionEnded(boolean neverRan) {
        mayHaveRun |= submission == SubmissionState.SENT && !neverRan;
        submission = SubmissionState.NONE;
    }

    /** Whether this may be the final answer; if so, the query is over. */
    public Verdict answer(Answer answer) {
        if (over) {
            return Verdict.SECOND_ANSWER;
        }
        if (answer == Answer.DEFERRED && !RepeatPolicy.mayDefer(group, mayHaveRunSoFar())) {
            return Verdict.UNSAFE_DEFERRAL;
        }
        over = true;
        return Verdict.ALLOWED;
    }

    /** The final answer if the query is abandoned now. */
    public Answer answerIfGivenUp() {
        return RepeatPolicy.mayDefer(group, mayHaveRunSoFar()) ? Answer.DEFERRED : Answer.FAILED;
    }

    /** The client has gone, so no answer is due. */
    public void clientLeft() {
        over = true;
    }

    /** Whether it has its final answer or its client has gone. */
    public boolean over() {
        return over;
    }

    private boolean mayHaveRunSoFar() {
        return mayHaveRun || submission == SubmissionState.SENT;
    }
}
