package reedspring.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/** All that is due later, behind one alarm of the event loop: a query must not start a task of its own. */
final class Timers {
    /** The loop wakes up to a millisecond late for its alarms. */
    private static final long LATE = 30;

    private final EventLoop loop;
    private final Clock clock;
    private final Log log;
    private final Limits limits;
    private final StallProbe probe;
    private final Turns turns;
    private final Runnable read = this::read;
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            Comparator.comparingLong((Due due) -> due.at).thenComparingLong(due -> due.order));
    private long order;
    private Future<?> alarm;
    private long alarmAt = Long.MAX_VALUE;
    private long behindSince = Long.MAX_VALUE;
    private boolean readFirst;
    private boolean stopped;

    static final class Due {
        private final long at;
        private final long order;
        private final Runnable what;

        private Due(long at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }
    }

    Timers(EventLoop loop, Turns turns, Clock clock, Log log, Limits limits, StallProbe probe) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.limits = limits;
        this.probe = probe;
        this.turns = turns;
        turns.afterReading(read);
    }

    Due at(long time, Runnable what) {
        Due due = new Due(time, order++, what);
        if (!stopped) {
            queue.add(due);
            arm();
        }
        return due;
    }

    /** Nothing is due any more. For a front that ends while its loop goes on with others. */
    void stop() {
        stopped = true;
        queue.clear();
        turns.noMore(read);
        if (alarm != null) {
            alarm.cancel(false);
        }
    }

    Due in(long tenths, Runnable what) {
        return at(clock.now() + tenths, what);
    }

    void cancel(Due due) {
        if (due != null) {
            queue.remove(due);
        }
    }

    /**
     * When what is read now may have come at the earliest. An overdue timer shows that the loop, or the whole
     * process, stood still, and what is read after that may have waited as long.
     */
    long earliestArrival() {
        long now = Math.min(clock.now(), behindSince);
        return queue.isEmpty() ? now : Math.min(now, queue.peek().at);
    }

    private void arm() {
        if (queue.isEmpty() || queue.peek().at >= alarmAt) {
            return;
        }
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarmAt = queue.peek().at;
        alarm = loop.schedule(this::ring, Math.max(0, alarmAt - clock.now()) * 100, TimeUnit.MICROSECONDS);
    }

    private void ring() {
        alarmAt = Long.MAX_VALUE;
        alarm = null;
        long behind = queue.isEmpty() ? 0 : clock.now() - queue.peek().at;
        if (behind > LATE) {
            // What came meanwhile may still be unread.
            behindSince = Math.min(behindSince, queue.peek().at);
        }
        if (behind > limits.stoodStill * 10L) {
            // Who owes an answer, or nothing for too long, shows only once all that has come is read: a stop
            // of this process must not pass for the others' silence.
            readFirst = true;
            alarmAt = Long.MIN_VALUE;
            alarm = loop.schedule(() -> { }, 1, TimeUnit.NANOSECONDS);
        } else {
            runDue();
        }
    }

    private void read() {
        if (readFirst) {
            readFirst = false;
            alarmAt = Long.MAX_VALUE;
            alarm = null;
            runDue();
        }
        behindSince = Long.MAX_VALUE;
    }

    private void runDue() {
        for (long now = clock.now(); !queue.isEmpty() && queue.peek().at <= now; ) {
            probe.begin("alarm");
            try {
                queue.poll().what.run();
            } catch (RuntimeException | Error e) {
                // Whatever failed, the alarm below has to be set again: without it nothing ends in time.
                log.fault("a timer failed", e);
            } finally {
                probe.end();
            }
        }
        arm();
    }
}
