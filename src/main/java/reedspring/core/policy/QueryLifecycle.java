package reedspring.core.policy;

import reedspring.api.Deployment.ResourceGroup;

/**
 * One query's way from its arrival to its final answer, and the one place that says what may be done with it
 * now. Whoever is about to start, send or answer something asks here first and does it only if the verdict is
 * {@link Verdict#ALLOWED}; the verdict is also the reason that is counted and logged. A verdict that is a
 * breach means that its caller was about to break a rule: the front does not do it, counts it and tells of
 * it.
 *
 * <p>Make one for each query that is taken. Not for use by several threads.
 */
public final class QueryLifecycle {
    /** Whether something may be done, or why not. */
    public enum Verdict {
        ALLOWED(false),
        /** The query has its final answer, or its client has gone. */
        QUERY_OVER(false),
        /** Its client has closed its connection or taken the query back. */
        CLIENT_GONE(false),
        /** Its client waits no longer. */
        DEADLINE_PASSED(false),
        /** The engines that would recognise the repeat forget the first attempt by then. */
        REPEAT_FORGOTTEN(false),
        /** The engine drains, has gone, or is another process than the one that was chosen. */
        ENGINE_NOT_READY(false),
        /** Two attempts would be out at once. */
        ATTEMPT_OUT(true),
        ATTEMPTS_USED_UP(true),
        /** What must not run twice may have run. */
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

        /** Whether a caller that heeds the rules never gets it. */
        public boolean breach() {
            return breach;
        }
    }

    /** A final answer. */
    public enum Answer {
        /** All rows of the result. */
        SERVED,
        /** Refused; a retry is safe. */
        DEFERRED,
        /** Failed; nothing is promised. */
        FAILED
    }

    /**
     * What is known when an attempt's bytes are about to leave.
     *
     * @param deadline until when its client waits
     * @param lastStart the last moment at which it may begin, as its repeats are forgotten later
     * @param clientThere whether the client's connection and the query still stand, by a look just now
     * @param engineReady whether the engine still takes work, by the news as of now
     */
    public record SendFacts(long now, long deadline, long lastStart, boolean clientThere,
            boolean engineReady) {
    }

    private enum SubmissionState { NONE, DECIDED, SENT }

    private final ResourceGroup group;
    private final int maxSubmissions;
    private SubmissionState submission = SubmissionState.NONE;
    private int submissions;
    private boolean mayHaveRun;
    private boolean over;

    /** @param mostAttempts how many attempts the deployment allows a query */
    public QueryLifecycle(ResourceGroup group, int maxSubmissions) {
        this.group = group;
        this.maxSubmissions = maxSubmissions;
    }

    /** Whether another attempt may be made; if so it is out from now on, until {@link #attemptEnded}. */
    public Verdict startAttempt() {
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

    /** Whether the bytes of the attempt that was started may leave now; if so it may run from now on. */
    public Verdict send(SendFacts facts) {
        if (over) {
            return Verdict.QUERY_OVER;
        }
        if (!facts.clientThere()) {
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

    /** @param neverRan whether its end proves that the engine did not begin it */
    public void attemptEnded(boolean neverRan) {
        mayHaveRun |= submission == SubmissionState.SENT && !neverRan;
        submission = SubmissionState.NONE;
    }

    /** Whether this may be the final answer; if so the query is over. */
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

    /** The answer that a query gets which has to be given up now. */
    public Answer answerIfGivenUp() {
        return RepeatPolicy.mayDefer(group, mayHaveRunSoFar()) ? Answer.DEFERRED : Answer.FAILED;
    }

    /** Its client has gone: nothing is owed any more. */
    public void clientLeft() {
        over = true;
    }

    /** Whether it has its final answer, or nobody waits for one. */
    public boolean over() {
        return over;
    }

    private boolean mayHaveRunSoFar() {
        return mayHaveRun || submission == SubmissionState.SENT;
    }
}
