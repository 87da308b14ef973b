package reedspring.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * A queue of timers behind a single scheduled task of the event loop, as one such task for each query would
 * be too expensive. Times are in ticks; one tick is a tenth of a millisecond.
 */
final class Timers {
    /** Lateness up to which a timer is on time; the loop itself wakes up to a millisecond late. */
    private static final long NORMAL_LATENESS_TICKS = 30;

    private final EventLoop loop;
    private final Clock clock;
    private final Log log;
    private final Limits limits;
    private final StallProbe probe;
    private final EventLoopTurns turns;
    private final Runnable runAfterSocketReads = this::runAfterSocketReads;
    private final PriorityQueue<Timer> queue = new PriorityQueue<>(
            Comparator.comparingLong((Timer due) -> due.dueAt).thenComparingLong(due -> due.sequence));
    private long nextSequence;
    private Future<?> loopTask;
    private long loopTaskAt = Long.MAX_VALUE;
    private long overdueSince = Long.MAX_VALUE;
    private boolean readSocketsFirst;
    private boolean stopped;

    /** A scheduled timer, which can be cancelled. */
    static final class Timer {
        private final long dueAt;
        private final long sequence;
        private final Runnable action;

        private Timer(long dueAt, long sequence, Runnable action) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.action = action;
        }
    }

    Timers(EventLoop loop, EventLoopTurns turns, Clock clock, Log log, Limits limits, StallProbe probe) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.limits = limits;
        this.probe = probe;
        this.turns = turns;
        turns.afterReading(runAfterSocketReads);
    }

    /** Runs the action at a time of {@link Clock#now}. */
    Timer scheduleAt(long time, Runnable action) {
        Timer due = new Timer(time, nextSequence++, action);
        if (!stopped) {
            queue.add(due);
            scheduleLoopTask();
        }
        return due;
    }

    /** Cancels all timers and accepts no more: the front stops while its loop goes on serving others. */
    void stop() {
        stopped = true;
        queue.clear();
        turns.removeAfterReading(runAfterSocketReads);
        if (loopTask != null) {
            loopTask.cancel(false);
        }
    }

    /** Runs the action after a delay in ticks. */
    Timer scheduleIn(long delayTicks, Runnable action) {
        return scheduleAt(clock.now() + delayTicks, action);
    }

    /** @param due may be null, which does nothing */
    void cancel(Timer due) {
        if (due != null) {
            queue.remove(due);
        }
    }

    /**
     * Lower bound of the arrival time of data that is read now. An overdue timer shows that the loop or the
     * whole process was stalled, and data read after that may have waited as long.
     */
    long earliestArrival() {
        long now = Math.min(clock.now(), overdueSince);
        return queue.isEmpty() ? now : Math.min(now, queue.peek().dueAt);
    }

    private void scheduleLoopTask() {
        if (queue.isEmpty() || queue.peek().dueAt >= loopTaskAt) {
            return;
        }
        if (loopTask != null) {
            loopTask.cancel(false);
        }
        loopTaskAt = queue.peek().dueAt;
        loopTask = loop.schedule(this::onLoopTask, Math.max(0, loopTaskAt - clock.now()) * 100,
                TimeUnit.MICROSECONDS);
    }

    private void onLoopTask() {
        loopTaskAt = Long.MAX_VALUE;
        loopTask = null;
        long latenessTicks = queue.isEmpty() ? 0 : clock.now() - queue.peek().dueAt;
        if (latenessTicks > NORMAL_LATENESS_TICKS) {
            // Data that arrived during the stall may still be unread.
            overdueSince = Math.min(overdueSince, queue.peek().dueAt);
        }
        if (latenessTicks > limits.stallMs * 10L) {
            // A timeout of a peer can be judged only once all data that has arrived is read: a pause of
            // this process must not be mistaken for silence of the peers. So timers run after the sockets.
            readSocketsFirst = true;
            loopTaskAt = Long.MIN_VALUE;
            loopTask = loop.schedule(() -> { }, 1, TimeUnit.NANOSECONDS);
        } else {
            runDue();
        }
    }

    private void runAfterSocketReads() {
        if (readSocketsFirst) {
            readSocketsFirst = false;
            loopTaskAt = Long.MAX_VALUE;
            loopTask = null;
            runDue();
        }
        overdueSince = Long.MAX_VALUE;
    }

    private void runDue() {
        for (long now = clock.now(); !queue.isEmpty() && queue.peek().dueAt <= now; ) {
            probe.beginWork("alarm");
            try {
                queue.poll().action.run();
            } catch (RuntimeException | Error e) {
                // A failing timer must not keep the task below from being scheduled, or none would run again.
                FatalErrors.logOrEndProcess(log, "a timer failed", e);
            } finally {
                probe.endWork();
            }
        }
        scheduleLoopTask();
    }
}
