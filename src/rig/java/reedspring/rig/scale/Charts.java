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
import reedspring.rig.scale.Fit.Spread;

/** Kept figures as SVG: medians over one factor, on scales of logarithms, one chart for each unit. */
public final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 600;

    private Charts() {
    }

    /**
     * Writes {@code slopes-UNIT.svg} for each unit whose figures stand at two sizes or more.
     *
     * @return the files
     */
    public static List<Path> byEngines(List<Figure> figures, Path out) throws IOException {
        List<Path> files = new ArrayList<>();
        Files.createDirectories(out);
        for (String unit : new TreeSet<>(figures.stream().map(Figure::unit).toList())) {
            Path file = out.resolve("slopes-" + unit.replaceAll("[^A-Za-z]+", "-") + ".svg");
            if (draw("by engines", unit, figures.stream().filter(f -> f.unit().equals(unit)
                    && f.queriesPerSecond() == 0 && f.connections() == 0
                    && (f.fronts() == Slopes.FRONTS || f.fronts() == 0)).toList(), Figure::engines, file)) {
                files.add(file);
            }
        }
        return files;
    }

    private static boolean draw(String by, String unit, List<Figure> figures, ToDoubleFunction<Figure> factor,
            Path file) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(unit + " " + by)
                .xAxisTitle(by.replace("by ", "")).yAxisTitle(unit).build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true)
                .setLegendPosition(Styler.LegendPosition.OutsideE);
        for (String name : new TreeSet<>(figures.stream().map(Figure::figure).toList())) {
            Map<Double, Spread> places = Spread.by(figures.stream().filter(f -> f.figure().equals(name)),
                    factor);
            places.entrySet().removeIf(e -> e.getKey() <= 0 || e.getValue().median() <= 0);
            if (places.size() > 1) {
                chart.addSeries(name, new ArrayList<>(places.keySet()),
                        places.values().stream().map(Spread::median).toList());
            }
        }
        if (chart.getSeriesMap().isEmpty()) {
            return false;
        }
        try (OutputStream to = Files.newOutputStream(file)) {
            VectorGraphicsEncoder.saveVectorGraphic(chart, to, VectorGraphicsFormat.SVG);
        }
        return true;
    }
}
