package reedspring.rig.scale;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import reedspring.rig.scale.Figures.Figure;

/**
 * A least squares fit through measured points: a power law {@code base * x^slope} or a line
 * {@code base + slope * x}. The residual is the root mean square error: for a power law as a factor (1.1 is a
 * tenth), for a line in the unit of the figure.
 */
public record Fit(boolean powerLaw, double base, double slope, double residual) {
    /**
     * Minimum, median and maximum of repeated measurements; of an even number, the lower of the two medians.
     */
    public record Summary(double min, double median, double max, int repeats) {
        /** Summarises figures by the value of a factor, in ascending order. */
        static Map<Double, Summary> byFactor(Stream<Figure> figures, ToDoubleFunction<Figure> factor) {
            Map<Double, Summary> summaries = new TreeMap<>();
            figures.collect(Collectors.groupingBy(factor::applyAsDouble)).forEach((factorValue, repeated) ->
                    summaries.put(factorValue, of(repeated.stream().mapToDouble(Figure::value).toArray())));
            return summaries;
        }

        static Summary of(double... values) {
            if (values.length == 0) {
                throw new IllegalArgumentException("no values to summarise");
            }
            double[] sorted = values.clone();
            Arrays.sort(sorted);
            return new Summary(sorted[0], sorted[(sorted.length - 1) / 2], sorted[sorted.length - 1],
                    sorted.length);
        }
    }

    /** Fits a power law by linear regression of the logarithms; all coordinates have to be above 0. */
    public static Fit powerLaw(double[] x, double[] y) {
        double[] logX = Arrays.stream(x).map(Fit::requirePositive).map(Math::log).toArray();
        double[] logY = Arrays.stream(y).map(Fit::requirePositive).map(Math::log).toArray();
        SimpleRegression regression = regression(logX, logY);
        return new Fit(true, Math.exp(regression.getIntercept()), regression.getSlope(),
                Math.exp(rootMeanSquareError(regression, logX.length)));
    }

    /** Fits a line. */
    public static Fit line(double[] x, double[] y) {
        SimpleRegression regression = regression(x, y);
        return new Fit(false, regression.getIntercept(), regression.getSlope(),
                rootMeanSquareError(regression, x.length));
    }

    private static double requirePositive(double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException("a power law can't be fitted through a value of " + value);
        }
        return value;
    }

    private static SimpleRegression regression(double[] x, double[] y) {
        if (x.length != y.length || Arrays.stream(x).distinct().count() < 2) {
            throw new IllegalArgumentException(
                    "a fit needs as many y as x values, and two different x at least");
        }
        SimpleRegression regression = new SimpleRegression();
        for (int k = 0; k < x.length; k++) {
            regression.addData(x[k], y[k]);
        }
        return regression;
    }

    private static double rootMeanSquareError(SimpleRegression regression, int points) {
        return Math.sqrt(Math.max(0, regression.getSumSquaredErrors()) / points);
    }

    /** The fitted value at {@code x}. */
    public double valueAt(double x) {
        return powerLaw ? base * Math.pow(x, slope) : base + slope * x;
    }

    @Override
    public String toString() {
        return powerLaw ? String.format(Locale.ROOT, "%.3g x^%.2f, within %.2f times", base, slope, residual)
                : String.format(Locale.ROOT, "%.3g + %.3g x, within %.2g", base, slope, residual);
    }
}
