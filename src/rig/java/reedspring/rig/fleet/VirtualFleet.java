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
import reedspring.rig.fleet.Timetable.EntryType;

/**
 * Plays a timetable in virtual time on the decisions of up to hundreds of fronts and on modelled engines. The
 * rules are checked at every action and after every step; a failure names the broken rule, the timetable and
 * the seed. Deferred clients retry after the delay that they are given. Times are in ticks (tenths of a
 * millisecond).
 */
public final class VirtualFleet {
    private static final long TICKS_PER_MS = 10;
    private static final long TICKS_PER_SECOND = 1_000 * TICKS_PER_MS;
    private static final long STEP_TICKS = 5 * TICKS_PER_MS;
    /** Upper bound of the random delay of an engine list on its way to each front. */
    private static final long LIST_DELAY_SPREAD_TICKS = 200 * TICKS_PER_MS;
    /** Time after which the load balancer before the fronts notices a front that is down. */
    private static final long BALANCER_NOTICES_TICKS = TICKS_PER_SECOND;
    private static final long ANSWER_GRACE_TICKS = 50 * TICKS_PER_MS;
    private static final long RETRY_BIN_TICKS = 100 * TICKS_PER_MS;
    /** The start of the run on the fronts' clock. */
    private static final long START_TICKS = 1_000 * TICKS_PER_SECOND;

    private final Timetable timetable;
    private final long seed;
    private final Deployment deployment;
    private final SplittableRandom random;
    private final List<Front> fronts = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final PriorityQueue<DueTask> dueTasks = new PriorityQueue<>();
    private final Map<Entry, Set<Integer>> affectedFronts = new HashMap<>();
    private final Map<Entry, Set<Integer>> affectedEngines = new HashMap<>();
    private final double[] offered;
    private final double[] served;
    private final double[] pagingEngines;
    private final int[] retriesPerBin;
    private final Map<String, Integer> eventCounts = new LinkedHashMap<>();
    private long now;
    private long nextSequence;
    private int coldArrivals;

    private record DueTask(long dueAt, long sequence, Runnable task) implements Comparable<DueTask> {
        @Override
        public int compareTo(DueTask other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** One request of a client; {@code firstSentAt} is the time of the query's first request. */
    private record ClientRequest(int group, double workTicks, double needMb, long firstSentAt, int number) {
    }

    /** One submission, from its start until the front learns its outcome. */
    private static final class Submission {
        private final Front front;
        private final int frontIncarnation;
        private final Id.Query query;
        private final int number;
        private final Engine engine;
        private final long submittedAt;
        private EngineModel.Execution execution;

        private Submission(Front front, Id.Query query, int number, Engine engine, long submittedAt) {
            this.front = front;
            this.frontIncarnation = front.incarnation;
            this.query = query;
            this.number = number;
            this.engine = engine;
            this.submittedAt = submittedAt;
        }
    }

    /** One position in the fleet, with the engine that occupies it now. */
    private final class Engine {
        private final int index;
        private EngineModel model;
        private String id;
        private int startCount;
        private long startedAt;
        private Health health = Health.UP;
        private int maxThreads;
        private double threadsSum;
        private final List<long[]> coldWork = new ArrayList<>();

        private Engine(int index) {
            this.index = index;
            start(0);
        }

        private void start(long startTicks) {
            id = "e" + index + "." + startCount++;
            startedAt = startTicks;
            model = new EngineModel(timetable.cores(index), timetable.memoryMb(), timetable.sessions(),
                    startTicks, FleetSettings.COLD_CAPACITY_RATIO,
                    startTicks == 0 ? 0 : FleetSettings.COLD_RAMP_MS * TICKS_PER_MS);
            health = Health.UP;
            coldWork.clear();
        }

        private Event.Listing listing() {
            return new Event.Listing(new Id.Engine(id),
                    new Id.Kind(FleetSettings.kind(timetable.cores(index))),
                    new Id.Zone(String.valueOf(timetable.site(index))), new Id.Cell(0), health, startedAt);
        }

        /** Checks that a cold engine's load in the window is tolerable, with an allowance for variation. */
        private void checkColdArrival(double workTicks, double meanWork) {
            if (startedAt <= 0 || now - startedAt >= FleetSettings.COLD_RAMP_MS * TICKS_PER_MS) {
                return;
            }
            coldArrivals++;
            long window = FleetSettings.COLD_WINDOW_MS * TICKS_PER_MS;
            coldWork.removeIf(arrival -> arrival[0] <= now - window);
            coldWork.add(new long[] {now, Math.round(workTicks)});
            double toleratedQueries = timetable.coldOverloadMultiple() * model.capacityCores(now) * window
                    / meanWork;
            double received = coldWork.stream().mapToLong(arrival -> arrival[1]).sum() / meanWork;
            require(received <= toleratedQueries + 2 * Math.sqrt(toleratedQueries) + 2, "cold engine " + id
                    + " overloaded: " + received
                    + " usual queries in its window, " + toleratedQueries + " allowed");
        }

        private void step() {
            List<EngineModel.Execution> ended = model.step(now, STEP_TICKS);
            maxThreads = Math.max(maxThreads, model.threads());
            threadsSum += model.threads();
            for (EngineModel.Execution execution : ended) {
                Submission submission = (Submission) execution.owner;
                if (activeEntry(EntryType.SILENT, index) == null) {
                    submission.front.returnOutcome(submission, Outcome.FINISHED, execution.workTicks);
                }
            }
            long progressInterval = deployment.progressInterval();
            for (EngineModel.Execution execution : List.copyOf(model.executions())) {
                if (now - execution.startedAt >= STEP_TICKS
                        && (now - execution.startedAt) % progressInterval < STEP_TICKS
                        && activeEntry(EntryType.SILENT, index) == null) {
                    ((Submission) execution.owner).front.returnProgress((Submission) execution.owner,
                            execution.doneShare());
                }
            }
        }
    }

    private final class Front {
        private final int index;
        private int incarnation;
        private boolean alive;
        private long pausedAt;
        private long pausedUntil;
        /** How long the process was stopped before it reads its present input. */
        private long readDelay;
        private long crashedAt;
        private final List<Runnable> heldInput = new ArrayList<>();
        private Map<Id.Query, ClientRequest> openQueries = new HashMap<>();
        private Map<Id.Query, Integer> submissionCounts = new HashMap<>();
        private Map<Id.Query, Submission> runningSubmissions = new HashMap<>();
        private Set<Id.Query> answered = new HashSet<>();
        /** Mutating queries that reached an engine and must not reach one again. */
        private Set<Id.Query> executedMutations = new HashSet<>();
        private Map<Id.Engine, Long> unavailableSince = new HashMap<>();
        private Map<Id.Engine, Long> lastHeardAt = new HashMap<>();
        private Control control;
        private long lastQueryId;

        private Front(int index) {
            this.index = index;
        }

        private void start() {
            incarnation++;
            alive = true;
            openQueries = new HashMap<>();
            submissionCounts = new HashMap<>();
            runningSubmissions = new HashMap<>();
            answered = new HashSet<>();
            executedMutations = new HashSet<>();
            unavailableSince = new HashMap<>();
            lastHeardAt = new HashMap<>();
            control = new Control(random.nextLong(), deployment, now, this::apply);
            List<Event.Listing> listed = engines.stream().map(Engine::listing).toList();
            handle(new Event.EnginesListed(Event.ListKind.COMPLETE, listed));
        }

        private void crash() {
            alive = false;
            control = null;
            heldInput.clear();
            pausedUntil = 0;
        }

        /** Delivers input to the front; while its process is stopped, input waits in its sockets. */
        private void deliver(Runnable input) {
            int ownIncarnation = incarnation;
            Runnable inputOfIncarnation = () -> {
                if (alive && incarnation == ownIncarnation) {
                    input.run();
                }
            };
            if (now < pausedUntil) {
                heldInput.add(inputOfIncarnation);
            } else {
                inputOfIncarnation.run();
            }
        }

        private void resume() {
            List<Runnable> waiting = List.copyOf(heldInput);
            heldInput.clear();
            readDelay = now - pausedAt;
            waiting.forEach(Runnable::run);
            readDelay = 0;
        }

        private void handle(Event event) {
            control.onEvent(now, event, this::apply);
        }

        private void accept(ClientRequest request) {
            Id.Query id = new Id.Query(++lastQueryId);
            openQueries.put(id, request);
            handle(new Event.Taken(id, new Id.Group(request.group), new Id.Tenant(0), new Id.DataSet(0),
                    Math.max(1, Math.round(request.workTicks * Math.exp(0.4 * random.nextGaussian()))),
                    request.needMb * Math.exp(0.3 * random.nextGaussian()), deadline(request), null));
        }

        private void apply(Action action) {
            if (action instanceof Action.Submit submit) {
                submit(submit);
            } else if (action instanceof Action.StartTimer wakeUp) {
                int ownIncarnation = incarnation;
                schedule(now + wakeUp.delay(), () -> {
                    if (incarnation == ownIncarnation) {
                        deliver(() -> handle(new Event.Woken(wakeUp.timer())));
                    }
                });
            } else if (action instanceof Action.Defer defer) {
                require(defer.retryAfter() <= deployment.capabilities().maxRetryAfter(),
                        "a retry time above the limit");
                require(!executedMutations.contains(defer.query()),
                        "a mutating query that may have run was deferred");
                ClientRequest request = finishQuery(defer.query());
                scheduleRetry(request, now + Math.max(defer.retryAfter(), 5 * TICKS_PER_MS));
            } else if (action instanceof Action.Kill kill) {
                finishQuery(kill.query());
                count("killed");
            }
        }

        private void scheduleRetry(ClientRequest request, long retryAt) {
            if (request.number < FleetSettings.MAX_SUBMISSIONS && retryAt < deadline(request)) {
                retriesPerBin[(int) Math.min(retriesPerBin.length - 1,
                        (retryAt - START_TICKS) / RETRY_BIN_TICKS)]++;
                schedule(retryAt, () ->
                        dispatch(new ClientRequest(request.group, request.workTicks, request.needMb,
                        request.firstSentAt, request.number + 1), this));
            }
        }

        private void submit(Action.Submit submit) {
            ClientRequest request = openQueries.get(submit.query());
            int number = submissionCounts.merge(submit.query(), 1, Integer::sum) - 1;
            require(request != null && !answered.contains(submit.query()),
                    "a submission for a query that has ended");
            require(!runningSubmissions.containsKey(submit.query()), "two submissions at once");
            require(number < deployment.capabilities().maxSubmissions(), "more submissions than the limit");
            Engine engine = engines.stream().filter(e -> submit.engine().address().equals(e.id)).findAny()
                    .orElse(null);
            long offSince = unavailableSince.getOrDefault(submit.engine(), Long.MAX_VALUE);
            require(offSince > now - FleetSettings.DRAIN_GRACE_MS * TICKS_PER_MS, "a submission to "
                    + submit.engine().address() + ", which is listed as unavailable");
            Submission submission = new Submission(this, submit.query(), number, engine, now);
            runningSubmissions.put(submit.query(), submission);
            Entry cut = engine == null ? null : activeCut(index, engine.index);
            if (engine == null || engine.health == Health.GONE
                    || cut != null && cut.type() == EntryType.REFUSE) {
                schedule(now + TICKS_PER_MS, () -> returnOutcome(submission, Outcome.UNREACHABLE, 0));
            } else if (cut != null && cut.type() != EntryType.CUT_BACK) {
                // An open connection accepts commands silently; once the front drops it, dials time out.
                if (now - lastHeardAt.getOrDefault(submit.engine(), 0L) > TICKS_PER_SECOND
                        + FleetSettings.CONNECT_TIMEOUT_MS * TICKS_PER_MS) {
                    schedule(now + FleetSettings.CONNECT_TIMEOUT_MS * TICKS_PER_MS,
                            () -> returnOutcome(submission, Outcome.UNREACHABLE, 0));
                } else {
                    schedule(cut.endTicks(), () -> arriveAtEngine(submission, request));
                }
            } else {
                Entry delay = activeLinkFault(EntryType.DELAY, index, engine.index);
                schedule(now + TICKS_PER_MS / 2 + (delay == null ? 0 : delay.byTicks()),
                        () -> arriveAtEngine(submission, request));
            }
        }

        private void arriveAtEngine(Submission submission, ClientRequest request) {
            Engine engine = submission.engine;
            if (engine.health == Health.GONE) {
                returnOutcome(submission, Outcome.UNREACHABLE, 0);
                return;
            }
            boolean fails = activeEntry(EntryType.FAIL, engine.index) != null;
            if (!fails) {
                engine.checkColdArrival(request.workTicks, meanWorkTicks());
                submission.execution = engine.model.start(submission, request.workTicks, request.needMb,
                        FleetSettings.THREADS_PER_QUERY[request.group], now);
                if (submission.execution == null) {
                    returnOutcome(submission, Outcome.TURNED_AWAY, 0);
                    return;
                }
            }
            // A submission of a front that has crashed meanwhile is not checked.
            require(request.group != FleetSettings.MUTATING_GROUP
                    || submission.frontIncarnation != incarnation
                    || executedMutations.add(submission.query), "a mutating query ran twice");
            if (fails) {
                returnOutcome(submission, Outcome.ERROR, 0);
            }
        }

        /** Sends the outcome of a submission back to the front, under the faults of the link. */
        private void returnOutcome(Submission submission, Outcome outcome, double workTicks) {
            Entry cut = submission.engine == null ? null : activeCut(index, submission.engine.index);
            if (cut != null && cut.type() != EntryType.CUT_THERE && cut.type() != EntryType.REFUSE
                    && outcome != Outcome.UNREACHABLE) {
                schedule(cut.endTicks(), () -> returnOutcome(submission, outcome, workTicks));
                return;
            }
            Entry delay = submission.engine == null ? null
                    : activeLinkFault(EntryType.DELAY, index, submission.engine.index);
            if (delay != null && outcome != Outcome.UNREACHABLE) {
                schedule(now + delay.byTicks(), () ->
                        deliver(() -> endSubmission(submission, outcome, workTicks)));
            } else {
                deliver(() -> endSubmission(submission, outcome, workTicks));
            }
        }

        private void returnProgress(Submission submission, double share) {
            Entry cut = activeCut(index, submission.engine.index);
            if (submission.frontIncarnation == incarnation
                    && (cut == null || cut.type() == EntryType.CUT_THERE)) {
                deliver(() -> {
                    if (runningSubmissions.get(submission.query) == submission) {
                        lastHeardAt.put(new Id.Engine(submission.engine.id), now);
                        handle(new Event.ShareDone(submission.query, new Id.Submission(submission.number),
                                share, readDelay));
                    }
                });
            }
        }

        private void endSubmission(Submission submission, Outcome outcome, double workTicks) {
            if (submission.frontIncarnation != incarnation
                    || !runningSubmissions.remove(submission.query, submission)) {
                return;
            }
            ClientRequest request = openQueries.get(submission.query);
            if (outcome == Outcome.FINISHED && answered.add(submission.query)) {
                boolean inTime = now - request.firstSentAt
                        <= FleetSettings.targetRuntimeTicks(request.group, request.workTicks / TICKS_PER_MS);
                served[secondOf(request.firstSentAt)] += inTime
                        ? FleetSettings.VALUE_PER_GROUP[request.group] : 0;
                count(inTime ? "in time" : "late");
            }
            boolean answeredByEngine = outcome == Outcome.FINISHED || outcome == Outcome.ERROR;
            if (answeredByEngine) {
                lastHeardAt.put(new Id.Engine(submission.engine.id), now);
                if (activeEntry(EntryType.MUTE, submission.engine.index) == null) {
                    handle(new Event.LoadReported(new Id.Engine(submission.engine.id),
                            activeEntry(EntryType.LIE, submission.engine.index) != null
                                    ? new Load(0, 0, Double.NaN, 0, 0) : submission.engine.model.load()));
                }
            }
            handle(new Event.Closed(submission.query, new Id.Submission(submission.number), outcome,
                    answered.contains(submission.query), now - submission.submittedAt,
                    Math.min(readDelay, now - submission.submittedAt),
                    outcome == Outcome.FINISHED ? Math.round(workTicks) : 0));
            forgetIfEnded(submission.query);
        }

        private ClientRequest finishQuery(Id.Query id) {
            require(openQueries.containsKey(id) && answered.add(id), "two final answers");
            ClientRequest request = openQueries.get(id);
            forgetIfEnded(id);
            return request;
        }

        private void forgetIfEnded(Id.Query id) {
            if (answered.contains(id) && !runningSubmissions.containsKey(id)) {
                openQueries.remove(id);
                submissionCounts.remove(id);
                answered.remove(id);
                executedMutations.remove(id);
            }
        }

        private void step() {
            if (!alive || now < pausedUntil) {
                return;
            }
            for (Submission submission : List.copyOf(runningSubmissions.values())) {
                if (now >= deadline(openQueries.get(submission.query))) {
                    endSubmission(submission, Outcome.TIMED_OUT, 0);
                }
            }
            long grace = ANSWER_GRACE_TICKS + Math.max(0, now - pausedUntil < TICKS_PER_SECOND / 4
                    ? TICKS_PER_SECOND : 0);
            openQueries.forEach((id, request) ->
                    require(answered.contains(id) || now <= deadline(request) + grace,
                    "no final answer in time"));
        }

        private void receiveListing(Event.Listing listing) {
            deliver(() -> {
                if (listing.health() == Health.UP) {
                    unavailableSince.remove(listing.engine());
                } else {
                    unavailableSince.putIfAbsent(listing.engine(), now);
                }
                handle(new Event.EnginesListed(Event.ListKind.CHANGES, List.of(listing)));
            });
        }

        /** Breaks all connections to an engine. */
        private void breakConnections(int engine) {
            for (Submission submission : List.copyOf(runningSubmissions.values())) {
                if (submission.engine != null && submission.engine.index == engine) {
                    deliver(() -> endSubmission(submission, Outcome.BROKEN, 0));
                }
            }
        }
    }

    public VirtualFleet(Timetable timetable, long seed) {
        this.timetable = timetable;
        this.seed = seed;
        this.deployment = FleetSettings.deployment(timetable);
        this.random = new SplittableRandom(seed);
        this.now = START_TICKS;
        int seconds = (int) ((timetable.lengthTicks() + timetable.settleTicks()) / TICKS_PER_SECOND) + 2;
        this.offered = new double[seconds];
        this.served = new double[seconds];
        this.pagingEngines = new double[seconds];
        this.retriesPerBin = new int[(int) ((seconds + 10) * TICKS_PER_SECOND / RETRY_BIN_TICKS)];
        IntStream.range(0, timetable.engines()).forEach(k -> engines.add(new Engine(k)));
        IntStream.range(0, timetable.fronts()).forEach(k -> fronts.add(new Front(k)));
        fronts.forEach(Front::start);
    }

    /** The number of submissions that reached cold engines. */
    public int coldArrivals() {
        return coldArrivals;
    }

    /** Plays the whole timetable, and the settling time in which open queries end. */
    public VirtualFleet play() {
        for (Entry entry : timetable.entries()) {
            affectedFronts.put(entry, timetable.frontsOf(entry, seed));
            affectedEngines.put(entry, timetable.enginesOf(entry, seed));
            schedule(START_TICKS + entry.startTicks(), () -> beginEntry(entry));
            schedule(START_TICKS + entry.endTicks(), () -> endEntry(entry));
        }
        double[] queryShares = IntStream.range(0, timetable.fronts()).mapToDouble(timetable::queryShare)
                .toArray();
        long end = START_TICKS + timetable.lengthTicks() + timetable.settleTicks();
        while (now < end) {
            now += STEP_TICKS;
            if (now < START_TICKS + timetable.lengthTicks()) {
                double rate = timetable.queriesPerSecond() * activeFactor(EntryType.BURST, -1) * STEP_TICKS
                        / TICKS_PER_SECOND;
                for (int k = (int) rate + (random.nextDouble() < rate % 1 ? 1 : 0); k > 0; k--) {
                    sendNewQuery(queryShares);
                }
            }
            while (!dueTasks.isEmpty() && dueTasks.peek().dueAt <= now) {
                dueTasks.poll().task.run();
            }
            engines.forEach(Engine::step);
            fronts.forEach(Front::step);
            pagingEngines[secondOf(now)] += engines.stream().filter(e -> e.model.memoryUtilization() > 1)
                    .count()
                    * (double) STEP_TICKS / TICKS_PER_SECOND;
        }
        return this;
    }

    private void sendNewQuery(double[] queryShares) {
        int group = timetable.mix().group(random);
        double draw = random.nextDouble();
        int front = 0;
        while (front < queryShares.length - 1 && (draw -= queryShares[front]) >= 0) {
            front++;
        }
        offered[secondOf(now)] += FleetSettings.VALUE_PER_GROUP[group];
        count("asked");
        dispatch(new ClientRequest(group, TICKS_PER_MS * timetable.mix().workMs(group, random),
                timetable.mix().needMb(group, random), now, 1), fronts.get(front));
    }

    private void dispatch(ClientRequest request, Front preferredFront) {
        Front candidate = preferredFront;
        // The load balancer switches to another front once it has noticed the failure.
        for (int k = 0; k < fronts.size() && !candidate.alive; k++) {
            if (candidate.crashedAt > now - BALANCER_NOTICES_TICKS) {
                count("met a dead front");
                return;
            }
            candidate = fronts.get(random.nextInt(fronts.size()));
        }
        Front chosenFront = candidate;
        if (chosenFront.alive && deadline(request) > now) {
            chosenFront.deliver(() -> chosenFront.accept(request));
        }
    }

    private void schedule(long time, Runnable task) {
        dueTasks.add(new DueTask(time, nextSequence++, task));
    }

    private Entry activeEntry(EntryType type, int engine) {
        return timetable.entries().stream().filter(e -> e.type() == type && isActive(e)
                && affectedEngines.get(e).contains(engine)).findAny().orElse(null);
    }

    private boolean isActive(Entry e) {
        return affectedEngines.containsKey(e) && now >= START_TICKS + e.startTicks()
                && now < START_TICKS + e.endTicks();
    }

    private double activeFactor(EntryType type, int engine) {
        return timetable.entries().stream().filter(e -> e.type() == type && isActive(e)
                && (engine < 0 || affectedEngines.get(e).contains(engine))).mapToDouble(Entry::times).max()
                        .orElse(1);
    }

    private Entry activeLinkFault(EntryType type, int front, int engine) {
        return timetable.entries().stream().filter(e -> e.type() == type && e.link() == Timetable.Link.ENGINE
                && isActive(e)
                && affectedFronts.get(e).contains(front) && affectedEngines.get(e).contains(engine)).findAny()
                        .orElse(null);
    }

    /** The active fault that cuts the link between front and engine, with times on the fleet's clock. */
    private Entry activeCut(int front, int engine) {
        for (EntryType type : List.of(EntryType.REFUSE, EntryType.CUT, EntryType.CUT_THERE,
                EntryType.CUT_BACK)) {
            Entry entry = activeLinkFault(type, front, engine);
            if (entry != null) {
                return new Entry(entry.title(), START_TICKS + entry.startTicks(), entry.spanTicks(), type,
                        entry.link(), "all", "all", 0, 1, 0);
            }
        }
        return null;
    }

    private void beginEntry(Entry entry) {
        Set<Integer> frontIndexes = affectedFronts.get(entry);
        Set<Integer> engineIndexes = affectedEngines.get(entry);
        switch (entry.type()) {
            case KILL, LEAVE -> frontIndexes.forEach(k -> {
                fronts.get(k).crash();
                fronts.get(k).crashedAt = now;
            });
            case STOP -> frontIndexes.forEach(k -> {
                fronts.get(k).pausedAt = now;
                fronts.get(k).pausedUntil = START_TICKS + entry.endTicks();
            });
            case REFUSE, RESET, HALF_OPEN -> {
                if (entry.link() == Timetable.Link.ENGINE) {
                    frontIndexes.forEach(f -> engineIndexes.forEach(e -> fronts.get(f).breakConnections(e)));
                }
            }
            case SLOW -> engineIndexes.forEach(e -> engines.get(e).model.slowdown(entry.times()));
            case REPLACE -> {
                int k = 0;
                for (int e : engineIndexes) {
                    schedule(now + entry.spanTicks() * k++ / Math.max(1, engineIndexes.size()),
                            () -> replaceEngine(engines.get(e)));
                }
            }
            default -> {
                // evaluated where the fault applies
            }
        }
    }

    private void endEntry(Entry entry) {
        switch (entry.type()) {
            case KILL, LEAVE -> affectedFronts.get(entry).forEach(k -> fronts.get(k).start());
            case STOP -> affectedFronts.get(entry).forEach(k -> fronts.get(k).resume());
            case SLOW -> affectedEngines.get(entry).forEach(e -> engines.get(e).model.slowdown(1));
            default -> {
                // ends by itself
            }
        }
    }

    private void replaceEngine(Engine engine) {
        engine.health = Health.DRAINING;
        announceHealth(engine.listing());
        schedule(now + TICKS_PER_SECOND, () -> {
            engine.health = Health.GONE;
            announceHealth(engine.listing());
            for (EngineModel.Execution execution : List.copyOf(engine.model.executions())) {
                Submission submission = (Submission) execution.owner;
                submission.front.returnOutcome(submission, Outcome.BROKEN, 0);
            }
            engine.model.dropAll();
            schedule(now + TICKS_PER_SECOND / 5, () -> {
                engine.start(now);
                announceHealth(engine.listing());
            });
        });
    }

    private void announceHealth(Event.Listing listing) {
        for (Front front : fronts) {
            long lag = random.nextLong(LIST_DELAY_SPREAD_TICKS);
            for (Entry e : timetable.entries()) {
                lag += e.type() == EntryType.LATE_LIST && isActive(e)
                        && affectedFronts.get(e).contains(front.index)
                        ? random.nextLong(Math.max(1, e.byTicks())) : 0;
            }
            schedule(now + lag, () -> {
                if (front.alive) {
                    front.receiveListing(listing);
                }
            });
        }
    }

    private double meanWorkTicks() {
        return TICKS_PER_MS * timetable.mix().meanWorkMs();
    }

    private int secondOf(long time) {
        return (int) ((time - START_TICKS) / TICKS_PER_SECOND);
    }

    private long deadline(ClientRequest request) {
        return request.firstSentAt + TICKS_PER_MS * FleetSettings.patienceMs(timetable, request.group);
    }

    private void count(String event) {
        eventCounts.merge(event, 1, Integer::sum);
    }

    private void require(boolean holds, String breach) {
        Rig.require(holds, breach + " (" + timetable + ", seed " + seed + ", at "
                + (now - START_TICKS) / TICKS_PER_MS + " ms)");
    }

    // ---- results

    /** The share of the value offered in these seconds that was answered within its target runtime. */
    public double served(int from, int to) {
        return IntStream.range(from, to).mapToDouble(k -> served[k]).sum()
                / IntStream.range(from, to).mapToDouble(k -> offered[k]).sum();
    }

    public double served() {
        return served(0, (int) (timetable.lengthTicks() / TICKS_PER_SECOND));
    }

    /** The mean number of engines with overcommitted memory over these seconds. */
    public double pagingEngines(int from, int to) {
        return IntStream.range(from, to).mapToDouble(k -> pagingEngines[k]).sum() / (to - from);
    }

    /** The threads per core of the busiest engine over the whole run, as a ratio of the mean of all. */
    public double busiestRatio() {
        double[] each = engines.stream().mapToDouble(e -> e.threadsSum / e.model.cores()).toArray();
        return Arrays.stream(each).max().orElse(0) / Arrays.stream(each).average().orElse(1);
    }

    /** The threads per core of the idlest engine over the whole run, as a ratio of the mean of all. */
    public double idlestRatio() {
        double[] each = engines.stream().mapToDouble(e -> e.threadsSum / e.model.cores()).toArray();
        return Arrays.stream(each).min().orElse(0) / Arrays.stream(each).average().orElse(1);
    }

    /** The threads per core of all engines of that size, as a ratio of the mean of all. */
    public double loadRatioOfSize(double cores) {
        double own = engines.stream().filter(e -> e.model.cores() == cores).mapToDouble(e ->
                e.threadsSum).sum()
                / engines.stream().filter(e -> e.model.cores() == cores).mapToDouble(e -> e.model.cores())
                        .sum();
        return own * engines.stream().mapToDouble(e -> e.model.cores()).sum()
                / engines.stream().mapToDouble(e -> e.threadsSum).sum();
    }

    /** The highest number of threads per core on any engine. */
    public double maxThreadsPerCore() {
        return engines.stream().mapToDouble(e -> e.maxThreads / e.model.cores()).max().orElse(0);
    }

    /** The highest number of client retries within 100 ms. */
    public int peakRetries() {
        return Arrays.stream(retriesPerBin).max().orElse(0);
    }

    public Map<String, Integer> counts() {
        return eventCounts;
    }
}
