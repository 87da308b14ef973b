package reedspring.net;

import java.time.Instant;
import java.util.function.LongSupplier;

/**
 * Unix time in tenths of a millisecond as it stood at the start, carried on by the steady clock: a jump of
 * the system's clock must move no deadline and no span.
 */
final class Clock {
    private static final long NANOS = 100_000;
    private final LongSupplier unix;
    private final LongSupplier steadyNanos;
    private final long startedAt;
    private final long steadyAt;

    Clock() {
        this(Clock::systemTenths, System::nanoTime);
    }

    Clock(LongSupplier unixTenths, LongSupplier steadyNanos) {
        this.unix = unixTenths;
        this.steadyNanos = steadyNanos;
        this.startedAt = unixTenths.getAsLong();
        this.steadyAt = steadyNanos.getAsLong();
    }

    long now() {
        return at(steadyNanos.getAsLong());
    }

    /** The same of a moment of the steady clock. */
    long at(long nanos) {
        return startedAt + (nanos - steadyAt) / NANOS;
    }

    /** A moment that another machine names by the system's clock, on this one's steady clock. */
    long ofUnixMs(long ms) {
        return ms <= 0 ? 0 : now() + ms * 10 - unix.getAsLong();
    }

    private static long systemTenths() {
        Instant instant = Instant.now();
        return instant.getEpochSecond() * 10_000 + instant.getNano() / NANOS;
    }
}
