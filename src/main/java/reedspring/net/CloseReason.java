package reedspring.net;

/** Why a connection of a client ended. */
enum CloseReason {
    /** Its client closed it. */
    BY_CLIENT,
    /** It was reset, or the network failed under it. */
    LOST,
    BROKEN_FRAMING,
    /** Two requests that can't be told apart. */
    NUMBER_USED_TWICE,
    /** It sent nothing that could be used for too long. */
    NOTHING_OF_USE,
    /** A message began and did not end. */
    UNFINISHED_MESSAGE,
    /** Its client takes nothing of what is sent to it. */
    NOT_READING,
    IDLE,
    /** It made room for another, or there was none for it. */
    NO_ROOM,
    /** The front ends. */
    FRONT_ENDS,
    /** A fault of the program's own. */
    FAULT
}
