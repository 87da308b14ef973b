package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedspring.rig.scale.Fit.Summary;

class FitTest {
    private static final double[] SIZES = {40, 160, 400, 1_000, 2_500};

    /**
     * A power law is recovered from exact points; with scattered points the residual is at most the scatter.
     */
    @Property(seed = "36", tries = 200)
    void aPowerLawIsRecoveredFromScatteredPoints(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double scale = Math.exp(random.nextDouble(-5, 5));
        double power = random.nextDouble(-1, 2.5);
        double[] exact = Arrays.stream(SIZES).map(x -> scale * Math.pow(x, power)).toArray();
        Fit fit = Fit.powerLaw(SIZES, exact);
        assertEquals(power, fit.slope(), 1e-9);
        assertEquals(1, fit.residual(), 1e-6);
        assertEquals(scale * Math.pow(25_000, power), fit.valueAt(25_000), 1e-6 * fit.valueAt(25_000));
        double[] scattered = exact.clone();
        for (int k = 0; k < scattered.length; k++) {
            scattered[k] *= random.nextBoolean() ? 1.1 : 1 / 1.1;
        }
        double residual = Fit.powerLaw(SIZES, scattered).residual();
        assertTrue(residual <= 1.1 + 1e-9, "the residual exceeds the scatter: " + residual);
    }

    @Example
    void aLineIsRecovered() {
        Fit fit = Fit.line(new double[] {0, 1, 2, 3}, new double[] {5, 7, 9, 11});
        assertEquals(5, fit.base(), 1e-9);
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
        assertEquals(25, fit.valueAt(10), 1e-9);
        // Points alternating 1 above and 1 below 6: scatter that no line removes.
        assertEquals(0.894, Fit.line(new double[] {0, 1, 2, 3}, new double[] {7, 5, 7, 5}).residual(), 1e-3);
    }

    @Example
    void inputsWithoutAFitAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> Fit.powerLaw(SIZES, new double[] {1, 2, 0, 3, 4}));
        assertThrows(IllegalArgumentException.class,
                () -> Fit.line(new double[] {3, 3}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> Fit.line(new double[] {3}, new double[] {1}));
        assertThrows(IllegalArgumentException.class, Summary::of);
    }

    @Example
    void summariesHaveMinMedianAndMax() {
        assertEquals(new Summary(1, 2, 9, 3), Summary.of(9, 1, 2));
        assertEquals(new Summary(1, 2, 9, 4), Summary.of(9, 1, 2, 3));
        assertEquals(new Summary(4, 4, 4, 1), Summary.of(4));
    }
}
