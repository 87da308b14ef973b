package reedspring.spool;

/**
 * Limits of the spool, fixed for its lifetime. Sizes are in bytes, durations in ticks (tenths of a
 * millisecond), ratios range from 0 to 1.
 *
 * @param totalBytes maximum size of all segments on disk
 * @param maxTenantRatio share of {@code totalBytes} that the answers of one tenant may use
 * @param headroomRatio share of {@code totalBytes} reserved for answers of queries that must not run twice
 * @param retention how long a committed answer is kept for its client
 * @param maxAnswerBytes larger answers are refused even if there is space
 * @param pageBytes maximum size of a page
 * @param segmentBytes size from which on no further answer is started in a segment
 * @param maxBufferedBytes maximum size of the pages that are requested from engines or wait to be written.
 *     First pages arrive without being requested and may take as much again.
 * @param maxReads maximum number of concurrent page reads
 * @param maxReadsPerTenant maximum number of concurrent page reads of one tenant
 * @param initialBackoff how long no answer is accepted after the disk failed; doubles with each further
 *     failure until an answer is committed
 * @param maxBackoff upper bound of that time
 */
public record SpoolLimits(long totalBytes, double maxTenantRatio, double headroomRatio, long retention,
                          long maxAnswerBytes, int pageBytes, long segmentBytes, long maxBufferedBytes,
                          int maxReads, int maxReadsPerTenant, long initialBackoff, long maxBackoff) {
    /** Upper bounds of what the file format adds to a page, an answer and a segment, and of a drop record. */
    public static final int PAGE_OVERHEAD_BYTES = 48;
    public static final int ANSWER_OVERHEAD_BYTES = 768;
    public static final int SEGMENT_OVERHEAD_BYTES = 640;
    public static final int DROP_OVERHEAD_BYTES = 64;

    /** Maximum size on disk of an answer of so many pages, without the overhead of its segment. */
    public long maxDiskBytes(int pages) {
        return (long) pages * (pageBytes + PAGE_OVERHEAD_BYTES) + ANSWER_OVERHEAD_BYTES;
    }
}
