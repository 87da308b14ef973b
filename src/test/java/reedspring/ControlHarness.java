package reedspring;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import reedspring.api.Action;
import reedspring.api.Deployment;
import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.Listing;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;

/**
 * Runs one Control in virtual time: plays its clients, engines and discovery, and checks the rules at every
 * action. Times are in ticks: whole tenths of a millisecond.
 */
final class ControlHarness {
    static final long TICKS_PER_SECOND = 10_000;
    private static final long ANSWER_GRACE_TICKS = 200;
    private static final long MIN_TYPICAL_WORK = 5_000;
    static final Deployment.ResourceGroup SHORT = group(10_000, 1, 1, Effect.READ_ONLY);
    static final Deployment.ResourceGroup LONG = group(15_000, 5, 4, Effect.READ_ONLY);
    private static final Set<Outcome> MAY_STILL_RUN = Set.of(Outcome.TIMED_OUT, Outcome.BROKEN,
            Outcome.CANCELLED);

    final Deployment configuration;
    final Map<Id.Query, OpenQuery> openQueries = new LinkedHashMap<>();
    final List<Action> lastActions = new ArrayList<>();
    final List<Action.Submit> submits = new ArrayList<>();
    final Set<Id.Query> cancelled = new HashSet<>();
    final Map<Id.Engine, Listing> listed = new HashMap<>();
    private final Map<Id.Engine, Long> notUpSince = new HashMap<>();
    private final Map<Id.OrderKey, Long> keyBlockedUntil = new HashMap<>();
    private final List<Long> acceptedAt = new ArrayList<>();
    private final List<Long> resubmittedAt = new ArrayList<>();
    private final Map<Id.Engine, List<long[]>> sentToCold = new HashMap<>();
    private final List<long[]> timers = new ArrayList<>();
    Control control;
    long now = 1_000_000;
    /** How much earlier the next submissions to end may have ended than the front noticed. */
    long arrivalUncertainty;
    /** By when all queries have to be answered, once the front shuts down. */
    private long shutdownDeadline = Long.MAX_VALUE;
    private long lastId;
    private long unsubscribedSince = Long.MAX_VALUE;

    /** A query that has no final answer yet or has a submission outstanding. */
    static final class OpenQuery {
        Event.Taken event;
        Id.Engine runningOn;
        long sentAt;
        long timeoutAt;
        int submissions;
        boolean answered;
        boolean clientGone;
        Id.Engine firstRanOn;
        long firstRanSince;
        boolean mayStillRun;
    }

    ControlHarness(Deployment configuration) {
        this(configuration, 7);
    }

    ControlHarness(Deployment configuration, long seed) {
        this.configuration = configuration;
        start(seed);
    }

    void start(long seed) {
        openQueries.clear();
        shutdownDeadline = Long.MAX_VALUE;
        timers.clear();
        keyBlockedUntil.clear();
        acceptedAt.clear();
        resubmittedAt.clear();
        lastActions.clear();
        unsubscribedSince = now;
        control = new Control(seed, configuration, now, this::check);
    }

    static Deployment.ResourceGroup group(long target, double value, int threads, Effect effect) {
        return new Deployment.ResourceGroup(target, 2, value, 0, threads, effect, Recognised.ALL,
                4 * TICKS_PER_SECOND,
                false, null, null);
    }

    static Deployment deployment(boolean cancel, boolean mustSubscribe,
                                 Deployment.ResubmissionBudget resubmissionBudget,
                                 Deployment.ResourceGroup... groups) {
        return deployment(2, cancel, mustSubscribe, resubmissionBudget, groups);
    }

    static Deployment deployment(int fronts, boolean cancel, boolean mustSubscribe,
            Deployment.ResubmissionBudget resubmissionBudget,
                                 Deployment.ResourceGroup... groups) {
        return new Deployment(fronts, List.of(groups),
                List.of(new Deployment.Tenant(0.7, 70), new Deployment.Tenant(0.3, 30)),
                Map.of(new Id.Kind("m"), new Deployment.Machine(8, 16_000)),
                new Deployment.Capabilities(cancel, true, true, 4, TICKS_PER_SECOND / 2),
                new Deployment.Discovery(mustSubscribe, 10 * TICKS_PER_SECOND),
                new Deployment.ColdStart(0.3, 10 * TICKS_PER_SECOND, 3, 2 * TICKS_PER_SECOND),
                resubmissionBudget,
                TICKS_PER_SECOND, 0.1, 2 * TICKS_PER_SECOND,
                true);
    }

    static Listing engine(int k, Health health, long startedAt) {
        return new Listing(new Id.Engine("e" + k), new Id.Kind(k % 3 == 2 ? "odd" : "m"),
                new Id.Zone("z" + k % 2), new Id.Cell(k % 3), health, startedAt);
    }

    void list(Event.ListKind reading, Listing... entries) {
        if (reading != Event.ListKind.CHANGES) {
            for (Id.Engine id : listed.keySet()) {
                notUpSince.putIfAbsent(id, now);
            }
        }
        for (Listing entry : entries) {
            listed.put(entry.engine(), entry);
            if (entry.health() == Health.UP) {
                notUpSince.remove(entry.engine());
            } else {
                notUpSince.putIfAbsent(entry.engine(), now);
            }
        }
        on(new Event.EnginesListed(reading, List.of(entries)));
    }

    OpenQuery accept(int group, int tenant, long estimate, long patience, Id.OrderKey key) {
        OpenQuery q = new OpenQuery();
        q.event = new Event.Taken(new Id.Query(++lastId), new Id.Group(group),
                tenant < 0 ? Id.Tenant.UNKNOWN : new Id.Tenant(tenant), new Id.DataSet(lastId % 7), estimate,
                estimate / 100.0, Math.min(now + patience, shutdownDeadline), key);
        openQueries.put(q.event.query(), q);
        acceptedAt.add(now);
        on(q.event);
        return q;
    }

    /** The front shuts down; outstanding submissions end with it. */
    void shutDown(long deadline) {
        shutdownDeadline = deadline;
        openQueries.values().forEach(q -> q.timeoutAt = Math.min(q.timeoutAt, deadline));
        on(new Event.Leaving(deadline));
    }

    void disconnect(OpenQuery q) {
        q.clientGone = true;
        on(new Event.Left(q.event.query()));
        removeIfClosed(q);
    }

    void end(OpenQuery q, Outcome outcome) {
        Id.Engine engine = q.runningOn;
        q.runningOn = null;
        if (!outcome.neverRan() && q.firstRanOn == null) {
            q.firstRanOn = engine;
            q.firstRanSince = q.sentAt;
        }
        q.mayStillRun |= MAY_STILL_RUN.contains(outcome);
        boolean queryOver = q.answered || q.clientGone || outcome == Outcome.FINISHED;
        q.answered |= outcome == Outcome.FINISHED;
        if (queryOver) {
            removeIfClosed(q);
        }
        on(new Event.Closed(q.event.query(), new Id.Submission(q.submissions - 1), outcome, queryOver,
                now - q.sentAt, Math.min(arrivalUncertainty, now - q.sentAt), 0));
    }

    void on(Event event) {
        lastActions.clear();
        if (event instanceof Event.ListUnavailable) {
            unsubscribedSince = Math.min(unsubscribedSince, now);
        }
        control.onEvent(now, event, this::check);
    }

    /** Advances the time, with the timers, timeouts and client deadlines on the way. */
    void advance(long ticks) {
        for (long end = now + ticks; now < end; ) {
            long next = end;
            for (long[] timer : timers) {
                next = Math.min(next, timer[0]);
            }
            for (OpenQuery q : openQueries.values()) {
                if (q.runningOn != null) {
                    next = Math.min(next, q.timeoutAt);
                }
            }
            now = Math.max(now, next);
            for (long[] timer : List.copyOf(timers)) {
                if (timer[0] <= now) {
                    timers.remove(timer);
                    on(new Event.Woken(new Id.Timer(timer[1])));
                }
            }
            for (OpenQuery q : List.copyOf(openQueries.values())) {
                if (q.runningOn != null && now >= q.timeoutAt) {
                    end(q, Outcome.TIMED_OUT);
                }
                if (!q.answered && !q.clientGone
                        && now > Math.min(q.event.clientDeadline(), shutdownDeadline) + ANSWER_GRACE_TICKS) {
                    throw new AssertionError("no final answer in time for " + q.event);
                }
            }
            if (configuration.discovery().mustSubscribe()
                    && now - unsubscribedSince > configuration.discovery().subscribeWithin()) {
                throw new AssertionError("the front was not subscribed to discovery for too long");
            }
        }
    }

    private void removeIfClosed(OpenQuery q) {
        if (q.runningOn != null || !q.answered && !q.clientGone) {
            return;
        }
        openQueries.remove(q.event.query());
        if (q.mayStillRun && q.event.key() != null && group(q).ordered()) {
            keyBlockedUntil.merge(q.event.key(), now + configuration.orderKeyDelay(), Math::max);
        }
    }

    private void check(Action action) {
        lastActions.add(action);
        if (action instanceof Action.StartTimer wake) {
            timers.add(new long[] {now + wake.delay(), wake.timer().value()});
        } else if (action instanceof Action.SubscribeToEngines) {
            unsubscribedSince = Long.MAX_VALUE;
        } else if (action instanceof Action.Submit submit) {
            submits.add(submit);
            check(submit);
        } else if (action instanceof Action.Defer defer) {
            OpenQuery q = unanswered(defer.query());
            Deployment.ResourceGroup group = group(q);
            require(group.effect() == Effect.READ_ONLY || q.firstRanOn == null && q.runningOn == null
                    || group.effect() == Effect.TOKENED && group.recognised() == Recognised.ALL,
                    "unsafe deferral", q);
            q.answered = true;
            removeIfClosed(q);
        } else if (action instanceof Action.Kill kill) {
            OpenQuery q = unanswered(kill.query());
            q.answered = true;
            removeIfClosed(q);
        } else if (action instanceof Action.Cancel cancel) {
            cancelled.add(cancel.query());
            require(configuration.capabilities().cancel(), "cancel although it is not supported", null);
        }
    }

    private void check(Action.Submit submit) {
        OpenQuery q = unanswered(submit.query());
        Deployment.ResourceGroup group = group(q);
        Listing listing = listed.get(submit.engine());
        require(q.runningOn == null, "two submissions at once", q);
        require(listing != null, "engine never listed", q);
        require(notUpSince.getOrDefault(submit.engine(), now) >= now, "draining engine",
                q);
        require(group.zones() == null || group.zones().contains(listing.zone()), "placement by zone", q);
        require(group.kinds() == null || group.kinds().contains(listing.kind()), "placement by kind", q);
        if (q.firstRanOn != null && group.effect() != Effect.READ_ONLY) {
            Listing firstListing = listed.get(q.firstRanOn);
            require(group.effect() == Effect.TOKENED, "a mutating query was repeated", q);
            require(group.recognised() == Recognised.ALL || group.recognised() == Recognised.ZONE
                    && firstListing.zone().equals(listing.zone())
                    || firstListing.cell().equals(listing.cell()),
                    "repeat outside the zone or cell that recognises it", q);
            require(now - q.firstRanSince <= group.recognisedFor(),
                    "repeat after engines forgot the first submission", q);
            require(submit.latestSendAt() < q.firstRanSince + group.recognisedFor(),
                    "it may arrive after engines forgot the first submission", q);
        }
        if (group.ordered() && q.event.key() != null) {
            for (OpenQuery other : openQueries.values()) {
                boolean earlier = other.event.query().value() < q.event.query().value();
                require(!earlier || !group(other).ordered() || !q.event.key().equals(other.event.key()),
                        "out of order", q);
            }
            require(now >= keyBlockedUntil.getOrDefault(q.event.key(), 0L), "the order key is still delayed",
                    q);
        }
        if (q.submissions > 0 && configuration.resubmissionBudget() != null) {
            resubmittedAt.add(now);
            long since = now - configuration.resubmissionBudget().window();
            double limit = configuration.resubmissionBudget().freeResubmissions()
                    + configuration.resubmissionBudget().perQuery()
                    * acceptedAt.stream().filter(t -> t > since).count();
            require(resubmittedAt.stream().filter(t -> t > since).count() <= limit,
                    "resubmission budget exceeded", q);
        }
        if (listing.startedAt() > 0 && now - listing.startedAt() < configuration.coldStart().ramp()) {
            List<long[]> sent = sentToCold.computeIfAbsent(listing.engine(), e -> new ArrayList<>());
            // The rule weighs a query by the typical work of its group; this is the least that a front may
            // have measured from the random queries.
            sent.add(new long[] {now, q.event.estimate() > 0 ? MIN_TYPICAL_WORK : 0});
            long since = now - configuration.coldStart().window();
            Deployment.ColdStart cold = configuration.coldStart();
            double limit = cold.overloadMultiple() * cold.initialSpeed() * 8 * cold.window()
                    / configuration.fronts();
            // A front whose part is less than one query may still send one in its turn.
            require(sent.stream().filter(s -> s[0] > since).mapToLong(s -> s[1]).sum()
                    <= Math.max(limit, MIN_TYPICAL_WORK), "cold engine overloaded", q);
        }
        q.submissions++;
        q.runningOn = submit.engine();
        q.sentAt = now;
        q.timeoutAt = Math.min(shutdownDeadline, submit.timeout() > 0
                ? Math.min(q.event.clientDeadline(), now + submit.timeout()) : q.event.clientDeadline());
    }

    private Deployment.ResourceGroup group(OpenQuery q) {
        return configuration.groups().get(q.event.group().index());
    }

    private OpenQuery unanswered(Id.Query id) {
        OpenQuery q = openQueries.get(id);
        require(q != null && !q.answered && !q.clientGone, "action for a query that is over: " + id, q);
        return q;
    }

    private static void require(boolean holds, String message, OpenQuery q) {
        if (!holds) {
            throw new AssertionError(message + (q == null ? "" : ": " + q.event));
        }
    }

    /** A random deployment; the settings of the three real ones are among the possible ones. */
    static Deployment randomDeployment(SplittableRandom random) {
        Set<Id.Zone> zones = random.nextInt(3) == 0 ? Set.of(new Id.Zone("z1")) : null;
        Set<Id.Kind> kinds = random.nextInt(4) == 0 ? new HashSet<>(List.of(new Id.Kind("m"))) : null;
        boolean ordered = random.nextBoolean();
        Deployment.ResourceGroup third = new Deployment.ResourceGroup(8_000, 2, 2, random.nextInt(2) * 0.4,
                1 + random.nextInt(3), Effect.values()[random.nextInt(3)],
                Recognised.values()[random.nextInt(3)],
                2 * TICKS_PER_SECOND, ordered, zones, kinds);
        Deployment.ResourceGroup fourth = new Deployment.ResourceGroup(8_000, 0, 1, 0, 1,
                Effect.values()[random.nextInt(3)], Recognised.values()[random.nextInt(3)],
                3 * TICKS_PER_SECOND,
                ordered, null, null);
        Deployment.ResubmissionBudget resubmissionBudget = random.nextInt(3) == 0 ? null
                : new Deployment.ResubmissionBudget(random.nextInt(4), 0.1,
                        (1 + random.nextInt(8)) * TICKS_PER_SECOND);
        int[] fronts = {1, 2, 7, 300};
        return deployment(fronts[random.nextInt(4)], random.nextBoolean(), random.nextInt(3) == 0,
                resubmissionBudget,
                SHORT, LONG, third, fourth);
    }
}
