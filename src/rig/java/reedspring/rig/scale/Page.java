package reedspring.rig.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import reedspring.rig.scale.Figures.Figure;
import reedspring.rig.scale.Fit.Summary;

/**
 * Generates the tables of docs/CAPACITY.md from the kept figures: what was measured, what that makes at the
 * target size (the deployment expected in two years), and which budgets that exceeds.
 */
public final class Page {
    public static final Path RESULTS = Path.of("bench/results");
    private static final String BEGIN = "<!-- bench/scale --page: begin -->\n";
    private static final String END = "<!-- bench/scale --page: end -->\n";

    // The target size, and the load that is expected at it.
    private static final int TARGET_ENGINES = 25_000;
    private static final double QUERIES_PER_SECOND = 6_100_000.0 / Slopes.FRONTS;
    private static final double CONNECTIONS_PER_FRONT = 16_000_000.0 / Slopes.FRONTS;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double CONFIGURATIONS_PER_SECOND = 14_000 / SECONDS_PER_DAY;
    /** Replacements (draining, gone, ready), and two kinds of loss (gone, ready). */
    private static final double ROWS_PER_DAY = 2_500 * 3 + 37 * 2 + 66 * 2;
    private static final double ROWS_PER_PEAK_MINUTE = 250 * 3;
    private static final double ENGINES_PER_RACK = TARGET_ENGINES / 50.0;
    private static final double ENGINES_PER_ZONE = TARGET_ENGINES / 14.0;
    private static final double PULSES_PER_SECOND = 40;
    private static final double CONTROL_BUDGET_CORES = 0.043;
    private static final double JOURNAL_BYTES_PER_SECOND = 26_000;
    private static final double CHANGE_LIMIT_S = 7;
    private static final double CONFIGURATION_LIMIT_S = 11;
    private static final double READY_LIMIT_S = 10;
    private static final double MEMORY_MB = Slopes.MEMORY_MB;
    /** The heap that the start command of the deployment gives: 7/24 of the memory. */
    private static final double HEAP_MB = Math.floor(MEMORY_MB * 7 / 24) * 1.048576;

    private final List<Figure> figures;
    private final List<Need> needs = new ArrayList<>();
    private final List<String> missingFigures = new ArrayList<>();

    private record Need(String role, String subject, String calculation, double need, double budget,
            String unit, String basis) {
        private double ratio() {
            return need / budget;
        }
    }

    /** A value at the target size, and whether it was measured there or how far it is extrapolated. */
    private record Estimate(double value, String basis) {
    }

    private Page(List<Figure> figures) {
        this.figures = figures;
    }

    public static void main(String[] args) throws IOException {
        System.out.print(tables(Figures.readAll(args.length > 0 ? Path.of(args[0]) : RESULTS)));
    }

    /** The tables as Markdown; the same figures give the same text. */
    public static String tables(List<Figure> figures) {
        Page page = new Page(figures);
        page.computeNeeds();
        return String.join("\n", page.measuredTable(), page.needsTable(), page.fewerEnginesTable(),
                page.overBudgetTable(), page.runsTable());
    }

    /** The text between the begin and end markers of the page. */
    public static String publishedTables(String page) {
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new IllegalArgumentException("the page has no begin marker followed by an end marker: "
                    + BEGIN.trim());
        }
        return page.substring(begin + BEGIN.length(), end);
    }

    // ---- figures

    private Stream<Figure> named(String name) {
        return figures.stream().filter(f -> f.figure().equals(name));
    }

    /** Figures by number of engines, with the number of fronts of the target size. */
    private Map<Double, Summary> byEngines(String name) {
        return Summary.byFactor(named(name).filter(f -> f.queriesPerSecond() == 0
                && (f.fronts() == Slopes.FRONTS || f.fronts() == 0)), Figure::engines);
    }

    private static Fit fit(Map<Double, Summary> summaries, boolean powerLaw) {
        double[] x = summaries.keySet().stream().mapToDouble(Double::doubleValue).toArray();
        double[] y = summaries.values().stream().mapToDouble(Summary::median).toArray();
        return powerLaw ? Fit.powerLaw(x, y) : Fit.line(x, y);
    }

    /**
     * The value at 25,000 engines: measured there, or extrapolated from the largest measured size by the
     * power law.
     */
    private Estimate atTargetSize(String name) {
        TreeMap<Double, Summary> summaries = new TreeMap<>(byEngines(name));
        if (summaries.isEmpty()) {
            throw new IllegalArgumentException("no figure " + name + " is in the results");
        }
        double largestSize = summaries.lastKey();
        double largestMedian = summaries.get(largestSize).median();
        if (largestSize >= TARGET_ENGINES) {
            return new Estimate(largestMedian, "measured there");
        }
        double exponent = fit(summaries, true).slope();
        return new Estimate(largestMedian * Math.pow(TARGET_ENGINES / largestSize, exponent),
                String.format(Locale.ROOT, "%s times past %s engines, by x^%.2f",
                        formatNumber(TARGET_ENGINES / largestSize), formatNumber(largestSize), exponent));
    }

    private double singleValue(String name, String unit) {
        return Summary.of(named(name).filter(f -> unit == null || f.unit().equals(unit))
                .mapToDouble(Figure::value).toArray()).median();
    }

    // ---- needs at the target size

    private void addNeed(String role, String subject, double need, double budget, String unit, String basis,
            String format, Object... terms) {
        Object[] arguments = Stream.of(terms).map(t -> t instanceof Double d ? formatNumber(d) : t).toArray();
        String calculation = String.format(Locale.ROOT, format, arguments);
        needs.add(new Need(role, subject, calculation, need, budget, unit, basis));
    }

    private void computeNeeds() {
        Estimate query = atTargetSize("control_query");
        Estimate pulse = atTargetSize("control_pulse");
        Estimate report = atTargetSize("control_report");
        Estimate row = atTargetSize("control_row");
        addNeed("front", "decisions on queries", QUERIES_PER_SECOND * query.value() / 1e6,
                CONTROL_BUDGET_CORES, "core",
                query.basis(), "%s/s x %s us", QUERIES_PER_SECOND, query.value());
        addNeed("front", "load reports, one with each answer", QUERIES_PER_SECOND * report.value() / 1e6,
                CONTROL_BUDGET_CORES,
                "core", report.basis(), "%s/s x %s us", QUERIES_PER_SECOND, report.value());
        addNeed("front", "pulses", PULSES_PER_SECOND * pulse.value() / 1e6, CONTROL_BUDGET_CORES, "core",
                pulse.basis(), "%s/s x %s us", PULSES_PER_SECOND, pulse.value());
        addNeed("front", "changed rows of an ordinary day", ROWS_PER_DAY / SECONDS_PER_DAY * row.value()
                / 1e6, CONTROL_BUDGET_CORES,
                "core", row.basis(), "%s rows / %s s x %s us", ROWS_PER_DAY, SECONDS_PER_DAY, row.value());
        addNeed("front", "changed rows, a tenth of the day's replacements in a minute",
                ROWS_PER_PEAK_MINUTE / 60 * row.value() / 1e6, CONTROL_BUDGET_CORES, "core", row.basis(),
                "%s rows / 60 s x %s us", ROWS_PER_PEAK_MINUTE, row.value());
        addNeed("front", "stands still while a rack's rows come", ENGINES_PER_RACK * row.value() / 1e6,
                CHANGE_LIMIT_S, "s", row.basis(), "%s rows x %s us", ENGINES_PER_RACK, row.value());
        addNeed("front", "stands still while a zone's rows come", ENGINES_PER_ZONE * row.value() / 1e6,
                CHANGE_LIMIT_S, "s", row.basis(), "%s rows x %s us", ENGINES_PER_ZONE, row.value());
        Estimate first = atTargetSize("control_list_first");
        Estimate again = atTargetSize("control_list_again");
        addNeed("front", "stands still at its start, for the list in its configuration", first.value() / 1e3,
                READY_LIMIT_S, "s", first.basis(), "%s ms once", first.value());
        addNeed("front", "stands still when the whole list comes again", again.value() / 1e3, CHANGE_LIMIT_S,
                "s", again.basis(), "%s ms once", again.value());
        connectionNeeds();
        trafficNeeds();
        memoryNeeds();
    }

    private void connectionNeeds() {
        if (hasFigure("front_busy_cpu")) {
            busyNeed();
        }
        for (String sockets : List.of("1024", "4096")) {
            String unit = "count of " + sockets + " descriptors";
            addNeed("front", "client connections, of " + sockets + " descriptors", CONNECTIONS_PER_FRONT,
                    singleValue("front_holds_clients", unit), "connections", "as its limits tell",
                    "16,000,000 / %s", (double) Slopes.FRONTS);
            double enginesInSubset = Math.ceil(TARGET_ENGINES * Math.log(TARGET_ENGINES / 0.05)
                    / (0.3 * Slopes.FRONTS));
            addNeed("front", "engines in its circle, a connection each, of " + sockets + " descriptors",
                    enginesInSubset,
                    singleValue("front_holds_engines", unit), "connections", "by the formula in Spread.turn",
                    "%s x ln(%s / 0.05) / (0.3 x %s)", (double) TARGET_ENGINES, (double) TARGET_ENGINES,
                    (double) Slopes.FRONTS);
        }
    }

    /** Whether there is such a figure; a missing one is listed on the page, and its needs are left out. */
    private boolean hasFigure(String name) {
        if (named(name).findAny().isEmpty()) {
            missingFigures.add(name);
            return false;
        }
        return true;
    }

    private void busyNeed() {
        Fit fit = fit(Summary.byFactor(named("front_busy_cpu"), Figure::queriesPerSecond), false);
        double maxRate = Summary.byFactor(named("front_busy_cpu"), Figure::queriesPerSecond).keySet().stream()
                .mapToDouble(Double::doubleValue).max().orElseThrow();
        addNeed("front", "data path and all else at 8 engines", fit.valueAt(QUERIES_PER_SECOND), 1, "core",
                formatNumber(QUERIES_PER_SECOND / maxRate) + " times past " + formatNumber(maxRate)
                + " queries/s, by the line",
                "%s + %s/s x %s us", fit.base(), QUERIES_PER_SECOND, fit.slope() * 1e6);
    }

    private void trafficNeeds() {
        Estimate event = atTargetSize("journal_event");
        Estimate parsing = atTargetSize("journal_event_cpu");
        double maxEventBytes = singleValue("journal_event_bound", "B");
        addNeed("journal, front", "one event with the whole list", event.value(), maxEventBytes, "B",
                event.basis(), "%s rows", (double) TARGET_ENGINES);
        // Mean of the longest reconnect delay, which is 0.25 to 0.5 s; reading time is left out.
        double meanDelayS = 0.375;
        if (event.value() > maxEventBytes) {
            addNeed("journal, front", "calls again for a list that it never gets, each cut off at the bound",
                    maxEventBytes / meanDelayS, JOURNAL_BYTES_PER_SECOND, "B/s", "as Journal.again paces it",
                    "%s B / %s s", maxEventBytes, meanDelayS);
        }
        addNeed("journal, front", "a whole list in a front's bytes", event.value()
                / JOURNAL_BYTES_PER_SECOND, CHANGE_LIMIT_S, "s",
                event.basis(), "%s B / %s B/s", event.value(), JOURNAL_BYTES_PER_SECOND);
        // An event with one row; a comment of two bytes is sent each second.
        double singleRowBytes = ControlDriver.fullListEvent(1).length;
        addNeed("journal, front", "bytes of an ordinary day", ROWS_PER_DAY / SECONDS_PER_DAY * singleRowBytes
                + 2, JOURNAL_BYTES_PER_SECOND, "B/s",
                "each row an event", "%s rows / %s s x %s B + 2 B/s", ROWS_PER_DAY, SECONDS_PER_DAY,
                singleRowBytes);
        addNeed("journal, front", "a zone's rows in a front's bytes", ENGINES_PER_ZONE * singleRowBytes
                / JOURNAL_BYTES_PER_SECOND, CHANGE_LIMIT_S, "s",
                "each row an event", "%s rows x %s B / %s B/s", ENGINES_PER_ZONE, singleRowBytes,
                JOURNAL_BYTES_PER_SECOND);
        addNeed("configuration", "bytes of the files, each with the list under `known`",
                CONFIGURATIONS_PER_SECOND * event.value(), JOURNAL_BYTES_PER_SECOND, "B/s",
                "if it is sent whole, as the front reads it",
                "14,000 / %s s x %s B", SECONDS_PER_DAY, event.value());
        addNeed("configuration", "reading the files", CONFIGURATIONS_PER_SECOND * parsing.value() / 1e3,
                CONTROL_BUDGET_CORES,
                "core", parsing.basis(), "14,000 / %s s x %s ms", SECONDS_PER_DAY, parsing.value());
        addNeed("configuration", "reading 100 files that come in one second", 100 * parsing.value() / 1e3,
                CONFIGURATION_LIMIT_S, "s", parsing.basis(), "100 x %s ms", parsing.value());
    }

    private void memoryNeeds() {
        Estimate control = atTargetSize("control_heap");
        Estimate parsedEvent = atTargetSize("journal_event_heap");
        Estimate event = atTargetSize("journal_event");
        addNeed("front", "heap while a whole list is read",
                control.value() + parsedEvent.value() + 3 * event.value() / 1e6, HEAP_MB, "MB",
                control.basis(), "decisions %s + event as read %s + 3 x its text %s",
                control.value(), parsedEvent.value(), event.value() / 1e6);
        if (hasFigure("front_idle_memory") && hasFigure("front_idle_cpu")) {
            idleNeeds(control);
        }
    }

    private void idleNeeds(Estimate control) {
        Map<Double, Summary> memoryByConnections = Summary.byFactor(named("front_idle_memory")
                .filter(f -> f.connections() > 0), f -> f.connections());
        Fit memoryFit = fit(memoryByConnections, false);
        double maxConnections = memoryByConnections.keySet().stream().mapToDouble(Double::doubleValue).max()
                .orElseThrow();
        addNeed("front", "memory with all its clients idle, at 8 engines, and the list's",
                memoryFit.valueAt(CONNECTIONS_PER_FRONT) + control.value(), MEMORY_MB * 1.048576, "MB",
                formatNumber(CONNECTIONS_PER_FRONT / maxConnections) + " times "
                + formatNumber(maxConnections) + " connections, by the line", "%s + %s x %s MB + %s",
                memoryFit.base(), CONNECTIONS_PER_FRONT, memoryFit.slope(), control.value());
        Fit cpuFit = fit(Summary.byFactor(named("front_idle_cpu").filter(f -> f.connections() > 0),
                f -> f.connections()), false);
        addNeed("front", "idle clients", cpuFit.valueAt(CONNECTIONS_PER_FRONT), CONTROL_BUDGET_CORES, "core",
                formatNumber(CONNECTIONS_PER_FRONT / maxConnections)
                + " times " + formatNumber(maxConnections) + " connections, by the line",
                "%s + %s x %s core", cpuFit.base(), CONNECTIONS_PER_FRONT, cpuFit.slope());
    }

    // ---- text

    private String measuredTable() {
        StringBuilder text = new StringBuilder("### Measured\n\n| figure | by | place: least / median / most"
                + " (repeats) | fit over the medians |\n| --- | --- | --- | --- |\n");
        for (String name : new TreeSet<>(figures.stream().map(Figure::figure).toList())) {
            String unit = named(name).findFirst().orElseThrow().unit();
            if (name.startsWith("front_holds") || name.endsWith("_bound")) {
                continue;
            }
            appendRow(text, name, unit, "engines", byEngines(name), true);
            appendRow(text, name, unit, "fronts known (400 engines)", Summary.byFactor(named(name).filter(f ->
                    f.engines() == 400 && f.queriesPerSecond() == 0 && f.fronts() > 0), Figure::fronts),
                    true);
            appendRow(text, name, unit, "queries/s", Summary.byFactor(named(name)
                    .filter(f -> f.queriesPerSecond() > 0
                    && !name.contains("connections")), Figure::queriesPerSecond), false);
            appendRow(text, name, unit, "connections", Summary.byFactor(named(name)
                    .filter(f -> f.connections() > 0
                    || name.startsWith("front_idle")), Figure::connections), false);
        }
        missingFigures.forEach(name -> text.append("\nNot measured: ").append(name).append(".\n"));
        figures.stream().filter(f -> f.figure().endsWith("_cut_off")).forEach(f -> text.append("\nCut off: ")
                .append(f.figure().replace("_cut_off", "")).append(" at ").append(formatNumber(f.engines()))
                .append(" engines had not ended after ").append(formatNumber(f.value()))
                .append(" s of CPU.\n"));
        return text.toString();
    }

    private static void appendRow(StringBuilder text, String name, String unit, String factor,
            Map<Double, Summary> summaries, boolean powerLaw) {
        if (summaries.size() < 2) {
            return;
        }
        boolean fitPowerLaw = powerLaw && summaries.values().stream().allMatch(s -> s.median() > 0);
        text.append("| ").append(name).append(", ").append(unit).append(" | ").append(factor).append(" | ")
                .append(summaries.entrySet().stream().map(e -> formatNumber(e.getKey()) + ": "
                + formatSummary(e.getValue()))
                        .collect(Collectors.joining("; ")))
                .append(" | ").append(fit(summaries, fitPowerLaw)).append(" |\n");
    }

    private static String formatSummary(Summary summary) {
        return formatNumber(summary.min()) + " / " + formatNumber(summary.median()) + " / "
                + formatNumber(summary.max()) + " (" + summary.repeats() + ")";
    }

    private String needsTable() {
        StringBuilder text = new StringBuilder("### Worked out at the size\n\n| role | what | worked out"
                + " | need | budget | need / budget | how far carried |\n"
                + "| --- | --- | --- | ---: | ---: | ---: | --- |\n");
        needs.forEach(n -> text.append("| ").append(n.role()).append(" | ").append(n.subject()).append(" | ")
                .append(n.calculation()).append(" | ").append(formatNumber(n.need())).append(' ')
                .append(n.unit())
                .append(" | ").append(formatNumber(n.budget())).append(" | ").append(formatNumber(n.ratio()))
                .append(" | ")
                .append(n.basis()).append(" |\n"));
        return text.toString();
    }

    /** Measured cost of queries, reports and timer pulses for a front that knows fewer engines. */
    private String fewerEnginesTable() {
        StringBuilder text = new StringBuilder("### Were a front to know fewer engines\n\n"
                + "| engines | queries, core | reports, core | pulses, core | sum / 4.3% of a core"
                + " | sum / a whole core |\n"
                + "| ---: | ---: | ---: | ---: | ---: | ---: |\n");
        byEngines("control_query").forEach((engines, query) -> {
            double queries = QUERIES_PER_SECOND * query.median() / 1e6;
            double reports = QUERIES_PER_SECOND * byEngines("control_report").get(engines).median() / 1e6;
            double pulses = PULSES_PER_SECOND * byEngines("control_pulse").get(engines).median() / 1e6;
            double sum = queries + reports + pulses;
            text.append("| ").append(formatNumber(engines)).append(" | ").append(formatNumber(queries))
                    .append(" | ")
                    .append(formatNumber(reports)).append(" | ").append(formatNumber(pulses)).append(" | ")
                    .append(formatNumber(sum / CONTROL_BUDGET_CORES)).append(" | ").append(formatNumber(sum))
                    .append(" |\n");
        });
        return text.toString();
    }

    private String overBudgetTable() {
        StringBuilder text = new StringBuilder("### What does not fit, worst first\n\n| role | what | need |"
                + " budget | times too much |\n| --- | --- | ---: | ---: | ---: |\n");
        needs.stream().filter(n -> n.ratio() > 1).sorted(Comparator.comparingDouble(Need::ratio).reversed())
                .forEach(n -> text.append("| ").append(n.role()).append(" | ").append(n.subject())
                .append(" | ")
                        .append(formatNumber(n.need())).append(' ').append(n.unit()).append(" | ")
                        .append(formatNumber(n.budget())).append(" | ").append(formatNumber(n.ratio()))
                        .append(" |\n"));
        return text.toString();
    }

    private String runsTable() {
        StringBuilder text = new StringBuilder("### Runs\n\n| run | figures |\n| --- | --- |\n");
        figures.stream().collect(Collectors.groupingBy(Figure::run, TreeMap::new, Collectors.mapping(
                Figure::figure, Collectors.toCollection(TreeSet::new)))).forEach((run, names) -> text
                        .append("| ").append(run).append(" | ").append(String.join(", ", names))
                        .append(" |\n"));
        return text.toString();
    }

    /** Formats with three significant digits and with commas. */
    static String formatNumber(double value) {
        if (value == 0 || !Double.isFinite(value)) {
            return value == 0 ? "0" : String.valueOf(value);
        }
        int decimals = 2 - (int) Math.floor(Math.log10(Math.abs(value)));
        if (decimals > 5) {
            return String.format(Locale.ROOT, "%.2e", value);
        }
        String text = String.format(Locale.ROOT, "%,." + Math.max(0, decimals) + "f", value);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }
}
