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
 * A stand-in for one engine's process on sockets: its protocol is {@link EngineStandIn}'s, its inside a
 * {@link Machine}. A statement says what it costs. All that fronts sent it is kept with its times, for the
 * rules.
 */
final class EngineHost implements Closeable {
    private static final Pattern TTL = Pattern.compile("ttl=([0-9]+)");
    private static final Pattern LANE = Pattern.compile("(?:^|,)lane=([^,]*)");
    private static final Pattern COSTS = Pattern.compile("work=([0-9.]+) need=([0-9.]+) threads=([0-9]+)");
    private static final Set<String> COMMANDS = Set.of("fetch", "abort", "renice", "more", "done", "alive");
    private static final int CONNECTIONS = 400;
    private static final int SPOILT_ONE_IN = 5;
    private static final long REST_NANOS = 150_000_000;

    /** One submission as it reached the engine. Times in nanoseconds; {@code endedAt} 0 while it is out. */
    static final class Attempt {
        final String trace;
        final int front;
        final String engine;
        final long at;
        final double work;
        /** What the front said that it would wait, in milliseconds; -1 if it did not say. */
        final long ttlMs;
        /** As it came: the class, and the statement. */
        final String group;
        final String statement;
        volatile long endedAt;
        volatile String end = "out";
        private final EngineStandIn.Command command;

        Attempt(EngineStandIn.Command command, int front, String engine, double work) {
            this.trace = command.id();
            this.front = front;
            this.engine = engine;
            this.at = command.at();
            this.work = work;
            this.command = command;
            Matcher ttl = command.words().size() > 2 ? TTL.matcher(command.words().get(2)) : null;
            Matcher lane = command.words().size() > 2 ? LANE.matcher(command.words().get(2)) : null;
            this.group = lane != null && lane.find() ? lane.group(1) : "";
            this.statement = command.words().size() > 3 ? command.words().get(3) : "";
            this.ttlMs = ttl != null && ttl.find() ? Long.parseLong(ttl.group(1)) : -1;
        }

        void ends(String how) {
            if (endedAt == 0) {
                end = how;
                endedAt = System.nanoTime();
            }
        }
    }

    final String name;
    final int at;
    final long bornMs;
    /** The same moment in nanoseconds of the steady clock, to a millisecond. */
    final long bornAt;
    private final EngineStandIn server;
    private final Machine machine;
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<String> unknown = new ArrayList<>();
    /** When a front last sent something on a connection. */
    private final Map<Socket, Long> lastUsed = new HashMap<>();
    private boolean fails;
    private boolean silent;
    private Load stuck;
    private boolean lies;
    private boolean mute;
    private boolean hangs;
    private boolean forgets;
    private boolean copies;
    private boolean spoils;
    /** What is said once the engine goes on, or a copy is due: in order, with its moment. */
    private final ArrayDeque<Said> toSay = new ArrayDeque<>();
    private final SplittableRandom chance;
    private double threadTime;
    private long nextNote;

    /** Something that is said later; the attempt that it ends, or null. */
    private record Said(Attempt attempt, String word, String fields, String body, long dueAt) {
    }

    /** {@code bornMs} 0: it started long ago and is warm. */
    EngineHost(Timetable table, int at, String name, long bornMs) throws IOException {
        this.name = name;
        this.at = at;
        this.bornMs = bornMs;
        this.bornAt = System.nanoTime() - (System.currentTimeMillis() - bornMs) * 1_000_000;
        this.machine = new Machine(table.cores(at), table.memoryMb(), table.sessions(), now(),
                Terms.COLD_FROM,
                bornMs == 0 ? 0 : Terms.RAMP_MS * 10L);
        this.chance = new SplittableRandom(name.hashCode());
        this.server = new EngineStandIn(0, this::command, this::gone);
        server.mostConnections = CONNECTIONS;
    }

    private static long now() {
        return System.nanoTime() / 100_000;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    private synchronized void command(EngineStandIn.Command command) {
        lastUsed.put(command.from(), System.nanoTime());
        if (command.word().equals("alive")) {
            if (!silent && !hangs) {
                command.answer("well", "-", "");
            }
            return;
        }
        if (!COMMANDS.contains(command.word())) {
            unknown.add(command.words().toString());
        }
        Matcher costs = command.word().equals("fetch") ? COSTS.matcher(command.words().get(3)) : null;
        if (costs == null) {
            return;
        }
        if (!costs.find()) {
            unknown.add(command.words().toString());
            return;
        }
        double work = 10 * Double.parseDouble(costs.group(1));
        // The relay calls from an address for each front.
        int front = command.from().getInetAddress().getAddress()[3] - 1 & 0xff;
        Attempt attempt = new Attempt(command, front, name, work);
        attempts.add(attempt);
        if (fails) {
            answer(attempt, "failed", "-", "");
        } else if (machine.take(attempt, work, Double.parseDouble(costs.group(2)),
                Integer.parseInt(costs.group(3)), now()) == null) {
            answer(attempt, "full", report(), "");
        }
    }

    private void answer(Attempt attempt, String word, String fields, String body) {
        if (hangs) {
            toSay.add(new Said(attempt, word, fields, body, Long.MAX_VALUE));
            return;
        }
        attempt.ends(word);
        if (silent) {
            return;
        }
        if (spoils && chance.nextInt(SPOILT_ONE_IN) == 0) {
            String whole = EngineStandIn.Command.text(attempt.trace, word, fields, body);
            attempt.command.answerRaw(chance.nextBoolean() ? "*4\r\n$x\r\n" : whole.substring(0,
                    whole.length() / 2));
            return;
        }
        attempt.command.answer(word, fields, body);
        if (copies) {
            long later = System.nanoTime() + (2 + chance.nextInt(40)) * 1_000_000L;
            toSay.add(new Said(attempt, word, fields, body, later));
        }
    }

    /** What waited for the engine to go on, and copies that are due. */
    private void sayOn() {
        for (int left = toSay.size(); left > 0; left--) {
            Said said = toSay.poll();
            if (hangs || said.dueAt() != Long.MAX_VALUE && said.dueAt() > System.nanoTime()) {
                toSay.add(said);
            } else if (said.dueAt() == Long.MAX_VALUE) {
                answer(said.attempt(), said.word(), said.fields(), said.body());
            } else {
                said.attempt().command.answer(said.word(), said.fields(), said.body());
            }
        }
    }

    /** Ends connections that have rested for a moment, as engines do that forget them early. */
    private void forgetResting() {
        for (Socket peer : server.accepted) {
            Long used = lastUsed.get(peer);
            boolean busy = attempts.stream().anyMatch(a -> a.endedAt == 0 && a.command.from() == peer);
            if (!peer.isClosed() && used != null && !busy && System.nanoTime() - used > REST_NANOS) {
                lastUsed.remove(peer);
                try {
                    if (chance.nextBoolean()) {
                        peer.getOutputStream().write("*4\r\n$5\r\nfro".getBytes(StandardCharsets.US_ASCII));
                    }
                    peer.close();
                } catch (IOException e) {
                    // it has gone by itself
                }
            }
        }
    }

    /** Closing a connection gives up what is out on it; what runs goes on. */
    private synchronized void gone(Socket peer) {
        attempts.stream().filter(a -> a.endedAt == 0 && a.command.from() == peer).forEach(a -> a
                .ends("given up"));
    }

    /** Lets so many tenths of a millisecond pass. */
    synchronized void step(long span) {
        long now = now();
        threadTime += (double) machine.threads() * span;
        sayOn();
        if (forgets) {
            forgetResting();
        }
        for (Machine.Run run : machine.step(now, span)) {
            Attempt attempt = (Attempt) run.of;
            if (attempt.endedAt == 0) {
                String report = report();
                answer(attempt, "data", String.format(Locale.ROOT, "sheets=1,toil=%.1f,room=%.0f%s", run.work
                        / 10,
                        run.needMb, report.equals("-") ? "" : "," + report), attempt.trace + "\t" + name
                                + "\trow\n");
            }
        }
        if (now >= nextNote) {
            nextNote = now + Terms.NOTE_MS * 10L / 4;
            for (Machine.Run run : machine.runs()) {
                Attempt attempt = (Attempt) run.of;
                long quarter = (now - run.since) / (Terms.NOTE_MS * 10L / 4);
                if (attempt.endedAt == 0 && !silent && !hangs && quarter % 4 == 0 && quarter > 0) {
                    attempt.command.answer("news", String.format(Locale.ROOT, "why=done,val=%.3f", run
                            .share()), "");
                }
            }
        }
    }

    private String report() {
        if (mute) {
            return "-";
        }
        Load load = lies ? new Load(0, 0, Double.NaN, 0, 0) : stuck != null ? stuck : machine.load();
        return String.format(Locale.ROOT, "rep=util:%.2f;x0:%.2f;queue:%.0f", load.cores(), load.memory(),
                load.queued());
    }

    synchronized void fails(boolean on) {
        fails = on;
    }

    synchronized void slower(double times) {
        machine.slower(times);
    }

    synchronized void silent(boolean on) {
        silent = on;
    }

    synchronized void lies(boolean on) {
        lies = on;
    }

    synchronized void stuck(boolean on) {
        stuck = on ? machine.load() : null;
    }

    synchronized void mute(boolean on) {
        mute = on;
    }

    synchronized void hangs(boolean on) {
        hangs = on;
    }

    synchronized void forgets(boolean on) {
        forgets = on;
    }

    synchronized void copies(boolean on) {
        copies = on;
    }

    synchronized void spoils(boolean on) {
        spoils = on;
    }

    /** The process dies: connections are reset, and all that ran is lost. */
    synchronized void dies() throws IOException {
        machine.dies();
        attempts.stream().filter(a -> a.endedAt == 0).forEach(a -> a.ends("died"));
        server.close();
    }

    /** What is no command of the protocol, or asks for what no client of this rig asks. */
    synchronized List<String> unknown() {
        List<String> all = new ArrayList<>(unknown);
        all.addAll(List.copyOf(server.malformed));
        return all;
    }

    synchronized List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    /** Threads a core, summed over tenths of a millisecond. */
    synchronized double threadTime() {
        return threadTime / machine.cores();
    }

    synchronized double capacity() {
        return machine.capacity(now());
    }

    @Override
    public void close() throws IOException {
        dies();
    }
}
