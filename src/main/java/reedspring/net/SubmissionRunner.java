package reedspring.net;

import java.util.List;
import reedspring.api.Event;
import reedspring.api.Id;

/** Runs the front's submissions. Called on the event loop only. */
interface SubmissionRunner {
    /** Passes on the current list of engines, before the decision logic gets it. */
    void enginesListed(Event.ListKind listKind, List<Host> hosts);

    /** Runs the submission on the engine; its outcome is reported to {@link Front#submissionEnded}. */
    void send(Id.Engine engine, Submission s);

    /** Called every {@link Limits#tickMs}. */
    void tick(long now);
}
