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

/** Reads and writes measured figures as CSV: one row for each figure, in the columns of {@link Figure}. */
public final class Figures {
    private static final List<String> COLUMNS = List.of("run", "figure", "unit", "fronts", "engines",
            "queries_per_second", "connections", "changes_per_second", "repeat", "value");
    private static final CSVFormat FORMAT = CSVFormat.RFC4180.builder().setRecordSeparator('\n').get();

    private Figures() {
    }

    /**
     * One measured value. {@code run} names commit, command and seed; {@code unit} is the unit of the value.
     * A factor that the run did not have is 0. {@code repeat} counts from 1.
     */
    public record Figure(String run, String figure, String unit, int fronts, int engines,
            double queriesPerSecond, int connections, double changesPerSecond, int repeat, double value) {
    }

    /**
     * Replaces the file atomically: a run that is killed leaves the old file or none.
     *
     * @throws IllegalArgumentException if a figure has a blank name or a value that is not finite
     */
    public static void write(Path file, List<Figure> figures) throws IOException {
        Path target = file.toAbsolutePath();
        Files.createDirectories(target.getParent());
        Path temporary = Files.createTempFile(target.getParent(), target.getFileName() + ".", ".part");
        try {
            try (Writer writer = Files.newBufferedWriter(temporary);
                    CSVPrinter csv = new CSVPrinter(writer, FORMAT)) {
                csv.printRecord(COLUMNS);
                for (Figure figure : figures) {
                    if (figure.run().isBlank() || figure.figure().isBlank() || figure.unit().isBlank()
                            || !Double.isFinite(figure.value())) {
                        throw new IllegalArgumentException("figure can't be stored: " + figure);
                    }
                    csv.printRecord(figure.run(), figure.figure(), figure.unit(), figure.fronts(),
                            figure.engines(), formatNumber(figure.queriesPerSecond()), figure.connections(),
                            formatNumber(figure.changesPerSecond()),
                            figure.repeat(), formatNumber(figure.value()));
                }
            }
            Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    /** Formats whole numbers without a decimal point, all others so that parsing gives the same value. */
    private static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? String.format(Locale.ROOT, "%.0f", value)
                : Double.toString(value);
    }

    /** @throws IOException with file, line and column of the first invalid value */
    public static List<Figure> read(Path file) throws IOException {
        List<Figure> figures = new ArrayList<>();
        try (Reader in = Files.newBufferedReader(file); CSVParser csv = FORMAT.parse(in)) {
            long line = 1;
            for (CSVRecord row : csv) {
                if (figures.isEmpty() && line == 1) {
                    if (!row.toList().equals(COLUMNS)) {
                        throw invalid(file, line, firstMismatch(row), "the columns have to be "
                                + String.join(",", COLUMNS));
                    }
                } else {
                    figures.add(parseFigure(file, line, row));
                }
                line = csv.getCurrentLineNumber() + 1;
            }
            if (line == 1) {
                throw invalid(file, 1, COLUMNS.get(0), "the file is empty");
            }
        } catch (CharacterCodingException e) {
            throw new IOException(file + ": not valid UTF-8", e);
        } catch (UncheckedIOException | IllegalStateException e) {
            throw new IOException(file + ": not valid CSV: " + e.getMessage(), e);
        }
        return figures;
    }

    /** Reads a file, or all files named *.csv directly in a directory, sorted by name. */
    public static List<Figure> readAll(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            return read(path);
        }
        List<Figure> figures = new ArrayList<>();
        try (Stream<Path> files = Files.list(path)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".csv")).sorted().toList()) {
                figures.addAll(read(file));
            }
        }
        return figures;
    }

    private static String firstMismatch(CSVRecord row) {
        for (int k = 0; k < COLUMNS.size(); k++) {
            if (k >= row.size() || !row.get(k).equals(COLUMNS.get(k))) {
                return COLUMNS.get(k);
            }
        }
        return row.get(COLUMNS.size());
    }

    private static Figure parseFigure(Path file, long line, CSVRecord row) throws IOException {
        if (row.size() != COLUMNS.size()) {
            throw invalid(file, line, COLUMNS.get(Math.min(row.size(), COLUMNS.size() - 1)),
                    row.size() + " fields instead of " + COLUMNS.size());
        }
        Row fields = new Row(file, line, row);
        return new Figure(fields.text(0), fields.text(1), fields.text(2), fields.count(3), fields.count(4),
                fields.rate(5), fields.count(6), fields.rate(7), fields.count(8), fields.number(9));
    }

    private record Row(Path file, long line, CSVRecord csvRow) {
        private String text(int column) throws IOException {
            if (csvRow.get(column).isBlank()) {
                throw invalid(file, line, COLUMNS.get(column), "missing");
            }
            return csvRow.get(column);
        }

        private int count(int column) throws IOException {
            try {
                int count = Integer.parseInt(csvRow.get(column));
                if (count >= 0) {
                    return count;
                }
            } catch (NumberFormatException e) {
                // reported below, like a negative number
            }
            throw invalid(file, line, COLUMNS.get(column), "'" + csvRow.get(column) + "' is not a count");
        }

        private double rate(int column) throws IOException {
            double rate = number(column);
            if (rate < 0) {
                throw invalid(file, line, COLUMNS.get(column), "'" + csvRow.get(column) + "' is not a rate");
            }
            return rate;
        }

        private double number(int column) throws IOException {
            try {
                double number = Double.parseDouble(csvRow.get(column));
                if (Double.isFinite(number)) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // reported below, like a number that is not finite
            }
            throw invalid(file, line, COLUMNS.get(column), "'" + csvRow.get(column) + "' is not a number");
        }
    }

    private static IOException invalid(Path file, long line, String column, String reason) {
        return new IOException(file + ":" + line + ": " + column + ": " + reason);
    }
}
