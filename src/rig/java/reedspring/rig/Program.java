package reedspring.rig;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** The program, started as the platform starts it. */
public final class Program implements Closeable {
    private static final int PORTS = 3_000;
    private static final int FIRST_PORT = 20_000 + PORTS * Rig.LANE;
    private static final AtomicInteger next = new AtomicInteger((int) ProcessHandle.current().pid());
    public final Process process;
    public final List<String> log = new CopyOnWriteArrayList<>();
    public final String listen;
    private final Path file;

    public Program(String config) throws IOException {
        this(config, Path.of("."));
    }

    /** Of another checkout that is built. */
    public Program(String config, Path home) throws IOException {
        this(config, home, List.of("/bin/sh", "-c", run(home)));
    }

    /** With an installation's settings. */
    public static Program with(String config, Path settings) throws IOException {
        return new Program(config, Path.of("."),
                List.of("/bin/sh", "-c", run(Path.of(".")) + " --settings " + settings));
    }

    /** With one more word for the JVM. */
    public static Program withJvm(String config, String word) throws IOException {
        return new Program(config, Path.of("."), List.of("/bin/sh", "-c", run(Path.of("."))
                .replace(" -jar ", " " + word + " -jar ")));
    }

    /** Whose system calls can be made to fail. */
    public static Program withShim(String config, FaultShim shim) throws IOException {
        return withShim(config, shim, Path.of("."));
    }

    /** The same, of another checkout that is built. */
    public static Program withShim(String config, FaultShim shim, Path home) throws IOException {
        return new Program(listenOf(config), written(Files.createTempFile("reedspring", ".json"), config),
                home,
                List.of("/bin/sh", "-c", run(home)), shim::loadInto);
    }

    /** With an installation's settings, and with system calls that can be made to fail. */
    public static Program with(String config, Path settings, FaultShim shim) throws IOException {
        return new Program(listenOf(config), written(Files.createTempFile("reedspring", ".json"), config),
                Path.of("."), List.of("/bin/sh", "-c", run(Path.of(".")) + " --settings " + settings),
                shim::loadInto);
    }

    /** Started by what ignores SIGHUP, as nohup and some supervisors do. */
    public static Program ofOneThatIgnoresSighup(String config) throws IOException {
        return new Program(config, Path.of("."),
                List.of("/bin/sh", "-c", "trap '' HUP; exec /bin/sh -c \"$0\"", run(Path.of("."))));
    }

    /** Under a limit on descriptors that the system itself holds it to. */
    public static Program withDescriptors(int most, String config) throws IOException {
        return new Program(config, Path.of("."),
                List.of("/bin/sh", "-c", "ulimit -n " + most + "; exec /bin/sh -c \"$0\"",
                        run(Path.of("."))));
    }

    /** Whose log goes to a pipe that is full already, and that nobody reads before it wants to. */
    public static Program withFullLog(String config, Path pipe) throws IOException, InterruptedException {
        Rig.require(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor() == 0, "no pipe");
        return new Program(config, Path.of("."), List.of("/bin/sh", "-c",
                "exec 3<>\"$1\"; head -c 65536 /dev/zero >&3; exec /bin/sh -c \"$0\" >&3 2>&3",
                run(Path.of(".")), pipe.toString()));
    }

    /**
     * Whose configuration is a pipe: each time the program, or the shell before it, opens the file, it waits
     * until {@link #configured} is called.
     */
    public static Program waiting(String listen) throws IOException, InterruptedException {
        Path pipe = Files.createTempDirectory("reedspring").resolve("config");
        Rig.require(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor() == 0, "no pipe");
        pipe.toFile().deleteOnExit();
        return new Program(listen, pipe, Path.of("."), List.of("/bin/sh", "-c", run(Path.of("."))));
    }

    /** What the line that starts the program reads of it, before there is a program. */
    public void configuredLine(String config) throws IOException, InterruptedException {
        configured(config, () -> { });
        Rig.await("the program itself", () -> process.info().command().orElse("").endsWith("java"));
    }

    /** Waits until the file is opened, lets {@code meanwhile} run, and gives it to be read if it can. */
    public void configured(String config, Server.Work meanwhile) throws IOException {
        try (OutputStream out = Files.newOutputStream(file)) {
            meanwhile.run();
            if (process.isAlive()) {
                out.write(config.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    Program(String config, Path home, List<String> command) throws IOException {
        this(listenOf(config), Files.createTempFile("reedspring", ".json"), home, command, config);
    }

    private static String listenOf(String config) {
        return config.replaceAll(".*\"listen\":\"([^\"]*)\".*", "$1");
    }

    private Program(String listen, Path file, Path home, List<String> command, String config)
            throws IOException {
        this(listen, written(file, config), home, command);
    }

    private static Path written(Path file, String config) throws IOException {
        file.toFile().deleteOnExit();
        return Files.writeString(file, config);
    }

    private Program(String listen, Path file, Path home, List<String> command) throws IOException {
        this(listen, file, home, command, builder -> { });
    }

    private Program(String listen, Path file, Path home, List<String> command,
            Consumer<ProcessBuilder> surroundings) throws IOException {
        this.listen = listen;
        this.file = file;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", file.toString());
        builder.directory(home.toFile());
        surroundings.accept(builder);
        process = builder.start();
        Server.background(() -> {
            BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream(),
                    StandardCharsets.UTF_8));
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                log.add(line);
            }
        });
    }

    static String run(Path home) throws IOException {
        return Files.readAllLines(home.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run =")).findFirst().orElseThrow().split("\"")[1];
    }

    public Program ready() throws InterruptedException {
        Rig.await("the front to serve", () -> logged("serves on") || !process.isAlive());
        Rig.require(process.isAlive(), "the front ended: " + log);
        return this;
    }

    public void signal(String name) throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        Rig.require(new ProcessBuilder("kill", name, pid).start().waitFor() == 0, "no " + name);
    }

    /** One signal, so many times in a row. */
    public void signals(String name, int times) throws IOException, InterruptedException {
        String series = "i=0; while [ $i -lt " + times + " ]; do kill -" + name + " " + process.pid()
                + " || exit 1; i=$((i+1)); done";
        Rig.require(new ProcessBuilder("/bin/sh", "-c", series).start().waitFor() == 0, "no " + name);
    }

    /** Puts another configuration in place, as a whole, and tells the front. */
    public void reload(String config) throws IOException, InterruptedException {
        Path next = Files.createTempFile("reedspring", ".json");
        Files.writeString(next, config);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING);
        signal("-HUP");
    }

    /** The file of its configuration. */
    public Path file() {
        return file;
    }

    /** From now on it may open no descriptor past this; what is open stays. */
    public void descriptors(int most) throws IOException, InterruptedException {
        Rig.require(new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()),
                "--nofile=" + most + ":").start().waitFor() == 0, "no limit");
    }

    public boolean logged(String text) {
        return log.stream().anyMatch(line -> line.contains(text));
    }

    public Client client() throws IOException {
        return new Client(Integer.parseInt(listen.substring(listen.indexOf(':') + 1)));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** @param known the journal's events of the start; a null journal leaves the field out */
    public static String config(String listen, String journal, String... known) {
        return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + (journal == null ? "" : "\"journal\":\"" + journal + "\",")
                + "\"known\":{\"pos\":" + known.length
                + ",\"entries\":[" + String.join(",", known) + "]},"
                + "\"settings\":{\"fleetSize\":1,\"allowed\":{\"cancel\":false,\"sendCap\":3,"
                + "\"connectTimeoutMs\":250.0,\"multiplex\":32,\"idleCloseMs\":30000.0,"
                + "\"retryAfter\":true,\"maxRetryAfterMs\":500.0},\"classes\":[{\"name\":\"lookup\","
                + "\"aimMs\":900.0,\"aimStretch\":2.0,\"effect\":\"repeatable\",\"points\":1.0}],"
                + "\"kinds\":[\"m\"],\"familyInfo\":{\"parallelism\":[1],\"sizeCores\":[40],"
                + "\"memoryByKindMb\":[64000.0],\"lanesCount\":true},\"customers\":[{\"name\":\"acme\","
                + "\"share\":1.0,\"quotaPerS\":100.0}],\"novelty\":[1,{\"a\":null}]}}";
    }

    /** Not one that the kernel hands out: a stand-in that listens on any could get it before the front. */
    public static String freeAddress() throws IOException {
        for (int tries = 0; tries < PORTS; tries++) {
            int port = FIRST_PORT + Math.floorMod(next.getAndIncrement(), PORTS);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + probe.getLocalPort();
            } catch (BindException e) {
                // taken; the next one
            }
        }
        throw new IOException("no free port from " + FIRST_PORT);
    }
}
