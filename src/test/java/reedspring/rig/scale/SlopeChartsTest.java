package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.scale.Figures.Figure;

class SlopeChartsTest {
    @Example
    void aUnitWithTwoSizesIsDrawn() throws IOException {
        Path out = Files.createTempDirectory("charts");
        List<Path> files = SlopeCharts.writeByEngines(List.of(
                new Figure("r", "query", "us", 3_600, 40, 0, 0, 0, 1, 15),
                new Figure("r", "query", "us", 3_600, 400, 0, 0, 0, 1, 98),
                new Figure("r", "once", "MB", 3_600, 400, 0, 0, 0, 1, 98)), out);
        assertEquals(List.of(out.resolve("slopes-us.svg")), files);
        String drawn = Files.readString(files.get(0));
        assertTrue(drawn.contains("<svg") && drawn.contains("</svg>"), "the SVG file is not complete");
    }
}
