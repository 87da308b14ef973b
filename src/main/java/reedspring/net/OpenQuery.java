package reedspring.net;

import io.netty.buffer.ByteBuf;
import reedspring.api.Event;
import reedspring.api.Id;
import reedspring.core.policy.QueryLifecycle;

/** A query from its arrival until it is answered and nothing of it is out. */
final class OpenQuery {
    final Id.Query id;
    final long messageId;
    final ClientConnection client;
    final String trace;
    final long traceId;
    final String group;
    final ByteBuf statement;
    long leavesAt;
    Event.Taken taken;
    /** By which engines recognise a repeat, or null. Each submission bears it as the client sent it. */
    final String mark;
    /** Whether its client takes pages, and what the spool has to know of it then. */
    boolean paged;
    boolean repeatable;
    String tenant;
    int priority = -1;
    int submissions;
    Submission out;
    /** What may be done with it now. */
    final QueryLifecycle lifecycle;
    final QueryHistory history = new QueryHistory();
    Timers.Due end;
    /** For the log, where it is late: 0 where it did not come to that. */
    long takenAt;
    long firstSentAt;
    long heardAt;
    long decidedAt;
    /** How long what was decided on may have lain unread by then. */
    long behind;

    /** Retains the call's body, until it is forgotten. */
    OpenQuery(Id.Query id, RpcDecoder.Call call, ClientConnection client, QueryRequest request, long leavesAt,
              QueryLifecycle lifecycle) {
        this.id = id;
        this.messageId = call.id();
        this.client = client;
        this.trace = request.trace();
        this.traceId = request.traceId();
        this.group = call.method();
        this.statement = call.body().retain();
        this.mark = request.mark();
        this.leavesAt = leavesAt;
        this.lifecycle = lifecycle;
    }

    /** Whether it has its final answer, or its client has gone. */
    boolean answered() {
        return lifecycle.over();
    }
}
