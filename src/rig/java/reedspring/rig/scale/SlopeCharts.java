package reedspring.rig.scale;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import reedspring.rig.scale.Figures.Figure;
import reedspring.rig.scale.Fit.Summary;

/** Draws kept figures as SVG: medians over one factor on logarithmic axes, one chart for each unit. */
public final class SlopeCharts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 600;

    private SlopeCharts() {
    }

    /**
     * Writes {@code slopes-UNIT.svg} for each unit that has a figure measured at two sizes or more.
     *
     * @return the files written
     */
    public static List<Path> writeByEngines(List<Figure> figures, Path directory) throws IOException {
        List<Path> files = new ArrayList<>();
        Files.createDirectories(directory);
        for (String unit : new TreeSet<>(figures.stream().map(Figure::unit).toList())) {
            Path file = directory.resolve("slopes-" + unit.replaceAll("[^A-Za-z]+", "-") + ".svg");
            if (draw("by engines", unit, figures.stream().filter(f -> f.unit().equals(unit)
                    && f.queriesPerSecond() == 0 && f.connections() == 0
                    && (f.fronts() == Slopes.FRONTS || f.fronts() == 0)).toList(), Figure::engines, file)) {
                files.add(file);
            }
        }
        return files;
    }

    private static boolean draw(String factorLabel, String unit, List<Figure> figures,
            ToDoubleFunction<Figure> factor, Path file) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(unit + " " + factorLabel)
                .xAxisTitle(factorLabel.replace("by ", "")).yAxisTitle(unit).build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true)
                .setLegendPosition(Styler.LegendPosition.OutsideE);
        for (String name : new TreeSet<>(figures.stream().map(Figure::figure).toList())) {
            Map<Double, Summary> summaries = Summary.byFactor(figures.stream()
                    .filter(f -> f.figure().equals(name)), factor);
            summaries.entrySet().removeIf(e -> e.getKey() <= 0 || e.getValue().median() <= 0);
            if (summaries.size() > 1) {
                chart.addSeries(name, new ArrayList<>(summaries.keySet()),
                        summaries.values().stream().map(Summary::median).toList());
            }
        }
        if (chart.getSeriesMap().isEmpty()) {
            return false;
        }
        try (OutputStream output = Files.newOutputStream(file)) {
            VectorGraphicsEncoder.saveVectorGraphic(chart, output, VectorGraphicsFormat.SVG);
        }
        return true;
    }
}
