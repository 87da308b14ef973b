package reedspring.net;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Reloads the configuration on SIGHUP, on one thread that is created at start. However many signals arrive,
 * one reload runs and at most one more is pending: the JVM may deliver each signal on a new thread, and none
 * of those may block here.
 */
final class Reloads {
    /** About six seconds in all with the delays below. */
    private static final int MAX_ATTEMPTS = 10;
    private static final long FIRST_DELAY_MS = 100;
    private static final long MAX_DELAY_MS = 800;

    private BooleanSupplier reload;
    private boolean requested;
    private Runnable lastAction;
    private boolean lastActionDone;

    /**
     * Starts the reload thread.
     *
     * @throws OutOfMemoryError if no thread can be created
     */
    void start() {
        Thread thread = new Thread(this::run, "reload");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Handles SIGHUP. A request before the front is up is kept until {@link #enable}, as the start may have
     * read the file before it changed.
     */
    synchronized void request() {
        requested = true;
        notifyAll();
    }

    /**
     * Enables reloads once the front is up.
     *
     * @param reloadAction reloads the file and returns whether it was usable
     */
    synchronized void enable(BooleanSupplier reloadAction) {
        reload = reloadAction;
        notifyAll();
    }

    /**
     * Runs a last action on the reload thread, after a running reload and with no reload after it. Waits for
     * it to complete, up to a timeout.
     */
    synchronized void finish(Runnable action, long waitMs) throws InterruptedException {
        lastAction = action;
        notifyAll();
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        for (long remainingMs = waitMs; !lastActionDone && remainingMs > 0;
                remainingMs = millisUntil(deadlineNanos)) {
            wait(remainingMs);
        }
    }

    private static long millisUntil(long deadlineNanos) {
        return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
    }

    private void run() {
        try {
            while (awaitRequest()) {
                reloadWithRetries();
            }
            lastAction.run();
            synchronized (this) {
                lastActionDone = true;
                notifyAll();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for a pending request and takes it; returns false once the thread has to finish. */
    private synchronized boolean awaitRequest() throws InterruptedException {
        while (lastAction == null && !(requested && reload != null)) {
            wait();
        }
        requested = false;
        return lastAction == null;
    }

    /** Retries while the file is missing or half written: no further signal may announce its completion. */
    private void reloadWithRetries() throws InterruptedException {
        long delayMs = FIRST_DELAY_MS;
        for (int attempts = 1; !tryReload() && attempts < MAX_ATTEMPTS && !finishing(); attempts++) {
            if (pause(delayMs)) {
                attempts = 0;
                delayMs = FIRST_DELAY_MS;
            } else {
                delayMs = Math.min(MAX_DELAY_MS, 2 * delayMs);
            }
        }
    }

    private synchronized boolean finishing() {
        return lastAction != null;
    }

    private boolean tryReload() {
        try {
            return reload.getAsBoolean();
        } catch (RuntimeException | Error e) {
            // Treated like an unreadable file: the thread has to survive for later signals.
            return false;
        }
    }

    /**
     * Waits for the whole delay unless the thread has to finish. Signals don't shorten it, so that they can't
     * raise the rate of reads.
     *
     * @return whether another reload has been requested meanwhile
     */
    private synchronized boolean pause(long delayMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMs);
        for (long remainingMs = delayMs; lastAction == null && remainingMs > 0;
                remainingMs = millisUntil(deadlineNanos)) {
            wait(remainingMs);
        }
        boolean requestedAgain = requested;
        requested = false;
        return requestedAgain;
    }
}
