package reedspring.rig.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import reedspring.api.Load;
import reedspring.rig.EngineStandIn;

/**
 * A simulated engine process on sockets. {@link EngineStandIn} speaks its protocol and a {@link EngineModel}
 * models its execution. A statement states its own cost. Everything that fronts sent is kept with its time
 * for the checks.
 */
final class SimulatedEngine implements Closeable {
    private static final Pattern TTL_FIELD = Pattern.compile("ttl=([0-9]+)");
    private static final Pattern GROUP_FIELD = Pattern.compile("(?:^|,)lane=([^,]*)");
    private static final Pattern STATEMENT_COSTS =
            Pattern.compile("work=([0-9.]+) need=([0-9.]+) threads=([0-9]+)");
    private static final Set<String> COMMANDS = Set.of("fetch", "abort", "renice", "more", "done", "alive");
    private static final int MAX_CONNECTIONS = 400;
    private static final int MALFORMED_ONE_IN = 5;
    private static final long IDLE_TIMEOUT_NS = 150_000_000;

    /**
     * One submission as it reached the engine. Times are in nanoseconds; {@code endedAt} is 0 until its end.
     */
    static final class Submission {
        final String trace;
        final int front;
        final String engine;
        final long receivedAt;
        final double workTicks;
        /** The time that the front grants the engine, in milliseconds; -1 if the command states none. */
        final long ttlMs;
        /** The resource group and the statement as they were received. */
        final String group;
        final String statement;
        volatile long endedAt;
        volatile String outcome = "out";
        private final EngineStandIn.Command command;

        Submission(EngineStandIn.Command command, int front, String engine, double workTicks) {
            this.trace = command.id();
            this.front = front;
            this.engine = engine;
            this.receivedAt = command.firstByteNanos();
            this.workTicks = workTicks;
            this.command = command;
            Matcher ttlField = command.words().size() > 2 ? TTL_FIELD.matcher(command.words().get(2)) : null;
            Matcher groupField = command.words().size() > 2 ? GROUP_FIELD.matcher(command.words().get(2))
                    : null;
            this.group = groupField != null && groupField.find() ? groupField.group(1) : "";
            this.statement = command.words().size() > 3 ? command.words().get(3) : "";
            this.ttlMs = ttlField != null && ttlField.find() ? Long.parseLong(ttlField.group(1)) : -1;
        }

        void finish(String result) {
            if (endedAt == 0) {
                outcome = result;
                endedAt = System.nanoTime();
            }
        }
    }

    final String name;
    final int index;
    final long startedAtMs;
    /** The start time on the monotonic clock in nanoseconds, accurate to a millisecond. */
    final long startedAt;
    private final EngineStandIn server;
    private final EngineModel model;
    private final List<Submission> submissions = new ArrayList<>();
    private final List<String> unexpectedCommands = new ArrayList<>();
    /** The time at which a front last sent something on each connection. */
    private final Map<Socket, Long> lastUsedAt = new HashMap<>();
    private boolean failing;
    private boolean silent;
    private Load frozenLoad;
    private boolean reportingIdle;
    private boolean reportingNothing;
    private boolean hanging;
    private boolean closingIdle;
    private boolean duplicating;
    private boolean malforming;
    /** Responses that wait until the engine resumes, and duplicates that are due later, in order. */
    private final ArrayDeque<DelayedResponse> delayedResponses = new ArrayDeque<>();
    private final SplittableRandom random;
    private double threadLoad;
    private long nextProgressAt;

    /**
     * A delayed response to a submission; {@code dueAt} is {@code Long.MAX_VALUE} until the engine resumes.
     */
    private record DelayedResponse(Submission submission, String word, String fields, String body,
            long dueAt) {
    }

    /** Starts the engine; {@code startedAtMs} 0 means that it started long ago and is warm. */
    SimulatedEngine(Timetable timetable, int index, String name, long startedAtMs) throws IOException {
        this.name = name;
        this.index = index;
        this.startedAtMs = startedAtMs;
        this.startedAt = System.nanoTime() - (System.currentTimeMillis() - startedAtMs) * 1_000_000;
        this.model = new EngineModel(timetable.cores(index), timetable.memoryMb(), timetable.sessions(),
                nowTicks(), FleetSettings.COLD_CAPACITY_RATIO,
                startedAtMs == 0 ? 0 : FleetSettings.COLD_RAMP_MS * 10L);
        this.random = new SplittableRandom(name.hashCode());
        this.server = new EngineStandIn(0, this::onCommand, this::onConnectionClosed);
        server.maxConnections = MAX_CONNECTIONS;
    }

    private static long nowTicks() {
        return System.nanoTime() / 100_000;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    private synchronized void onCommand(EngineStandIn.Command command) {
        lastUsedAt.put(command.connection(), System.nanoTime());
        if (command.word().equals("alive")) {
            if (!silent && !hanging) {
                command.answer("well", "-", "");
            }
            return;
        }
        if (!COMMANDS.contains(command.word())) {
            unexpectedCommands.add(command.words().toString());
        }
        Matcher statementCosts = command.word().equals("fetch")
                ? STATEMENT_COSTS.matcher(command.words().get(3)) : null;
        if (statementCosts == null) {
            return;
        }
        if (!statementCosts.find()) {
            unexpectedCommands.add(command.words().toString());
            return;
        }
        double workTicks = 10 * Double.parseDouble(statementCosts.group(1));
        // The fault proxy connects from a source address of its own for each front.
        int front = command.connection().getInetAddress().getAddress()[3] - 1 & 0xff;
        Submission submission = new Submission(command, front, name, workTicks);
        submissions.add(submission);
        if (failing) {
            respond(submission, "failed", "-", "");
        } else if (model.start(submission, workTicks, Double.parseDouble(statementCosts.group(2)),
                Integer.parseInt(statementCosts.group(3)), nowTicks()) == null) {
            respond(submission, "full", loadReport(), "");
        }
    }

    private void respond(Submission submission, String word, String fields, String body) {
        if (hanging) {
            delayedResponses.add(new DelayedResponse(submission, word, fields, body, Long.MAX_VALUE));
            return;
        }
        submission.finish(word);
        if (silent) {
            return;
        }
        if (malforming && random.nextInt(MALFORMED_ONE_IN) == 0) {
            String text = EngineStandIn.Command.encodeAnswer(submission.trace, word, fields, body);
            submission.command.answerRaw(random.nextBoolean() ? "*4\r\n$x\r\n" : text.substring(0,
                    text.length() / 2));
            return;
        }
        submission.command.answer(word, fields, body);
        if (duplicating) {
            long dueAt = System.nanoTime() + (2 + random.nextInt(40)) * 1_000_000L;
            delayedResponses.add(new DelayedResponse(submission, word, fields, body, dueAt));
        }
    }

    /** Sends the responses held while the engine hung, and the duplicates that are due. */
    private void sendDelayedResponses() {
        for (int remaining = delayedResponses.size(); remaining > 0; remaining--) {
            DelayedResponse response = delayedResponses.poll();
            if (hanging || response.dueAt() != Long.MAX_VALUE && response.dueAt() > System.nanoTime()) {
                delayedResponses.add(response);
            } else if (response.dueAt() == Long.MAX_VALUE) {
                respond(response.submission(), response.word(), response.fields(), response.body());
            } else {
                response.submission().command.answer(response.word(), response.fields(), response.body());
            }
        }
    }

    /** Closes connections that have been idle briefly, as engines with a short idle timeout do. */
    private void closeIdleConnections() {
        for (Socket peer : server.accepted) {
            Long usedAt = lastUsedAt.get(peer);
            boolean busy = submissions.stream()
                    .anyMatch(a -> a.endedAt == 0 && a.command.connection() == peer);
            if (!peer.isClosed() && usedAt != null && !busy && System.nanoTime() - usedAt > IDLE_TIMEOUT_NS) {
                lastUsedAt.remove(peer);
                try {
                    if (random.nextBoolean()) {
                        peer.getOutputStream().write("*4\r\n$5\r\nfro".getBytes(StandardCharsets.US_ASCII));
                    }
                    peer.close();
                } catch (IOException e) {
                    // the connection was closed already
                }
            }
        }
    }

    /** A closed connection abandons its submissions; their execution goes on in the engine. */
    private synchronized void onConnectionClosed(Socket peer) {
        submissions.stream().filter(a -> a.endedAt == 0 && a.command.connection() == peer).forEach(a -> a
                .finish("given up"));
    }

    /** Advances the engine by {@code spanTicks} ticks (a tick is a tenth of a millisecond). */
    synchronized void step(long spanTicks) {
        long now = nowTicks();
        threadLoad += (double) model.threads() * spanTicks;
        sendDelayedResponses();
        if (closingIdle) {
            closeIdleConnections();
        }
        for (EngineModel.Execution execution : model.step(now, spanTicks)) {
            Submission submission = (Submission) execution.owner;
            if (submission.endedAt == 0) {
                String report = loadReport();
                respond(submission, "data", String.format(Locale.ROOT, "sheets=1,toil=%.1f,room=%.0f%s",
                        execution.workTicks / 10,
                        execution.needMb, report.equals("-") ? "" : "," + report), submission.trace + "\t"
                        + name + "\trow\n");
            }
        }
        if (now >= nextProgressAt) {
            nextProgressAt = now + FleetSettings.PROGRESS_INTERVAL_MS * 10L / 4;
            for (EngineModel.Execution execution : model.executions()) {
                Submission submission = (Submission) execution.owner;
                long quarter = (now - execution.startedAt) / (FleetSettings.PROGRESS_INTERVAL_MS * 10L / 4);
                if (submission.endedAt == 0 && !silent && !hanging && quarter % 4 == 0 && quarter > 0) {
                    submission.command.answer("news", String.format(Locale.ROOT, "why=done,val=%.3f",
                            execution.doneShare()), "");
                }
            }
        }
    }

    private String loadReport() {
        if (reportingNothing) {
            return "-";
        }
        Load load = reportingIdle ? new Load(0, 0, Double.NaN, 0, 0) : frozenLoad != null ? frozenLoad
                : model.load();
        return String.format(Locale.ROOT, "rep=util:%.2f;x0:%.2f;queue:%.0f", load.cores(), load.memory(),
                load.queued());
    }

    synchronized void failing(boolean on) {
        failing = on;
    }

    synchronized void setSlowdown(double factor) {
        model.slowdown(factor);
    }

    synchronized void silent(boolean on) {
        silent = on;
    }

    synchronized void reportingIdle(boolean on) {
        reportingIdle = on;
    }

    synchronized void frozenLoad(boolean on) {
        frozenLoad = on ? model.load() : null;
    }

    synchronized void reportingNothing(boolean on) {
        reportingNothing = on;
    }

    synchronized void hanging(boolean on) {
        hanging = on;
    }

    synchronized void closingIdle(boolean on) {
        closingIdle = on;
    }

    synchronized void duplicating(boolean on) {
        duplicating = on;
    }

    synchronized void malforming(boolean on) {
        malforming = on;
    }

    /** Simulates a crash of the process: connections are closed and everything that ran is lost. */
    synchronized void crash() throws IOException {
        model.dropAll();
        submissions.stream().filter(a -> a.endedAt == 0).forEach(a -> a.finish("died"));
        server.close();
    }

    /** Malformed commands, and commands that no client of this rig can have caused. */
    synchronized List<String> unexpectedCommands() {
        List<String> unexpected = new ArrayList<>(unexpectedCommands);
        unexpected.addAll(List.copyOf(server.malformedCommands));
        return unexpected;
    }

    synchronized List<Submission> submissions() {
        return List.copyOf(submissions);
    }

    /** Running threads per core, integrated over ticks. */
    synchronized double threadLoad() {
        return threadLoad / model.cores();
    }

    synchronized double capacity() {
        return model.capacityCores(nowTicks());
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
