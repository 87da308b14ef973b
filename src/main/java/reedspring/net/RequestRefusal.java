package reedspring.net;

/** Why a request was refused; the counts per reason are logged. */
enum RequestRefusal {
    /** A field is missing or invalid. */
    UNUSABLE,
    /** A query with the same trace is open. */
    TRACE_OPEN,
    /** The trace was used by an earlier query. */
    TRACE_REPEATED,
    /** A limit on queries or memory is reached. */
    NO_ROOM
}
