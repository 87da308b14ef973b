package reedspring.net;

import java.util.List;
import reedspring.api.Event;
import reedspring.api.Id;

/** What the front asks of whoever runs its submissions. On the loop only. */
interface SubmissionRunner {
    /** The engines as they are listed now, ahead of the decisions' own hearing of it. */
    void listed(Event.Reading reading, List<Host> hosts);

    /** Runs it there; its end is told by {@link Front#closed}. */
    void send(Id.Engine engine, Submission s);

    /** Comes every {@link Limits#tick}. */
    void tick(long now);
}
