package reedspring.net;

import java.util.Locale;

/**
 * What happened to one query and when, kept until it is over, so that one that ends badly can be explained
 * by its own line in the log. Bounded: past the last place the newest step is written over.
 */
final class QueryHistory {
    private static final int STEPS = 12;

    /** What can happen to a query; of an attempt's end the outcome is named beside it. */
    enum Step { TAKEN, ATTEMPT_DECIDED, SENT, WITHHELD, ATTEMPT_ENDED, SERVED, DEFERRED, FAILED, CLIENT_LEFT }

    private final Step[] steps = new Step[STEPS];
    private final Enum<?>[] reasons = new Enum<?>[STEPS];
    private final long[] times = new long[STEPS];
    private int count;

    /** @param reason why, or null */
    void add(Step step, Enum<?> reason, long at) {
        int place = Math.min(count++, STEPS - 1);
        steps[place] = step;
        reasons[place] = reason;
        times[place] = at;
    }

    /** The steps in order, each with its time in milliseconds after the first. */
    String text() {
        StringBuilder text = new StringBuilder();
        for (int k = 0; k < Math.min(count, STEPS); k++) {
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
