package reedspring.rig.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable.Entry;
import reedspring.rig.fleet.Timetable.EntryType;
import reedspring.rig.fleet.Timetable.Link;

/**
 * Checks a run from outside: by what clients sent and received, what engines received and when, and which
 * events each front had been sent. The kill of a front and a fault on the client's link excuse the requests
 * that they hit, and nothing else. Times are nanoseconds of the monotonic clock.
 */
public final class RunChecker {
    private static final long NS_PER_MS = 1_000_000;
    private static final long OVERLAP_TOLERANCE_NS = 20 * NS_PER_MS;
    private static final long STARTUP_NS = 6_000 * NS_PER_MS;
    /** A run in which the rig itself stalled for longer is void. */
    private static final long MAX_RIG_STALL_MS = 100;

    /**
     * The tolerances of the checks in milliseconds.
     *
     * @param answerMs an answer after its client's deadline
     * @param drainMs a submission after the grace period of a drain notice
     * @param clientLeftMs a submission after its client closed its connection or revoked the request
     * @param engineTimeoutMs the timeout passed to an engine over the client's remaining time
     * @param shutdownExcused whether a front's shutdown excuses the requests that it held
     */
    record Tolerances(long answerMs, long drainMs, long clientLeftMs, long engineTimeoutMs,
            boolean shutdownExcused) {
        /** The limits of the operators' documentation; the rig's own stalls are added to them. */
        static final Tolerances DOCUMENTED = new Tolerances(500, 50, 100, 150, false);
        /** Limits for a machine that is busy with many processes and therefore late itself. */
        static final Tolerances LOADED_MACHINE = new Tolerances(1_000, 250, 500, 500, true);
    }

    /** The rig itself stalled, so that the run says nothing about the fronts. */
    public static final class VoidRunException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        VoidRunException(String message) {
            super(message);
        }
    }
    /** During a journal fault an event counts as known to the front after this time, received or not. */
    private static final long JOURNAL_KNOWN_AFTER_NS = 7_000 * NS_PER_MS;

    private final Timetable timetable;
    private final long seed;
    private final Tolerances tolerances;
    private long startedAt;
    private long rigStallMs;
    private final List<Span> excusedSpans = new ArrayList<>();
    /** Spans in which a front knew an engine to be draining or gone, by front and engine. */
    private final Map<String, List<DrainSpan>> drainSpans = new HashMap<>();
    private final List<Span> clientLinkFaults = new ArrayList<>();
    /** Spans from the SIGKILL after a front's shutdown until it serves again, in which no front listens. */
    private final List<Span> absentSpans = new ArrayList<>();
    private String lateShutdown;
    private final Map<String, Long> knownReadySince = new HashMap<>();
    private final Map<Integer, Long> downSince = new HashMap<>();
    private final Map<Integer, Long> restartedAt = new HashMap<>();
    private final Map<Integer, Long> pausedSince = new HashMap<>();
    private final List<Span> paused = new ArrayList<>();
    private final List<Span> journalLinkFaults = new ArrayList<>();
    private final List<Span> engineLinkFaults = new ArrayList<>();

    private record Span(int front, long startsAt, long endsAt) {
        private boolean overlaps(int otherFront, long first, long last) {
            return front == otherFront && startsAt <= last && endsAt >= first;
        }
    }

    /**
     * A span in which an engine is announced as not ready; its end is {@code Long.MAX_VALUE} while it lasts.
     */
    private record DrainSpan(long announcedAt, long endsAt) {
    }

    RunChecker(Timetable timetable, long seed, Tolerances tolerances) {
        this.timetable = timetable;
        this.seed = seed;
        this.tolerances = tolerances;
    }

    /** Sets the longest stall of the rig in milliseconds. */
    synchronized void recordRigStall(long ms) {
        rigStallMs = ms;
    }

    /** Records whether a front that received SIGTERM had exited before SIGKILL. */
    synchronized void recordShutdown(int front, boolean exited) {
        if (!exited && paused.stream().noneMatch(s -> s.front == front)) {
            lateShutdown = "front " + front + " had not exited before SIGKILL";
        }
    }

    /** Records the start of the run. */
    synchronized void runStarted(long startTime) {
        startedAt = startTime;
    }

    /** Records the span in which an entry affects the fronts' links, or excuses their shutdown. */
    synchronized void entryBegan(Entry entry, Set<Integer> fronts, Set<Integer> engines) {
        long now = System.nanoTime();
        long endsAt = now + entry.spanTicks() * 100_000 + 50 * NS_PER_MS;
        for (int front : fronts) {
            if (entry.type().affectsLinks() && entry.link() == Link.CLIENT) {
                excusedSpans.add(new Span(front, now - 50 * NS_PER_MS, endsAt));
                clientLinkFaults.add(new Span(front, now - 50 * NS_PER_MS, endsAt
                        + entry.byTicks() * 200_000));
            } else if (entry.type().affectsLinks() && entry.link() == Link.JOURNAL) {
                journalLinkFaults.add(new Span(front, now - 50 * NS_PER_MS, endsAt + 1_000 * NS_PER_MS));
            } else if (entry.type().affectsLinks()) {
                // What a front wrote to a slow or cut link reaches the engine later.
                engineLinkFaults.add(new Span(front, now - 50 * NS_PER_MS, endsAt
                        + (entry.type() == EntryType.DELAY ? entry.byTicks() * 200_000 : 0)
                        + 100 * NS_PER_MS));
            } else if (entry.type() == EntryType.LEAVE && tolerances.shutdownExcused()) {
                excusedSpans.add(new Span(front, now, endsAt));
            }
        }
    }

    /** Records the kill of a front. */
    synchronized void killed(int front) {
        downSince.putIfAbsent(front, System.nanoTime());
    }

    /** Records a restart: requests are excused from the kill until the front serves again. */
    synchronized void frontRestarted(int front) {
        restartedAt.put(front, System.nanoTime());
        excusedSpans.add(new Span(front, downSince.remove(front) - 50 * NS_PER_MS, System.nanoTime()
                + STARTUP_NS));
    }

    /** Records a restart after a shutdown: the front had to answer everything it held before SIGKILL. */
    synchronized void startedAfterShutdown(int front) {
        restartedAt.put(front, System.nanoTime());
        Span downSpan = new Span(front, downSince.remove(front), System.nanoTime() + STARTUP_NS);
        (tolerances.shutdownExcused() ? excusedSpans : absentSpans).add(downSpan);
    }

    synchronized boolean isDown(int front, long at) {
        return downSince.containsKey(front);
    }

    synchronized void paused(int front) {
        pausedSince.put(front, System.nanoTime());
    }

    synchronized void resumed(int front) {
        paused.add(new Span(front, pausedSince.remove(front), System.nanoTime()));
    }

    /** Records that the engine's health was announced in the front's journal. */
    synchronized void announced(int front, String engine, String health) {
        String frontAndEngine = front + "/" + engine;
        long now = System.nanoTime();
        List<DrainSpan> spans = drainSpans.computeIfAbsent(frontAndEngine, k -> new ArrayList<>());
        DrainSpan last = spans.isEmpty() ? null : spans.get(spans.size() - 1);
        boolean unavailable = last != null && last.endsAt == Long.MAX_VALUE;
        if (health.equals("ready")) {
            knownReadySince.putIfAbsent(frontAndEngine, now);
            if (unavailable) {
                spans.set(spans.size() - 1, new DrainSpan(last.announcedAt, now));
            }
        } else if (!unavailable) {
            spans.add(new DrainSpan(now, Long.MAX_VALUE));
        }
    }

    /** Checks all rules over a whole run; throws on the first broken rule, naming the run and the time. */
    synchronized RunSummary check(List<SimulatedClients.Request> requests,
            List<SimulatedEngine.Submission> submissions, List<SimulatedEngine> engines) {
        if (rigStallMs > MAX_RIG_STALL_MS) {
            throw new VoidRunException("the test rig stalled for " + rigStallMs + " ms");
        }
        Rig.require(lateShutdown == null, lateShutdown + " (" + timetable + ", seed " + seed + ")");
        checkSentByClients(requests, submissions, engines);
        Map<String, List<SimulatedEngine.Submission>> byTrace = submissions.stream()
                .collect(Collectors.groupingBy(a -> a.trace));
        for (SimulatedClients.Request request : requests) {
            byTrace.getOrDefault(request.trace, List.of())
                    .forEach(submission -> checkClient(request, submission));
        }
        int excused = checkAnswers(requests, byTrace);
        requests.stream().filter(request -> request.query.group() == FleetSettings.MUTATING_GROUP)
                .forEach(request -> checkMutatingQuery(request,
                byTrace.getOrDefault(request.trace, List.of())));
        byTrace.forEach(this::checkSubmissions);
        submissions.forEach(this::checkDrain);
        double maxColdLoad = engines.stream().mapToDouble(engine -> checkColdEngine(engine, submissions))
                .max().orElse(0);
        return summarize(requests, submissions, excused, maxColdLoad);
    }

    /** An engine receives exactly what a client sent: trace, resource group and statement. */
    private void checkSentByClients(List<SimulatedClients.Request> requests,
            List<SimulatedEngine.Submission> submissions, List<SimulatedEngine> engines) {
        Map<String, SimulatedClients.Request> requestsByTrace = requests.stream()
                .collect(Collectors.toMap(request -> request.trace, request -> request));
        for (SimulatedEngine.Submission submission : submissions) {
            SimulatedClients.Request request = requestsByTrace.get(submission.trace);
            require(request != null && request.statement.equals(submission.statement)
                    && FleetSettings.GROUPS[request.query.group()].equals(submission.group), submission,
                    "an engine received what no client had sent: " + submission.group + " "
                    + submission.statement + ", where "
                            + (request == null ? "no request has this trace" : request.describe(startedAt)));
        }
        for (SimulatedEngine engine : engines) {
            Rig.require(engine.unexpectedCommands().isEmpty(), "an engine received what no client had sent: "
                    + engine.unexpectedCommands() + " to "
                    + engine.name + " (" + timetable + ", seed " + seed + ")");
        }
    }

    private int checkAnswers(List<SimulatedClients.Request> requests, Map<String,
            List<SimulatedEngine.Submission>> byTrace) {
        int excused = 0;
        for (SimulatedClients.Request request : requests) {
            require(request.responses.size() <= 1, request, "answered twice: " + request.responses);
            require(!request.responses.contains("spoilt"), request,
                    "an answer with rows that no engine sent");
            require(!request.responses.contains("served") || byTrace.containsKey(request.trace), request,
                    "served by no engine");
            long dueAt = request.patienceMs > 0 ? request.sentAt + request.patienceMs * NS_PER_MS
                    : request.query.firstSentAt() + FleetSettings.patienceMs(timetable, request.query.group())
                    * NS_PER_MS;
            long toleranceNs = (tolerances.answerMs() + rigStallMs) * NS_PER_MS;
            long latest = dueAt + toleranceNs;
            for (Span pause : paused) {
                if (pause.overlaps(request.front, dueAt - toleranceNs, latest)) {
                    latest = Math.max(latest, pause.endsAt + toleranceNs);
                }
            }
            long lastMoment = latest;
            // A lost connection has a known time; an answer that never came may have failed at any time.
            long failedFrom = request.connectionLost ? request.lostAt : request.sentAt;
            long failedUntil = request.connectionLost ? request.lostAt : lastMoment;
            boolean isExcused = !request.sent || request.clientLeftAt != 0
                    || absentSpans.stream()
                    .anyMatch(s -> s.overlaps(request.front, request.sentAt, request.sentAt))
                    || excusedSpans.stream().anyMatch(s -> s.overlaps(request.front, failedFrom, failedUntil))
                    || downSince.containsKey(request.front);
            excused += request.responses.isEmpty() ? 1 : 0;
            require(isExcused || !request.responses.isEmpty(), request, request.connectionLost
                    ? "connection lost without an answer" : "no answer");
            require(isExcused || request.respondedAt <= latest, request, "answered "
                    + (request.respondedAt - dueAt) / NS_PER_MS + " ms past its deadline");
        }
        return excused;
    }

    /** A submission needs a client that is still there, and a timeout within the client's remaining time. */
    private void checkClient(SimulatedClients.Request request, SimulatedEngine.Submission submission) {
        boolean slowLink = engineLinkFaults.stream()
                .anyMatch(s -> s.overlaps(submission.front, request.sentAt, submission.receivedAt));
        boolean departureUnseen = clientLinkFaults.stream()
                .anyMatch(s -> s.overlaps(request.front, request.clientLeftAt, submission.receivedAt));
        long lateMs = (submission.receivedAt - request.clientLeftAt) / NS_PER_MS;
        require(request.clientLeftAt == 0 || slowLink || departureUnseen
                || lateMs <= tolerances.clientLeftMs() + rigStallMs, submission,
                "submitted " + lateMs + " ms after its client had left");
        long remainingMs = request.patienceMs - (submission.receivedAt - request.sentAt) / NS_PER_MS;
        require(request.patienceMs == 0 || submission.ttlMs < 0 || slowLink
                || submission.ttlMs <= remainingMs + tolerances.engineTimeoutMs() + rigStallMs, submission,
                "engine timeout of " + submission.ttlMs + " ms, but its client has " + remainingMs
                + " ms left");
    }

    /**
     * A mutating query runs at most once, and isn't deferred (which invites a retry) once it may have run.
     */
    private void checkMutatingQuery(SimulatedClients.Request request,
            List<SimulatedEngine.Submission> submissions) {
        long runs = submissions.stream().filter(submission -> !submission.outcome.equals("full")).count();
        require(runs <= 1, request, "a mutating query ran " + runs + " times");
        require(runs == 0 || !request.responses.contains("Shed"), request,
                "a mutating query that may have run was deferred");
    }

    /** A query has a limited number of submissions, never two at once. */
    private void checkSubmissions(String trace, List<SimulatedEngine.Submission> submissions) {
        require(submissions.size() <= FleetSettings.MAX_SUBMISSIONS, submissions.get(0), "submission "
                + submissions.size() + " of a query");
        List<SimulatedEngine.Submission> ordered = submissions.stream()
                .sorted(Comparator.comparingLong(a -> a.receivedAt)).toList();
        for (int k = 1; k < ordered.size(); k++) {
            SimulatedEngine.Submission before = ordered.get(k - 1);
            SimulatedEngine.Submission next = ordered.get(k);
            boolean slowLink = engineLinkFaults.stream()
                    .anyMatch(s -> s.overlaps(next.front, before.receivedAt, next.receivedAt));
            require(before.endedAt != 0 && before.endedAt <= next.receivedAt + OVERLAP_TOLERANCE_NS
                    || slowLink, next,
                    "two submissions at once, the other at " + before.engine + ", " + before.outcome);
        }
    }

    private void checkDrain(SimulatedEngine.Submission submission) {
        for (DrainSpan span : drainSpans.getOrDefault(submission.front + "/" + submission.engine,
                List.of())) {
            long announcedAt = span.announcedAt;
            long latest = announcedAt
                    + (FleetSettings.DRAIN_GRACE_MS + tolerances.drainMs() + rigStallMs) * NS_PER_MS;
            if (journalLinkFaults.stream()
                    .anyMatch(s -> s.overlaps(submission.front, announcedAt, submission.receivedAt))) {
                latest = announcedAt + JOURNAL_KNOWN_AFTER_NS
                        + (tolerances.drainMs() + rigStallMs) * NS_PER_MS;
            }
            boolean slowLink = engineLinkFaults.stream()
                    .anyMatch(s -> s.overlaps(submission.front, announcedAt, submission.receivedAt));
            require(submission.receivedAt <= latest || submission.receivedAt >= span.endsAt || slowLink,
                    submission, "submitted " + (submission.receivedAt - announcedAt) / NS_PER_MS
                    + " ms after the drain notice for its engine");
        }
    }

    /**
     * Checks the load of a cold engine from all fronts together, with an allowance for random variation as in
     * the operators' documentation. The ramp counts from the start time that the engine list names. If it
     * counted from the first query, which can come most of a second later, it would end late and a warm
     * engine's load would pass for an overload. For the same reason submissions after the ramp don't count,
     * even in a window that began within it.
     *
     * @return the highest load in any window, as a ratio of the load that overloads the engine
     */
    private double checkColdEngine(SimulatedEngine engine, List<SimulatedEngine.Submission> submissions) {
        double maxLoad = 0;
        double meanWorkTicks = 10 * timetable.mix().meanWorkMs();
        long rampEnds = engine.startedAt + FleetSettings.COLD_RAMP_MS * NS_PER_MS;
        List<SimulatedEngine.Submission> toColdEngine = engine.startedAtMs == 0 ? List.of()
                : submissions.stream()
                .filter(a -> a.engine.equals(engine.name) && a.receivedAt < rampEnds)
                .sorted(Comparator.comparingLong(a -> a.receivedAt)).toList();
        long window = FleetSettings.COLD_WINDOW_MS * NS_PER_MS;
        for (SimulatedEngine.Submission firstInWindow : toColdEngine) {
            long windowStart = firstInWindow.receivedAt;
            double warmRatio = FleetSettings.COLD_CAPACITY_RATIO
                    + (1 - FleetSettings.COLD_CAPACITY_RATIO) * Math.max(0, windowStart - engine.startedAt)
                    / (FleetSettings.COLD_RAMP_MS * NS_PER_MS);
            double toleratedQueries = timetable.coldOverloadMultiple() * warmRatio
                    * timetable.cores(engine.index) * FleetSettings.COLD_WINDOW_MS * 10
                    / meanWorkTicks;
            double overloadLimit = toleratedQueries + 2 * Math.sqrt(toleratedQueries) + 2;
            List<SimulatedEngine.Submission> inWindow = toColdEngine.stream()
                    .filter(a -> a.receivedAt >= windowStart && a.receivedAt < windowStart + window).toList();
            double received = inWindow.stream().mapToDouble(a -> a.workTicks).sum() / meanWorkTicks;
            // The address may be reused; a front that knows only the previous engine there is not to blame.
            double receivedFromInformed = inWindow.stream()
                    .filter(a -> a.receivedAt >= knownReadySince.getOrDefault(a.front + "/" + engine.name,
                    Long.MAX_VALUE)).mapToDouble(a -> a.workTicks).sum() / meanWorkTicks;
            require(received <= overloadLimit || receivedFromInformed <= received * 2 / 3, firstInWindow,
                    "cold engine overloaded: " + received
                    + " usual queries in its window, " + toleratedQueries + " allowed"
                    + describeOverload(engine, toColdEngine.get(0).receivedAt, inWindow, meanWorkTicks));
            maxLoad = Math.max(maxLoad, received / overloadLimit);
        }
        return maxLoad;
    }

    /**
     * Describes which fronts caused an overload. Times are in milliseconds: the window's after the engine's
     * start, the fronts' after the start of the window.
     */
    private String describeOverload(SimulatedEngine engine, long firstQueryAt,
            List<SimulatedEngine.Submission> inWindow, double meanWorkTicks) {
        long windowStart = inWindow.get(0).receivedAt;
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                ", from %d ms after its start, %d ms after its first query",
                (windowStart - engine.startedAt) / NS_PER_MS, (windowStart - firstQueryAt) / NS_PER_MS));
        inWindow.stream().collect(Collectors.groupingBy(a -> a.front, TreeMap::new, Collectors.toList()))
                .forEach((front, sent) -> {
                    Long readySince = knownReadySince.get(front + "/" + engine.name);
                    Long restarted = restartedAt.get(front);
                    text.append(String.format(Locale.ROOT,
                            "; front %d sent %d of work %.1f at %d to %d, %s%s", front, sent.size(),
                            sent.stream().mapToDouble(a -> a.workTicks).sum() / meanWorkTicks,
                            (sent.get(0).receivedAt - windowStart) / NS_PER_MS,
                            (sent.get(sent.size() - 1).receivedAt - windowStart) / NS_PER_MS,
                            readySince == null ? "not told" : "told at "
                            + (readySince - windowStart) / NS_PER_MS,
                            restarted == null ? "" : ", started again at "
                            + (restarted - windowStart) / NS_PER_MS));
                });
        return text.toString();
    }

    private RunSummary summarize(List<SimulatedClients.Request> requests,
            List<SimulatedEngine.Submission> submissions, int excused, double coldLoad) {
        int queries = 0;
        int inTime = 0;
        int late = 0;
        int deferred = 0;
        int failed = 0;
        double offered = 0;
        double served = 0;
        for (SimulatedClients.Request request : requests) {
            int value = FleetSettings.VALUE_PER_GROUP[request.query.group()];
            if (request.number == 1) {
                queries++;
                offered += value;
            }
            if (request.responses.contains("served")) {
                boolean onTime = request.respondedAt - request.query.firstSentAt()
                        <= FleetSettings.targetRuntimeTicks(request.query.group(), request.query.workMs())
                        * 100_000;
                served += onTime ? value : 0;
                inTime += onTime ? 1 : 0;
                late += onTime ? 0 : 1;
            } else if (request.responses.contains("Shed")) {
                deferred++;
            } else if (!request.responses.isEmpty()) {
                failed++;
            }
        }
        return new RunSummary(queries, requests.size(), inTime, late, deferred, failed, excused,
                served / Math.max(1, offered), submissions.size(), coldLoad, 0, 0, 0, 0);
    }

    private void require(boolean holds, SimulatedClients.Request request, String breach) {
        if (!holds) {
            fail(breach + ": " + FleetSettings.GROUPS[request.query.group()] + " " + request.trace
                    + " to front " + request.front + ", request " + request.number, request.sentAt);
        }
    }

    private void require(boolean holds, SimulatedEngine.Submission submission, String breach) {
        if (!holds) {
            fail(breach + ": " + submission.trace + " from front " + submission.front + " at "
                    + submission.engine, submission.receivedAt);
        }
    }

    private void fail(String breach, long time) {
        Rig.require(false, breach + ", at " + (time - startedAt) / NS_PER_MS + " ms (" + timetable + ", seed "
                + seed + ")");
    }
}
