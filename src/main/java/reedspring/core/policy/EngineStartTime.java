package reedspring.core.policy;

/**
 * When an engine started, from a Unix time that another machine names. Either machine's wall clock may have
 * been stepped since this process began, by seconds or by an hour, so that the time is read in two ways:
 * against the wall clock as it was when this process started, and against the wall clock as it is now. One
 * of the two is right for each kind of step. An engine that is taken for colder than it is gets a little
 * less work; one that is taken for warm falls over. So the later of the two counts, unless it lies in the
 * future.
 *
 * <p>Times are whole tenths of a millisecond by the process's own steady clock.
 */
public final class EngineStartTime {
    /** What discovery has to tell counts as told by then; a start that it tells of is no older, mostly. */
    private static final long MAX_NOTICE_DELAY_TICKS = 70_000;

    private EngineStartTime() {
    }

    /**
     * @param named the engine's start in Unix time, as another machine names it
     * @param now Unix time as of this process's start, carried on by its steady clock
     * @param wallClock Unix time by the wall clock as it is now
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
     * The same for an engine that a live stream of changes has just named for the first time. One that is
     * said to have started long before the stream last said anything contradicts that: its machine's clock
     * is off.
     *
     * @param lastHeard when the stream last said anything before it
     */
    public static long ofNewEngine(long estimate, long lastHeard) {
        return estimate < lastHeard - MAX_NOTICE_DELAY_TICKS ? lastHeard : estimate;
    }
}
