package reedspring.net;

import java.util.Locale;

/**
 * The steps of one query with their times, so that one log line can explain a query that ends badly. Bounded:
 * once full, each new step replaces the last one.
 */
final class QueryHistory {
    private static final int MAX_STEPS = 12;

    /** A step of a query; {@link #ATTEMPT_ENDED} is recorded with the submission's outcome as its reason. */
    enum Step { TAKEN, ATTEMPT_DECIDED, SENT, WITHHELD, ATTEMPT_ENDED, SERVED, DEFERRED, FAILED, CLIENT_LEFT }

    private final Step[] steps = new Step[MAX_STEPS];
    private final Enum<?>[] reasons = new Enum<?>[MAX_STEPS];
    private final long[] times = new long[MAX_STEPS];
    private int count;

    /** @param reason why the step was taken, or null */
    void add(Step step, Enum<?> reason, long time) {
        int index = Math.min(count++, MAX_STEPS - 1);
        steps[index] = step;
        reasons[index] = reason;
        times[index] = time;
    }

    /** Returns the steps in order, each with its time in milliseconds since the first. */
    String describe() {
        StringBuilder text = new StringBuilder();
        for (int k = 0; k < Math.min(count, MAX_STEPS); k++) {
            text.append(text.length() == 0 ? "" : ", ")
                    .append(steps[k].name().toLowerCase(Locale.ROOT).replace('_', ' '));
            if (reasons[k] != null) {
                text.append(' ').append(reasons[k].name());
            }
            text.append(' ').append((times[k] - times[0]) / 10);
        }
        return text.toString();
    }
}
