package reedspring.net;

/** Why a client connection was closed; the counts per reason are logged. */
enum CloseReason {
    /** The client closed it. */
    BY_CLIENT,
    /** It was reset, or the network failed. */
    LOST,
    /** The input is not valid MessagePack-RPC, or exceeds a limit. */
    BROKEN_FRAMING,
    /** The id or the trace of an open request was used again, so the requests can't be distinguished. */
    NUMBER_USED_TWICE,
    /** No valid request arrived in time. */
    NOTHING_OF_USE,
    /** A message stayed incomplete for too long. */
    UNFINISHED_MESSAGE,
    /** The client does not read its answers. */
    NOT_READING,
    /** It was not used for longer than the idle limit. */
    IDLE,
    /** It was closed to make room for another, or refused because there was no room. */
    NO_ROOM,
    /** The front is shutting down. */
    FRONT_ENDS,
    /** An internal error. */
    FAULT;

    /** Returns whether further input on the connection can't be understood. */
    boolean isInputUnusable() {
        return this == BROKEN_FRAMING || this == NUMBER_USED_TWICE || this == FAULT;
    }
}
