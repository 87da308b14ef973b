package reedspring.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
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
import reedspring.boot.DeploymentReader;
import reedspring.boot.Times;
import reedspring.core.policy.QueryLifecycle;
import reedspring.core.policy.QueryLifecycle.Answer;
import reedspring.core.policy.QueryLifecycle.Verdict;
import reedspring.core.policy.RecentIds;
import reedspring.net.QueryHistory.Step;

/**
 * The core of the front, confined to its event loop. Passes events one at a time to {@link Control}, which
 * makes the decisions, and executes the actions that it returns. Owns the open queries and their submissions.
 * Events caused by an action are queued and processed after the current event.
 *
 * <p>Times are counted in ticks of a tenth of a millisecond; limits are in milliseconds.
 */
final class Front {
    private static final Pattern DECIMAL_NUMBER = Pattern.compile("[0-9][0-9.eE+-]{0,31}");

    private final DeploymentReader deploymentReader;
    private final Limits limits;
    private final Clock clock;
    private final Log log;
    private final EventLoopTurns turns;
    private final Counters counters = new Counters();
    private final StallProbe stallProbe;
    private final Timers timers;
    private final DeadlineMisses deadlineMisses;
    private final SubmissionRunner engines;
    private final Control control;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    /** Engine lists from the journal; processed before all other events. */
    private final ArrayDeque<Event> engineEvents = new ArrayDeque<>();
    private final SubmissionQueue submissionQueue;
    private final EventLoop loop;
    private BooleanSupplier journalReader = () -> true;
    private Runnable listenerCloser = () -> { };
    private AcceptGuard acceptGuard;
    private KeptAnswers keptAnswers;
    private long journalReadAt;
    private boolean journalReadToEnd = true;
    private final Map<Id.Query, OpenQuery> queriesById = new LinkedHashMap<>();
    private final Map<Long, OpenQuery> queriesByTrace = new HashMap<>();
    private final RecentIds recentTraces;
    private final KernelSendQueues kernelSendQueues = new KernelSendQueues();
    private final RunningTraces runningTraces = new RunningTraces();
    private final ClientConnections clientConnections;
    private boolean deciding;
    private boolean enginesListed;
    private boolean leaving;
    private long leavingDeadline = Long.MAX_VALUE;
    private long lastQueryId;
    private long heldBytes;
    /** The part of {@link #heldBytes} that partially received requests take. */
    private long partialMessageBytes;
    private long nextLogSummaryAt;

    Front(EventLoop loop, EventLoopTurns turns, DeploymentReader deploymentReader, Limits limits, Log log,
          long seed) {
        this(loop, turns, deploymentReader, limits, log, seed,
                front -> new EngineConnections(loop, limits, front));
    }

    /** @param runner creates the submission runner; must not use the front until the constructor returns */
    Front(EventLoop loop, EventLoopTurns turns, DeploymentReader deploymentReader, Limits limits, Log log,
          long seed, Function<Front, SubmissionRunner> runner) {
        this.loop = loop;
        this.deploymentReader = deploymentReader;
        this.limits = limits;
        this.clock = new Clock();
        this.log = log;
        this.turns = turns;
        this.stallProbe = new StallProbe(log, limits.stallMs);
        turns.measureWith(stallProbe);
        this.timers = new Timers(loop, turns, clock, log, limits, stallProbe);
        this.deadlineMisses = new DeadlineMisses(limits, clock, timers, log);
        this.clientConnections = new ClientConnections(this, limits);
        this.recentTraces = new RecentIds(limits.recentTraces);
        this.engines = runner.apply(this);
        this.submissionQueue = new SubmissionQueue(this, engines);
        this.nextLogSummaryAt = clock.now() + limits.logIntervalMs * 10L;
        deciding = true;
        this.control = new Control(seed, deploymentReader.deployment(), clock.now(), this::performSafely);
        deciding = false;
        timers.scheduleIn(limits.tickMs * 10L, this::tick);
    }

    Clock clock() {
        return clock;
    }

    Log log() {
        return log;
    }

    EventLoopTurns turns() {
        return turns;
    }

    ClientConnections clientConnections() {
        return clientConnections;
    }

    Counters counters() {
        return counters;
    }

    KernelSendQueues kernelSendQueues() {
        return kernelSendQueues;
    }

    RunningTraces runningTraces() {
        return runningTraces;
    }

    StallProbe stallProbe() {
        return stallProbe;
    }

    Timers timers() {
        return timers;
    }

    DeadlineMisses deadlineMisses() {
        return deadlineMisses;
    }

    Limits limits() {
        return limits;
    }

    /** Returns the on-disk store of answers, or null if the spool is off. */
    KeptAnswers keptAnswers() {
        return keptAnswers;
    }

    void setKeptAnswers(KeptAnswers answers) {
        keptAnswers = answers;
    }

    EventLoop loop() {
        return loop;
    }

    /**
     * Runs {@code action} on the event loop when the connect attempt completes. If no file descriptor is
     * available, Netty completes the future on another thread, with a channel that was never opened and is
     * therefore never closed.
     */
    void onDialComplete(ChannelFuture dial, Consumer<ChannelFuture> action) {
        dial.addListener(done -> {
            if (loop.inEventLoop()) {
                action.accept(dial);
            } else {
                loop.execute(() -> action.accept(dial));
            }
        });
    }

    /** Closes a channel if it is registered: without an event loop, close() would fail. */
    static void close(Channel channel) {
        if (channel.isRegistered()) {
            channel.close();
        }
    }

    /** Returns whether a graceful shutdown has begun. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns whether the front has an engine list and is not shutting down. */
    boolean isReady() {
        return enginesListed && !leaving;
    }

    // ---- engine list from the journal

    void enginesListed(Event.ListKind listKind, List<Host> hosts) {
        engines.enginesListed(listKind, hosts);
        enginesListed = true;
        engineEvents.add(new Event.EnginesListed(listKind, hosts.stream().map(Host::listing).toList()));
        processEvents();
    }

    /**
     * Sets the reader of the journal's sockets; it may find nothing to read, and returns whether it has come
     * to the end of what was there.
     */
    void setJournalReader(BooleanSupplier reader) {
        journalReader = reader;
    }

    /**
     * Reads pending journal events before a decision or a send, unless that was done a moment ago. The
     * selector returns ready sockets in any order: after a stall of the loop, queries could otherwise be sent
     * to an engine long after its drain notice had arrived in the front's own socket.
     *
     * @return whether all has been read; false if there is more than this turn allows
     */
    boolean readJournal() {
        long now = clock.now();
        if (!journalReadToEnd || now - journalReadAt >= limits.journalReadAgeMs * 10L) {
            journalReadAt = now;
            journalReadToEnd = journalReader.getAsBoolean();
        }
        return journalReadToEnd;
    }

    // ---- clients

    /**
     * Validates a request and opens a query for it.
     *
     * @return the query, for {@link #startDecisions}, or null if the request was refused and answered here
     */
    OpenQuery acceptRequest(ClientConnection client, RpcDecoder.Request request, long arrivedAt) {
        QueryRequest queryRequest = QueryRequest.of(request, deploymentReader, limits);
        OpenQuery sameTraceQuery = queriesByTrace.get(queryRequest.traceId());
        String fault = queryRequest.fault() != null ? queryRequest.fault() : findTraceReuse(queryRequest);
        if (queryRequest.fault() != null) {
            counters.add(RequestRefusal.UNUSABLE);
        }
        if (fault != null) {
            log.warn("request refused", fault);
            if (sameTraceQuery != null && sameTraceQuery.client == client
                    && sameTraceQuery.trace.equals(queryRequest.trace())) {
                client.closeForReusedId(request.id(), fault);
            } else {
                client.sendError(request.id(), fault);
            }
            return null;
        }
        if (queriesById.size() >= limits.queries || heldBytes > limits.heldBytes) {
            recentTraces.add(queryRequest.traceId());
            counters.add(RequestRefusal.NO_ROOM);
            client.turnAway(request.id());
            return null;
        }
        OpenQuery q = createQuery(client, request, queryRequest, arrivedAt);
        queriesById.put(q.id, q);
        queriesByTrace.put(q.traceId, q);
        recentTraces.add(q.traceId);
        addHeldBytes(q.statement.readableBytes());
        q.expiryTimer = timers.scheduleAt(q.deadline + limits.fallbackAnswerMs * 10L, () -> failOverdue(q));
        q.takenEvent = new Event.Taken(q.id, queryRequest.group(), queryRequest.tenant(),
                StatementScanner.findDataSet(q.statement), Times.nearestTicks(queryRequest.estimateMs()),
                queryRequest.needMb(), q.deadline, null);
        return q;
    }

    /** Records the trace of a request that is turned away; its client must retry under a new one. */
    void recordTurnedAway(RpcDecoder.Request request) {
        QueryRequest queryRequest = QueryRequest.of(request, deploymentReader, limits);
        counters.add(RequestRefusal.NO_ROOM);
        if (queryRequest.fault() == null) {
            recentTraces.add(queryRequest.traceId());
        }
    }

    /**
     * Checks whether the trace was used before; returns the error text, or null. Engines identify a query by
     * its trace alone, so a second request with the trace of an open or answered query would reach them as
     * another statement under the same identity.
     */
    private String findTraceReuse(QueryRequest request) {
        if (queriesByTrace.containsKey(request.traceId()) || runningTraces.contains(request.traceId())) {
            counters.add(RequestRefusal.TRACE_OPEN);
            return "the trace is open already";
        }
        if (recentTraces.contains(request.traceId())) {
            counters.add(RequestRefusal.TRACE_REPEATED);
            return "the trace was used before";
        }
        return null;
    }

    private OpenQuery createQuery(ClientConnection client, RpcDecoder.Request request,
                                  QueryRequest queryRequest, long arrivedAt) {
        Deployment.ResourceGroup resourceGroup =
                deploymentReader.deployment().groups().get(queryRequest.group().index());
        OpenQuery q = new OpenQuery(new Id.Query(++lastQueryId), request, client, queryRequest,
                Math.min(leavingDeadline, arrivedAt + Times.nearestTicks(queryRequest.timeoutMs())),
                new QueryLifecycle(resourceGroup,
                        deploymentReader.deployment().capabilities().maxSubmissions()));
        q.arrivedAt = arrivedAt;
        q.history.add(Step.TAKEN, null, arrivedAt);
        q.wantsPages = keptAnswers != null && "1".equals(request.fields().get("pages"));
        if (q.wantsPages) {
            q.tenant = request.fields().getOrDefault("customer", "");
            q.repeatable = resourceGroup.effect() == Deployment.Effect.READ_ONLY
                    || resourceGroup.effect() == Deployment.Effect.TOKENED
                            && resourceGroup.recognised() == Deployment.Recognised.ALL;
        }
        return q;
    }

    /** Hands a new query to the decisions. */
    void startDecisions(OpenQuery q) {
        enqueueEvent(q.takenEvent);
    }

    /** Ends a query whose client disconnected or revoked it, or whose connection the front closed. */
    void clientLeft(OpenQuery q, boolean closedByFront) {
        if (!q.answered()) {
            deadlineMisses.queryUnanswered(q, closedByFront);
            q.lifecycle.clientLeft();
            q.history.add(Step.CLIENT_LEFT, null, clock.now());
            counters.add(Step.CLIENT_LEFT);
            giveUpSubmission(q);
            enqueueEvent(new Event.Left(q.id));
            releaseIfDone(q);
        }
    }

    /** Answers a query whose connection is about to be closed. */
    void answerBeforeClose(OpenQuery q) {
        if (!q.answered()) {
            abandon(q, "the connection had to end");
        }
    }

    /** Ends an open query: deferred if a retry is safe, else failed for the given reason. */
    void abandon(OpenQuery q, String reason) {
        if (q.lifecycle.answerIfGivenUp() == Answer.DEFERRED) {
            defer(q, limits.retryAfterMs * 10L);
        } else {
            fail(q, reason);
        }
        enqueueEvent(new Event.Left(q.id));
        releaseIfDone(q);
    }

    /** Fails a query that the decisions have left unanswered past its deadline. */
    private void failOverdue(OpenQuery q) {
        if (!q.answered()) {
            log.warn("query overdue, killed by the front", q.trace);
            fail(q, "no answer in time");
            enqueueEvent(new Event.Left(q.id));
            releaseIfDone(q);
        }
    }

    // ---- final answers

    private void defer(OpenQuery q, long retryAfter) {
        Verdict verdict = q.lifecycle.answer(Answer.DEFERRED);
        if (verdict == Verdict.UNSAFE_DEFERRAL) {
            recordRefusal(verdict, q);
            fail(q, "failed");
        } else if (recordAnswer(q, verdict, Step.DEFERRED)) {
            q.client.sendDeferral(q, retryAfter);
        }
    }

    private void fail(OpenQuery q, String reason) {
        if (recordAnswer(q, q.lifecycle.answer(Answer.FAILED), Step.FAILED)) {
            q.client.sendKill(q, reason);
        }
    }

    private void serve(OpenQuery q, Submission s) {
        if (!recordAnswer(q, q.lifecycle.answer(Answer.SERVED), Step.SERVED)) {
            return;
        }
        if (s.handle != null) {
            q.client.sendFirstPage(q, s);
        } else if (s.missingPages == 0) {
            q.client.sendRows(q, List.of(s.pages));
        } else {
            q.client.sendKill(q, "no room for the result");
        }
    }

    /** Nobody waits any more for the running submission of a query that is over, if there is one. */
    private static void giveUpSubmission(OpenQuery q) {
        if (q.submission != null && q.submission.connection != null) {
            q.submission.connection.preventLateArrival(q.submission);
        }
    }

    /** Records the final answer if {@code verdict} allows it; returns whether it may be sent. */
    private boolean recordAnswer(OpenQuery q, Verdict verdict, Step step) {
        if (!verdict.allowed()) {
            recordRefusal(verdict, q);
            return false;
        }
        q.history.add(step, null, clock.now());
        counters.add(step);
        giveUpSubmission(q);
        return true;
    }

    /** Counts an operation that a lifecycle rule forbade; a breach indicates a bug and is logged. */
    void recordRefusal(Verdict verdict, OpenQuery q) {
        counters.add(verdict);
        if (verdict.breach()) {
            log.warnText("rule would be broken", "rule would be broken, not done: " + verdict + " " + q.trace
                    + ": " + q.history.describe());
        }
    }

    /** Removes the query once it is answered and no submission is running. */
    private void releaseIfDone(OpenQuery q) {
        if (q.answered() && q.submission == null && queriesById.remove(q.id) != null) {
            timers.cancel(q.expiryTimer);
            queriesByTrace.remove(q.traceId, q);
            addHeldBytes(-q.statement.readableBytes());
            q.statement.release();
        }
    }

    /** Adds {@code bytes}, which may be negative, to the total of bytes held, which is limited. */
    void addHeldBytes(long bytes) {
        heldBytes += bytes;
    }

    /** Adds bytes of partially received requests; returns whether the totals are within their limits. */
    boolean addPartialMessageBytes(int bytes) {
        heldBytes += bytes;
        partialMessageBytes += bytes;
        return heldBytes <= limits.heldBytes && partialMessageBytes <= limits.partialMessageBytes;
    }

    /**
     * Closes clients that have stopped within a message, while the total is at a limit. Those that don't read
     * their answers have their own time.
     */
    private void reclaimMemory() {
        long excess = Math.max(heldBytes - limits.heldBytes,
                partialMessageBytes - limits.partialMessageBytes * 3 / 4);
        if (excess > 0) {
            clientConnections.closeStalledInMessage(excess);
        }
    }

    /** Returns whether the bytes held exceed their limit. */
    boolean isOverHeldLimit() {
        return heldBytes > limits.heldBytes;
    }

    // ---- decisions

    private void enqueueEvent(Event event) {
        events.add(event);
        processEvents();
    }

    /** Processes queued events until none is left; returns at once when called from within an event. */
    private void processEvents() {
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!engineEvents.isEmpty() || !events.isEmpty()) {
                readJournal();
                Event next = engineEvents.isEmpty() ? events.poll() : engineEvents.poll();
                long startedAt = stallProbe.decisionStart();
                try {
                    control.onEvent(clock.now(), next, this::performSafely);
                } catch (RuntimeException | Error e) {
                    // The expiry timer still answers the query concerned.
                    FatalErrors.logOrEndProcess(log, "a decision failed", e);
                }
                stallProbe.decided(startedAt, next);
            }
        } finally {
            deciding = false;
        }
    }

    /** Performs an action; an exception must not propagate into the decisions in the middle of an event. */
    private void performSafely(Action action) {
        try {
            perform(action);
        } catch (RuntimeException | Error e) {
            FatalErrors.logOrEndProcess(log, "an action failed", e);
        }
    }

    private void perform(Action action) {
        if (action instanceof Action.Submit submit) {
            submit(submit);
        } else if (action instanceof Action.SetPriority set) {
            OpenQuery q = queriesById.get(set.query());
            if (q != null) {
                q.priority = set.priority();
                if (q.submission != null && q.submission.connection != null) {
                    q.submission.connection.renice(q.submission);
                }
            }
        } else if (action instanceof Action.Cancel cancel) {
            OpenQuery q = queriesById.get(cancel.query());
            if (q != null && q.submission != null && q.submission.number.equals(cancel.submission())) {
                Submission s = q.submission;
                if (s.connection != null) {
                    s.connection.cancel(s);
                }
                submissionEnded(s, s.written ? Outcome.CANCELLED : Outcome.NOT_SENT);
            }
        } else if (action instanceof Action.Defer defer) {
            OpenQuery q = findUnanswered(defer.query());
            if (q != null) {
                defer(q, defer.retryAfter());
                releaseIfDone(q);
            }
        } else if (action instanceof Action.Kill kill) {
            OpenQuery q = findUnanswered(kill.query());
            if (q != null) {
                fail(q, "failed");
                releaseIfDone(q);
            }
        } else if (action instanceof Action.StartTimer start) {
            timers.scheduleIn(start.delay(), () -> enqueueEvent(new Event.Woken(start.timer())));
        } else if (action instanceof Action.LogMessage message) {
            log.warnText("decision", message.text());
        }
        // SubscribeToEngines needs no action: the journal is followed from the start.
    }

    private OpenQuery findUnanswered(Id.Query id) {
        OpenQuery q = queriesById.get(id);
        return q == null || q.answered() ? null : q;
    }

    private void submit(Action.Submit submit) {
        OpenQuery q = queriesById.get(submit.query());
        if (q == null || q.submission != null) {
            counters.add(q == null ? Verdict.QUERY_OVER : Verdict.ATTEMPT_OUT);
            log.warn("submission for a query that is over", Long.toString(submit.query().value()));
            return;
        }
        long now = clock.now();
        long timeoutAt = submit.timeout() > 0 ? Math.min(q.deadline, now + submit.timeout()) : q.deadline;
        Submission s = new Submission(q, now, timeoutAt, submit.latestSendAt());
        q.submission = s;
        Verdict verdict = q.lifecycle.startSubmission();
        if (!verdict.allowed()) {
            // The query may have ended since the event under decision, when its client left. Without this end
            // the decisions would count the submission's threads as in use forever.
            recordRefusal(verdict, q);
            submissionEnded(s, Outcome.NOT_SENT);
            return;
        }
        q.history.add(Step.ATTEMPT_DECIDED, null, now);
        s.timeoutTimer = timers.scheduleAt(timeoutAt, () -> endTimedOut(s));
        engines.send(submit.engine(), s);
    }

    /** Ends a submission at its timeout; one that was never written cannot have run. */
    private void endTimedOut(Submission s) {
        submissionEnded(s, s.written ? Outcome.TIMED_OUT : Outcome.NOT_SENT);
    }

    /** Queues a submission whose connection is up; it is sent after this loop iteration's reads. */
    void queueForSending(Submission s) {
        submissionQueue.add(s);
    }

    /** Counts that a limit of one turn of the event loop was reached. */
    void recordBudgetMet(LoopBudget budget, String detail) {
        counters.add(budget);
        log.warn(budget.event(), detail);
    }

    /** Ends a submission with its outcome; later replies of the engine for it are ignored. */
    void submissionEnded(Submission s, Outcome observed) {
        if (s.ended) {
            return;
        }
        s.ended = true;
        OpenQuery q = s.query;
        q.submission = null;
        timers.cancel(s.timeoutTimer);
        if (s.connection != null) {
            s.connection.drop(s);
        }
        Outcome outcome = observed;
        if (keptAnswers != null) {
            keptAnswers.submissionEnded(s);
        }
        q.lifecycle.submissionEnded(outcome.neverRan());
        q.history.add(Step.ATTEMPT_ENDED, outcome, clock.now());
        counters.add(outcome);
        if (outcome == Outcome.FINISHED && !q.answered()) {
            serve(q, s);
        }
        boolean queryOver = q.answered();
        addHeldBytes(-s.resultBytes);
        s.release();
        if (s.endedAt == 0) {
            recordEnd(s);
        }
        long duration = s.endedAt - s.sentAt;
        events.add(new Event.Closed(q.id, s.number, outcome, queryOver, duration,
                Math.min(duration, s.unseenTicks), s.workTicks));
        releaseIfDone(q);
        processEvents();
    }

    /** Records the end time, and how much earlier the end may have been if the loop was stalled. */
    void recordEnd(Submission s) {
        s.endedAt = clock.now();
        s.unseenTicks = s.endedAt - timers.earliestArrival();
    }

    /** Reports the share of a submission's work that its engine says is done. */
    void reportProgress(Submission s, double share) {
        enqueueEvent(new Event.ShareDone(s.query.id, s.number, share,
                clock.now() - timers.earliestArrival()));
    }

    /** Parses an engine's load report, such as {@code inflight:7;util:0.61}; invalid fields are ignored. */
    void loadReported(String engine, String report) {
        Load load = Load.UNKNOWN;
        for (String part : report.split(";", limits.reportFields + 1)) {
            int colon = part.indexOf(':');
            String value = part.substring(colon + 1);
            if (colon > 0 && DECIMAL_NUMBER.matcher(value).matches()) {
                try {
                    load = load.with(part.substring(0, colon), Double.parseDouble(value));
                } catch (NumberFormatException e) {
                    // the pattern also matches some text that is not a number
                }
            }
        }
        enqueueEvent(new Event.LoadReported(new Id.Engine(engine), load));
    }

    // ---- time

    private void tick() {
        timers.scheduleIn(limits.tickMs * 10L, this::tick);
        long now = clock.now();
        engines.tick(now);
        if (acceptGuard != null) {
            acceptGuard.tick();
        }
        if (keptAnswers != null) {
            keptAnswers.tick();
        }
        clientConnections.openConnections().forEach(client -> client.tick(now));
        reclaimMemory();
        if (now >= nextLogSummaryAt) {
            nextLogSummaryAt = now + limits.logIntervalMs * 10L;
            logSummary();
        }
    }

    /** Logs the suppressed line counts and the counters; also called at the end of a shutdown. */
    void logSummary() {
        log.endInterval();
        logCounts();
    }

    private void logCounts() {
        String counts = counters.changedCounts();
        String longestTurn = stallProbe.takeLongestTurn();
        if (counts != null) {
            log.info("counts since the start:", counts);
            log.info("longest turn of the loop since the last count:", longestTurn);
        }
    }

    /**
     * Begins a graceful shutdown: requests are served while clients can still send them, and every open query
     * is answered.
     *
     * @param onAllAnswered called when nothing is left to answer
     */
    void leave(Runnable onAllAnswered) {
        if (leaving) {
            return;
        }
        leaving = true;
        long now = clock.now();
        leavingDeadline = now + limits.shutdownAnsweredMs * 10L;
        log.info("leaving,", queriesById.size() + " queries open");
        // The decisions answer waiting queries. Submissions time out by the shutdown deadline, so that the
        // decisions can answer those queries too: only they know whether a retry is safe.
        enqueueEvent(new Event.Leaving(leavingDeadline));
        for (OpenQuery q : List.copyOf(queriesById.values())) {
            q.deadline = Math.min(q.deadline, leavingDeadline);
            timers.cancel(q.expiryTimer);
            q.expiryTimer = timers.scheduleAt(q.deadline + limits.fallbackAnswerMs * 10L,
                    () -> failOverdue(q));
            if (q.submission != null) {
                Submission s = q.submission;
                timers.cancel(s.timeoutTimer);
                s.timeoutAt = Math.min(s.timeoutAt, leavingDeadline);
                s.timeoutTimer = timers.scheduleAt(s.timeoutAt, () -> endTimedOut(s));
            }
        }
        new Shutdown(this, limits, clientConnections, now).begin(onAllAnswered);
    }

    boolean allAnswered() {
        return queriesById.values().stream().allMatch(OpenQuery::answered);
    }

    void setAcceptGuard(AcceptGuard guard) {
        acceptGuard = guard;
    }

    /** Registers a socket anew after the selector missed its readiness to read or write. */
    void reregister(Channel socket) {
        log.warn("socket not known to the selector, registered anew", String.valueOf(socket.remoteAddress()));
        counters.add(SocketFault.NOT_REGISTERED);
        Registration.renew(socket, turns);
    }

    /** Returns whether connections may be waiting in the accept queue while accepting is paused. */
    boolean mayHaveUnacceptedConnections() {
        return acceptGuard != null && acceptGuard.paused();
    }

    /** Sets the action that closes the listener, run with the end of the last connections. */
    void setListenerCloser(Runnable closer) {
        listenerCloser = closer;
    }

    void closeListener() {
        listenerCloser.run();
    }
}
