package reedspring.boot;

/**
 * The wires count milliseconds, the decisions tenths of a millisecond. The clock rounds down; spans round to
 * the side on which no rule breaks, with one tenth more for what the clock may have lost.
 */
public final class Times {
    private static final double TENTHS = 10;

    private Times() {
    }

    public static long clock(double ms) {
        return (long) Math.floor(ms * TENTHS + 1e-6);
    }

    /** For what has to happen within the span. */
    public static long within(double ms) {
        return ms <= 0 ? 0 : Math.max(0, (long) Math.floor(ms * TENTHS + 1e-6) - 1);
    }

    /** For what may happen only once the span has passed. */
    public static long atLeast(double ms) {
        return ms <= 0 ? 0 : (long) Math.ceil(ms * TENTHS - 1e-6) + 1;
    }

    public static long nearest(double ms) {
        return Math.round(ms * TENTHS);
    }

    public static void write(StringBuilder out, long tenths) {
        if (tenths < 0) {
            out.append('-');
        }
        long size = Math.abs(tenths);
        out.append(size / 10).append('.').append(size % 10);
    }
}
