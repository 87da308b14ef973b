package reedspring.core.policy;

import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Deployment.ResourceGroup;
import reedspring.api.Id;

/**
 * Whether a query may be repeated once a submission of it may have run: no effect may happen twice, and a
 * deferral promises that a retry is safe. Times are in ticks: whole tenths of a millisecond.
 */
public final class RepeatPolicy {
    private RepeatPolicy() {
    }

    /** Whether the client may be told that a retry is safe. */
    public static boolean mayDefer(ResourceGroup group, boolean mayHaveRun) {
        return !mayHaveRun || group.effect() == Effect.READ_ONLY
                || group.effect() == Effect.TOKENED && group.recognised() == Recognised.ALL;
    }

    /** Whether another submission can be safe at all, on some engine and at some time. */
    public static boolean mayRunAgain(ResourceGroup group, boolean mayHaveRun) {
        return !mayHaveRun || group.effect() != Effect.MUTATING;
    }

    /** Whether an engine in a zone and cell recognises a repeat of a query that may have run in another. */
    public static boolean recognisedAt(ResourceGroup group, Id.Zone firstZone, Id.Cell firstCell,
            Id.Zone zone,
                                       Id.Cell cell) {
        if (group.effect() == Effect.READ_ONLY || group.recognised() == Recognised.ALL) {
            return true;
        }
        return group.recognised() == Recognised.ZONE ? firstZone.equals(zone) : firstCell.equals(cell);
    }

    /**
     * The latest time at which another submission may arrive at an engine, before the engines forget the
     * first.
     *
     * @param firstSentAt when the first submission that may have run was sent
     */
    public static long recognisedUntil(ResourceGroup group, boolean mayHaveRun, long firstSentAt) {
        return group.effect() == Effect.TOKENED && mayHaveRun ? firstSentAt + group.recognisedFor()
                : Long.MAX_VALUE;
    }
}
