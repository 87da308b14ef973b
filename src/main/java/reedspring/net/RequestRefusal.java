package reedspring.net;

/** Why a request was not taken; counted, and told with the counts in the log. */
enum RequestRefusal {
    /** A field is missing, or says nothing that can be used. */
    UNUSABLE,
    /** A query with its trace is open. */
    TRACE_OPEN,
    /** A query with its trace was taken before and is over. */
    TRACE_REPEATED,
    /** The front holds as much as it may. */
    NO_ROOM
}
