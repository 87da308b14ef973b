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

/** From each event of a run until it was in force at the first, median, 99th and last front, as SVG. */
final class Chart {
    private static final List<String> RANKS = List.of("first", "median", "99th", "last");
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 700;

    private Chart() {
    }

    /** Replaces the file as a whole. */
    static void write(Path file, String title, List<Figures.Figure> figures) throws IOException {
        Map<String, Map<String, Double>> events = new TreeMap<>();
        for (Figures.Figure one : figures) {
            int cut = one.figure().lastIndexOf('_');
            if (cut > 0 && RANKS.contains(one.figure().substring(cut + 1))) {
                events.computeIfAbsent(one.figure().substring(0, cut).replace('_', ' '), k -> new TreeMap<>())
                        .put(one.figure().substring(cut + 1), one.value());
            }
        }
        if (events.isEmpty()) {
            return;
        }
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title)
                .xAxisTitle("event").yAxisTitle("ms until in force").build();
        chart.getStyler().setXAxisLabelRotation(45).setLegendPosition(Styler.LegendPosition.OutsideE);
        for (String rank : RANKS) {
            chart.addSeries(rank, new ArrayList<>(events.keySet()),
                    events.values().stream().map(at -> at.getOrDefault(rank, 0.0)).toList());
        }
        Path folder = file.toAbsolutePath().getParent();
        Path part = Files.createTempFile(folder, file.getFileName() + ".", ".part");
        try {
            try (OutputStream to = Files.newOutputStream(part)) {
                VectorGraphicsEncoder.saveVectorGraphic(chart, to, VectorGraphicsFormat.SVG);
            }
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(part);
        }
    }
}
