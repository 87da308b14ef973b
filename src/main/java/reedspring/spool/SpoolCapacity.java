package reedspring.spool;

/**
 * How many answers a spool can keep: by the settings' limit of the disk, and by the memory and the
 * descriptors of the process.
 *
 * @param diskAnswers answers of one full page for which the disk has room
 * @param memoryAnswers answers of one page for which the index has room
 * @param reads pages that are read at once
 * @param bufferedBytes pages that may wait for the disk
 * @param descriptors file descriptors that are set aside for the spool
 */
public record SpoolCapacity(long diskAnswers, long memoryAnswers, int reads, long bufferedBytes,
                            int descriptors) {
    /** The capacity under both the settings' limits and the budget of the process. */
    public static SpoolCapacity of(SpoolLimits limits, SpoolBudget budget) {
        SpoolLimits bound = budget.bound(limits);
        return new SpoolCapacity(limits.totalBytes() / limits.maxDiskBytes(1),
                budget.indexBytes() / SpoolBudget.answerIndexBytes(1), bound.maxReads(),
                bound.maxBufferedBytes(), budget.descriptors());
    }

    /** A line for operators, which says what limits the number of answers. */
    public String describe() {
        return "spool: " + (memoryAnswers < diskAnswers ? "memory" : "disk")
                + " limits the number of kept answers: memory to " + memoryAnswers
                + " of one page, disk to " + diskAnswers + " of one full page; " + reads
                + " reads at once, " + (bufferedBytes >> 10) + " kB waiting for the disk, " + descriptors
                + " descriptors set aside";
    }
}
