package reedspring.rig.fleet;

import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable.Entry;
import reedspring.rig.fleet.Timetable.Link;
import reedspring.rig.fleet.Timetable.Mix;
import reedspring.rig.fleet.Timetable.What;

/**
 * Shows that the soak's checks see faults: builds of the program with one fault each put in on purpose,
 * played under troubles that bring it out. Each has to be found, for the reason that it breaks;
 * bench/mutants.
 */
public final class Mutants {
    private static final Path SOURCES = Path.of("src/main/java/reedspring");
    private static final Path MADE = Path.of("target/mutants");
    private static final long SECOND = 10_000;
    private static final int AT_ONCE = 2;
    private static final int TRIES = 2;
    private static final String DID_NOT_START = "ended by itself|did not start";

    /**
     * One change of a source file.
     *
     * @param file below the program's package
     * @param find what stands there once
     * @param instead what stands there in the mutant
     */
    record Change(String file, String find, String instead) {
    }

    /**
     * One fault. Where the program holds a rule in two places, it takes two changes to break it.
     *
     * @param breach words of the checks that may find it, with a bar between them
     */
    record Mutant(String name, List<Change> changes, Timetable day, String breach) {
        Mutant(String name, String file, String find, String instead, Timetable day, String breach) {
            this(name, List.of(new Change(file, find, instead)), day, breach);
        }
    }

    private Mutants() {
    }

    private static Timetable day(String name, Entry... troubles) {
        Mix mix = new Mix(8, 4, new double[] {80, 500, 60}, new double[] {60, 200, 60});
        return new Timetable("mutant " + name, 4, 5, 1, new double[] {8}, 4_096, 8 * SECOND, 6 * SECOND, 70,
                mix,
                0, 1, 200, 3, 1, List.of(troubles));
    }

    private static Entry trouble(What what, double atSeconds, double seconds, double times) {
        return new Entry(what.name(), (long) (atSeconds * SECOND), (long) (seconds * SECOND), what,
                Link.ENGINE,
                "all", "60%", 3_600 * SECOND, times, 1 << 20);
    }

    static List<Mutant> all() {
        Entry stop = trouble(What.STOP, 3, 1, 1);
        return List.of(
                new Mutant("accept-pause", "net/AcceptGuard.java", "        failed = true;\n",
                        "        ctx.fireExceptionCaught(cause);\n        if (cause != null) {\n"
                                + "            return;\n        }\n        failed = true;\n",
                        day("accept-pause", trouble(What.ACCEPT_FAILS, 1, 6, 2),
                                trouble(What.PIPELINE, 1, 6, 1), trouble(What.BAD_CLIENTS, 1, 6, 1),
                                trouble(What.GIVE_UP, 1, 6, 1)), "past its time|no answer|told to take"),
                new Mutant("arrival-is-now", "net/ClientConnection.java", "socketReads.earliestArrival()",
                        "front.clock().now()", day("arrival-is-now", stop), "told to take"),
                new Mutant("no-look-for-closes", "net/Front.java",
                        "s.ended || s.query.client.readAndCheckOpen();",
                        "s.ended || s != null;", day("no-look-for-closes", trouble(What.GIVE_UP, 1, 6, 1),
                                stop, trouble(What.BAD_CLIENTS, 1, 6, 1)), "after its client had gone"),
                new Mutant("drains-unheard", List.of(
                        new Change("Control.java", "            if (!up[row] || group.zones()",
                                "            if (engines.get(row).gone || group.zones()"),
                        new Change("net/EngineConnections.java",
                                "pool.up = host.listing().health() == Event.Health.UP;",
                                "pool.up = host.listing().health() != Event.Health.GONE;")),
                        day("drains-unheard", trouble(What.DRAIN, 2, 4, 1)), "told to drain"),
                new Mutant("repeats-anything", "core/policy/RepeatPolicy.java",
                        "return !mayHaveRun || group.effect() != Effect.MUTATING;",
                        "return group != null || mayHaveRun;", day("repeats-anything",
                                trouble(What.RESET, 3, 1, 1), trouble(What.FAIL, 2, 3, 1)),
                                        "a change was run"),
                new Mutant("defers-anything", "core/policy/RepeatPolicy.java",
                        "return !mayHaveRun || group.effect() == Effect.READ_ONLY",
                        "return group != null || group.effect() == Effect.READ_ONLY", day("defers-anything",
                                trouble(What.FAIL, 2, 4, 1)), "may have run was deferred"),
                new Mutant("ends-unanswered", "net/ClientConnection.java",
                        "        List.copyOf(openQueries.values()).forEach(front::answerBeforeClose);\n", "",
                        day("ends-unanswered", trouble(What.BAD_CLIENTS, 1, 6, 1)), "lost unanswered"),
                new Mutant("cold-unheeded", "spread/Spread.java",
                        "Deployment.ColdStart rule = deployment.coldStart();\n        if (now - createdAt",
                        "Deployment.ColdStart rule = deployment.coldStart();\n        if (now >= 0) {\n"
                                + "            return true;\n        }\n        if (now - createdAt",
                        coldDay("cold-unheeded"), "cold engine pushed over"),
                new Mutant("wall-clock-believed", List.of(
                        new Change("net/Clock.java",
                                "EngineStartTime.estimate(ms * 10, now(), unixTicks.getAsLong())",
                            "EngineStartTime.estimate(0, 0, 0) + now() + ms * 10 - unixTicks.getAsLong()"),
                        new Change("net/Journal.java", "EngineStartTime.ofNewEngine(estimate, lastReceived)",
                                "EngineStartTime.ofNewEngine(estimate, 0)")),
                        coldDay("wall-clock-believed"), "cold engine pushed over"),
                new Mutant("answers-late", "net/Front.java",
                        "arrivedAt + Times.nearestTicks(queryRequest.timeoutMs())),",
                        "arrivedAt + Times.nearestTicks(queryRequest.timeoutMs()) + 20_000),",
                        day("answers-late", trouble(What.SILENT, 2, 4, 1)), "past its time|told to take"),
                new Mutant("answers-twice", "net/Front.java",
                        "            q.client.sendRows(q, List.of(s.pages));\n",
                        "            q.client.sendRows(q, List.of(s.pages));\n"
                                + "            q.client.sendRows(q, List.of(s.pages));\n",
                        day("answers-twice"), "answered twice"),
                new Mutant("sends-twice", "net/EngineConnection.java",
                        "        // Bypasses the handler that delays flushes.\n",
                        "        channel.write(buildCommand(q.statement.retainedDuplicate(), \"fetch\",\n"
                                + "        q.trace, \"lane=\" + q.group + \",ttl=\" + remainingMs));\n",
                        day("sends-twice"), "two submissions at once|a change was run"),
                new Mutant("leaves-at-once", "net/Front.java",
                        "        new Shutdown(this, limits, clientConnections, now).begin(onAllAnswered);\n",
                        "        onAllAnswered.run();\n", day("leaves-at-once",
                                trouble(What.LEAVE, 2, 3.7, 1), trouble(What.SLOW, 1, 6, 4)),
                                        "lost unanswered"),
                new Mutant("traces-forgotten", "core/policy/RecentIds.java",
                        "return current.contains(id) || previous.contains(id);",
                        "return id == 0 && current.contains(id);",
                        day("traces-forgotten", trouble(What.COPIED_TRACES, 1, 6, 1)),
                        "sent what no client had sent"),
                new Mutant("command-torn", "net/WholeCommandEncoder.java", "            whole = true;\n",
                        "            joined.writerIndex(joined.writerIndex() - command.hashCode() % 2);\n"
                                + "            whole = true;\n", day("command-torn"),
                        "sent what no client had sent|no answer|past its time"),
                new Mutant("signals-wait", "net/Reloads.java",
                        "        requested = true;\n        notifyAll();\n",
                        "        requested = true;\n        java.util.concurrent.locks.LockSupport.parkNanos("
                                + "800_000_000L);\n        notifyAll();\n",
                        day("signals-wait", trouble(What.SIGNALS, 1, 6, 1), trouble(What.LEAVE, 2, 3.7, 1)),
                        "had not ended"),
                new Mutant("thread-for-each-signal", "net/ProcessSignals.java",
                        "            table.set(null, ", "            table.get(table); Object none = (",
                        day("thread-for-each-signal", trouble(What.NO_THREADS, 1, 6, 1),
                                trouble(What.LEAVE, 2, 3.7, 1)), "had not ended"),
                new Mutant("selector-once", "net/Startup.java", "new StartAttempts(30, RETRY_DELAY_MS)",
                        "new StartAttempts(1, RETRY_DELAY_MS)", restarts("selector-once"), DID_NOT_START),
                new Mutant("configuration-once", "net/Startup.java", "new StartAttempts(50, RETRY_DELAY_MS)",
                        "new StartAttempts(1, RETRY_DELAY_MS)", restarts("configuration-once"),
                        DID_NOT_START),
                new Mutant("registration-believed", List.of(
                        new Change("net/SocketReads.java", "if (selectorReported || !socket.isActive())",
                                "if (selectorReported || socket.isActive())"),
                        new Change("net/AcceptGuard.java", "listener == null || !listener.isActive()",
                                "listener == null || listener.isActive()")),
                        restarts("registration-believed"), "no answer|past its time|lost unanswered"));
    }

    /** Fronts are killed and start again while calls fail. */
    private static Timetable restarts(String name) {
        return day(name, trouble(What.START_FAILS, 0, 8, 1), trouble(What.KILL, 1, 0.2, 1));
    }

    private static Timetable coldDay(String name) {
        Mix mix = new Mix(8, 6, new double[] {80, 300, 60}, new double[] {60, 200, 60});
        Timetable bare = new Timetable("mutant " + name, 4, 3, 1, new double[] {4}, 65_536, 9 * SECOND,
                6 * SECOND, 130, mix, 0, 1, 2_000, 3, 1, List.of());
        return bare.with("mutant " + name, List.of(trouble(What.CLOCK_FORWARD, 1, 8, 1),
                trouble(What.REPLACE, 2, 2, 1)));
    }

    /** The built program with that one class changed, as a folder from which it can be started. */
    static Path make(Mutant mutant) throws IOException {
        Path home = MADE.resolve(mutant.name());
        Path target = Files.createDirectories(home.resolve("target"));
        Files.createDirectories(home.resolve("deploy"));
        Files.copy(Path.of("deploy/balancer.toml"), home.resolve("deploy/balancer.toml"),
                StandardCopyOption.REPLACE_EXISTING);
        Path library = target.resolve("lib");
        Files.deleteIfExists(library);
        Files.createSymbolicLink(library, Path.of("target/lib").toAbsolutePath());
        Path classes = Files.createDirectories(home.resolve("classes"));
        List<String> arguments = new ArrayList<>(List.of("-nowarn", "-proc:none", "-d", classes.toString(),
                "-cp",
                "target/classes" + File.pathSeparator + libraries(), "-XDstringConcat=inline"));
        for (Change change : mutant.changes()) {
            arguments.add(changed(home, mutant, change).toString());
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        int result = compiler.run(null, null, null, arguments.toArray(String[]::new));
        Rig.require(result == 0, mutant.name() + " can't be compiled");
        Path jar = target.resolve("reedspring.jar");
        Files.copy(Path.of("target/reedspring.jar"), jar, StandardCopyOption.REPLACE_EXISTING);
        try (FileSystem inside = FileSystems.newFileSystem(URI.create("jar:" + jar.toUri()), Map.of());
                Stream<Path> made = Files.walk(classes)) {
            for (Path each : made.filter(Files::isRegularFile).toList()) {
                Files.copy(each, inside.getPath("/" + classes.relativize(each)),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return home;
    }

    private static Path changed(Path home, Mutant mutant, Change change) throws IOException {
        String source = Files.readString(SOURCES.resolve(change.file()));
        Rig.require(source.split(Pattern.quote(change.find()), -1).length == 2,
                mutant.name() + ": its place is not found once in " + change.file());
        Path changed = home.resolve("source").resolve(change.file());
        Files.createDirectories(changed.getParent());
        return Files.writeString(changed, source.replace(change.find(), change.instead()));
    }

    private static String libraries() throws IOException {
        try (Stream<Path> jars = Files.list(Path.of("target/lib"))) {
            return String.join(File.pathSeparator, jars.map(Path::toString).toList());
        }
    }

    /** What the checks say of the mutant; null if they see nothing. */
    static String found(Mutant mutant) throws Exception {
        Path home = make(mutant);
        for (int seed = 1; seed <= TRIES; seed++) {
            try {
                Fleet.play(mutant.day(), seed, home, Rules.Slack.TERMS);
            } catch (Rules.VoidRunException e) {
                System.err.println(mutant.name() + ": void, " + e.getMessage());
            } catch (AssertionError e) {
                return e.getMessage();
            }
        }
        return null;
    }

    /** {@code [NAME ...]}: those, or all. */
    public static void main(String[] args) throws Exception {
        List<String> names = List.of(args);
        List<Mutant> wanted = all().stream().filter(m -> names.isEmpty()
                || names.contains(m.name())).toList();
        ExecutorService plays = Executors.newFixedThreadPool(AT_ONCE);
        List<Future<String>> results = new ArrayList<>();
        for (Mutant mutant : wanted) {
            Callable<String> play = () -> found(mutant);
            results.add(plays.submit(play));
        }
        int missed = 0;
        for (int k = 0; k < wanted.size(); k++) {
            Mutant mutant = wanted.get(k);
            String found = results.get(k).get();
            boolean seen = found != null && Stream.of(mutant.breach().split("\\|")).anyMatch(found::contains);
            missed += seen ? 0 : 1;
            System.err.println(mutant.name() + ": " + (seen ? "found, " : "MISSED, wanted '" + mutant.breach()
                    + "', ") + (found == null ? "nothing" : found.substring(0, Math.min(300,
                            found.length()))));
        }
        plays.shutdown();
        System.out.println("mutants=" + wanted.size() + " missed=" + missed);
        System.exit(missed == 0 && !wanted.isEmpty() ? 0 : 1);
    }
}
