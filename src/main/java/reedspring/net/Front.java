package reedspring.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.regex.Pattern;
import reedspring.Control;
import reedspring.api.Action;
import reedspring.api.Deployment;
import reedspring.api.Event;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.api.Load;
import reedspring.boot.Boot;
import reedspring.boot.Times;
import reedspring.core.policy.QueryLifecycle;
import reedspring.core.policy.QueryLifecycle.Answer;
import reedspring.core.policy.QueryLifecycle.SendFacts;
import reedspring.core.policy.QueryLifecycle.Verdict;
import reedspring.core.policy.RecentIds;
import reedspring.net.QueryHistory.Step;

/**
 * The front's loop: hands each event to the decisions, one at a time, and does what they ask for. It owns the
 * queries and their submissions; what an action brings about at once comes back as an event after it.
 */
final class Front {
    private static final Pattern FIGURE = Pattern.compile("[0-9][0-9.eE+-]{0,31}");

    private final Boot boot;
    private final Limits limits;
    private final Clock clock;
    private final Log log;
    private final Turns turns;
    private final Counters counters = new Counters();
    private final StallProbe probe;
    private final Timers timers;
    private final DeadlineMisses misses;
    private final SubmissionRunner engines;
    private final Control control;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** What is known of engines goes before all else that has come. */
    private final ArrayDeque<Event> news = new ArrayDeque<>();
    private final ArrayDeque<Submission> departures = new ArrayDeque<>();
    private final EventLoop loop;
    private Runnable source = () -> { };
    private Runnable ending = () -> { };
    private AcceptGuard listener;
    private KeptAnswers kept;
    private long newsAt;
    private final Map<Id.Query, OpenQuery> queries = new LinkedHashMap<>();
    private final Map<Long, OpenQuery> traces = new HashMap<>();
    private final RecentIds recentTraces;
    private final ClientRoster roster;
    private boolean deciding;
    private boolean listed;
    private boolean leaving;
    private long stayUntil = Long.MAX_VALUE;
    private long ids;
    private long held;
    private long sumAt;

    Front(EventLoop loop, Turns turns, Boot boot, Limits limits, Log log, long seed) {
        this(loop, turns, boot, limits, log, seed, front -> new Engines(loop, limits, front));
    }

    /** {@code runner} makes what runs submissions; it may not use the front before this has returned. */
    Front(EventLoop loop, Turns turns, Boot boot, Limits limits, Log log, long seed,
            Function<Front, SubmissionRunner> runner) {
        this.loop = loop;
        this.boot = boot;
        this.limits = limits;
        this.clock = new Clock();
        this.log = log;
        this.turns = turns;
        this.probe = new StallProbe(log, limits.stoodStill);
        turns.watchedBy(probe);
        this.timers = new Timers(loop, turns, clock, log, limits, probe);
        this.misses = new DeadlineMisses(limits, clock, timers, log);
        this.roster = new ClientRoster(this, limits);
        this.recentTraces = new RecentIds(limits.recentTraces);
        this.engines = runner.apply(this);
        this.sumAt = clock.now() + limits.logEvery * 10L;
        deciding = true;
        this.control = new Control(seed, boot.deployment(), clock.now(), this::act);
        deciding = false;
        timers.in(limits.tick * 10L, this::tick);
    }

    Clock clock() {
        return clock;
    }

    Log log() {
        return log;
    }

    Turns turns() {
        return turns;
    }

    ClientRoster roster() {
        return roster;
    }

    Counters counters() {
        return counters;
    }

    StallProbe probe() {
        return probe;
    }

    Timers timers() {
        return timers;
    }

    DeadlineMisses misses() {
        return misses;
    }

    Limits limits() {
        return limits;
    }

    /** Where answers are kept on disk, or null. */
    KeptAnswers kept() {
        return kept;
    }

    void keepsAnswers(KeptAnswers where) {
        kept = where;
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * What follows from a dial, on the loop: without a descriptor there is no channel, and Netty tells so on
     * a thread of its own, with a channel that was never opened and so is never closed either.
     */
    void dialled(ChannelFuture dialled, Consumer<ChannelFuture> then) {
        dialled.addListener(done -> {
            if (loop.inEventLoop()) {
                then.accept(dialled);
            } else {
                loop.execute(() -> then.accept(dialled));
            }
        });
    }

    /** One that never came to be has no loop, and fails at its close. */
    static void close(Channel channel) {
        if (channel.isRegistered()) {
            channel.close();
        }
    }

    boolean leaves() {
        return leaving;
    }

    /** Whether it can decide and means to stay. */
    boolean able() {
        return listed && !leaving;
    }

    // ---- engines as the journal lists them

    void listed(Event.Reading reading, List<Host> hosts) {
        engines.listed(reading, hosts);
        listed = true;
        news.add(new Event.EnginesListed(reading, hosts.stream().map(Host::listing).toList()));
        settle();
    }

    /** Where news of engines come from: reads what has come to its socket so far, and may find nothing. */
    void newsFrom(Runnable reader) {
        source = reader;
    }

    /**
     * Reads the news before anything is decided or sent on, unless that was done a moment ago. The selector
     * hands over sockets in any order: after a stop of the loop, queries that came before a drain notice
     * would be sent on without it, long after the notice lay in the front's own socket.
     */
    private void refresh() {
        long at = clock.now();
        if (at - newsAt >= limits.newsAge * 10L) {
            newsAt = at;
            source.run();
        }
    }

    // ---- clients

    /** The query, still to be decided, or null if it was answered here. */
    OpenQuery take(ClientConnection client, RpcDecoder.Call call, long arrivedAt) {
        QueryRequest request = QueryRequest.of(call, boot, limits);
        OpenQuery same = traces.get(request.traceId());
        String fault = request.fault() != null ? request.fault() : repeatedTrace(request);
        if (request.fault() != null) {
            counters.add(RequestRefusal.UNUSABLE);
        }
        if (fault != null) {
            log.line("request that can't be used", fault);
            if (same != null && same.client == client && same.trace.equals(request.trace())) {
                client.spoilt(call.id(), fault);
            } else {
                client.error(call.id(), fault);
            }
            return null;
        }
        if (queries.size() >= limits.queries || held > limits.heldBytes) {
            recentTraces.add(request.traceId());
            counters.add(RequestRefusal.NO_ROOM);
            client.turnAway(call.id());
            return null;
        }
        OpenQuery q = opened(client, call, request, arrivedAt);
        queries.put(q.id, q);
        traces.put(q.traceId, q);
        recentTraces.add(q.traceId);
        hold(q.statement.readableBytes());
        q.end = timers.at(q.leavesAt + limits.lastResort * 10L, () -> overdue(q));
        q.taken = new Event.Taken(q.id, request.group(), request.tenant(), Statement.dataSet(q.statement),
                Times.nearest(request.estimate()), request.needMb(), q.leavesAt, null);
        return q;
    }

    /** A request is turned away unseen. Its client asks again under another trace. */
    void turnedAway(RpcDecoder.Call call) {
        QueryRequest request = QueryRequest.of(call, boot, limits);
        counters.add(RequestRefusal.NO_ROOM);
        if (request.fault() == null) {
            recentTraces.add(request.traceId());
        }
    }

    /**
     * An engine knows a query by its trace alone. One that comes again, be it while its query is open or
     * after its answer, belongs to another request; sent on, it would be another statement under that name.
     */
    private String repeatedTrace(QueryRequest request) {
        if (traces.containsKey(request.traceId())) {
            counters.add(RequestRefusal.TRACE_OPEN);
            return "the trace is open already";
        }
        if (recentTraces.contains(request.traceId())) {
            counters.add(RequestRefusal.TRACE_REPEATED);
            return "the trace was used before";
        }
        return null;
    }

    private OpenQuery opened(ClientConnection client, RpcDecoder.Call call, QueryRequest request,
                             long arrivedAt) {
        Deployment.ResourceGroup known = boot.deployment().groups().get(request.group().index());
        OpenQuery q = new OpenQuery(new Id.Query(++ids), call, client, request,
                Math.min(stayUntil, arrivedAt + Times.nearest(request.patience())),
                new QueryLifecycle(known, boot.deployment().allowed().submissions()));
        q.takenAt = arrivedAt;
        q.history.add(Step.TAKEN, null, arrivedAt);
        q.paged = kept != null && "1".equals(call.fields().get("pages"));
        if (q.paged) {
            q.tenant = call.fields().getOrDefault("customer", "");
            q.repeatable = known.effect() == Deployment.Effect.READ_ONLY
                    || known.effect() == Deployment.Effect.TOKENED
                            && known.recognised() == Deployment.Recognised.ALL;
        }
        return q;
    }

    void decide(OpenQuery q) {
        on(q.taken);
    }

    /** The client has gone or has revoked it, or the front ended its connection. */
    void left(OpenQuery q, boolean endedHere) {
        if (!q.answered()) {
            misses.unanswered(q, endedHere);
            q.lifecycle.clientLeft();
            q.history.add(Step.CLIENT_LEFT, null, clock.now());
            counters.add(Step.CLIENT_LEFT);
            on(new Event.Left(q.id));
            forget(q);
        }
    }

    /** Its connection has to end, and nothing may end unanswered: it gets the answer that it can have now. */
    void giveUp(OpenQuery q) {
        if (q.answered()) {
            return;
        }
        if (q.lifecycle.answerIfGivenUp() == Answer.DEFERRED) {
            defer(q, limits.comeBack * 10L);
        } else {
            fail(q, "the connection had to end");
        }
        on(new Event.Left(q.id));
        forget(q);
    }

    private void overdue(OpenQuery q) {
        if (!q.answered()) {
            log.line("query overdue, killed by the front", q.trace);
            fail(q, "no answer in time");
            on(new Event.Left(q.id));
            forget(q);
        }
    }

    // ---- final answers

    private void defer(OpenQuery q, long comeBack) {
        Verdict verdict = q.lifecycle.answer(Answer.DEFERRED);
        if (verdict == Verdict.UNSAFE_DEFERRAL) {
            refused(verdict, q);
            fail(q, "failed");
        } else if (answers(q, verdict, Step.DEFERRED)) {
            q.client.defer(q, comeBack);
        }
    }

    private void fail(OpenQuery q, String why) {
        if (answers(q, q.lifecycle.answer(Answer.FAILED), Step.FAILED)) {
            q.client.kill(q, why);
        }
    }

    private void serve(OpenQuery q, Submission s) {
        if (!answers(q, q.lifecycle.answer(Answer.SERVED), Step.SERVED)) {
            return;
        }
        if (s.handle != null) {
            q.client.firstPage(q, s);
        } else if (s.missing == 0) {
            q.client.rows(q, List.of(s.pages));
        } else {
            q.client.kill(q, "no room for the result");
        }
    }

    private boolean answers(OpenQuery q, Verdict verdict, Step how) {
        if (!verdict.allowed()) {
            refused(verdict, q);
            return false;
        }
        q.history.add(how, null, clock.now());
        counters.add(how);
        return true;
    }

    /** Something was not done since a rule forbids it; a breach shows a fault of the program's own. */
    private void refused(Verdict verdict, OpenQuery q) {
        counters.add(verdict);
        if (verdict.breach()) {
            log.remark("rule would be broken", "rule would be broken, not done: " + verdict + " " + q.trace
                    + ": " + q.history.text());
        }
    }

    private void forget(OpenQuery q) {
        if (q.answered() && q.out == null && queries.remove(q.id) != null) {
            timers.cancel(q.end);
            traces.remove(q.traceId, q);
            hold(-q.statement.readableBytes());
            q.statement.release();
        }
    }

    /** Counts bytes that wait in the front, for the limit on all of them. */
    void hold(long bytes) {
        held += bytes;
    }

    /** For what has come of a request so far; true if there is room for it. */
    boolean piece(int more) {
        held += more;
        return held <= limits.heldBytes;
    }

    boolean full() {
        return held > limits.heldBytes;
    }

    // ---- decisions

    private void on(Event event) {
        events.add(event);
        settle();
    }

    private void settle() {
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!news.isEmpty() || !events.isEmpty()) {
                refresh();
                Event next = news.isEmpty() ? events.poll() : news.poll();
                long began = probe.decides();
                try {
                    control.on(clock.now(), next, this::act);
                } catch (RuntimeException | Error e) {
                    // What it was about is answered at its time at the latest, by the front itself.
                    log.fault("a decision failed", e);
                }
                probe.decided(began, next);
            }
        } finally {
            deciding = false;
        }
    }

    /** A fault in what is done must not reach the decisions half-way through an event. */
    private void act(Action action) {
        try {
            perform(action);
        } catch (RuntimeException | Error e) {
            log.fault("an action failed", e);
        }
    }

    private void perform(Action action) {
        if (action instanceof Action.Submit submit) {
            submit(submit);
        } else if (action instanceof Action.SetPriority set) {
            OpenQuery q = queries.get(set.query());
            if (q != null) {
                q.priority = set.priority();
                if (q.out != null && q.out.connection != null) {
                    q.out.connection.renice(q.out);
                }
            }
        } else if (action instanceof Action.Cancel cancel) {
            OpenQuery q = queries.get(cancel.query());
            if (q != null && q.out != null && q.out.number.equals(cancel.submission())) {
                Submission s = q.out;
                if (s.connection != null) {
                    s.connection.cancel(s);
                }
                closed(s, s.written ? Outcome.CANCELLED : Outcome.NOT_SENT);
            }
        } else if (action instanceof Action.Defer defer) {
            OpenQuery q = unanswered(defer.query());
            if (q != null) {
                defer(q, defer.comeBack());
                forget(q);
            }
        } else if (action instanceof Action.Kill kill) {
            OpenQuery q = unanswered(kill.query());
            if (q != null) {
                fail(q, "failed");
                forget(q);
            }
        } else if (action instanceof Action.WakeMe wake) {
            timers.in(wake.span(), () -> on(new Event.Woken(wake.timer())));
        } else if (action instanceof Action.Remark remark) {
            log.remark("decision", remark.text());
        }
        // FollowEngines asks for nothing more here: the journal is followed from the start.
    }

    private OpenQuery unanswered(Id.Query id) {
        OpenQuery q = queries.get(id);
        return q == null || q.answered() ? null : q;
    }

    private void submit(Action.Submit submit) {
        OpenQuery q = queries.get(submit.query());
        if (q == null || q.out != null) {
            counters.add(q == null ? Verdict.QUERY_OVER : Verdict.ATTEMPT_OUT);
            log.line("submission for a query that is over", Long.toString(submit.query().value()));
            return;
        }
        long now = clock.now();
        long timeoutAt = submit.timeout() > 0 ? Math.min(q.leavesAt, now + submit.timeout()) : q.leavesAt;
        Submission s = new Submission(q, now, timeoutAt, submit.departBy());
        q.out = s;
        Verdict verdict = q.lifecycle.startAttempt();
        if (!verdict.allowed()) {
            // Where it is over, its client left after the event that is being decided; without an end its
            // threads would count as out for good.
            refused(verdict, q);
            closed(s, Outcome.NOT_SENT);
            return;
        }
        q.history.add(Step.ATTEMPT_DECIDED, null, now);
        s.end = timers.at(timeoutAt, () -> timedOut(s));
        engines.send(submit.engine(), s);
    }

    /** What never left the front can't have run. */
    private void timedOut(Submission s) {
        closed(s, s.written ? Outcome.TIMED_OUT : Outcome.NOT_SENT);
    }

    /** Its connection is up. It leaves when this turn of the loop has read what there is. */
    void departs(Submission s) {
        departures.add(s);
        if (departures.size() == 1) {
            loop.execute(this::depart);
        }
    }

    /**
     * The one way out. A stop between the decision and here may have been long, so that the news are looked
     * at once more, right before the bytes go; what may no longer be sent never ran.
     */
    private void depart() {
        for (Submission s = departures.poll(); s != null; s = departures.poll()) {
            try {
                depart(s);
            } catch (RuntimeException | Error e) {
                // It ends at its time. The others must not wait for it.
                log.fault("a submission failed", e);
            }
        }
    }

    private void depart(Submission s) {
        refresh();
        // A client that has gone, or has taken its query back, may have done so while the loop stood still:
        // its close lies in the socket behind the query, where the selector has yet to look.
        boolean clientThere = s.query.client == null || s.over || s.query.client.there();
        if (s.over || s.connection == null) {
            return;
        }
        if (!s.connection.there()) {
            // Closed by its engine while it rested. Nothing of this was written, so it takes another.
            Id.Engine engine = new Id.Engine(s.connection.engine());
            s.connection.release(s);
            engines.send(engine, s);
            return;
        }
        // The looks above may have taken time, too.
        Verdict verdict = s.query.lifecycle.send(new SendFacts(clock.now(), s.timeoutAt, s.departBy,
                clientThere, s.connection.departable()));
        if (!verdict.allowed()) {
            withhold(s, verdict);
        } else if (s.connection.depart(s)) {
            s.query.history.add(Step.SENT, null, clock.now());
        } else {
            closed(s, Outcome.NOT_SENT);
        }
    }

    private void withhold(Submission s, Verdict verdict) {
        refused(verdict, s.query);
        s.query.history.add(Step.WITHHELD, verdict, clock.now());
        switch (verdict) {
            case REPEAT_FORGOTTEN -> log.line("submission withheld, its repeat would no longer be recognised",
                    s.query.trace);
            case ENGINE_NOT_READY -> log.line("submission withheld, engine no longer up",
                    s.connection.engine());
            case DEADLINE_PASSED -> log.line("submission withheld, its client waits no longer",
                    s.query.trace);
            default -> {
                // Its client has gone, as many do.
            }
        }
        closed(s, verdict == Verdict.ENGINE_NOT_READY || verdict == Verdict.REPEAT_FORGOTTEN
                ? Outcome.WITHHELD : Outcome.NOT_SENT);
    }

    /** A submission has ended, in whatever way; what comes of it later is not heard any more. */
    void closed(Submission s, Outcome seen) {
        if (s.over) {
            return;
        }
        s.over = true;
        OpenQuery q = s.query;
        q.out = null;
        timers.cancel(s.end);
        if (s.connection != null) {
            s.connection.drop(s);
        }
        Outcome outcome = seen;
        if (kept != null) {
            kept.over(s);
        }
        q.lifecycle.attemptEnded(outcome.neverRan());
        q.history.add(Step.ATTEMPT_ENDED, outcome, clock.now());
        counters.add(outcome);
        if (outcome == Outcome.FINISHED && !q.answered()) {
            serve(q, s);
        }
        boolean over = q.answered();
        hold(-s.bytes);
        s.release();
        if (s.endedAt == 0) {
            seenEnd(s);
        }
        long took = s.endedAt - s.sentAt;
        events.add(new Event.Closed(q.id, s.number, outcome, over, took, Math.min(took, s.unseen),
                s.work));
        forget(q);
        settle();
    }

    /** Notes when it ended, and by how much earlier that may have been while the front stood still. */
    void seenEnd(Submission s) {
        s.endedAt = clock.now();
        s.unseen = s.endedAt - timers.earliestArrival();
    }

    void progress(Submission s, double share) {
        on(new Event.ShareDone(s.query.id, s.number, share, clock.now() - timers.earliestArrival()));
    }

    /**
     * A load report of an engine, as in {@code inflight:7;util:0.61}; what can't be read of it is left out.
     */
    void reported(String engine, String report) {
        Load load = Load.UNKNOWN;
        for (String part : report.split(";", limits.reportFields + 1)) {
            int colon = part.indexOf(':');
            String value = part.substring(colon + 1);
            if (colon > 0 && FIGURE.matcher(value).matches()) {
                try {
                    load = load.with(part.substring(0, colon), Double.parseDouble(value));
                } catch (NumberFormatException e) {
                    // what the pattern lets through and is no number all the same
                }
            }
        }
        on(new Event.LoadReported(new Id.Engine(engine), load));
    }

    // ---- time

    private void tick() {
        timers.in(limits.tick * 10L, this::tick);
        long now = clock.now();
        engines.tick(now);
        if (listener != null) {
            listener.tick();
        }
        if (kept != null) {
            kept.tick();
        }
        roster.open().forEach(client -> client.tick(now));
        if (now >= sumAt) {
            sumAt = now + limits.logEvery * 10L;
            tellSums();
        }
    }

    /** The last lines of a front that has left. */
    void tellSums() {
        log.sum();
        tellCounts();
    }

    private void tellCounts() {
        String counts = counters.changes();
        if (counts != null) {
            log.once("counts since the start:", counts);
        }
    }

    /**
     * The platform takes the front down: it serves on while requests can still come, answers what it has
     * taken, and tells when nothing is left.
     */
    void leave(Runnable left) {
        if (leaving) {
            return;
        }
        leaving = true;
        long now = clock.now();
        stayUntil = now + limits.leavingLongest * 10L;
        log.once("leaving,", queries.size() + " queries open");
        // The decisions answer what waits, and what is out ends in time for them to answer that, too: whether
        // a retry is safe is theirs to say.
        on(new Event.Leaving(stayUntil));
        for (OpenQuery q : List.copyOf(queries.values())) {
            q.leavesAt = Math.min(q.leavesAt, stayUntil);
            timers.cancel(q.end);
            q.end = timers.at(q.leavesAt + limits.lastResort * 10L, () -> overdue(q));
            if (q.out != null) {
                Submission s = q.out;
                timers.cancel(s.end);
                s.timeoutAt = Math.min(s.timeoutAt, stayUntil);
                s.end = timers.at(s.timeoutAt, () -> timedOut(s));
            }
        }
        new Shutdown(this, limits, roster, now).begin(left);
    }

    boolean allAnswered() {
        return queries.values().stream().allMatch(OpenQuery::answered);
    }

    void listensBehind(AcceptGuard guard) {
        listener = guard;
    }

    /** The selector did not tell of what lay in a socket, or could go out there. */
    void registersAnew(Channel socket) {
        log.line("socket not known to the selector, registered anew", String.valueOf(socket.remoteAddress()));
        counters.add(SocketFault.NOT_REGISTERED);
        Registration.renew(socket, turns);
    }

    /** Whether connections may wait that could not be accepted yet. */
    boolean mayHoldUnaccepted() {
        return listener != null && listener.rests();
    }

    /** What has to be closed with the last connections: the listener. */
    void atTheEnd(Runnable what) {
        ending = what;
    }

    void closeListener() {
        ending.run();
    }
}
