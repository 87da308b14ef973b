package reedspring.net;

import io.netty.util.internal.OutOfDirectMemoryError;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Ends the process when it can't be relied on to serve any more: after an {@link OutOfMemoryError} of the
 * heap or another error of the virtual machine, when collecting a full heap takes most of the time, and when
 * a thread that serving depends on has ended. A process that is up and answers nothing is worse than one that
 * is started again. Needs as little memory as possible and must not throw.
 */
final class FatalErrors {
    static final int EXIT_FATAL_ERROR = 71;
    private static final byte[] NOT_DESCRIBED =
            "reedspring: fatal error, too little memory to describe it\n".getBytes(StandardCharsets.UTF_8);

    private FatalErrors() {
    }

    /**
     * Whether the process has to end, wherever the error was thrown. Not for a lack of direct memory, which
     * has a limit of its own: what needed it fails alone. Nor for a stack overflow, which leaves the heap
     * intact.
     */
    static boolean isFatal(Throwable error) {
        return error instanceof VirtualMachineError && !(error instanceof StackOverflowError)
                && !(error instanceof OutOfDirectMemoryError);
    }

    /** Ends the process if the error is fatal. */
    static void endProcessIfFatal(String where, Throwable error) {
        if (isFatal(error)) {
            endProcess(where, error);
        }
    }

    /** Ends the process if the error is fatal, else logs it. */
    static void logOrEndProcess(Log log, String event, Throwable error) {
        endProcessIfFatal(event, error);
        log.error(event, error);
    }

    /** Ends the process because garbage collection leaves too little time to serve. */
    static void endProcessForCollection(int percent) {
        endProcess("event loop", new OutOfMemoryError("garbage collection takes " + percent
                + " % of the time"));
    }

    /** Writes the cause to standard error and ends the process, without shutdown hooks. */
    static void endProcess(String where, Throwable error) {
        try {
            writeCause(where, error);
        } catch (IOException | RuntimeException | Error e) {
            // the exit code has to do
        } finally {
            Runtime.getRuntime().halt(EXIT_FATAL_ERROR);
        }
    }

    private static void writeCause(String where, Throwable error) throws IOException {
        // The process ends, so the stream is not closed: that would close standard error.
        FileOutputStream standardError = new FileOutputStream(FileDescriptor.err);
        byte[] message = NOT_DESCRIBED;
        try {
            message = ("reedspring: fatal error, " + where + ": " + error + "\n")
                    .getBytes(StandardCharsets.UTF_8);
        } catch (OutOfMemoryError e) {
            // NOT_DESCRIBED is written
        }
        standardError.write(message);
    }
}
