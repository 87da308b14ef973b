package reedspring.core.policy;

import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Deployment.ResourceGroup;
import reedspring.api.Id;

/**
 * What may be done with a query again once an attempt may have run: no effect happens twice, and a deferral
 * promises that a retry is safe. Times are whole tenths of a millisecond.
 */
public final class RepeatPolicy {
    private RepeatPolicy() {
    }

    /** Whether its client may be told that a retry is safe. */
    public static boolean mayDefer(ResourceGroup group, boolean mayHaveRun) {
        return !mayHaveRun || group.effect() == Effect.READ_ONLY
                || group.effect() == Effect.TOKENED && group.recognised() == Recognised.ALL;
    }

    /** Whether a further attempt is safe on some engine at some time. */
    public static boolean mayRunAgain(ResourceGroup group, boolean mayHaveRun) {
        return !mayHaveRun || group.effect() != Effect.MUTATING;
    }

    /** Whether an engine there discards the repeat of what may have run on the other. */
    public static boolean recognisedAt(ResourceGroup group, Id.Zone firstZone, Id.Cell firstCell,
            Id.Zone zone,
                                       Id.Cell cell) {
        if (group.effect() == Effect.READ_ONLY || group.recognised() == Recognised.ALL) {
            return true;
        }
        return group.recognised() == Recognised.ZONE ? firstZone.equals(zone) : firstCell.equals(cell);
    }

    /**
     * The last moment at which a further attempt may arrive at an engine before the engines forget the first.
     *
     * @param ranSince when the first that may have run was sent
     */
    public static long recognisedUntil(ResourceGroup group, boolean mayHaveRun, long firstSentAt) {
        return group.effect() == Effect.TOKENED && mayHaveRun ? firstSentAt + group.recognisedFor()
                : Long.MAX_VALUE;
    }
}
