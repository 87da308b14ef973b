package reedspring.fleet;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import net.jqwik.api.Example;
import reedspring.rig.fleet.Fleet;
import reedspring.rig.fleet.Tally;

/**
 * Eight processes of the program with faults between them. The rules are checked by {@code rig.fleet.Rules}
 * over all that was seen at clients and engines; served is asserted only far below what was measured, since
 * a machine full of processes is no yardstick.
 */
class FleetIT {
    private static void play(String name, long seed, double servedAtLeast) throws Exception {
        Tally tally = Fleet.play(Path.of("bench/timetables/" + name), seed);
        System.out.println(name + " " + tally);
        assertTrue(tally.queries() > 500, "asked: " + tally);
        assertTrue(tally.served() >= servedAtLeast, "served: " + tally);
    }

    @Example
    void enginesReturnFromSilenceAndHalfOfThemAreReplaced() throws Exception {
        play("return.ini", 11, 0.4);
    }

    @Example
    void sevenFrontsInTenAreKilledAtOnceAndComeBackTogether() throws Exception {
        play("kill.ini", 12, 0.3);
    }

    @Example
    void badEnginesOfManyKinds() throws Exception {
        play("bad-engines.ini", 13, 0.4);
    }

    @Example
    void aBurstResetsAndAStopOfAllFronts() throws Exception {
        play("storm.ini", 14, 0.4);
    }

    @Example
    void listsComeSecondsApartWhileHalfOfTheEnginesAreReplaced() throws Exception {
        play("lists.ini", 16, 0.3);
    }

    @Example
    void aSiteIsLostAndLinksFailInOtherWays() throws Exception {
        play("site-lost.ini", 15, 0.3);
    }
}
