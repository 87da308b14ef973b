package reedspring.adapter;

/** The input violates the simulator's protocol; the message names the line and the field. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(long line, String reason) {
        super("line " + line + ": " + reason);
    }
}
