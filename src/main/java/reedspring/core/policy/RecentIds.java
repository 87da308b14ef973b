package reedspring.core.policy;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of the queries that a front took last. A client gives each request, and each retry, an id of its
 * own, and engines know a query by its id alone: what comes under an id that was taken before is no query of
 * the client that the id belongs to, and must not reach an engine.
 *
 * <p>Two generations are held, so that forgetting costs nothing for each id: at least the last {@code least}
 * ids are known, and at most twice as many.
 */
public final class RecentIds {
    private final int minRetained;
    private Set<Long> current = new HashSet<>();
    private Set<Long> previous = Set.of();

    /** @param least how many ids are known at least, once so many were taken */
    public RecentIds(int minRetained) {
        this.minRetained = minRetained;
    }

    /** Notes an id that is taken now. */
    public void add(long id) {
        if (current.size() >= minRetained) {
            previous = current;
            current = new HashSet<>();
        }
        current.add(id);
    }

    /** Whether the id was taken before. */
    public boolean contains(long id) {
        return current.contains(id) || previous.contains(id);
    }
}
