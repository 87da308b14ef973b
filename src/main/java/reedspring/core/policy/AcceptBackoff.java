package reedspring.core.policy;

/**
 * How long a listener rests after an accept that failed. A failure that concerns one connection costs
 * nothing; one for lack of something is tried again within milliseconds, and less often while it goes on
 * failing, so that the event loop does not spin on a queue that it can't empty. Times are whole tenths of a
 * millisecond.
 */
public final class AcceptBackoff {
    /** What an accept failed for. */
    public enum Cause {
        /** The connection itself: it was gone before it was accepted, or the network failed under it. */
        CONNECTION,
        /** No memory or buffers in the kernel, which is mostly over at once. */
        MEMORY,
        /** No descriptors in the process or on the machine, which lasts until something is closed. */
        DESCRIPTORS,
        OTHER
    }

    private static final long TICKS_PER_MS = 10;
    private static final long MIN_DELAY_TICKS = TICKS_PER_MS;
    /** No client notices more, and a failing call every 20 ms costs no more than the timers do. */
    private static final long MAX_DELAY_TICKS = 20 * TICKS_PER_MS;
    /** Descriptors come back one by one as connections end; a look every 50 ms meets each soon enough. */
    private static final long MAX_DESCRIPTOR_DELAY_TICKS = 50 * TICKS_PER_MS;

    private long delay;

    /** An accept has failed; the time to rest before the next, 0 to go on at once. */
    public long failed(Cause cause) {
        if (cause == Cause.CONNECTION) {
            return 0;
        }
        long maxDelay = cause == Cause.DESCRIPTORS ? MAX_DESCRIPTOR_DELAY_TICKS : MAX_DELAY_TICKS;
        delay = Math.min(maxDelay, Math.max(MIN_DELAY_TICKS, 2 * delay));
        return delay;
    }

    public void succeeded() {
        delay = 0;
    }
}
