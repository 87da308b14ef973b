package reedspring.rig.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import reedspring.Control;
import reedspring.api.Action;
import reedspring.api.Deployment;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.api.Load;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable.Entry;
import reedspring.rig.fleet.Timetable.What;

/**
 * Hundreds of fronts' decisions before plain engines, in virtual time, by a timetable: the rules are checked
 * at every action and after every step, and a breach names what broke, the timetable and the seed. Clients
 * that are deferred come again as told. Times are tenths of a millisecond.
 */
public final class VirtualFleet {
    private static final long MS = 10;
    private static final long SECOND = 1_000 * MS;
    private static final long STEP = 5 * MS;
    /** Lists come to each front by so much later than to the first. */
    private static final long LIST_SPREAD = 200 * MS;
    /** A front that says nothing is noticed by its clients' layer after so long. */
    private static final long LAYER_NOTICES = SECOND;
    private static final long ANSWER_GRACE = 50 * MS;
    private static final long BIN = 100 * MS;
    /** On the fronts' clock. */
    private static final long START = 1_000 * SECOND;

    private final Timetable table;
    private final long seed;
    private final Deployment rules;
    private final SplittableRandom chance;
    private final List<Front> fronts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final Map<Entry, Set<Integer>> hitFronts = new HashMap<>();
    private final Map<Entry, Set<Integer>> hitEngines = new HashMap<>();
    private final double[] offered;
    private final double[] served;
    private final double[] paging;
    private final int[] backs;
    private final Map<String, Integer> trouble = new LinkedHashMap<>();
    private long now;
    private long order;
    private int coldArrivals;

    private record Due(long at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** A client's try at one front: {@code first} is when it came for the first time. */
    private record Call(int group, double work, double needMb, long first, int tries) {
    }

    /** One submission, from its leaving until the front hears of its end. */
    private static final class Trip {
        private final Front front;
        private final int life;
        private final Id.Query query;
        private final int number;
        private final Engine engine;
        private final long since;
        private Machine.Run run;

        private Trip(Front front, Id.Query query, int number, Engine engine, long since) {
            this.front = front;
            this.life = front.life;
            this.query = query;
            this.number = number;
            this.engine = engine;
            this.since = since;
        }
    }

    /** One place in the fleet, and the process that has it now. */
    private final class Engine {
        private final int at;
        private Machine machine;
        private String id;
        private int births;
        private long startedAt;
        private Health health = Health.UP;
        private int threadsMost;
        private double threadsOverTime;
        private final List<long[]> coldWork = new ArrayList<>();

        private Engine(int at) {
            this.at = at;
            born(0);
        }

        private void born(long started) {
            id = "e" + at + "." + births++;
            startedAt = started;
            machine = new Machine(table.cores(at), table.memoryMb(), table.sessions(), started,
                    Terms.COLD_FROM,
                    started == 0 ? 0 : Terms.RAMP_MS * MS);
            health = Health.UP;
            coldWork.clear();
        }

        private Event.Listing listing() {
            return new Event.Listing(new Id.Engine(id), new Id.Kind(Terms.kind(table.cores(at))),
                    new Id.Zone(String.valueOf(table.site(at))), new Id.Cell(0), health, startedAt);
        }

        /** The rule on cold engines: more in the window than what it stands then, and some for chance. */
        private void coldTakes(double work, double usual) {
            if (startedAt <= 0 || now - startedAt >= Terms.RAMP_MS * MS) {
                return;
            }
            coldArrivals++;
            long window = Terms.COLD_WINDOW_MS * MS;
            coldWork.removeIf(w -> w[0] <= now - window);
            coldWork.add(new long[] {now, Math.round(work)});
            double stands = table.coldMultiple() * machine.capacity(now) * window / usual;
            double came = coldWork.stream().mapToLong(w -> w[1]).sum() / usual;
            require(came <= stands + 2 * Math.sqrt(stands) + 2, "cold engine " + id + " pushed over: " + came
                    + " usual queries in its window, " + stands + " allowed");
        }

        private void step() {
            List<Machine.Run> ended = machine.step(now, STEP);
            threadsMost = Math.max(threadsMost, machine.threads());
            threadsOverTime += machine.threads();
            for (Machine.Run run : ended) {
                Trip trip = (Trip) run.of;
                if (active(What.SILENT, at) == null) {
                    trip.front.comes(trip, Outcome.FINISHED, run.work);
                }
            }
            long every = rules.progressInterval();
            for (Machine.Run run : List.copyOf(machine.runs())) {
                if (now - run.since >= STEP && (now - run.since) % every < STEP && active(What.SILENT,
                        at) == null) {
                    ((Trip) run.of).front.noted((Trip) run.of, run.share());
                }
            }
        }
    }

    private final class Front {
        private final int at;
        private int life;
        private boolean alive;
        private long stoppedFrom;
        private long stoppedUntil;
        /** How long it stood still before it reads what it reads now. */
        private long lag;
        private long lost;
        private final List<Runnable> held = new ArrayList<>();
        private Map<Id.Query, Call> open = new HashMap<>();
        private Map<Id.Query, Integer> submissions = new HashMap<>();
        private Map<Id.Query, Trip> out = new HashMap<>();
        private Set<Id.Query> answered = new HashSet<>();
        /** Changes that reached an engine, and may not do so again. */
        private Set<Id.Query> ran = new HashSet<>();
        private Map<Id.Engine, Long> toldOff = new HashMap<>();
        private Map<Id.Engine, Long> lastHeard = new HashMap<>();
        private Control control;
        private long ids;

        private Front(int at) {
            this.at = at;
        }

        private void start() {
            life++;
            alive = true;
            open = new HashMap<>();
            submissions = new HashMap<>();
            out = new HashMap<>();
            answered = new HashSet<>();
            ran = new HashSet<>();
            toldOff = new HashMap<>();
            lastHeard = new HashMap<>();
            control = new Control(chance.nextLong(), rules, now, this::act);
            List<Event.Listing> listed = engines.stream().map(Engine::listing).toList();
            on(new Event.EnginesListed(Event.ListKind.COMPLETE, listed));
        }

        private void dies() {
            alive = false;
            control = null;
            held.clear();
            stoppedUntil = 0;
        }

        /** What comes while the process stands still waits in its sockets. */
        private void later(Runnable what) {
            int mine = life;
            Runnable mineOnly = () -> {
                if (alive && life == mine) {
                    what.run();
                }
            };
            if (now < stoppedUntil) {
                held.add(mineOnly);
            } else {
                mineOnly.run();
            }
        }

        private void goesOn() {
            List<Runnable> waiting = List.copyOf(held);
            held.clear();
            lag = now - stoppedFrom;
            waiting.forEach(Runnable::run);
            lag = 0;
        }

        private void on(Event event) {
            control.onEvent(now, event, this::act);
        }

        private void take(Call call) {
            Id.Query id = new Id.Query(++ids);
            open.put(id, call);
            on(new Event.Taken(id, new Id.Group(call.group), new Id.Tenant(0), new Id.DataSet(0),
                    Math.max(1, Math.round(call.work * Math.exp(0.4 * chance.nextGaussian()))),
                    call.needMb * Math.exp(0.3 * chance.nextGaussian()), leavesAt(call), null));
        }

        private void act(Action action) {
            if (action instanceof Action.Submit submit) {
                submit(submit);
            } else if (action instanceof Action.StartTimer wake) {
                int mine = life;
                at(now + wake.delay(), () -> {
                    if (life == mine) {
                        later(() -> on(new Event.Woken(wake.timer())));
                    }
                });
            } else if (action instanceof Action.Defer defer) {
                require(defer.retryAfter() <= rules.capabilities().maxRetryAfter(),
                        "a longer time than is heeded");
                require(!ran.contains(defer.query()), "a change that may have run was deferred");
                Call call = answer(defer.query());
                comesBack(call, now + Math.max(defer.retryAfter(), 5 * MS));
            } else if (action instanceof Action.Kill kill) {
                answer(kill.query());
                count("killed");
            }
        }

        private void comesBack(Call call, long back) {
            if (call.tries < Terms.SEND_CAP && back < leavesAt(call)) {
                backs[(int) Math.min(backs.length - 1, (back - START) / BIN)]++;
                at(back, () -> arrives(new Call(call.group, call.work, call.needMb, call.first, call.tries
                        + 1), this));
            }
        }

        private void submit(Action.Submit submit) {
            Call call = open.get(submit.query());
            int number = submissions.merge(submit.query(), 1, Integer::sum) - 1;
            require(call != null && !answered.contains(submit.query()), "a submission for what is over");
            require(!out.containsKey(submit.query()), "two submissions at once");
            require(number < rules.capabilities().maxSubmissions(), "a submission too many");
            Engine engine = engines.stream().filter(e -> submit.engine().address().equals(e.id)).findAny()
                    .orElse(null);
            long off = toldOff.getOrDefault(submit.engine(), Long.MAX_VALUE);
            require(off > now - Terms.DRAIN_MS * MS, "a submission to " + submit.engine().address()
                    + ", which was told to be off");
            Trip trip = new Trip(this, submit.query(), number, engine, now);
            out.put(submit.query(), trip);
            Entry cut = engine == null ? null : cut(at, engine.at);
            if (engine == null || engine.health == Health.GONE || cut != null && cut.what() == What.REFUSE) {
                at(now + MS, () -> comes(trip, Outcome.UNREACHABLE, 0));
            } else if (cut != null && cut.what() != What.CUT_BACK) {
                // An open connection takes it and says nothing; once that is known no new one comes up.
                if (now - lastHeard.getOrDefault(submit.engine(), 0L) > SECOND + Terms.CONNECT_MS * MS) {
                    at(now + Terms.CONNECT_MS * MS, () -> comes(trip, Outcome.UNREACHABLE, 0));
                } else {
                    at(cut.until(), () -> reaches(trip, call));
                }
            } else {
                Entry delay = link(What.DELAY, at, engine.at);
                at(now + MS / 2 + (delay == null ? 0 : delay.by()), () -> reaches(trip, call));
            }
        }

        private void reaches(Trip trip, Call call) {
            Engine engine = trip.engine;
            if (engine.health == Health.GONE) {
                comes(trip, Outcome.UNREACHABLE, 0);
                return;
            }
            boolean fails = active(What.FAIL, engine.at) != null;
            if (!fails) {
                engine.coldTakes(call.work, meanWork());
                trip.run = engine.machine.take(trip, call.work, call.needMb, Terms.THREADS[call.group], now);
                if (trip.run == null) {
                    comes(trip, Outcome.TURNED_AWAY, 0);
                    return;
                }
            }
            // A front that has died meanwhile answers for nothing any more.
            require(call.group != Terms.CHANGE || trip.life != life || ran.add(trip.query),
                    "a change run twice");
            if (fails) {
                comes(trip, Outcome.ERROR, 0);
            }
        }

        /** An end on its way back to the front. */
        private void comes(Trip trip, Outcome outcome, double work) {
            Entry cut = trip.engine == null ? null : cut(at, trip.engine.at);
            if (cut != null && cut.what() != What.CUT_THERE && cut.what() != What.REFUSE
                    && outcome != Outcome.UNREACHABLE) {
                at(cut.until(), () -> comes(trip, outcome, work));
                return;
            }
            Entry delay = trip.engine == null ? null : link(What.DELAY, at, trip.engine.at);
            if (delay != null && outcome != Outcome.UNREACHABLE) {
                at(now + delay.by(), () -> later(() -> ended(trip, outcome, work)));
            } else {
                later(() -> ended(trip, outcome, work));
            }
        }

        private void noted(Trip trip, double share) {
            Entry cut = cut(at, trip.engine.at);
            if (trip.life == life && (cut == null || cut.what() == What.CUT_THERE)) {
                later(() -> {
                    if (out.get(trip.query) == trip) {
                        lastHeard.put(new Id.Engine(trip.engine.id), now);
                        on(new Event.ShareDone(trip.query, new Id.Submission(trip.number), share, lag));
                    }
                });
            }
        }

        private void ended(Trip trip, Outcome outcome, double work) {
            if (trip.life != life || !out.remove(trip.query, trip)) {
                return;
            }
            Call call = open.get(trip.query);
            if (outcome == Outcome.FINISHED && answered.add(trip.query)) {
                boolean inTime = now - call.first <= Terms.target(call.group, call.work / MS);
                served[second(call.first)] += inTime ? Terms.VALUE[call.group] : 0;
                count(inTime ? "in time" : "late");
            }
            boolean well = outcome == Outcome.FINISHED || outcome == Outcome.ERROR;
            if (well) {
                lastHeard.put(new Id.Engine(trip.engine.id), now);
                if (active(What.MUTE, trip.engine.at) == null) {
                    on(new Event.LoadReported(new Id.Engine(trip.engine.id),
                            active(What.LIE, trip.engine.at) != null
                                    ? new Load(0, 0, Double.NaN, 0, 0) : trip.engine.machine.load()));
                }
            }
            on(new Event.Closed(trip.query, new Id.Submission(trip.number), outcome,
                    answered.contains(trip.query), now - trip.since, Math.min(lag, now - trip.since),
                    outcome == Outcome.FINISHED ? Math.round(work) : 0));
            forget(trip.query);
        }

        private Call answer(Id.Query id) {
            require(open.containsKey(id) && answered.add(id), "two final answers");
            Call call = open.get(id);
            forget(id);
            return call;
        }

        private void forget(Id.Query id) {
            if (answered.contains(id) && !out.containsKey(id)) {
                open.remove(id);
                submissions.remove(id);
                answered.remove(id);
                ran.remove(id);
            }
        }

        private void step() {
            if (!alive || now < stoppedUntil) {
                return;
            }
            for (Trip trip : List.copyOf(out.values())) {
                if (now >= leavesAt(open.get(trip.query))) {
                    ended(trip, Outcome.TIMED_OUT, 0);
                }
            }
            long slack = ANSWER_GRACE + Math.max(0, now - stoppedUntil < SECOND / 4 ? SECOND : 0);
            open.forEach((id, call) -> require(answered.contains(id) || now <= leavesAt(call) + slack,
                    "no final answer in time"));
        }

        private void told(Event.Listing listing) {
            later(() -> {
                if (listing.health() == Health.UP) {
                    toldOff.remove(listing.engine());
                } else {
                    toldOff.putIfAbsent(listing.engine(), now);
                }
                on(new Event.EnginesListed(Event.ListKind.CHANGES, List.of(listing)));
            });
        }

        /** All connections to an engine, or to all, are gone. */
        private void reset(int engine) {
            for (Trip trip : List.copyOf(out.values())) {
                if (trip.engine != null && trip.engine.at == engine) {
                    later(() -> ended(trip, Outcome.BROKEN, 0));
                }
            }
        }
    }

    public VirtualFleet(Timetable table, long seed) {
        this.table = table;
        this.seed = seed;
        this.rules = Terms.deployment(table);
        this.chance = new SplittableRandom(seed);
        this.now = START;
        int seconds = (int) ((table.length() + table.settle()) / SECOND) + 2;
        this.offered = new double[seconds];
        this.served = new double[seconds];
        this.paging = new double[seconds];
        this.backs = new int[(int) ((seconds + 10) * SECOND / BIN)];
        IntStream.range(0, table.engines()).forEach(k -> engines.add(new Engine(k)));
        IntStream.range(0, table.fronts()).forEach(k -> fronts.add(new Front(k)));
        fronts.forEach(Front::start);
    }

    /** How many submissions reached engines while they were cold. */
    public int coldArrivals() {
        return coldArrivals;
    }

    /** Plays the whole timetable, then lets what is open end. */
    public VirtualFleet play() {
        for (Entry entry : table.entries()) {
            hitFronts.put(entry, table.frontsOf(entry, seed));
            hitEngines.put(entry, table.enginesOf(entry, seed));
            at(START + entry.at(), () -> begins(entry));
            at(START + entry.until(), () -> ends(entry));
        }
        double[] parts = IntStream.range(0, table.fronts()).mapToDouble(table::part).toArray();
        long end = START + table.length() + table.settle();
        while (now < end) {
            now += STEP;
            if (now < START + table.length()) {
                double rate = table.perSecond() * times(What.BURST, -1) * STEP / SECOND;
                for (int k = (int) rate + (chance.nextDouble() < rate % 1 ? 1 : 0); k > 0; k--) {
                    asks(parts);
                }
            }
            while (!due.isEmpty() && due.peek().at <= now) {
                due.poll().what.run();
            }
            engines.forEach(Engine::step);
            fronts.forEach(Front::step);
            paging[second(now)] += engines.stream().filter(e -> e.machine.memoryUsed() > 1).count()
                    * (double) STEP / SECOND;
        }
        return this;
    }

    private void asks(double[] parts) {
        int group = table.mix().group(chance);
        double draw = chance.nextDouble();
        int at = 0;
        while (at < parts.length - 1 && (draw -= parts[at]) >= 0) {
            at++;
        }
        offered[second(now)] += Terms.VALUE[group];
        count("asked");
        arrives(new Call(group, MS * table.mix().workMs(group, chance), table.mix().needMb(group, chance),
                now, 1),
                fronts.get(at));
    }

    private void arrives(Call call, Front front) {
        Front to = front;
        // The layer before the fronts turns to another once it has noticed.
        for (int k = 0; k < fronts.size() && !to.alive; k++) {
            if (to.lost > now - LAYER_NOTICES) {
                count("met a dead front");
                return;
            }
            to = fronts.get(chance.nextInt(fronts.size()));
        }
        Front taker = to;
        if (taker.alive && leavesAt(call) > now) {
            taker.later(() -> taker.take(call));
        }
    }

    private void at(long time, Runnable what) {
        due.add(new Due(time, order++, what));
    }

    private Entry active(What what, int engine) {
        return table.entries().stream().filter(e -> e.what() == what && runs(e)
                && hitEngines.get(e).contains(engine)).findAny().orElse(null);
    }

    private boolean runs(Entry e) {
        return hitEngines.containsKey(e) && now >= START + e.at() && now < START + e.until();
    }

    private double times(What what, int engine) {
        return table.entries().stream().filter(e -> e.what() == what && runs(e)
                && (engine < 0 || hitEngines.get(e).contains(engine))).mapToDouble(Entry::times).max()
                        .orElse(1);
    }

    private Entry link(What what, int front, int engine) {
        return table.entries().stream().filter(e -> e.what() == what && e.link() == Timetable.Link.ENGINE
                && runs(e)
                && hitFronts.get(e).contains(front) && hitEngines.get(e).contains(engine)).findAny()
                        .orElse(null);
    }

    /**
     * What keeps the front from the engine now, or the engine from it; its times are of the fleet's clock.
     */
    private Entry cut(int front, int engine) {
        for (What what : List.of(What.REFUSE, What.CUT, What.CUT_THERE, What.CUT_BACK)) {
            Entry entry = link(what, front, engine);
            if (entry != null) {
                return new Entry(entry.title(), START + entry.at(), entry.span(), what, entry.link(), "all",
                        "all", 0,
                        1, 0);
            }
        }
        return null;
    }

    private void begins(Entry entry) {
        Set<Integer> ofFronts = hitFronts.get(entry);
        Set<Integer> ofEngines = hitEngines.get(entry);
        switch (entry.what()) {
            case KILL, LEAVE -> ofFronts.forEach(k -> {
                fronts.get(k).dies();
                fronts.get(k).lost = now;
            });
            case STOP -> ofFronts.forEach(k -> {
                fronts.get(k).stoppedFrom = now;
                fronts.get(k).stoppedUntil = START + entry.until();
            });
            case REFUSE, RESET, HALF_OPEN -> {
                if (entry.link() == Timetable.Link.ENGINE) {
                    ofFronts.forEach(f -> ofEngines.forEach(e -> fronts.get(f).reset(e)));
                }
            }
            case SLOW -> ofEngines.forEach(e -> engines.get(e).machine.slower(entry.times()));
            case REPLACE -> {
                int k = 0;
                for (int e : ofEngines) {
                    at(now + entry.span() * k++ / Math.max(1, ofEngines.size()), () -> replace(engines
                            .get(e)));
                }
            }
            default -> {
                // asked for when it matters
            }
        }
    }

    private void ends(Entry entry) {
        switch (entry.what()) {
            case KILL, LEAVE -> hitFronts.get(entry).forEach(k -> fronts.get(k).start());
            case STOP -> hitFronts.get(entry).forEach(k -> fronts.get(k).goesOn());
            case SLOW -> hitEngines.get(entry).forEach(e -> engines.get(e).machine.slower(1));
            default -> {
                // over by its time
            }
        }
    }

    private void replace(Engine engine) {
        engine.health = Health.DRAINING;
        tell(engine.listing());
        at(now + SECOND, () -> {
            engine.health = Health.GONE;
            tell(engine.listing());
            for (Machine.Run run : List.copyOf(engine.machine.runs())) {
                Trip trip = (Trip) run.of;
                trip.front.comes(trip, Outcome.BROKEN, 0);
            }
            engine.machine.dies();
            at(now + SECOND / 5, () -> {
                engine.born(now);
                tell(engine.listing());
            });
        });
    }

    private void tell(Event.Listing listing) {
        for (Front front : fronts) {
            long lag = chance.nextLong(LIST_SPREAD);
            for (Entry e : table.entries()) {
                lag += e.what() == What.LATE_LIST && runs(e) && hitFronts.get(e).contains(front.at)
                        ? chance.nextLong(Math.max(1, e.by())) : 0;
            }
            at(now + lag, () -> {
                if (front.alive) {
                    front.told(listing);
                }
            });
        }
    }

    private double meanWork() {
        return MS * table.mix().meanWorkMs();
    }

    private int second(long at) {
        return (int) ((at - START) / SECOND);
    }

    private long leavesAt(Call call) {
        return call.first + MS * Terms.leavesMs(table, call.group);
    }

    private void count(String what) {
        trouble.merge(what, 1, Integer::sum);
    }

    private void require(boolean holds, String what) {
        Rig.require(holds, what + " (" + table + ", seed " + seed + ", at " + (now - START) / MS + " ms)");
    }

    // ---- figures

    /** The share of the value of what first came in these seconds that was answered within its target. */
    public double served(int from, int to) {
        return IntStream.range(from, to).mapToDouble(k -> served[k]).sum()
                / IntStream.range(from, to).mapToDouble(k -> offered[k]).sum();
    }

    public double served() {
        return served(0, (int) (table.length() / SECOND));
    }

    /** Engines out of memory, on average over these seconds. */
    public double paging(int from, int to) {
        return IntStream.range(from, to).mapToDouble(k -> paging[k]).sum() / (to - from);
    }

    /** The busiest engine's threads a core over the mean of all, over the whole run. */
    public double unevenness() {
        double[] each = engines.stream().mapToDouble(e -> e.threadsOverTime / e.machine.cores()).toArray();
        return Arrays.stream(each).max().orElse(0) / Arrays.stream(each).average().orElse(1);
    }

    /** The idlest engine's threads a core over the mean of all, over the whole run. */
    public double idlest() {
        double[] each = engines.stream().mapToDouble(e -> e.threadsOverTime / e.machine.cores()).toArray();
        return Arrays.stream(each).min().orElse(0) / Arrays.stream(each).average().orElse(1);
    }

    /** Threads a core of all engines of that size over the mean of all. */
    public double ofSize(double cores) {
        double own = engines.stream().filter(e -> e.machine.cores() == cores).mapToDouble(e ->
                e.threadsOverTime).sum()
                / engines.stream().filter(e -> e.machine.cores() == cores).mapToDouble(e -> e.machine.cores())
                        .sum();
        return own * engines.stream().mapToDouble(e -> e.machine.cores()).sum()
                / engines.stream().mapToDouble(e -> e.threadsOverTime).sum();
    }

    /** The most threads a core that any engine ever had. */
    public double mostThreads() {
        return engines.stream().mapToDouble(e -> e.threadsMost / e.machine.cores()).max().orElse(0);
    }

    /** The most clients that came back within a tenth of a second. */
    public int mostBacks() {
        return Arrays.stream(backs).max().orElse(0);
    }

    public Map<String, Integer> counts() {
        return trouble;
    }
}
