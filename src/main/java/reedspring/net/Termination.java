package reedspring.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Ends the process on SIGTERM. The signal handler neither blocks nor creates a thread; the main thread waits
 * for the front's graceful shutdown and then ends the process with the exit code. A shutdown hook would not
 * do: it needs threads of its own, and it would also run, and hide the exit code, when the front ends because
 * of a fault.
 */
final class Termination {
    static final int EXIT_OK = 0;
    static final int EXIT_SOFTWARE_FAULT = 70;
    /** Well past the longest graceful shutdown, and past the earliest SIGKILL. */
    private static final long SHUTDOWN_TIMEOUT_MS = 6_000;

    private final CountDownLatch requested = new CountDownLatch(1);
    private final CountDownLatch finished = new CountDownLatch(1);
    private Front front;
    private volatile int exitCode = EXIT_OK;

    /** Registers the front; from now on a request shuts it down gracefully. */
    synchronized void frontStarted(Front startedFront) {
        front = startedFront;
    }

    /**
     * Handles SIGTERM; only the first has an effect. Without a front no request has been accepted, and the
     * process ends at once.
     */
    synchronized void request() {
        if (front == null) {
            Runtime.getRuntime().halt(EXIT_OK);
        }
        if (requested.getCount() > 0) {
            Front leaving = front;
            leaving.loop().execute(() -> leaving.leave(finished::countDown));
            requested.countDown();
        }
    }

    boolean isRequested() {
        return requested.getCount() == 0;
    }

    /** Ends the process with an exit code, as the front can't go on. */
    void fail(int code) {
        exitCode = code;
        requested.countDown();
        finished.countDown();
    }

    /** Waits for the end of the front and returns the exit code. */
    int await() throws InterruptedException {
        requested.await();
        if (!finished.await(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            System.err.println("reedspring: shutdown timed out, the event loop is stuck");
            return EXIT_SOFTWARE_FAULT;
        }
        return exitCode;
    }
}
