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
    private static final String HEAD =
            "run,figure,unit,fronts,engines,queries_per_second,connections,changes_per_second,repeat,value\n";
    private final Path folder;

    FiguresTest() throws IOException {
        folder = Files.createTempDirectory("figures");
        folder.toFile().deleteOnExit();
    }

    @Example
    void whatIsWrittenIsReadAgain() throws IOException {
        List<Figure> figures = List.of(
                new Figure("b288884 bench/scale --seed 1", "query_cpu", "us", 3600, 400, 0, 0, 0, 1, 98.25),
                new Figure("with \"a\", comma", "heap", "MB", 12, 25_000, 0.5, 7, 1e-7, 3, -1e300));
        Path file = folder.resolve("new/kept.csv");
        Figures.write(file, figures);
        assertEquals(figures, Figures.read(file));
        Figures.write(file, figures.subList(0, 1));
        assertEquals(figures.subList(0, 1), Figures.readAll(folder.resolve("new")));
        assertEquals(HEAD + "b288884 bench/scale --seed 1,query_cpu,us,3600,400,0,0,0,1,98.25\n",
                Files.readString(file));
    }

    @Example
    void whatCanNotBeKeptLeavesTheOldFileAndNoPart() throws IOException {
        Path file = folder.resolve("kept.csv");
        Figure good = new Figure("r", "f", "us", 1, 1, 0, 0, 0, 1, 1);
        Figures.write(file, List.of(good));
        assertThrows(IllegalArgumentException.class, () -> Figures.write(file,
                List.of(good, new Figure("r", "f", "us", 1, 1, 0, 0, 0, 1, Double.NaN))));
        assertEquals(List.of(good), Figures.read(file));
        try (Stream<Path> left = Files.list(folder)) {
            assertEquals(List.of(file), left.toList());
        }
    }

    @Example
    void faultsAreToldByFileLineAndColumn() throws IOException {
        fault("", 1, "run: the file is empty");
        fault("run,figure,unit\n", 1, "fronts: the columns have to be " + HEAD.trim());
        fault(HEAD + "r,f,us,1,1,0,0,0,1\n", 2, "value: 9 fields instead of 10");
        fault(HEAD + "r,f,us,1,1,0,0,0,1,2\nr,f,us,1,x,0,0,0,1,2\n", 3, "engines: 'x' is not a count");
        fault(HEAD + "r,f,us,-1,1,0,0,0,1,2\n", 2, "fronts: '-1' is not a count");
        fault(HEAD + "\"r\nr\",f,us,1,1,0,0,0,1,2\nr,f,us,1,1,-2,0,0,1,2\n", 4,
                "queries_per_second: '-2' is not a rate");
        fault(HEAD + "r,,us,1,1,0,0,0,1,2\n", 2, "figure: missing");
        fault(HEAD + "r,f,us,1,1,0,0,0,1,NaN\n", 2, "value: 'NaN' is not a number");
    }

    private void fault(String text, int line, String what) throws IOException {
        Path file = Files.writeString(folder.resolve("faulty.csv"), text);
        IOException e = assertThrows(IOException.class, () -> Figures.read(file));
        assertEquals(file + ":" + line + ": " + what, e.getMessage());
    }
}
