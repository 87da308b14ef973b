package reedspring.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.fleet.RunChecker;
import reedspring.rig.fleet.Soak;

/**
 * A short run of the randomized fault test. The seeds are chosen for starts under failing system calls,
 * series of signals, shutdowns with short deadlines, many idle connections and copied traces. A failure
 * names its seed; bench/soak plays longer runs.
 */
class SoakIT {
    private static final int MAX_RUNS_PER_SEED = 2;
    private static final long COPIED_TRACE_DURING_STOP_SEED = 3013;
    private static final List<Long> SEEDS = List.of(2L, 11L, 1001L, 1004L);

    @Example
    void randomTimetablesBreakNoRule() throws Exception {
        int conclusiveRuns = 0;
        for (long seed : SEEDS) {
            conclusiveRuns += isConclusive(seed) ? 1 : 0;
        }
        assertTrue(conclusiveRuns > 0, "every run was void: the test rig stalled");
    }

    /** A request and another with a copy of its trace arrive while the front's process is stopped. */
    @Example
    void aCopyThatComesWhileAFrontStandsStillGoesNowhere() throws Exception {
        assertTrue(isConclusive(COPIED_TRACE_DURING_STOP_SEED), "every run was void: the test rig stalled");
    }

    /** Returns false if the rig itself stalled in every run; throws if a run breaks a rule. */
    private static boolean isConclusive(long seed) throws Exception {
        for (int run = 1; run <= MAX_RUNS_PER_SEED; run++) {
            try {
                System.out.println("soak, seed " + seed + ": " + Soak.play(seed, 0, Path.of(".")));
                return true;
            } catch (RunChecker.VoidRunException e) {
                System.out.println("soak, seed " + seed + ", run " + run + ": void, " + e.getMessage());
            }
        }
        return false;
    }
}
