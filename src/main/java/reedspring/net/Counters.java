package reedspring.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Event counters since the front's start: answers, ends of submissions, refused requests, closed connections,
 * each by reason. A reason is an enumeration constant, and the log names it with its enumeration. See
 * docs/on-call.md for the meaning of each.
 */
final class Counters {
    private final Map<Enum<?>, long[]> counts = new LinkedHashMap<>();
    private boolean changed;

    void add(Enum<?> reason) {
        counts.computeIfAbsent(reason, k -> new long[1])[0]++;
        changed = true;
    }

    long of(Enum<?> reason) {
        long[] count = counts.get(reason);
        return count == null ? 0 : count[0];
    }

    /** All counts as {@code Enum.CONSTANT=count}, or null if none has changed since the last call. */
    String changedCounts() {
        if (!changed) {
            return null;
        }
        changed = false;
        StringBuilder line = new StringBuilder();
        counts.forEach((reason, count) -> line.append(line.length() == 0 ? "" : " ")
                .append(reason.getDeclaringClass().getSimpleName()).append('.').append(reason.name())
                .append('=').append(count[0]));
        return line.toString();
    }
}
