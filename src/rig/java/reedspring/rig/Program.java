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

/** A front process under test, started with the command line of {@code deploy/balancer.toml}. */
public final class Program implements Closeable {
    private static final int PORTS_PER_LANE = 3_000;
    private static final int FIRST_PORT = 20_000 + PORTS_PER_LANE * Rig.LANE;
    private static final AtomicInteger nextPort = new AtomicInteger((int) ProcessHandle.current().pid());
    public final Process process;
    public final List<String> log = new CopyOnWriteArrayList<>();
    public final String listenAddress;
    private final Path configFile;

    public Program(String config) throws IOException {
        this(config, Path.of("."));
    }

    /** Starts the build of another checkout, whose directory is {@code home}. */
    public Program(String config, Path home) throws IOException {
        this(config, home, List.of("/bin/sh", "-c", runCommand(home)));
    }

    /** Starts a front with a settings file. */
    public static Program withSettings(String config, Path settings) throws IOException {
        return new Program(config, Path.of("."),
                List.of("/bin/sh", "-c", runCommand(Path.of(".")) + " --settings " + settings));
    }

    /** Starts a front with a settings file and additional JVM options. */
    public static Program withSettings(String config, Path settings, String jvmOptions) throws IOException {
        return new Program(config, Path.of("."), List.of("/bin/sh", "-c", runCommand(Path.of("."))
                .replace(" -jar ", " " + jvmOptions + " -jar ") + " --settings " + settings));
    }

    /** Starts a front with one additional JVM option. */
    public static Program withJvmOption(String config, String jvmOption) throws IOException {
        return new Program(config, Path.of("."), List.of("/bin/sh", "-c", runCommand(Path.of("."))
                .replace(" -jar ", " " + jvmOption + " -jar ")));
    }

    /** Starts a front whose system calls {@code shim} can make fail. */
    public static Program withShim(String config, FaultShim shim) throws IOException {
        return withShim(config, shim, Path.of("."));
    }

    /** Starts the build of another checkout with the fault shim loaded. */
    public static Program withShim(String config, FaultShim shim, Path home) throws IOException {
        return new Program(parseListenAddress(config),
                writeConfig(Files.createTempFile("reedspring", ".json"), config),
                home,
                List.of("/bin/sh", "-c", runCommand(home)), shim::loadInto);
    }

    /** Starts a front with a settings file and with the fault shim loaded. */
    public static Program withSettings(String config, Path settings, FaultShim shim) throws IOException {
        return new Program(parseListenAddress(config),
                writeConfig(Files.createTempFile("reedspring", ".json"), config),
                Path.of("."), List.of("/bin/sh", "-c", runCommand(Path.of(".")) + " --settings " + settings),
                shim::loadInto);
    }

    /** Starts a front from a parent that ignores SIGHUP, as nohup and some supervisors do. */
    public static Program withSighupIgnored(String config) throws IOException {
        return new Program(config, Path.of("."),
                List.of("/bin/sh", "-c", "trap '' HUP; exec /bin/sh -c \"$0\"", runCommand(Path.of("."))));
    }

    /** Starts a front under a descriptor limit that the kernel enforces. */
    public static Program withDescriptorLimit(int maxDescriptors, String config) throws IOException {
        return new Program(config, Path.of("."),
                List.of("/bin/sh", "-c", "ulimit -n " + maxDescriptors + "; exec /bin/sh -c \"$0\"",
                        runCommand(Path.of("."))));
    }

    /** Starts a front whose log goes to a pipe that is already full; the caller reads it when needed. */
    public static Program withFullLogPipe(String config, Path pipe) throws IOException, InterruptedException {
        Rig.require(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor() == 0, "mkfifo failed");
        return new Program(config, Path.of("."), List.of("/bin/sh", "-c",
                "exec 3<>\"$1\"; head -c 65536 /dev/zero >&3; exec /bin/sh -c \"$0\" >&3 2>&3",
                runCommand(Path.of(".")), pipe.toString()));
    }

    /**
     * Starts a front whose configuration file is a named pipe: each time the program, or the shell that
     * launches it, opens the file, it blocks until {@link #writeConfigToPipe} is called.
     */
    public static Program withConfigPipe(String listen) throws IOException, InterruptedException {
        Path pipe = Files.createTempDirectory("reedspring").resolve("config");
        Rig.require(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor() == 0, "mkfifo failed");
        pipe.toFile().deleteOnExit();
        return new Program(listen, pipe, Path.of("."), List.of("/bin/sh", "-c", runCommand(Path.of("."))));
    }

    /** Supplies the configuration to the launching shell and waits until that has started the JVM. */
    public void writeConfigForLauncher(String config) throws IOException, InterruptedException {
        writeConfigToPipe(config, () -> { });
        Rig.await("the program itself", () -> process.info().command().orElse("").endsWith("java"));
    }

    /**
     * Waits until the configuration is opened, runs {@code beforeWrite}, and then writes the configuration to
     * the pipe if the process is still alive.
     */
    public void writeConfigToPipe(String config, Server.IoTask beforeWrite) throws IOException {
        try (OutputStream pipe = Files.newOutputStream(configFile)) {
            beforeWrite.run();
            if (process.isAlive()) {
                pipe.write(config.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    Program(String config, Path home, List<String> command) throws IOException {
        this(parseListenAddress(config), Files.createTempFile("reedspring", ".json"), home, command, config);
    }

    private static String parseListenAddress(String config) {
        return config.replaceAll(".*\"listen\":\"([^\"]*)\".*", "$1");
    }

    private Program(String listen, Path file, Path home, List<String> command, String config)
            throws IOException {
        this(listen, writeConfig(file, config), home, command);
    }

    private static Path writeConfig(Path file, String config) throws IOException {
        file.toFile().deleteOnExit();
        return Files.writeString(file, config);
    }

    private Program(String listen, Path file, Path home, List<String> command) throws IOException {
        this(listen, file, home, command, builder -> { });
    }

    private Program(String listen, Path file, Path home, List<String> command,
            Consumer<ProcessBuilder> configureProcess) throws IOException {
        this.listenAddress = listen;
        this.configFile = file;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("RELAY_CONFIG", file.toString());
        builder.directory(home.toFile());
        configureProcess.accept(builder);
        process = builder.start();
        Server.runInBackground(() -> {
            BufferedReader output = new BufferedReader(new InputStreamReader(process.getInputStream(),
                    StandardCharsets.UTF_8));
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                log.add(line);
            }
        });
    }

    static String runCommand(Path home) throws IOException {
        return Files.readAllLines(home.resolve("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run =")).findFirst().orElseThrow().split("\"")[1];
    }

    public Program awaitReady() throws InterruptedException {
        Rig.await("the front to serve", () -> logged("serves on") || !process.isAlive());
        Rig.require(process.isAlive(), "the front exited before it was ready: " + log);
        return this;
    }

    public void sendSignal(String name) throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        Rig.require(new ProcessBuilder("kill", name, pid).start().waitFor() == 0,
                "kill could not send " + name);
    }

    /** Sends one signal {@code times} times in a row. */
    public void sendSignals(String name, int times) throws IOException, InterruptedException {
        String script = "i=0; while [ $i -lt " + times + " ]; do kill -" + name + " " + process.pid()
                + " || exit 1; i=$((i+1)); done";
        Rig.require(new ProcessBuilder("/bin/sh", "-c", script).start().waitFor() == 0,
                "kill could not send " + name);
    }

    /** Replaces the configuration file atomically and sends SIGHUP to the front. */
    public void reload(String config) throws IOException, InterruptedException {
        Path replacement = Files.createTempFile("reedspring", ".json");
        Files.writeString(replacement, config);
        Files.move(replacement, configFile, StandardCopyOption.REPLACE_EXISTING);
        sendSignal("-HUP");
    }

    /** Path of the configuration file. */
    public Path configFile() {
        return configFile;
    }

    /** Limits the descriptors that the running process may open; open ones are not closed. */
    public void limitDescriptors(int maxDescriptors) throws IOException, InterruptedException {
        Rig.require(new ProcessBuilder("prlimit", "--pid", Long.toString(process.pid()),
                "--nofile=" + maxDescriptors + ":").start().waitFor() == 0,
                "prlimit could not set the descriptor limit");
    }

    public boolean logged(String text) {
        return log.stream().anyMatch(line -> line.contains(text));
    }

    public Client connectClient() throws IOException {
        return new Client(Integer.parseInt(listenAddress.substring(listenAddress.indexOf(':') + 1)));
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /**
     * A configuration file for one front.
     *
     * @param journal address of the journal service; null leaves the field out
     * @param known journal events that the front knows at its start
     */
    public static String configJson(String listen, String journal, String... known) {
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

    /**
     * A free loopback address. Its port is outside the kernel's ephemeral range: a stand-in that listens on
     * an ephemeral port could otherwise be given it before the front binds it.
     */
    public static String freeAddress() throws IOException {
        for (int tries = 0; tries < PORTS_PER_LANE; tries++) {
            int port = FIRST_PORT + Math.floorMod(nextPort.getAndIncrement(), PORTS_PER_LANE);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return "127.0.0.1:" + probe.getLocalPort();
            } catch (BindException e) {
                // the port is in use; try the next one
            }
        }
        throw new IOException("no free port from " + FIRST_PORT);
    }
}
