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
    NO_ROOM,
    /** Its client sends without a pause, so that the front could not tell whether it is still there. */
    CLIENT_NEVER_READ
}
