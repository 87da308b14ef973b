package reedspring.core.policy;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of the queries that a front has accepted most recently. A client gives each request, including each
 * retry, a new id, and engines identify a query by its id alone. So a request with an id that was accepted
 * before does not come from the client that the id belongs to, and must not reach an engine.
 *
 * <p>The ids are kept in two generations, so that no id needs to be evicted by itself: at least the last
 * {@code minRetained} ids are known, and at most twice as many.
 */
public final class RecentIds {
    private final int minRetained;
    private Set<Long> current = new HashSet<>();
    private Set<Long> previous = Set.of();

    /** @param minRetained how many of the most recent ids are known at least */
    public RecentIds(int minRetained) {
        this.minRetained = minRetained;
    }

    /** Adds the id of a query that is accepted now. */
    public void add(long id) {
        if (current.size() >= minRetained) {
            previous = current;
            current = new HashSet<>();
        }
        current.add(id);
    }

    /** Whether the id is among the recently accepted ones. */
    public boolean contains(long id) {
        return current.contains(id) || previous.contains(id);
    }
}
