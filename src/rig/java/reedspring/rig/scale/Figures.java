package reedspring.rig.scale;

import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/** Figures that runs gave, kept as CSV: one row a figure, the columns as {@link Figure} has them. */
public final class Figures {
    private static final List<String> COLUMNS = List.of("run", "figure", "unit", "fronts", "engines",
            "queries_per_second", "connections", "changes_per_second", "repeat", "value");
    private static final CSVFormat FORMAT = CSVFormat.RFC4180.builder().setRecordSeparator('\n').get();

    private Figures() {
    }

    /**
     * One measured value. {@code run} is commit, command and seed in short, {@code unit} that of the value;
     * what the run did not have is 0. {@code repeat} counts from 1.
     */
    public record Figure(String run, String figure, String unit, int fronts, int engines,
            double queriesPerSecond, int connections, double changesPerSecond, int repeat, double value) {
    }

    /**
     * Replaces the file as a whole: a run that is killed leaves the old one, or none.
     *
     * @throws IllegalArgumentException if a figure could not be read again
     */
    public static void write(Path file, List<Figure> figures) throws IOException {
        Path whole = file.toAbsolutePath();
        Files.createDirectories(whole.getParent());
        Path part = Files.createTempFile(whole.getParent(), whole.getFileName() + ".", ".part");
        try {
            try (Writer out = Files.newBufferedWriter(part); CSVPrinter csv = new CSVPrinter(out, FORMAT)) {
                csv.printRecord(COLUMNS);
                for (Figure f : figures) {
                    if (f.run().isBlank() || f.figure().isBlank() || f.unit().isBlank()
                            || !Double.isFinite(f.value())) {
                        throw new IllegalArgumentException("no figure to keep: " + f);
                    }
                    csv.printRecord(f.run(), f.figure(), f.unit(), f.fronts(), f.engines(),
                            plain(f.queriesPerSecond()), f.connections(), plain(f.changesPerSecond()),
                            f.repeat(), plain(f.value()));
                }
            }
            Files.move(part, whole, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(part);
        }
    }

    /** Whole numbers without a point, all others as Java reads them again. */
    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.format(Locale.ROOT, "%.0f", value)
                : Double.toString(value);
    }

    /** @throws IOException naming the file, the line and the column of what can't be used */
    public static List<Figure> read(Path file) throws IOException {
        List<Figure> figures = new ArrayList<>();
        try (Reader in = Files.newBufferedReader(file); CSVParser csv = FORMAT.parse(in)) {
            long line = 1;
            for (CSVRecord row : csv) {
                if (figures.isEmpty() && line == 1) {
                    if (!row.toList().equals(COLUMNS)) {
                        throw unusable(file, line, firstOther(row), "the columns are "
                                + String.join(",", COLUMNS));
                    }
                } else {
                    figures.add(figure(file, line, row));
                }
                line = csv.getCurrentLineNumber() + 1;
            }
            if (line == 1) {
                throw unusable(file, 1, COLUMNS.get(0), "the file is empty");
            }
        } catch (CharacterCodingException e) {
            throw new IOException(file + ": is no UTF-8", e);
        } catch (UncheckedIOException | IllegalStateException e) {
            throw new IOException(file + ": is no CSV: " + e.getMessage(), e);
        }
        return figures;
    }

    /** Of a file, or of all files with the ending csv right in a folder, in the order of their names. */
    public static List<Figure> readAll(Path from) throws IOException {
        if (!Files.isDirectory(from)) {
            return read(from);
        }
        List<Figure> figures = new ArrayList<>();
        try (Stream<Path> files = Files.list(from)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".csv")).sorted().toList()) {
                figures.addAll(read(file));
            }
        }
        return figures;
    }

    private static String firstOther(CSVRecord row) {
        for (int k = 0; k < COLUMNS.size(); k++) {
            if (k >= row.size() || !row.get(k).equals(COLUMNS.get(k))) {
                return COLUMNS.get(k);
            }
        }
        return row.get(COLUMNS.size());
    }

    private static Figure figure(Path file, long line, CSVRecord row) throws IOException {
        if (row.size() != COLUMNS.size()) {
            throw unusable(file, line, COLUMNS.get(Math.min(row.size(), COLUMNS.size() - 1)),
                    row.size() + " fields in place of " + COLUMNS.size());
        }
        Row r = new Row(file, line, row);
        return new Figure(r.text(0), r.text(1), r.text(2), r.count(3), r.count(4), r.rate(5), r.count(6),
                r.rate(7), r.count(8), r.number(9));
    }

    private record Row(Path file, long line, CSVRecord row) {
        private String text(int column) throws IOException {
            if (row.get(column).isBlank()) {
                throw unusable(file, line, COLUMNS.get(column), "missing");
            }
            return row.get(column);
        }

        private int count(int column) throws IOException {
            try {
                int count = Integer.parseInt(row.get(column));
                if (count >= 0) {
                    return count;
                }
            } catch (NumberFormatException e) {
                // told below, with what is negative
            }
            throw unusable(file, line, COLUMNS.get(column), "'" + row.get(column) + "' is no count");
        }

        private double rate(int column) throws IOException {
            double rate = number(column);
            if (rate < 0) {
                throw unusable(file, line, COLUMNS.get(column), "'" + row.get(column) + "' is no rate");
            }
            return rate;
        }

        private double number(int column) throws IOException {
            try {
                double number = Double.parseDouble(row.get(column));
                if (Double.isFinite(number)) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // told below, with what is not finite
            }
            throw unusable(file, line, COLUMNS.get(column), "'" + row.get(column) + "' is no number");
        }
    }

    private static IOException unusable(Path file, long line, String column, String why) {
        return new IOException(file + ":" + line + ": " + column + ": " + why);
    }
}
