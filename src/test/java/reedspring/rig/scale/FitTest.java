package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedspring.rig.scale.Fit.Spread;

class FitTest {
    private static final double[] SIZES = {40, 160, 400, 1_000, 2_500};

    /** A law with a known miss is found again, and the residual is that miss. */
    @Property(seed = "36", tries = 200)
    void aLawIsFoundAgainThroughItsScatter(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        double scale = Math.exp(chance.nextDouble(-5, 5));
        double power = chance.nextDouble(-1, 2.5);
        double[] exact = Arrays.stream(SIZES).map(x -> scale * Math.pow(x, power)).toArray();
        Fit fit = Fit.power(SIZES, exact);
        assertEquals(power, fit.slope(), 1e-9);
        assertEquals(1, fit.residual(), 1e-6);
        assertEquals(scale * Math.pow(25_000, power), fit.at(25_000), 1e-6 * fit.at(25_000));
        double[] off = exact.clone();
        for (int k = 0; k < off.length; k++) {
            off[k] *= chance.nextBoolean() ? 1.1 : 1 / 1.1;
        }
        double residual = Fit.power(SIZES, off).residual();
        assertTrue(residual <= 1.1 + 1e-9, "least squares miss by no more than the law: " + residual);
    }

    @Example
    void aLineIsFoundAgain() {
        Fit fit = Fit.line(new double[] {0, 1, 2, 3}, new double[] {5, 7, 9, 11});
        assertEquals(5, fit.base(), 1e-9);
        assertEquals(2, fit.slope(), 1e-9);
        assertEquals(0, fit.residual(), 1e-9);
        assertEquals(25, fit.at(10), 1e-9);
        // Points at 1 over and 1 under in turn, about 6: a usual miss that the line can't take away.
        assertEquals(0.894, Fit.line(new double[] {0, 1, 2, 3}, new double[] {7, 5, 7, 5}).residual(), 1e-3);
    }

    @Example
    void whereNoLawCanBeThereIsAnError() {
        assertThrows(IllegalArgumentException.class, () -> Fit.power(SIZES, new double[] {1, 2, 0, 3, 4}));
        assertThrows(IllegalArgumentException.class,
                () -> Fit.line(new double[] {3, 3}, new double[] {1, 2}));
        assertThrows(IllegalArgumentException.class, () -> Fit.line(new double[] {3}, new double[] {1}));
        assertThrows(IllegalArgumentException.class, Spread::of);
    }

    @Example
    void repeatsHaveALeastAMiddleAndAGreatest() {
        assertEquals(new Spread(1, 2, 9, 3), Spread.of(9, 1, 2));
        assertEquals(new Spread(1, 2, 9, 4), Spread.of(9, 1, 2, 3));
        assertEquals(new Spread(4, 4, 4, 1), Spread.of(4));
    }
}
