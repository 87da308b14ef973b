package reedspring.net;

/** What was wrong with a socket and could be mended; counted, and told with the counts in the log. */
enum SocketFault {
    /** The selector did not know it, or not what was waited for there. */
    NOT_REGISTERED
}
