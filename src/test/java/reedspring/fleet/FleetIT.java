package reedspring.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import net.jqwik.api.Example;
import reedspring.rig.fleet.Fleet;
import reedspring.rig.fleet.RunSummary;

/**
 * Runs timetables with faults on eight front processes. {@link reedspring.rig.fleet.RunChecker} checks the
 * rules on everything that clients and engines saw. The limits on the served share are far below the measured
 * values, since performance varies on a machine that runs many processes.
 */
class FleetIT {
    private static void play(String name, long seed, double minServedShare) throws Exception {
        RunSummary summary = Fleet.play(Path.of("bench/timetables/" + name), seed);
        System.out.println(name + " " + summary);
        assertTrue(summary.queries() > 500, "queries: " + summary);
        assertTrue(summary.servedShare() >= minServedShare, "served: " + summary);
    }

    @Example
    void enginesReturnFromSilenceAndHalfOfThemAreReplaced() throws Exception {
        play("return.ini", 11, 0.4);
    }

    @Example
    void seventyPercentOfTheFrontsAreKilledAndRestartedTogether() throws Exception {
        play("kill.ini", 12, 0.3);
    }

    @Example
    void enginesFailInManyWays() throws Exception {
        play("bad-engines.ini", 13, 0.4);
    }

    @Example
    void aBurstWithResetsAndAPauseOfAllFronts() throws Exception {
        play("storm.ini", 14, 0.4);
    }

    @Example
    void engineListsArriveSecondsApartWhileHalfOfTheEnginesAreReplaced() throws Exception {
        play("lists.ini", 16, 0.3);
    }

    @Example
    void aSiteIsLostAndLinksFail() throws Exception {
        play("site-lost.ini", 15, 0.3);
    }
}
