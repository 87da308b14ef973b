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
import reedspring.rig.fleet.Timetable.EntryType;
import reedspring.rig.fleet.Timetable.Link;
import reedspring.rig.fleet.Timetable.Mix;

/**
 * Mutation tests of the soak's checks, started by bench/mutants: builds the program with one deliberate fault
 * at a time, and plays a timetable that exposes it. A check has to find each fault for the right reason.
 */
public final class Mutants {
    private static final Path SOURCES = Path.of("src/main/java/reedspring");
    private static final Path MUTANT_HOMES = Path.of("target/mutants");
    private static final long TICKS_PER_SECOND = 10_000;
    private static final int PARALLEL_RUNS = 2;
    private static final int MAX_RUNS_PER_MUTANT = 2;
    private static final String DID_NOT_START = "exited unexpectedly|did not start";

    /**
     * One change of a source file.
     *
     * @param file path below the program's package
     * @param find text that occurs exactly once in the file
     * @param replacement text that replaces it in the mutant
     */
    record Change(String file, String find, String replacement) {
    }

    /**
     * One fault. A rule that the program enforces in two places takes two changes to break.
     *
     * @param expectedBreaches fragments of the check messages that may report the fault, separated by bars
     */
    record Mutant(String name, List<Change> changes, Timetable timetable, String expectedBreaches) {
        Mutant(String name, String file, String find, String replacement, Timetable timetable,
                String expectedBreaches) {
            this(name, List.of(new Change(file, find, replacement)), timetable, expectedBreaches);
        }
    }

    private Mutants() {
    }

    private static Timetable timetable(String name, Entry... entries) {
        Mix mix = new Mix(8, 4, new double[] {80, 500, 60}, new double[] {60, 200, 60});
        return new Timetable("mutant " + name, 4, 5, 1, new double[] {8}, 4_096, 8 * TICKS_PER_SECOND,
                6 * TICKS_PER_SECOND, 70, mix, 0, 1, 200, 3, 1, List.of(entries));
    }

    private static Entry entry(EntryType type, double atSeconds, double seconds, double times) {
        return new Entry(type.name(), (long) (atSeconds * TICKS_PER_SECOND),
                (long) (seconds * TICKS_PER_SECOND), type, Link.ENGINE, "all", "60%",
                3_600 * TICKS_PER_SECOND, times, 1 << 20);
    }

    static List<Mutant> all() {
        Entry stop = entry(EntryType.STOP, 3, 1, 1);
        return List.of(
                new Mutant("accept-pause", "net/AcceptGuard.java", "        failed = true;\n",
                        "        ctx.fireExceptionCaught(cause);\n        if (cause != null) {\n"
                                + "            return;\n        }\n        failed = true;\n",
                        timetable("accept-pause", entry(EntryType.ACCEPT_FAILS, 1, 6, 2),
                                entry(EntryType.PIPELINE, 1, 6, 1), entry(EntryType.BAD_CLIENTS, 1, 6, 1),
                                entry(EntryType.GIVE_UP, 1, 6, 1)),
                                "past its deadline|no answer|engine timeout of"),
                new Mutant("arrival-is-now", "net/ClientConnection.java", "socketReads.earliestArrival()",
                        "front.clock().now()", timetable("arrival-is-now", stop), "engine timeout of"),
                new Mutant("no-look-for-closes", "net/Front.java",
                        "s.ended || s.query.client.readAndCheckOpen();",
                        "s.ended || s != null;", timetable("no-look-for-closes",
                                entry(EntryType.GIVE_UP, 1, 6, 1), stop,
                                entry(EntryType.BAD_CLIENTS, 1, 6, 1)),
                        "after its client had left"),
                new Mutant("drains-unheard", List.of(
                        new Change("Control.java", "            if (!up[row] || group.zones()",
                                "            if (engines.get(row).gone || group.zones()"),
                        new Change("net/EngineConnections.java",
                                "pool.up = host.listing().health() == Event.Health.UP;",
                                "pool.up = host.listing().health() != Event.Health.GONE;")),
                        timetable("drains-unheard", entry(EntryType.DRAIN, 2, 4, 1)),
                        "after the drain notice"),
                new Mutant("repeats-anything", "core/policy/RepeatPolicy.java",
                        "return !mayHaveRun || group.effect() != Effect.MUTATING;",
                        "return group != null || mayHaveRun;", timetable("repeats-anything",
                                entry(EntryType.RESET, 3, 1, 1), entry(EntryType.FAIL, 2, 3, 1)),
                                        "a mutating query ran"),
                new Mutant("defers-anything", "core/policy/RepeatPolicy.java",
                        "return !mayHaveRun || group.effect() == Effect.READ_ONLY",
                        "return group != null || group.effect() == Effect.READ_ONLY",
                        timetable("defers-anything",
                                entry(EntryType.FAIL, 2, 4, 1)), "may have run was deferred"),
                new Mutant("ends-unanswered", "net/ClientConnection.java",
                        "        List.copyOf(openQueries.values()).forEach(front::answerBeforeClose);\n", "",
                        timetable("ends-unanswered", entry(EntryType.BAD_CLIENTS, 1, 6, 1)),
                        "lost without an answer"),
                new Mutant("cold-unheeded", "spread/Spread.java",
                        "Deployment.ColdStart rule = deployment.coldStart();\n        if (now - createdAt",
                        "Deployment.ColdStart rule = deployment.coldStart();\n        if (now >= 0) {\n"
                                + "            return true;\n        }\n        if (now - createdAt",
                        coldEngineTimetable("cold-unheeded"), "cold engine overloaded"),
                new Mutant("wall-clock-believed", List.of(new Change("net/Clock.java",
                        "EngineStartTime.estimate(ms * 10, now(), unixTicks.getAsLong())",
                        "EngineStartTime.estimate(0, 0, 0) + now() + ms * 10 - unixTicks.getAsLong()"),
                        new Change("net/Journal.java", "EngineStartTime.ofNewEngine(estimate, lastReceived)",
                                "EngineStartTime.ofNewEngine(estimate, 0)")),
                        coldEngineTimetable("wall-clock-believed"), "cold engine overloaded"),
                new Mutant("answers-late", "net/Front.java",
                        "arrivedAt + Times.nearestTicks(queryRequest.timeoutMs())),",
                        "arrivedAt + Times.nearestTicks(queryRequest.timeoutMs()) + 20_000),",
                        timetable("answers-late",
                                entry(EntryType.SILENT, 2, 4, 1)), "past its deadline|engine timeout of"),
                new Mutant("answers-twice", "net/Front.java",
                        "            q.client.sendRows(q, List.of(s.pages));\n",
                        "            q.client.sendRows(q, List.of(s.pages));\n"
                                + "            q.client.sendRows(q, List.of(s.pages));\n",
                        timetable("answers-twice"), "answered twice"),
                new Mutant("sends-twice", "net/EngineConnection.java",
                        "        // Bypasses the handler that delays flushes.\n",
                        "        channel.write(buildCommand(q.statement.retainedDuplicate(), \"fetch\",\n"
                                + "        q.trace, \"lane=\" + q.group + \",ttl=\" + remainingMs));\n",
                        timetable("sends-twice"), "two submissions at once|a mutating query ran"),
                new Mutant("leaves-at-once", "net/Front.java",
                        "        new Shutdown(this, limits, clientConnections, now).begin(onAllAnswered);\n",
                        "        onAllAnswered.run();\n", timetable("leaves-at-once",
                                entry(EntryType.LEAVE, 2, 3.7, 1), entry(EntryType.SLOW, 1, 6, 4)),
                                        "lost without an answer"),
                new Mutant("traces-forgotten", "core/policy/RecentIds.java",
                        "return current.contains(id) || previous.contains(id);",
                        "return id == 0 && current.contains(id);",
                        timetable("traces-forgotten", entry(EntryType.COPIED_TRACES, 1, 6, 1)),
                        "received what no client had sent"),
                new Mutant("command-torn", "net/WholeCommandEncoder.java", "            whole = true;\n",
                        "            joined.writerIndex(joined.writerIndex() - command.hashCode() % 2);\n"
                                + "            whole = true;\n", timetable("command-torn"),
                        "received what no client had sent|no answer|past its deadline"),
                new Mutant("signals-wait", "net/Reloads.java",
                        "        requested = true;\n        notifyAll();\n",
                        "        requested = true;\n        java.util.concurrent.locks.LockSupport.parkNanos("
                                + "800_000_000L);\n        notifyAll();\n",
                        timetable("signals-wait", entry(EntryType.SIGNALS, 1, 6, 1),
                                entry(EntryType.LEAVE, 2, 3.7, 1)),
                        "had not exited"),
                new Mutant("thread-for-each-signal", "net/ProcessSignals.java",
                        "            table.set(null, ", "            table.get(table); Object none = (",
                        timetable("thread-for-each-signal", entry(EntryType.NO_THREADS, 1, 6, 1),
                                entry(EntryType.LEAVE, 2, 3.7, 1)), "had not exited"),
                new Mutant("selector-once", "net/Startup.java", "new StartAttempts(30, RETRY_DELAY_MS)",
                        "new StartAttempts(1, RETRY_DELAY_MS)", restartTimetable("selector-once"),
                        DID_NOT_START),
                new Mutant("configuration-once", "net/Startup.java", "new StartAttempts(50, RETRY_DELAY_MS)",
                        "new StartAttempts(1, RETRY_DELAY_MS)", restartTimetable("configuration-once"),
                        DID_NOT_START),
                new Mutant("registration-believed", List.of(
                        new Change("net/SocketReads.java", "if (selectorReported || !socket.isActive())",
                                "if (selectorReported || socket.isActive())"),
                        new Change("net/AcceptGuard.java", "listener == null || !listener.isActive()",
                                "listener == null || listener.isActive()")),
                        restartTimetable("registration-believed"),
                        "no answer|past its deadline|lost without an answer"));
    }

    /** Kills and restarts fronts while system calls fail at their starts. */
    private static Timetable restartTimetable(String name) {
        return timetable(name, entry(EntryType.START_FAILS, 0, 8, 1), entry(EntryType.KILL, 1, 0.2, 1));
    }

    private static Timetable coldEngineTimetable(String name) {
        Mix mix = new Mix(8, 6, new double[] {80, 300, 60}, new double[] {60, 200, 60});
        Timetable withoutEntries = new Timetable("mutant " + name, 4, 3, 1, new double[] {4}, 65_536,
                9 * TICKS_PER_SECOND, 6 * TICKS_PER_SECOND, 130, mix, 0, 1, 2_000, 3, 1, List.of());
        return withoutEntries.withEntries("mutant " + name, List.of(entry(EntryType.CLOCK_FORWARD, 1, 8, 1),
                entry(EntryType.REPLACE, 2, 2, 1)));
    }

    /** Builds the mutant into a directory from which the program can be started. */
    static Path build(Mutant mutant) throws IOException {
        Path home = MUTANT_HOMES.resolve(mutant.name());
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
                "target/classes" + File.pathSeparator + libraryClassPath(), "-XDstringConcat=inline"));
        for (Change change : mutant.changes()) {
            arguments.add(writeChangedSource(home, mutant, change).toString());
        }
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        int result = compiler.run(null, null, null, arguments.toArray(String[]::new));
        Rig.require(result == 0, mutant.name() + " failed to compile");
        Path jar = target.resolve("reedspring.jar");
        Files.copy(Path.of("target/reedspring.jar"), jar, StandardCopyOption.REPLACE_EXISTING);
        try (FileSystem jarFiles = FileSystems.newFileSystem(URI.create("jar:" + jar.toUri()), Map.of());
                Stream<Path> classFiles = Files.walk(classes)) {
            for (Path each : classFiles.filter(Files::isRegularFile).toList()) {
                Files.copy(each, jarFiles.getPath("/" + classes.relativize(each)),
                        StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return home;
    }

    private static Path writeChangedSource(Path home, Mutant mutant, Change change) throws IOException {
        String source = Files.readString(SOURCES.resolve(change.file()));
        Rig.require(source.split(Pattern.quote(change.find()), -1).length == 2,
                mutant.name() + ": the text to replace does not occur exactly once in " + change.file());
        Path changed = home.resolve("source").resolve(change.file());
        Files.createDirectories(changed.getParent());
        return Files.writeString(changed, source.replace(change.find(), change.replacement()));
    }

    private static String libraryClassPath() throws IOException {
        try (Stream<Path> jars = Files.list(Path.of("target/lib"))) {
            return String.join(File.pathSeparator, jars.map(Path::toString).toList());
        }
    }

    /** The message of the check that found the fault; null if none did. */
    static String findBreach(Mutant mutant) throws Exception {
        Path home = build(mutant);
        for (int seed = 1; seed <= MAX_RUNS_PER_MUTANT; seed++) {
            try {
                Fleet.play(mutant.timetable(), seed, home, RunChecker.Tolerances.DOCUMENTED);
            } catch (RunChecker.VoidRunException e) {
                System.err.println(mutant.name() + ": void, " + e.getMessage());
            } catch (AssertionError e) {
                return e.getMessage();
            }
        }
        return null;
    }

    /** Runs the mutants with the names in {@code [NAME ...]}, or all. */
    public static void main(String[] args) throws Exception {
        List<String> names = List.of(args);
        List<Mutant> selected = all().stream().filter(m -> names.isEmpty()
                || names.contains(m.name())).toList();
        ExecutorService executor = Executors.newFixedThreadPool(PARALLEL_RUNS);
        List<Future<String>> results = new ArrayList<>();
        for (Mutant mutant : selected) {
            Callable<String> run = () -> findBreach(mutant);
            results.add(executor.submit(run));
        }
        int missed = 0;
        for (int k = 0; k < selected.size(); k++) {
            Mutant mutant = selected.get(k);
            String message = results.get(k).get();
            boolean isFound = message != null && Stream.of(mutant.expectedBreaches().split("\\|"))
                    .anyMatch(message::contains);
            missed += isFound ? 0 : 1;
            System.err.println(mutant.name() + ": "
                    + (isFound ? "found, " : "MISSED, wanted '" + mutant.expectedBreaches() + "', ")
                    + (message == null ? "nothing" : message.substring(0, Math.min(300,
                            message.length()))));
        }
        executor.shutdown();
        System.out.println("mutants=" + selected.size() + " missed=" + missed);
        System.exit(missed == 0 && !selected.isEmpty() ? 0 : 1);
    }
}
