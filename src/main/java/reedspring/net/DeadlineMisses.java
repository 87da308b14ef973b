package reedspring.net;

import java.util.Locale;

/**
 * Tells of each query whose answer left after its time, or never, how it went from its arrival to its end:
 * times alone, as only those show what held it up. Some are named in a span, the rest are counted.
 */
final class DeadlineMisses {
    private final Limits limits;
    private final Clock clock;
    private final Timers timers;
    private final Log log;
    private long spanEnd;
    private int named;

    DeadlineMisses(Limits limits, Clock clock, Timers timers, Log log) {
        this.limits = limits;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
    }

    /** Its answer is about to be written. */
    void decided(OpenQuery q) {
        q.decidedAt = clock.now();
        q.behind = q.decidedAt - timers.earliestArrival();
    }

    /** The system has taken the last byte of its answer. */
    void written(OpenQuery q) {
        long now = clock.now();
        if (late(q, now)) {
            tell("answer late", q, now);
        }
    }

    /** What was to be written can't be any more. */
    void dropped(OpenQuery q, boolean endedHere) {
        long now = clock.now();
        if (endedHere) {
            tell("answer dropped, the front ended its connection", q, now);
        } else if (late(q, now)) {
            // Its client's end was read before the alarm that decided, and is heard of only after that turn.
            tell("query unanswered past its time, its client has gone", q, now);
        } else {
            // Its client has gone, as many do.
            log.line("answer dropped, its connection had gone", q.trace);
        }
    }

    /** Nobody waits for it any more, and it has no answer. */
    void unanswered(OpenQuery q, boolean endedHere) {
        long now = clock.now();
        q.behind = now - timers.earliestArrival();
        if (endedHere) {
            tell("query unanswered, the front ended its connection", q, now);
        } else if (late(q, now)) {
            tell("query unanswered past its time, its client has gone", q, now);
        } else if (q.out != null && q.out.written
                && q.out.sentAt - (now - q.behind) > limits.sentToGone * 10L) {
            // Its end may have come before the submission went out, unseen.
            tell("submission perhaps begun after its client had gone", q, now);
        }
    }

    private boolean late(OpenQuery q, long now) {
        return now - q.leavesAt > limits.lateAnswer * 10L;
    }

    /** Of a kind of its own, so that each is told; in a span only so many, as a long stop makes many late. */
    private void tell(String event, OpenQuery q, long now) {
        if (now >= spanEnd) {
            spanEnd = now + limits.logEvery * 10L;
            named = 0;
        }
        if (named++ >= limits.missesNamed) {
            log.line(event + ", not named", "");
            return;
        }
        log.remark(event, String.format(Locale.ROOT, "%s: %s by %d ms; of %d ms: sent %s, heard %s, "
                        + "decided %s, ended %d; %d submissions, loop behind %d ms; %s", event, q.trace,
                (now - q.leavesAt) / 10, (q.leavesAt - q.takenAt) / 10, since(q, q.firstSentAt),
                since(q, q.heardAt), since(q, q.decidedAt), (now - q.takenAt) / 10, q.submissions,
                q.behind / 10, q.history.text()));
    }

    private static String since(OpenQuery q, long at) {
        return at == 0 ? "never" : Long.toString((at - q.takenAt) / 10);
    }
}
