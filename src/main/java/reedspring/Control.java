package reedspring;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PrimitiveIterator;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import reedspring.api.Action;
import reedspring.api.Deployment;
import reedspring.api.Deployment.Effect;
import reedspring.api.Event;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.core.policy.RepeatPolicy;
import reedspring.spread.Spread;

/**
 * All decisions of one front. Make one at the front's start, then hand each event to {@link #on} with the
 * clock of its arrival; what has to be done comes out of the consumer, in order, before the call returns. The
 * interface is the package {@code reedspring.api}: {@link Event} in, {@link Action} out, {@link Deployment}
 * once. Not for use by several threads. Times are whole tenths of a millisecond. Reasons: docs/design.md.
 *
 * <p>The parts are the desk (queue, gate and final answers), an actor for each engine and a purse for each
 * tenant. They talk by notes in inboxes only; an engine's row in the arrays is written by its actor alone.
 */
public final class Control {
    private static final long MS = 10;
    private static final long SECOND = 1000 * MS;

    // The ordinary path, as the design page words it.
    private static final long USAGE_WINDOW = 20 * SECOND;
    private static final int USAGE_SLOTS = 20;
    private static final int REFRESHES = 2;
    private static final int RESCORE_AT_MOST = 64;
    private static final double THREADS_PER_CORE = 2;

    private static final double MOST_OF_ONE_GROUP = 0.75;
    // The bound's moves. Under half of its start the cores of an engine would idle whatever the mix.
    private static final double CALM = 0.6;
    private static final double LEAST_BOUND = 0.6;
    private static final double USUAL_STRETCH = 1.1;
    private static final double ONE_STEP = 0.7;
    private static final long FIRST_ANSWERS = 3 * SECOND;
    private static final long ARRIVALS_WINDOW = 5 * SECOND;
    private static final double BUSY_SHARE = 0.6;
    // A share of one or two long queries, never passed, leaves engines idle while queries wait: what stood
    // unused of it, up to a long query, may be used later. The sum of all fronts is the same on average, but
    // a burst lets all of them use theirs at once, and what of memory is then too much is not soon over.
    private static final double UNUSED_KEPT = 1;
    private static final double UNUSED_MEMORY_KEPT = 0.5;
    private static final double MEMORY_PART = 0.8;
    private static final double SCATTER = 2;
    private static final double MOST_OF_ONE_QUERY = 0.5;

    // Health. At most half of the fleet may be barred: past that the trouble is not the engines'.
    private static final double MOST_BARRED = 0.5;
    private static final double FAULTY = 0.55;
    private static final Set<Outcome> BAD =
            Set.of(Outcome.ERROR, Outcome.BROKEN, Outcome.UNREACHABLE, Outcome.TURNED_AWAY);
    private static final long FIRST_BAR = SECOND / 2;
    private static final long LONGEST_BAR = 4 * SECOND;
    private static final long SILENCE = SECOND;
    private static final long GRACE = 300 * MS;
    // A trial of an engine that crawls stays on it.
    private static final long FIRST_CRAWL = 5 * SECOND;
    private static final long LONGEST_CRAWL = 20 * SECOND;
    // Where a front takes few queries and many engines are barred, trials would take them all.
    private static final int QUERIES_A_TRIAL = 8;
    private static final double SLOWER = 1.4;
    private static final long LONGEST_GHOST = 10 * SECOND;

    private static final double COMES_LAST = 1e6;

    private static final long PULSE = 25 * MS;
    private static final long LAST_CALL = 60 * MS;
    // From a submission's departure until its engine has it, at the most.
    private static final long ARRIVAL = 20 * MS;
    private static final Id.Timer PULSE_TIMER = new Id.Timer(1);

    private final Deployment house;
    private final Spread spread;
    private final ArrayDeque<Part> turns = new ArrayDeque<>();
    private final Desk desk;
    private final List<Engine> fleet = new ArrayList<>();
    private final Map<Id.Engine, Engine> byId = new HashMap<>();
    // Rows whose engines have gone. Something may still refer to them.
    private final BitSet goneRows = new BitSet();
    private final Purse[] purses;
    private Consumer<Action> out;
    private final long bornAt;
    private double usualPace;
    private double usualFaults;
    private long now;

    // One row for each engine ever listed, under its dense index.
    private double[] cores = new double[8];
    private double[] memoryMb = new double[8];
    private int[] ownThreads = new int[8];
    private double[] ownMemory = new double[8];
    private int[] ownQueries = new int[8];
    private boolean[] up = new boolean[8];
    private long[] startedAt = new long[8];
    private double[] pace = new double[8];
    private double[] faults = new double[8];
    private boolean[] barred = new boolean[8];

    public Control(long seed, Deployment house, long now, Consumer<Action> out) {
        this.house = house;
        this.spread = new Spread(seed, house, now);
        this.desk = new Desk();
        this.purses = new Purse[house.tenants().size() + 1];
        Arrays.setAll(purses, Purse::new);
        this.now = now;
        this.bornAt = now;
        this.out = out;
        if (house.discovery().mustAsk()) {
            out.accept(new Action.FollowEngines());
        }
        out.accept(new Action.WakeMe(PULSE_TIMER, spread.first(PULSE)));
    }

    /** Takes one event at its time and emits what follows from it. */
    public void on(long time, Event event, Consumer<Action> actions) {
        now = Math.max(now, time);
        out = actions;
        if (event instanceof Event.EnginesListed list) {
            listed(list);
        } else if (event instanceof Event.Closed closed) {
            Query q = desk.queries.get(closed.query());
            if (q != null && q.outAt >= 0 && q.submissions - 1 == closed.submission().value()) {
                post(fleet.get(q.outAt), engine -> engine.ended(q, closed));
            }
        } else if (event instanceof Event.ShareDone share) {
            Query q = desk.queries.get(share.query());
            if (q != null && q.outAt >= 0 && q.submissions - 1 == share.submission().value()) {
                post(fleet.get(q.outAt), engine -> engine.progress(q, share));
            }
        } else if (event instanceof Event.LoadReported report) {
            Engine engine = byId.get(report.engine());
            if (engine != null) {
                post(engine, part -> spread.heard(part.at, report.load(), now));
            }
        } else {
            post(desk, part -> part.word(event));
        }
        for (Part part = turns.poll(); part != null; part = turns.poll()) {
            part.inbox.poll().run();
        }
    }

    // ---- notes and parts

    private abstract static class Part {
        final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    }

    private <P extends Part> void post(P to, Consumer<P> note) {
        to.inbox.add(() -> note.accept(to));
        turns.add(to);
    }

    /** A query from its arrival until it is answered and nothing of it is out. */
    private static final class Query {
        private Id.Query id;
        private int group;
        private int tenant;
        private Id.OrderKey key;
        private Id.DataSet dataSet;
        private long order;
        private long leavesAt;
        private long target;
        private boolean told;
        private double work;
        private double needMb;
        private int threads;
        private int submissions;
        private int outAt = -1;
        private int sentTo = -1;
        private long sentAt;
        private int avoid = -1;
        private boolean answered;
        private boolean streaming;
        private boolean cancelled;
        private long notedAt;
        private long notedUnseen;
        private double share;
        private long overdueAt = Long.MAX_VALUE;
        private int ranAt = -1;
        private long ranSince;
        private boolean unclear;
        private boolean lost;
        private boolean crowdedOut;
        private boolean late;
    }

    // ---- engines

    private void listed(Event.EnginesListed list) {
        if (list.reading() != Event.Reading.CHANGES) {
            Set<Id.Engine> named = list.entries().stream().map(Event.Listing::engine)
                    .collect(Collectors.toSet());
            fleet.stream().filter(engine -> !engine.gone && !named.contains(engine.id))
                    .forEach(engine -> post(engine, part -> part.listed(new Event.Listing(part.id, part.kind,
                            part.zone, part.cell, Event.Health.GONE, 0))));
        }
        PrimitiveIterator.OfInt free = null;
        for (Event.Listing listing : list.entries()) {
            Engine engine = byId.get(listing.engine());
            if (engine == null && listing.health() != Event.Health.GONE) {
                // No other row becomes free before the notes to the engines are read.
                free = free == null ? freeRows(list.entries()) : free;
                engine = new Engine(listing, free.hasNext() ? free.nextInt() : fleet.size());
                if (engine.at < fleet.size()) {
                    byId.remove(fleet.set(engine.at, engine).id);
                } else {
                    fleet.add(engine);
                }
                byId.put(engine.id, engine);
            }
            if (engine != null) {
                post(engine, part -> part.listed(listing));
            }
        }
        post(desk, Desk::release);
    }

    /** Rows to which nothing refers any more, in order: engines come and go while the front lives. */
    private PrimitiveIterator.OfInt freeRows(List<Event.Listing> named) {
        BitSet free = new BitSet();
        goneRows.stream().filter(k -> ownQueries[k] == 0 && fleet.get(k).ghosts.isEmpty()).forEach(free::set);
        if (!free.isEmpty()) {
            desk.queries.values().forEach(q ->
                    IntStream.of(q.avoid, q.ranAt).filter(k -> k >= 0).forEach(free::clear));
            // One that comes back by this list keeps its row: it would be lost to a new one.
            named.stream().filter(row -> row.health() != Event.Health.GONE && byId.containsKey(row.engine()))
                    .forEach(row -> free.clear(byId.get(row.engine()).at));
        }
        return free.stream().iterator();
    }

    /** How many rows, queries and keys are held, for those who watch that none is kept for good. */
    int held() {
        return fleet.size() + desk.queries.size() + desk.lanes.size();
    }

    /** A timed-out submission that an engine which heeds no cancel is still at work on. */
    private record Ghost(long until, int threads, double needMb) { }

    /** One engine: takes submissions to it and keeps its row. */
    private final class Engine extends Part {
        private final int at;
        private final Id.Engine id;
        private Id.Kind kind;
        private Id.Zone zone;
        private Id.Cell cell;
        private boolean gone;
        private long bar = FIRST_BAR;
        private long longestBar = LONGEST_BAR;
        private long barredUntil;
        private long heardAt;
        // When a run here last ended in about its time.
        private long wellAt = Long.MIN_VALUE;
        private final List<Ghost> ghosts = new ArrayList<>();

        Engine(Event.Listing listing, int at) {
            this.at = at;
            this.id = listing.engine();
            if (at == cores.length) {
                grow(at * 2);
            }
            pace[at] = Double.NaN;
            startedAt[at] = 0;
            faults[at] = 0;
            barred[at] = false;
        }

        private void progress(Query q, Event.ShareDone note) {
            heardAt = now;
            post(desk, part -> part.progress(q, note));
        }

        private void listed(Event.Listing listing) {
            kind = listing.kind();
            zone = listing.zone();
            cell = listing.cell();
            up[at] = listing.health() == Event.Health.UP;
            gone = listing.health() == Event.Health.GONE;
            goneRows.set(at, gone);
            Deployment.Machine machine = house.machines().get(kind);
            // An engine of unknown size counts as the mean of the known kinds, or as one query's threads.
            cores[at] = machine != null && machine.cores() > 0 ? machine.cores()
                    : house.machines().values().stream().mapToDouble(Deployment.Machine::cores)
                            .filter(c -> c > 0).average().orElse(desk.mostThreads);
            memoryMb[at] = machine == null ? 0 : machine.memoryMb();
            spread.listed(at, id, cores[at], up[at]);
            if (listing.startedAt() != startedAt[at] && up[at]) {
                // A new process: what was held against the old one says nothing of it.
                startedAt[at] = listing.startedAt();
                pace[at] = Double.NaN;
                faults[at] = 0;
                barred[at] = false;
                bar = FIRST_BAR;
                longestBar = LONGEST_BAR;
                spread.renewed(at, now);
            }
        }

        private void carry(Query q) {
            if (ownQueries[at] == 0) {
                heardAt = now;
            }
            ownThreads[at] += q.threads;
            ownMemory[at] += q.needMb;
            ownQueries[at]++;
            spread.sent(at, desk.usualWork[q.group] / desk.lightest());
            if (house.allowed().priorities()
                    && q.work / q.threads < house.groups().get(q.group).targetBase() / 2.0) {
                out.accept(new Action.SetPriority(q.id, 2));
            }
            out.accept(new Action.Submit(q.id, id, 0, desk.departBy(q)));
        }

        private void ended(Query q, Event.Closed closed) {
            heardAt = now;
            Outcome outcome = closed.outcome();
            ownQueries[at]--;
            spread.ended(at, closed.took());
            if (outcome == Outcome.TIMED_OUT && !house.allowed().cancel() && !q.lost) {
                double whole = q.work / q.threads * Math.exp(Double.isNaN(pace[at]) ? 0 : pace[at]);
                long rest = (long) Math.min(LONGEST_GHOST, Math.max(whole - closed.took(), closed.took()));
                ghosts.add(new Ghost(now + rest, q.threads, q.needMb));
            } else if (!q.lost) {
                free(q);
            }
            boolean bad = BAD.contains(outcome);
            if (outcome == Outcome.FINISHED) {
                faults[at] *= barred[at] ? 0.5 : 0.75;
                wellAt = closed.took() - closed.unseen() <= 2 * desk.expected(q) + GRACE ? now : wellAt;
                pace(closed, q, closed.work() > 0 ? closed.work() : q.work);
            } else if (bad) {
                faults[at] = Math.max(faults[at] + 0.25 * (1 - faults[at]),
                        outcome == Outcome.UNREACHABLE ? FAULTY : 0);
            } else if (outcome == Outcome.TIMED_OUT
                    && (closed.took() - closed.unseen()) * q.threads > q.work) {
                pace(closed, q, q.work);
            }
            boolean fails = faults[at] >= FAULTY && faults[at] > 2 * median(faults);
            if (!barred[at] && fails) {
                bar("fails");
            } else if (barred[at] && outcome == Outcome.FINISHED && !fails) {
                barred[at] = false;
                bar = FIRST_BAR;
                longestBar = LONGEST_BAR;
                out.accept(new Action.Remark("engine " + id.address() + " is back"));
            } else if (barred[at]) {
                bar = bad || outcome == Outcome.TIMED_OUT ? Math.min(longestBar, bar * 2) : bar;
                barredUntil = now + spread.rest(at, bar, desk.lightest());
            }
            post(desk, part -> part.back(q, closed));
        }

        private void free(Query q) {
            ownThreads[at] -= q.threads;
            // Sums of fractions leave a rest, and on a free engine any query fits.
            ownMemory[at] = ownThreads[at] <= 0 ? 0 : ownMemory[at] - q.needMb;
        }

        private void pace(Event.Closed closed, Query q, double work) {
            if (work > 0 && closed.took() > 0) {
                double held = Double.isNaN(pace[at]) ? usualPace : pace[at];
                double seen = Math.max(-1.5, Math.min(3, logOf(held, (closed.took() - closed.unseen())
                        * q.threads, closed.took() * q.threads, work)));
                pace[at] = Double.isNaN(pace[at]) ? Math.min(seen, 0.7) : pace[at] + 0.15 * (seen - pace[at]);
            }
        }

        /** An engine that holds overdue queries and says nothing takes no more for a time. */
        private void look() {
            ghosts.removeIf(ghost -> {
                boolean done = now >= ghost.until();
                ownThreads[at] -= done ? ghost.threads() : 0;
                ownMemory[at] -= done ? ghost.needMb() : 0;
                return done;
            });
            if (!barred[at] && now - heardAt >= Math.max(SILENCE, house.noteEvery() * 5 / 4)
                    && desk.queries.values().stream().filter(q -> q.outAt == at && desk.stuck(q))
                            .count() > 1) {
                bar("is silent");
            }
        }

        /**
         * An engine whose memory is full pages and ends nothing, while its notes go on. What crawls there
         * would shut the gate to idle engines. Peers must have shown better meanwhile, the engine not.
         */
        private void crawls(Query q, int crawling) {
            if (!barred[at] && wellAt < q.sentAt
                    && fleet.stream().filter(e -> up[e.at] && e.wellAt >= q.sentAt).count() > crawling) {
                bar = Math.max(bar, FIRST_CRAWL);
                longestBar = LONGEST_CRAWL;
                bar("crawls");
            }
        }

        private void bar(String why) {
            long all = IntStream.range(0, fleet.size()).filter(k -> up[k]).count();
            if (overOpen(k -> 1) - 1 >= all * (1 - MOST_BARRED)) {
                barred[at] = true;
                barredUntil = now + spread.rest(at, bar, desk.lightest());
                out.accept(new Action.Remark("engine " + id.address() + " " + why + ", barred"));
            }
        }
    }

    private void grow(int size) {
        cores = Arrays.copyOf(cores, size);
        memoryMb = Arrays.copyOf(memoryMb, size);
        ownThreads = Arrays.copyOf(ownThreads, size);
        ownMemory = Arrays.copyOf(ownMemory, size);
        ownQueries = Arrays.copyOf(ownQueries, size);
        up = Arrays.copyOf(up, size);
        startedAt = Arrays.copyOf(startedAt, size);
        pace = Arrays.copyOf(pace, size);
        faults = Arrays.copyOf(faults, size);
        barred = Arrays.copyOf(barred, size);
    }

    private double overOpen(IntToDoubleFunction figure) {
        return IntStream.range(0, fleet.size()).filter(k -> up[k] && !barred[k]).mapToDouble(figure).sum();
    }

    /** Over the listed engines; 0 if none has a figure. */
    private double median(double[] figures) {
        double[] known = IntStream.range(0, fleet.size()).filter(k -> up[k] && !Double.isNaN(figures[k]))
                .mapToDouble(k -> figures[k]).sorted().toArray();
        return known.length == 0 ? 0 : known[(known.length - 1) / 2];
    }

    private boolean cold(int at) {
        return startedAt[at] > 0 && now - startedAt[at] < house.coldStart().ramp();
    }

    /** The log of time to work. Of a time that the front could not see whole, because it stood still itself,
     * the end that is nearest to what is held: its own lag must not pass for an engine's. */
    private static double logOf(double held, double least, double most, double work) {
        double per = Math.max(1, work);
        return Math.max(Math.log(Math.max(1, least) / per),
                Math.min(Math.log(Math.max(1, most) / per), held));
    }

    /** The part of its cores that a cold engine has by what is told of its ramp; 1 for any other. */
    private double warmth(int at) {
        double from = house.coldStart().from();
        return !cold(at) ? 1
                : from + (1 - from) * Math.max(0, now - startedAt[at]) / house.coldStart().ramp();
    }

    /** How much longer than its work a query runs there: by what was seen, or else by its ramp. */
    private double slowness(int at) {
        return Double.isNaN(pace[at]) ? 1 / warmth(at) : Math.exp(pace[at]);
    }

    /** Cores at the pace shown against the peers': a slow, crowded, failing or cold engine counts less. */
    private double worth(int at) {
        double part = warmth(at);
        if (!Double.isNaN(pace[at])) {
            part *= Math.max(0.15, Math.min(1, SLOWER / Math.exp(pace[at] - usualPace)));
        }
        return cores[at] * part * (1 - Math.max(0, faults[at] - usualFaults));
    }

    // ---- tenants

    /** A tenant's measured usage in a sliding window. */
    private final class Purse extends Part {
        private final double[] slots = new double[USAGE_SLOTS];
        private long slot;
        private double sum;
        private final double share;
        private final double rate;
        private final ArrayDeque<Query> line = new ArrayDeque<>();
        private double score;
        private double allowance;
        private long refilledAt;

        Purse(int tenant) {
            Deployment.Tenant known = tenant < house.tenants().size() ? house.tenants().get(tenant) : null;
            share = known != null && known.share() > 0 ? known.share() : 1;
            rate = known != null ? known.queriesPerSecond() / house.fronts() : 0;
        }

        private void charge(double work, int queries) {
            usage();
            beyondShare();
            allowance = Math.max(-2 * rate, allowance - queries);
            slots[(int) (slot % USAGE_SLOTS)] += work;
            sum += work;
        }

        private double usage() {
            long current = now / (USAGE_WINDOW / USAGE_SLOTS);
            for (slot = Math.max(slot, current - USAGE_SLOTS); slot < current; ) {
                slot++;
                sum -= slots[(int) (slot % USAGE_SLOTS)];
                slots[(int) (slot % USAGE_SLOTS)] = 0;
            }
            return sum / share;
        }

        /** Whether the tenant has lately been given more than its share of what this front carries. */
        private boolean beyondShare() {
            allowance = Math.min(2 * rate, allowance + rate * (now - refilledAt) / SECOND);
            refilledAt = now;
            return rate > 0 && allowance < 0;
        }
    }

    // ---- the desk

    /** Queries of one key run one at a time, in turn. */
    private static final class KeyLane {
        private final ArrayDeque<Query> turn = new ArrayDeque<>();
        private long restsUntil;
    }

    /** Queue, gate and final answers. */
    private final class Desk extends Part {
        private final Map<Id.Query, Query> queries = new LinkedHashMap<>();
        private final Map<Id.OrderKey, KeyLane> lanes = new LinkedHashMap<>();
        private final ArrayDeque<Long> takenAt = new ArrayDeque<>();
        private final ArrayDeque<Long> furtherAt = new ArrayDeque<>();
        private final double[] usualWork = new double[house.groups().size()];
        private final int[] worksSeen = new int[house.groups().size()];
        private final double[] estimateError = new double[house.groups().size()];
        private final int mostThreads;
        private final long soonest;
        private final int[] waitingIn = new int[house.groups().size()];
        private long arrivals;
        private long lastTrial = -QUERIES_A_TRIAL;
        private double factor = 1;
        private double stretch;
        private double usualStretch;
        private long answers;
        private long boundMetAt;
        private long askAgainAt = -1;
        private long toldAt;
        private double arrived;
        private long arrivedAt;
        private final double ratesTold;
        private double memoryPart;
        // Over the share by one query at the start: shares of one or two long queries leave engines idle.
        private double grown;
        private double memoryRoom;
        private double needs;
        private double needsSquared;
        private double othersMemory;
        private boolean crowded;
        private boolean slack;
        private boolean idle;
        // What stood unused lately of the bound and of the part of memory, over time.
        private double unusedThreads;
        private double unusedMemory;

        Desk() {
            Arrays.setAll(usualWork, k -> house.groups().get(k).targetBase() / 2.0
                    * house.groups().get(k).threads());
            Arrays.fill(worksSeen, 2);
            mostThreads = house.groups().stream().mapToInt(g -> g.threads()).max().orElse(1);
            grown = mostThreads;
            ratesTold = house.tenants().stream().mapToDouble(Deployment.Tenant::queriesPerSecond).sum();
            soonest = house.groups().stream().mapToLong(g -> g.targetBase()).min().orElse(SECOND);
        }

        private void word(Event event) {
            if (event instanceof Event.Taken taken) {
                take(taken);
            } else if (event instanceof Event.Left left) {
                Query q = queries.get(left.query());
                if (q != null && !q.answered) {
                    over(q);
                }
            } else if (event instanceof Event.StreamBegan began) {
                queries.getOrDefault(began.query(), new Query()).streaming = true;
            } else if (event instanceof Event.Leaving leaving) {
                queries.values().forEach(q -> q.leavesAt = Math.min(q.leavesAt, leaving.by()));
            } else if (event instanceof Event.ListUnavailable) {
                askAgainAt = now + Math.min(SECOND / 2, house.discovery().askWithin() / 4);
            } else if (event instanceof Event.Woken woken && woken.timer().equals(PULSE_TIMER)) {
                pulse();
            }
        }

        private void take(Event.Taken taken) {
            Deployment.ResourceGroup group = house.groups().get(taken.group().index());
            Query q = new Query();
            q.id = taken.query();
            q.group = taken.group().index();
            q.tenant = taken.tenant().index() < 0 ? purses.length - 1 : taken.tenant().index();
            q.key = group.ordered() ? taken.key() : null;
            q.order = arrivals++;
            q.leavesAt = taken.leavesAt();
            q.threads = group.threads();
            q.told = taken.estimate() > 0;
            q.work = q.told ? taken.estimate() * Math.exp(estimateError[q.group]) : usualWork[q.group];
            if (q.told) {
                usual(q.group, q.work);
            }
            q.needMb = taken.needMb();
            needs += 0.02 * (q.needMb - needs);
            needsSquared += 0.02 * (q.needMb * q.needMb - needsSquared);
            q.dataSet = taken.dataSet();
            // Past its client's leaving no answer has a value, whatever the group's target.
            q.target = Math.min(q.leavesAt - LAST_CALL,
                    now + group.targetBase() + (long) (group.targetPerWork() * q.work / q.threads));
            queries.put(q.id, q);
            slack = false;
            arrived = 1 + arrived * Math.exp((arrivedAt - now) / (double) ARRIVALS_WINDOW);
            arrivedAt = now;
            if (house.ration() != null) {
                takenAt.add(now);
            }
            KeyLane lane = q.key == null ? null : lanes.computeIfAbsent(q.key, k -> new KeyLane());
            if (lane != null) {
                lane.turn.add(q);
            }
            if (now >= q.leavesAt - LAST_CALL) {
                // A repeat can arrive with so little time left that the next pulse would answer it too late.
                giveUp(q);
            } else if (lane != null) {
                call(lane);
            } else {
                join(q);
            }
            release();
        }

        private double lightest() {
            return Math.max(1, Arrays.stream(usualWork).min().orElse(1));
        }

        private void usual(int group, double work) {
            usualWork[group] += Math.max(0.02, 1.0 / ++worksSeen[group]) * (work - usualWork[group]);
        }

        /** Into the tenant's line, at the place that the arrival gives. */
        private void join(Query q) {
            ArrayDeque<Query> line = purses[q.tenant].line;
            ArrayDeque<Query> later = new ArrayDeque<>();
            while (!line.isEmpty() && line.peekLast().order > q.order) {
                later.push(line.pollLast());
            }
            line.add(q);
            line.addAll(later);
            if (line.peek() == q) {
                purses[q.tenant].score = purses[q.tenant].usage();
            }
            waitingIn[q.group]++;
        }

        private void unqueue(Query q) {
            if (purses[q.tenant].line.remove(q)) {
                waitingIn[q.group]--;
            }
        }

        /** On warm engines. A cold one stands under its ration, which is less than its cores would bear. */
        private double bound() {
            return bound(overOpen(k -> cold(k) ? 0 : worth(k)));
        }

        private double bound(double worths) {
            // What was grown goes first: at the least of the factor nothing is left of it.
            double least = LEAST_BOUND / house.fronts() / share();
            return Math.max(mostThreads, worths * THREADS_PER_CORE * share() * factor
                    + grown * Math.max(0, factor - least) / Math.max(1e-3, 1 - least));
        }

        private double ownThreadsAtStart() {
            return overOpen(Control.this::worth) * THREADS_PER_CORE * share();
        }

        /** An equal part or, as fronts can be very unequal, what its arrivals clearly are of all tenants'. */
        private double share() {
            double equal = 1.0 / house.fronts();
            return ratesTold <= 0 ? equal : Math.max(equal, Math.min(1, BUSY_SHARE * arrived
                    * Math.exp((arrivedAt - now) / (double) ARRIVALS_WINDOW)
                    * SECOND / ARRIVALS_WINDOW / ratesTold));
        }

        /**
         * The mean of all needs on an engine at which what chance adds still fits: fronts spread blindly, and
         * a sum scatters by the root of its mean times the usual size. Where no cancel is heeded, an engine
         * over its memory stays there until all is run that nobody waits for; elsewhere it is soon back.
         */
        private double memoryPart() {
            if (house.allowed().cancel()) {
                return MEMORY_PART;
            }
            double size = needs <= 0 ? 0 : needsSquared / needs * overOpen(k -> 1)
                    / Math.max(1, overOpen(k -> memoryMb[k]));
            double scatter = SCATTER * (1 - share()) * (1 - share());
            double root = (Math.sqrt(scatter * scatter * size + 4) - scatter * Math.sqrt(size)) / 2;
            return Math.min(MEMORY_PART, root * root);
        }

        /** What sits on a barred engine would otherwise shut the gate to all the others. */
        private double threadsOut() {
            return overOpen(k -> cold(k) ? 0 : ownThreads[k]);
        }

        /** Lets one query go and calls itself by a note, so that the next sees the engine's new row. */
        private void release() {
            double bound = bound();
            double room = bound - threadsOut();
            idle = room >= bound;
            memoryPart = share() * (house.pages() ? 1 : 1 + grown / Math.max(1, ownThreadsAtStart()));
            double ownPart = memoryPart * memoryPart() * overOpen(k -> memoryMb[k]);
            othersMemory = (1 / memoryPart - 1) * overOpen(k -> ownMemory[k])
                    / Math.max(1, overOpen(k -> memoryMb[k]));
            boolean mixed = Arrays.stream(waitingIn).filter(count -> count > 0).count() > 1;
            int[] groupThreads = new int[waitingIn.length];
            List<Query> running = queries.values().stream()
                    .filter(q -> q.outAt >= 0 && !q.lost && !barred[q.outAt]).toList();
            running.forEach(q -> groupThreads[q.group] += cold(q.outAt) ? 0 : q.threads);
            // One large query, let out on an idle front, would shut out all small ones while it runs.
            memoryRoom = ownPart - overOpen(k -> ownMemory[k]) + Math.max(0, running.stream()
                    .mapToDouble(q -> q.needMb).max().orElse(0) - ownPart * MOST_OF_ONE_QUERY);
            for (Purse purse : inOrder()) {
                // While others wait, one group leaves them a part of the bound: in a line in arrival order
                // short queries would lose their targets behind long ones that each hold many threads.
                int blocked = 0;
                for (int k = 0; mixed && k < groupThreads.length; k++) {
                    blocked |= groupThreads[k] > bound * MOST_OF_ONE_GROUP ? 1 << Math.min(k, 30) : 0;
                }
                int unfit = 0;
                boolean shut = false;
                double unfitMb = Double.MAX_VALUE;
                for (Query q : purse.line) {
                    // The ration is asked again: it may have shrunk since the query came back here.
                    int bit = 1 << Math.min(q.group, 30);
                    if ((blocked & bit) != 0 || (unfit & bit) != 0 && q.needMb >= unfitMb || q.late && !slack
                            || q.submissions > 0 && !mayRepeat(q, false)) {
                        continue;
                    }
                    double cost = q.threads * expected(q);
                    boolean over = q.threads > room && !idle;
                    shut |= over && cost > unusedThreads;
                    boundMetAt = shut ? now : boundMetAt;
                    int at = choose(q, shut);
                    if (at >= 0) {
                        unusedThreads -= over && !cold(at) ? cost : 0;
                        unusedMemory -= q.needMb > memoryRoom ? q.needMb * expected(q) : 0;
                        send(q, at);
                        post(this, Desk::release);
                        return;
                    }
                    // No engine of its own takes it; a query of another group may still leave, and where
                    // memory is what lacks, one that needs less: large ones would hold up all behind them.
                    // It has to fit by itself: what stood unused is left to those that wait for it.
                    // Where the gate is shut, cold engines may have room for the other group's.
                    q.crowdedOut = crowded;
                    unfitMb = crowded ? Math.min(unfitMb, Math.min(q.needMb, memoryRoom)) : unfitMb;
                    unfit |= crowded ? bit : 0;
                    blocked |= crowded ? 0 : bit;
                }
            }
        }

        /** Tenants with queries waiting, the head's score refreshed as the design page says. */
        private List<Purse> inOrder() {
            List<Purse> lines = new ArrayList<>(Arrays.asList(purses));
            lines.removeIf(purse -> purse.line.isEmpty());
            Comparator<Purse> order = Comparator.<Purse>comparingDouble(p -> p.score)
                    .thenComparingLong(p -> p.line.peek().order);
            lines.sort(order);
            for (int tries = 0; lines.size() > 1 && tries <= REFRESHES; tries++) {
                Purse head = lines.get(0);
                head.score = head.usage();
                lines.sort(order);
                if (lines.get(0) == head) {
                    return lines;
                }
            }
            if (lines.size() > 1 && Arrays.stream(waitingIn).sum() <= RESCORE_AT_MOST) {
                lines.forEach(p -> p.score = p.usage());
                lines.sort(order);
            }
            return lines;
        }

        /**
         * The engine with fewest own threads for each core of those that can take the query, or -1. Where the
         * gate is shut, a cold one that it would end on in time: what is out on warm engines says nothing of
         * the others, and half of a fleet may just have been replaced.
         */
        private int choose(Query q, boolean shut) {
            int best = -1;
            crowded = false;
            double least = Double.MAX_VALUE;
            for (int k = 0; k < fleet.size(); k++) {
                if (!allowed(q, k) || shut && !cold(k) || cold(k)
                        && !spread.coldRoom(k, usualWork[q.group] / lightest(), lightest(), now)) {
                    continue;
                }
                if (!barred[k] && !memoryFits(q, k)) {
                    crowded = house.pages();
                    continue;
                }
                if (barred[k] && trial(q, k)) {
                    lastTrial = arrivals;
                    return k;
                }
                // Engines too slow for its target come after all others, and the one that failed it last.
                boolean late = now + q.work / q.threads * slowness(k) > q.target;
                if (shut && late) {
                    continue;
                }
                double worth = worth(k);
                double load = spread.steps(k, ownThreads[k]) / worth
                        + 1e-6 * spread.turn(k, ownThreads[k], worth, now)
                        + (k == q.avoid ? 2 * COMES_LAST : late ? COMES_LAST : 0);
                if (load < least && !barred[k]) {
                    least = load;
                    best = k;
                }
            }
            return best;
        }

        /** The rules on drains, placement and repeats. */
        private boolean allowed(Query q, int k) {
            Deployment.ResourceGroup group = house.groups().get(q.group);
            Engine engine = fleet.get(k);
            if (!up[k] || group.zones() != null && !group.zones().contains(engine.zone)
                    || group.kinds() != null && !group.kinds().contains(engine.kind)) {
                return false;
            }
            if (q.ranAt < 0) {
                return true;
            }
            Engine ran = fleet.get(q.ranAt);
            return RepeatPolicy.recognisedAt(group, ran.zone, ran.cell, engine.zone, engine.cell);
        }

        /** Own needs stay under this front's part of the engine's memory and of the fleet's. By engine alone
         * hundreds of fronts with one query on each would overfill them all. */
        private boolean memoryFits(Query q, int k) {
            return memoryMb[k] <= 0 || (!house.pages() || q.needMb <= memoryRoom || idle
                    || q.needMb * expected(q) <= unusedMemory)
                    && (ownMemory[k] <= 0 || ownMemory[k] + q.needMb <= memoryMb[k]
                            * Math.max(memoryPart * 0.9, house.pages() ? 0.9 - othersMemory : 0));
        }

        /** The way back: a barred engine gets one query that could still be run elsewhere in time. */
        private boolean trial(Query q, int k) {
            return now >= fleet.get(k).barredUntil && arrivals - lastTrial >= QUERIES_A_TRIAL
                    && ownQueries[k] == 0 && q.submissions == 0 && mayRepeat(q, true)
                    && now + 3 * expected(q) < q.target && 2 * q.work <= 3 * usualWork[q.group];
        }

        private double value(Query q) {
            return house.groups().get(q.group).value()
                    * (purses[q.tenant].beyondShare() ? house.overShareValue() : 1);
        }

        /** How long the query would run now. */
        private double expected(Query q) {
            return q.work / q.threads * Math.exp(Math.max(0, stretch));
        }

        private void send(Query q, int at) {
            unqueue(q);
            if (q.submissions++ > 0 && house.ration() != null) {
                furtherAt.add(now);
            }
            q.outAt = at;
            q.sentTo = at;
            q.sentAt = now;
            q.cancelled = false;
            q.lost = false;
            q.notedAt = now;
            q.notedUnseen = 0;
            q.share = 0;
            q.overdueAt = now + (long) (2 * expected(q));
            post(fleet.get(at), engine -> engine.carry(q));
            int first = q.submissions == 1 ? 1 : 0;
            post(purses[q.tenant], purse -> purse.charge(q.work, first));
        }

        private void back(Query q, Event.Closed closed) {
            q.outAt = -1;
            Outcome outcome = closed.outcome();
            if (!outcome.neverRan() && q.ranAt < 0) {
                q.ranAt = q.sentTo;
                q.ranSince = q.sentAt;
            }
            q.unclear |= outcome.mayStillRun();
            if (outcome == Outcome.FINISHED) {
                learn(q, closed);
            }
            double used = closed.work() > 0 ? closed.work() : q.told ? q.work : closed.took() * q.threads;
            double owed = outcome.neverRan() ? 0
                    : outcome == Outcome.FINISHED ? used : Math.min(used, closed.took() * q.threads);
            post(purses[q.tenant], purse -> purse.charge(owed - q.work, 0));
            q.answered |= closed.over();
            if (q.answered) {
                leave(q);
            } else if (outcome != Outcome.NOT_SENT && outcome != Outcome.NOT_KEPT
                    && q.submissions < house.allowed().submissions()
                    && mayRepeat(q, false) && now + expected(q) < q.leavesAt - LAST_CALL) {
                q.avoid = q.sentTo;
                join(q);
            } else {
                giveUp(q);
            }
            post(this, Desk::release);
        }

        private void learn(Query q, Event.Closed closed) {
            double ran = closed.took() * q.threads;
            double work = closed.work() > 0 ? closed.work() : q.told ? q.work : ran;
            if (!q.told) {
                usual(q.group, work);
            } else if (closed.work() > 0) {
                estimateError[q.group] += 0.02 * Math.max(-2, Math.min(2, Math.log(work / q.work)));
            }
            answers++;
            if (!barred[q.sentTo]) {
                felt(ran - closed.unseen() * q.threads, ran, work, Math.max(0.05, 1.0 / answers));
            }
            boolean first = answers < 40 && (answers < 10 || now - bornAt < FIRST_ANSWERS);
            if (first || now - boundMetAt > SECOND && threadsOut() < CALM * bound() / factor) {
                // A busy front has only its first answers to go by; later ones can show an overload.
                usualStretch += (stretch - usualStretch) * (first ? Math.max(0.1, 1.0 / answers) : 0.01);
            } else if (factor * share() * house.fronts() <= LEAST_BOUND * 1.001) {
                // What stays slow with this front's load at its least is not of this front's making.
                usualStretch += (stretch - usualStretch) * 0.002;
            }
            if (factor >= 1 && now - boundMetAt < SECOND) {
                grown = Math.min(overOpen(Control.this::worth), grown + q.threads);
            }
        }

        /** What was seen of how a run takes against its work. One step moves the stretch by little, whatever
         * it shows: bad plans and lost answers say nothing of the load. */
        private void felt(double least, double most, double work, double weight) {
            double step = logOf(stretch, least, most, work) - stretch;
            step = Math.max(-ONE_STEP, Math.min(ONE_STEP, step));
            stretch = Math.max(-1, Math.min(2.5, stretch + weight * step));
            // The bound follows at once: fronts that each hear little would shrink too late by steps.
            double high = stretch - Math.max(-0.3, Math.min(1.2, usualStretch));
            factor = Math.max(LEAST_BOUND / house.fronts() / share(),
                    Math.exp(-2 * Math.max(0, high - Math.log(USUAL_STRETCH))));
            if (factor < 1) {
                grown = Math.min(grown, Math.max(mostThreads, grown * 0.9));
            }
        }

        /** Whether a further submission keeps the rules on effects and on the ration. */
        private boolean mayRepeat(Query q, boolean asTrial) {
            Deployment.ResourceGroup group = house.groups().get(q.group);
            if (!RepeatPolicy.mayRunAgain(group, asTrial || q.ranAt >= 0) || now >= departBy(q)) {
                return false;
            }
            Deployment.Ration ration = house.ration();
            if (ration == null) {
                return true;
            }
            // Both windows err to the strict side by a tenth, for what the clock's rounding may hide.
            while (!furtherAt.isEmpty() && now - furtherAt.peek() > ration.window() + 1) {
                furtherAt.poll();
            }
            while (!takenAt.isEmpty() && now - takenAt.peek() >= ration.window() - 1) {
                takenAt.poll();
            }
            return furtherAt.size() + 1 <= ration.free() + ration.perQuery() * takenAt.size();
        }

        /** A repeat counts when it arrives: a late connection or a stop of the loop may come between. */
        private long departBy(Query q) {
            long until = RepeatPolicy.recognisedUntil(house.groups().get(q.group), q.ranAt >= 0, q.ranSince);
            return until == Long.MAX_VALUE ? until : until - ARRIVAL;
        }

        /** Bad plans: what a fresh start would end far sooner than the rest of this run starts afresh. */
        private void progress(Query q, Event.ShareDone note) {
            // Answers tell of an overload only once it has passed; notes of runs tell while it lasts.
            double share = note.share();
            long since = now - q.notedAt;
            if (!barred[q.outAt]) {
                felt((since - note.unseen()) * q.threads, (since + q.notedUnseen) * q.threads,
                        (share - q.share) * q.work, 0.05);
            }
            q.share = share;
            q.notedAt = now;
            q.notedUnseen = note.unseen();
            q.overdueAt = Long.MAX_VALUE;
            if (q.answered || !mayRestart(q)) {
                return;
            }
            double ran = (now - q.sentAt) / expected(q);
            if (ran * (1 - share) > share * 3 && ran > 1.5) {
                cancel(q);
            }
        }

        private boolean mayRestart(Query q) {
            return house.groups().get(q.group).effect() == Effect.READ_ONLY
                    && q.submissions < house.allowed().submissions() && mayRepeat(q, false);
        }

        /** Far past its time and without a note: its answer may be lost, or its engine silent. */
        private boolean stuck(Query q) {
            return crawls(q) && now - q.notedAt > house.noteEvery() * 1.3;
        }

        private boolean crawls(Query q) {
            return q.outAt >= 0 && now - q.sentAt > 4 * expected(q) + GRACE;
        }

        private void cancel(Query q) {
            if (house.allowed().cancel() && !q.cancelled && !q.streaming) {
                q.cancelled = true;
                out.accept(new Action.Cancel(q.id, new Id.Submission(q.submissions - 1)));
            }
        }

        /** Whether a client may try the query again. */
        private boolean safe(Query q, boolean ran) {
            return RepeatPolicy.mayDefer(house.groups().get(q.group), ran);
        }

        /** The final answer for a query that has nothing out. */
        private void giveUp(Query q) {
            // Where it was an engine that failed it, and not room that lacks, it may come back at once.
            long longest = house.allowed().comeBack() ? house.allowed().longestComeBack() : 0;
            long comeBack = q.outAt >= 0 ? Math.min(PULSE, longest) : spread.comeBack(longest);
            out.accept(safe(q, q.ranAt >= 0) ? new Action.Defer(q.id, comeBack) : new Action.Kill(q.id));
            over(q);
        }

        private void over(Query q) {
            q.answered = true;
            unqueue(q);
            if (q.outAt < 0) {
                leave(q);
            } else {
                cancel(q);
            }
        }

        /** Answered and nothing out: the key may go on, after its rest. */
        private void leave(Query q) {
            if (queries.remove(q.id) == null || q.key == null) {
                return;
            }
            KeyLane lane = lanes.get(q.key);
            if (q.unclear) {
                lane.restsUntil = Math.max(lane.restsUntil, now + house.keyRest());
            }
            lane.turn.remove(q);
            call(lane);
        }

        /** The first of a key joins its tenant's line once the key has rested. */
        private void call(KeyLane lane) {
            Query first = lane.turn.peek();
            if (first != null && now >= lane.restsUntil && first.outAt < 0
                    && !purses[first.tenant].line.contains(first)) {
                join(first);
            }
        }

        private void pulse() {
            out.accept(new Action.WakeMe(PULSE_TIMER, PULSE));
            if (askAgainAt >= 0 && now >= askAgainAt) {
                askAgainAt = -1;
                out.accept(new Action.FollowEngines());
            }
            lanes.values().removeIf(lane -> lane.turn.isEmpty() && now >= lane.restsUntil);
            lanes.values().forEach(this::call);
            if (now - toldAt >= SECOND) {
                toldAt = now;
                spread.changes(Control.this::worth, now).forEach(line -> out.accept(new Action.Remark(line)));
            }
            usualPace = median(pace);
            usualFaults = median(faults);
            fleet.forEach(engine -> post(engine, Engine::look));
            sweep();
            double most = Arrays.stream(usualWork).max().orElse(0) * Math.exp(Math.max(0, stretch));
            double perCore = overOpen(k -> memoryMb[k]) / Math.max(1, overOpen(k -> cores[k]));
            unusedThreads = Math.min(UNUSED_KEPT * most,
                    unusedThreads + PULSE * Math.max(0, bound() - threadsOut()));
            unusedMemory = Math.min(UNUSED_MEMORY_KEPT * most * perCore,
                    unusedMemory + PULSE * Math.max(0, memoryRoom));
            post(this, Desk::release);
        }

        /** Defers what can't end in time and, of too much waiting, the least value for its work. */
        private void sweep() {
            // Past its target, what still has a value runs on what nobody waits for here or elsewhere.
            slack = factor >= 1 && threadsOut() < CALM * bound()
                    && queries.values().stream().allMatch(q -> q.outAt >= 0 || q.late);
            List<Query> held = new ArrayList<>();
            double backlog = 0;
            int crawling = (int) queries.values().stream().filter(this::crawls).mapToInt(q -> q.outAt)
                    .distinct().count();
            for (Query q : new ArrayList<>(queries.values())) {
                if (q.outAt >= 0) {
                    if (crawls(q) && !house.allowed().cancel()) {
                        post(fleet.get(q.outAt), engine -> engine.crawls(q, crawling));
                        if (barred[q.outAt] && !q.answered && safe(q, true)) {
                            giveUp(q); // can't be taken back, but its client can still be in time
                        }
                    }
                    if (now >= q.overdueAt && !q.answered && !barred[q.outAt]) {
                        // For runs too short for notes. Only once: an answer that is lost is no load.
                        q.overdueAt = Long.MAX_VALUE;
                        felt((now - q.sentAt) * q.threads, (now - q.sentAt) * q.threads, q.work, 0.05);
                    }
                    if (stuck(q) && !q.answered && house.allowed().cancel() && mayRestart(q)) {
                        cancel(q);
                    } else if (stuck(q) && !q.cancelled && !q.lost) {
                        // Its notes have stopped: the work is over and its answer lost, or its engine stands
                        // still, which a bar answers. Held until its time-out it would shut the gate.
                        q.lost = true;
                        post(fleet.get(q.outAt), engine -> engine.free(q));
                    }
                } else if (now >= q.leavesAt - LAST_CALL || (q.late = now + expected(q) > q.target)
                        && (house.groups().get(q.group).lateValue() <= 0
                                || now + expected(q) > q.leavesAt - LAST_CALL)) {
                    giveUp(q);
                } else if (!q.late && (!q.crowdedOut || now - boundMetAt < SECOND)) {
                    // While the gate is not met, none would leave sooner for one that waits for memory.
                    held.add(q);
                    backlog += q.work;
                }
            }
            double rate = bound(overOpen(Control.this::worth)) / Math.exp(Math.max(0, stretch));
            held.sort(Comparator.comparingDouble(q -> value(q) / q.work));
            for (int k = 0; k < held.size() && backlog / rate > soonest * 0.4; k++) {
                backlog -= held.get(k).work;
                giveUp(held.get(k));
            }
        }
    }
}
