package reedspring;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import net.jqwik.api.Example;
import reedspring.api.Deployment;
import reedspring.rig.PagedFleet;

class FleetTest {
    private static final double[] WORK = {2_000, 16_000};
    private static final double[] NEED_MB = {700, 3_000};

    /**
     * The whole fleet's calm day: a burst of half as much again pushed a third of the engines over their
     * memory, and 15 s after its end a third of the value was served, on engines that stood idle for the most
     * part. Without the answer to that, 0.40 of the value is served here after the burst; 0.85 with it.
     */
    @Example
    void aBurstThatFillsTheEnginesMemoryLeavesNoFleetThatStaysDown() {
        double before = LongStream.range(1, 6).mapToDouble(seed -> burst(seed).served(0, 5)).average()
                .orElseThrow();
        double after = LongStream.range(1, 6).mapToDouble(seed -> burst(seed).served(10, 30)).average()
                .orElseThrow();
        assertTrue(before > 0.9, "served before the burst: " + before);
        assertTrue(after > 0.7, "served after the burst: " + after);
    }

    /** With two fronts, each sees half of all: what hundreds need must not make it worse. */
    @Example
    void twoFrontsServeAllOfACalmLoad() {
        PagedFleet fleet = new PagedFleet(rules(2), 6, 4, 40);
        fleet.play(20, 60, 8, WORK, NEED_MB);
        fleet.play(5, 1, 8, WORK, NEED_MB);
        assertTrue(fleet.served(0, 20) > 0.95, "served: " + fleet.served(0, 20));
    }

    private static PagedFleet burst(long seed) {
        PagedFleet fleet = new PagedFleet(rules(60), 24, seed, 60);
        fleet.play(5, 300, 8, WORK, NEED_MB);
        fleet.play(5, 450, 8, WORK, NEED_MB);
        fleet.play(20, 300, 8, WORK, NEED_MB);
        fleet.play(4, 1, 8, WORK, NEED_MB);
        return fleet;
    }

    private static Deployment rules(int fronts) {
        return House.deployment(fronts, false, false, null,
                House.group(10_000, 1, 1, Deployment.Effect.READ_ONLY),
                House.group(15_000, 5, 4, Deployment.Effect.READ_ONLY));
    }
}
