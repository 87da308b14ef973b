package reedspring.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.fleet.RunChecker;
import reedspring.rig.fleet.Soak;

/**
 * A short run of the randomized fault test. The seeds are chosen for starts under failing system calls,
 * series
 * of signals, shutdowns with short deadlines, many idle connections and copied traces. A failure names its
 * seed; bench/soak plays longer runs.
 */
class SoakIT {
    private static final int PLAYS = 2;
    private static final long COPY_DURING_STOP = 3013;
    private static final List<Long> SEEDS = List.of(2L, 11L, 1001L, 1004L);

    @Example
    void noRuleBreaksOnDaysThatSeedsDraw() throws Exception {
        int judged = 0;
        for (long seed : SEEDS) {
            judged += judges(seed) ? 1 : 0;
        }
        assertTrue(judged > 0, "the machine was too busy to judge any day");
    }

    /** A request and another with a copy of its trace arrive while the front's process is stopped. */
    @Example
    void aCopyThatComesWhileAFrontStandsStillGoesNowhere() throws Exception {
        assertTrue(judges(COPY_DURING_STOP), "the machine was too busy to judge the day");
    }

    /** Returns false if the rig itself stalled in every run; throws if a run breaks a rule. */
    private static boolean judges(long seed) throws Exception {
        for (int play = 1; play <= PLAYS; play++) {
            try {
                System.out.println("soak, seed " + seed + ": " + Soak.play(seed, 0, Path.of(".")));
                return true;
            } catch (RunChecker.VoidRunException e) {
                System.out.println("soak, seed " + seed + ", play " + play + ": void, " + e.getMessage());
            }
        }
        return false;
    }
}
