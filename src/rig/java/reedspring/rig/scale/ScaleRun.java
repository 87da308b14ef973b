package reedspring.rig.scale;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import reedspring.rig.Program;
import reedspring.rig.fleet.Terms;
import reedspring.rig.fleet.Timetable;
import reedspring.rig.fleet.Timetable.Entry;

/**
 * One scale run: starts the journal service, stand-in engines, hollow fronts and real fronts, executes the
 * timetable and checks the rules from outside. Real fronts have the lowest numbers.
 */
final class ScaleRun implements Closeable {
    private static final long MS = 1_000_000;
    private static final long SECOND = 1_000 * MS;
    private static final long CONFIGURED_WITHIN = 11 * SECOND;
    private static final long CHANGED_WITHIN = 7 * SECOND;
    private static final long READY_WITHIN = 10 * SECOND;
    private static final long DRAIN_SLACK = 250 * MS;
    private static final long GONE_AFTER = SECOND;
    /** Greatest peak that is allowed, as a multiple of the rate that pacing aims at. */
    private static final double PEAK = 3;
    /** Fronts reconnect after 250 to 500 ms each time once an outage of the journal lasts. */
    private static final double MEAN_WAIT_MS = 375;
    private static final long BYTES_PER_SECOND = 32 << 20;
    private static final double HOLLOW_QUERIES = 2;
    private static final double REAL_QUERIES = 10;
    private static final int LOOPS = 2;

    /** Figures, summary line and violated rules of a run; it passed if no rule was violated. */
    record Result(List<Figures.Figure> figures, String line, List<String> broken) {
    }

    private final Timetable table;
    private final Path file;
    private final Scale.Size size;
    private final long seed;
    private final Path folder;
    private final JournalService journal = new JournalService(BYTES_PER_SECOND);
    private final List<ChildProcess> hollow = new ArrayList<>();
    private final List<ChildProcess> engineHosts = new ArrayList<>();
    private final List<ChildProcess> children = new ArrayList<>();
    private final Map<Integer, Integer> births = new HashMap<>();
    private final Map<Integer, Integer> places = new HashMap<>();
    private final List<List<String>> watchers = new ArrayList<>();
    private final Set<Integer> down = new HashSet<>();
    private final List<String> broken = new ArrayList<>();
    private final Map<String, Double> figures = new TreeMap<>();
    private final List<Runnable> checks = new ArrayList<>();
    private final TreeMap<Long, List<Step>> steps = new TreeMap<>();
    private final List<Fault> faults = new ArrayList<>();
    private final boolean timed;
    private final ExecutorService asks = Executors.newCachedThreadPool();
    private ChildProcess real;
    private long startedAt;
    private long changingSince;
    private final List<Long> changes = new ArrayList<>();
    private int spares;
    private String configurationSuffix = "a";

    /** A time span in which some fronts could not reach the journal. */
    private record Fault(long from, long to, Set<Integer> fronts) {
    }

    private interface Step {
        void run() throws IOException;
    }

    /** @param timed whether to check time limits, which a busy machine may miss */
    ScaleRun(Timetable table, Path file, Scale.Size size, long seed, boolean timed) throws IOException {
        this.timed = timed;
        this.table = table.sized(size.fronts(), size.engines());
        this.file = file;
        this.size = size;
        this.seed = seed;
        this.folder = Files.createTempDirectory("reedspring-scale");
    }

    private ChildProcess child(String role, int heapMb) throws IOException {
        ChildProcess made = new ChildProcess(role, heapMb, folder.resolve(role + children.size() + ".log"));
        children.add(made);
        return made;
    }

    private void tell(String text) {
        System.err.printf(Locale.ROOT, "%6.1f s  %s%n", startedAt == 0 ? 0
                : (System.nanoTime() - startedAt) / 1e9, text);
    }

    // ---- startup

    private static final int SPARE_PART = 4;

    private int net() {
        return 40 + (int) (ProcessHandle.current().pid() % 40);
    }

    private int port() {
        return 20_000 + (int) (ProcessHandle.current().pid() % 12_000);
    }

    private JournalService.Row row(int engine, String health) {
        int birth = births.getOrDefault(engine, 0);
        String address = ChildMain.engineAddress(net(), places.get(engine)) + ":" + port();
        return new JournalService.Row("e" + engine + "-" + birth, address, String.valueOf(table.site(engine)),
                Terms.kind(table.cores(engine)), health, 0);
    }

    private void up() throws IOException {
        int spare = Math.max(8, size.engines() / SPARE_PART);
        spares = size.engines();
        int listening = Math.min(65_536, size.engines() + spare);
        for (int from = 0; from < listening; from += 8_192) {
            ChildProcess host = child("engines", 512);
            engineHosts.add(host);
            host.execute("start " + net() + " " + port() + " " + from + " " + Math.min(listening, from + 8_192));
        }
        IntStream.range(0, size.engines()).forEach(k -> places.put(k, k));
        journal.publish(IntStream.range(0, size.engines()).mapToObj(k -> row(k, "ready")).toList());
        tell(size.engines() + " engines are listening");
        for (int k = 0; k < size.fronts(); k++) {
            watchers.add(journal.addWatcher());
            String listen = k < size.real() ? Program.freeAddress() : "127.0.0.1:1";
            listens.add(listen);
            configure(k);
        }
        long from = System.nanoTime();
        int next = size.real();
        for (int h = 0; h < size.hollowHosts(); h++) {
            int until = size.real() + (int) ((long) size.hollow() * (h + 1) / size.hollowHosts());
            ChildProcess host = child("hollow", size.hollowHeapMb());
            hollow.add(host);
            host.execute("start " + folder + " " + list(next, until) + " " + LOOPS + " " + HOLLOW_QUERIES + " "
                    + file);
            next = until;
        }
        tell(size.hollow() + " hollow fronts started");
        if (size.real() > 0) {
            real = child("real", 256);
            real.execute("start " + folder + " " + list(0, size.real()) + " " + REAL_QUERIES + " " + file);
            tell(size.real() + " real fronts are ready");
        }
        long limit = from + 60 * SECOND;
        while (journal.upToDateWatchers().size() < size.fronts()) {
            require(System.nanoTime() < limit, "only " + journal.upToDateWatchers().size() + " of " + size.fronts()
                    + " fronts are up to date with the journal after a minute");
            pause(50);
        }
        figure("start_all_in_step", (System.nanoTime() - from) / 1e9);
        if (real != null) {
            real.execute("ask");
        }
        startedAt = System.nanoTime();
        tell("all follow the journal");
    }

    private final List<String> listens = new ArrayList<>();

    /** Writes a front's configurations: one for each of its journal addresses, and an invalid one. */
    private void configure(int front) throws IOException {
        String known = front < size.real() ? journal.known() : "";
        int position = front < size.real() ? journal.lastEventNumber() : 0;
        for (int which = 0; which < JournalService.ADDRESSES_PER_WATCHER; which++) {
            String text = Terms.config(table, front, size.realMb(), listens.get(front),
                    watchers.get(front).get(which), position, known);
            write(front, which == 0 ? "a" : "b", text);
            if (which == 1) {
                write(front, "bad", text.replaceAll("\"sockets\":[0-9]+", "\"sockets\":10"));
            }
        }
    }

    private void write(int front, String which, String text) throws IOException {
        Files.writeString(folder.resolve("f" + front + "." + which + ".json"), text);
    }

    private static String list(int from, int until) {
        return IntStream.range(from, until).mapToObj(Integer::toString).collect(Collectors.joining(","));
    }

    // ---- execution

    Result play() throws IOException {
        up();
        for (Entry entry : table.entries()) {
            plan(entry);
        }
        long end = (table.length() + table.settle()) * 100_000;
        while (System.nanoTime() - startedAt < end) {
            long due = (System.nanoTime() - startedAt) / 100_000;
            while (!steps.isEmpty() && steps.firstKey() <= due) {
                for (Step step : steps.pollFirstEntry().getValue()) {
                    step.run();
                }
            }
            healthy();
            pause(2);
        }
        checks.forEach(Runnable::run);
        quiet();
        return result();
    }

    private void at(long tenths, Step step) {
        steps.computeIfAbsent(tenths, k -> new ArrayList<>()).add(step);
    }

    private void plan(Entry entry) {
        Set<Integer> fronts = new TreeSet<>(table.frontsOf(entry, seed));
        Set<Integer> engines = new TreeSet<>(table.enginesOf(entry, seed));
        switch (entry.what()) {
            case CONFIGURE -> {
                int count = (int) entry.times();
                for (int k = 0; k < count; k++) {
                    boolean last = k == count - 1;
                    boolean first = k == 0;
                    // Checked one by one only if the changes are further apart than one may take.
                    boolean apart = count > 1 && entry.span() / count >= 20_000;
                    int number = k + 1;
                    at(entry.at() + entry.span() * k / count, () -> {
                        configurationSuffix = configurationSuffix.equals("a") ? "b" : "a";
                        long now = System.nanoTime();
                        changingSince = first ? now : changingSince;
                        changes.add(now);
                        reload(configurationSuffix);
                        if (last) {
                            figure(entry.title() + " made_in_s", (System.nanoTime() - changingSince) / 1e9);
                        }
                        if (last || apart) {
                            configured(entry.title() + (apart ? " " + number : ""), now);
                        }
                    });
                }
            }
            case CONFIGURE_BAD -> at(entry.at(), () -> {
                long now = System.nanoTime();
                reload("bad");
                refused(entry.title(), now);
            });
            case PRIMARY -> {
                int k = 0;
                for (int engine : engines) {
                    at(entry.at() + entry.span() * k++ / engines.size(),
                            () -> primary(entry.title(), engine));
                }
            }
            case REPLACE -> {
                int k = 0;
                for (int engine : engines) {
                    at(entry.at() + entry.span() * k++ / engines.size(),
                            () -> replace(entry.title(), engine));
                }
            }
            case LOSE -> {
                at(entry.at(), () -> inForce(entry.title() + " gone", journal.publish(engines.stream()
                        .map(e -> row(e, "gone")).toList())));
                at(entry.until(), () -> {
                    engines.forEach(e -> births.merge(e, 1, Integer::sum));
                    inForce(entry.title() + " back", journal.publish(engines.stream().map(e -> row(e, "ready"))
                            .toList()));
                });
            }
            case KILL -> {
                at(entry.at(), () -> kill(entry.title(), fronts));
                at(entry.until(), () -> revive(entry.title(), fronts));
            }
            case CUT -> {
                at(entry.at(), () -> {
                    tell(entry.title() + ": cutting the link of " + fronts.size() + " fronts to the journal");
                    journal.setLinkDown(fronts, true);
                    fault(entry, fronts);
                });
                at(entry.until(), () -> journal.setLinkDown(fronts, false));
            }
            case JOURNAL_AWAY -> {
                at(entry.at(), () -> {
                    tell(entry.title() + ": stopping the journal service");
                    journal.setUnavailable(true);
                    fault(entry, live());
                });
                at(entry.until(), () -> back(entry.title()));
            }
            default -> throw new IllegalStateException("[" + entry.title() + "] what: "
                    + entry.what().name().toLowerCase(Locale.ROOT) + " is not supported by bench/scale");
        }
    }

    private void fault(Entry entry, Set<Integer> fronts) {
        long now = System.nanoTime();
        faults.add(new Fault(now, now + entry.span() * 100_000, fronts));
    }

    private void reload(String which) throws IOException {
        List<CompletableFuture<Void>> told = new ArrayList<>();
        for (ChildProcess host : fronts()) {
            told.add(CompletableFuture.runAsync(() -> {
                try {
                    host.execute("reload " + which);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }, asks));
        }
        try {
            told.forEach(CompletableFuture::join);
        } catch (CompletionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        }
    }

    private List<ChildProcess> fronts() {
        return Stream.concat(hollow.stream(), Stream.ofNullable(real)).toList();
    }

    /** Checks a configuration: it is in force once a front connects to the journal address that it names, and no other. */
    private void configured(String title, long since) {
        int expected = configurationSuffix.equals("a") ? 0 : 1;
        tell(title + ": configuration written");
        Set<Integer> live = live();
        checks.add(() -> {
            List<Long> times = new ArrayList<>();
            long next = changes.stream().filter(at -> at > since).findFirst().orElse(Long.MAX_VALUE);
            for (int front : live) {
                List<long[]> calls = journal.requestsSince(front, since);
                long first = 0;
                for (long[] call : calls) {
                    first = call[1] >= next ? first : call[0] != expected ? 0 : first == 0 ? call[1] : first;
                }
                if (down.contains(front) || killedSince(front, since)) {
                    continue;
                }
                if (first == 0) {
                    broken.add(title + ": not in force at front " + front);
                } else {
                    times.add(first - since);
                }
            }
            spread(title + " in force", times, CONFIGURED_WITHIN, since);
        });
    }

    private boolean killedSince(int front, long since) {
        return kills.getOrDefault(front, 0L) >= since;
    }

    private final Map<Integer, Long> kills = new HashMap<>();

    /** Checks that all fronts reject the invalid configuration, log the field, and keep the old one. */
    private void refused(String title, long since) {
        Set<Integer> live = live();
        tell(title + ": invalid configuration written");
        Map<Integer, Long> stood = new HashMap<>();
        live.forEach(front -> stood.put(front, lastAddress(front)));
        at((since - startedAt) / 100_000 + 30_000, () -> {
            for (int front : live) {
                if (!killedSince(front, since) && lastAddress(front) != stood.get(front)) {
                    broken.add(title + ": front " + front + " changed its journal address for an invalid configuration");
                }
            }
            Set<Integer> named = new HashSet<>();
            for (ChildProcess host : fronts()) {
                host.executePerFront("logged configuration_can't_be_used,_nothing_changed:_limits.sockets").forEach(
                        (front, count) -> {
                            if (!count.equals("0")) {
                                named.add(front);
                            }
                        });
            }
            live.removeAll(down);
            Set<Integer> silent = new TreeSet<>(live);
            silent.removeAll(named);
            if (!silent.isEmpty()) {
                broken.add(title + ": invalid configuration not rejected by fronts " + silent);
            }
            figure("refused", named.size());
        });
    }

    private long lastAddress(int front) {
        List<long[]> calls = journal.requestsSince(front, 0);
        return calls.get(calls.size() - 1)[0];
    }

    private Set<Integer> live() {
        Set<Integer> live = IntStream.range(0, size.fronts()).boxed().collect(Collectors.toCollection(
                TreeSet::new));
        live.removeAll(down);
        return live;
    }

    private void primary(String title, int engine) throws IOException {
        int before = places.get(engine);
        JournalService.Row old = row(engine, "draining");
        births.merge(engine, 1, Integer::sum);
        places.put(engine, spares++ % (size.engines() + Math.max(8, size.engines() / SPARE_PART)));
        JournalService.Row fresh = row(engine, "ready");
        int number = journal.publish(List.of(old, fresh));
        long told = System.nanoTime();
        tell(title + ": " + old.engine() + " drains, replaced by " + fresh.engine());
        inForce(title, number, told);
        at((told - startedAt + GONE_AFTER) / 100_000, () -> journal.publish(List.of(new JournalService.Row(
                old.engine(), old.address(), old.zone(), old.kind(), "gone", 0))));
        checks.add(() -> {
            try {
                Map<Integer, String> sent = new TreeMap<>();
                for (ChildProcess host : hollow) {
                    sent.putAll(host.executePerFront("sent " + old.engine()));
                }
                sent.putAll(engineHosts.get(before / 8_192).executePerFront("sent " + before));
                sent.forEach((front, when) -> {
                    boolean reached = faults.stream().noneMatch(fault -> fault.fronts.contains(front)
                            && fault.from < told + SECOND && fault.to > told - SECOND);
                    long within = timed && reached ? Terms.DRAIN_MS * MS : CHANGED_WITHIN;
                    if (Long.parseLong(when) > told + within + DRAIN_SLACK) {
                        broken.add(title + ": front " + front + " sent to " + old.engine() + " "
                                + (Long.parseLong(when) - told) / MS + " ms after the draining row was published");
                    }
                });
                long users = 0;
                for (ChildProcess host : hollow) {
                    users += host.executePerFront("first " + fresh.engine()).values().stream()
                            .filter(when -> !when.equals("0")).count();
                }
                figure(title + " users_of_the_new", users);
            } catch (IOException e) {
                broken.add(title + ": " + e.getMessage());
            }
        });
    }

    private void replace(String title, int engine) throws IOException {
        JournalService.Row old = row(engine, "draining");
        inForce(title, journal.publish(List.of(old)));
        at((System.nanoTime() - startedAt + GONE_AFTER) / 100_000, () -> {
            JournalService.Row gone = new JournalService.Row(old.engine(), old.address(), old.zone(),
                    old.kind(), "gone", 0);
            births.merge(engine, 1, Integer::sum);
            JournalService.Row fresh = row(engine, "ready");
            inForce(title, journal.publish(List.of(gone, new JournalService.Row(fresh.engine(), fresh.address(),
                    fresh.zone(), fresh.kind(), "ready", System.currentTimeMillis()))));
        });
    }

    private void inForce(String title, int number) {
        inForce(title, number, System.nanoTime());
    }

    private final Map<String, List<long[]>> events = new TreeMap<>();

    private void inForce(String title, int number, long told) {
        events.computeIfAbsent(title, k -> new ArrayList<>()).add(new long[] {number, told});
    }

    /** Checks that each event is in force at each hollow front; records the delays of fronts not restarted since. */
    private void checkEvents(String title, List<long[]> told) {
        try {
            List<Long> times = new ArrayList<>();
            long first = 0;
            for (long[] event : told) {
                first = first == 0 ? event[1] : first;
                for (ChildProcess host : hollow) {
                    for (Map.Entry<Integer, String> front : host.executePerFront("force " + event[0]).entrySet()) {
                        long at = Long.parseLong(front.getValue());
                        if (at == 0) {
                            broken.add(title + ": event " + event[0] + " is not in force at front "
                                    + front.getKey());
                        } else if (kills.getOrDefault(front.getKey(), 0L) < event[1]) {
                            times.add(Math.max(0, at - event[1]));
                        }
                    }
                }
            }
            spread(title + " in force", times, CHANGED_WITHIN, first);
        } catch (IOException e) {
            broken.add(title + ": " + e.getMessage());
        }
    }

    private void spread(String title, List<Long> times, long within, long since) {
        if (times.isEmpty()) {
            broken.add(title + ": no front reported a time");
            return;
        }
        times.sort(Comparator.naturalOrder());
        long last = times.get(times.size() - 1);
        figure(title + " first", times.get(0) / 1e6);
        figure(title + " median", times.get(times.size() / 2) / 1e6);
        figure(title + " 99th", times.get((int) Math.ceil(times.size() * 0.99) - 1) / 1e6);
        figure(title + " last", last / 1e6);
        if (timed && last > within) {
            broken.add(String.format(Locale.ROOT,
                    "%s at the last front after %.1f s, %d s are allowed (%.1f s)", title,
                    last / 1e9, within / SECOND, (since - startedAt) / 1e9));
        }
    }

    private Map<ChildProcess, String> byHost(Set<Integer> fronts) {
        Map<ChildProcess, String> by = new HashMap<>();
        for (int front : fronts) {
            by.merge(hostOf(front), Integer.toString(front), (all, one) -> all + "," + one);
        }
        return by;
    }

    private ChildProcess hostOf(int front) {
        return front < size.real() ? real : hollow.get(IntStream.range(0, hollow.size())
                .filter(h -> front < size.real() + (int) ((long) size.hollow() * (h + 1) / hollow.size()))
                .findFirst().orElseThrow());
    }

    private void kill(String title, Set<Integer> fronts) throws IOException {
        tell(title + ": " + fronts.size() + " fronts killed");
        for (Map.Entry<ChildProcess, String> host : byHost(fronts).entrySet()) {
            host.getKey().execute("kill " + host.getValue());
        }
        for (int front : fronts) {
            down.add(front);
            kills.put(front, System.nanoTime());
            journal.resetConnections(front);
        }
    }

    private void revive(String title, Set<Integer> fronts) throws IOException {
        for (int front : fronts) {
            configure(front);
            down.remove(front);
            kills.put(front, System.nanoTime());
        }
        int number = journal.lastEventNumber();
        long since = System.nanoTime();
        for (Map.Entry<ChildProcess, String> host : byHost(fronts).entrySet()) {
            String took = host.getKey().execute("revive " + host.getValue());
            if (host.getKey() == real) {
                spread(title + " ready real", new ArrayList<>(List.of(Long.parseLong(took))), READY_WITHIN,
                        since);
            }
        }
        checks.add(() -> {
            try {
                List<Long> times = new ArrayList<>();
                for (ChildProcess host : hollow) {
                    host.executePerFront("force " + number).forEach((front, when) -> {
                        if (fronts.contains(front)) {
                            times.add(when.equals("0") ? Long.MAX_VALUE : Long.parseLong(when) - since);
                        }
                    });
                }
                if (!times.isEmpty()) {
                    spread(title + " ready hollow", times, READY_WITHIN, since);
                }
            } catch (IOException e) {
                broken.add(title + ": " + e.getMessage());
            }
        });
    }

    private void back(String title) {
        journal.setUnavailable(false);
        long since = System.nanoTime();
        checks.add(() -> {
            long[] peaks = journal.peakLoad(since, since + 5 * SECOND);
            double aimed = Math.max(1, size.fronts() * 100 / MEAN_WAIT_MS);
            figure(title + " calls_in_100ms", peaks[0]);
            figure(title + " calls_over_aim", peaks[0] / aimed);
            figure(title + " bytes_in_1s", peaks[1]);
            figure(title + " bytes_over_aim", (double) peaks[1] / BYTES_PER_SECOND);
            if (timed && peaks[0] > PEAK * aimed) {
                broken.add(String.format(Locale.ROOT, "%s: %d requests in 100 ms, pacing aims at %.0f", title,
                        peaks[0], aimed));
            }
            if (peaks[1] > PEAK * BYTES_PER_SECOND) {
                broken.add(title + ": " + peaks[1] + " bytes in 1 s, pacing aims at " + BYTES_PER_SECOND);
            }
            for (int front : live()) {
                if (!killedSince(front, since) && journal.requestsSince(front, since).isEmpty()) {
                    broken.add(title + ": front " + front + " has not reconnected to the journal");
                }
            }
        });
    }

    /** Final checks: all fronts are up to date with the same list, and none has exited or logged a fault. */
    private void quiet() throws IOException {
        events.forEach(this::checkEvents);
        Set<Integer> live = live();
        long limit = System.nanoTime() + 12 * SECOND;
        while (!journal.upToDateWatchers().containsAll(live) && System.nanoTime() < limit) {
            pause(50);
        }
        live.removeAll(journal.upToDateWatchers());
        if (!live.isEmpty()) {
            broken.add("fronts " + live + " are not up to date with the journal at the end");
        }
        String digest = Long.toString(journal.digest());
        for (ChildProcess host : hollow) {
            host.executePerFront("digest").forEach((front, own) -> {
                if (!own.equals(digest)) {
                    broken.add("front " + front + " has a list that differs from the published one");
                }
            });
        }
        if (real != null) {
            real.execute("quiet");
            real.executePerFront("alive").forEach((front, alive) -> {
                if (!alive.equals("true")) {
                    broken.add("front " + front + " exited unexpectedly");
                }
            });
        }
        for (String fault : List.of("a_decision_failed", "an_action_failed", "a_timer_failed")) {
            for (ChildProcess host : fronts()) {
                host.executePerFront("logged " + fault).forEach((front, count) -> {
                    if (!count.equals("0")) {
                        broken.add("front " + front + ": " + fault.replace('_', ' '));
                    }
                });
            }
        }
    }

    private void healthy() throws IOException {
        String fault = journal.fault();
        require(fault == null, fault);
        for (ChildProcess one : children) {
            require(one.process.isAlive(), "a child process exited unexpectedly");
        }
    }

    private static void require(boolean holds, String what) throws IOException {
        if (!holds) {
            throw new IOException(what);
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void figure(String name, double value) {
        figures.put(name.replace(' ', '_'), value);
    }

    private Result result() throws IOException {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        long cpu = 0;
        long heap = 0;
        long[] queries = new long[3];
        for (ChildProcess host : hollow) {
            String[] cost = host.execute("cost").split(" ");
            cpu += Long.parseLong(cost[0]);
            heap += Long.parseLong(cost[1]);
            for (String counts : host.executePerFront("queries").values()) {
                String[] each = counts.split("/");
                IntStream.range(0, 3).forEach(k -> queries[k] += Long.parseLong(each[k]));
            }
        }
        long[][] counts = journal.counts();
        int hollows = Math.max(1, size.hollow());
        figure("hollow_cpu_share", cpu / 1e9 / seconds / hollows);
        figure("hollow_heap_mb", heap / 1048576.0 / hollows);
        figure("hollow_asked", queries[0]);
        figure("hollow_answered", queries[1]);
        figure("hollow_served", queries[2]);
        figure("journal_cpu_share", journal.cpuNanos() / 1e9 / seconds);
        figure("journal_messages_a_watcher", Arrays.stream(counts).mapToLong(c -> c[0]).average().orElse(0));
        figure("journal_bytes_a_watcher", Arrays.stream(counts).mapToLong(c -> c[1]).average().orElse(0));
        if (queries[1] == 0) {
            broken.add("hollow fronts answered no query");
        }
        if (real != null) {
            String[] asked = real.execute("asked").split(" ");
            String[] names = {"real_asked", "real_rows", "real_refused", "real_errors", "real_lost",
                "real_wrong"};
            IntStream.range(0, names.length).forEach(k -> figure(names[k], Double.parseDouble(asked[k])));
            long[] count = Arrays.stream(asked).mapToLong(Long::parseLong).toArray();
            // A client has at most one query open, and may lose it only when its front is killed.
            long killed = kills.keySet().stream().filter(front -> front < size.real()).count();
            long open = 2 * count[0] - Arrays.stream(count).sum();
            if (count[1] == 0 || count[4] > ChildMain.CLIENTS_PER_FRONT * killed || count[5] > 0
                    || open > (long) ChildMain.CLIENTS_PER_FRONT * size.real()) {
                broken.add("real fronts: " + String.join(", ", names) + " are " + String.join(", ", asked));
            }
        }
        double changes = journal.lastEventNumber() / seconds;
        String run = Slopes.commit() + " bench/scale " + file.getFileName() + " --seed " + seed;
        List<Figures.Figure> rows = figures.entrySet().stream().map(f -> new Figures.Figure(run, f.getKey(),
                unit(f.getKey()), size.fronts(), size.engines(), HOLLOW_QUERIES, 0, changes, 1, f.getValue()))
                .toList();
        String last = figures.entrySet().stream().filter(f -> f.getKey().endsWith("_last")
                || f.getKey().startsWith("hollow") || f.getKey().startsWith("real")
                || f.getKey().endsWith("over_aim")).map(f -> f.getKey() + "="
                        + String.format(Locale.ROOT, "%.4g", f.getValue())).collect(Collectors.joining(" "));
        return new Result(rows, "fronts=" + size.fronts() + " real=" + size.real() + " engines="
                + size.engines() + " seed=" + seed + " broken=" + broken.size() + " " + last, broken);
    }

    private static String unit(String name) {
        return name.endsWith("_first") || name.endsWith("_median") || name.endsWith("_99th")
                || name.endsWith("_last") ? "ms" : name.endsWith("mb") ? "MB" : name.contains("bytes_in")
                || name.contains("journal_bytes") ? "bytes" : name.endsWith("share") ? "cores"
                : name.endsWith("step") || name.endsWith("_s") ? "s" : "count";
    }

    @Override
    public void close() throws IOException {
        for (ChildProcess one : children) {
            one.close();
        }
        journal.close();
        asks.shutdown();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path one : files.toList()) {
                Files.delete(one);
            }
        }
        Files.delete(folder);
    }
}
