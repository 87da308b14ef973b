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
import java.util.function.Predicate;
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
 * Makes all scheduling decisions of one front: admission, choice of engine, resubmission, load shedding and
 * final answers. Create one when the front starts, then pass each event to {@link #onEvent} with its time of
 * arrival; the resulting actions are passed to the consumer, in order, before the call returns. The interface
 * is the package {@code reedspring.api}: {@link Event} as input, {@link Action} as output, {@link Deployment}
 * as configuration. Does no I/O and reads no clock. Not thread-safe. Times are in ticks: whole tenths of a
 * millisecond. The reasons for the algorithms are in docs/design.md.
 *
 * <p>The work is divided among actors: the scheduler (queues, concurrency limit and final answers), one for
 * each engine and one account for each tenant. They communicate only by messages in their inboxes, and an
 * engine's entries in the per-engine arrays are written only by its own actor.
 */
public final class Control {
    private static final long TICKS_PER_MS = 10;
    private static final long TICKS_PER_SECOND = 1000 * TICKS_PER_MS;

    // Queueing and dispatch, as specified in docs/design.md.
    private static final long USAGE_WINDOW_TICKS = 20 * TICKS_PER_SECOND;
    private static final int USAGE_WINDOW_SLOTS = 20;
    private static final int MAX_HEAD_RESCORES = 2;
    private static final int MAX_QUEUED_FOR_FULL_RESCORE = 64;
    private static final double THREADS_PER_CORE = 2;

    private static final double MAX_GROUP_THREADS_RATIO = 0.75;
    // Adaptation of the concurrency limit. Below half of the initial limit an engine's cores would idle with
    // any mix of queries.
    private static final double LOW_LOAD_RATIO = 0.6;
    private static final double MIN_LIMIT_RATIO = 0.6;
    private static final double TOLERATED_SLOWDOWN_RATIO = 1.1;
    private static final double MAX_LOG_SLOWDOWN_STEP = 0.7;
    private static final long CALIBRATION_TICKS = 3 * TICKS_PER_SECOND;
    private static final long ARRIVALS_WINDOW_TICKS = 5 * TICKS_PER_SECOND;
    private static final double ARRIVAL_SHARE_RATIO = 0.6;
    // A front's share may be as small as one or two long queries. Enforced strictly, it leaves engines idle
    // while queries wait, so unused capacity, up to that of one long query, is credited for later. The
    // fronts' total stays the same on average, but in a burst all of them may spend their credit at once.
    // Less of the memory is credited, as an engine takes long to recover from too little memory.
    private static final double MAX_THREAD_CREDIT_RATIO = 1;
    private static final double MAX_MEMORY_CREDIT_RATIO = 0.5;
    private static final double MAX_MEMORY_RATIO = 0.8;
    private static final double MEMORY_MARGIN_SIGMAS = 2;
    private static final double MAX_QUERY_MEMORY_RATIO = 0.5;

    // Outlier ejection. At most half of the engines may be ejected: if more look unhealthy, the cause is
    // unlikely to be the engines.
    private static final double MAX_EJECTED_RATIO = 0.5;
    private static final double EJECTION_ERROR_RATE = 0.55;
    private static final Set<Outcome> ERROR_OUTCOMES =
            Set.of(Outcome.ERROR, Outcome.BROKEN, Outcome.UNREACHABLE, Outcome.TURNED_AWAY);
    private static final long MIN_EJECTION_TICKS = TICKS_PER_SECOND / 2;
    private static final long MAX_EJECTION_TICKS = 4 * TICKS_PER_SECOND;
    private static final long MIN_SILENCE_TICKS = TICKS_PER_SECOND;
    private static final long OVERDUE_GRACE_TICKS = 300 * TICKS_PER_MS;
    // A thrashing engine is probed less often, because a probe query gets stuck on it.
    private static final long MIN_THRASHING_EJECTION_TICKS = 5 * TICKS_PER_SECOND;
    private static final long MAX_THRASHING_EJECTION_TICKS = 20 * TICKS_PER_SECOND;
    // With few queries and many ejected engines, every query would otherwise become a probe.
    private static final int MIN_ARRIVALS_PER_PROBE = 8;
    private static final double TOLERATED_ENGINE_SLOWDOWN_RATIO = 1.4;
    private static final long MAX_ABANDONED_RUN_TICKS = 10 * TICKS_PER_SECOND;

    // Added to an engine's load so that it is chosen only if there is no other.
    private static final double LAST_RESORT_PENALTY = 1e6;

    private static final long PERIOD_TICKS = 25 * TICKS_PER_MS;
    // A final answer is sent this long before the client stops waiting for it.
    private static final long ANSWER_MARGIN_TICKS = 60 * TICKS_PER_MS;
    // Upper bound of the time from the departure of a submission to its arrival at the engine.
    private static final long MAX_TRANSIT_TICKS = 20 * TICKS_PER_MS;
    private static final Id.Timer PERIODIC_TIMER = new Id.Timer(1);

    private final Deployment deployment;
    private final Spread spread;
    // One entry for each message that has not been handled, in the order in which they were posted.
    private final ArrayDeque<Actor> pendingActors = new ArrayDeque<>();
    private final Scheduler scheduler;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<Id.Engine, Engine> enginesById = new HashMap<>();
    // Rows of engines that have left the list; queries and abandoned runs may still refer to them.
    private final BitSet removedRows = new BitSet();
    // By the tenant's index; the last one is for queries without a known tenant.
    private final TenantAccount[] tenantAccounts;
    private Consumer<Action> actionSink;
    private final long createdAt;
    private double medianLogSlowdown;
    private double medianErrorRate;
    private long now;

    // Per-engine state, indexed by the engine's row: a dense index that is reused after the engine has gone.
    // The "own" values count only this front's submissions. The slowdown is the ratio of measured thread time
    // to the work of the query; it is kept as its natural logarithm, NaN as long as none was measured.
    private double[] cores = new double[8];
    private double[] memoryMb = new double[8];
    private int[] ownThreads = new int[8];
    private double[] ownMemoryMb = new double[8];
    private int[] ownQueries = new int[8];
    private boolean[] up = new boolean[8];
    private long[] engineStartedAt = new long[8];
    private double[] engineLogSlowdown = new double[8];
    private double[] errorRate = new double[8];
    private boolean[] ejected = new boolean[8];

    public Control(long seed, Deployment deployment, long now, Consumer<Action> actions) {
        this.deployment = deployment;
        this.spread = new Spread(seed, deployment, now);
        this.scheduler = new Scheduler();
        this.tenantAccounts = new TenantAccount[deployment.tenants().size() + 1];
        Arrays.setAll(tenantAccounts, TenantAccount::new);
        this.now = now;
        this.createdAt = now;
        this.actionSink = actions;
        if (deployment.discovery().mustSubscribe()) {
            actions.accept(new Action.SubscribeToEngines());
        }
        actions.accept(new Action.StartTimer(PERIODIC_TIMER, spread.firstDelay(PERIOD_TICKS)));
    }

    /** Handles one event that arrived at the given time and emits the resulting actions. */
    public void onEvent(long time, Event event, Consumer<Action> actions) {
        now = Math.max(now, time);
        actionSink = actions;
        if (event instanceof Event.EnginesListed enginesListed) {
            updateEngines(enginesListed);
        } else if (event instanceof Event.Closed closed) {
            Query q = scheduler.queries.get(closed.query());
            if (q != null && q.runningOn >= 0 && q.submissions - 1 == closed.submission().value()) {
                post(engines.get(q.runningOn), engine -> engine.onClosed(q, closed));
            }
        } else if (event instanceof Event.ShareDone progress) {
            Query q = scheduler.queries.get(progress.query());
            if (q != null && q.runningOn >= 0 && q.submissions - 1 == progress.submission().value()) {
                post(engines.get(q.runningOn), engine -> engine.onProgress(q, progress));
            }
        } else if (event instanceof Event.LoadReported report) {
            Engine engine = enginesById.get(report.engine());
            if (engine != null) {
                post(engine, actor -> spread.loadReported(actor.row, report.load(), now));
            }
        } else {
            post(scheduler, actor -> actor.onEvent(event));
        }
        for (Actor actor = pendingActors.poll(); actor != null; actor = pendingActors.poll()) {
            actor.inbox.poll().run();
        }
    }

    // ---- actors and messages

    /** A part of the state that is changed only by the messages in its inbox. */
    private abstract static class Actor {
        final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    }

    /** Queues a message; messages are handled in the order in which they were posted. */
    private <P extends Actor> void post(P actor, Consumer<P> message) {
        actor.inbox.add(() -> message.accept(actor));
        pendingActors.add(actor);
    }

    /**
     * A query, kept from its arrival until it has its final answer and no submission is outstanding. Engines
     * are named by their rows, -1 for none.
     */
    private static final class Query {
        private Id.Query id;
        private int group;
        private int tenant;
        private Id.OrderKey key;
        private Id.DataSet dataSet;
        private long arrivalNumber;
        private long clientDeadline;
        private long targetDeadline;
        private boolean hasEstimate;
        // Estimated thread time on an unloaded engine, in ticks.
        private double work;
        private double needMb;
        private int threads;
        private int submissions;
        private int runningOn = -1;
        private int lastSentTo = -1;
        private long sentAt;
        private int failedOn = -1;
        private boolean answered;
        private boolean streaming;
        private boolean cancelled;
        private long progressAt;
        // How much earlier the last progress report may have arrived than it was read.
        private long progressUncertainty;
        // The completed fraction by the last progress report.
        private double progress;
        private long overdueAt = Long.MAX_VALUE;
        // The first submission that may have run: its engine, and when it was sent.
        private int firstRanOn = -1;
        private long firstRanSince;
        private boolean mayStillRun;
        // Its resources were released before the submission ended.
        private boolean writtenOff;
        private boolean waitsForMemory;
        private boolean missesTarget;
    }

    // ---- engines

    private void updateEngines(Event.EnginesListed list) {
        if (list.kind() != Event.ListKind.CHANGES) {
            Set<Id.Engine> listedIds = list.entries().stream().map(Event.Listing::engine)
                    .collect(Collectors.toSet());
            engines.stream().filter(engine -> !engine.gone && !listedIds.contains(engine.id))
                    .forEach(engine -> post(engine, actor -> actor.onListed(new Event.Listing(actor.id,
                            actor.kind, actor.zone, actor.cell, Event.Health.GONE, 0))));
        }
        PrimitiveIterator.OfInt reusable = null;
        for (Event.Listing listing : list.entries()) {
            Engine engine = enginesById.get(listing.engine());
            if (engine == null && listing.health() != Event.Health.GONE) {
                // No other row becomes reusable before the messages to the engines are handled.
                reusable = reusable == null ? reusableRows(list.entries()) : reusable;
                engine = new Engine(listing, reusable.hasNext() ? reusable.nextInt() : engines.size());
                if (engine.row < engines.size()) {
                    enginesById.remove(engines.set(engine.row, engine).id);
                } else {
                    engines.add(engine);
                }
                enginesById.put(engine.id, engine);
            }
            if (engine != null) {
                post(engine, actor -> actor.onListed(listing));
            }
        }
        post(scheduler, Scheduler::dispatch);
    }

    /**
     * Rows that nothing refers to any more, in ascending order. They are reused, because engines come and go
     * during the life of a front.
     */
    private PrimitiveIterator.OfInt reusableRows(List<Event.Listing> listings) {
        BitSet reusable = new BitSet();
        removedRows.stream()
                .filter(row -> ownQueries[row] == 0 && engines.get(row).abandonedRuns.isEmpty())
                .forEach(reusable::set);
        if (!reusable.isEmpty()) {
            scheduler.queries.values().forEach(q ->
                    IntStream.of(q.failedOn, q.firstRanOn).filter(row -> row >= 0).forEach(reusable::clear));
            // An engine that returns with this list keeps its row, which a new engine must not take.
            listings.stream()
                    .filter(listing -> listing.health() != Event.Health.GONE
                            && enginesById.containsKey(listing.engine()))
                    .forEach(listing -> reusable.clear(enginesById.get(listing.engine()).row));
        }
        return reusable.stream().iterator();
    }

    /** The number of rows, queries and order keys held in memory, for checks against leaks. */
    int heldEntries() {
        return engines.size() + scheduler.queries.size() + scheduler.keyQueues.size();
    }

    /** A timed-out submission that presumably still runs, on an engine that does not support cancellation. */
    private record AbandonedRun(long until, int threads, double needMb) { }

    /** One engine: sends submissions to it, tracks its health and maintains its row. */
    private final class Engine extends Actor {
        private final int row;
        private final Id.Engine id;
        private Id.Kind kind;
        private Id.Zone zone;
        private Id.Cell cell;
        private boolean gone;
        private long ejectionTicks = MIN_EJECTION_TICKS;
        private long maxEjectionTicks = MAX_EJECTION_TICKS;
        private long ejectedUntil;
        private long lastReceivedAt;
        // When a query last finished here in about its expected runtime.
        private long lastTimelyFinishAt = Long.MIN_VALUE;
        private final List<AbandonedRun> abandonedRuns = new ArrayList<>();

        Engine(Event.Listing listing, int row) {
            this.row = row;
            this.id = listing.engine();
            if (row == cores.length) {
                growRows(row * 2);
            }
            engineLogSlowdown[row] = Double.NaN;
            engineStartedAt[row] = 0;
            errorRate[row] = 0;
            ejected[row] = false;
        }

        private void onProgress(Query q, Event.ShareDone progress) {
            lastReceivedAt = now;
            post(scheduler, actor -> actor.onProgress(q, progress));
        }

        private void onListed(Event.Listing listing) {
            kind = listing.kind();
            zone = listing.zone();
            cell = listing.cell();
            up[row] = listing.health() == Event.Health.UP;
            gone = listing.health() == Event.Health.GONE;
            removedRows.set(row, gone);
            Deployment.Machine machine = deployment.machines().get(kind);
            // An engine of unknown size is assumed to have the mean number of cores of the known kinds or, if
            // none is known, as many cores as the widest query has threads.
            cores[row] = machine != null && machine.cores() > 0 ? machine.cores()
                    : deployment.machines().values().stream().mapToDouble(Deployment.Machine::cores)
                            .filter(c -> c > 0).average().orElse(scheduler.maxQueryThreads);
            memoryMb[row] = machine == null ? 0 : machine.memoryMb();
            spread.engineListed(row, id, cores[row], up[row]);
            if (listing.startedAt() != engineStartedAt[row] && up[row]) {
                // The process is new: what ran on its predecessor and the statistics of that do not apply.
                releaseAbandonedRuns(run -> true);
                engineStartedAt[row] = listing.startedAt();
                engineLogSlowdown[row] = Double.NaN;
                errorRate[row] = 0;
                ejected[row] = false;
                ejectionTicks = MIN_EJECTION_TICKS;
                maxEjectionTicks = MAX_EJECTION_TICKS;
                spread.engineRestarted(row, now);
            }
        }

        private void send(Query q) {
            if (ownQueries[row] == 0) {
                lastReceivedAt = now;
            }
            ownThreads[row] += q.threads;
            ownMemoryMb[row] += q.needMb;
            ownQueries[row]++;
            spread.submissionSent(row, scheduler.typicalWork[q.group] / scheduler.lightestWork());
            if (deployment.capabilities().priorities()
                    && q.work / q.threads < deployment.groups().get(q.group).targetBase() / 2.0) {
                actionSink.accept(new Action.SetPriority(q.id, 2));
            }
            actionSink.accept(new Action.Submit(q.id, id, 0, scheduler.latestSendAt(q)));
        }

        private void onClosed(Query q, Event.Closed closed) {
            lastReceivedAt = now;
            Outcome outcome = closed.outcome();
            ownQueries[row]--;
            spread.submissionEnded(row, closed.elapsed());
            if (outcome == Outcome.TIMED_OUT && !deployment.capabilities().cancel() && !q.writtenOff) {
                double expectedTicks = q.work / q.threads
                        * Math.exp(Double.isNaN(engineLogSlowdown[row]) ? 0 : engineLogSlowdown[row]);
                long remainingTicks = (long) Math.min(MAX_ABANDONED_RUN_TICKS,
                        Math.max(expectedTicks - closed.elapsed(), closed.elapsed()));
                abandonedRuns.add(new AbandonedRun(now + remainingTicks, q.threads, q.needMb));
            } else if (!q.writtenOff) {
                releaseResources(q);
            }
            boolean isError = ERROR_OUTCOMES.contains(outcome);
            if (outcome == Outcome.FINISHED) {
                errorRate[row] *= ejected[row] ? 0.5 : 0.75;
                lastTimelyFinishAt = closed.elapsed() - closed.arrivalUncertainty()
                        <= 2 * scheduler.expectedRuntime(q) + OVERDUE_GRACE_TICKS ? now : lastTimelyFinishAt;
                updateSlowdown(closed, q, closed.work() > 0 ? closed.work() : q.work);
            } else if (isError) {
                errorRate[row] = Math.max(errorRate[row] + 0.25 * (1 - errorRate[row]),
                        outcome == Outcome.UNREACHABLE ? EJECTION_ERROR_RATE : 0);
            } else if (outcome == Outcome.TIMED_OUT
                    && (closed.elapsed() - closed.arrivalUncertainty()) * q.threads > q.work) {
                updateSlowdown(closed, q, q.work);
            }
            boolean failsTooOften = errorRate[row] >= EJECTION_ERROR_RATE
                    && errorRate[row] > 2 * median(errorRate);
            if (!ejected[row] && failsTooOften) {
                eject("fails");
            } else if (ejected[row] && outcome == Outcome.FINISHED && !failsTooOften) {
                ejected[row] = false;
                ejectionTicks = MIN_EJECTION_TICKS;
                maxEjectionTicks = MAX_EJECTION_TICKS;
                actionSink.accept(new Action.LogMessage("engine " + id.address() + " is back"));
            } else if (ejected[row]) {
                ejectionTicks = isError || outcome == Outcome.TIMED_OUT
                        ? Math.min(maxEjectionTicks, ejectionTicks * 2)
                        : ejectionTicks;
                ejectedUntil = now + spread.probeDelay(row, ejectionTicks, scheduler.lightestWork());
            }
            post(scheduler, actor -> actor.onClosed(q, closed));
        }

        private void releaseAbandonedRuns(Predicate<AbandonedRun> ended) {
            abandonedRuns.removeIf(run -> {
                if (!ended.test(run)) {
                    return false;
                }
                ownThreads[row] -= run.threads();
                ownMemoryMb[row] -= run.needMb();
                return true;
            });
        }

        private void releaseResources(Query q) {
            ownThreads[row] -= q.threads;
            // Reset to 0 when the engine is free: a rounding error could keep a large query out.
            ownMemoryMb[row] = ownThreads[row] <= 0 ? 0 : ownMemoryMb[row] - q.needMb;
        }

        private void updateSlowdown(Event.Closed closed, Query q, double work) {
            if (work > 0 && closed.elapsed() > 0) {
                double previous = Double.isNaN(engineLogSlowdown[row]) ? medianLogSlowdown
                        : engineLogSlowdown[row];
                double observed = Math.max(-1.5,
                        Math.min(3, observedLogSlowdown(previous,
                                (closed.elapsed() - closed.arrivalUncertainty()) * q.threads,
                                closed.elapsed() * q.threads, work)));
                engineLogSlowdown[row] = Double.isNaN(engineLogSlowdown[row]) ? Math.min(observed, 0.7)
                        : engineLogSlowdown[row] + 0.15 * (observed - engineLogSlowdown[row]);
            }
        }

        /**
         * Drops abandoned runs that should have ended, and ejects the engine if it holds several stalled
         * queries and has sent nothing for a while.
         */
        private void runPeriodicChecks() {
            releaseAbandonedRuns(run -> now >= run.until());
            if (!ejected[row] && now - lastReceivedAt >= Math.max(MIN_SILENCE_TICKS,
                    deployment.progressInterval() * 5 / 4)
                    && scheduler.queries.values().stream()
                            .filter(q -> q.runningOn == row && scheduler.isStalled(q)).count() > 1) {
                eject("is silent");
            }
        }

        /**
         * Ejects the engine if it appears to be thrashing: with its memory full it swaps and finishes
         * nothing, although its progress reports continue. Queries stuck there would use up the concurrency
         * limit while other engines idle. It is ejected only if it has finished nothing in time since the
         * query was sent while more engines have than hold queries that are far overdue.
         */
        private void ejectIfThrashing(Query q, int enginesWithOverdue) {
            if (!ejected[row] && lastTimelyFinishAt < q.sentAt
                    && engines.stream().filter(e -> up[e.row] && e.lastTimelyFinishAt >= q.sentAt).count()
                            > enginesWithOverdue) {
                ejectionTicks = Math.max(ejectionTicks, MIN_THRASHING_EJECTION_TICKS);
                maxEjectionTicks = MAX_THRASHING_EJECTION_TICKS;
                eject("crawls");
            }
        }

        /** Sends the engine nothing but probes for a time, unless too many are ejected already. */
        private void eject(String reason) {
            long upCount = IntStream.range(0, engines.size()).filter(k -> up[k]).count();
            if (sumOverAvailable(k -> 1) - 1 >= upCount * (1 - MAX_EJECTED_RATIO)) {
                ejected[row] = true;
                ejectedUntil = now + spread.probeDelay(row, ejectionTicks, scheduler.lightestWork());
                actionSink.accept(new Action.LogMessage(
                        "engine " + id.address() + " " + reason + ", barred"));
            }
        }
    }

    private void growRows(int size) {
        cores = Arrays.copyOf(cores, size);
        memoryMb = Arrays.copyOf(memoryMb, size);
        ownThreads = Arrays.copyOf(ownThreads, size);
        ownMemoryMb = Arrays.copyOf(ownMemoryMb, size);
        ownQueries = Arrays.copyOf(ownQueries, size);
        up = Arrays.copyOf(up, size);
        engineStartedAt = Arrays.copyOf(engineStartedAt, size);
        engineLogSlowdown = Arrays.copyOf(engineLogSlowdown, size);
        errorRate = Arrays.copyOf(errorRate, size);
        ejected = Arrays.copyOf(ejected, size);
    }

    /** Sums a per-engine value over the engines that are up and not ejected. */
    private double sumOverAvailable(IntToDoubleFunction valueOfRow) {
        return IntStream.range(0, engines.size()).filter(row -> up[row] && !ejected[row])
                .mapToDouble(valueOfRow).sum();
    }

    /** The median over the engines that are up and have a value; 0 if none has. */
    private double median(double[] values) {
        double[] known = IntStream.range(0, engines.size())
                .filter(row -> up[row] && !Double.isNaN(values[row]))
                .mapToDouble(row -> values[row]).sorted().toArray();
        return known.length == 0 ? 0 : known[(known.length - 1) / 2];
    }

    private boolean isCold(int row) {
        return engineStartedAt[row] > 0 && now - engineStartedAt[row] < deployment.coldStart().ramp();
    }

    /**
     * The logarithm of measured thread time divided by work. If the front was stalled itself, the time is
     * known only as a range; the value of that range that is nearest to the current estimate is used, so
     * that the front's own lag is not attributed to an engine.
     */
    private static double observedLogSlowdown(double current, double minTicks, double maxTicks, double work) {
        double divisor = Math.max(1, work);
        return Math.max(Math.log(Math.max(1, minTicks) / divisor),
                Math.min(Math.log(Math.max(1, maxTicks) / divisor), current));
    }

    /** The usable fraction of a cold engine's cores according to the configured ramp; 1 for a warm engine. */
    private double rampFraction(int row) {
        double initial = deployment.coldStart().initialSpeed();
        return !isCold(row) ? 1
                : initial + (1 - initial) * Math.max(0, now - engineStartedAt[row])
                        / deployment.coldStart().ramp();
    }

    /**
     * The expected ratio of thread time to work on the engine: as measured, or else derived from its ramp.
     */
    private double expectedSlowdown(int row) {
        return Double.isNaN(engineLogSlowdown[row]) ? 1 / rampFraction(row)
                : Math.exp(engineLogSlowdown[row]);
    }

    /**
     * The engine's cores, reduced if it is cold, slower than the median engine (or overloaded) or fails more
     * often than it.
     */
    private double effectiveCores(int row) {
        double ratio = rampFraction(row);
        if (!Double.isNaN(engineLogSlowdown[row])) {
            ratio *= Math.max(0.15, Math.min(1,
                    TOLERATED_ENGINE_SLOWDOWN_RATIO / Math.exp(engineLogSlowdown[row] - medianLogSlowdown)));
        }
        return cores[row] * ratio * (1 - Math.max(0, errorRate[row] - medianErrorRate));
    }

    // ---- tenants

    /** A tenant's queue, its recent usage in a sliding window and its query rate. */
    private final class TenantAccount extends Actor {
        private final double[] slots = new double[USAGE_WINDOW_SLOTS];
        private long slot;
        private double usedWork;
        private final double share;
        private final double queriesPerSecond;
        private final ArrayDeque<Query> queue = new ArrayDeque<>();
        private double queueScore;
        private double rateTokens;
        private long refilledAt;

        TenantAccount(int tenant) {
            Deployment.Tenant configured = tenant < deployment.tenants().size()
                    ? deployment.tenants().get(tenant) : null;
            share = configured != null && configured.share() > 0 ? configured.share() : 1;
            queriesPerSecond = configured != null ? configured.queriesPerSecond() / deployment.fronts() : 0;
        }

        private void charge(double work, int queries) {
            usagePerShare();
            overRate();
            rateTokens = Math.max(-2 * queriesPerSecond, rateTokens - queries);
            slots[(int) (slot % USAGE_WINDOW_SLOTS)] += work;
            usedWork += work;
        }

        /** The work done in the window, relative to the tenant's share: the lowest is served first. */
        private double usagePerShare() {
            long current = now / (USAGE_WINDOW_TICKS / USAGE_WINDOW_SLOTS);
            for (slot = Math.max(slot, current - USAGE_WINDOW_SLOTS); slot < current; ) {
                slot++;
                usedWork -= slots[(int) (slot % USAGE_WINDOW_SLOTS)];
                slots[(int) (slot % USAGE_WINDOW_SLOTS)] = 0;
            }
            return usedWork / share;
        }

        /** Whether the tenant exceeds its query rate on this front: a token bucket of two seconds. */
        private boolean overRate() {
            rateTokens = Math.min(2 * queriesPerSecond,
                    rateTokens + queriesPerSecond * (now - refilledAt) / TICKS_PER_SECOND);
            refilledAt = now;
            return queriesPerSecond > 0 && rateTokens < 0;
        }
    }

    // ---- scheduler

    /** Queries with the same order key, which run one at a time in order of arrival. */
    private static final class OrderKeyQueue {
        private final ArrayDeque<Query> queries = new ArrayDeque<>();
        private long blockedUntil;
    }

    /** Queues, the concurrency limit and final answers. */
    private final class Scheduler extends Actor {
        private final Map<Id.Query, Query> queries = new LinkedHashMap<>();
        private final Map<Id.OrderKey, OrderKeyQueue> keyQueues = new LinkedHashMap<>();
        // Times of acceptance and of resubmission within the window of the resubmission budget.
        private final ArrayDeque<Long> acceptedAt = new ArrayDeque<>();
        private final ArrayDeque<Long> resubmittedAt = new ArrayDeque<>();
        // By resource group: moving averages of the work and of the logarithm of actual to estimated work.
        private final double[] typicalWork = new double[deployment.groups().size()];
        private final int[] workSamples = new int[deployment.groups().size()];
        private final double[] logEstimateError = new double[deployment.groups().size()];
        private final int maxQueryThreads;
        private final long shortestTarget;
        private final int[] queuedByGroup = new int[deployment.groups().size()];
        private long arrivalCount;
        private long lastProbeArrival = -MIN_ARRIVALS_PER_PROBE;
        // Reduces the concurrency limit under overload.
        private double limitFactor = 1;
        // The slowdown over all engines, now and without overload, as logarithms.
        private double logSlowdown;
        private double baselineLogSlowdown;
        private long finishedCount;
        private long limitReachedAt;
        private long discoveryRetryAt = -1;
        private long lastMessagesAt;
        private double recentArrivals;
        private long lastArrivalAt;
        private final double totalTenantRate;
        // This front's fraction of the engines' memory.
        private double memoryShare;
        // What the concurrency limit has grown beyond the front's share. It starts with one query, because a
        // share of one or two long queries leaves engines idle.
        private double extraThreads;
        private double freeMemoryMb;
        private double meanNeedMb;
        private double meanSquaredNeed;
        // Estimated fraction of the engines' memory in use by other fronts.
        private double othersMemoryRatio;
        // Whether the last choice of an engine rejected one for lack of memory.
        private boolean memoryShort;
        private boolean spareCapacity;
        private boolean idle;
        // Recently unused capacity below the concurrency and memory limits, in thread-ticks and MB-ticks.
        private double threadCredit;
        private double memoryCredit;

        Scheduler() {
            Arrays.setAll(typicalWork, k -> deployment.groups().get(k).targetBase() / 2.0
                    * deployment.groups().get(k).threads());
            Arrays.fill(workSamples, 2);
            maxQueryThreads = deployment.groups().stream().mapToInt(g -> g.threads()).max().orElse(1);
            extraThreads = maxQueryThreads;
            totalTenantRate = deployment.tenants().stream().mapToDouble(Deployment.Tenant::queriesPerSecond)
                    .sum();
            shortestTarget = deployment.groups().stream().mapToLong(g -> g.targetBase()).min()
                    .orElse(TICKS_PER_SECOND);
        }

        private void onEvent(Event event) {
            if (event instanceof Event.Taken taken) {
                accept(taken);
            } else if (event instanceof Event.Left left) {
                Query q = queries.get(left.query());
                if (q != null && !q.answered) {
                    close(q);
                }
            } else if (event instanceof Event.StreamBegan began) {
                queries.getOrDefault(began.query(), new Query()).streaming = true;
            } else if (event instanceof Event.Leaving leaving) {
                queries.values().forEach(q -> q.clientDeadline = Math.min(q.clientDeadline,
                        leaving.deadline()));
            } else if (event instanceof Event.ListUnavailable) {
                discoveryRetryAt = now + Math.min(TICKS_PER_SECOND / 2,
                        deployment.discovery().subscribeWithin() / 4);
            } else if (event instanceof Event.Woken woken && woken.timer().equals(PERIODIC_TIMER)) {
                onPeriodicTimer();
            }
        }

        private void accept(Event.Taken taken) {
            Deployment.ResourceGroup group = deployment.groups().get(taken.group().index());
            Query q = new Query();
            q.id = taken.query();
            q.group = taken.group().index();
            q.tenant = taken.tenant().index() < 0 ? tenantAccounts.length - 1 : taken.tenant().index();
            q.key = group.ordered() ? taken.key() : null;
            q.arrivalNumber = arrivalCount++;
            q.clientDeadline = taken.clientDeadline();
            q.threads = group.threads();
            q.hasEstimate = taken.estimate() > 0;
            q.work = q.hasEstimate ? taken.estimate() * Math.exp(logEstimateError[q.group])
                    : typicalWork[q.group];
            if (q.hasEstimate) {
                updateTypicalWork(q.group, q.work);
            }
            q.needMb = taken.needMb();
            meanNeedMb += 0.02 * (q.needMb - meanNeedMb);
            meanSquaredNeed += 0.02 * (q.needMb * q.needMb - meanSquaredNeed);
            q.dataSet = taken.dataSet();
            // An answer after the client has stopped waiting has no value, whatever the group's target.
            q.targetDeadline = Math.min(q.clientDeadline - ANSWER_MARGIN_TICKS,
                    now + group.targetBase() + (long) (group.targetPerWork() * q.work / q.threads));
            queries.put(q.id, q);
            spareCapacity = false;
            recentArrivals = 1 + recentArrivals
                    * Math.exp((lastArrivalAt - now) / (double) ARRIVALS_WINDOW_TICKS);
            lastArrivalAt = now;
            if (deployment.resubmissionBudget() != null) {
                acceptedAt.add(now);
            }
            OrderKeyQueue keyQueue = q.key == null ? null
                    : keyQueues.computeIfAbsent(q.key, k -> new OrderKeyQueue());
            if (keyQueue != null) {
                keyQueue.queries.add(q);
            }
            if (now >= q.clientDeadline - ANSWER_MARGIN_TICKS) {
                // A client's retry may arrive with so little time left that the next periodic check would
                // be too late.
                deferOrKill(q);
            } else if (keyQueue != null) {
                enqueueHead(keyQueue);
            } else {
                enqueue(q);
            }
            dispatch();
        }

        /** The typical work of the group whose queries are the shortest. */
        private double lightestWork() {
            return Math.max(1, Arrays.stream(typicalWork).min().orElse(1));
        }

        private void updateTypicalWork(int group, double work) {
            typicalWork[group] += Math.max(0.02, 1.0 / ++workSamples[group]) * (work - typicalWork[group]);
        }

        /** Inserts the query into its tenant's queue, in order of arrival. */
        private void enqueue(Query q) {
            ArrayDeque<Query> queue = tenantAccounts[q.tenant].queue;
            ArrayDeque<Query> later = new ArrayDeque<>();
            while (!queue.isEmpty() && queue.peekLast().arrivalNumber > q.arrivalNumber) {
                later.push(queue.pollLast());
            }
            queue.add(q);
            queue.addAll(later);
            if (queue.peek() == q) {
                tenantAccounts[q.tenant].queueScore = tenantAccounts[q.tenant].usagePerShare();
            }
            queuedByGroup[q.group]++;
        }

        private void dequeue(Query q) {
            if (tenantAccounts[q.tenant].queue.remove(q)) {
                queuedByGroup[q.group]--;
            }
        }

        /**
         * How many threads this front may have on warm engines. Cold engines are limited by the cold start
         * rule instead, which allows less than their cores would.
         */
        private double concurrencyLimit() {
            return concurrencyLimit(sumOverAvailable(row -> isCold(row) ? 0 : effectiveCores(row)));
        }

        private double concurrencyLimit(double effectiveCores) {
            // Threads beyond the share are released first: none are left at the minimum factor.
            double minFactor = MIN_LIMIT_RATIO / deployment.fronts() / frontShare();
            return Math.max(maxQueryThreads, effectiveCores * THREADS_PER_CORE * frontShare() * limitFactor
                    + extraThreads * Math.max(0, limitFactor - minFactor) / Math.max(1e-3, 1 - minFactor));
        }

        /** The concurrency limit without adaptation to load. */
        private double baseConcurrencyLimit() {
            return sumOverAvailable(Control.this::effectiveCores) * THREADS_PER_CORE * frontShare();
        }

        /**
         * This front's share of the engines: an equal one or, as the load of fronts can be very unequal, a
         * conservative estimate of its part of all tenants' queries.
         */
        private double frontShare() {
            double equalShare = 1.0 / deployment.fronts();
            return totalTenantRate <= 0 ? equalShare
                    : Math.max(equalShare, Math.min(1, ARRIVAL_SHARE_RATIO * recentArrivals
                            * Math.exp((lastArrivalAt - now) / (double) ARRIVALS_WINDOW_TICKS)
                            * TICKS_PER_SECOND / ARRIVALS_WINDOW_TICKS / totalTenantRate));
        }

        /**
         * The mean memory utilisation at which random variation still fits into an engine. Fronts place
         * queries independently, so the standard deviation of the sum is the square root of its mean times
         * the typical size of a query. Without cancellation an engine that exceeds its memory stays
         * overloaded until it has run all queries that nobody waits for any more; with cancellation it
         * recovers soon.
         */
        private double safeMemoryRatio() {
            if (deployment.capabilities().cancel()) {
                return MAX_MEMORY_RATIO;
            }
            double relativeSize = meanNeedMb <= 0 ? 0
                    : meanSquaredNeed / meanNeedMb * sumOverAvailable(row -> 1)
                            / Math.max(1, sumOverAvailable(row -> memoryMb[row]));
            double sigmas = MEMORY_MARGIN_SIGMAS * (1 - frontShare()) * (1 - frontShare());
            double rootOfRatio = (Math.sqrt(sigmas * sigmas * relativeSize + 4) - sigmas
                    * Math.sqrt(relativeSize)) / 2;
            return Math.min(MAX_MEMORY_RATIO, rootOfRatio * rootOfRatio);
        }

        /**
         * This front's threads on warm engines. Ejected engines are left out: queries stuck there would use
         * up the limit for all the others.
         */
        private double threadsInUse() {
            return sumOverAvailable(row -> isCold(row) ? 0 : ownThreads[row]);
        }

        /**
         * Submits at most one query, then posts itself a message, so that the next one is chosen with the
         * engine's updated row.
         */
        private void dispatch() {
            double limit = concurrencyLimit();
            double freeThreads = limit - threadsInUse();
            idle = freeThreads >= limit;
            memoryShare = frontShare() * (deployment.swapsMemory() ? 1
                    : 1 + extraThreads / Math.max(1, baseConcurrencyLimit()));
            double memoryLimitMb = memoryShare * safeMemoryRatio() * sumOverAvailable(k -> memoryMb[k]);
            othersMemoryRatio = (1 / memoryShare - 1) * sumOverAvailable(k -> ownMemoryMb[k])
                    / Math.max(1, sumOverAvailable(k -> memoryMb[k]));
            boolean severalGroupsWait = Arrays.stream(queuedByGroup).filter(count -> count > 0).count() > 1;
            int[] groupThreads = new int[queuedByGroup.length];
            List<Query> running = queries.values().stream()
                    .filter(q -> q.runningOn >= 0 && !q.writtenOff && !ejected[q.runningOn]).toList();
            running.forEach(q -> groupThreads[q.group] += isCold(q.runningOn) ? 0 : q.threads);
            // At most half of the limit is charged for the largest running query: admitted on an idle front,
            // it would otherwise keep out all small ones while it runs.
            freeMemoryMb = memoryLimitMb - sumOverAvailable(k -> ownMemoryMb[k])
                    + Math.max(0, running.stream().mapToDouble(q -> q.needMb).max().orElse(0)
                            - memoryLimitMb * MAX_QUERY_MEMORY_RATIO);
            for (TenantAccount account : accountsByUsage()) {
                // While queries of other groups wait, no group may use the whole limit: in order of arrival,
                // short queries would miss their targets behind long ones that each use many threads.
                int blockedGroups = 0;
                for (int k = 0; severalGroupsWait && k < groupThreads.length; k++) {
                    blockedGroups |= groupThreads[k] > limit * MAX_GROUP_THREADS_RATIO
                            ? 1 << Math.min(k, 30) : 0;
                }
                int memoryBlockedGroups = 0;
                boolean limitReached = false;
                double memoryBlockedMb = Double.MAX_VALUE;
                for (Query q : account.queue) {
                    // The resubmission budget may have shrunk since the query was queued: check it again.
                    int groupBit = 1 << Math.min(q.group, 30);
                    if ((blockedGroups & groupBit) != 0
                            || (memoryBlockedGroups & groupBit) != 0 && q.needMb >= memoryBlockedMb
                            || q.missesTarget && !spareCapacity
                            || q.submissions > 0 && !mayResubmit(q, false)) {
                        continue;
                    }
                    double cost = q.threads * expectedRuntime(q);
                    boolean overLimit = q.threads > freeThreads && !idle;
                    limitReached |= overLimit && cost > threadCredit;
                    limitReachedAt = limitReached ? now : limitReachedAt;
                    int row = chooseEngine(q, limitReached);
                    if (row >= 0) {
                        threadCredit -= overLimit && !isCold(row) ? cost : 0;
                        memoryCredit -= q.needMb > freeMemoryMb ? q.needMb * expectedRuntime(q) : 0;
                        submit(q, row);
                        post(this, Scheduler::dispatch);
                        return;
                    }
                    // No engine can take it. A query of another group may still be submitted and, if memory
                    // is short, one that needs less: large queries would otherwise block all behind them. It
                    // has to fit without the credit, which is left to the queries that wait for it. If the
                    // limit is reached, cold engines may have capacity for another group.
                    q.waitsForMemory = memoryShort;
                    memoryBlockedMb = memoryShort
                            ? Math.min(memoryBlockedMb, Math.min(q.needMb, freeMemoryMb)) : memoryBlockedMb;
                    memoryBlockedGroups |= memoryShort ? groupBit : 0;
                    blockedGroups |= memoryShort ? 0 : groupBit;
                }
            }
        }

        /**
         * Tenants with queued queries, least usage first. Scores are cached; the head's is refreshed until
         * the order is stable, as described in docs/design.md.
         */
        private List<TenantAccount> accountsByUsage() {
            List<TenantAccount> accounts = new ArrayList<>(Arrays.asList(tenantAccounts));
            accounts.removeIf(account -> account.queue.isEmpty());
            Comparator<TenantAccount> order = Comparator.<TenantAccount>comparingDouble(p -> p.queueScore)
                    .thenComparingLong(p -> p.queue.peek().arrivalNumber);
            accounts.sort(order);
            for (int tries = 0; accounts.size() > 1 && tries <= MAX_HEAD_RESCORES; tries++) {
                TenantAccount head = accounts.get(0);
                head.queueScore = head.usagePerShare();
                accounts.sort(order);
                if (accounts.get(0) == head) {
                    return accounts;
                }
            }
            if (accounts.size() > 1 && Arrays.stream(queuedByGroup).sum() <= MAX_QUEUED_FOR_FULL_RESCORE) {
                accounts.forEach(p -> p.queueScore = p.usagePerShare());
                accounts.sort(order);
            }
            return accounts;
        }

        /**
         * The engine with the fewest own threads per core of those that can take the query, or -1. Once the
         * concurrency limit is reached, only cold engines on which the query would meet its target are
         * considered: the limit covers warm engines only, and half of all engines may just have been
         * replaced.
         */
        private int chooseEngine(Query q, boolean limitReached) {
            int best = -1;
            memoryShort = false;
            double lowestLoad = Double.MAX_VALUE;
            for (int row = 0; row < engines.size(); row++) {
                if (!isAllowed(q, row) || limitReached && !isCold(row) || isCold(row)
                        && !spread.coldStartAdmits(row, typicalWork[q.group] / lightestWork(),
                        lightestWork(), now)) {
                    continue;
                }
                if (!ejected[row] && !memoryFits(q, row)) {
                    memoryShort = deployment.swapsMemory();
                    continue;
                }
                if (ejected[row] && mayProbe(q, row)) {
                    lastProbeArrival = arrivalCount;
                    return row;
                }
                // Engines too slow for the query's target come after all others, and the engine on which it
                // failed comes last.
                boolean missesTarget = now + q.work / q.threads * expectedSlowdown(row) > q.targetDeadline;
                if (limitReached && missesTarget) {
                    continue;
                }
                double effectiveCores = effectiveCores(row);
                double load = spread.threadSteps(row, ownThreads[row]) / effectiveCores
                        + 1e-6 * spread.tieBreak(row, ownThreads[row], effectiveCores, now)
                        + (row == q.failedOn ? 2 * LAST_RESORT_PENALTY
                                : missesTarget ? LAST_RESORT_PENALTY : 0);
                if (load < lowestLoad && !ejected[row]) {
                    lowestLoad = load;
                    best = row;
                }
            }
            return best;
        }

        /** Whether the rules on draining, placement and repeats permit the query to run on the engine. */
        private boolean isAllowed(Query q, int row) {
            Deployment.ResourceGroup group = deployment.groups().get(q.group);
            Engine engine = engines.get(row);
            if (!up[row] || group.zones() != null && !group.zones().contains(engine.zone)
                    || group.kinds() != null && !group.kinds().contains(engine.kind)) {
                return false;
            }
            if (q.firstRanOn < 0) {
                return true;
            }
            Engine firstRan = engines.get(q.firstRanOn);
            return RepeatPolicy.recognisedAt(group, firstRan.zone, firstRan.cell, engine.zone, engine.cell);
        }

        /**
         * Whether the query fits into this front's part of the engine's memory and of the total memory. With
         * the limit per engine alone, hundreds of fronts with one query on each engine would overfill them
         * all.
         */
        private boolean memoryFits(Query q, int row) {
            return memoryMb[row] <= 0 || (!deployment.swapsMemory() || q.needMb <= freeMemoryMb || idle
                    || q.needMb * expectedRuntime(q) <= memoryCredit)
                    && (ownMemoryMb[row] <= 0 || ownMemoryMb[row] + q.needMb <= memoryMb[row]
                            * Math.max(memoryShare * 0.9, deployment.swapsMemory()
                                    ? 0.9 - othersMemoryRatio : 0));
        }

        /** Whether the query may probe an ejected engine: it must leave time to be run elsewhere. */
        private boolean mayProbe(Query q, int row) {
            return now >= engines.get(row).ejectedUntil
                    && arrivalCount - lastProbeArrival >= MIN_ARRIVALS_PER_PROBE
                    && ownQueries[row] == 0 && q.submissions == 0 && mayResubmit(q, true)
                    && now + 3 * expectedRuntime(q) < q.targetDeadline
                    && 2 * q.work <= 3 * typicalWork[q.group];
        }

        /** The query's value, reduced if its tenant exceeds its rate. */
        private double value(Query q) {
            return deployment.groups().get(q.group).value()
                    * (tenantAccounts[q.tenant].overRate() ? deployment.overRateValue() : 1);
        }

        /** The query's runtime at the current load, in ticks. */
        private double expectedRuntime(Query q) {
            return q.work / q.threads * Math.exp(Math.max(0, logSlowdown));
        }

        private void submit(Query q, int row) {
            dequeue(q);
            if (q.submissions++ > 0 && deployment.resubmissionBudget() != null) {
                resubmittedAt.add(now);
            }
            q.runningOn = row;
            q.lastSentTo = row;
            q.sentAt = now;
            q.cancelled = false;
            q.writtenOff = false;
            q.progressAt = now;
            q.progressUncertainty = 0;
            q.progress = 0;
            q.overdueAt = now + (long) (2 * expectedRuntime(q));
            post(engines.get(row), engine -> engine.send(q));
            int isFirst = q.submissions == 1 ? 1 : 0;
            post(tenantAccounts[q.tenant], account -> account.charge(q.work, isFirst));
        }

        private void onClosed(Query q, Event.Closed closed) {
            q.runningOn = -1;
            Outcome outcome = closed.outcome();
            if (!outcome.neverRan() && q.firstRanOn < 0) {
                q.firstRanOn = q.lastSentTo;
                q.firstRanSince = q.sentAt;
            }
            q.mayStillRun |= outcome.mayStillRun();
            if (outcome == Outcome.FINISHED) {
                learnFrom(q, closed);
            }
            double usedWork = closed.work() > 0 ? closed.work() : q.hasEstimate ? q.work
                    : closed.elapsed() * q.threads;
            double chargedWork = outcome.neverRan() ? 0
                    : outcome == Outcome.FINISHED ? usedWork
                    : Math.min(usedWork, closed.elapsed() * q.threads);
            post(tenantAccounts[q.tenant], account -> account.charge(chargedWork - q.work, 0));
            q.answered |= closed.queryOver();
            if (q.answered) {
                remove(q);
            } else if (outcome != Outcome.NOT_SENT && outcome != Outcome.NOT_KEPT
                    && q.submissions < deployment.capabilities().maxSubmissions()
                    && mayResubmit(q, false)
                    && now + expectedRuntime(q) < q.clientDeadline - ANSWER_MARGIN_TICKS) {
                q.failedOn = q.lastSentTo;
                enqueue(q);
            } else {
                deferOrKill(q);
            }
            post(this, Scheduler::dispatch);
        }

        /** Updates the estimates of work, slowdown and concurrency limit from a finished query. */
        private void learnFrom(Query q, Event.Closed closed) {
            double threadTicks = closed.elapsed() * q.threads;
            double work = closed.work() > 0 ? closed.work() : q.hasEstimate ? q.work : threadTicks;
            if (!q.hasEstimate) {
                updateTypicalWork(q.group, work);
            } else if (closed.work() > 0) {
                logEstimateError[q.group] += 0.02 * Math.max(-2, Math.min(2, Math.log(work / q.work)));
            }
            finishedCount++;
            if (!ejected[q.lastSentTo]) {
                observeSlowdown(threadTicks - closed.arrivalUncertainty() * q.threads, threadTicks, work,
                        Math.max(0.05, 1.0 / finishedCount));
            }
            boolean calibrating = finishedCount < 40
                    && (finishedCount < 10 || now - createdAt < CALIBRATION_TICKS);
            if (calibrating || now - limitReachedAt > TICKS_PER_SECOND
                    && threadsInUse() < LOW_LOAD_RATIO * concurrencyLimit() / limitFactor) {
                // A busy front has only its first answers as a baseline; later ones may reflect an overload.
                baselineLogSlowdown += (logSlowdown - baselineLogSlowdown)
                        * (calibrating ? Math.max(0.1, 1.0 / finishedCount) : 0.01);
            } else if (limitFactor * frontShare() * deployment.fronts() <= MIN_LIMIT_RATIO * 1.001) {
                // Slowness that persists at this front's minimum load is not caused by this front.
                baselineLogSlowdown += (logSlowdown - baselineLogSlowdown) * 0.002;
            }
            if (limitFactor >= 1 && now - limitReachedAt < TICKS_PER_SECOND) {
                extraThreads = Math.min(sumOverAvailable(Control.this::effectiveCores),
                        extraThreads + q.threads);
            }
        }

        /**
         * Updates the slowdown with a measurement of thread time against work, and the concurrency limit with
         * it. A single measurement has a bounded effect: bad plans and lost answers say nothing about the
         * load.
         */
        private void observeSlowdown(double minTicks, double maxTicks, double work, double weight) {
            double step = observedLogSlowdown(logSlowdown, minTicks, maxTicks, work) - logSlowdown;
            step = Math.max(-MAX_LOG_SLOWDOWN_STEP, Math.min(MAX_LOG_SLOWDOWN_STEP, step));
            logSlowdown = Math.max(-1, Math.min(2.5, logSlowdown + weight * step));
            // The limit follows at once: with few measurements per front, it would shrink too late in steps.
            double excess = logSlowdown - Math.max(-0.3, Math.min(1.2, baselineLogSlowdown));
            limitFactor = Math.max(MIN_LIMIT_RATIO / deployment.fronts() / frontShare(),
                    Math.exp(-2 * Math.max(0, excess - Math.log(TOLERATED_SLOWDOWN_RATIO))));
            if (limitFactor < 1) {
                extraThreads = Math.min(extraThreads, Math.max(maxQueryThreads, extraThreads * 0.9));
            }
        }

        /** Whether another submission is permitted by the rules on effects and by the resubmission budget. */
        private boolean mayResubmit(Query q, boolean asProbe) {
            Deployment.ResourceGroup group = deployment.groups().get(q.group);
            if (!RepeatPolicy.mayRunAgain(group, asProbe || q.firstRanOn >= 0) || now >= latestSendAt(q)) {
                return false;
            }
            Deployment.ResubmissionBudget budget = deployment.resubmissionBudget();
            if (budget == null) {
                return true;
            }
            // Both windows are stricter by one tick to allow for rounding of the clock.
            while (!resubmittedAt.isEmpty() && now - resubmittedAt.peek() > budget.window() + 1) {
                resubmittedAt.poll();
            }
            while (!acceptedAt.isEmpty() && now - acceptedAt.peek() >= budget.window() - 1) {
                acceptedAt.poll();
            }
            return resubmittedAt.size() + 1 <= budget.freeResubmissions()
                    + budget.perQuery() * acceptedAt.size();
        }

        /**
         * The latest time at which the query may be sent again. The limit holds for its arrival at the
         * engine, which a slow connection or a stall of the event loop may delay.
         */
        private long latestSendAt(Query q) {
            long recognisedUntil = RepeatPolicy.recognisedUntil(deployment.groups().get(q.group),
                    q.firstRanOn >= 0, q.firstRanSince);
            return recognisedUntil == Long.MAX_VALUE ? recognisedUntil : recognisedUntil - MAX_TRANSIT_TICKS;
        }

        /**
         * Handles a progress report. A run that would take far longer to complete than a new one, usually
         * because of a bad plan, is cancelled so that it can be started again.
         */
        private void onProgress(Query q, Event.ShareDone event) {
            // Answers reveal an overload only after the fact; progress reports reveal it while it lasts.
            double progress = event.progress();
            long sinceLast = now - q.progressAt;
            if (!ejected[q.runningOn]) {
                observeSlowdown((sinceLast - event.arrivalUncertainty()) * q.threads,
                        (sinceLast + q.progressUncertainty) * q.threads,
                        (progress - q.progress) * q.work, 0.05);
            }
            q.progress = progress;
            q.progressAt = now;
            q.progressUncertainty = event.arrivalUncertainty();
            q.overdueAt = Long.MAX_VALUE;
            if (q.answered || !mayRestart(q)) {
                return;
            }
            double relativeRuntime = (now - q.sentAt) / expectedRuntime(q);
            if (relativeRuntime * (1 - progress) > progress * 3 && relativeRuntime > 1.5) {
                cancel(q);
            }
        }

        private boolean mayRestart(Query q) {
            return deployment.groups().get(q.group).effect() == Effect.READ_ONLY
                    && q.submissions < deployment.capabilities().maxSubmissions() && mayResubmit(q, false);
        }

        /** Whether it is far overdue without progress reports: its answer may be lost or its engine hung. */
        private boolean isStalled(Query q) {
            return isFarOverdue(q) && now - q.progressAt > deployment.progressInterval() * 1.3;
        }

        private boolean isFarOverdue(Query q) {
            return q.runningOn >= 0 && now - q.sentAt > 4 * expectedRuntime(q) + OVERDUE_GRACE_TICKS;
        }

        private void cancel(Query q) {
            if (deployment.capabilities().cancel() && !q.cancelled && !q.streaming) {
                q.cancelled = true;
                actionSink.accept(new Action.Cancel(q.id, new Id.Submission(q.submissions - 1)));
            }
        }

        /** Whether the client may be told that a retry is safe. */
        private boolean mayDefer(Query q, boolean mayHaveRun) {
            return RepeatPolicy.mayDefer(deployment.groups().get(q.group), mayHaveRun);
        }

        /** Sends the final answer for a query that will not be served. */
        private void deferOrKill(Query q) {
            // If an engine failed the query, rather than capacity being short, the client may retry at once.
            long maxRetryAfter = deployment.capabilities().retryTimes()
                    ? deployment.capabilities().maxRetryAfter() : 0;
            long retryAfter = q.runningOn >= 0 ? Math.min(PERIOD_TICKS, maxRetryAfter)
                    : spread.retryAfter(maxRetryAfter);
            actionSink.accept(mayDefer(q, q.firstRanOn >= 0) ? new Action.Defer(q.id, retryAfter)
                    : new Action.Kill(q.id));
            close(q);
        }

        /** Ends the query: it has its final answer, or its client has gone. */
        private void close(Query q) {
            q.answered = true;
            dequeue(q);
            if (q.runningOn < 0) {
                remove(q);
            } else {
                cancel(q);
            }
        }

        /**
         * Removes a query that is answered and has no submission outstanding. The next query of its order key
         * may run, after a delay if this one may still be running.
         */
        private void remove(Query q) {
            if (queries.remove(q.id) == null || q.key == null) {
                return;
            }
            OrderKeyQueue keyQueue = keyQueues.get(q.key);
            if (q.mayStillRun) {
                keyQueue.blockedUntil = Math.max(keyQueue.blockedUntil, now + deployment.orderKeyDelay());
            }
            keyQueue.queries.remove(q);
            enqueueHead(keyQueue);
        }

        /** Moves the first query of an order key to its tenant's queue once the key's delay is over. */
        private void enqueueHead(OrderKeyQueue keyQueue) {
            Query head = keyQueue.queries.peek();
            if (head != null && now >= keyQueue.blockedUntil && head.runningOn < 0
                    && !tenantAccounts[head.tenant].queue.contains(head)) {
                enqueue(head);
            }
        }

        private void onPeriodicTimer() {
            actionSink.accept(new Action.StartTimer(PERIODIC_TIMER, PERIOD_TICKS));
            if (discoveryRetryAt >= 0 && now >= discoveryRetryAt) {
                discoveryRetryAt = -1;
                actionSink.accept(new Action.SubscribeToEngines());
            }
            keyQueues.values().removeIf(keyQueue -> keyQueue.queries.isEmpty()
                    && now >= keyQueue.blockedUntil);
            keyQueues.values().forEach(this::enqueueHead);
            if (now - lastMessagesAt >= TICKS_PER_SECOND) {
                lastMessagesAt = now;
                spread.trafficMessages(Control.this::effectiveCores, now)
                        .forEach(message -> actionSink.accept(new Action.LogMessage(message)));
            }
            medianLogSlowdown = median(engineLogSlowdown);
            medianErrorRate = median(errorRate);
            engines.forEach(engine -> post(engine, Engine::runPeriodicChecks));
            shedLoad();
            double longestTypicalTicks = Arrays.stream(typicalWork).max().orElse(0)
                    * Math.exp(Math.max(0, logSlowdown));
            double mbPerCore = sumOverAvailable(row -> memoryMb[row])
                    / Math.max(1, sumOverAvailable(row -> cores[row]));
            threadCredit = Math.min(MAX_THREAD_CREDIT_RATIO * longestTypicalTicks,
                    threadCredit + PERIOD_TICKS * Math.max(0, concurrencyLimit() - threadsInUse()));
            memoryCredit = Math.min(MAX_MEMORY_CREDIT_RATIO * longestTypicalTicks * mbPerCore,
                    memoryCredit + PERIOD_TICKS * Math.max(0, freeMemoryMb));
            post(this, Scheduler::dispatch);
        }

        /**
         * Gives up queries that can't be answered in time and, if too much work is queued, those with the
         * least value for their work. Also handles running queries that are overdue.
         */
        private void shedLoad() {
            // A query past its target that still has some value runs only on capacity that no other query
            // waits for, here or at other fronts.
            spareCapacity = limitFactor >= 1 && threadsInUse() < LOW_LOAD_RATIO * concurrencyLimit()
                    && queries.values().stream().allMatch(q -> q.runningOn >= 0 || q.missesTarget);
            List<Query> queued = new ArrayList<>();
            double queuedWork = 0;
            int enginesWithOverdue = (int) queries.values().stream().filter(this::isFarOverdue)
                    .mapToInt(q -> q.runningOn).distinct().count();
            for (Query q : new ArrayList<>(queries.values())) {
                if (q.runningOn >= 0) {
                    if (isFarOverdue(q) && !deployment.capabilities().cancel()) {
                        post(engines.get(q.runningOn),
                                engine -> engine.ejectIfThrashing(q, enginesWithOverdue));
                        if (ejected[q.runningOn] && !q.answered && mayDefer(q, true)) {
                            deferOrKill(q); // can't be cancelled, but its client still has time for a retry
                        }
                    }
                    if (now >= q.overdueAt && !q.answered && !ejected[q.runningOn]) {
                        // For queries too short for progress reports. Once only: a lost answer is no load.
                        q.overdueAt = Long.MAX_VALUE;
                        observeSlowdown((now - q.sentAt) * q.threads, (now - q.sentAt) * q.threads, q.work,
                                0.05);
                    }
                    if (isStalled(q) && !q.answered && deployment.capabilities().cancel() && mayRestart(q)) {
                        cancel(q);
                    } else if (isStalled(q) && !q.cancelled && !q.writtenOff) {
                        // No more progress reports: the query has ended and its answer is lost, or the engine
                        // hangs and will be ejected. Counted until its timeout, it would use up the limit.
                        q.writtenOff = true;
                        post(engines.get(q.runningOn), engine -> engine.releaseResources(q));
                    }
                } else if (now >= q.clientDeadline - ANSWER_MARGIN_TICKS
                        || (q.missesTarget = now + expectedRuntime(q) > q.targetDeadline)
                                && (deployment.groups().get(q.group).lateValue() <= 0
                                        || now + expectedRuntime(q)
                                                > q.clientDeadline - ANSWER_MARGIN_TICKS)) {
                    deferOrKill(q);
                } else if (!q.missesTarget
                        && (!q.waitsForMemory || now - limitReachedAt < TICKS_PER_SECOND)) {
                    // Below the concurrency limit, giving up a query that waits for memory helps no other.
                    queued.add(q);
                    queuedWork += q.work;
                }
            }
            double throughput = concurrencyLimit(sumOverAvailable(Control.this::effectiveCores))
                    / Math.exp(Math.max(0, logSlowdown));
            queued.sort(Comparator.comparingDouble(q -> value(q) / q.work));
            for (int k = 0; k < queued.size() && queuedWork / throughput > shortestTarget * 0.4; k++) {
                queuedWork -= queued.get(k).work;
                deferOrKill(queued.get(k));
            }
        }
    }
}
