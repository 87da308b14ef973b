package reedspring.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.core.policy.QueryLifecycle.SendFacts;
import reedspring.core.policy.QueryLifecycle.Verdict;
import reedspring.net.ClientConnection.Presence;
import reedspring.net.QueryHistory.Step;

/**
 * The submissions that are decided and have a connection; there is no other path to an engine. The loop may
 * have stalled since the decision, so the journal, the client and the connection are checked again right
 * before the write. A submission that may no longer be sent is reported as never run.
 */
final class SubmissionQueue {
    private final Front front;
    private final SubmissionRunner engines;
    private final ArrayDeque<Submission> waiting = new ArrayDeque<>();
    private boolean sendScheduled;

    SubmissionQueue(Front front, SubmissionRunner engines) {
        this.front = front;
        this.engines = engines;
    }

    /** Adds a submission whose connection is up; it is sent after this turn's reads. */
    void add(Submission s) {
        waiting.add(s);
        if (!sendScheduled) {
            sendScheduled = true;
            front.loop().execute(this::sendWaiting);
        }
    }

    /** Sends the waiting submissions, as many as a turn allows. An exception concerns one only. */
    private void sendWaiting() {
        List<Submission> postponed = new ArrayList<>();
        for (int sent = 0; sent < front.limits().submissionsPerTurn && !waiting.isEmpty(); sent++) {
            Submission s = waiting.poll();
            try {
                if (!sendIfAllIsRead(s)) {
                    postponed.add(s);
                }
            } catch (RuntimeException | Error e) {
                // Its own timeout ends it; the other submissions must still be sent.
                FatalErrors.logOrEndProcess(front.log(), "a submission failed", e);
            }
        }
        if (!waiting.isEmpty()) {
            front.recordBudgetMet(LoopBudget.SUBMISSIONS, waiting.size() + " left");
        }
        waiting.addAll(postponed);
        sendScheduled = !waiting.isEmpty();
        if (sendScheduled) {
            front.turns().runInNextTurn(this::sendWaiting);
        }
    }

    /**
     * Sends a submission, or ends it, once all that the journal and its client have sent by now is read: a
     * drain notice, a revoke or the end of the connection. Returns false if there is more to read than this
     * turn allows.
     */
    private boolean sendIfAllIsRead(Submission s) {
        if (!front.readJournal() && ++s.turnsBehindJournal < front.limits().maxTurnsBehindJournal) {
            // The engine's drain notice may be among the rest.
            return false;
        }
        Presence client = s.query.client == null || s.ended ? Presence.CONNECTED
                : s.query.client.readPresence();
        if (s.ended || s.connection == null) {
            return true;
        }
        if (client != Presence.UNKNOWN) {
            send(s, client == Presence.CONNECTED);
            return true;
        }
        if (++s.unfinishedLooks < front.limits().maxUnfinishedLooks) {
            return false;
        }
        front.counters().add(RequestRefusal.CLIENT_NEVER_READ);
        front.log().warn("query turned away, its client sends without a pause", s.query.trace);
        front.abandon(s.query, "the client sends too much");
        front.submissionEnded(s, Outcome.NOT_SENT);
        return true;
    }

    private void send(Submission s, boolean clientConnected) {
        if (!s.connection.checkOpen()) {
            // The engine closed the idle connection. Nothing was written, so use another connection.
            Id.Engine engine = new Id.Engine(s.connection.engine());
            s.connection.detach(s);
            engines.send(engine, s);
            return;
        }
        // Read the clock again: the checks above may have taken time.
        Verdict verdict = s.query.lifecycle.send(new SendFacts(front.clock().now(), s.timeoutAt,
                s.latestSendAt, clientConnected, s.connection.canSend()));
        if (!verdict.allowed()) {
            withhold(s, verdict);
        } else if (s.connection.write(s)) {
            s.query.history.add(Step.SENT, null, front.clock().now());
        } else {
            front.submissionEnded(s, Outcome.NOT_SENT);
        }
    }

    private void withhold(Submission s, Verdict verdict) {
        front.recordRefusal(verdict, s.query);
        s.query.history.add(Step.WITHHELD, verdict, front.clock().now());
        String trace = s.query.trace;
        switch (verdict) {
            case REPEAT_FORGOTTEN ->
                front.log().warn("submission withheld, its repeat would no longer be recognised", trace);
            case ENGINE_NOT_READY ->
                front.log().warn("submission withheld, engine no longer up", s.connection.engine());
            case DEADLINE_PASSED -> front.log().warn("submission withheld, its deadline has passed", trace);
            default -> {
                // Routine cases, such as a client that has left, are only counted.
            }
        }
        front.submissionEnded(s, verdict == Verdict.ENGINE_NOT_READY || verdict == Verdict.REPEAT_FORGOTTEN
                ? Outcome.WITHHELD : Outcome.NOT_SENT);
    }
}
