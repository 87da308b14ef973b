package reedspring.net;

import java.util.function.LongSupplier;

/**
 * Detects stalls of an event loop: after a turn that took too long or started too late, it logs one line with
 * the probable cause and the figures behind it. Used on the loop's thread only. Between stalls it costs two
 * clock reads for each turn and each unit of work in it, and a read of the kernel's thread times four times
 * a second.
 *
 * <p>A turn is a wait in the selector, the reading of the ready sockets, and the tasks after that. A stall is
 * the duration of a turn without the time for which the loop was allowed to wait.
 */
final class StallProbe {
    /** Interval of thread time samples; the figures of a stall cover up to this much time before it. */
    private static final long SAMPLE_INTERVAL_NANOS = 250_000_000L;
    /** Delay before the other threads are looked up, as reading their names would slow the start down. */
    private static final long OTHER_THREADS_DELAY_NANOS = 2_000_000_000L;
    private static final long NANOS_PER_MS = 1_000_000L;

    /** Where most of a stall was spent, with the log's text for it. */
    enum Cause {
        LOG("writing the log"), COLLECTION("collecting garbage"), QUEUED("waiting for a processor"),
        LONG_TURN("long turn"), BLOCKED("stopped or blocked"), UNKNOWN("cause unknown");

        private final String event;

        Cause(String description) {
            this.event = "event loop stalled, " + description;
        }
    }

    private final Log log;
    private final long minStallNanos;
    private final LongSupplier nanoClock;
    private final ThreadTimes times;
    private final CollectionOverhead collectionOverhead;
    private final int[] stalls = new int[Cause.values().length];
    private final long[] stalledMs = new long[Cause.values().length];
    private long[] sample = new long[ThreadTimes.FIGURE_COUNT];
    private long[] latest = new long[ThreadTimes.FIGURE_COUNT];
    private long firstTurnAt;
    private boolean othersFound;
    private long sampledAt;
    private long heapAtSample;
    private long logAtSample;

    // State of the current turn. The loop may wait until `freeUntil`; it began to work at `wokeAt`.
    private boolean started;
    private long freeUntil;
    private long wokeAt;
    private long workBegan;
    private String workName;
    private long longestWork;
    private String longestWorkName;
    private long longestDecision;
    private Class<?> decided;

    // The longest turn since it was last asked for.
    private long longestTurnNanos;
    private String longestTurnWork = "none";

    /** @param minStallMs shortest duration that is reported as a stall */
    StallProbe(Log log, int minStallMs) {
        this(log, minStallMs, System::nanoTime, new ThreadTimes(),
                new CollectionOverhead(FatalErrors::endProcessForCollection));
    }

    StallProbe(Log log, int minStallMs, LongSupplier nanoClock, ThreadTimes times,
            CollectionOverhead collectionOverhead) {
        this.log = log;
        this.minStallNanos = minStallMs * NANOS_PER_MS;
        this.nanoClock = nanoClock;
        this.times = times;
        this.collectionOverhead = collectionOverhead;
    }

    /** Ends a turn and begins the next, which may wait in the selector for up to the given time. */
    void beginTurn(long maxWaitNanos) {
        long now = nanoClock.getAsLong();
        if (!started) {
            started = true;
            firstTurnAt = now;
            times.findLoopThread();
            sampledAt = now;
            sample(now);
        } else {
            long stallNanos = now - Math.min(wokeAt == 0 ? now : wokeAt, freeUntil);
            recordTurn(stallNanos);
            if (stallNanos >= minStallNanos) {
                report(now, stallNanos);
            } else if (now - sampledAt >= SAMPLE_INTERVAL_NANOS) {
                sample(now);
            }
        }
        freeUntil = now + Math.max(0, maxWaitNanos);
        wokeAt = 0;
        longestWork = 0;
        longestWorkName = null;
        longestDecision = 0;
        decided = null;
    }

    private void recordTurn(long turnNanos) {
        if (turnNanos > longestTurnNanos) {
            longestTurnNanos = turnNanos;
            longestTurnWork = (longestWorkName == null ? "task" : longestWorkName) + " "
                    + longestWork / NANOS_PER_MS + " ms";
        }
    }

    /** Returns the longest turn since the last call, with the longest unit of work in it. */
    String takeLongestTurn() {
        String text = longestTurnNanos / NANOS_PER_MS + " ms, in it " + longestTurnWork;
        longestTurnNanos = 0;
        longestTurnWork = "none";
        return text;
    }

    /** Notes that the ready sockets of this turn have been read. */
    void socketsRead() {
        markAwake(nanoClock.getAsLong());
    }

    private void markAwake(long now) {
        if (wokeAt == 0) {
            wokeAt = now;
        }
    }

    /**
     * Begins a unit of work, such as an event of a socket or a timer; {@link #nameWork} may name it later.
     */
    void beginWork(String name) {
        workBegan = nanoClock.getAsLong();
        markAwake(workBegan);
        workName = name;
    }

    /** Names the current unit of work more precisely. */
    void nameWork(String name) {
        workName = name;
    }

    /** Ends the current unit of work. */
    void endWork() {
        long took = nanoClock.getAsLong() - workBegan;
        if (took > longestWork) {
            longestWork = took;
            longestWorkName = workName;
        }
    }

    /** Start time of a decision, for {@link #decided}. */
    long decisionStart() {
        return nanoClock.getAsLong();
    }

    /** Notes the end of the decision on an event, with the start time from {@link #decisionStart}. */
    void decided(long since, Object event) {
        long took = nanoClock.getAsLong() - since;
        if (took > longestDecision) {
            longestDecision = took;
            decided = event.getClass();
        }
    }

    private void sample(long now) {
        long collectedBefore = vmNanos(sample);
        times.read(sample);
        heapAtSample = usedHeapBytes();
        // No difference for a thread that was found since the last sample.
        long collectedNanos = collectedBefore == 0 ? 0 : vmNanos(sample) - collectedBefore;
        collectionOverhead.observe(now - sampledAt, collectedNanos, heapAtSample,
                Runtime.getRuntime().maxMemory());
        sampledAt = now;
        logAtSample = log.spentNanos();
        if (!othersFound && now - firstTurnAt >= OTHER_THREADS_DELAY_NANOS) {
            othersFound = true;
            times.findOtherThreads();
            times.read(sample);
        }
    }

    private static long vmNanos(long[] figures) {
        return figures[ThreadTimes.VM_RAN] + figures[ThreadTimes.VM_QUEUED];
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void report(long now, long stallNanos) {
        times.read(latest);
        long[] spent = new long[ThreadTimes.FIGURE_COUNT];
        for (int k = 0; k < spent.length; k++) {
            // No difference for a thread that was found, or has ended, since the sample.
            spent[k] = sample[k] == 0 || latest[k] < sample[k] ? 0 : latest[k] - sample[k];
        }
        long logNanos = log.spentNanos() - logAtSample;
        Cause cause = latest[ThreadTimes.LOOP_RAN] == 0 ? Cause.UNKNOWN : cause(stallNanos, spent, logNanos);
        long ms = stallNanos / NANOS_PER_MS;
        stalls[cause.ordinal()]++;
        stalledMs[cause.ordinal()] += ms;
        log.warn(cause.event, ms + " ms; in " + (now - sampledAt) / NANOS_PER_MS + " ms ran "
                + spent[ThreadTimes.LOOP_RAN] / NANOS_PER_MS + ", queued "
                + spent[ThreadTimes.LOOP_QUEUED] / NANOS_PER_MS
                + "; VM thread " + spent[ThreadTimes.VM_RAN] / NANOS_PER_MS + ", "
                + spent[ThreadTimes.VM_QUEUED] / NANOS_PER_MS + "; compiler "
                + spent[ThreadTimes.COMPILER_RAN] / NANOS_PER_MS + ", "
                + spent[ThreadTimes.COMPILER_QUEUED] / NANOS_PER_MS + "; log " + logNanos / NANOS_PER_MS
                + "; longest " + (longestWorkName == null ? "task" : longestWorkName) + " "
                + longestWork / NANOS_PER_MS + (decided == null ? "" : ", " + decided.getSimpleName() + " "
                + longestDecision / NANOS_PER_MS) + "; heap " + (heapAtSample >> 20) + " to "
                + (usedHeapBytes() >> 20) + " MB; " + stalls[cause.ordinal()] + " so far, "
                + stalledMs[cause.ordinal()] + " ms");
        sample(now);
    }

    /**
     * Attributes a stall to its largest part: the loop ran, waited in the run queue, or neither. The last is
     * a lock of the JVM (mostly during garbage collection), a page fault, a blocking call, or a stopped
     * process.
     */
    static Cause cause(long stallNanos, long[] spent, long logNanos) {
        long ran = Math.min(stallNanos, spent[ThreadTimes.LOOP_RAN]);
        long queued = Math.min(stallNanos, spent[ThreadTimes.LOOP_QUEUED]);
        long neither = Math.max(0, stallNanos - ran - queued);
        if (logNanos * 2 >= stallNanos) {
            return Cause.LOG;
        } else if (neither >= Math.max(ran, queued)) {
            return vmNanos(spent) >= neither / 2 ? Cause.COLLECTION : Cause.BLOCKED;
        }
        return spent[ThreadTimes.LOOP_QUEUED] >= spent[ThreadTimes.LOOP_RAN] ? Cause.QUEUED
                : Cause.LONG_TURN;
    }
}
