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
import reedspring.api.Event.ListKind;
import reedspring.api.Event.Listing;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.api.Load;

/**
 * Guards against unintended changes of decisions: logs all actions of seeded runs of {@link Control} and
 * compares the hash of each log with the kept one. ControlTest checks that decisions are correct, this test
 * that they are unchanged.
 *
 * <p>To find the first action that differs, run both builds with {@code -Ddecisions.run="12 60 3"} (fronts,
 * engines and seed as in the failure message) and compare the logs, {@code target/decisions-12-60-3.log}.
 * After an intended change, update the kept hashes and give the reason in the commit:
 * {@code mvn -q -o test -Dtest=DecisionsTest -Ddecisions.keep=true}
 */
class DecisionsTest {
    private static final Path EXPECTED_FILE = Path.of("src/test/resources/reedspring/decisions.txt");
    private static final long TICKS_PER_SECOND = 10_000;
    private static final int SEEDS = 6;
    private static final int STEPS = 1_500;

    @Example
    void decisionsMatchTheKeptHashes() throws IOException {
        List<String> actual = new ArrayList<>();
        for (int fronts : new int[] {1, 3, 12, 100}) {
            for (int engines : new int[] {5, 12, 60}) {
                for (int seed = 0; seed < SEEDS; seed++) {
                    actual.add(run(fronts, engines, seed));
                }
            }
        }
        if (Boolean.getBoolean("decisions.keep")) {
            Files.createDirectories(EXPECTED_FILE.getParent());
            Files.write(EXPECTED_FILE, actual);
        }
        List<String> expected = Files.readAllLines(EXPECTED_FILE);
        for (int k = 0; k < actual.size(); k++) {
            String words = actual.get(k).replaceFirst(" actions .*", "");
            assertEquals(expected.get(k), actual.get(k), "decisions differ from the kept ones; for the log:"
                    + " -Ddecisions.run=\"" + words + "\"");
        }
        assertEquals(expected.size(), actual.size());
    }

    /** The comparison is only useful if the runs contain every kind of action. */
    @Example
    void theRunsCoverAllKindsOfAction() throws IOException {
        String all = IntStream.range(0, SEEDS).mapToObj(seed -> new SimulatedRun(12, 12, seed).log())
                .collect(Collectors.joining());
        for (String word : List.of(" submit ", " priority ", " cancel ", " defer ", " kill ", " wake ",
                " follow", ", barred", " is back", "is sent less", "is sent its share again")) {
            assertEquals(true, all.contains(word), "no run contains '" + word + "'");
        }
    }

    private static String run(int fronts, int engines, int seed) throws IOException {
        String log = new SimulatedRun(fronts, engines, seed).log();
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

    /** Runs one Control with random but reproducible clients, engines and discovery. */
    private static final class SimulatedRun {
        private final SplittableRandom random;
        private final Deployment deployment;
        private final int fronts;
        private final long seed;
        private final StringBuilder log = new StringBuilder();
        private final Map<Long, OpenQuery> openQueries = new LinkedHashMap<>();
        private final List<long[]> timers = new ArrayList<>();
        private final List<Listing> list = new ArrayList<>();
        private final Map<Id.Engine, Double> slowdown = new HashMap<>();
        private final double errorRate;
        private final double loadRatio;
        private Control control;
        private long now = 3_000_000;
        private long lastId;
        private int engineCount;

        /** A query as its client and its engine see it. */
        private static final class OpenQuery {
            private Event.Taken event;
            private Id.Engine runningOn;
            private int submissions;
            private long sentAt;
            private long endsAt;
            private boolean answered;
            private boolean cancelled;
        }

        SimulatedRun(int fronts, int engines, long seed) {
            this.fronts = fronts;
            this.seed = seed;
            random = new SplittableRandom(seed * 1_000_003 + fronts * 1_009 + engines);
            deployment = draw();
            errorRate = random.nextInt(3) == 0 ? 0.3 * random.nextDouble() : 0.03;
            loadRatio = 0.4 + 1.2 * random.nextDouble();
            start();
            for (int k = 0; k < engines; k++) {
                list.add(newEngine(random.nextInt(8) == 0 ? now - random.nextInt(60_000) : 0));
            }
            sendList(ListKind.CACHED, list);
            double cores = 8.0 * engines / fronts;
            for (int step = 0; step < STEPS; step++) {
                // As many queries as the front's share of the engines runs at that load, 0.4 s each.
                advance(1 + (long) (random.nextDouble() * 2 * 4_000 / Math.max(4, cores * loadRatio)));
                step(step);
            }
            on(new Event.Leaving(now + 2 * TICKS_PER_SECOND));
            for (int step = 0; step < 30; step++) {
                advance(1 + random.nextInt(1_000));
                accept();
            }
            advance(10 * TICKS_PER_SECOND);
        }

        String log() {
            return log.toString();
        }

        private void start() {
            openQueries.clear();
            timers.clear();
            control = new Control(seed, deployment, now, this::handle);
        }

        private void step(int step) {
            int choice = random.nextInt(100);
            if (choice < 78) {
                for (int burst = random.nextInt(100) == 0 ? 30 : 1; burst > 0; burst--) {
                    accept();
                }
            } else if (choice < 84) {
                draw(openQueries.values().stream().filter(q -> q.runningOn != null).toList()).forEach(q -> {
                    if (random.nextInt(6) == 0) {
                        on(new Event.StreamBegan(q.event.query(), new Id.Submission(q.submissions - 1)));
                    } else {
                        on(new Event.ShareDone(q.event.query(), new Id.Submission(q.submissions - 1),
                                random.nextDouble() * (random.nextInt(3) == 0 ? 0.1 : 1),
                                random.nextInt(3) * 500));
                    }
                });
            } else if (choice < 88) {
                draw(List.copyOf(list)).forEach(listing -> on(new Event.LoadReported(listing.engine(),
                        new Load(random.nextInt(3) == 0 ? Double.NaN : random.nextDouble(),
                                random.nextDouble(), Double.NaN, random.nextInt(30), random.nextInt(9)))));
            } else if (choice < 90) {
                draw(openQueries.values().stream().filter(q -> !q.answered).toList()).forEach(q -> {
                    q.answered = true;
                    on(new Event.Left(q.event.query()));
                    removeIfClosed(q);
                });
            } else if (choice < 97) {
                changeList(step);
            } else if (choice == 97) {
                on(new Event.ListUnavailable());
            } else if (choice == 98 && random.nextInt(8) == 0) {
                start();
                sendList(ListKind.CACHED, list);
            } else {
                draw(List.copyOf(list)).forEach(e -> slowdown.put(e.engine(), random.nextInt(3) == 0
                        ? 1 : 1 + 4 * random.nextDouble()));
            }
        }

        private void accept() {
            int group = Math.min(deployment.groups().size() - 1, random.nextInt(6));
            OpenQuery q = new OpenQuery();
            long work = 500 + (long) (3_500 * -Math.log(1 - random.nextDouble()));
            q.event = new Event.Taken(new Id.Query(++lastId), new Id.Group(group),
                    random.nextInt(12) == 0 ? Id.Tenant.UNKNOWN : new Id.Tenant(random.nextInt(2)),
                    new Id.DataSet(lastId % 7), random.nextInt(5) == 0 ? 0 : work,
                    random.nextInt(50) == 0 ? 6_000 : work / 30.0, now + 2_000 + random.nextInt(40_000),
                    random.nextInt(4) == 0 ? new Id.OrderKey("k" + random.nextInt(5)) : null);
            openQueries.put(lastId, q);
            on(q.event);
        }

        /** Sends changes or a complete list: engines drain, leave, return, restart or are replaced. */
        private void changeList(int step) {
            List<Listing> changes = new ArrayList<>();
            int choice = random.nextInt(12);
            int count = choice == 11 ? list.size() / 2 : 1 + random.nextInt(2);
            for (int k = 0; k < count && list.size() > 1; k++) {
                int index = random.nextInt(list.size());
                Listing before = list.get(index);
                switch (choice) {
                    case 0, 1 -> changes.add(with(before, Health.DRAINING, before.startedAt()));
                    case 2 -> changes.add(with(before, Health.GONE, before.startedAt()));
                    case 3, 4 -> changes.add(with(before, Health.UP, now));
                    case 5 -> {
                        changes.add(with(before, Health.GONE, before.startedAt()));
                        Listing next = newEngine(now);
                        list.set(index, next);
                        changes.add(next);
                        continue;
                    }
                    case 6 -> changes.add(new Listing(before.engine(), kind(), before.zone(),
                            new Id.Cell(random.nextInt(3)), Health.UP, before.startedAt()));
                    case 11 -> {
                        list.set(index, newEngine(random.nextBoolean() ? 0 : now));
                        continue;
                    }
                    default -> changes.add(with(before, Health.UP, before.startedAt()));
                }
                list.set(index, changes.get(changes.size() - 1));
            }
            if (step % 3 == 0 && choice > 8) {
                // in another order, and sometimes with a duplicate entry
                List<Listing> shuffled = new ArrayList<>(list);
                for (int k = shuffled.size() - 1; k > 0; k--) {
                    shuffled.set(k, shuffled.set(random.nextInt(k + 1), shuffled.get(k)));
                }
                if (random.nextInt(3) == 0) {
                    shuffled.add(with(shuffled.get(0), Health.DRAINING, 0));
                }
                sendList(ListKind.COMPLETE, shuffled);
            } else if (choice == 11) {
                sendList(ListKind.COMPLETE, list);
            } else {
                sendList(ListKind.CHANGES, changes);
            }
        }

        private void sendList(ListKind reading, List<Listing> rows) {
            on(new Event.EnginesListed(reading, List.copyOf(rows)));
        }

        private Listing newEngine(long startedAt) {
            return new Listing(
                    new Id.Engine("10.0." + engineCount / 250 + "." + engineCount++ % 250 + ":5050"), kind(),
                    new Id.Zone("z" + random.nextInt(3)), new Id.Cell(random.nextInt(3)), Health.UP,
                    startedAt);
        }

        private Id.Kind kind() {
            return new Id.Kind(new String[] {"m", "m", "m", "s", "l", "odd"}[random.nextInt(6)]);
        }

        private static Listing with(Listing before, Health health, long startedAt) {
            return new Listing(before.engine(), before.kind(), before.zone(), before.cell(), health,
                    startedAt);
        }

        /** A list of one random element, empty if there is none. */
        private <T> List<T> draw(List<T> all) {
            return all.isEmpty() ? all : List.of(all.get(random.nextInt(all.size())));
        }

        private void advance(long ticks) {
            for (long end = now + ticks; now < end; ) {
                long next = end;
                for (long[] timer : timers) {
                    next = Math.min(next, timer[0]);
                }
                for (OpenQuery q : openQueries.values()) {
                    next = Math.min(next, q.runningOn != null ? q.endsAt : end);
                }
                now = Math.max(now, next);
                for (long[] timer : List.copyOf(timers)) {
                    if (timer[0] <= now) {
                        timers.remove(timer);
                        on(new Event.Woken(new Id.Timer(timer[1])));
                    }
                }
                for (OpenQuery q : List.copyOf(openQueries.values())) {
                    if (q.runningOn != null && now >= q.endsAt) {
                        end(q);
                    }
                }
            }
        }

        private void end(OpenQuery q) {
            Outcome outcome = q.cancelled ? Outcome.CANCELLED
                    : now >= q.event.clientDeadline() ? Outcome.TIMED_OUT
                    : random.nextDouble() > errorRate ? Outcome.FINISHED
                    : Outcome.values()[random.nextInt(Outcome.values().length)];
            q.runningOn = null;
            boolean queryOver = q.answered || outcome == Outcome.FINISHED;
            q.answered |= outcome == Outcome.FINISHED;
            removeIfClosed(q);
            long elapsed = now - q.sentAt;
            on(new Event.Closed(q.event.query(), new Id.Submission(q.submissions - 1), outcome, queryOver,
                    elapsed, random.nextInt(5) == 0 ? Math.min(elapsed, random.nextInt(3_000)) : 0,
                    outcome == Outcome.FINISHED && random.nextInt(3) > 0 ? 1 + q.event.estimate() : 0));
        }

        private void removeIfClosed(OpenQuery q) {
            if (q.answered && q.runningOn == null) {
                openQueries.remove(q.event.query().value());
            }
        }

        private void on(Event event) {
            control.onEvent(now, event, this::handle);
        }

        private void handle(Action action) {
            log.append(now);
            if (action instanceof Action.Submit submit) {
                OpenQuery q = openQueries.get(submit.query().value());
                q.runningOn = submit.engine();
                q.submissions++;
                q.cancelled = false;
                q.sentAt = now;
                double runTicks = Math.max(500, q.event.estimate()) * slowdown.getOrDefault(q.runningOn, 1.0)
                        * (0.8 + 0.4 * random.nextDouble())
                        / deployment.groups().get(q.event.group().index()).threads();
                q.endsAt = Math.min(q.event.clientDeadline(), now + 1 + (random.nextInt(40) == 0
                        ? 60 * TICKS_PER_SECOND : (long) runTicks));
                log.append(" submit ").append(submit.query().value()).append(' ')
                        .append(submit.engine().address()).append(' ').append(submit.timeout()).append(' ')
                        .append(submit.latestSendAt());
            } else if (action instanceof Action.SetPriority priority) {
                log.append(" priority ").append(priority.query().value()).append(' ')
                        .append(priority.priority());
            } else if (action instanceof Action.Cancel cancel) {
                OpenQuery q = openQueries.get(cancel.query().value());
                if (q != null && q.runningOn != null) {
                    q.cancelled = true;
                    q.endsAt = Math.min(q.endsAt, now + 1 + random.nextInt(20));
                }
                log.append(" cancel ").append(cancel.query().value()).append(' ')
                        .append(cancel.submission().value());
            } else if (action instanceof Action.Defer defer) {
                log.append(" defer ").append(defer.query().value()).append(' ').append(defer.retryAfter());
                markAnswered(defer.query());
            } else if (action instanceof Action.Kill kill) {
                log.append(" kill ").append(kill.query().value());
                markAnswered(kill.query());
            } else if (action instanceof Action.StartTimer wake) {
                timers.add(new long[] {now + wake.delay(), wake.timer().value()});
                log.append(" wake ").append(wake.timer().value()).append(' ').append(wake.delay());
            } else if (action instanceof Action.SubscribeToEngines) {
                log.append(" follow");
            } else if (action instanceof Action.LogMessage remark) {
                log.append(" remark ").append(remark.text());
            } else {
                throw new AssertionError("unknown kind of action: " + action);
            }
            log.append('\n');
        }

        private void markAnswered(Id.Query query) {
            OpenQuery q = openQueries.get(query.value());
            q.answered = true;
            removeIfClosed(q);
        }

        private Deployment draw() {
            Set<Id.Zone> zones = random.nextInt(3) == 0 ? new HashSet<>(List.of(new Id.Zone("z1"))) : null;
            Set<Id.Kind> kinds = random.nextInt(4) == 0 ? new HashSet<>(List.of(new Id.Kind("m"))) : null;
            boolean ordered = random.nextBoolean();
            Deployment.ResourceGroup third = new Deployment.ResourceGroup(8_000, 2, 2,
                    random.nextInt(2) * 0.4, 1 + random.nextInt(3), Effect.values()[random.nextInt(3)],
                    Recognised.values()[random.nextInt(3)], 2 * TICKS_PER_SECOND, ordered, zones, kinds);
            Deployment.ResourceGroup fourth = new Deployment.ResourceGroup(8_000, 0, 1, 0, 1,
                    Effect.values()[random.nextInt(3)], Recognised.values()[random.nextInt(3)],
                    3 * TICKS_PER_SECOND,
                    ordered, null, null);
            Deployment.ResubmissionBudget resubmissionBudget = random.nextInt(3) == 0 ? null
                    : new Deployment.ResubmissionBudget(random.nextInt(4), 0.1,
                            (1 + random.nextInt(8)) * TICKS_PER_SECOND);
            // Whole numbers, so that their sum does not depend on the iteration order of the map.
            return new Deployment(fronts, List.of(ControlHarness.SHORT, ControlHarness.LONG, third, fourth),
                    List.of(new Deployment.Tenant(0.7, 70), new Deployment.Tenant(0.3, 30)),
                    Map.of(new Id.Kind("m"), new Deployment.Machine(8, 16_000),
                            new Id.Kind("s"), new Deployment.Machine(4, 8_000),
                            new Id.Kind("l"), new Deployment.Machine(32, 64_000)),
                    new Deployment.Capabilities(seed % 3 > 0, seed % 4 > 0, seed % 2 > 0,
                            1 + random.nextInt(4), TICKS_PER_SECOND / 2),
                    new Deployment.Discovery(random.nextInt(3) == 0, 10 * TICKS_PER_SECOND),
                    new Deployment.ColdStart(0.3, 10 * TICKS_PER_SECOND, 3, 2 * TICKS_PER_SECOND),
                    resubmissionBudget,
                    TICKS_PER_SECOND, 0.1, 2 * TICKS_PER_SECOND, random.nextBoolean());
        }
    }
}
