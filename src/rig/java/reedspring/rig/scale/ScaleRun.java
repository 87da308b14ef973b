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
import reedspring.rig.fleet.FleetSettings;
import reedspring.rig.fleet.Timetable;
import reedspring.rig.fleet.Timetable.Entry;

/**
 * One scale run: starts the journal service, stand-in engines, hollow fronts and real fronts, executes the
 * timetable and checks the rules from outside. Real fronts have the lowest numbers.
 */
final class ScaleRun implements Closeable {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MS;
    private static final long CONFIGURED_WITHIN_NANOS = 11 * NANOS_PER_SECOND;
    private static final long CHANGED_WITHIN_NANOS = 7 * NANOS_PER_SECOND;
    private static final long READY_WITHIN_NANOS = 10 * NANOS_PER_SECOND;
    /** Added to the time within which the last query may reach a draining engine. */
    private static final long DRAIN_SLACK_NANOS = 250 * NANOS_PER_MS;
    /** A draining engine leaves the list this long after its draining row. */
    private static final long GONE_AFTER_NANOS = NANOS_PER_SECOND;
    /** Greatest peak that is allowed, as a multiple of the rate that pacing aims at. */
    private static final double MAX_PEAK_RATIO = 3;
    /** Fronts reconnect after 250 to 500 ms each time once an outage of the journal lasts. */
    private static final double MEAN_RECONNECT_DELAY_MS = 375;
    private static final long JOURNAL_BYTES_PER_SECOND = 32 << 20;
    private static final double HOLLOW_QUERIES_PER_SECOND = 2;
    private static final double REAL_QUERIES_PER_SECOND = 10;
    private static final int LOOPS_PER_PROCESS = 2;

    /** Figures, summary line and violated rules of a run; it passed if no rule was violated. */
    record Result(List<Figures.Figure> figures, String summary, List<String> violations) {
    }

    private final Timetable timetable;
    private final Path timetableFile;
    private final Scale.Size size;
    private final long seed;
    private final Path directory;
    private final JournalService journal = new JournalService(JOURNAL_BYTES_PER_SECOND);
    private final List<ChildProcess> hollowProcesses = new ArrayList<>();
    private final List<ChildProcess> engineProcesses = new ArrayList<>();
    private final List<ChildProcess> processes = new ArrayList<>();
    /** Number of replacements by engine; part of the engine's name. */
    private final Map<Integer, Integer> generations = new HashMap<>();
    private final Map<Integer, Integer> addressIndexes = new HashMap<>();
    private final List<List<String>> journalAddresses = new ArrayList<>();
    private final Set<Integer> downFronts = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Double> figures = new TreeMap<>();
    private final List<Runnable> finalChecks = new ArrayList<>();
    private final TreeMap<Long, List<Step>> steps = new TreeMap<>();
    private final List<Outage> outages = new ArrayList<>();
    private final boolean checkTimes;
    private final ExecutorService reloadExecutor = Executors.newCachedThreadPool();
    private ChildProcess realProcess;
    private long startNanos;
    private long firstChangeNanos;
    private final List<Long> changeNanos = new ArrayList<>();
    private int nextAddressIndex;
    private String configurationSuffix = "a";

    /** A time span in which some fronts could not reach the journal. */
    private record Outage(long fromNanos, long toNanos, Set<Integer> fronts) {
    }

    private interface Step {
        void run() throws IOException;
    }

    /** @param checkTimes whether to check time limits, which a busy machine may miss */
    ScaleRun(Timetable timetable, Path timetableFile, Scale.Size size, long seed, boolean checkTimes)
            throws IOException {
        this.checkTimes = checkTimes;
        this.timetable = timetable.sized(size.fronts(), size.engines());
        this.timetableFile = timetableFile;
        this.size = size;
        this.seed = seed;
        this.directory = Files.createTempDirectory("reedspring-scale");
    }

    private ChildProcess startProcess(String role, int heapMb) throws IOException {
        ChildProcess process = new ChildProcess(role, heapMb,
                directory.resolve(role + processes.size() + ".log"));
        processes.add(process);
        return process;
    }

    private void log(String text) {
        System.err.printf(Locale.ROOT, "%6.1f s  %s%n", startNanos == 0 ? 0
                : (System.nanoTime() - startNanos) / 1e9, text);
    }

    // ---- startup

    /** One spare engine address is provided for this many engines, but at least 8. */
    private static final int SPARE_DIVISOR = 4;

    private int secondOctet() {
        return 40 + (int) (ProcessHandle.current().pid() % 40);
    }

    private int port() {
        return 20_000 + (int) (ProcessHandle.current().pid() % 12_000);
    }

    private JournalService.Row row(int engine, String health) {
        int generation = generations.getOrDefault(engine, 0);
        String address = ChildMain.engineAddress(secondOctet(), addressIndexes.get(engine)) + ":" + port();
        return new JournalService.Row("e" + engine + "-" + generation, address,
                String.valueOf(timetable.site(engine)),
                FleetSettings.kind(timetable.cores(engine)), health, 0);
    }

    private void startAll() throws IOException {
        int spareAddresses = Math.max(8, size.engines() / SPARE_DIVISOR);
        nextAddressIndex = size.engines();
        int addresses = Math.min(65_536, size.engines() + spareAddresses);
        for (int first = 0; first < addresses; first += 8_192) {
            ChildProcess process = startProcess("engines", 512);
            engineProcesses.add(process);
            process.execute("start " + secondOctet() + " " + port() + " " + first + " "
                    + Math.min(addresses, first + 8_192));
        }
        IntStream.range(0, size.engines()).forEach(k -> addressIndexes.put(k, k));
        journal.publish(IntStream.range(0, size.engines()).mapToObj(k -> row(k, "ready")).toList());
        log(size.engines() + " engines are listening");
        for (int k = 0; k < size.fronts(); k++) {
            journalAddresses.add(journal.addWatcher());
            String listen = k < size.realFronts() ? Program.freeAddress() : "127.0.0.1:1";
            listenAddresses.add(listen);
            writeConfigurations(k);
        }
        long startupNanos = System.nanoTime();
        int nextFront = size.realFronts();
        for (int index = 0; index < size.hollowProcesses(); index++) {
            int untilFront = size.realFronts() + (int) ((long) size.hollowFronts() * (index + 1)
                    / size.hollowProcesses());
            ChildProcess process = startProcess("hollow", size.hollowHeapMb());
            hollowProcesses.add(process);
            process.execute("start " + directory + " " + joinNumbers(nextFront, untilFront) + " "
                    + LOOPS_PER_PROCESS + " " + HOLLOW_QUERIES_PER_SECOND + " " + timetableFile);
            nextFront = untilFront;
        }
        log(size.hollowFronts() + " hollow fronts started");
        if (size.realFronts() > 0) {
            realProcess = startProcess("real", 256);
            realProcess.execute("start " + directory + " " + joinNumbers(0, size.realFronts()) + " "
                    + REAL_QUERIES_PER_SECOND + " " + timetableFile);
            log(size.realFronts() + " real fronts are ready");
        }
        long deadline = startupNanos + 60 * NANOS_PER_SECOND;
        while (journal.upToDateWatchers().size() < size.fronts()) {
            require(System.nanoTime() < deadline, "only " + journal.upToDateWatchers().size() + " of "
                    + size.fronts() + " fronts are up to date with the journal after a minute");
            pause(50);
        }
        figure("start_all_in_step", (System.nanoTime() - startupNanos) / 1e9);
        if (realProcess != null) {
            realProcess.execute("ask");
        }
        startNanos = System.nanoTime();
        log("all follow the journal");
    }

    private final List<String> listenAddresses = new ArrayList<>();

    /** Writes a front's configurations: one for each of its journal addresses, and an invalid one. */
    private void writeConfigurations(int front) throws IOException {
        String known = front < size.realFronts() ? journal.known() : "";
        int position = front < size.realFronts() ? journal.lastEventNumber() : 0;
        for (int addressIndex = 0; addressIndex < JournalService.ADDRESSES_PER_WATCHER; addressIndex++) {
            String text = FleetSettings.config(timetable, front, size.realMb(), listenAddresses.get(front),
                    journalAddresses.get(front).get(addressIndex), position, known);
            writeConfiguration(front, addressIndex == 0 ? "a" : "b", text);
            if (addressIndex == 1) {
                writeConfiguration(front, "bad", text.replaceAll("\"sockets\":[0-9]+", "\"sockets\":10"));
            }
        }
    }

    private void writeConfiguration(int front, String suffix, String text) throws IOException {
        Files.writeString(directory.resolve("f" + front + "." + suffix + ".json"), text);
    }

    private static String joinNumbers(int from, int until) {
        return IntStream.range(from, until).mapToObj(Integer::toString).collect(Collectors.joining(","));
    }

    // ---- execution

    Result play() throws IOException {
        startAll();
        for (Entry entry : timetable.entries()) {
            scheduleEntry(entry);
        }
        long end = (timetable.lengthTicks() + timetable.settleTicks()) * 100_000;
        while (System.nanoTime() - startNanos < end) {
            long dueTicks = (System.nanoTime() - startNanos) / 100_000;
            while (!steps.isEmpty() && steps.firstKey() <= dueTicks) {
                for (Step step : steps.pollFirstEntry().getValue()) {
                    step.run();
                }
            }
            requireHealthy();
            pause(2);
        }
        finalChecks.forEach(Runnable::run);
        checkFinalState();
        return result();
    }

    /** @param ticks time from the start of the run; one tick is a tenth of a millisecond */
    private void schedule(long ticks, Step step) {
        steps.computeIfAbsent(ticks, k -> new ArrayList<>()).add(step);
    }

    private void scheduleEntry(Entry entry) {
        Set<Integer> fronts = new TreeSet<>(timetable.frontsOf(entry, seed));
        Set<Integer> engines = new TreeSet<>(timetable.enginesOf(entry, seed));
        switch (entry.type()) {
            case CONFIGURE -> {
                int count = (int) entry.times();
                for (int index = 0; index < count; index++) {
                    boolean last = index == count - 1;
                    boolean first = index == 0;
                    // Checked one by one only if the changes are further apart than one may take.
                    boolean checkEach = count > 1 && entry.spanTicks() / count >= 20_000;
                    int number = index + 1;
                    schedule(entry.startTicks() + entry.spanTicks() * index / count, () -> {
                        configurationSuffix = configurationSuffix.equals("a") ? "b" : "a";
                        long now = System.nanoTime();
                        firstChangeNanos = first ? now : firstChangeNanos;
                        changeNanos.add(now);
                        reloadAll(configurationSuffix);
                        if (last) {
                            figure(entry.title() + " made_in_s",
                                    (System.nanoTime() - firstChangeNanos) / 1e9);
                        }
                        if (last || checkEach) {
                            checkConfigured(entry.title() + (checkEach ? " " + number : ""), now);
                        }
                    });
                }
            }
            case CONFIGURE_BAD -> schedule(entry.startTicks(), () -> {
                long now = System.nanoTime();
                reloadAll("bad");
                checkRejected(entry.title(), now);
            });
            case PRIMARY -> {
                int index = 0;
                for (int engine : engines) {
                    schedule(entry.startTicks() + entry.spanTicks() * index++ / engines.size(),
                            () -> replaceAtOnce(entry.title(), engine));
                }
            }
            case REPLACE -> {
                int index = 0;
                for (int engine : engines) {
                    schedule(entry.startTicks() + entry.spanTicks() * index++ / engines.size(),
                            () -> replaceAfterDrain(entry.title(), engine));
                }
            }
            case LOSE -> {
                schedule(entry.startTicks(), () -> expectInForce(entry.title() + " gone",
                        journal.publish(engines.stream()
                        .map(e -> row(e, "gone")).toList())));
                schedule(entry.endTicks(), () -> {
                    engines.forEach(e -> generations.merge(e, 1, Integer::sum));
                    expectInForce(entry.title() + " back", journal.publish(engines.stream()
                            .map(e -> row(e, "ready")).toList()));
                });
            }
            case KILL -> {
                schedule(entry.startTicks(), () -> kill(entry.title(), fronts));
                schedule(entry.endTicks(), () -> revive(entry.title(), fronts));
            }
            case CUT -> {
                schedule(entry.startTicks(), () -> {
                    log(entry.title() + ": cutting the link of " + fronts.size() + " fronts to the journal");
                    journal.setLinkDown(fronts, true);
                    recordOutage(entry, fronts);
                });
                schedule(entry.endTicks(), () -> journal.setLinkDown(fronts, false));
            }
            case JOURNAL_AWAY -> {
                schedule(entry.startTicks(), () -> {
                    log(entry.title() + ": stopping the journal service");
                    journal.setUnavailable(true);
                    recordOutage(entry, liveFronts());
                });
                schedule(entry.endTicks(), () -> endOutage(entry.title()));
            }
            default -> throw new IllegalStateException("[" + entry.title() + "] what: "
                    + entry.type().name().toLowerCase(Locale.ROOT) + " is not supported by bench/scale");
        }
    }

    private void recordOutage(Entry entry, Set<Integer> fronts) {
        long now = System.nanoTime();
        outages.add(new Outage(now, now + entry.spanTicks() * 100_000, fronts));
    }

    private void reloadAll(String suffix) throws IOException {
        List<CompletableFuture<Void>> reloads = new ArrayList<>();
        for (ChildProcess process : frontProcesses()) {
            reloads.add(CompletableFuture.runAsync(() -> {
                try {
                    process.execute("reload " + suffix);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }, reloadExecutor));
        }
        try {
            reloads.forEach(CompletableFuture::join);
        } catch (CompletionException e) {
            throw new IOException(e.getCause().getMessage(), e);
        }
    }

    private List<ChildProcess> frontProcesses() {
        return Stream.concat(hollowProcesses.stream(), Stream.ofNullable(realProcess)).toList();
    }

    /**
     * Checks a configuration: it is in force once a front connects to the journal address that it names, and
     * no other.
     */
    private void checkConfigured(String title, long sinceNanos) {
        int expectedIndex = configurationSuffix.equals("a") ? 0 : 1;
        log(title + ": configuration reload triggered");
        Set<Integer> fronts = liveFronts();
        finalChecks.add(() -> {
            List<Long> delays = new ArrayList<>();
            long nextChangeNanos = changeNanos.stream().filter(nanos -> nanos > sinceNanos).findFirst()
                    .orElse(Long.MAX_VALUE);
            for (int front : fronts) {
                List<long[]> requests = journal.requestsSince(front, sinceNanos);
                long connectedNanos = 0;
                for (long[] request : requests) {
                    connectedNanos = request[1] >= nextChangeNanos ? connectedNanos
                            : request[0] != expectedIndex ? 0
                            : connectedNanos == 0 ? request[1] : connectedNanos;
                }
                if (downFronts.contains(front) || restartedSince(front, sinceNanos)) {
                    continue;
                }
                if (connectedNanos == 0) {
                    violations.add(title + ": not in force at front " + front);
                } else {
                    delays.add(connectedNanos - sinceNanos);
                }
            }
            recordDelays(title + " in force", delays, CONFIGURED_WITHIN_NANOS, sinceNanos);
        });
    }

    private boolean restartedSince(int front, long sinceNanos) {
        return restartNanos.getOrDefault(front, 0L) >= sinceNanos;
    }

    /** Time at which a front was last killed or restarted. */
    private final Map<Integer, Long> restartNanos = new HashMap<>();

    /**
     * Checks that all fronts reject the invalid configuration, log the field, and keep the old one: each
     * later request goes to the address that the last valid one names. The requests before can't tell the
     * old address, as the journal service may read those of quick changes in another order than sent.
     */
    private void checkRejected(String title, long sinceNanos) {
        Set<Integer> fronts = liveFronts();
        log(title + ": reload of an invalid configuration triggered");
        Map<Integer, Integer> validIndexes = new HashMap<>();
        fronts.forEach(front -> validIndexes.put(front, validAddressIndex(front)));
        schedule((sinceNanos - startNanos) / 100_000 + 30_000, () -> {
            for (int front : fronts) {
                if (!restartedSince(front, sinceNanos) && journal.requestsSince(front, sinceNanos).stream()
                        .anyMatch(request -> request[0] != validIndexes.get(front))) {
                    violations.add(title + ": front " + front
                            + " changed its journal address for an invalid configuration");
                }
            }
            Set<Integer> rejecting = new HashSet<>();
            for (ChildProcess process : frontProcesses()) {
                process.executePerFront("logged configuration_can't_be_used,_nothing_changed:_limits.sockets")
                        .forEach((front, count) -> {
                            if (!count.equals("0")) {
                                rejecting.add(front);
                            }
                        });
            }
            fronts.removeAll(downFronts);
            Set<Integer> silent = new TreeSet<>(fronts);
            silent.removeAll(rejecting);
            if (!silent.isEmpty()) {
                violations.add(title + ": invalid configuration not rejected by fronts " + silent);
            }
            figure("refused", rejecting.size());
        });
    }

    /** Index of the journal address in a front's last valid configuration; it is restarted with the first. */
    private int validAddressIndex(int front) {
        boolean restarted = !changeNanos.isEmpty()
                && restartedSince(front, changeNanos.get(changeNanos.size() - 1));
        return restarted || configurationSuffix.equals("a") ? 0 : 1;
    }

    private Set<Integer> liveFronts() {
        Set<Integer> fronts = IntStream.range(0, size.fronts()).boxed().collect(Collectors.toCollection(
                TreeSet::new));
        fronts.removeAll(downFronts);
        return fronts;
    }

    /**
     * Publishes the draining row and the replacement in one event, at a new address; later removes the old
     * row.
     */
    private void replaceAtOnce(String title, int engine) throws IOException {
        int oldAddressIndex = addressIndexes.get(engine);
        JournalService.Row old = row(engine, "draining");
        generations.merge(engine, 1, Integer::sum);
        addressIndexes.put(engine, nextAddressIndex++ % (size.engines()
                + Math.max(8, size.engines() / SPARE_DIVISOR)));
        JournalService.Row replacement = row(engine, "ready");
        int eventNumber = journal.publish(List.of(old, replacement));
        long publishedNanos = System.nanoTime();
        log(title + ": " + old.engine() + " drains, " + replacement.engine() + " replaces it");
        expectInForce(title, eventNumber, publishedNanos);
        schedule((publishedNanos - startNanos + GONE_AFTER_NANOS) / 100_000, () ->
                journal.publish(List.of(new JournalService.Row(
                old.engine(), old.address(), old.zone(), old.kind(), "gone", 0))));
        finalChecks.add(() -> {
            try {
                Map<Integer, String> lastSent = new TreeMap<>();
                for (ChildProcess process : hollowProcesses) {
                    lastSent.putAll(process.executePerFront("sent " + old.engine()));
                }
                lastSent.putAll(engineProcesses.get(oldAddressIndex / 8_192)
                        .executePerFront("sent " + oldAddressIndex));
                lastSent.forEach((front, nanos) -> {
                    boolean reachable = outages.stream().noneMatch(outage -> outage.fronts.contains(front)
                            && outage.fromNanos < publishedNanos + NANOS_PER_SECOND
                            && outage.toNanos > publishedNanos - NANOS_PER_SECOND);
                    long limitNanos = checkTimes && reachable ? FleetSettings.DRAIN_GRACE_MS * NANOS_PER_MS
                            : CHANGED_WITHIN_NANOS;
                    if (Long.parseLong(nanos) > publishedNanos + limitNanos + DRAIN_SLACK_NANOS) {
                        violations.add(title + ": front " + front + " sent to " + old.engine() + " "
                                + (Long.parseLong(nanos) - publishedNanos) / NANOS_PER_MS
                                + " ms after the draining row was published");
                    }
                });
                long usingFronts = 0;
                for (ChildProcess process : hollowProcesses) {
                    usingFronts += process.executePerFront("first " + replacement.engine()).values().stream()
                            .filter(nanos -> !nanos.equals("0")).count();
                }
                figure(title + " users_of_the_new", usingFronts);
            } catch (IOException e) {
                violations.add(title + ": " + e.getMessage());
            }
        });
    }

    /** Publishes the draining row, and later removes it and adds the replacement at the same address. */
    private void replaceAfterDrain(String title, int engine) throws IOException {
        JournalService.Row old = row(engine, "draining");
        expectInForce(title, journal.publish(List.of(old)));
        schedule((System.nanoTime() - startNanos + GONE_AFTER_NANOS) / 100_000, () -> {
            JournalService.Row gone = new JournalService.Row(old.engine(), old.address(), old.zone(),
                    old.kind(), "gone", 0);
            generations.merge(engine, 1, Integer::sum);
            JournalService.Row replacement = row(engine, "ready");
            expectInForce(title, journal.publish(List.of(gone,
                    new JournalService.Row(replacement.engine(), replacement.address(),
                    replacement.zone(), replacement.kind(), "ready", System.currentTimeMillis()))));
        });
    }

    private void expectInForce(String title, int eventNumber) {
        expectInForce(title, eventNumber, System.nanoTime());
    }

    private final Map<String, List<long[]>> eventsByTitle = new TreeMap<>();

    private void expectInForce(String title, int eventNumber, long publishedNanos) {
        eventsByTitle.computeIfAbsent(title, k -> new ArrayList<>())
                .add(new long[] {eventNumber, publishedNanos});
    }

    /**
     * Checks that each event is in force at each hollow front; records the delays of fronts not restarted
     * since.
     */
    private void checkEvents(String title, List<long[]> published) {
        try {
            List<Long> delays = new ArrayList<>();
            long firstNanos = 0;
            for (long[] event : published) {
                firstNanos = firstNanos == 0 ? event[1] : firstNanos;
                for (ChildProcess process : hollowProcesses) {
                    for (Map.Entry<Integer, String> front : process.executePerFront("force " + event[0])
                            .entrySet()) {
                        long nanos = Long.parseLong(front.getValue());
                        if (nanos == 0) {
                            violations.add(title + ": event " + event[0] + " is not in force at front "
                                    + front.getKey());
                        } else if (restartNanos.getOrDefault(front.getKey(), 0L) < event[1]) {
                            delays.add(Math.max(0, nanos - event[1]));
                        }
                    }
                }
            }
            recordDelays(title + " in force", delays, CHANGED_WITHIN_NANOS, firstNanos);
        } catch (IOException e) {
            violations.add(title + ": " + e.getMessage());
        }
    }

    /** Records first, median, 99th percentile and last delay, and checks the last one against its limit. */
    private void recordDelays(String title, List<Long> delays, long limitNanos, long sinceNanos) {
        if (delays.isEmpty()) {
            violations.add(title + ": no front reported a time");
            return;
        }
        delays.sort(Comparator.naturalOrder());
        long longest = delays.get(delays.size() - 1);
        figure(title + " first", delays.get(0) / 1e6);
        figure(title + " median", delays.get(delays.size() / 2) / 1e6);
        figure(title + " 99th", delays.get((int) Math.ceil(delays.size() * 0.99) - 1) / 1e6);
        figure(title + " last", longest / 1e6);
        if (checkTimes && longest > limitNanos) {
            violations.add(String.format(Locale.ROOT,
                    "%s at the last front after %.1f s, %d s are allowed (%.1f s)", title,
                    longest / 1e9, limitNanos / NANOS_PER_SECOND, (sinceNanos - startNanos) / 1e9));
        }
    }

    /** Numbers of fronts, joined by commas, by the process that holds them. */
    private Map<ChildProcess, String> numbersByProcess(Set<Integer> fronts) {
        Map<ChildProcess, String> numbers = new HashMap<>();
        for (int front : fronts) {
            numbers.merge(processOf(front), Integer.toString(front), (all, one) -> all + "," + one);
        }
        return numbers;
    }

    private ChildProcess processOf(int front) {
        return front < size.realFronts() ? realProcess
                : hollowProcesses.get(IntStream.range(0, hollowProcesses.size())
                .filter(index -> front < size.realFronts()
                        + (int) ((long) size.hollowFronts() * (index + 1) / hollowProcesses.size()))
                .findFirst().orElseThrow());
    }

    private void kill(String title, Set<Integer> fronts) throws IOException {
        log(title + ": " + fronts.size() + " fronts killed");
        for (Map.Entry<ChildProcess, String> entry : numbersByProcess(fronts).entrySet()) {
            entry.getKey().execute("kill " + entry.getValue());
        }
        for (int front : fronts) {
            downFronts.add(front);
            restartNanos.put(front, System.nanoTime());
            journal.resetConnections(front);
        }
    }

    private void revive(String title, Set<Integer> fronts) throws IOException {
        for (int front : fronts) {
            writeConfigurations(front);
            downFronts.remove(front);
            restartNanos.put(front, System.nanoTime());
        }
        int eventNumber = journal.lastEventNumber();
        long sinceNanos = System.nanoTime();
        for (Map.Entry<ChildProcess, String> entry : numbersByProcess(fronts).entrySet()) {
            String readyNanos = entry.getKey().execute("revive " + entry.getValue());
            if (entry.getKey() == realProcess) {
                recordDelays(title + " ready real", new ArrayList<>(List.of(Long.parseLong(readyNanos))),
                        READY_WITHIN_NANOS, sinceNanos);
            }
        }
        finalChecks.add(() -> {
            try {
                List<Long> delays = new ArrayList<>();
                for (ChildProcess process : hollowProcesses) {
                    process.executePerFront("force " + eventNumber).forEach((front, nanos) -> {
                        if (fronts.contains(front)) {
                            delays.add(nanos.equals("0") ? Long.MAX_VALUE
                                    : Long.parseLong(nanos) - sinceNanos);
                        }
                    });
                }
                if (!delays.isEmpty()) {
                    recordDelays(title + " ready hollow", delays, READY_WITHIN_NANOS, sinceNanos);
                }
            } catch (IOException e) {
                violations.add(title + ": " + e.getMessage());
            }
        });
    }

    private void endOutage(String title) {
        // Read before the journal listens again: a front may connect before the call returns.
        long sinceNanos = System.nanoTime();
        journal.setUnavailable(false);
        finalChecks.add(() -> {
            long[] peaks = journal.peakLoad(sinceNanos, sinceNanos + 5 * NANOS_PER_SECOND);
            double targetRequests = Math.max(1, size.fronts() * 100 / MEAN_RECONNECT_DELAY_MS);
            figure(title + " calls_in_100ms", peaks[0]);
            figure(title + " calls_over_aim", peaks[0] / targetRequests);
            figure(title + " bytes_in_1s", peaks[1]);
            figure(title + " bytes_over_aim", (double) peaks[1] / JOURNAL_BYTES_PER_SECOND);
            if (checkTimes && peaks[0] > MAX_PEAK_RATIO * targetRequests) {
                violations.add(String.format(Locale.ROOT, "%s: %d requests in 100 ms, pacing aims at %.0f",
                        title, peaks[0], targetRequests));
            }
            if (peaks[1] > MAX_PEAK_RATIO * JOURNAL_BYTES_PER_SECOND) {
                violations.add(title + ": " + peaks[1] + " bytes in 1 s, pacing aims at "
                        + JOURNAL_BYTES_PER_SECOND);
            }
            for (int front : liveFronts()) {
                if (!restartedSince(front, sinceNanos)
                        && journal.requestsSince(front, sinceNanos).isEmpty()) {
                    violations.add(title + ": front " + front + " has not reconnected to the journal");
                }
            }
        });
    }

    /** Final checks: all fronts are up to date with the same list, and none has exited or logged a fault. */
    private void checkFinalState() throws IOException {
        eventsByTitle.forEach(this::checkEvents);
        Set<Integer> behind = liveFronts();
        long deadline = System.nanoTime() + 12 * NANOS_PER_SECOND;
        while (!journal.upToDateWatchers().containsAll(behind) && System.nanoTime() < deadline) {
            pause(50);
        }
        behind.removeAll(journal.upToDateWatchers());
        if (!behind.isEmpty()) {
            violations.add("fronts " + behind + " are not up to date with the journal at the end");
        }
        String digest = Long.toString(journal.digest());
        for (ChildProcess process : hollowProcesses) {
            process.executePerFront("digest").forEach((front, frontDigest) -> {
                if (!frontDigest.equals(digest)) {
                    violations.add("front " + front + " has a list that differs from the published one");
                }
            });
        }
        if (realProcess != null) {
            realProcess.execute("quiet");
            realProcess.executePerFront("alive").forEach((front, alive) -> {
                if (!alive.equals("true")) {
                    violations.add("front " + front + " exited unexpectedly");
                }
            });
        }
        for (String fault : List.of("a_decision_failed", "an_action_failed", "a_timer_failed")) {
            for (ChildProcess process : frontProcesses()) {
                process.executePerFront("logged " + fault).forEach((front, count) -> {
                    if (!count.equals("0")) {
                        violations.add("front " + front + ": " + fault.replace('_', ' '));
                    }
                });
            }
        }
    }

    private void requireHealthy() throws IOException {
        String fault = journal.fault();
        require(fault == null, fault);
        for (ChildProcess child : processes) {
            require(child.osProcess.isAlive(), "a child process exited unexpectedly");
        }
    }

    private static void require(boolean condition, String message) throws IOException {
        if (!condition) {
            throw new IOException(message);
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
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        long cpuNanos = 0;
        long heapBytes = 0;
        long[] queries = new long[3];
        for (ChildProcess process : hollowProcesses) {
            String[] cost = process.execute("cost").split(" ");
            cpuNanos += Long.parseLong(cost[0]);
            heapBytes += Long.parseLong(cost[1]);
            for (String counts : process.executePerFront("queries").values()) {
                String[] fields = counts.split("/");
                IntStream.range(0, 3).forEach(k -> queries[k] += Long.parseLong(fields[k]));
            }
        }
        long[][] counts = journal.counts();
        int hollowFronts = Math.max(1, size.hollowFronts());
        figure("hollow_cpu_share", cpuNanos / 1e9 / seconds / hollowFronts);
        figure("hollow_heap_mb", heapBytes / 1048576.0 / hollowFronts);
        figure("hollow_asked", queries[0]);
        figure("hollow_answered", queries[1]);
        figure("hollow_served", queries[2]);
        figure("journal_cpu_share", journal.cpuNanos() / 1e9 / seconds);
        figure("journal_messages_a_watcher", Arrays.stream(counts).mapToLong(c -> c[0]).average().orElse(0));
        figure("journal_bytes_a_watcher", Arrays.stream(counts).mapToLong(c -> c[1]).average().orElse(0));
        if (queries[1] == 0) {
            violations.add("hollow fronts answered no query");
        }
        if (realProcess != null) {
            String[] fields = realProcess.execute("asked").split(" ");
            String[] names = {"real_asked", "real_rows", "real_refused", "real_errors", "real_lost",
                "real_wrong"};
            IntStream.range(0, names.length).forEach(k -> figure(names[k], Double.parseDouble(fields[k])));
            long[] counters = Arrays.stream(fields).mapToLong(Long::parseLong).toArray();
            // A client has at most one query open, and may lose it only when its front is killed.
            long killedFronts = restartNanos.keySet().stream().filter(front -> front < size.realFronts())
                    .count();
            long openQueries = 2 * counters[0] - Arrays.stream(counters).sum();
            if (counters[1] == 0 || counters[4] > ChildMain.CLIENTS_PER_FRONT * killedFronts
                    || counters[5] > 0
                    || openQueries > (long) ChildMain.CLIENTS_PER_FRONT * size.realFronts()) {
                violations.add("real fronts: " + String.join(", ", names) + " are "
                        + String.join(", ", fields));
            }
        }
        double changesPerSecond = journal.lastEventNumber() / seconds;
        String run = Slopes.commit() + " bench/scale " + timetableFile.getFileName() + " --seed " + seed;
        List<Figures.Figure> rows = figures.entrySet().stream().map(f -> new Figures.Figure(run, f.getKey(),
                unit(f.getKey()), size.fronts(), size.engines(), HOLLOW_QUERIES_PER_SECOND, 0,
                changesPerSecond, 1, f.getValue()))
                .toList();
        String keyFigures = figures.entrySet().stream().filter(f -> f.getKey().endsWith("_last")
                || f.getKey().startsWith("hollow") || f.getKey().startsWith("real")
                || f.getKey().endsWith("over_aim")).map(f -> f.getKey() + "="
                        + String.format(Locale.ROOT, "%.4g", f.getValue())).collect(Collectors.joining(" "));
        return new Result(rows, "fronts=" + size.fronts() + " real=" + size.realFronts() + " engines="
                + size.engines() + " seed=" + seed + " broken=" + violations.size() + " " + keyFigures,
                violations);
    }

    private static String unit(String name) {
        return name.endsWith("_first") || name.endsWith("_median") || name.endsWith("_99th")
                || name.endsWith("_last") ? "ms" : name.endsWith("mb") ? "MB" : name.contains("bytes_in")
                || name.contains("journal_bytes") ? "bytes" : name.endsWith("share") ? "cores"
                : name.endsWith("step") || name.endsWith("_s") ? "s" : "count";
    }

    @Override
    public void close() throws IOException {
        for (ChildProcess process : processes) {
            process.close();
        }
        journal.close();
        reloadExecutor.shutdown();
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
