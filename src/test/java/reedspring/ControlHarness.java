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
 * Stands around one Control: keeps the books a client, the engines and discovery would, and checks every
 * action.
 */
final class ControlHarness {
    static final long SECOND = 10_000;
    private static final long GRACE = 200;
    private static final long USUAL_AT_LEAST = 5_000;
    static final Deployment.ResourceGroup SHORT = group(10_000, 1, 1, Effect.READ_ONLY);
    static final Deployment.ResourceGroup LONG = group(15_000, 5, 4, Effect.READ_ONLY);
    private static final Set<Outcome> UNCLEAR = Set.of(Outcome.TIMED_OUT, Outcome.BROKEN, Outcome.CANCELLED);

    final Deployment rules;
    final Map<Id.Query, Held> held = new LinkedHashMap<>();
    final List<Action> last = new ArrayList<>();
    final List<Action.Submit> submits = new ArrayList<>();
    final Set<Id.Query> cancels = new HashSet<>();
    final Map<Id.Engine, Listing> listed = new HashMap<>();
    private final Map<Id.Engine, Long> toldOff = new HashMap<>();
    private final Map<Id.OrderKey, Long> restUntil = new HashMap<>();
    private final List<Long> taken = new ArrayList<>();
    private final List<Long> further = new ArrayList<>();
    private final Map<Id.Engine, List<long[]>> sentCold = new HashMap<>();
    private final List<long[]> timers = new ArrayList<>();
    Control control;
    long now = 1_000_000;
    /** How much earlier the next ends may have come than they were seen. */
    long unseen;
    /** By when all has to be answered, as the front ends. */
    private long leavesBy = Long.MAX_VALUE;
    private long ids;
    private long unaskedSince = Long.MAX_VALUE;

    /** A query in the books. */
    static final class Held {
        Event.Taken taken;
        Id.Engine out;
        long sentAt;
        long timeoutAt;
        int submissions;
        boolean answered;
        boolean left;
        Id.Engine ran;
        long ranSince;
        boolean unclear;
    }

    ControlHarness(Deployment rules) {
        this(rules, 7);
    }

    ControlHarness(Deployment rules, long seed) {
        this.rules = rules;
        start(seed);
    }

    void start(long seed) {
        held.clear();
        leavesBy = Long.MAX_VALUE;
        timers.clear();
        restUntil.clear();
        taken.clear();
        further.clear();
        last.clear();
        unaskedSince = now;
        control = new Control(seed, rules, now, this::check);
    }

    static Deployment.ResourceGroup group(long target, double value, int threads, Effect effect) {
        return new Deployment.ResourceGroup(target, 2, value, 0, threads, effect, Recognised.ALL, 4 * SECOND,
                false, null, null);
    }

    static Deployment deployment(boolean cancel, boolean mustAsk, Deployment.Ration ration,
                                 Deployment.ResourceGroup... groups) {
        return deployment(2, cancel, mustAsk, ration, groups);
    }

    static Deployment deployment(int fronts, boolean cancel, boolean mustAsk, Deployment.Ration ration,
                                 Deployment.ResourceGroup... groups) {
        return new Deployment(fronts, List.of(groups),
                List.of(new Deployment.Tenant(0.7, 70), new Deployment.Tenant(0.3, 30)),
                Map.of(new Id.Kind("m"), new Deployment.Machine(8, 16_000)),
                new Deployment.Allowed(cancel, true, true, 4, SECOND / 2),
                new Deployment.Discovery(mustAsk, 10 * SECOND),
                new Deployment.ColdStart(0.3, 10 * SECOND, 3, 2 * SECOND), ration, SECOND, 0.1, 2 * SECOND,
                true);
    }

    static Listing engine(int k, Health health, long startedAt) {
        return new Listing(new Id.Engine("e" + k), new Id.Kind(k % 3 == 2 ? "odd" : "m"),
                new Id.Zone("z" + k % 2), new Id.Cell(k % 3), health, startedAt);
    }

    void list(Event.Reading reading, Listing... entries) {
        if (reading != Event.Reading.CHANGES) {
            for (Id.Engine id : listed.keySet()) {
                toldOff.putIfAbsent(id, now);
            }
        }
        for (Listing entry : entries) {
            listed.put(entry.engine(), entry);
            if (entry.health() == Health.UP) {
                toldOff.remove(entry.engine());
            } else {
                toldOff.putIfAbsent(entry.engine(), now);
            }
        }
        on(new Event.EnginesListed(reading, List.of(entries)));
    }

    Held take(int group, int tenant, long estimate, long stays, Id.OrderKey key) {
        Held q = new Held();
        q.taken = new Event.Taken(new Id.Query(++ids), new Id.Group(group),
                tenant < 0 ? Id.Tenant.NOBODY : new Id.Tenant(tenant), new Id.DataSet(ids % 7), estimate,
                estimate / 100.0, Math.min(now + stays, leavesBy), key);
        held.put(q.taken.query(), q);
        taken.add(now);
        on(q.taken);
        return q;
    }

    /** The front itself ends: submissions that are out end with it, as its sockets' side sees to. */
    void leaving(long by) {
        leavesBy = by;
        held.values().forEach(q -> q.timeoutAt = Math.min(q.timeoutAt, by));
        on(new Event.Leaving(by));
    }

    void leave(Held q) {
        q.left = true;
        on(new Event.Left(q.taken.query()));
        forget(q);
    }

    void end(Held q, Outcome outcome) {
        Id.Engine engine = q.out;
        q.out = null;
        if (!outcome.neverRan() && q.ran == null) {
            q.ran = engine;
            q.ranSince = q.sentAt;
        }
        q.unclear |= UNCLEAR.contains(outcome);
        boolean over = q.answered || q.left || outcome == Outcome.FINISHED;
        q.answered |= outcome == Outcome.FINISHED;
        if (over) {
            forget(q);
        }
        on(new Event.Closed(q.taken.query(), new Id.Submission(q.submissions - 1), outcome, over,
                now - q.sentAt, Math.min(unseen, now - q.sentAt), 0));
    }

    void on(Event event) {
        last.clear();
        if (event instanceof Event.ListUnavailable) {
            unaskedSince = Math.min(unaskedSince, now);
        }
        control.on(now, event, this::check);
    }

    /** Lets time pass, with timers, time-outs and the client's own end on the way. */
    void pass(long span) {
        for (long end = now + span; now < end; ) {
            long next = end;
            for (long[] timer : timers) {
                next = Math.min(next, timer[0]);
            }
            for (Held q : held.values()) {
                if (q.out != null) {
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
            for (Held q : List.copyOf(held.values())) {
                if (q.out != null && now >= q.timeoutAt) {
                    end(q, Outcome.TIMED_OUT);
                }
                if (!q.answered && !q.left && now > Math.min(q.taken.clientDeadline(), leavesBy) + GRACE) {
                    throw new AssertionError("no final answer in time for " + q.taken);
                }
            }
            if (rules.discovery().mustSubscribe() && now - unaskedSince > rules.discovery().subscribeWithin()) {
                throw new AssertionError("discovery was not asked for too long");
            }
        }
    }

    private void forget(Held q) {
        if (q.out != null || !q.answered && !q.left) {
            return;
        }
        held.remove(q.taken.query());
        if (q.unclear && q.taken.key() != null && group(q).ordered()) {
            restUntil.merge(q.taken.key(), now + rules.orderKeyDelay(), Math::max);
        }
    }

    private void check(Action action) {
        last.add(action);
        if (action instanceof Action.WakeMe wake) {
            timers.add(new long[] {now + wake.span(), wake.timer().value()});
        } else if (action instanceof Action.FollowEngines) {
            unaskedSince = Long.MAX_VALUE;
        } else if (action instanceof Action.Submit submit) {
            submits.add(submit);
            check(submit);
        } else if (action instanceof Action.Defer defer) {
            Held q = unanswered(defer.query());
            Deployment.ResourceGroup group = group(q);
            require(group.effect() == Effect.READ_ONLY || q.ran == null && q.out == null
                    || group.effect() == Effect.TOKENED && group.recognised() == Recognised.ALL,
                    "unsafe deferral", q);
            q.answered = true;
            forget(q);
        } else if (action instanceof Action.Kill kill) {
            Held q = unanswered(kill.query());
            q.answered = true;
            forget(q);
        } else if (action instanceof Action.Cancel cancel) {
            cancels.add(cancel.query());
            require(rules.allowed().cancel(), "cancel where it is not allowed", null);
        }
    }

    private void check(Action.Submit submit) {
        Held q = unanswered(submit.query());
        Deployment.ResourceGroup group = group(q);
        Listing to = listed.get(submit.engine());
        require(q.out == null, "two submissions at once", q);
        require(to != null, "engine never listed", q);
        require(toldOff.getOrDefault(submit.engine(), now) >= now, "drained engine",
                q);
        require(group.zones() == null || group.zones().contains(to.zone()), "placement by zone", q);
        require(group.kinds() == null || group.kinds().contains(to.kind()), "placement by kind", q);
        if (q.ran != null && group.effect() != Effect.READ_ONLY) {
            Listing ran = listed.get(q.ran);
            require(group.effect() == Effect.TOKENED, "a mutating query twice", q);
            require(group.recognised() == Recognised.ALL || group.recognised() == Recognised.ZONE
                    && ran.zone().equals(to.zone()) || ran.cell().equals(to.cell()), "outside its group", q);
            require(now - q.ranSince <= group.recognisedFor(), "after its repeats were forgotten", q);
            require(submit.departBy() < q.ranSince + group.recognisedFor(),
                    "it may arrive after its repeats are forgotten", q);
        }
        if (group.ordered() && q.taken.key() != null) {
            for (Held other : held.values()) {
                boolean earlier = other.taken.query().value() < q.taken.query().value();
                require(!earlier || !group(other).ordered() || !q.taken.key().equals(other.taken.key()),
                        "out of order", q);
            }
            require(now >= restUntil.getOrDefault(q.taken.key(), 0L), "the key rests", q);
        }
        if (q.submissions > 0 && rules.resubmissionBudget() != null) {
            further.add(now);
            long since = now - rules.resubmissionBudget().window();
            double most = rules.resubmissionBudget().freeResubmissions()
                    + rules.resubmissionBudget().perQuery() * taken.stream().filter(t -> t > since).count();
            require(further.stream().filter(t -> t > since).count() <= most, "beyond the ration", q);
        }
        if (to.startedAt() > 0 && now - to.startedAt() < rules.coldStart().ramp()) {
            List<long[]> sent = sentCold.computeIfAbsent(to.engine(), e -> new ArrayList<>());
            // The rule weighs a query by what is usual for its group; this is the least that a front may hold
            // usual of the draws.
            sent.add(new long[] {now, q.taken.estimate() > 0 ? USUAL_AT_LEAST : 0});
            long since = now - rules.coldStart().window();
            Deployment.ColdStart cold = rules.coldStart();
            double most = cold.overloadMultiple() * cold.initialSpeed() * 8 * cold.window() / rules.fronts();
            // Where its part is under one query a front takes its turn with one.
            require(sent.stream().filter(s -> s[0] > since).mapToLong(s -> s[1]).sum()
                    <= Math.max(most, USUAL_AT_LEAST), "cold engine", q);
        }
        q.submissions++;
        q.out = submit.engine();
        q.sentAt = now;
        q.timeoutAt = Math.min(leavesBy, submit.timeout() > 0
                ? Math.min(q.taken.clientDeadline(), now + submit.timeout()) : q.taken.clientDeadline());
    }

    private Deployment.ResourceGroup group(Held q) {
        return rules.groups().get(q.taken.group().index());
    }

    private Held unanswered(Id.Query id) {
        Held q = held.get(id);
        require(q != null && !q.answered && !q.left, "acts for a query that is over: " + id, q);
        return q;
    }

    private static void require(boolean holds, String what, Held q) {
        if (!holds) {
            throw new AssertionError(what + (q == null ? "" : ": " + q.taken));
        }
    }

    /** Settings of every sort, the three deployments' among them. */
    static Deployment draw(SplittableRandom chance) {
        Set<Id.Zone> zones = chance.nextInt(3) == 0 ? Set.of(new Id.Zone("z1")) : null;
        Set<Id.Kind> kinds = chance.nextInt(4) == 0 ? new HashSet<>(List.of(new Id.Kind("m"))) : null;
        boolean ordered = chance.nextBoolean();
        Deployment.ResourceGroup third = new Deployment.ResourceGroup(8_000, 2, 2, chance.nextInt(2) * 0.4,
                1 + chance.nextInt(3), Effect.values()[chance.nextInt(3)],
                Recognised.values()[chance.nextInt(3)],
                2 * SECOND, ordered, zones, kinds);
        Deployment.ResourceGroup fourth = new Deployment.ResourceGroup(8_000, 0, 1, 0, 1,
                Effect.values()[chance.nextInt(3)], Recognised.values()[chance.nextInt(3)], 3 * SECOND,
                ordered, null, null);
        Deployment.Ration ration = chance.nextInt(3) == 0 ? null
                : new Deployment.Ration(chance.nextInt(4), 0.1, (1 + chance.nextInt(8)) * SECOND);
        int[] fronts = {1, 2, 7, 300};
        return deployment(fronts[chance.nextInt(4)], chance.nextBoolean(), chance.nextInt(3) == 0, ration,
                SHORT, LONG, third, fourth);
    }
}
