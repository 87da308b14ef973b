package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.scale.Figures.Figure;

class PageTest {
    /** The page has to be generated from the committed result files, with bench/scale --page. */
    @Example
    void theCommittedTablesMatchTheKeptFigures() throws IOException {
        assertEquals(Page.tables(Figures.readAll(Page.RESULTS)),
                Page.publishedTables(Files.readString(Path.of("docs/CAPACITY.md"))));
    }

    /**
     * Quadratic cost of lists, linear cost of all else, at two sizes: extrapolated by 2.5 from 10,000
     * engines.
     */
    @Example
    void figuresAreExtrapolatedByThePowerLaw() {
        String tables = Page.tables(sampleFigures());
        // 0.01 us for each engine: 250 us at 25,000, 1,694.4 times a second
        assertTrue(tables.contains("| front | decisions on queries | 1,694/s x 250 us | 0.424 core | 0.043 |"
                + " 9.85 | 2.5 times past 10,000 engines, by x^1.00 |"), tables);
        // 1 ms at 1,000, quadratic: 625 ms at 25,000
        assertTrue(tables.contains("| 625 ms once | 0.625 s | 10 | 0.0625 |"), tables);
        assertTrue(tables.contains("| control_query, us | engines | 1,000: 10 / 10 / 10 (1); 10,000:"
                + " 100 / 100 / 100 (1) | 0.0100 x^1.00, within 1.00 times |"), tables);
    }

    @Example
    void onlyNeedsOverBudgetAreListedWorstFirst() {
        String all = Page.tables(sampleFigures());
        String overBudget = all.substring(all.indexOf("### What does not fit"), all.indexOf("### Runs"));
        List<Double> ratios = overBudget.lines().filter(line -> line.startsWith("| ") && line.contains(" x ")
                || line.matches("\\| (front|journal|configuration).*"))
                .map(line -> line.split("\\|")[5].trim().replace(",", "")).map(Double::valueOf).toList();
        assertTrue(ratios.size() >= 3 && ratios.stream().allMatch(r -> r > 1), overBudget);
        assertEquals(ratios.stream().sorted((a, b) -> Double.compare(b, a)).toList(), ratios);
        assertTrue(!overBudget.contains("reading the files"), overBudget);
        assertTrue(all.lines().noneMatch(line -> line.matches(".*[|x] -\\d.*")), "a need below 0: " + all);
    }

    @Example
    void aFigureThatIsMissingIsNamed() {
        List<Figure> figures = sampleFigures();
        figures.removeIf(f -> f.figure().equals("control_report"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Page.tables(figures)).getMessage()
                .contains("control_report"));
        assertThrows(IllegalArgumentException.class, () -> Page.publishedTables("# A page with no place\n"));
    }

    @Example
    void numbersHaveThreeSignificantDigits() {
        assertEquals(List.of("0", "9.85", "1,694", "0.0625", "25,000", "7", "1.23e-07"),
                List.of(Page.formatNumber(0), Page.formatNumber(9.8512), Page.formatNumber(1694.44),
                Page.formatNumber(0.0625),
                        Page.formatNumber(25_000), Page.formatNumber(7), Page.formatNumber(1.234e-7)));
    }

    private static List<Figure> sampleFigures() {
        List<Figure> figures = new ArrayList<>();
        for (int engines : new int[] {1_000, 10_000}) {
            for (String linear : List.of("control_query", "control_pulse", "control_report", "control_row")) {
                figures.add(figure(linear, "us", 3_600, engines, 0, 0, engines * 0.01));
            }
            for (String square : List.of("control_list_first", "control_list_again")) {
                figures.add(figure(square, "ms", 3_600, engines, 0, 0, engines / 1e3 * engines / 1e3));
            }
            figures.add(figure("control_heap", "MB", 3_600, engines, 0, 0, engines / 1e3));
            figures.add(figure("journal_event", "B", 0, engines, 0, 0, 50 + engines * 140.0));
            figures.add(figure("journal_event_cpu", "ms", 0, engines, 0, 0, engines / 1e3));
            figures.add(figure("journal_event_heap", "MB", 0, engines, 0, 0, engines / 1e3));
        }
        for (int k = 1; k < 3; k++) {
            figures.add(figure("front_busy_cpu", "core", 1, 8, 100 + k * 100, 64, 0.05 + k * 0.02));
            figures.add(figure("front_idle_cpu", "core", 1, 8, 0, k * 1_000, 0.01));
            figures.add(figure("front_idle_memory", "MB", 1, 8, 0, k * 1_000, 60 + k * 10));
        }
        figures.add(figure("journal_event_bound", "B", 0, 0, 0, 0, 1 << 20));
        for (int sockets : new int[] {1_024, 4_096}) {
            for (String resource : List.of("clients", "engines")) {
                figures.add(figure("front_holds_" + resource, "count of " + sockets + " descriptors", 0, 0,
                        0, 0, sockets / 2));
            }
        }
        return figures;
    }

    private static Figure figure(String name, String unit, int fronts, int engines, double perSecond,
            int connections, double value) {
        return new Figure("made", name, unit, fronts, engines, perSecond, connections, 0, 1, value);
    }
}
