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
    final String group;
    final ByteBuf statement;
    long leavesAt;
    Event.Taken taken;
    /** By which engines recognise a repeat, or null. Each submission bears it as the client sent it. */
    String mark;
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

    OpenQuery(Id.Query id, long messageId, ClientConnection client, String trace, String group,
              ByteBuf statement, long leavesAt, QueryLifecycle lifecycle) {
        this.id = id;
        this.messageId = messageId;
        this.client = client;
        this.trace = trace;
        this.group = group;
        this.statement = statement;
        this.leavesAt = leavesAt;
        this.lifecycle = lifecycle;
    }

    /** Whether it has its final answer, or its client has gone. */
    boolean answered() {
        return lifecycle.over();
    }
}
