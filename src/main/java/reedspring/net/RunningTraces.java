package reedspring.net;

import java.util.HashMap;
import java.util.Map;

/**
 * Traces of queries that are over for the front, but that an engine may still be running; over all engine
 * connections. A trace can be there more than once, as each submission of a query may still run.
 */
final class RunningTraces {
    private final Map<Long, Integer> counts = new HashMap<>();

    void add(long traceId) {
        counts.merge(traceId, 1, Integer::sum);
    }

    /** Removes one of the trace's entries. */
    void remove(long traceId) {
        counts.computeIfPresent(traceId, (id, count) -> count == 1 ? null : count - 1);
    }

    boolean contains(long traceId) {
        return counts.containsKey(traceId);
    }
}
