package reedspring.net;

import java.util.function.IntConsumer;

/**
 * Detects that a full heap leaves the process hardly any time to serve, before an allocation fails. The JVM's
 * own limit of this kind exists for the parallel collector only. Counts time while the heap stays full; every
 * observation of a heap with room starts the count again.
 */
final class CollectionOverhead {
    private static final long WINDOW_NANOS = 5_000_000_000L;
    private static final int MAX_COLLECTION_PERCENT = 80;
    private static final int FULL_HEAP_PERCENT = 90;

    private final IntConsumer onExceeded;
    private long observedNanos;
    private long collectionNanos;

    /** @param onExceeded gets the part of the time that was spent on collection, in percent */
    CollectionOverhead(IntConsumer onExceeded) {
        this.onExceeded = onExceeded;
    }

    /**
     * Adds an observation.
     *
     * @param elapsedNanos time since the last observation
     * @param collectedNanos time in it that the collecting thread ran or waited for a processor
     */
    void observe(long elapsedNanos, long collectedNanos, long usedHeapBytes, long maxHeapBytes) {
        if (usedHeapBytes * 100 < maxHeapBytes * FULL_HEAP_PERCENT) {
            restart();
            return;
        }
        observedNanos += elapsedNanos;
        collectionNanos += collectedNanos;
        if (observedNanos >= WINDOW_NANOS) {
            int percent = (int) (collectionNanos * 100 / observedNanos);
            restart();
            if (percent >= MAX_COLLECTION_PERCENT) {
                onExceeded.accept(percent);
            }
        }
    }

    private void restart() {
        observedNanos = 0;
        collectionNanos = 0;
    }
}
