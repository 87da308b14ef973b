package reedspring.net;

import java.time.Instant;
import java.util.function.LongSupplier;
import reedspring.core.policy.EngineStartTime;

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

    /** When an engine started whose start another machine names by the system's clock; 0 for long ago. */
    long ofUnixMs(long ms) {
        return ms <= 0 ? 0 : EngineStartTime.estimate(ms * 10, now(), unix.getAsLong());
    }

    private static long systemTenths() {
        Instant instant = Instant.now();
        return instant.getEpochSecond() * 10_000 + instant.getNano() / NANOS;
    }
}
