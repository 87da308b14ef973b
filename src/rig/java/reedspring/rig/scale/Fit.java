package reedspring.rig.scale;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A law through measured points by least squares: {@code scale * x^power}, or a line {@code base + slope
 * * x}. The residual of a power law is the factor by which the points usually miss it (1.1: a tenth), that of
 * a line the usual miss in the figure's own unit.
 */
public record Fit(boolean power, double base, double slope, double residual) {
    /** Least, middle and greatest of the repeats at one place; of an even count the lower middle. */
    public record Spread(double least, double median, double most, int repeats) {
        static Spread of(double... values) {
            if (values.length == 0) {
                throw new IllegalArgumentException("no repeat");
            }
            double[] sorted = values.clone();
            Arrays.sort(sorted);
            return new Spread(sorted[0], sorted[(sorted.length - 1) / 2], sorted[sorted.length - 1],
                    sorted.length);
        }
    }

    /** Through points over 0, by the logs of both. {@code base} is the scale, {@code slope} the power. */
    public static Fit power(double[] x, double[] y) {
        double[] logX = Arrays.stream(x).map(Fit::positive).map(Math::log).toArray();
        double[] logY = Arrays.stream(y).map(Fit::positive).map(Math::log).toArray();
        SimpleRegression law = through(logX, logY);
        return new Fit(true, Math.exp(law.getIntercept()), law.getSlope(), Math.exp(miss(law, logX.length)));
    }

    public static Fit line(double[] x, double[] y) {
        SimpleRegression law = through(x, y);
        return new Fit(false, law.getIntercept(), law.getSlope(), miss(law, x.length));
    }

    private static double positive(double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException("a power law goes through no point at " + value);
        }
        return value;
    }

    private static SimpleRegression through(double[] x, double[] y) {
        if (x.length != y.length || Arrays.stream(x).distinct().count() < 2) {
            throw new IllegalArgumentException("a law needs two places at least");
        }
        SimpleRegression law = new SimpleRegression();
        for (int k = 0; k < x.length; k++) {
            law.addData(x[k], y[k]);
        }
        return law;
    }

    private static double miss(SimpleRegression law, int points) {
        return Math.sqrt(Math.max(0, law.getSumSquaredErrors()) / points);
    }

    public double at(double x) {
        return power ? base * Math.pow(x, slope) : base + slope * x;
    }

    @Override
    public String toString() {
        return power ? String.format(Locale.ROOT, "%.3g x^%.2f, within %.2f times", base, slope, residual)
                : String.format(Locale.ROOT, "%.3g + %.3g x, within %.2g", base, slope, residual);
    }
}
