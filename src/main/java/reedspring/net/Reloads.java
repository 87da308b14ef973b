package reedspring.net;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Reads the configuration again when SIGHUP asks for it, on one thread that stands from the start. However
 * many signals come, one reload runs and at most one more is wanted: the JVM brings each signal on a new
 * thread, and none of those waits here.
 */
final class Reloads {
    /** Six seconds in all. */
    private static final int TRIES = 10;
    private static final long FIRST_REST_MS = 100;
    private static final long LONGEST_REST_MS = 800;

    private BooleanSupplier reload;
    private boolean wanted;
    private Runnable last;
    private boolean lastDone;

    /**
     * Starts the thread.
     *
     * @throws OutOfMemoryError if there is no thread to be had
     */
    void start() {
        Thread thread = new Thread(this::run, "reload");
        thread.setDaemon(true);
        thread.start();
    }

    /** SIGHUP. One that comes before the front is up is made up for: the file may have been read before. */
    synchronized void request() {
        wanted = true;
        notifyAll();
    }

    /** From now on there is a front; {@code how} returns whether the file could be used. */
    synchronized void by(BooleanSupplier how) {
        reload = how;
        notifyAll();
    }

    /**
     * Runs {@code what} on the same thread, once a reload that is running has ended, and no reload after it.
     * Waits for its end for so long at the most.
     */
    synchronized void finish(Runnable what, long waitMs) throws InterruptedException {
        last = what;
        notifyAll();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        for (long left = waitMs; !lastDone && left > 0; left = millisTo(until)) {
            wait(left);
        }
    }

    private static long millisTo(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime());
    }

    private void run() {
        try {
            while (awaitRequest()) {
                reloadUntilRead();
            }
            last.run();
            synchronized (this) {
                lastDone = true;
                notifyAll();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the request; false once the thread has to finish. */
    private synchronized boolean awaitRequest() throws InterruptedException {
        while (last == null && !(wanted && reload != null)) {
            wait();
        }
        wanted = false;
        return last == null;
    }

    /** A file that is away or half written for a moment is read again: no further signal may come for it. */
    private void reloadUntilRead() throws InterruptedException {
        long rest = FIRST_REST_MS;
        for (int tries = 1; !succeeds() && tries < TRIES && !finishing(); tries++) {
            if (rests(rest)) {
                tries = 0;
                rest = FIRST_REST_MS;
            } else {
                rest = Math.min(LONGEST_REST_MS, 2 * rest);
            }
        }
    }

    private synchronized boolean finishing() {
        return last != null;
    }

    private boolean succeeds() {
        try {
            return reload.getAsBoolean();
        } catch (RuntimeException | Error e) {
            // As one that could not be read: the thread has to stand for the signals that come later.
            return false;
        }
    }

    /** Rests for all of that time; signals shorten nothing, so that their number bounds nothing. */
    private synchronized boolean rests(long ms) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        for (long left = ms; last == null && left > 0; left = millisTo(until)) {
            wait(left);
        }
        boolean askedAgain = wanted;
        wanted = false;
        return askedAgain;
    }
}
