package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import reedspring.rig.scale.Figures.Figure;

class FiguresTest {
    private static final String HEADER =
            "run,figure,unit,fronts,engines,queries_per_second,connections,changes_per_second,repeat,value\n";
    private final Path directory;

    FiguresTest() throws IOException {
        directory = Files.createTempDirectory("figures");
        directory.toFile().deleteOnExit();
    }

    @Example
    void writtenFiguresAreReadBack() throws IOException {
        List<Figure> figures = List.of(
                new Figure("b288884 bench/scale --seed 1", "query_cpu", "us", 3600, 400, 0, 0, 0, 1, 98.25),
                new Figure("with \"a\", comma", "heap", "MB", 12, 25_000, 0.5, 7, 1e-7, 3, -1e300));
        Path file = directory.resolve("new/kept.csv");
        Figures.write(file, figures);
        assertEquals(figures, Figures.read(file));
        Figures.write(file, figures.subList(0, 1));
        assertEquals(figures.subList(0, 1), Figures.readAll(directory.resolve("new")));
        assertEquals(HEADER + "b288884 bench/scale --seed 1,query_cpu,us,3600,400,0,0,0,1,98.25\n",
                Files.readString(file));
    }

    @Example
    void aFailedWriteLeavesTheOldFileAndNoTemporaryFile() throws IOException {
        Path file = directory.resolve("kept.csv");
        Figure good = new Figure("r", "f", "us", 1, 1, 0, 0, 0, 1, 1);
        Figures.write(file, List.of(good));
        assertThrows(IllegalArgumentException.class, () -> Figures.write(file,
                List.of(good, new Figure("r", "f", "us", 1, 1, 0, 0, 0, 1, Double.NaN))));
        assertEquals(List.of(good), Figures.read(file));
        try (Stream<Path> remaining = Files.list(directory)) {
            assertEquals(List.of(file), remaining.toList());
        }
    }

    @Example
    void errorsNameFileLineAndColumn() throws IOException {
        assertReadFails("", 1, "run: the file is empty");
        assertReadFails("run,figure,unit\n", 1, "fronts: the columns have to be " + HEADER.trim());
        assertReadFails(HEADER + "r,f,us,1,1,0,0,0,1\n", 2, "value: 9 fields instead of 10");
        assertReadFails(HEADER + "r,f,us,1,1,0,0,0,1,2\nr,f,us,1,x,0,0,0,1,2\n", 3,
                "engines: 'x' is not a count");
        assertReadFails(HEADER + "r,f,us,-1,1,0,0,0,1,2\n", 2, "fronts: '-1' is not a count");
        assertReadFails(HEADER + "\"r\nr\",f,us,1,1,0,0,0,1,2\nr,f,us,1,1,-2,0,0,1,2\n", 4,
                "queries_per_second: '-2' is not a rate");
        assertReadFails(HEADER + "r,,us,1,1,0,0,0,1,2\n", 2, "figure: missing");
        assertReadFails(HEADER + "r,f,us,1,1,0,0,0,1,NaN\n", 2, "value: 'NaN' is not a number");
    }

    private void assertReadFails(String text, int line, String message) throws IOException {
        Path file = Files.writeString(directory.resolve("faulty.csv"), text);
        IOException e = assertThrows(IOException.class, () -> Figures.read(file));
        assertEquals(file + ":" + line + ": " + message, e.getMessage());
    }
}
