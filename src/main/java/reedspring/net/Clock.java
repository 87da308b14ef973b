package reedspring.net;

/**
 * Unix time in tenths of a millisecond as it stood at the start, carried on by the steady clock: a jump of
 * the system's clock must move no deadline and no span.
 */
final class Clock {
    private static final long NANOS = 100_000;
    private final long startedAt = unix();
    private final long steadyAt = System.nanoTime();

    long now() {
        return startedAt + (System.nanoTime() - steadyAt) / NANOS;
    }

    /** A moment that another machine names by the system's clock, on this one's steady clock. */
    long ofUnixMs(long ms) {
        return ms <= 0 ? 0 : now() + ms * 10 - unix();
    }

    private static long unix() {
        java.time.Instant instant = java.time.Instant.now();
        return instant.getEpochSecond() * 10_000 + instant.getNano() / NANOS;
    }
}
