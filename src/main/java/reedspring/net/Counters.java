package reedspring.net;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How often what has been done and for which reason, since the front's start: answers, ends of attempts,
 * refusals, ends of connections. Each reason is a constant of a typed enumeration, and its line in the log
 * names both. docs/on-call.md says what each means.
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

    /** All counts, or null if none has changed since they were told last. */
    String changes() {
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
