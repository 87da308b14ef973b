package reedspring.rig.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import reedspring.rig.FaultShim;
import reedspring.rig.FaultShim.Fault;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable.Entry;
import reedspring.rig.fleet.Timetable.EntryType;
import reedspring.rig.fleet.Timetable.Link;

/**
 * Runs a timetable on front processes with simulated engines and clients and a journal stand-in for each
 * front. A fault proxy carries every link between them. The file and the seed determine a run.
 */
public final class Fleet implements Closeable {
    private static final long NS_PER_MS = 1_000_000;
    private static final long STEP_MS = 5;
    private static final int CONCURRENT_STARTS = 8;
    private static final int MAX_FRONTS = 200;
    private static final int SIGNALS_PER_SERIES = 100;
    private static final long SIGNAL_SERIES_INTERVAL_MS = 250;
    /** The start-up limit that the operators' documentation states. */
    private static final long READY_WITHIN_NS = 10_000 * NS_PER_MS;
    /** Less than a query's bytes, but large enough that a front isn't busy with partial reads alone. */
    private static final int MAX_TRANSFER_BYTES = 200;
    /** Second octet of loopback addresses: links to engines, fronts and journals, and each front's source. */
    private static final int ENGINE_LINK_OCTET = 21 + 10 * Rig.LANE;
    private static final int FRONT_LINK_OCTET = ENGINE_LINK_OCTET + 1;
    private static final int JOURNAL_LINK_OCTET = ENGINE_LINK_OCTET + 2;
    private static final int FRONT_SOURCE_OCTET = ENGINE_LINK_OCTET + 3;

    private final Timetable timetable;
    private final long seed;
    private final SplittableRandom random;
    private final FaultProxy proxy;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(8);
    private final ScheduledExecutorService stepScheduler = Executors.newSingleThreadScheduledExecutor();
    private final List<Front> fronts = new ArrayList<>();
    private final List<EngineSlot> engineSlots = new ArrayList<>();
    private final List<SimulatedEngine> startedEngines = new ArrayList<>();
    private final Map<Entry, Set<Integer>> affectedFronts = new HashMap<>();
    private final Map<Entry, Set<Integer>> affectedEngines = new HashMap<>();
    private final RunChecker checker;
    private SimulatedClients clients;
    private volatile long startedAt;
    private volatile Throwable firstFailure;
    private int maxEngineConnections;
    private final Path home;
    private final Set<Integer> frontsWithFaultyClients = ConcurrentHashMap.newKeySet();
    private long lastStepAt;
    private volatile long maxStepDelayMs;

    /** One front over the restarts of its process. */
    private final class Front {
        private final int index;
        private final String listenAddress;
        private final JournalStandIn journal;
        private final FaultProxy.ProxiedLink clientLink;
        private final FaultProxy.ProxiedLink journalLink;
        /** A second address of the same journal, for reloads that change the address. */
        private final FaultProxy.ProxiedLink secondJournalLink;
        private final FaultProxy.ProxiedLink[] engineLinks = new FaultProxy.ProxiedLink[timetable.engines()];
        private final FaultShim shim;
        private volatile Program program;
        private volatile String config;
        private volatile long startedAt;
        private boolean usesSecondJournalLink;
        private volatile boolean failStarts;
        private final SplittableRandom startFaultRandom;

        private Front(int index) throws IOException, InterruptedException {
            this.index = index;
            this.startFaultRandom = new SplittableRandom(seed ^ index);
            this.shim = timetable.entries().stream().anyMatch(e -> e.type().needsFaultShim())
                    ? new FaultShim() : null;
            this.listenAddress = Program.freeAddress();
            this.journal = new JournalStandIn();
            InetAddress sourceAddress = FaultProxy.loopback(FRONT_SOURCE_OCTET, 0, index);
            int port = Integer.parseInt(listenAddress.substring(listenAddress.indexOf(':') + 1));
            clientLink = proxy.openLink(FRONT_LINK_OCTET, 0, index, sourceAddress,
                    () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            String journalAddress = journal.address();
            InetSocketAddress journalSocketAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(journalAddress.substring(journalAddress.indexOf(':') + 1)));
            journalLink = proxy.openLink(JOURNAL_LINK_OCTET, 0, index, sourceAddress,
                    () -> journalSocketAddress);
            secondJournalLink = proxy.openLink(JOURNAL_LINK_OCTET, 1, index, sourceAddress,
                    () -> journalSocketAddress);
            for (int k = 0; k < timetable.engines(); k++) {
                EngineSlot slot = engineSlots.get(k);
                engineLinks[k] = proxy.openLink(ENGINE_LINK_OCTET, index, k, sourceAddress,
                        () -> slot.engine.address());
            }
        }

        private String listing(SimulatedEngine engine, String health) {
            return JournalStandIn.engineRow(engine.name, engineLinks[engine.index].address(),
                    String.valueOf(timetable.site(engine.index)),
                    FleetSettings.kind(timetable.cores(engine.index)), health, engine.startedAtMs);
        }

        private void start() throws IOException {
            String[] known = engineSlots.stream().map(slot -> listing(slot.engine, slot.health))
                    .toArray(String[]::new);
            int position = journal.position();
            config = FleetSettings.config(timetable, index, listenAddress, journalLink.address(), position,
                    JournalStandIn.event(position, true, known));
            usesSecondJournalLink = false;
            if (shim != null) {
                // a JVM can't start without threads
                shim.set(Fault.THREADS_FROM, 0);
            }
            if (failStarts) {
                shim.set(Fault.CONFIG_OPENS, 1 + startFaultRandom.nextInt(5));
                shim.set(Fault.EPOLL_CREATES, startFaultRandom.nextInt(3));
                shim.set(Fault.EVENTFDS, startFaultRandom.nextInt(2));
                shim.set(Fault.EPOLL_ADD_AT, 1 + startFaultRandom.nextInt(6));
            }
            program = shim == null ? new Program(config, home) : Program.withShim(config, shim, home);
            startedAt = System.nanoTime();
            clientLink.acceptConnections();
        }

        /** Sends the signal unless the process has exited already, as it was asked to. */
        private void signal(String name) throws IOException, InterruptedException {
            ifAlive(() -> program.sendSignal(name));
        }

        /** Runs the task if the process is alive; a failure because of its exit meanwhile is ignored. */
        private void ifAlive(CheckedRunnable task) throws IOException, InterruptedException {
            try {
                if (program.process.isAlive()) {
                    task.run();
                }
            } catch (AssertionError e) {
                program.process.waitFor(1, TimeUnit.SECONDS);
                if (program.process.isAlive()) {
                    throw e;
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                throw e;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }

        /** Reloads a configuration that switches to the other journal address. */
        private void reload() throws IOException, InterruptedException {
            if (!program.process.isAlive()) {
                // the process was asked to exit, and starts again with the first address
                return;
            }
            usesSecondJournalLink = !usesSecondJournalLink;
            String nextConfig = usesSecondJournalLink
                    ? config.replace("\"" + journalLink.address() + "\"", "\"" + secondJournalLink.address()
                    + "\"") : config;
            ifAlive(() -> program.reload(nextConfig));
        }

        private FaultProxy.ProxiedLink link(Link kind, int engine) {
            return kind == Link.CLIENT ? clientLink : kind == Link.JOURNAL ? journalLink
                    : engineLinks[engine];
        }
    }

    /** A position in the fleet that successive engine processes occupy. */
    private static final class EngineSlot {
        private volatile SimulatedEngine engine;
        private volatile String health = "ready";
        private int startCount;
    }

    private Fleet(Timetable timetable, long seed, Path home,
            RunChecker.Tolerances tolerances) throws IOException, InterruptedException {
        this.timetable = timetable;
        this.seed = seed;
        this.home = home;
        this.random = new SplittableRandom(seed);
        this.proxy = new FaultProxy(seed);
        this.checker = new RunChecker(timetable, seed, tolerances);
        for (int k = 0; k < timetable.engines(); k++) {
            EngineSlot slot = new EngineSlot();
            engineSlots.add(slot);
            startEngine(k, 0);
        }
        for (int k = 0; k < timetable.fronts(); k++) {
            fronts.add(new Front(k));
        }
    }

    /** Plays the timetable once; throws on the first broken rule, naming the file, the seed and the time. */
    public static RunSummary play(Path file, long seed) throws Exception {
        Timetable timetable = Timetable.read(file);
        Rig.require(timetable.fronts() <= MAX_FRONTS
                && timetable.entries().stream().noneMatch(e -> e.type().isScaleOnly()),
                file + " can be played by bench/scale only");
        return play(timetable, seed, Path.of("."), RunChecker.Tolerances.LOADED_MACHINE);
    }

    /** Plays the timetable with the build in {@code home} and the given tolerances of the checks. */
    static RunSummary play(Timetable timetable, long seed, Path home,
            RunChecker.Tolerances tolerances) throws Exception {
        try (Fleet fleet = new Fleet(timetable, seed, home, tolerances)) {
            return fleet.run();
        }
    }

    private void startEngine(int index, long startedAtMs) throws IOException {
        EngineSlot slot = engineSlots.get(index);
        SimulatedEngine engine = new SimulatedEngine(timetable, index, "e" + index + "-" + slot.startCount++,
                startedAtMs);
        slot.health = "ready";
        slot.engine = engine;
        synchronized (startedEngines) {
            startedEngines.add(engine);
        }
    }

    private RunSummary run() throws Exception {
        for (int first = 0; first < fronts.size(); first += CONCURRENT_STARTS) {
            List<Front> batch = fronts.subList(first, Math.min(fronts.size(), first + CONCURRENT_STARTS));
            for (Front front : batch) {
                front.journal.publish(true, engineSlots.stream()
                        .map(slot -> front.listing(slot.engine, "ready")).toArray(String[]::new));
                front.start();
            }
            for (Front front : batch) {
                front.program.awaitReady();
            }
        }
        clients = new SimulatedClients(timetable, random.nextLong(),
                fronts.stream().map(f -> f.clientLink.address()).toArray(String[]::new), scheduler);
        clients.warmUp();
        proxy.monitorStalls();
        startedAt = System.nanoTime();
        checker.runStarted(startedAt);
        stepScheduler.scheduleAtFixedRate(recordingFailure(this::stepEngines), STEP_MS, STEP_MS,
                TimeUnit.MILLISECONDS);
        scheduler.scheduleAtFixedRate(recordingFailure(() -> fronts.forEach(f -> f.journal.sendKeepAlive())),
                0, 500, TimeUnit.MILLISECONDS);
        scheduler.scheduleAtFixedRate(recordingFailure(() ->
                frontsWithFaultyClients.forEach(clients::runFaultyClients)), 100, 100, TimeUnit.MILLISECONDS);
        for (Entry entry : timetable.entries()) {
            affectedFronts.put(entry, timetable.frontsOf(entry, seed));
            affectedEngines.put(entry, timetable.enginesOf(entry, seed));
            scheduler.schedule(recordingFailure(() -> beginEntry(entry)), entry.startTicks() / 10,
                    TimeUnit.MILLISECONDS);
            scheduler.schedule(recordingFailure(() -> endEntry(entry)), entry.endTicks() / 10,
                    TimeUnit.MILLISECONDS);
        }
        scheduleQueries();
        Thread.sleep((timetable.lengthTicks() + timetable.settleTicks()) / 10);
        stepScheduler.shutdownNow();
        stepScheduler.awaitTermination(5, TimeUnit.SECONDS);
        scheduler.shutdownNow();
        if (firstFailure != null) {
            throw new AssertionError("the test rig failed (" + timetable + ", seed " + seed + ")",
                    firstFailure);
        }
        for (Front front : fronts) {
            Rig.require(front.program.process.isAlive() || checker.isDown(front.index, System.nanoTime()),
                    "front " + front.index + " exited unexpectedly (" + timetable + ", seed " + seed + "): "
                            + front.program.log);
            Rig.require(front.program.logged("serves on") || checker.isDown(front.index, System.nanoTime())
                    || System.nanoTime() - front.startedAt < READY_WITHIN_NS,
                    "front " + front.index + " did not start (" + timetable + ", seed " + seed + "): "
                            + front.program.log);
            for (String defectLog : List.of("a decision failed", "an action failed", "a timer failed",
                    "closed, fault", "rule would be broken")) {
                Rig.require(!front.program.logged(defectLog), defectLog + " in front " + front.index + " ("
                        + timetable + ", seed " + seed + "): " + front.program.log);
            }
        }
        List<SimulatedEngine> engines = List.copyOf(startedEngines);
        List<SimulatedEngine.Submission> submissions = engines.stream()
                .flatMap(engine -> engine.submissions().stream()).toList();
        checker.recordRigStall(Math.max(maxStepDelayMs, proxy.longestStallMs()));
        RunSummary summary = checker.check(clients.requests(), submissions, engines);
        double[] threadsByEngine = IntStream.range(0, timetable.engines())
                .mapToDouble(k -> engines.stream().filter(engine -> engine.index == k)
                        .mapToDouble(SimulatedEngine::threadLoad).sum()).toArray();
        double mean = Arrays.stream(threadsByEngine).average().orElse(1);
        return summary.withEngineLoad(Arrays.stream(threadsByEngine).max().orElse(0) / mean,
                Arrays.stream(threadsByEngine).min().orElse(0) / mean,
                maxEngineConnections, peakJournalCalls());
    }

    /** The highest number of calls to the journals within 100 ms. */
    private int peakJournalCalls() {
        long[] callTimes = fronts.stream().flatMap(f -> f.journal.requestNanos.stream())
                .mapToLong(Long::longValue)
                .filter(at -> at > startedAt).sorted().toArray();
        int peak = 0;
        for (int first = 0, last = 0; last < callTimes.length; last++) {
            while (callTimes[last] - callTimes[first] > 100 * NS_PER_MS) {
                first++;
            }
            peak = Math.max(peak, last - first + 1);
        }
        return peak;
    }

    private Runnable recordingFailure(CheckedRunnable task) {
        return () -> {
            try {
                task.run();
            } catch (Throwable e) {
                firstFailure = firstFailure == null ? e : firstFailure;
            }
        };
    }

    private interface CheckedRunnable {
        void run() throws Exception;
    }

    private void stepEngines() {
        long now = System.nanoTime();
        // A pause of this process delays the simulated engines and clients, and distorts their measurements.
        maxStepDelayMs = lastStepAt == 0 ? 0
                : Math.max(maxStepDelayMs, (now - lastStepAt) / NS_PER_MS - STEP_MS);
        lastStepAt = now;
        engineSlots.forEach(slot -> slot.engine.step(STEP_MS * 10));
        maxEngineConnections = Math.max(maxEngineConnections, IntStream.range(0, timetable.engines())
                .map(k -> fronts.stream()
                .mapToInt(f -> f.engineLinks[k].connectionCount()).sum()).max().orElse(0));
    }

    /** Draws the times of all queries and schedules them. */
    private void scheduleQueries() {
        long sendTicks = 0;
        while (sendTicks < timetable.lengthTicks()) {
            long currentTicks = sendTicks;
            double rate = timetable.queriesPerSecond() * timetable.entries().stream()
                    .filter(e -> e.type() == EntryType.BURST
                    && currentTicks >= e.startTicks() && currentTicks < e.endTicks())
                    .mapToDouble(Entry::times).max().orElse(1);
            sendTicks += Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 10_000 / rate));
            scheduler.schedule(recordingFailure(() -> clients.sendNewQuery()), sendTicks * 100,
                    TimeUnit.MICROSECONDS);
        }
    }

    private FaultProxy.LinkCondition linkCondition(int front, Link kind, int engine) {
        FaultProxy.LinkCondition condition = FaultProxy.LinkCondition.UNIMPAIRED;
        long elapsedTicks = (System.nanoTime() - startedAt) / 100_000;
        for (Entry e : timetable.entries()) {
            if (e.type().affectsLinks() && e.link() == kind && affectedFronts.containsKey(e)
                    && elapsedTicks >= e.startTicks() - 5
                    && elapsedTicks < e.endTicks() - 5 && affectedFronts.get(e).contains(front)
                    && (kind != Link.ENGINE || affectedEngines.get(e).contains(engine))) {
                condition = new FaultProxy.LinkCondition(condition.cutTowardsTarget()
                        || e.type() == EntryType.CUT || e.type() == EntryType.CUT_THERE,
                        condition.cutTowardsClient()
                        || e.type() == EntryType.CUT || e.type() == EntryType.CUT_BACK,
                        condition.delayMs() + (e.type() == EntryType.DELAY ? e.byTicks() / 10 : 0),
                        e.type() == EntryType.THROTTLE ? e.bytesPerSecond() : condition.bytesPerSecond());
            }
        }
        return condition;
    }

    private void applyLinkFault(Entry entry, boolean begins) {
        for (int frontIndex : affectedFronts.get(entry)) {
            Set<Integer> peers = entry.link() == Link.ENGINE ? affectedEngines.get(entry) : Set.of(0);
            for (int peer : peers) {
                FaultProxy.ProxiedLink link = fronts.get(frontIndex).link(entry.link(), peer);
                switch (entry.type()) {
                    case REFUSE -> {
                        if (begins) {
                            link.refuseConnections();
                            link.reset(false);
                        } else {
                            link.acceptConnections();
                        }
                    }
                    case RESET, HALF_OPEN -> {
                        if (begins) {
                            link.reset(entry.type() == EntryType.HALF_OPEN);
                        }
                    }
                    default -> link.condition(linkCondition(frontIndex, entry.link(), peer));
                }
            }
        }
    }

    private void beginEntry(Entry entry) throws Exception {
        checker.entryBegan(entry, affectedFronts.get(entry), affectedEngines.get(entry));
        if (entry.type().affectsLinks()) {
            applyLinkFault(entry, true);
            return;
        }
        if (entry.type().affectsEngines()) {
            setEngineFault(entry, true);
            return;
        }
        for (int frontIndex : affectedFronts.get(entry)) {
            Front front = fronts.get(frontIndex);
            switch (entry.type()) {
                case KILL -> {
                    checker.killed(frontIndex);
                    front.clientLink.refuseConnections();
                    front.program.close();
                    front.clientLink.reset(false);
                }
                case LEAVE -> {
                    front.signal("-TERM");
                    scheduler.schedule(recordingFailure(() -> {
                        // From now on new connections go to other fronts; open ones stay in use.
                        clients.setDraining(frontIndex, true);
                        front.clientLink.refuseConnections();
                    }), 300, TimeUnit.MILLISECONDS);
                }
                case STOP -> {
                    checker.paused(frontIndex);
                    front.signal("-STOP");
                }
                case SIGNALS -> sendSignalSeries(front, entry.spanTicks() / 10);
                case RELOAD -> {
                    for (int k = 0; k < entry.times(); k++) {
                        scheduler.schedule(recordingFailure(front::reload),
                                (long) (entry.spanTicks() / 10 * k / entry.times()), TimeUnit.MILLISECONDS);
                    }
                }
                default -> setFrontOrClientFault(entry, front, true);
            }
        }
    }

    /** Sends series of SIGHUP while the configuration file is missing, and one once it is restored. */
    private void sendSignalSeries(Front front, long spanMs) {
        scheduler.execute(recordingFailure(() -> {
            Path file = front.program.configFile();
            Path hiddenFile = file.resolveSibling(file.getFileName() + ".away");
            Files.move(file, hiddenFile);
            try {
                long endsAt = System.nanoTime() + spanMs / 2 * NS_PER_MS;
                while (System.nanoTime() < endsAt && front.program.process.isAlive()) {
                    front.ifAlive(() -> front.program.sendSignals("HUP", SIGNALS_PER_SERIES));
                    Thread.sleep(SIGNAL_SERIES_INTERVAL_MS);
                }
            } finally {
                Files.move(hiddenFile, file, StandardCopyOption.REPLACE_EXISTING);
            }
            front.signal("-HUP");
        }));
    }

    /** Turns faults of system calls or a behaviour of faulty clients on or off. */
    private void setFrontOrClientFault(Entry entry, Front front, boolean on) {
        switch (entry.type()) {
            case ACCEPT_FAILS -> front.shim.set(Fault.ACCEPT_EVERY, on ? (long) entry.times() : 0);
            case CONNECT_FAILS -> {
                front.shim.set(Fault.CONNECT_EVERY, on ? (long) entry.times() : 0);
                front.shim.set(Fault.SOCKET_EVERY, on ? 2 * (long) entry.times() : 0);
            }
            case INTERRUPTS -> {
                front.shim.set(Fault.READ_EVERY, on ? 3 : 0);
                front.shim.set(Fault.WRITE_EVERY, on ? 3 : 0);
                front.shim.set(Fault.SHORT_BYTES, on ? MAX_TRANSFER_BYTES : 0);
            }
            case CLOCK_FORWARD -> front.shim.set(Fault.CLOCK_STEP_MS, on ? entry.byTicks() / 10 : 0);
            case CLOCK_BACK -> front.shim.set(Fault.CLOCK_STEP_MS, on ? -entry.byTicks() / 10 : 0);
            case NO_THREADS -> front.shim.set(Fault.THREADS_FROM, on ? 1 : 0);
            case START_FAILS -> front.failStarts = on;
            case GIVE_UP, SLOW_CLIENTS, BAD_CLIENTS, PIPELINE, IDLE_CROWD, COPIED_TRACES -> {
                clients.setBehaviour(entry.type(), on);
                if (on) {
                    frontsWithFaultyClients.add(front.index);
                }
            }
            default -> {
                // evaluated where the fault applies, or ends by itself
            }
        }
    }

    private void endEntry(Entry entry) throws Exception {
        if (entry.type().affectsLinks()) {
            applyLinkFault(entry, false);
            return;
        }
        if (entry.type().affectsEngines()) {
            setEngineFault(entry, false);
            return;
        }
        for (int frontIndex : affectedFronts.get(entry)) {
            Front front = fronts.get(frontIndex);
            switch (entry.type()) {
                case KILL, LEAVE -> {
                    if (entry.type() == EntryType.LEAVE) {
                        checker.recordShutdown(frontIndex, !front.program.process.isAlive());
                    }
                    checker.killed(frontIndex);
                    front.program.close();
                    front.start();
                    clients.setDraining(frontIndex, false);
                    if (entry.type() == EntryType.LEAVE) {
                        checker.startedAfterShutdown(frontIndex);
                    } else {
                        checker.frontRestarted(frontIndex);
                    }
                }
                case STOP -> {
                    front.signal("-CONT");
                    checker.resumed(frontIndex);
                }
                default -> setFrontOrClientFault(entry, front, false);
            }
        }
    }

    private void setEngineFault(Entry entry, boolean on) {
        int replaced = 0;
        for (int engineIndex : affectedEngines.get(entry)) {
            EngineSlot slot = engineSlots.get(engineIndex);
            switch (entry.type()) {
                case FAIL -> slot.engine.failing(on);
                case SLOW -> slot.engine.setSlowdown(on ? entry.times() : 1);
                case SILENT -> slot.engine.silent(on);
                case LIE -> slot.engine.reportingIdle(on);
                case STUCK -> slot.engine.frozenLoad(on);
                case MUTE -> slot.engine.reportingNothing(on);
                case HANG -> slot.engine.hanging(on);
                case FORGET -> slot.engine.closingIdle(on);
                case COPIES -> slot.engine.duplicating(on);
                case SPOIL -> slot.engine.malforming(on);
                case DRAIN -> {
                    // An engine that was replaced meanwhile keeps the health of its replacement.
                    if (on == slot.health.equals("ready")) {
                        slot.health = on ? "draining" : "ready";
                        announceHealth(slot.engine, slot.health);
                    }
                }
                default -> {
                    if (on) {
                        scheduler.schedule(recordingFailure(() -> replaceEngine(engineIndex)),
                                entry.spanTicks() / 10 * replaced++
                                / Math.max(1, affectedEngines.get(entry).size()), TimeUnit.MILLISECONDS);
                    }
                }
            }
        }
    }

    /** Drains the engine, ends it a second later with what it still runs, and starts a cold successor. */
    private void replaceEngine(int index) {
        EngineSlot slot = engineSlots.get(index);
        slot.health = "draining";
        announceHealth(slot.engine, "draining");
        scheduler.schedule(recordingFailure(() -> {
            slot.health = "gone";
            announceHealth(slot.engine, "gone");
            slot.engine.crash();
            startEngine(index, System.currentTimeMillis());
            scheduler.schedule(recordingFailure(() -> announceHealth(slot.engine, "ready")), 200,
                    TimeUnit.MILLISECONDS);
        }), 1_000, TimeUnit.MILLISECONDS);
    }

    /**
     * Announces the health in each front's journal, with a lag for some; events of an engine stay in order.
     */
    private void announceHealth(SimulatedEngine engine, String health) {
        long elapsedTicks = (System.nanoTime() - startedAt) / 100_000;
        for (Front front : fronts) {
            long lagMs = 0;
            for (Entry e : timetable.entries()) {
                lagMs += e.type() == EntryType.LATE_LIST
                        && elapsedTicks >= e.startTicks() && elapsedTicks < e.endTicks()
                        && affectedFronts.get(e).contains(front.index)
                        ? e.byTicks() * ((front.index * 7 + engine.index * 3) % 8) / 80 : 0;
            }
            scheduler.schedule(recordingFailure(() -> {
                front.journal.publish(false, front.listing(engine, health));
                checker.announced(front.index, engine.name, health);
            }), lagMs, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() throws IOException {
        stepScheduler.shutdownNow();
        scheduler.shutdownNow();
        for (Front front : fronts) {
            if (front.program != null) {
                front.program.close();
            }
            front.journal.close();
        }
        for (SimulatedEngine engine : startedEngines) {
            engine.close();
        }
        proxy.close();
    }
}
