package reedspring.net;

/** What is bounded in one turn of the event loop; each is counted, and logged, when its limit is reached. */
enum LoopBudget {
    /** Connections that are accepted. */
    ACCEPTS("accepts bounded"),
    /** Input of one client connection. */
    CLIENT_READS("reads of a client bounded"),
    /** Input of one engine connection. */
    ENGINE_READS("reads of an engine bounded"),
    /** Input of one connection to the journal service. */
    JOURNAL_READS("reads of the journal bounded"),
    /** Submissions that are written to engines. */
    SUBMISSIONS("submissions of a turn bounded");

    private final String event;

    LoopBudget(String event) {
        this.event = event;
    }

    /** Returns the log's text for it. */
    String event() {
        return event;
    }
}
