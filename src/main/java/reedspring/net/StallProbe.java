package reedspring.net;

import java.util.function.LongSupplier;

/**
 * Tells what an event loop stood still for: after a turn that took too long, or that began too late, one
 * line with the cause and its figures. On the loop's thread only. Between stalls it costs two looks at the
 * clock for each turn and each thing done in it, and four times a second a read of the kernel's figures.
 *
 * <p>A turn is a wait in the selector, the reading of the sockets that are ready, and the tasks after it.
 * What counts is all of it but the time for which the loop was free to wait.
 */
final class StallProbe {
    /** Between two samples of threads' times: what a stall is told by covers up to this much before it. */
    private static final long SAMPLE = 250_000_000L;
    /** A front's start has no time to spare for the names of its threads. */
    private static final long OTHERS_AFTER = 2_000_000_000L;
    private static final long MS = 1_000_000L;

    /** What most of a stall went to, in the words of the log. */
    enum Cause {
        LOG("writing the log"), COLLECTION("collecting garbage"), QUEUED("waiting for a processor"),
        LONG_TURN("long turn"), BLOCKED("stopped or blocked"), UNKNOWN("cause unknown");

        private final String event;

        Cause(String what) {
            this.event = "event loop stalled, " + what;
        }
    }

    private final Log log;
    private final long least;
    private final LongSupplier nanos;
    private final ThreadTimes times;
    private final int[] stalls = new int[Cause.values().length];
    private final long[] stalledMs = new long[Cause.values().length];
    private long[] sample = new long[ThreadTimes.FIGURES];
    private long[] next = new long[ThreadTimes.FIGURES];
    private long startedAt;
    private boolean othersFound;
    private long sampledAt;
    private long heapAtSample;
    private long logAtSample;

    // This turn. The loop may wait until `freeUntil`, and has begun with its sockets at `wokeAt`.
    private boolean turning;
    private long freeUntil;
    private long wokeAt;
    private long workBegan;
    private String kind;
    private long longestWork;
    private String longestKind;
    private long longestDecision;
    private Class<?> decided;

    /** @param leastMs what is shorter is no stall */
    StallProbe(Log log, int leastMs) {
        this(log, leastMs, System::nanoTime, new ThreadTimes());
    }

    StallProbe(Log log, int leastMs, LongSupplier nanos, ThreadTimes times) {
        this.log = log;
        this.least = leastMs * MS;
        this.nanos = nanos;
        this.times = times;
    }

    /** Ends a turn and begins the next, which may wait for that long before it has anything to do. */
    void turn(long mayWaitNanos) {
        long now = nanos.getAsLong();
        if (!turning) {
            turning = true;
            startedAt = now;
            times.findLoop();
            sample(now);
        } else {
            long stalled = now - Math.min(wokeAt == 0 ? now : wokeAt, freeUntil);
            if (stalled >= least) {
                tell(now, stalled);
            } else if (now - sampledAt >= SAMPLE) {
                sample(now);
            }
        }
        freeUntil = now + Math.max(0, mayWaitNanos);
        wokeAt = 0;
        longestWork = 0;
        longestKind = null;
        longestDecision = 0;
        decided = null;
    }

    /** The sockets that were ready are read. */
    void read() {
        wakes(nanos.getAsLong());
    }

    private void wakes(long now) {
        if (wokeAt == 0) {
            wokeAt = now;
        }
    }

    /** Something is begun: a socket, or an alarm. What it is may be told later. */
    void begin(String what) {
        workBegan = nanos.getAsLong();
        wakes(workBegan);
        kind = what;
    }

    /** What it turned out to be. */
    void is(String what) {
        kind = what;
    }

    void end() {
        long took = nanos.getAsLong() - workBegan;
        if (took > longestWork) {
            longestWork = took;
            longestKind = kind;
        }
    }

    /** For {@link #decided}. */
    long decides() {
        return nanos.getAsLong();
    }

    void decided(long since, Object event) {
        long took = nanos.getAsLong() - since;
        if (took > longestDecision) {
            longestDecision = took;
            decided = event.getClass();
        }
    }

    private void sample(long now) {
        times.read(sample);
        sampledAt = now;
        heapAtSample = heap();
        logAtSample = log.spentNanos();
        if (!othersFound && now - startedAt >= OTHERS_AFTER) {
            othersFound = true;
            times.findOthers();
            times.read(sample);
        }
    }

    private static long heap() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void tell(long now, long stalled) {
        times.read(next);
        long[] spent = new long[ThreadTimes.FIGURES];
        for (int k = 0; k < spent.length; k++) {
            // A thread that was found or has ended since tells nothing.
            spent[k] = sample[k] == 0 || next[k] < sample[k] ? 0 : next[k] - sample[k];
        }
        long inLog = log.spentNanos() - logAtSample;
        Cause cause = next[ThreadTimes.LOOP_RAN] == 0 ? Cause.UNKNOWN : cause(stalled, spent, inLog);
        long ms = stalled / MS;
        stalls[cause.ordinal()]++;
        stalledMs[cause.ordinal()] += ms;
        log.line(cause.event, ms + " ms; in " + (now - sampledAt) / MS + " ms ran "
                + spent[ThreadTimes.LOOP_RAN] / MS + ", queued " + spent[ThreadTimes.LOOP_QUEUED] / MS
                + "; VM thread " + spent[ThreadTimes.VM_RAN] / MS + ", "
                + spent[ThreadTimes.VM_QUEUED] / MS + "; compiler " + spent[ThreadTimes.COMPILER_RAN] / MS
                + ", " + spent[ThreadTimes.COMPILER_QUEUED] / MS + "; log " + inLog / MS + "; longest "
                + (longestKind == null ? "task" : longestKind) + " " + longestWork / MS
                + (decided == null ? "" : ", " + decided.getSimpleName() + " " + longestDecision / MS)
                + "; heap " + (heapAtSample >> 20) + " to " + (heap() >> 20) + " MB; "
                + stalls[cause.ordinal()] + " so far, " + stalledMs[cause.ordinal()] + " ms");
        sample(now);
    }

    /**
     * The part that is largest: the loop ran, stood in the run queue, or neither, which is a lock of the JVM,
     * most of all while garbage is collected, a page or a call that waits, or a stop of the process.
     */
    static Cause cause(long stalled, long[] spent, long inLog) {
        long ran = Math.min(stalled, spent[ThreadTimes.LOOP_RAN]);
        long queued = Math.min(stalled, spent[ThreadTimes.LOOP_QUEUED]);
        long neither = Math.max(0, stalled - ran - queued);
        if (inLog * 2 >= stalled) {
            return Cause.LOG;
        } else if (neither >= Math.max(ran, queued)) {
            long vm = spent[ThreadTimes.VM_RAN] + spent[ThreadTimes.VM_QUEUED];
            return vm >= neither / 2 ? Cause.COLLECTION : Cause.BLOCKED;
        }
        return spent[ThreadTimes.LOOP_QUEUED] >= spent[ThreadTimes.LOOP_RAN] ? Cause.QUEUED
                : Cause.LONG_TURN;
    }
}
