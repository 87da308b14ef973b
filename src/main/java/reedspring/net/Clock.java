package reedspring.net;

import java.time.Instant;
import java.util.function.LongSupplier;
import reedspring.core.policy.EngineStartTime;

/**
 * Unix time at start, advanced by the monotonic clock, so that a jump of the system clock changes no deadline
 * and no duration. In ticks; one tick is a tenth of a millisecond.
 */
final class Clock {
    private static final long NANOS_PER_TICK = 100_000;
    private final LongSupplier unixTicks;
    private final LongSupplier monotonicNanos;
    private final long unixAtStart;
    private final long monotonicAtStart;

    Clock() {
        this(Clock::systemTicks, System::nanoTime);
    }

    Clock(LongSupplier unixTicks, LongSupplier monotonicNanos) {
        this.unixTicks = unixTicks;
        this.monotonicNanos = monotonicNanos;
        this.unixAtStart = unixTicks.getAsLong();
        this.monotonicAtStart = monotonicNanos.getAsLong();
    }

    /** The current time, in ticks. */
    long now() {
        return at(monotonicNanos.getAsLong());
    }

    /** The time in ticks of an instant of the monotonic clock. */
    long at(long nanos) {
        return unixAtStart + (nanos - monotonicAtStart) / NANOS_PER_TICK;
    }

    /**
     * The start time of an engine, in ticks, as reported by another machine's system clock.
     *
     * @param ms 0 or less if the engine started long ago
     * @return an estimate by this clock, or 0 for long ago
     */
    long engineStartFromUnixMs(long ms) {
        return ms <= 0 ? 0 : EngineStartTime.estimate(ms * 10, now(), unixTicks.getAsLong());
    }

    private static long systemTicks() {
        Instant instant = Instant.now();
        return instant.getEpochSecond() * 10_000 + instant.getNano() / NANOS_PER_TICK;
    }
}
