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
import reedspring.rig.fleet.Timetable.Link;
import reedspring.rig.fleet.Timetable.What;

/**
 * The rules, seen from outside: what clients sent and got, what engines were sent and when, what each front
 * had been told. A front that was killed, and a client whose own link failed, excuse the query they held and
 * nothing else. Times are nanoseconds of the steady clock.
 */
public final class Rules {
    private static final long MS = 1_000_000;
    private static final long OVERLAP_SLACK = 20 * MS;
    private static final long UNTIL_SERVES = 6_000 * MS;
    /** A rig that is late by more judges nobody. */
    private static final long MOST_RIG_LATE_MS = 100;

    /**
     * What each check allows past its moment, in milliseconds.
     *
     * @param answer an answer after its client's time
     * @param drain a submission past the grace after a drain notice
     * @param gone an attempt after its client closed or cancelled
     * @param deadline the deadline passed to an engine, over what the client has left
     * @param leavingExcused whether a front that is being ended excuses what it held
     */
    record Slack(long answer, long drain, long gone, long deadline, boolean leavingExcused) {
        /** The limits of the operators' pages; what this process was late itself comes on top. */
        static final Slack TERMS = new Slack(500, 50, 100, 150, false);
        /** For runs beside others on a machine full of processes, which is late by itself. */
        static final Slack LOADED_MACHINE = new Slack(1_000, 250, 500, 500, true);
    }

    /** The rig itself was late, so that nothing can be said of the fronts. */
    public static final class VoidRunException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        VoidRunException(String message) {
            super(message);
        }
    }
    /** What the journal has to tell counts as told by then, whether or not it arrived. */
    private static final long TOLD_AT_LAST = 7_000 * MS;

    private final Timetable table;
    private final long seed;
    private final Slack slack;
    private long startedAt;
    private long rigLate;
    private final List<Span> excuses = new ArrayList<>();
    /** When each front was told that an engine drains or has gone, and that it is ready again. */
    private final Map<String, List<Drained>> drained = new HashMap<>();
    private final List<Span> clientFaults = new ArrayList<>();
    /** From the SIGKILL of a front that had been told to end to its next start: nobody is there. */
    private final List<Span> absent = new ArrayList<>();
    private String leftLate;
    private final Map<String, Long> toldOn = new HashMap<>();
    private final Map<Integer, Long> downSince = new HashMap<>();
    private final Map<Integer, Long> startedAgain = new HashMap<>();
    private final Map<Integer, Long> stoppedSince = new HashMap<>();
    private final List<Span> stops = new ArrayList<>();
    private final List<Span> journalFaults = new ArrayList<>();
    private final List<Span> delays = new ArrayList<>();

    private record Span(int front, long from, long to) {
        private boolean meets(int other, long first, long last) {
            return front == other && from <= last && to >= first;
        }
    }

    /** {@code to} is the end of time while the engine is not ready. */
    private record Drained(long from, long to) {
    }

    Rules(Timetable table, long seed, Slack slack) {
        this.table = table;
        this.seed = seed;
        this.slack = slack;
    }

    /** For how long this process stood still at the most, in milliseconds. */
    synchronized void rigWasLate(long ms) {
        rigLate = ms;
    }

    /** A front that was told to end before SIGKILL has, or has not. */
    synchronized void left(int front, boolean ended) {
        if (!ended && stops.stream().noneMatch(s -> s.front == front)) {
            leftLate = "front " + front + " had not ended when SIGKILL came";
        }
    }

    synchronized void starts(long at) {
        startedAt = at;
    }

    synchronized void begins(Entry entry, Set<Integer> fronts, Set<Integer> engines) {
        long now = System.nanoTime();
        long to = now + entry.span() * 100_000 + 50 * MS;
        for (int f : fronts) {
            if (entry.what().ofLinks() && entry.link() == Link.CLIENT) {
                excuses.add(new Span(f, now - 50 * MS, to));
                clientFaults.add(new Span(f, now - 50 * MS, to + entry.by() * 200_000));
            } else if (entry.what().ofLinks() && entry.link() == Link.JOURNAL) {
                journalFaults.add(new Span(f, now - 50 * MS, to + 1_000 * MS));
            } else if (entry.what().ofLinks()) {
                // What a front wrote into a slow or cut link reaches the engine later.
                delays.add(new Span(f, now - 50 * MS, to + (entry.what() == What.DELAY ? entry.by() * 200_000
                        : 0)
                        + 100 * MS));
            } else if (entry.what() == What.LEAVE && slack.leavingExcused()) {
                excuses.add(new Span(f, now, to));
            }
        }
    }

    synchronized void kills(int front) {
        downSince.putIfAbsent(front, System.nanoTime());
    }

    /** Started again: until it serves, clients meet nobody. What it held when it was killed is lost. */
    synchronized void starts(int front) {
        startedAgain.put(front, System.nanoTime());
        excuses.add(new Span(front, downSince.remove(front) - 50 * MS, System.nanoTime() + UNTIL_SERVES));
    }

    /** The same of one that had been told to end: it has answered all that it held before SIGKILL. */
    synchronized void startsAfterItsEnd(int front) {
        startedAgain.put(front, System.nanoTime());
        Span gone = new Span(front, downSince.remove(front), System.nanoTime() + UNTIL_SERVES);
        (slack.leavingExcused() ? excuses : absent).add(gone);
    }

    synchronized boolean down(int front, long at) {
        return downSince.containsKey(front);
    }

    synchronized void stops(int front) {
        stoppedSince.put(front, System.nanoTime());
    }

    synchronized void goesOn(int front) {
        stops.add(new Span(front, stoppedSince.remove(front), System.nanoTime()));
    }

    synchronized void told(int front, String engine, String health) {
        String who = front + "/" + engine;
        long now = System.nanoTime();
        List<Drained> spans = drained.computeIfAbsent(who, k -> new ArrayList<>());
        Drained last = spans.isEmpty() ? null : spans.get(spans.size() - 1);
        boolean off = last != null && last.to == Long.MAX_VALUE;
        if (health.equals("ready")) {
            toldOn.putIfAbsent(who, now);
            if (off) {
                spans.set(spans.size() - 1, new Drained(last.from, now));
            }
        } else if (!off) {
            spans.add(new Drained(now, Long.MAX_VALUE));
        }
    }

    /** All rules over a whole run; what breaks one is thrown with its place. */
    synchronized Tally check(List<Crowd.Try> tries, List<EngineHost.Attempt> attempts,
            List<EngineHost> hosts) {
        if (rigLate > MOST_RIG_LATE_MS) {
            throw new VoidRunException("the rig stood still for " + rigLate + " ms");
        }
        Rig.require(leftLate == null, leftLate + " (" + table + ", seed " + seed + ")");
        sentByClients(tries, attempts, hosts);
        Map<String, List<EngineHost.Attempt>> byTrace = attempts.stream()
                .collect(Collectors.groupingBy(a -> a.trace));
        for (Crowd.Try one : tries) {
            byTrace.getOrDefault(one.trace, List.of()).forEach(attempt -> begins(one, attempt));
        }
        int excused = answers(tries, byTrace);
        tries.stream().filter(one -> one.ask.group() == Terms.CHANGE)
                .forEach(one -> once(one, byTrace.getOrDefault(one.trace, List.of())));
        byTrace.forEach(this::effects);
        attempts.forEach(this::drains);
        double cold = hosts.stream().mapToDouble(host -> cold(host, attempts)).max().orElse(0);
        return tally(tries, attempts, excused, cold);
    }

    /** Whatever reaches an engine is what a client sent: id, class and statement, byte by byte. */
    private void sentByClients(List<Crowd.Try> tries, List<EngineHost.Attempt> attempts,
            List<EngineHost> hosts) {
        Map<String, Crowd.Try> sent = tries.stream().collect(Collectors.toMap(one -> one.trace, one -> one));
        for (EngineHost.Attempt attempt : attempts) {
            Crowd.Try one = sent.get(attempt.trace);
            require(one != null && one.statement.equals(attempt.statement)
                    && Terms.GROUPS[one.ask.group()].equals(attempt.group), attempt,
                    "sent what no client had sent: " + attempt.group + " " + attempt.statement + ", where "
                            + (one == null ? "nobody had that id" : one.told(startedAt)));
        }
        for (EngineHost host : hosts) {
            Rig.require(host.unknown().isEmpty(), "sent what no client had sent: " + host.unknown() + " to "
                    + host.name + " (" + table + ", seed " + seed + ")");
        }
    }

    private int answers(List<Crowd.Try> tries, Map<String, List<EngineHost.Attempt>> byTrace) {
        int excused = 0;
        for (Crowd.Try one : tries) {
            require(one.came.size() <= 1, one, "answered twice: " + one.came);
            require(!one.came.contains("spoilt"), one, "an answer that no engine made");
            require(!one.came.contains("served") || byTrace.containsKey(one.trace), one,
                    "served by no engine");
            long due = one.patienceMs > 0 ? one.sentAt + one.patienceMs * MS
                    : one.ask.first() + Terms.leavesMs(table, one.ask.group()) * MS;
            long within = (slack.answer() + rigLate) * MS;
            long latest = due + within;
            for (Span stop : stops) {
                if (stop.meets(one.front, due - within, latest)) {
                    latest = Math.max(latest, stop.to + within);
                }
            }
            long last = latest;
            // What was lost was lost at a moment; what never came may have met its trouble at any.
            long from = one.connectionLost ? one.lostAt : one.sentAt;
            long to = one.connectionLost ? one.lostAt : last;
            boolean excuse = !one.sent || one.goneAt != 0
                    || absent.stream().anyMatch(s -> s.meets(one.front, one.sentAt, one.sentAt))
                    || excuses.stream().anyMatch(s -> s.meets(one.front, from, to))
                    || downSince.containsKey(one.front);
            excused += one.came.isEmpty() ? 1 : 0;
            require(excuse || !one.came.isEmpty(), one, one.connectionLost
                    ? "its connection was lost unanswered"
                    : "no answer");
            require(excuse || one.cameAt <= latest, one, "answered " + (one.cameAt - due) / MS
                    + " ms past its time");
        }
        return excused;
    }

    /** An attempt begins for a client that is there, and is told no more time than its client has left. */
    private void begins(Crowd.Try one, EngineHost.Attempt attempt) {
        boolean slowLink = delays.stream().anyMatch(s -> s.meets(attempt.front, one.sentAt, attempt.at));
        boolean unheard = clientFaults.stream().anyMatch(s -> s.meets(one.front, one.goneAt, attempt.at));
        long late = (attempt.at - one.goneAt) / MS;
        require(one.goneAt == 0 || slowLink || unheard || late <= slack.gone() + rigLate, attempt,
                "begun " + late + " ms after its client had gone");
        long left = one.patienceMs - (attempt.at - one.sentAt) / MS;
        require(one.patienceMs == 0 || attempt.ttlMs < 0 || slowLink
                || attempt.ttlMs <= left + slack.deadline() + rigLate, attempt,
                "told to take " + attempt.ttlMs + " ms, where its client has " + left + " left");
    }

    /** What must not run twice: no second run, and no word that a retry is safe once it may have run. */
    private void once(Crowd.Try one, List<EngineHost.Attempt> all) {
        long ran = all.stream().filter(attempt -> !attempt.end.equals("full")).count();
        require(ran <= 1, one, "a change was run " + ran + " times");
        require(ran == 0 || !one.came.contains("Shed"), one, "a change that may have run was deferred");
    }

    /** At most so many submissions, never two at once. */
    private void effects(String trace, List<EngineHost.Attempt> all) {
        require(all.size() <= Terms.SEND_CAP, all.get(0), "submission " + all.size() + " of a query");
        List<EngineHost.Attempt> order = all.stream().sorted(Comparator.comparingLong(a -> a.at)).toList();
        for (int k = 1; k < order.size(); k++) {
            EngineHost.Attempt before = order.get(k - 1);
            EngineHost.Attempt next = order.get(k);
            boolean slowLink = delays.stream().anyMatch(s -> s.meets(next.front, before.at, next.at));
            require(before.endedAt != 0 && before.endedAt <= next.at + OVERLAP_SLACK || slowLink, next,
                    "two submissions at once, the other at " + before.engine + ", " + before.end);
        }
    }

    private void drains(EngineHost.Attempt attempt) {
        for (Drained span : drained.getOrDefault(attempt.front + "/" + attempt.engine, List.of())) {
            long told = span.from;
            long latest = told + (Terms.DRAIN_MS + slack.drain() + rigLate) * MS;
            if (journalFaults.stream().anyMatch(s -> s.meets(attempt.front, told, attempt.at))) {
                latest = told + TOLD_AT_LAST + (slack.drain() + rigLate) * MS;
            }
            boolean slowLink = delays.stream().anyMatch(s -> s.meets(attempt.front, told, attempt.at));
            require(attempt.at <= latest || attempt.at >= span.to || slowLink, attempt, "sent "
                    + (attempt.at - told) / MS + " ms after its engine was told to drain");
        }
    }

    /**
     * All fronts together; a little more for chance, as in the operators' reckoning. An engine is cold from
     * the start that the list names and for its ramp. Counted from its first query, which can come most of a
     * second later, the ramp ended late, and a warm engine's load passed for a fall; so it did in a window
     * that began before the ramp's end and went on after it.
     *
     * @return the most that came in any window, as a part of what makes the engine fall
     */
    private double cold(EngineHost host, List<EngineHost.Attempt> attempts) {
        double most = 0;
        double usual = 10 * table.mix().meanWorkMs();
        long rampEnds = host.bornAt + Terms.RAMP_MS * MS;
        List<EngineHost.Attempt> own = host.bornMs == 0 ? List.of() : attempts.stream()
                .filter(a -> a.engine.equals(host.name) && a.at < rampEnds)
                .sorted(Comparator.comparingLong(a -> a.at)).toList();
        long window = Terms.COLD_WINDOW_MS * MS;
        for (EngineHost.Attempt begin : own) {
            long first = begin.at;
            double warm = Terms.COLD_FROM + (1 - Terms.COLD_FROM) * Math.max(0, first - host.bornAt)
                    / (Terms.RAMP_MS * MS);
            double stands = table.coldMultiple() * warm * table.cores(host.at) * Terms.COLD_WINDOW_MS * 10
                    / usual;
            double falls = stands + 2 * Math.sqrt(stands) + 2;
            List<EngineHost.Attempt> within = own.stream().filter(a -> a.at >= first && a.at < first + window)
                    .toList();
            double came = within.stream().mapToDouble(a -> a.work).sum() / usual;
            // An address can be that of one that has gone, and who knows of that one only can't know the new.
            double knew = within.stream().filter(a -> a.at >= toldOn.getOrDefault(a.front + "/" + host.name,
                    Long.MAX_VALUE)).mapToDouble(a -> a.work).sum() / usual;
            require(came <= falls || knew <= came * 2 / 3, begin, "cold engine pushed over: " + came
                    + " usual queries in its window, " + stands + " allowed"
                    + whoPushed(host, own.get(0).at, within, usual));
            most = Math.max(most, came / falls);
        }
        return most;
    }

    /** Times in ms: of the window after the engine's start, of the fronts after the window's start. */
    private String whoPushed(EngineHost host, long firstEver, List<EngineHost.Attempt> within, double usual) {
        long first = within.get(0).at;
        StringBuilder told = new StringBuilder(String.format(Locale.ROOT,
                ", from %d ms after its start, %d ms after its first query",
                (first - host.bornAt) / MS, (first - firstEver) / MS));
        within.stream().collect(Collectors.groupingBy(a -> a.front, TreeMap::new, Collectors.toList()))
                .forEach((front, sent) -> {
                    Long knew = toldOn.get(front + "/" + host.name);
                    Long again = startedAgain.get(front);
                    told.append(String.format(Locale.ROOT,
                            "; front %d sent %d of work %.1f at %d to %d, %s%s", front, sent.size(),
                            sent.stream().mapToDouble(a -> a.work).sum() / usual,
                            (sent.get(0).at - first) / MS, (sent.get(sent.size() - 1).at - first) / MS,
                            knew == null ? "not told" : "told at " + (knew - first) / MS,
                            again == null ? "" : ", started again at " + (again - first) / MS));
                });
        return told.toString();
    }

    private Tally tally(List<Crowd.Try> tries, List<EngineHost.Attempt> attempts, int excused,
            double cold) {
        int queries = 0;
        int inTime = 0;
        int late = 0;
        int deferred = 0;
        int failed = 0;
        double offered = 0;
        double served = 0;
        for (Crowd.Try one : tries) {
            int value = Terms.VALUE[one.ask.group()];
            if (one.number == 1) {
                queries++;
                offered += value;
            }
            if (one.came.contains("served")) {
                boolean well = one.cameAt - one.ask.first()
                        <= Terms.target(one.ask.group(), one.ask.workMs()) * 100_000;
                served += well ? value : 0;
                inTime += well ? 1 : 0;
                late += well ? 0 : 1;
            } else if (one.came.contains("Shed")) {
                deferred++;
            } else if (!one.came.isEmpty()) {
                failed++;
            }
        }
        return new Tally(queries, tries.size(), inTime, late, deferred, failed, excused, served / Math.max(1,
                offered),
                attempts.size(), cold, 0, 0, 0, 0);
    }

    private void require(boolean holds, Crowd.Try one, String what) {
        if (!holds) {
            broken(what + ": " + Terms.GROUPS[one.ask.group()] + " " + one.trace + " to front " + one.front
                    + ", try " + one.number, one.sentAt);
        }
    }

    private void require(boolean holds, EngineHost.Attempt one, String what) {
        if (!holds) {
            broken(what + ": " + one.trace + " from front " + one.front + " at " + one.engine, one.at);
        }
    }

    private void broken(String what, long at) {
        Rig.require(false, what + ", at " + (at - startedAt) / MS + " ms (" + table + ", seed " + seed + ")");
    }
}
