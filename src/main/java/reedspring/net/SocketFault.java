package reedspring.net;

/** Faults of sockets that the front detects and repairs; counted, and logged with the other counts. */
enum SocketFault {
    /** The socket was missing from the selector, or registered without the awaited operation. */
    NOT_REGISTERED
}
