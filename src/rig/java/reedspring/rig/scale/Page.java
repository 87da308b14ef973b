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
 * Generates the tables of docs/CAPACITY.md from the kept figures: what was measured, what that makes at the target
 * size (the deployment expected in two years), and which budgets that exceeds.
 */
public final class Page {
    public static final Path RESULTS = Path.of("bench/results");
    private static final String BEGIN = "<!-- bench/scale --page: begin -->\n";
    private static final String END = "<!-- bench/scale --page: end -->\n";

    // The target size, and the load that is expected at it.
    private static final int ENGINES = 25_000;
    private static final double QUERIES = 6_100_000.0 / Slopes.FRONTS;
    private static final double CONNECTIONS = 16_000_000.0 / Slopes.FRONTS;
    private static final double DAY = 86_400;
    private static final double CONFIGURATIONS = 14_000 / DAY;
    /** Replacements (draining, gone, ready), and two kinds of loss (gone, ready). */
    private static final double ROWS_A_DAY = 2_500 * 3 + 37 * 2 + 66 * 2;
    private static final double ROWS_IN_THE_MINUTE = 250 * 3;
    private static final double RACK = ENGINES / 50.0;
    private static final double ZONE = ENGINES / 14.0;
    private static final double PULSES = 40;
    private static final double CONTROL_CORE = 0.043;
    private static final double BYTES = 26_000;
    private static final double PRIMARY_S = 7;
    private static final double CONFIGURATION_S = 11;
    private static final double READY_S = 10;
    private static final double MEMORY_MB = Slopes.MEMORY_MB;
    /** The heap that the start command of the deployment gives: 7/24 of the memory. */
    private static final double HEAP_MB = Math.floor(MEMORY_MB * 7 / 24) * 1.048576;

    private final List<Figure> figures;
    private final List<Need> needs = new ArrayList<>();
    private final List<String> missing = new ArrayList<>();

    private record Need(String role, String what, String working, double need, double budget, String unit,
            String carried) {
        private double ratio() {
            return need / budget;
        }
    }

    /** A value at the target size, and whether it was measured there or how far it is extrapolated. */
    private record Term(double value, String carried) {
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
        page.workOut();
        return String.join("\n", page.measured(), page.worked(), page.sets(), page.unfit(), page.runs());
    }

    /** The text between the begin and end markers of the page. */
    public static String kept(String page) {
        int from = page.indexOf(BEGIN);
        int to = page.indexOf(END);
        if (from < 0 || to < from) {
            throw new IllegalArgumentException("the page has no begin marker followed by an end marker: " + BEGIN.trim());
        }
        return page.substring(from + BEGIN.length(), to);
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

    private static Fit fit(Map<Double, Summary> places, boolean power) {
        double[] x = places.keySet().stream().mapToDouble(Double::doubleValue).toArray();
        double[] y = places.values().stream().mapToDouble(Summary::median).toArray();
        return power ? Fit.powerLaw(x, y) : Fit.line(x, y);
    }

    /** The value at 25,000 engines: measured there, or extrapolated from the largest measured size by the power law. */
    private Term atSize(String name) {
        TreeMap<Double, Summary> places = new TreeMap<>(byEngines(name));
        if (places.isEmpty()) {
            throw new IllegalArgumentException("no kept figure has the name " + name);
        }
        double most = places.lastKey();
        double there = places.get(most).median();
        if (most >= ENGINES) {
            return new Term(there, "measured there");
        }
        double power = fit(places, true).slope();
        return new Term(there * Math.pow(ENGINES / most, power), String.format(Locale.ROOT,
                "%s times past %s engines, by x^%.2f", plain(ENGINES / most), plain(most), power));
    }

    private double only(String name, String unit) {
        return Summary.of(named(name).filter(f -> unit == null || f.unit().equals(unit))
                .mapToDouble(Figure::value).toArray()).median();
    }

    // ---- needs at the target size

    private void need(String role, String what, double need, double budget, String unit, String carried,
            String working, Object... terms) {
        Object[] told = Stream.of(terms).map(t -> t instanceof Double d ? plain(d) : t).toArray();
        String text = String.format(Locale.ROOT, working, told);
        needs.add(new Need(role, what, text, need, budget, unit, carried));
    }

    private void workOut() {
        Term query = atSize("control_query");
        Term pulse = atSize("control_pulse");
        Term report = atSize("control_report");
        Term row = atSize("control_row");
        need("front", "decisions on queries", QUERIES * query.value() / 1e6, CONTROL_CORE, "core",
                query.carried(), "%s/s x %s us", QUERIES, query.value());
        need("front", "load reports, one with each answer", QUERIES * report.value() / 1e6, CONTROL_CORE,
                "core", report.carried(), "%s/s x %s us", QUERIES, report.value());
        need("front", "pulses", PULSES * pulse.value() / 1e6, CONTROL_CORE, "core", pulse.carried(),
                "%s/s x %s us", PULSES, pulse.value());
        need("front", "changed rows of an ordinary day", ROWS_A_DAY / DAY * row.value() / 1e6, CONTROL_CORE,
                "core", row.carried(), "%s rows / %s s x %s us", ROWS_A_DAY, DAY, row.value());
        need("front", "changed rows, a tenth of the day's replacements in a minute",
                ROWS_IN_THE_MINUTE / 60 * row.value() / 1e6, CONTROL_CORE, "core", row.carried(),
                "%s rows / 60 s x %s us", ROWS_IN_THE_MINUTE, row.value());
        need("front", "stands still while a rack's rows come", RACK * row.value() / 1e6, PRIMARY_S, "s",
                row.carried(), "%s rows x %s us", RACK, row.value());
        need("front", "stands still while a zone's rows come", ZONE * row.value() / 1e6, PRIMARY_S, "s",
                row.carried(), "%s rows x %s us", ZONE, row.value());
        Term first = atSize("control_list_first");
        Term again = atSize("control_list_again");
        need("front", "stands still at its start, for the list in its configuration", first.value() / 1e3,
                READY_S, "s", first.carried(), "%s ms once", first.value());
        need("front", "stands still when the whole list comes again", again.value() / 1e3, PRIMARY_S, "s",
                again.carried(), "%s ms once", again.value());
        data();
        bytes();
        memory();
    }

    private void data() {
        if (has("front_busy_cpu")) {
            busy();
        }
        for (String sockets : List.of("1024", "4096")) {
            String unit = "count of " + sockets + " descriptors";
            need("front", "client connections, of " + sockets + " descriptors", CONNECTIONS,
                    only("front_holds_clients", unit), "connections", "as its limits tell", "16,000,000 / %s",
                    (double) Slopes.FRONTS);
            double circle = Math.ceil(ENGINES * Math.log(ENGINES / 0.05) / (0.3 * Slopes.FRONTS));
            need("front", "engines in its circle, a connection each, of " + sockets + " descriptors", circle,
                    only("front_holds_engines", unit), "connections", "by the formula in Spread.turn",
                    "%s x ln(%s / 0.05) / (0.3 x %s)", (double) ENGINES, (double) ENGINES,
                    (double) Slopes.FRONTS);
        }
    }

    /** Whether there is such a figure; a missing one is listed on the page, and its needs are left out. */
    private boolean has(String name) {
        if (named(name).findAny().isEmpty()) {
            missing.add(name);
            return false;
        }
        return true;
    }

    private void busy() {
        Fit busy = fit(Summary.byFactor(named("front_busy_cpu"), Figure::queriesPerSecond), false);
        double rate = Summary.byFactor(named("front_busy_cpu"), Figure::queriesPerSecond).keySet().stream()
                .mapToDouble(Double::doubleValue).max().orElseThrow();
        need("front", "data path and all else at 8 engines", busy.valueAt(QUERIES), 1, "core",
                plain(QUERIES / rate) + " times past " + plain(rate) + " queries/s, by the line",
                "%s + %s/s x %s us", busy.base(), QUERIES, busy.slope() * 1e6);
    }

    private void bytes() {
        Term event = atSize("journal_event");
        Term reading = atSize("journal_event_cpu");
        double bound = only("journal_event_bound", "B");
        need("journal, front", "one event with the whole list", event.value(), bound, "B", event.carried(),
                "%s rows", (double) ENGINES);
        // Mean of the longest reconnect delay, which is 0.25 to 0.5 s; reading time is left out.
        double wait = 0.375;
        if (event.value() > bound) {
            need("journal, front", "calls again for a list that it never gets, each cut off at the bound",
                    bound / wait, BYTES, "B/s", "as Journal.again paces it", "%s B / %s s", bound, wait);
        }
        need("journal, front", "a whole list in a front's bytes", event.value() / BYTES, PRIMARY_S, "s",
                event.carried(), "%s B / %s B/s", event.value(), BYTES);
        // An event with one row; a comment of two bytes is sent each second.
        double one = ControlDriver.fullListEvent(1).length;
        need("journal, front", "bytes of an ordinary day", ROWS_A_DAY / DAY * one + 2, BYTES, "B/s",
                "each row an event", "%s rows / %s s x %s B + 2 B/s", ROWS_A_DAY, DAY, one);
        need("journal, front", "a zone's rows in a front's bytes", ZONE * one / BYTES, PRIMARY_S, "s",
                "each row an event", "%s rows x %s B / %s B/s", ZONE, one, BYTES);
        need("configuration", "bytes of the files, each with the list under `known`",
                CONFIGURATIONS * event.value(), BYTES, "B/s", "if it is sent whole, as the front reads it",
                "14,000 / %s s x %s B", DAY, event.value());
        need("configuration", "reading the files", CONFIGURATIONS * reading.value() / 1e3, CONTROL_CORE,
                "core", reading.carried(), "14,000 / %s s x %s ms", DAY, reading.value());
        need("configuration", "reading 100 files that come in one second", 100 * reading.value() / 1e3,
                CONFIGURATION_S, "s", reading.carried(), "100 x %s ms", reading.value());
    }

    private void memory() {
        Term control = atSize("control_heap");
        Term tree = atSize("journal_event_heap");
        Term event = atSize("journal_event");
        need("front", "heap while a whole list is read",
                control.value() + tree.value() + 3 * event.value() / 1e6, HEAP_MB, "MB",
                control.carried(), "decisions %s + event as read %s + 3 x its text %s",
                control.value(), tree.value(), event.value() / 1e6);
        if (has("front_idle_memory") && has("front_idle_cpu")) {
            idle(control);
        }
    }

    private void idle(Term control) {
        Map<Double, Summary> idle = Summary.byFactor(named("front_idle_memory").filter(f -> f.connections() > 0),
                f -> f.connections());
        Fit held = fit(idle, false);
        double most = idle.keySet().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        need("front", "memory with all its clients idle, at 8 engines, and the list's", held.valueAt(CONNECTIONS)
                + control.value(), MEMORY_MB * 1.048576, "MB", plain(CONNECTIONS / most) + " times "
                + plain(most) + " connections, by the line", "%s + %s x %s MB + %s", held.base(), CONNECTIONS,
                held.slope(), control.value());
        Fit idleCpu = fit(Summary.byFactor(named("front_idle_cpu").filter(f -> f.connections() > 0),
                f -> f.connections()), false);
        need("front", "idle clients", idleCpu.valueAt(CONNECTIONS), CONTROL_CORE, "core", plain(CONNECTIONS / most)
                + " times " + plain(most) + " connections, by the line", "%s + %s x %s core", idleCpu.base(),
                CONNECTIONS, idleCpu.slope());
    }

    // ---- text

    private String measured() {
        StringBuilder text = new StringBuilder("### Measured\n\n| figure | by | place: least / median / most"
                + " (repeats) | fit over the medians |\n| --- | --- | --- | --- |\n");
        for (String name : new TreeSet<>(figures.stream().map(Figure::figure).toList())) {
            String unit = named(name).findFirst().orElseThrow().unit();
            if (name.startsWith("front_holds") || name.endsWith("_bound")) {
                continue;
            }
            line(text, name, unit, "engines", byEngines(name), true);
            line(text, name, unit, "fronts known (400 engines)", Summary.byFactor(named(name).filter(f ->
                    f.engines() == 400 && f.queriesPerSecond() == 0 && f.fronts() > 0), Figure::fronts),
                    true);
            line(text, name, unit, "queries/s", Summary.byFactor(named(name).filter(f -> f.queriesPerSecond() > 0
                    && !name.contains("connections")), Figure::queriesPerSecond), false);
            line(text, name, unit, "connections", Summary.byFactor(named(name).filter(f -> f.connections() > 0
                    || name.startsWith("front_idle")), Figure::connections), false);
        }
        missing.forEach(name -> text.append("\nNot measured: ").append(name).append(".\n"));
        figures.stream().filter(f -> f.figure().endsWith("_cut_off")).forEach(f -> text.append("\nCut off: ")
                .append(f.figure().replace("_cut_off", "")).append(" at ").append(plain(f.engines()))
                .append(" engines had not ended after ").append(plain(f.value())).append(" s of CPU.\n"));
        return text.toString();
    }

    private static void line(StringBuilder text, String name, String unit, String by,
            Map<Double, Summary> places, boolean power) {
        if (places.size() < 2) {
            return;
        }
        boolean law = power && places.values().stream().allMatch(s -> s.median() > 0);
        text.append("| ").append(name).append(", ").append(unit).append(" | ").append(by).append(" | ")
                .append(places.entrySet().stream().map(e -> plain(e.getKey()) + ": " + told(e.getValue()))
                        .collect(Collectors.joining("; ")))
                .append(" | ").append(fit(places, law)).append(" |\n");
    }

    private static String told(Summary spread) {
        return plain(spread.min()) + " / " + plain(spread.median()) + " / " + plain(spread.max()) + " ("
                + spread.repeats() + ")";
    }

    private String worked() {
        StringBuilder text = new StringBuilder("### Worked out at the size\n\n| role | what | worked out"
                + " | need | budget | need / budget | how far carried |\n"
                + "| --- | --- | --- | ---: | ---: | ---: | --- |\n");
        needs.forEach(n -> text.append("| ").append(n.role()).append(" | ").append(n.what()).append(" | ")
                .append(n.working()).append(" | ").append(plain(n.need())).append(' ').append(n.unit())
                .append(" | ").append(plain(n.budget())).append(" | ").append(plain(n.ratio())).append(" | ")
                .append(n.carried()).append(" |\n"));
        return text.toString();
    }

    /** Measured cost of queries, reports and timer pulses for a front that knows fewer engines. */
    private String sets() {
        StringBuilder text = new StringBuilder("### Were a front to know fewer engines\n\n"
                + "| engines | queries, core | reports, core | pulses, core | sum / 4.3% of a core"
                + " | sum / a whole core |\n"
                + "| ---: | ---: | ---: | ---: | ---: | ---: |\n");
        byEngines("control_query").forEach((engines, query) -> {
            double queries = QUERIES * query.median() / 1e6;
            double reports = QUERIES * byEngines("control_report").get(engines).median() / 1e6;
            double pulses = PULSES * byEngines("control_pulse").get(engines).median() / 1e6;
            double sum = queries + reports + pulses;
            text.append("| ").append(plain(engines)).append(" | ").append(plain(queries)).append(" | ")
                    .append(plain(reports)).append(" | ").append(plain(pulses)).append(" | ")
                    .append(plain(sum / CONTROL_CORE)).append(" | ").append(plain(sum)).append(" |\n");
        });
        return text.toString();
    }

    private String unfit() {
        StringBuilder text = new StringBuilder("### What does not fit, worst first\n\n| role | what | need |"
                + " budget | times too much |\n| --- | --- | ---: | ---: | ---: |\n");
        needs.stream().filter(n -> n.ratio() > 1).sorted(Comparator.comparingDouble(Need::ratio).reversed())
                .forEach(n -> text.append("| ").append(n.role()).append(" | ").append(n.what()).append(" | ")
                        .append(plain(n.need())).append(' ').append(n.unit()).append(" | ")
                        .append(plain(n.budget())).append(" | ").append(plain(n.ratio())).append(" |\n"));
        return text.toString();
    }

    private String runs() {
        StringBuilder text = new StringBuilder("### Runs\n\n| run | figures |\n| --- | --- |\n");
        figures.stream().collect(Collectors.groupingBy(Figure::run, TreeMap::new, Collectors.mapping(
                Figure::figure, Collectors.toCollection(TreeSet::new)))).forEach((run, names) -> text
                        .append("| ").append(run).append(" | ").append(String.join(", ", names))
                        .append(" |\n"));
        return text.toString();
    }

    /** Formats with three significant digits and with commas. */
    static String plain(double value) {
        if (value == 0 || !Double.isFinite(value)) {
            return value == 0 ? "0" : String.valueOf(value);
        }
        int digits = 2 - (int) Math.floor(Math.log10(Math.abs(value)));
        if (digits > 5) {
            return String.format(Locale.ROOT, "%.2e", value);
        }
        String text = String.format(Locale.ROOT, "%,." + Math.max(0, digits) + "f", value);
        return text.contains(".") ? text.replaceAll("0+$", "").replaceAll("\\.$", "") : text;
    }
}
