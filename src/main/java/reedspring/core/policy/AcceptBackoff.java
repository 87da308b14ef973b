package reedspring.core.policy;

/**
 * The delay after a failed accept. A failure that concerns a single connection causes no delay. After a
 * failure for lack of resources the listener retries within milliseconds, with exponential backoff, so that
 * the event loop does not spin on a backlog that it can't drain. Times are in ticks: whole tenths of a
 * millisecond.
 */
public final class AcceptBackoff {
    /** Why an accept failed. */
    public enum Cause {
        /** The connection was aborted before it was accepted, or its network failed. */
        CONNECTION,
        /** The kernel is out of memory or buffers, usually only for a moment. */
        MEMORY,
        /** The process or the machine is out of file descriptors, until some are closed. */
        DESCRIPTORS,
        OTHER
    }

    private static final long TICKS_PER_MS = 10;
    private static final long MIN_DELAY_TICKS = TICKS_PER_MS;
    /** Clients do not notice this delay, and a failing call every 20 ms costs no more than the timers do. */
    private static final long MAX_DELAY_TICKS = 20 * TICKS_PER_MS;
    /** Descriptors become free one by one as connections end; a retry every 50 ms is frequent enough. */
    private static final long MAX_DESCRIPTOR_DELAY_TICKS = 50 * TICKS_PER_MS;

    private long delay;

    /** Records a failed accept and returns the delay before the next one; 0 for none. */
    public long onFailure(Cause cause) {
        if (cause == Cause.CONNECTION) {
            return 0;
        }
        long maxDelay = cause == Cause.DESCRIPTORS ? MAX_DESCRIPTOR_DELAY_TICKS : MAX_DELAY_TICKS;
        delay = Math.min(maxDelay, Math.max(MIN_DELAY_TICKS, 2 * delay));
        return delay;
    }

    /** Records a successful accept, which resets the backoff. */
    public void onSuccess() {
        delay = 0;
    }
}
