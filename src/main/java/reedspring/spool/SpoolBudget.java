package reedspring.spool;

/**
 * Memory and file descriptors that the spool may use in its process. They depend on the process, not on the
 * disk; {@link SpoolLimits} has the limits of an installation's settings. Sizes are in bytes of heap.
 *
 * @param indexBytes maximum size of the index: what is held for each kept answer, drop record and segment
 * @param bufferedBytes upper bound of {@link SpoolLimits#maxBufferedBytes}
 * @param reads upper bound of {@link SpoolLimits#maxReads}
 * @param readFiles maximum number of segment files that stay open for reads
 */
public record SpoolBudget(long indexBytes, long bufferedBytes, int reads, int readFiles) {
    /** No bounds, for tools and tests. */
    public static final SpoolBudget UNLIMITED =
            new SpoolBudget(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE, 8);
    /** Segments that are open for writes at the same time; a further one is opened once one is sealed. */
    public static final int MAX_OPEN_SEGMENTS = 4;
    /**
     * Other files of the spool that are open at the same time: the lock, an index, the folder, and a segment
     * that each of the two threads opens before another one is closed.
     */
    private static final int OTHER_FILES = 5;

    // Upper bounds of the heap that recovery, which holds more than the run after it, needs.
    static final int ANSWER_INDEX_BYTES = 448;
    static final int PAGE_INDEX_BYTES = 16;
    /** Of each page of an answer that is not complete yet. */
    static final int UNCOMMITTED_PAGE_INDEX_BYTES = 144;
    static final int DROP_INDEX_BYTES = 160;
    static final int SEGMENT_INDEX_BYTES = 768;
    /** A segment is sealed once its entries fill this share of the index, as its index is written at once. */
    private static final int MIN_SEGMENTS_IN_INDEX = 16;

    /** Size of the index entry of an answer of so many pages. */
    public static long answerIndexBytes(int pages) {
        return ANSWER_INDEX_BYTES + (long) pages * PAGE_INDEX_BYTES;
    }

    /** Size of what is held for an answer of so many pages until it is committed. */
    static long uncommittedIndexBytes(int pages) {
        return answerIndexBytes(pages) + (long) pages * UNCOMMITTED_PAGE_INDEX_BYTES;
    }

    /** Size of the entries in the index of a segment from which on it accepts no further answer. */
    long segmentIndexBytes() {
        return indexBytes / MIN_SEGMENTS_IN_INDEX;
    }

    /** Maximum number of drop records that recovery reads, in half of the index. */
    public long maxDropRecords() {
        return indexBytes / 2 / DROP_INDEX_BYTES;
    }

    /** Maximum number of descriptors in use. */
    public int descriptors() {
        return readFiles + MAX_OPEN_SEGMENTS + OTHER_FILES;
    }

    /** The given limits, lowered to what the memory allows. */
    public SpoolLimits bound(SpoolLimits limits) {
        int maxReads = Math.min(limits.maxReads(), reads);
        return new SpoolLimits(limits.totalBytes(), limits.maxTenantRatio(), limits.headroomRatio(),
                limits.retention(), limits.maxAnswerBytes(), limits.pageBytes(), limits.segmentBytes(),
                Math.min(limits.maxBufferedBytes(), bufferedBytes), maxReads,
                Math.min(limits.maxReadsPerTenant(), maxReads), limits.initialBackoff(), limits.maxBackoff());
    }
}
