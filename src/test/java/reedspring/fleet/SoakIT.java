package reedspring.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.fleet.Rules;
import reedspring.rig.fleet.Soak;

/**
 * The fault soak, short: seeds whose days hold starts under failing calls, signals in series, ends with short
 * deadlines, a crowd, copied traces. A find fails with its seed; the long form is bench/soak.
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

    /** A front is stopped; a request and the copy of its trace come meanwhile. */
    @Example
    void aCopyThatComesWhileAFrontStandsStillGoesNowhere() throws Exception {
        assertTrue(judges(COPY_DURING_STOP), "the machine was too busy to judge the day");
    }

    /** False if the machine was too busy for the rig itself, each time; a rule that breaks is thrown. */
    private static boolean judges(long seed) throws Exception {
        for (int play = 1; play <= PLAYS; play++) {
            try {
                System.out.println("soak, seed " + seed + ": " + Soak.play(seed, 0, Path.of(".")));
                return true;
            } catch (Rules.VoidRunException e) {
                System.out.println("soak, seed " + seed + ", play " + play + ": void, " + e.getMessage());
            }
        }
        return false;
    }
}
