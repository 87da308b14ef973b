package reedspring;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import reedspring.rig.fleet.Timetable;
import reedspring.rig.fleet.VirtualFleet;
import reedspring.settings.SettingsException;

/** Simulates up to hundreds of fronts in virtual time, by timetables; checks the rules at every action. */
class FleetTest {
    private static final String TIMETABLES = "bench/timetables/";
    private static final int SEEDS = 3;

    private static VirtualFleet play(String name, int fronts, int engines,
            long seed) throws SettingsException {
        return new VirtualFleet(Timetable.read(Path.of(TIMETABLES + name)).sized(fronts, engines), seed)
                .play();
    }

    private static double mean(String name, int fronts, int engines, ToDoubleFunction<VirtualFleet> metric) {
        return LongStream.rangeClosed(1, SEEDS).mapToDouble(seed -> {
            try {
                return metric.applyAsDouble(play(name, fronts, engines, seed));
            } catch (SettingsException e) {
                throw new AssertionError(e);
            }
        }).average().orElseThrow();
    }

    /**
     * A burst of 50 % more load pushed a third of the engines over their memory; 15 s after its end only a
     * third of the value was served, on engines that were mostly idle.
     */
    @Example
    void theFleetRecoversFromABurstThatFillsTheEnginesMemory() {
        double[] after = new double[1];
        double before = mean("memory-burst.ini", 60, 24, fleet -> {
            after[0] += fleet.served(10, 30) / SEEDS;
            return fleet.served(0, 5);
        });
        assertTrue(before > 0.9, "served before the burst: " + before);
        assertTrue(after[0] > 0.7, "served after the burst: " + after[0]);
    }

    /** Mechanisms for hundreds of fronts must not make few fronts worse, which each see much of the load. */
    @Example
    void fewFrontsServeNearlyAllOfANormalLoad() throws SettingsException {
        for (int fronts : new int[] {1, 3, 12}) {
            double served = play("calm.ini", fronts, 12, 4).served();
            assertTrue(served > 0.95, fronts + " fronts served: " + served);
        }
    }

    /**
     * All fronts together may use a tenth of a returning engine for probes, and no engine may be overloaded
     * meanwhile.
     */
    @Example
    void aHundredFrontsHandleAReturningEngineAndHalfReplaced() throws SettingsException {
        VirtualFleet fleet = play("return.ini", 100, 40, 5);
        assertTrue(fleet.served() > 0.8, "served: " + fleet.served() + " " + fleet.counts());
        assertTrue(fleet.maxThreadsPerCore() < 8,
                "threads per core on the fullest: " + fleet.maxThreadsPerCore());
    }

    /**
     * Fronts get lists up to seven seconds apart, each in another order; none uses an engine listed as
     * unavailable.
     */
    @Example
    void listsThatReachFrontsSecondsApart() throws SettingsException {
        for (int fronts : new int[] {1, 3, 12, 200}) {
            VirtualFleet fleet = play("lists.ini", fronts, fronts > 12 ? 40 : 12, 10);
            assertTrue(fleet.served() > 0.8, fronts + " fronts served: " + fleet.served() + " " + fleet
                    .counts());
        }
    }

    @Example
    void theRestBearTheLoadWhenSeventyOfAHundredFrontsAreKilled() throws SettingsException {
        VirtualFleet fleet = play("kill.ini", 100, 40, 6);
        assertTrue(fleet.served(6, 12) > 0.9, "served afterwards: " + fleet.served(6, 12));
    }

    /**
     * Engines that fail at once, are five times slower, are cut off in one direction, report a wrong load,
     * hang or do not answer, with many fronts and few.
     */
    @Example
    void badEnginesGetFewQueries() throws SettingsException {
        for (int fronts : new int[] {1, 3, 12, 100}) {
            VirtualFleet fleet = play("bad-engines.ini", fronts, fronts > 12 ? 40 : 12, 9);
            assertTrue(fleet.served() > 0.85, fronts + " fronts served: " + fleet.served());
        }
    }

    /**
     * Fronts of equal and unequal load, some of them restarted within the window. The simulation checks each
     * arrival against the cold start rule, with a tolerance of two plus twice the square root for randomness.
     */
    @Example
    void allFrontsTogetherDoNotOverloadAColdEngine() throws SettingsException {
        for (int fronts : new int[] {1, 3, 20, 30, 100}) {
            for (long seed = 1; seed <= (fronts < 100 ? 6 : 2); seed++) {
                VirtualFleet fleet = play("cold.ini", fronts, fronts > 20 ? fronts * 2 / 5 : 8, seed);
                assertTrue(fleet.coldArrivals() > 20, "arrivals at cold engines: " + fleet.coldArrivals());
            }
        }
    }

    @Example
    void theFleetRecoversFromAStormAndALostSite() throws SettingsException {
        VirtualFleet storm = play("storm.ini", 100, 40, 7);
        assertTrue(storm.served(9, 12) > 0.9, "served after the storm: " + storm.served(9, 12));
        VirtualFleet site = play("site-lost.ini", 100, 40, 8);
        assertTrue(site.served(11, 14) > 0.85, "served after the site is back: " + site.served(11, 14));
    }
}
