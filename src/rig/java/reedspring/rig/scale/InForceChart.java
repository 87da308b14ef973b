package reedspring.rig.scale;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.style.Styler;

/**
 * Draws, as SVG, the time from each event of a run until it was in force at the first, median, 99th and last
 * front.
 */
final class InForceChart {
    private static final List<String> RANKS = List.of("first", "median", "99th", "last");
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 700;

    private InForceChart() {
    }

    /** Replaces the file atomically; writes nothing if no figure is such a time. */
    static void write(Path file, String title, List<Figures.Figure> figures) throws IOException {
        Map<String, Map<String, Double>> valuesByEvent = new TreeMap<>();
        for (Figures.Figure figure : figures) {
            int separator = figure.figure().lastIndexOf('_');
            if (separator > 0 && RANKS.contains(figure.figure().substring(separator + 1))) {
                valuesByEvent.computeIfAbsent(figure.figure().substring(0, separator).replace('_', ' '),
                        k -> new TreeMap<>())
                        .put(figure.figure().substring(separator + 1), figure.value());
            }
        }
        if (valuesByEvent.isEmpty()) {
            return;
        }
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title)
                .xAxisTitle("event").yAxisTitle("ms until in force").build();
        chart.getStyler().setXAxisLabelRotation(45).setLegendPosition(Styler.LegendPosition.OutsideE);
        for (String rank : RANKS) {
            chart.addSeries(rank, new ArrayList<>(valuesByEvent.keySet()),
                    valuesByEvent.values().stream().map(values -> values.getOrDefault(rank, 0.0)).toList());
        }
        Path directory = file.toAbsolutePath().getParent();
        Path temporary = Files.createTempFile(directory, file.getFileName() + ".", ".part");
        try {
            try (OutputStream output = Files.newOutputStream(temporary)) {
                VectorGraphicsEncoder.saveVectorGraphic(chart, output, VectorGraphicsFormat.SVG);
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }
}
