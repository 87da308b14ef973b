package reedspring;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reedspring.api.Action;
import reedspring.api.Deployment;
import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.Listing;
import reedspring.api.Event.Outcome;
import reedspring.api.Event.Reading;
import reedspring.api.Id;
import reedspring.api.Load;

/**
 * What is meant to change no decision changes none: seeded runs of {@link Control}, of which each action goes
 * into a log, and the log's hash has to be the one that was kept. ControlTest checks that decisions are
 * right, this that they are the same.
 *
 * <p>The first action that differs: run both builds with {@code -Ddecisions.run="12 60 3"} (the words that
 * the failure names: fronts, engines, seed), and compare the two logs, {@code target/decisions-12-60-3.log}.
 * Where decisions change on purpose, this makes the kept hashes anew, and the commit says why:
 * {@code mvn -q -o test -Dtest=DecisionsTest -Ddecisions.keep=true}
 */
class DecisionsTest {
    private static final Path KEPT = Path.of("src/test/resources/reedspring/decisions.txt");
    private static final long SECOND = 10_000;
    private static final int SEEDS = 6;
    private static final int STEPS = 1_500;

    @Example
    void eachDecisionIsTheOneThatWasKept() throws IOException {
        List<String> made = new ArrayList<>();
        for (int fronts : new int[] {1, 3, 12, 100}) {
            for (int engines : new int[] {5, 12, 60}) {
                for (int seed = 0; seed < SEEDS; seed++) {
                    made.add(run(fronts, engines, seed));
                }
            }
        }
        if (Boolean.getBoolean("decisions.keep")) {
            Files.createDirectories(KEPT.getParent());
            Files.write(KEPT, made);
        }
        List<String> kept = Files.readAllLines(KEPT);
        for (int k = 0; k < made.size(); k++) {
            String words = made.get(k).replaceFirst(" actions .*", "");
            assertEquals(kept.get(k), made.get(k), "other decisions than those kept; for the log:"
                    + " -Ddecisions.run=\"" + words + "\"");
        }
        assertEquals(kept.size(), made.size());
    }

    /** A run that decides little shows little. */
    @Example
    void theRunsHoldWhatDecisionsAreMadeOf() throws IOException {
        String all = IntStream.range(0, SEEDS).mapToObj(seed -> new Run(12, 12, seed).log())
                .collect(Collectors.joining());
        for (String word : List.of(" submit ", " priority ", " cancel ", " defer ", " kill ", " wake ",
                " follow", ", barred", " is back", "is sent less", "is sent its share again")) {
            assertEquals(true, all.contains(word), "no run has '" + word + "'");
        }
    }

    private static String run(int fronts, int engines, int seed) throws IOException {
        String log = new Run(fronts, engines, seed).log();
        String words = fronts + " " + engines + " " + seed;
        if (words.equals(System.getProperty("decisions.run"))) {
            Files.writeString(Path.of("target/decisions-" + words.replace(' ', '-') + ".log"), log);
        }
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(log.getBytes(StandardCharsets.UTF_8));
            return words + " actions " + log.lines().count() + " sha256 " + HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new UncheckedIOException(new IOException(e));
        }
    }

    /** One Control, with clients, engines and discovery that do what chance says and heed its actions. */
    private static final class Run {
        private final SplittableRandom chance;
        private final Deployment rules;
        private final int fronts;
        private final long seed;
        private final StringBuilder log = new StringBuilder();
        private final Map<Long, Open> open = new LinkedHashMap<>();
        private final List<long[]> timers = new ArrayList<>();
        private final List<Listing> list = new ArrayList<>();
        private final Map<Id.Engine, Double> slow = new HashMap<>();
        private final double trouble;
        private final double pressure;
        private Control control;
        private long now = 3_000_000;
        private long ids;
        private int names;

        /** A query as its client and its engine know it. */
        private static final class Open {
            private Event.Taken taken;
            private Id.Engine out;
            private int submissions;
            private long sentAt;
            private long endsAt;
            private boolean answered;
            private boolean cancelled;
        }

        Run(int fronts, int engines, long seed) {
            this.fronts = fronts;
            this.seed = seed;
            chance = new SplittableRandom(seed * 1_000_003 + fronts * 1_009 + engines);
            rules = draw();
            trouble = chance.nextInt(3) == 0 ? 0.3 * chance.nextDouble() : 0.03;
            pressure = 0.4 + 1.2 * chance.nextDouble();
            start();
            for (int k = 0; k < engines; k++) {
                list.add(fresh(chance.nextInt(8) == 0 ? now - chance.nextInt(60_000) : 0));
            }
            listed(Reading.REMEMBERED, list);
            double cores = 8.0 * engines / fronts;
            for (int step = 0; step < STEPS; step++) {
                // As many queries as the front's part of the fleet runs at that pressure, 0.4 s each.
                pass(1 + (long) (chance.nextDouble() * 2 * 4_000 / Math.max(4, cores * pressure)));
                step(step);
            }
            on(new Event.Leaving(now + 2 * SECOND));
            for (int step = 0; step < 30; step++) {
                pass(1 + chance.nextInt(1_000));
                take();
            }
            pass(10 * SECOND);
        }

        String log() {
            return log.toString();
        }

        private void start() {
            open.clear();
            timers.clear();
            control = new Control(seed, rules, now, this::act);
        }

        private void step(int step) {
            int what = chance.nextInt(100);
            if (what < 78) {
                for (int burst = chance.nextInt(100) == 0 ? 30 : 1; burst > 0; burst--) {
                    take();
                }
            } else if (what < 84) {
                draw(open.values().stream().filter(q -> q.out != null).toList()).forEach(q -> {
                    if (chance.nextInt(6) == 0) {
                        on(new Event.StreamBegan(q.taken.query(), new Id.Submission(q.submissions - 1)));
                    } else {
                        on(new Event.ShareDone(q.taken.query(), new Id.Submission(q.submissions - 1),
                                chance.nextDouble() * (chance.nextInt(3) == 0 ? 0.1 : 1),
                                chance.nextInt(3) * 500));
                    }
                });
            } else if (what < 88) {
                draw(List.copyOf(list)).forEach(to -> on(new Event.LoadReported(to.engine(),
                        new Load(chance.nextInt(3) == 0 ? Double.NaN : chance.nextDouble(),
                                chance.nextDouble(), Double.NaN, chance.nextInt(30), chance.nextInt(9)))));
            } else if (what < 90) {
                draw(open.values().stream().filter(q -> !q.answered).toList()).forEach(q -> {
                    q.answered = true;
                    on(new Event.Left(q.taken.query()));
                    forget(q);
                });
            } else if (what < 97) {
                lists(step);
            } else if (what == 97) {
                on(new Event.ListUnavailable());
            } else if (what == 98 && chance.nextInt(8) == 0) {
                start();
                listed(Reading.REMEMBERED, list);
            } else {
                draw(List.copyOf(list)).forEach(e -> slow.put(e.engine(), chance.nextInt(3) == 0
                        ? 1 : 1 + 4 * chance.nextDouble()));
            }
        }

        private void take() {
            int group = Math.min(rules.groups().size() - 1, chance.nextInt(6));
            Open q = new Open();
            long work = 500 + (long) (3_500 * -Math.log(1 - chance.nextDouble()));
            q.taken = new Event.Taken(new Id.Query(++ids), new Id.Group(group),
                    chance.nextInt(12) == 0 ? Id.Tenant.NOBODY : new Id.Tenant(chance.nextInt(2)),
                    new Id.DataSet(ids % 7), chance.nextInt(5) == 0 ? 0 : work,
                    chance.nextInt(50) == 0 ? 6_000 : work / 30.0, now + 2_000 + chance.nextInt(40_000),
                    chance.nextInt(4) == 0 ? new Id.OrderKey("k" + chance.nextInt(5)) : null);
            open.put(ids, q);
            on(q.taken);
        }

        /** Changes, whole lists, engines that drain, go, come back as they were or anew, or are replaced. */
        private void lists(int step) {
            List<Listing> changes = new ArrayList<>();
            int what = chance.nextInt(12);
            int many = what == 11 ? list.size() / 2 : 1 + chance.nextInt(2);
            for (int k = 0; k < many && list.size() > 1; k++) {
                int at = chance.nextInt(list.size());
                Listing before = list.get(at);
                switch (what) {
                    case 0, 1 -> changes.add(with(before, Health.DRAINING, before.startedAt()));
                    case 2 -> changes.add(with(before, Health.GONE, before.startedAt()));
                    case 3, 4 -> changes.add(with(before, Health.UP, now));
                    case 5 -> {
                        changes.add(with(before, Health.GONE, before.startedAt()));
                        Listing next = fresh(now);
                        list.set(at, next);
                        changes.add(next);
                        continue;
                    }
                    case 6 -> changes.add(new Listing(before.engine(), kind(), before.zone(),
                            new Id.Cell(chance.nextInt(3)), Health.UP, before.startedAt()));
                    case 11 -> {
                        list.set(at, fresh(chance.nextBoolean() ? 0 : now));
                        continue;
                    }
                    default -> changes.add(with(before, Health.UP, before.startedAt()));
                }
                list.set(at, changes.get(changes.size() - 1));
            }
            if (step % 3 == 0 && what > 8) {
                // in the order of another service, and at times with a row that is named twice
                List<Listing> whole = new ArrayList<>(list);
                for (int k = whole.size() - 1; k > 0; k--) {
                    whole.set(k, whole.set(chance.nextInt(k + 1), whole.get(k)));
                }
                if (chance.nextInt(3) == 0) {
                    whole.add(with(whole.get(0), Health.DRAINING, 0));
                }
                listed(Reading.COMPLETE, whole);
            } else if (what == 11) {
                listed(Reading.COMPLETE, list);
            } else {
                listed(Reading.CHANGES, changes);
            }
        }

        private void listed(Reading reading, List<Listing> rows) {
            on(new Event.EnginesListed(reading, List.copyOf(rows)));
        }

        private Listing fresh(long startedAt) {
            return new Listing(new Id.Engine("10.0." + names / 250 + "." + names++ % 250 + ":5050"), kind(),
                    new Id.Zone("z" + chance.nextInt(3)), new Id.Cell(chance.nextInt(3)), Health.UP,
                    startedAt);
        }

        private Id.Kind kind() {
            return new Id.Kind(new String[] {"m", "m", "m", "s", "l", "odd"}[chance.nextInt(6)]);
        }

        private static Listing with(Listing before, Health health, long startedAt) {
            return new Listing(before.engine(), before.kind(), before.zone(), before.cell(), health,
                    startedAt);
        }

        /** One of them, or none if there is none. */
        private <T> List<T> draw(List<T> all) {
            return all.isEmpty() ? all : List.of(all.get(chance.nextInt(all.size())));
        }

        private void pass(long span) {
            for (long end = now + span; now < end; ) {
                long next = end;
                for (long[] timer : timers) {
                    next = Math.min(next, timer[0]);
                }
                for (Open q : open.values()) {
                    next = Math.min(next, q.out != null ? q.endsAt : end);
                }
                now = Math.max(now, next);
                for (long[] timer : List.copyOf(timers)) {
                    if (timer[0] <= now) {
                        timers.remove(timer);
                        on(new Event.Woken(new Id.Timer(timer[1])));
                    }
                }
                for (Open q : List.copyOf(open.values())) {
                    if (q.out != null && now >= q.endsAt) {
                        end(q);
                    }
                }
            }
        }

        private void end(Open q) {
            Outcome outcome = q.cancelled ? Outcome.CANCELLED
                    : now >= q.taken.clientDeadline() ? Outcome.TIMED_OUT
                    : chance.nextDouble() > trouble ? Outcome.FINISHED
                    : Outcome.values()[chance.nextInt(Outcome.values().length)];
            q.out = null;
            boolean over = q.answered || outcome == Outcome.FINISHED;
            q.answered |= outcome == Outcome.FINISHED;
            forget(q);
            long took = now - q.sentAt;
            on(new Event.Closed(q.taken.query(), new Id.Submission(q.submissions - 1), outcome, over, took,
                    chance.nextInt(5) == 0 ? Math.min(took, chance.nextInt(3_000)) : 0,
                    outcome == Outcome.FINISHED && chance.nextInt(3) > 0 ? 1 + q.taken.estimate() : 0));
        }

        private void forget(Open q) {
            if (q.answered && q.out == null) {
                open.remove(q.taken.query().value());
            }
        }

        private void on(Event event) {
            control.on(now, event, this::act);
        }

        private void act(Action action) {
            log.append(now);
            if (action instanceof Action.Submit submit) {
                Open q = open.get(submit.query().value());
                q.out = submit.engine();
                q.submissions++;
                q.cancelled = false;
                q.sentAt = now;
                double takes = Math.max(500, q.taken.estimate()) * slow.getOrDefault(q.out, 1.0)
                        * (0.8 + 0.4 * chance.nextDouble())
                        / rules.groups().get(q.taken.group().index()).threads();
                q.endsAt = Math.min(q.taken.clientDeadline(), now + 1 + (chance.nextInt(40) == 0
                        ? 60 * SECOND : (long) takes));
                log.append(" submit ").append(submit.query().value()).append(' ')
                        .append(submit.engine().address()).append(' ').append(submit.timeout()).append(' ')
                        .append(submit.departBy());
            } else if (action instanceof Action.SetPriority priority) {
                log.append(" priority ").append(priority.query().value()).append(' ')
                        .append(priority.priority());
            } else if (action instanceof Action.Cancel cancel) {
                Open q = open.get(cancel.query().value());
                if (q != null && q.out != null) {
                    q.cancelled = true;
                    q.endsAt = Math.min(q.endsAt, now + 1 + chance.nextInt(20));
                }
                log.append(" cancel ").append(cancel.query().value()).append(' ')
                        .append(cancel.submission().value());
            } else if (action instanceof Action.Defer defer) {
                log.append(" defer ").append(defer.query().value()).append(' ').append(defer.comeBack());
                answered(defer.query());
            } else if (action instanceof Action.Kill kill) {
                log.append(" kill ").append(kill.query().value());
                answered(kill.query());
            } else if (action instanceof Action.WakeMe wake) {
                timers.add(new long[] {now + wake.span(), wake.timer().value()});
                log.append(" wake ").append(wake.timer().value()).append(' ').append(wake.span());
            } else if (action instanceof Action.FollowEngines) {
                log.append(" follow");
            } else if (action instanceof Action.Remark remark) {
                log.append(" remark ").append(remark.text());
            } else {
                throw new AssertionError("an action of a new kind: " + action);
            }
            log.append('\n');
        }

        private void answered(Id.Query query) {
            Open q = open.get(query.value());
            q.answered = true;
            forget(q);
        }

        private Deployment draw() {
            Set<Id.Zone> zones = chance.nextInt(3) == 0 ? new HashSet<>(List.of(new Id.Zone("z1"))) : null;
            Set<Id.Kind> kinds = chance.nextInt(4) == 0 ? new HashSet<>(List.of(new Id.Kind("m"))) : null;
            boolean ordered = chance.nextBoolean();
            Deployment.ResourceGroup third = new Deployment.ResourceGroup(8_000, 2, 2,
                    chance.nextInt(2) * 0.4, 1 + chance.nextInt(3), Effect.values()[chance.nextInt(3)],
                    Recognised.values()[chance.nextInt(3)], 2 * SECOND, ordered, zones, kinds);
            Deployment.ResourceGroup fourth = new Deployment.ResourceGroup(8_000, 0, 1, 0, 1,
                    Effect.values()[chance.nextInt(3)], Recognised.values()[chance.nextInt(3)], 3 * SECOND,
                    ordered, null, null);
            Deployment.Ration ration = chance.nextInt(3) == 0 ? null
                    : new Deployment.Ration(chance.nextInt(4), 0.1, (1 + chance.nextInt(8)) * SECOND);
            // Whole figures: their sum is the same in whatever order a map has them.
            return new Deployment(fronts, List.of(ControlHarness.SHORT, ControlHarness.LONG, third, fourth),
                    List.of(new Deployment.Tenant(0.7, 70), new Deployment.Tenant(0.3, 30)),
                    Map.of(new Id.Kind("m"), new Deployment.Machine(8, 16_000),
                            new Id.Kind("s"), new Deployment.Machine(4, 8_000),
                            new Id.Kind("l"), new Deployment.Machine(32, 64_000)),
                    new Deployment.Allowed(seed % 3 > 0, seed % 4 > 0, seed % 2 > 0, 1 + chance.nextInt(4),
                            SECOND / 2),
                    new Deployment.Discovery(chance.nextInt(3) == 0, 10 * SECOND),
                    new Deployment.ColdStart(0.3, 10 * SECOND, 3, 2 * SECOND), ration, SECOND, 0.1,
                    2 * SECOND, chance.nextBoolean());
        }
    }
}
