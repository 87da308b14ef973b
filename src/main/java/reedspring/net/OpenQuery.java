package reedspring.net;

import io.netty.buffer.ByteBuf;
import reedspring.api.Event;
import reedspring.api.Id;
import reedspring.core.policy.QueryLifecycle;

/** A query, held from its arrival until it is answered and no submission of it is running. */
final class OpenQuery {
    final Id.Query id;
    final long messageId;
    final ClientConnection client;
    final String trace;
    final long traceId;
    final String group;
    final ByteBuf statement;
    /** By when it must be answered: when its client stops waiting, or earlier during a shutdown. */
    long deadline;
    /** The event that starts its decisions. */
    Event.Taken takenEvent;
    /** The client's token by which engines recognise a repeat, or null; each submission carries it. */
    final String repeatToken;
    /** Whether its client takes the answer in pages; the two fields below are set for the spool only then. */
    boolean wantsPages;
    boolean repeatable;
    String tenant;
    int priority = -1;
    int submissionCount;
    /** The running submission, or null. */
    Submission submission;
    /** Checks which steps the query's state allows. */
    final QueryLifecycle lifecycle;
    final QueryHistory history = new QueryHistory();
    Timers.Timer expiryTimer;
    /** Times for the log line of a late answer; 0 if the step was not reached. */
    long arrivedAt;
    long firstSentAt;
    long firstReplyAt;
    long answerDecidedAt;
    /** How long input may have waited unread when the answer was decided. */
    long loopDelay;

    /** Retains the request's body, until {@link Front} releases the query. */
    OpenQuery(Id.Query id, RpcDecoder.Request request, ClientConnection client, QueryRequest queryRequest,
              long deadline, QueryLifecycle lifecycle) {
        this.id = id;
        this.messageId = request.id();
        this.client = client;
        this.trace = queryRequest.trace();
        this.traceId = queryRequest.traceId();
        this.group = request.method();
        this.statement = request.body().retain();
        this.repeatToken = queryRequest.repeatToken();
        this.deadline = deadline;
        this.lifecycle = lifecycle;
    }

    /** Returns whether the final answer is given or the client has left. */
    boolean answered() {
        return lifecycle.over();
    }
}
