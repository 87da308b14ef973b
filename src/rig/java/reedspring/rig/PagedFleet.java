package reedspring.rig;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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
import reedspring.api.Id;

/**
 * Many fronts' decisions before plain engines, in virtual time: an engine shares its cores among all it was
 * given, lets everything in, runs all of it much slower once the needs pass its memory, and works on whatever
 * nobody waits for any more. Clients that are deferred come again. Times are tenths of a millisecond.
 */
public final class PagedFleet {
    private static final long SECOND = 10_000;
    private static final long STEP = 50;
    /** How much slower all runs are when twice the memory is in use. */
    private static final double PAGING = 6;

    private final Deployment rules;
    private final Deployment.Machine machine;
    private final SplittableRandom chance;
    private final List<Front> fronts = new ArrayList<>();
    private final List<Machine> engines = new ArrayList<>();
    private final PriorityQueue<Call> calls =
            new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final double[] offered;
    private final double[] served;
    private final double[] paging;
    private long now;

    private record Run(Front front, Id.Query query, int submission, double work, double needMb, int threads,
                       double[] done, long since) { }

    /** A client's try at one front: {@code first} is when it came for the first time. */
    private record Call(long at, Front front, int group, double work, double needMb, long first,
                        int tries) { }

    private final class Machine {
        private final List<Run> runs = new ArrayList<>();

        /** How much of a thread's time each of its threads has. */
        private double pace() {
            int threads = runs.stream().mapToInt(Run::threads).sum();
            double used = runs.stream().mapToDouble(Run::needMb).sum() / machine.memoryMb();
            return Math.min(1, machine.cores() / Math.max(1, threads))
                    / (used > 1 ? 1 + PAGING * (used - 1) : 1);
        }

        private void step() {
            double pace = pace();
            runs.forEach(run -> run.done[0] += pace * run.threads * STEP);
            List<Run> ended = runs.stream().filter(run -> run.done[0] >= run.work).toList();
            runs.removeAll(ended);
            ended.forEach(run -> run.front.ended(run, Event.Outcome.FINISHED));
            List.copyOf(runs).stream().filter(run -> now - run.since >= STEP
                    && (now - run.since) % rules.noteEvery() < STEP).forEach(run -> run.front.noted(run));
        }
    }

    private final class Front {
        private final Map<Id.Query, Call> open = new HashMap<>();
        private final Map<Id.Query, Integer> submissions = new HashMap<>();
        private final Map<Id.Query, Run> out = new HashMap<>();
        private final Set<Id.Query> answered = new HashSet<>();
        private final List<Id.Query> over = new ArrayList<>();
        private final PriorityQueue<long[]> timers =
                new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        private final Control control;
        private long ids;

        private Front(long seed) {
            control = new Control(seed, rules, now, this::act);
            control.on(now, new Event.EnginesListed(Event.Reading.COMPLETE, IntStream.range(0, engines.size())
                    .mapToObj(k -> new Event.Listing(new Id.Engine("e" + k), rules.machines().keySet()
                            .iterator().next(), new Id.Zone("z"), new Id.Cell(0), Event.Health.UP, 0))
                    .toList()), this::act);
        }

        private void take(Call call) {
            Id.Query id = new Id.Query(++ids);
            open.put(id, call);
            control.on(now, new Event.Taken(id, new Id.Group(call.group), new Id.Tenant(0), new Id.DataSet(0),
                    Math.max(1, Math.round(call.work * Math.exp(0.4 * gauss()))),
                    call.needMb * Math.exp(0.3 * gauss()), leavesAt(call), null), this::act);
        }

        private void act(Action action) {
            if (action instanceof Action.Submit submit) {
                Call call = open.get(submit.query());
                int number = submissions.merge(submit.query(), 1, Integer::sum) - 1;
                Rig.require(call != null && !answered.contains(submit.query())
                        && !out.containsKey(submit.query()), "two submissions at once, or for what is over");
                Run run = new Run(this, submit.query(), number, call.work, call.needMb,
                        rules.groups().get(call.group).threads(), new double[1], now);
                out.put(submit.query(), run);
                engines.get(Integer.parseInt(submit.engine().address().substring(1))).runs.add(run);
            } else if (action instanceof Action.WakeMe wake) {
                timers.add(new long[] {now + wake.span(), wake.timer().value()});
            } else if (action instanceof Action.Defer defer) {
                answer(defer.query());
                Call call = open.get(defer.query());
                long back = now + Math.max(defer.comeBack(), SECOND / 20);
                if (call.tries < 3 && back < leavesAt(call)) {
                    calls.add(new Call(back, call.front, call.group, call.work, call.needMb, call.first,
                            call.tries + 1));
                }
            } else if (action instanceof Action.Kill kill) {
                answer(kill.query());
            }
        }

        private void answer(Id.Query id) {
            Rig.require(answered.add(id), "two final answers");
            forget(id);
        }

        private void forget(Id.Query id) {
            if (answered.contains(id) && !out.containsKey(id)) {
                over.add(id);
            }
        }

        private void ended(Run run, Event.Outcome outcome) {
            if (!out.remove(run.query, run)) {
                return;
            }
            Call call = open.get(run.query);
            if (outcome == Event.Outcome.FINISHED && answered.add(run.query)) {
                Deployment.ResourceGroup group = rules.groups().get(call.group);
                boolean inTime = now - call.first
                        <= group.targetBase() + group.targetPerWork() * call.work / group.threads();
                served[second(call.first)] += inTime ? group.value() : 0;
            }
            control.on(now, new Event.Closed(run.query, new Id.Submission(run.submission), outcome,
                    answered.contains(run.query), now - run.since, 0,
                    outcome == Event.Outcome.FINISHED ? Math.round(run.work) : 0), this::act);
            forget(run.query);
        }

        private void noted(Run run) {
            if (out.get(run.query) == run) {
                control.on(now, new Event.ShareDone(run.query, new Id.Submission(run.submission),
                        run.done[0] / run.work, 0), this::act);
            }
        }

        private void step() {
            while (!timers.isEmpty() && timers.peek()[0] <= now) {
                control.on(now, new Event.Woken(new Id.Timer(timers.poll()[1])), this::act);
            }
            for (Run run : List.copyOf(out.values())) {
                if (now >= leavesAt(open.get(run.query))) {
                    ended(run, Event.Outcome.TIMED_OUT);
                }
            }
            open.forEach((id, call) -> Rig.require(answered.contains(id)
                    || now <= leavesAt(call) + SECOND / 10, "no final answer in time"));
            for (Id.Query id : over) {
                open.remove(id);
                submissions.remove(id);
                answered.remove(id);
            }
            over.clear();
        }
    }

    public PagedFleet(Deployment rules, int engines, long seed, int seconds) {
        this.rules = rules;
        this.machine = rules.machines().values().iterator().next();
        this.chance = new SplittableRandom(seed);
        this.offered = new double[seconds + 1];
        this.served = new double[seconds + 1];
        this.paging = new double[seconds + 1];
        for (int k = 0; k < engines; k++) {
            this.engines.add(new Machine());
        }
        for (int k = 0; k < rules.fronts(); k++) {
            fronts.add(new Front(chance.nextLong()));
        }
    }

    private int second(long at) {
        return (int) (at / SECOND);
    }

    private long leavesAt(Call call) {
        return call.first + 5 * rules.groups().get(call.group).targetBase();
    }

    private double gauss() {
        return chance.nextGaussian();
    }

    /**
     * Plays on with {@code perSecond} new queries a second over all fronts, one in {@code longOneIn} of the
     * second group; the works' and needs' means are those of the two groups, both widely scattered.
     */
    public void play(int seconds, double perSecond, int longOneIn, double[] work, double[] needMb) {
        for (long end = now + seconds * SECOND; now < end; now += STEP) {
            double due = perSecond * STEP / SECOND;
            for (int k = (int) due + (chance.nextDouble() < due % 1 ? 1 : 0); k > 0; k--) {
                int group = chance.nextInt(longOneIn) == 0 ? 1 : 0;
                calls.add(new Call(now, fronts.get(chance.nextInt(fronts.size())), group,
                        work[group] * Math.exp(gauss() - 0.5),
                        needMb[group] * Math.exp(0.7 * gauss() - 0.25), now, 1));
                offered[second(now)] += rules.groups().get(group).value();
            }
            while (!calls.isEmpty() && calls.peek().at <= now) {
                Call call = calls.poll();
                call.front.take(call);
            }
            engines.forEach(Machine::step);
            fronts.forEach(Front::step);
            paging[second(now)] += engines.stream().filter(e -> e.runs.stream().mapToDouble(Run::needMb).sum()
                    > machine.memoryMb()).count() * (double) STEP / SECOND;
        }
    }

    /** The share of the value of what first came in these seconds that was answered within its target. */
    public double served(int from, int to) {
        return IntStream.range(from, to).mapToDouble(k -> served[k]).sum()
                / IntStream.range(from, to).mapToDouble(k -> offered[k]).sum();
    }

    /** Engines out of memory, on average over these seconds. */
    public double paging(int from, int to) {
        return IntStream.range(from, to).mapToDouble(k -> paging[k]).sum() / (to - from);
    }
}
