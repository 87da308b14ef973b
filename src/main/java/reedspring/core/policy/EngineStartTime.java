package reedspring.core.policy;

/**
 * Estimates when an engine started, from a Unix time reported by another machine. The wall clock of either
 * machine may have been stepped since this process started, by seconds or by an hour. So the time is
 * converted in two ways: relative to the wall clock when this process started, and relative to the current
 * wall clock; for each kind of step one of the two is right. The later one is used unless it is in the
 * future, because an engine that is wrongly assumed to be cold only gets a little less work, while one that
 * is wrongly assumed to be warm is overloaded.
 *
 * <p>Times are in ticks (whole tenths of a millisecond) of the process's monotonic clock.
 */
public final class EngineStartTime {
    /** The delay within which discovery usually reports a started engine: 7 s. */
    private static final long MAX_NOTICE_DELAY_TICKS = 70_000;

    private EngineStartTime() {
    }

    /**
     * @param reportedStart the engine's start in Unix time, as reported by another machine
     * @param now Unix time as of this process's start, advanced by its monotonic clock
     * @param wallClock Unix time by the current wall clock
     */
    public static long estimate(long reportedStart, long now, long wallClock) {
        long byWallClockAtStart = reportedStart;
        long byWallClockNow = now + reportedStart - wallClock;
        boolean atStartIsPast = byWallClockAtStart <= now;
        boolean nowIsPast = byWallClockNow <= now;
        if (atStartIsPast && nowIsPast) {
            return Math.max(byWallClockAtStart, byWallClockNow);
        }
        return atStartIsPast ? byWallClockAtStart : nowIsPast ? byWallClockNow : now;
    }

    /**
     * Corrects the estimate for an engine that has just appeared in a live stream of changes. A start long
     * before the previous message of the stream contradicts that: the clock of the engine's machine is wrong.
     *
     * @param lastReceived when the previous message of the stream arrived
     */
    public static long ofNewEngine(long estimate, long lastReceived) {
        return estimate < lastReceived - MAX_NOTICE_DELAY_TICKS ? lastReceived : estimate;
    }
}
