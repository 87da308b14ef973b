package reedspring;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import reedspring.rig.fleet.Timetable;
import reedspring.rig.fleet.VirtualFleet;
import reedspring.settings.SettingsException;

/** Hundreds of fronts' decisions in virtual time, by timetables; the rules are checked at every action. */
class FleetTest {
    private static final String TIMETABLES = "bench/timetables/";
    private static final int SEEDS = 3;

    private static VirtualFleet play(String name, int fronts, int engines,
            long seed) throws SettingsException {
        return new VirtualFleet(Timetable.read(Path.of(TIMETABLES + name)).sized(fronts, engines), seed)
                .play();
    }

    private static double mean(String name, int fronts, int engines, ToDoubleFunction<VirtualFleet> figure) {
        return LongStream.rangeClosed(1, SEEDS).mapToDouble(seed -> {
            try {
                return figure.applyAsDouble(play(name, fronts, engines, seed));
            } catch (SettingsException e) {
                throw new AssertionError(e);
            }
        }).average().orElseThrow();
    }

    /**
     * The whole fleet's calm day: a burst of half as much again pushed a third of the engines over their
     * memory, and 15 s after its end a third of the value was served, on engines that stood idle for the most
     * part.
     */
    @Example
    void aBurstThatFillsTheEnginesMemoryLeavesNoFleetThatStaysDown() {
        double[] after = new double[1];
        double before = mean("memory-burst.ini", 60, 24, fleet -> {
            after[0] += fleet.served(10, 30) / SEEDS;
            return fleet.served(0, 5);
        });
        assertTrue(before > 0.9, "served before the burst: " + before);
        assertTrue(after[0] > 0.7, "served after the burst: " + after[0]);
    }

    /** Where each front sees much, what hundreds need must not make it worse. */
    @Example
    void oneThreeAndTwelveFrontsServeNearlyAllOfACalmLoad() throws SettingsException {
        for (int fronts : new int[] {1, 3, 12}) {
            double served = play("calm.ini", fronts, 12, 4).served();
            assertTrue(served > 0.95, fronts + " fronts served: " + served);
        }
    }

    /**
     * A tenth of the work of an engine that returns is what all fronts may try; it must not be more than
     * peers bear.
     */
    @Example
    void aHundredFrontsAndAnEngineThatReturnsFromSilenceAndHalfReplaced() throws SettingsException {
        VirtualFleet fleet = play("return.ini", 100, 40, 5);
        assertTrue(fleet.served() > 0.8, "served: " + fleet.served() + " " + fleet.counts());
        assertTrue(fleet.mostThreads() < 8, "threads a core on the fullest: " + fleet.mostThreads());
    }

    /** Lists seven seconds apart, in another order for each; nothing goes to what a front was told is off. */
    @Example
    void listsSecondsApartBeforeManyFrontsAndFew() throws SettingsException {
        for (int fronts : new int[] {1, 3, 12, 200}) {
            VirtualFleet fleet = play("lists.ini", fronts, fronts > 12 ? 40 : 12, 10);
            assertTrue(fleet.served() > 0.8, fronts + " fronts served: " + fleet.served() + " " + fleet
                    .counts());
        }
    }

    @Example
    void seventyOfAHundredFrontsAreKilledAndTheRestBearTheLoad() throws SettingsException {
        VirtualFleet fleet = play("kill.ini", 100, 40, 6);
        assertTrue(fleet.served(6, 12) > 0.9, "served afterwards: " + fleet.served(6, 12));
    }

    /**
     * Failing at once, five times slower, cut one way, lying, frozen and mute, before many fronts and few.
     */
    @Example
    void badEnginesTakeLittleBeforeManyFrontsAndFew() throws SettingsException {
        for (int fronts : new int[] {1, 3, 12, 100}) {
            VirtualFleet fleet = play("bad-engines.ini", fronts, fronts > 12 ? 40 : 12, 9);
            assertTrue(fleet.served() > 0.85, fronts + " fronts served: " + fleet.served());
        }
    }

    /**
     * What all fronts send together, equal and unequal, some of them started anew within the window: the
     * fleet checks each arrival against the rule with no more room for chance than twice the root and two.
     */
    @Example
    void allFrontsTogetherPushNoColdEngineOver() throws SettingsException {
        for (int fronts : new int[] {1, 3, 20, 30, 100}) {
            for (long seed = 1; seed <= (fronts < 100 ? 6 : 2); seed++) {
                VirtualFleet fleet = play("cold.ini", fronts, fronts > 20 ? fronts * 2 / 5 : 8, seed);
                assertTrue(fleet.coldArrivals() > 20, "cold engines are used, too: " + fleet.coldArrivals());
            }
        }
    }

    @Example
    void aSiteLostAndAStormLeaveNoFleetDown() throws SettingsException {
        VirtualFleet storm = play("storm.ini", 100, 40, 7);
        assertTrue(storm.served(9, 12) > 0.9, "served after the storm: " + storm.served(9, 12));
        VirtualFleet site = play("site-lost.ini", 100, 40, 8);
        assertTrue(site.served(11, 14) > 0.85, "served after the site is back: " + site.served(11, 14));
    }
}
