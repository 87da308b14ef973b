package reedspring.net;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The end of the process, asked for by SIGTERM. What a signal's thread does here takes no time and makes no
 * thread; the main thread, which stands from the start, waits for the front to leave and ends the process
 * with the exit code. It is no shutdown hook: that would need threads of its own, and would also run, and
 * hide the exit code, where the front ends for a fault.
 */
final class Termination {
    static final int ENDED = 0;
    static final int SOFTWARE_FAULT = 70;
    /** Well past the moment by which a front has left, and past the earliest SIGKILL. */
    private static final long STUCK_AFTER_MS = 6_000;

    private final CountDownLatch requested = new CountDownLatch(1);
    private final CountDownLatch over = new CountDownLatch(1);
    private Front front;
    private volatile int exitCode = ENDED;

    /** There is a front, which has to leave in order from now on. */
    synchronized void raised(Front made) {
        front = made;
    }

    /**
     * SIGTERM. The first counts. Before there is a front, nothing has been taken, and the process ends at
     * once.
     */
    synchronized void request() {
        if (front == null) {
            Runtime.getRuntime().halt(ENDED);
        }
        if (requested.getCount() > 0) {
            Front leaving = front;
            leaving.loop().execute(() -> leaving.leave(over::countDown));
            requested.countDown();
        }
    }

    boolean isRequested() {
        return requested.getCount() == 0;
    }

    /** The front can't go on. */
    void fails(int code) {
        exitCode = code;
        requested.countDown();
        over.countDown();
    }

    /** Waits for the end, and returns the exit code. */
    int await() throws InterruptedException {
        requested.await();
        if (!over.await(STUCK_AFTER_MS, TimeUnit.MILLISECONDS)) {
            System.err.println("reedspring: the end did not come, the event loop is stuck");
            return SOFTWARE_FAULT;
        }
        return exitCode;
    }
}
