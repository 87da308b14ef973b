package reedspring.spool;

/**
 * What the spool is told once. Sizes are bytes, spans whole tenths of a millisecond, parts from 0 to 1.
 *
 * @param total what all segments together may take on the disk
 * @param tenantPart of {@code total}, what one tenant's answers may take
 * @param headroom of {@code total}, what is left to answers of queries that must not run twice
 * @param keepFor how long an answer is kept for its client
 * @param longestAnswer announced answers past this are refused whatever room there is
 * @param pageBytes what a page holds at most
 * @param segmentBytes after which no further answer begins in a segment
 * @param inMemory what may be asked of engines or wait for the disk at any time, and as much again of first
 *     pages, which come unasked
 * @param reads pages that are being read from the disk at once, and {@code tenantReads} of them for one
 *     tenant
 * @param firstRest how long nothing is begun after the disk has failed; doubled each time up to
 *     {@code longestRest}
 */
public record Terms(long total, double tenantPart, double headroomRatio, long keepFor, long maxAnswerBytes,
                    int pageBytes, long segmentBytes, long inMemory, int reads, int maxReadsPerTenant,
                    long initialBackoff, long maxBackoff) {
    /** What the format adds at most: to a page, to an answer, to a segment, and for an answer given up. */
    public static final int PAGE_OVERHEAD_BYTES = 48;
    public static final int ANSWER_OVERHEAD_BYTES = 768;
    public static final int SEGMENT_OVERHEAD_BYTES = 640;
    public static final int DROP_OVERHEAD_BYTES = 64;

    /** What an answer of so many pages may take. */
    public long maxDiskBytes(int pages) {
        return (long) pages * (pageBytes + PAGE_OVERHEAD_BYTES) + ANSWER_OVERHEAD_BYTES;
    }
}
