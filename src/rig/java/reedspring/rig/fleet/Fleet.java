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
import reedspring.rig.fleet.Timetable.Link;
import reedspring.rig.fleet.Timetable.What;

/**
 * Started processes of the program before stand-in engines, clients and a journal for each, with every link
 * between them in the hands of a relay, played by a timetable. One run is its file and its seed.
 */
public final class Fleet implements Closeable {
    private static final long MS = 1_000_000;
    private static final long STEP = 5;
    private static final int STARTED_AT_ONCE = 8;
    private static final int MOST_FRONTS = 200;
    private static final int SIGNALS_IN_SERIES = 100;
    private static final long SERIES_EVERY_MS = 250;
    /** The operators'. */
    private static final long READY_WITHIN = 10_000 * MS;
    /** Less than a query's bytes, and more than a handful, or a front would have nothing else to do. */
    private static final int SHORT_BYTES = 200;
    /** Of loopback's addresses: doors to engines, to fronts, to journals, and the relay's own by front. */
    private static final int TO_ENGINES = 21 + 10 * Rig.LANE;
    private static final int TO_FRONTS = TO_ENGINES + 1;
    private static final int TO_JOURNALS = TO_ENGINES + 2;
    private static final int OWN = TO_ENGINES + 3;

    private final Timetable table;
    private final long seed;
    private final SplittableRandom chance;
    private final Relay relay;
    private final ScheduledExecutorService later = Executors.newScheduledThreadPool(8);
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
    private final List<Front> fronts = new ArrayList<>();
    private final List<Place> places = new ArrayList<>();
    private final List<EngineHost> hosts = new ArrayList<>();
    private final Map<Entry, Set<Integer>> hitFronts = new HashMap<>();
    private final Map<Entry, Set<Integer>> hitEngines = new HashMap<>();
    private final Rules rules;
    private Crowd crowd;
    private volatile long startedAt;
    private volatile Throwable failed;
    private int mostConnections;
    private final Path home;
    private final Set<Integer> misbehaves = ConcurrentHashMap.newKeySet();
    private long lastStep;
    private volatile long lateMs;

    /** One front, over its processes. */
    private final class Front {
        private final int at;
        private final String listen;
        private final JournalStandIn journal;
        private final Relay.Door clients;
        private final Relay.Door journals;
        /** Another address of the same journal, for configurations that move it. */
        private final Relay.Door otherJournals;
        private final Relay.Door[] engines = new Relay.Door[table.engines()];
        private final FaultShim shim;
        private volatile Program program;
        private volatile String config;
        private volatile long startedAt;
        private boolean moved;
        private volatile boolean startsFail;
        private final SplittableRandom startFaults;

        private Front(int at) throws IOException, InterruptedException {
            this.at = at;
            this.startFaults = new SplittableRandom(seed ^ at);
            this.shim = table.entries().stream().anyMatch(e -> e.what().ofShim()) ? new FaultShim() : null;
            this.listen = Program.freeAddress();
            this.journal = new JournalStandIn();
            InetAddress from = Relay.loopback(OWN, 0, at);
            int port = Integer.parseInt(listen.substring(listen.indexOf(':') + 1));
            clients = relay.door(TO_FRONTS, 0, at, from,
                    () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            String address = journal.address();
            InetSocketAddress service = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(address.substring(address.indexOf(':') + 1)));
            journals = relay.door(TO_JOURNALS, 0, at, from, () -> service);
            otherJournals = relay.door(TO_JOURNALS, 1, at, from, () -> service);
            for (int k = 0; k < table.engines(); k++) {
                Place place = places.get(k);
                engines[k] = relay.door(TO_ENGINES, at, k, from, () -> place.host.address());
            }
        }

        private String listing(EngineHost host, String health) {
            return JournalStandIn.host(host.name, engines[host.at].address(), String.valueOf(table
                    .site(host.at)),
                    Terms.kind(table.cores(host.at)), health, host.bornMs);
        }

        private void start() throws IOException {
            String[] known = places.stream().map(place -> listing(place.host, place.health))
                    .toArray(String[]::new);
            int position = journal.position();
            config = Terms.config(table, at, listen, journals.address(), position,
                    JournalStandIn.event(position, true, known));
            moved = false;
            if (shim != null) {
                // A JVM does not start without threads.
                shim.set(Fault.THREADS_FROM, 0);
            }
            if (startsFail) {
                shim.set(Fault.CONFIG_OPENS, 1 + startFaults.nextInt(5));
                shim.set(Fault.EPOLL_CREATES, startFaults.nextInt(3));
                shim.set(Fault.EVENTFDS, startFaults.nextInt(2));
                shim.set(Fault.EPOLL_ADD_AT, 1 + startFaults.nextInt(6));
            }
            program = shim == null ? new Program(config, home) : Program.withShim(config, shim, home);
            startedAt = System.nanoTime();
            clients.open();
        }

        /** Not to one that has ended by then, as it was told to. */
        private void signal(String name) throws IOException, InterruptedException {
            unlessEnded(() -> program.signal(name));
        }

        /** It may end between a look and the signal, too. */
        private void unlessEnded(Work signals) throws IOException, InterruptedException {
            try {
                if (program.process.isAlive()) {
                    signals.run();
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

        /** A new configuration: discovery is at its other address. */
        private void reload() throws IOException, InterruptedException {
            if (!program.process.isAlive()) {
                // It has been told to end, and is started again with the first address.
                return;
            }
            moved = !moved;
            String next = moved ? config.replace("\"" + journals.address() + "\"", "\""
                    + otherJournals.address()
                    + "\"") : config;
            unlessEnded(() -> program.reload(next));
        }

        private Relay.Door door(Link link, int engine) {
            return link == Link.CLIENT ? clients : link == Link.JOURNAL ? journals : engines[engine];
        }
    }

    /** Where one engine after another stands. */
    private static final class Place {
        private volatile EngineHost host;
        private volatile String health = "ready";
        private int births;
    }

    private Fleet(Timetable table, long seed, Path home, Rules.Slack slack) throws IOException,
            InterruptedException {
        this.table = table;
        this.seed = seed;
        this.home = home;
        this.chance = new SplittableRandom(seed);
        this.relay = new Relay(seed);
        this.rules = new Rules(table, seed, slack);
        for (int k = 0; k < table.engines(); k++) {
            Place place = new Place();
            places.add(place);
            born(k, 0);
        }
        for (int k = 0; k < table.fronts(); k++) {
            fronts.add(new Front(k));
        }
    }

    /** Plays the timetable once; throws what broke, with file, seed and moment. */
    public static Tally play(Path file, long seed) throws Exception {
        Timetable table = Timetable.read(file);
        Rig.require(table.fronts() <= MOST_FRONTS
                && table.entries().stream().noneMatch(e -> e.what().ofScale()),
                file + " is for bench/scale");
        return play(table, seed, Path.of("."), Rules.Slack.LOADED_MACHINE);
    }

    /** The same with the build that stands in {@code home}, and with other limits of the checks. */
    static Tally play(Timetable table, long seed, Path home, Rules.Slack slack) throws Exception {
        try (Fleet fleet = new Fleet(table, seed, home, slack)) {
            return fleet.run();
        }
    }

    private void born(int k, long bornMs) throws IOException {
        Place place = places.get(k);
        EngineHost host = new EngineHost(table, k, "e" + k + "-" + place.births++, bornMs);
        place.health = "ready";
        place.host = host;
        synchronized (hosts) {
            hosts.add(host);
        }
    }

    private Tally run() throws Exception {
        for (int from = 0; from < fronts.size(); from += STARTED_AT_ONCE) {
            List<Front> together = fronts.subList(from, Math.min(fronts.size(), from + STARTED_AT_ONCE));
            for (Front front : together) {
                front.journal.tell(true, places.stream().map(p -> front.listing(p.host, "ready"))
                        .toArray(String[]::new));
                front.start();
            }
            for (Front front : together) {
                front.program.ready();
            }
        }
        crowd = new Crowd(table, chance.nextLong(), fronts.stream().map(f -> f.clients.address())
                .toArray(String[]::new), later);
        crowd.greet();
        relay.watchLateness();
        startedAt = System.nanoTime();
        rules.starts(startedAt);
        clock.scheduleAtFixedRate(guarded(this::step), STEP, STEP, TimeUnit.MILLISECONDS);
        later.scheduleAtFixedRate(guarded(() -> fronts.forEach(f -> f.journal.comment())), 0, 500,
                TimeUnit.MILLISECONDS);
        later.scheduleAtFixedRate(guarded(() -> misbehaves.forEach(crowd::misbehave)), 100, 100,
                TimeUnit.MILLISECONDS);
        for (Entry entry : table.entries()) {
            hitFronts.put(entry, table.frontsOf(entry, seed));
            hitEngines.put(entry, table.enginesOf(entry, seed));
            later.schedule(guarded(() -> begins(entry)), entry.at() / 10, TimeUnit.MILLISECONDS);
            later.schedule(guarded(() -> ends(entry)), entry.until() / 10, TimeUnit.MILLISECONDS);
        }
        asks();
        Thread.sleep((table.length() + table.settle()) / 10);
        clock.shutdownNow();
        clock.awaitTermination(5, TimeUnit.SECONDS);
        later.shutdownNow();
        if (failed != null) {
            throw new AssertionError("the rig failed (" + table + ", seed " + seed + ")", failed);
        }
        for (Front front : fronts) {
            Rig.require(front.program.process.isAlive() || rules.down(front.at, System.nanoTime()),
                    "front " + front.at + " ended by itself (" + table + ", seed " + seed + "): "
                            + front.program.log);
            Rig.require(front.program.logged("serves on") || rules.down(front.at, System.nanoTime())
                    || System.nanoTime() - front.startedAt < READY_WITHIN,
                    "front " + front.at + " did not start (" + table + ", seed " + seed + "): "
                            + front.program.log);
            for (String defect : List.of("a decision failed", "an action failed", "a timer failed",
                    "closed, fault", "rule would be broken")) {
                Rig.require(!front.program.logged(defect), defect + " in front " + front.at + " (" + table
                        + ", seed "
                        + seed + "): " + front.program.log);
            }
        }
        List<EngineHost> all = List.copyOf(hosts);
        List<EngineHost.Attempt> attempts = all.stream().flatMap(h -> h.attempts().stream()).toList();
        rules.rigWasLate(Math.max(lateMs, relay.lateMs()));
        Tally tally = rules.check(crowd.tries(), attempts, all);
        double[] threads = IntStream.range(0, table.engines()).mapToDouble(k -> all.stream().filter(h ->
                h.at == k)
                .mapToDouble(EngineHost::threadTime).sum()).toArray();
        double mean = Arrays.stream(threads).average().orElse(1);
        return tally.with(Arrays.stream(threads).max().orElse(0) / mean, Arrays.stream(threads).min()
                .orElse(0) / mean,
                mostConnections, callsTogether());
    }

    /** The most calls that came to the journals within a tenth of a second. */
    private int callsTogether() {
        long[] calls = fronts.stream().flatMap(f -> f.journal.calledAt.stream()).mapToLong(Long::longValue)
                .filter(at -> at > startedAt).sorted().toArray();
        int most = 0;
        for (int from = 0, to = 0; to < calls.length; to++) {
            while (calls[to] - calls[from] > 100 * MS) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }

    private Runnable guarded(Work work) {
        return () -> {
            try {
                work.run();
            } catch (Throwable e) {
                failed = failed == null ? e : failed;
            }
        };
    }

    private interface Work {
        void run() throws Exception;
    }

    private void step() {
        long now = System.nanoTime();
        // A pause of this process itself delays all that engines and clients do, and what they see.
        lateMs = lastStep == 0 ? 0 : Math.max(lateMs, (now - lastStep) / MS - STEP);
        lastStep = now;
        places.forEach(place -> place.host.step(STEP * 10));
        mostConnections = Math.max(mostConnections, IntStream.range(0, table.engines()).map(k -> fronts
                .stream()
                .mapToInt(f -> f.engines[k].connections()).sum()).max().orElse(0));
    }

    /** The moments of all queries, drawn ahead. */
    private void asks() {
        long at = 0;
        while (at < table.length()) {
            long now = at;
            double rate = table.perSecond() * table.entries().stream().filter(e -> e.what() == What.BURST
                    && now >= e.at() && now < e.until()).mapToDouble(Entry::times).max().orElse(1);
            at += Math.max(1, Math.round(-Math.log(1 - chance.nextDouble()) * 10_000 / rate));
            later.schedule(guarded(() -> crowd.ask()), at * 100, TimeUnit.MICROSECONDS);
        }
    }

    private Relay.Manner manner(int front, Link link, int engine) {
        Relay.Manner manner = Relay.Manner.PLAIN;
        long now = (System.nanoTime() - startedAt) / 100_000;
        for (Entry e : table.entries()) {
            if (e.what().ofLinks() && e.link() == link && hitFronts.containsKey(e) && now >= e.at() - 5
                    && now < e.until() - 5 && hitFronts.get(e).contains(front)
                    && (link != Link.ENGINE || hitEngines.get(e).contains(engine))) {
                manner = new Relay.Manner(manner.cutThere() || e.what() == What.CUT || e
                        .what() == What.CUT_THERE,
                        manner.cutBack() || e.what() == What.CUT || e.what() == What.CUT_BACK,
                        manner.delayMs() + (e.what() == What.DELAY ? e.by() / 10 : 0),
                        e.what() == What.THROTTLE ? e.rate() : manner.rate());
            }
        }
        return manner;
    }

    private void links(Entry entry, boolean begins) {
        for (int f : hitFronts.get(entry)) {
            Set<Integer> far = entry.link() == Link.ENGINE ? hitEngines.get(entry) : Set.of(0);
            for (int e : far) {
                Relay.Door door = fronts.get(f).door(entry.link(), e);
                switch (entry.what()) {
                    case REFUSE -> {
                        if (begins) {
                            door.refuse();
                            door.reset(false);
                        } else {
                            door.open();
                        }
                    }
                    case RESET, HALF_OPEN -> {
                        if (begins) {
                            door.reset(entry.what() == What.HALF_OPEN);
                        }
                    }
                    default -> door.manner(manner(f, entry.link(), e));
                }
            }
        }
    }

    private void begins(Entry entry) throws Exception {
        rules.begins(entry, hitFronts.get(entry), hitEngines.get(entry));
        if (entry.what().ofLinks()) {
            links(entry, true);
            return;
        }
        if (entry.what().ofEngines()) {
            engines(entry, true);
            return;
        }
        for (int f : hitFronts.get(entry)) {
            Front front = fronts.get(f);
            switch (entry.what()) {
                case KILL -> {
                    rules.kills(f);
                    front.clients.refuse();
                    front.program.close();
                    front.clients.reset(false);
                }
                case LEAVE -> {
                    front.signal("-TERM");
                    later.schedule(guarded(() -> {
                        // New connections are gone elsewhere by now; open ones are used until they end.
                        crowd.leaves(f, true);
                        front.clients.refuse();
                    }), 300, TimeUnit.MILLISECONDS);
                }
                case STOP -> {
                    rules.stops(f);
                    front.signal("-STOP");
                }
                case SIGNALS -> inSeries(front, entry.span() / 10);
                case RELOAD -> {
                    for (int k = 0; k < entry.times(); k++) {
                        later.schedule(guarded(front::reload), (long) (entry.span() / 10 * k / entry.times()),
                                TimeUnit.MILLISECONDS);
                    }
                }
                default -> bends(entry, front, true);
            }
        }
    }

    /** Signals in series, while the file that they are about is away, and one once it is back. */
    private void inSeries(Front front, long spanMs) {
        later.execute(guarded(() -> {
            Path file = front.program.file();
            Path away = file.resolveSibling(file.getFileName() + ".away");
            Files.move(file, away);
            try {
                long until = System.nanoTime() + spanMs / 2 * MS;
                while (System.nanoTime() < until && front.program.process.isAlive()) {
                    front.unlessEnded(() -> front.program.signals("HUP", SIGNALS_IN_SERIES));
                    Thread.sleep(SERIES_EVERY_MS);
                }
            } finally {
                Files.move(away, file, StandardCopyOption.REPLACE_EXISTING);
            }
            front.signal("-HUP");
        }));
    }

    /** Faults of system calls, and clients that misbehave. */
    private void bends(Entry entry, Front front, boolean on) {
        switch (entry.what()) {
            case ACCEPT_FAILS -> front.shim.set(Fault.ACCEPT_EVERY, on ? (long) entry.times() : 0);
            case CONNECT_FAILS -> {
                front.shim.set(Fault.CONNECT_EVERY, on ? (long) entry.times() : 0);
                front.shim.set(Fault.SOCKET_EVERY, on ? 2 * (long) entry.times() : 0);
            }
            case INTERRUPTS -> {
                front.shim.set(Fault.READ_EVERY, on ? 3 : 0);
                front.shim.set(Fault.WRITE_EVERY, on ? 3 : 0);
                front.shim.set(Fault.SHORT_BYTES, on ? SHORT_BYTES : 0);
            }
            case CLOCK_FORWARD -> front.shim.set(Fault.CLOCK_STEP_MS, on ? entry.by() / 10 : 0);
            case CLOCK_BACK -> front.shim.set(Fault.CLOCK_STEP_MS, on ? -entry.by() / 10 : 0);
            case NO_THREADS -> front.shim.set(Fault.THREADS_FROM, on ? 1 : 0);
            case START_FAILS -> front.startsFail = on;
            case GIVE_UP, SLOW_CLIENTS, BAD_CLIENTS, PIPELINE, IDLE_CROWD, COPIED_TRACES -> {
                crowd.manner(entry.what(), on);
                if (on) {
                    misbehaves.add(front.at);
                }
            }
            default -> {
                // asked for when it matters, or over by its time
            }
        }
    }

    private void ends(Entry entry) throws Exception {
        if (entry.what().ofLinks()) {
            links(entry, false);
            return;
        }
        if (entry.what().ofEngines()) {
            engines(entry, false);
            return;
        }
        for (int f : hitFronts.get(entry)) {
            Front front = fronts.get(f);
            switch (entry.what()) {
                case KILL, LEAVE -> {
                    if (entry.what() == What.LEAVE) {
                        rules.left(f, !front.program.process.isAlive());
                    }
                    rules.kills(f);
                    front.program.close();
                    front.start();
                    crowd.leaves(f, false);
                    if (entry.what() == What.LEAVE) {
                        rules.startsAfterItsEnd(f);
                    } else {
                        rules.starts(f);
                    }
                }
                case STOP -> {
                    front.signal("-CONT");
                    rules.goesOn(f);
                }
                default -> bends(entry, front, false);
            }
        }
    }

    private void engines(Entry entry, boolean on) {
        int k = 0;
        for (int e : hitEngines.get(entry)) {
            Place place = places.get(e);
            switch (entry.what()) {
                case FAIL -> place.host.fails(on);
                case SLOW -> place.host.slower(on ? entry.times() : 1);
                case SILENT -> place.host.silent(on);
                case LIE -> place.host.lies(on);
                case STUCK -> place.host.stuck(on);
                case MUTE -> place.host.mute(on);
                case HANG -> place.host.hangs(on);
                case FORGET -> place.host.forgets(on);
                case COPIES -> place.host.copies(on);
                case SPOIL -> place.host.spoils(on);
                case DRAIN -> {
                    // One that was replaced meanwhile is another's.
                    if (on == place.health.equals("ready")) {
                        place.health = on ? "draining" : "ready";
                        tell(place.host, place.health);
                    }
                }
                default -> {
                    if (on) {
                        later.schedule(guarded(() -> replace(e)), entry.span() / 10 * k++
                                / Math.max(1, hitEngines.get(entry).size()), TimeUnit.MILLISECONDS);
                    }
                }
            }
        }
    }

    /** Drains, goes a second later with what it still holds, and a new one comes to its place, cold. */
    private void replace(int k) {
        Place place = places.get(k);
        place.health = "draining";
        tell(place.host, "draining");
        later.schedule(guarded(() -> {
            place.health = "gone";
            tell(place.host, "gone");
            place.host.dies();
            born(k, System.currentTimeMillis());
            later.schedule(guarded(() -> tell(place.host, "ready")), 200, TimeUnit.MILLISECONDS);
        }), 1_000, TimeUnit.MILLISECONDS);
    }

    /** To each front in its own journal, later to some; the order of one engine's news is kept. */
    private void tell(EngineHost host, String health) {
        long now = (System.nanoTime() - startedAt) / 100_000;
        for (Front front : fronts) {
            long lag = 0;
            for (Entry e : table.entries()) {
                lag += e.what() == What.LATE_LIST && now >= e.at() && now < e.until()
                        && hitFronts.get(e).contains(front.at) ? e.by() * ((front.at * 7 + host.at * 3) % 8)
                                / 80 : 0;
            }
            later.schedule(guarded(() -> {
                front.journal.tell(false, front.listing(host, health));
                rules.told(front.at, host.name, health);
            }), lag, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() throws IOException {
        clock.shutdownNow();
        later.shutdownNow();
        for (Front front : fronts) {
            if (front.program != null) {
                front.program.close();
            }
            front.journal.close();
        }
        for (EngineHost host : hosts) {
            host.close();
        }
        relay.close();
    }
}
