package reedspring.boot;

/**
 * Converts between the milliseconds of the protocols and the ticks of the decisions; one tick is a tenth of a
 * millisecond. Clock readings round down. Spans round to the safe side of the rule that uses them, with one
 * more tick for what rounding the clock may have lost.
 */
public final class Times {
    private static final double TICKS_PER_MS = 10;

    private Times() {
    }

    /** Converts a clock reading. */
    public static long ticksAt(double ms) {
        return (long) Math.floor(ms * TICKS_PER_MS + 1e-6);
    }

    /** Rounds a span down, for something that has to happen within it. */
    public static long ticksAtMost(double ms) {
        return ms <= 0 ? 0 : Math.max(0, (long) Math.floor(ms * TICKS_PER_MS + 1e-6) - 1);
    }

    /** Rounds a span up, for something that may happen only after it. */
    public static long ticksAtLeast(double ms) {
        return ms <= 0 ? 0 : (long) Math.ceil(ms * TICKS_PER_MS - 1e-6) + 1;
    }

    /** Rounds a span to the nearest tick. */
    public static long nearestTicks(double ms) {
        return Math.round(ms * TICKS_PER_MS);
    }

    /** Appends ticks as milliseconds with one decimal place. */
    public static void appendMs(StringBuilder target, long ticks) {
        if (ticks < 0) {
            target.append('-');
        }
        long magnitude = Math.abs(ticks);
        target.append(magnitude / 10).append('.').append(magnitude % 10);
    }
}
