package reedspring.net;

import java.util.Locale;

/**
 * Logs each query whose answer was sent after its deadline, or never, with the times of its steps, which show
 * what delayed it. A bounded number is logged per interval; the rest are counted.
 */
final class DeadlineMisses {
    private final Limits limits;
    private final Clock clock;
    private final Timers timers;
    private final Log log;
    private long intervalEndsAt;
    private int loggedInInterval;

    DeadlineMisses(Limits limits, Clock clock, Timers timers, Log log) {
        this.limits = limits;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
    }

    /** Records that the answer of a query is about to be written. */
    void answerDecided(OpenQuery q) {
        q.answerDecidedAt = clock.now();
        q.loopDelay = q.answerDecidedAt - timers.earliestArrival();
    }

    /** Checks a query whose last byte the kernel has accepted. */
    void answerWritten(OpenQuery q) {
        long now = clock.now();
        if (isLate(q, now)) {
            report("answer late", q, now);
        }
    }

    /** Reports an answer that could not be written. */
    void answerDropped(OpenQuery q, boolean closedByFront) {
        long now = clock.now();
        if (closedByFront) {
            report("answer dropped, the front ended its connection", q, now);
        } else if (isLate(q, now)) {
            // The close was read before the timer that decided the answer ran, but Netty reports it later.
            report("query unanswered past its time, its client has gone", q, now);
        } else {
            // The client left in time, which is routine.
            log.warn("answer dropped, its connection had gone", q.trace);
        }
    }

    /** Checks a query that ended unanswered because its connection closed or its client revoked it. */
    void queryUnanswered(OpenQuery q, boolean closedByFront) {
        long now = clock.now();
        q.loopDelay = now - timers.earliestArrival();
        if (closedByFront) {
            report("query unanswered, the front ended its connection", q, now);
        } else if (isLate(q, now)) {
            report("query unanswered past its time, its client has gone", q, now);
        } else if (q.submission != null && q.submission.written
                && q.submission.sentAt - (now - q.loopDelay) > limits.sentAfterDisconnectMs * 10L) {
            // The client may have left, unnoticed, before the submission was sent.
            report("submission may have begun after its client left", q, now);
        }
    }

    private boolean isLate(OpenQuery q, long now) {
        return now - q.deadline > limits.lateAnswerMs * 10L;
    }

    /** Logs a query in a line of its own, up to a limit per interval, as a long stall makes many late. */
    private void report(String event, OpenQuery q, long now) {
        if (now >= intervalEndsAt) {
            intervalEndsAt = now + limits.logIntervalMs * 10L;
            loggedInInterval = 0;
        }
        if (loggedInInterval++ >= limits.maxLoggedMisses) {
            log.warn(event + ", details omitted", "");
            return;
        }
        log.warnText(event, String.format(Locale.ROOT, "%s: %s by %d ms; of %d ms: sent %s, heard %s, "
                        + "decided %s, ended %d; %d submissions, loop behind %d ms; %s", event, q.trace,
                (now - q.deadline) / 10, (q.deadline - q.arrivedAt) / 10,
                millisSinceArrival(q, q.firstSentAt), millisSinceArrival(q, q.firstReplyAt),
                millisSinceArrival(q, q.answerDecidedAt), (now - q.arrivedAt) / 10, q.submissionCount,
                q.loopDelay / 10, q.history.describe()));
    }

    private static String millisSinceArrival(OpenQuery q, long time) {
        return time == 0 ? "never" : Long.toString((time - q.arrivedAt) / 10);
    }
}
