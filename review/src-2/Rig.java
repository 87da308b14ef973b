import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Small stand-ins for the cases of the second review: a front process, query engines, the journal service and
 * clients, all on loopback addresses and the real clock. They follow the protocol page.
 */
final class Rig {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final long START = System.nanoTime();
    static final Path ROOT = Path.of(System.getProperty("root", ".")).toAbsolutePath().normalize();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final List<AutoCloseable> OPEN = new CopyOnWriteArrayList<>();
    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, run -> {
        Thread thread = new Thread(run, "timer");
        thread.setDaemon(true);
        return thread;
    });
    /** PROTOCOL.md: each time limit is 50 ms longer. */
    static final double SLACK_MS = 50;
    /** FLEET.md: up to half a second after its time a request only earns nothing; later it is lost. */
    static final double LOST_AFTER_MS = 500;
    /** The longest time for which this program itself stood still; no limit is judged closer than that. */
    static volatile double ownStall;
    private static PrintWriter record;

    private Rig() {
    }

    /** What a case does; returns whether the rule held. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case, ends all that it started and exits: 0 held, 1 broken, 2 could not run. */
    static void main(String recordFile, Case body) {
        int code = 2;
        try {
            record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
            Runtime.getRuntime().addShutdownHook(new Thread(Rig::closeAll));
            Thread watchdog = new Thread(() -> {
                sleep(117_000);
                record("the case took too long");
                closeAll();
                Runtime.getRuntime().halt(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            thread("own stalls", () -> {
                for (double last = now(); ; last = now()) {
                    sleep(5);
                    ownStall = Math.max(ownStall, now() - last - 5);
                }
            });
            code = body.run() ? 0 : 1;
        } catch (Throwable e) {
            record("could not run: " + e);
            for (StackTraceElement line : e.getStackTrace()) {
                record("    at " + line);
            }
        }
        closeAll();
        String verdict = code == 0 ? "the rule held" : code == 1 ? "the rule was broken" : "could not run";
        record("longest stall of this program: " + Math.round(ownStall) + " ms");
        record(verdict);
        System.out.println(verdict);
        Runtime.getRuntime().halt(code);
    }

    private static void closeAll() {
        List<AutoCloseable> all = new ArrayList<>(OPEN);
        Collections.reverse(all);
        for (AutoCloseable each : all) {
            try {
                each.close();
            } catch (Exception e) {
                record("not closed: " + e);
            }
        }
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void record(String line) {
        if (record != null) {
            record.printf("%10.1f %s%n", now(), line);
        }
    }

    static void sleep(double ms) {
        try {
            Thread.sleep((long) Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(String name, Runnable run) {
        Thread thread = new Thread(run, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(LOOPBACK, 0));
            return socket.getLocalPort();
        }
    }

    // ---- front

    /** A front, started by the line `run` of the deploy file. */
    static final class Front implements AutoCloseable {
        final String name;
        final int port;
        final Path folder;
        final Path config;
        final List<String> log = new CopyOnWriteArrayList<>();
        Process process;
        String arguments = "";
        /** The limit on descriptors that the platform enforces, 0 for none. */
        int limit;

        Front(String name) throws IOException {
            this.name = name;
            this.port = freePort();
            this.folder = Files.createTempDirectory("review");
            this.config = folder.resolve("config.json");
            OPEN.add(this);
        }

        static String runLine() throws IOException {
            for (String line : Files.readAllLines(ROOT.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = ")) {
                    int start = line.indexOf('"') + 1;
                    StringBuilder text = new StringBuilder();
                    for (int k = start; line.charAt(k) != '"'; k++) {
                        text.append(line.charAt(k) == '\\' ? line.charAt(++k) : line.charAt(k));
                    }
                    return text.toString();
                }
            }
            throw new IOException("no line run");
        }

        void configure(String json) throws IOException {
            Path next = folder.resolve("next.json");
            Files.writeString(next, json);
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c",
                    (limit > 0 ? "ulimit -n " + limit + "; " : "") + runLine() + arguments)
                    .directory(ROOT.toFile()).redirectErrorStream(true);
            builder.environment().put("RELAY_NAME", name);
            builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("RELAY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            process = builder.start();
            record("front " + name + " started, process " + process.pid());
            Process started = process;
            int linesBefore = log.size();
            thread("log", () -> {
                try (BufferedReader lines = new BufferedReader(
                        new InputStreamReader(started.getInputStream()))) {
                    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                        log.add(line);
                        record("log " + name + ": " + line);
                    }
                } catch (IOException e) {
                    record("log " + name + " ended: " + e.getMessage());
                }
            });
            double limit = now() + 30_000;
            while (log.subList(linesBefore, log.size()).stream().noneMatch(l -> l.contains("serves on"))) {
                if (now() > limit || !process.isAlive()) {
                    throw new IOException("front " + name + " did not start");
                }
                sleep(5);
            }
        }

        void signal(String signal) throws IOException {
            record("signal " + signal + " to front " + name);
            try {
                new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void kill() {
            record("front " + name + " killed");
            process.destroyForcibly();
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        long status(String field) throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith(field + ":")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
            return -1;
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            try (var files = Files.walk(folder)) {
                for (Path file : files.sorted(Collections.reverseOrder()).toList()) {
                    Files.deleteIfExists(file);
                }
            }
        }
    }

    // ---- engines

    /** A command that an engine received. */
    static final class Command {
        Engine engine;
        EngineLink link;
        String[] words;
        double at;

        String id() {
            return words.length > 1 ? words[1] : "";
        }

        String field(String name) {
            for (String pair : words.length > 2 ? words[2].split(",") : new String[0]) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }
    }

    interface Handler {
        void handle(Command command) throws IOException;
    }

    /** One connection at an engine. */
    static final class EngineLink {
        final Engine engine;
        final Socket socket;
        volatile boolean open = true;
        volatile double lastUsed = now();

        EngineLink(Engine engine, Socket socket) {
            this.engine = engine;
            this.socket = socket;
        }

        void answer(String id, String word, String fields, String body) {
            try {
                write(resp(id, word, fields, body));
            } catch (IOException e) {
                record(engine.name + " could not answer " + id + ": " + e.getMessage());
            }
        }

        synchronized void write(byte[] bytes) throws IOException {
            lastUsed = now();
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        void close() {
            open = false;
            try {
                socket.close();
            } catch (IOException e) {
                record("link: " + e.getMessage());
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                record("link: " + e.getMessage());
            }
            close();
        }
    }

    static byte[] resp(String... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(("*" + parts.length + "\r\n").getBytes(StandardCharsets.UTF_8));
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            out.writeBytes(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.writeBytes(bytes);
            out.writeBytes("\r\n".getBytes(StandardCharsets.UTF_8));
        }
        return out.toByteArray();
    }

    static final class Engine implements AutoCloseable {
        final String name;
        final ServerSocket server;
        final int port;
        final List<Command> commands = new CopyOnWriteArrayList<>();
        final List<EngineLink> links = new CopyOnWriteArrayList<>();
        volatile Handler handler = this::serve;
        volatile double serviceMs = 20;
        volatile int bodyRows = 1;
        volatile boolean keep = true;

        Engine(String name) throws IOException {
            this(name, 128);
        }

        Engine(String name, int backlog) throws IOException {
            this.name = name;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(LOOPBACK, 0), backlog);
            port = server.getLocalPort();
            OPEN.add(this);
            thread(name, this::accept);
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    serve(server.accept());
                } catch (IOException e) {
                    if (!server.isClosed()) {
                        record(name + ": " + e.getMessage());
                    }
                }
            }
        }

        /** An engine whose connections are accepted elsewhere. */
        private Engine(String name, int port, boolean keep) {
            this.name = name;
            this.server = null;
            this.port = port;
            this.keep = keep;
        }

        private void serve(Socket socket) throws IOException {
            socket.setTcpNoDelay(true);
            EngineLink link = new EngineLink(this, socket);
            links.add(link);
            thread(name + " link", () -> read(link));
        }

        private void read(EngineLink link) {
            try {
                InputStream in = new BufferedInputStream(link.socket.getInputStream());
                while (true) {
                    int count = Integer.parseInt(line(in).substring(1));
                    String[] words = new String[count];
                    for (int k = 0; k < count; k++) {
                        int length = Integer.parseInt(line(in).substring(1));
                        byte[] bytes = in.readNBytes(length);
                        if (bytes.length < length) {
                            throw new EOFException();
                        }
                        in.readNBytes(2);
                        words[k] = new String(bytes, StandardCharsets.UTF_8);
                    }
                    link.lastUsed = now();
                    Command command = new Command();
                    command.engine = this;
                    command.link = link;
                    command.words = words;
                    command.at = now();
                    if (keep) {
                        commands.add(command);
                        record(name + " got " + words[0] + " " + command.id() + " "
                                + (words.length > 2 ? words[2] : ""));
                    }
                    handler.handle(command);
                }
            } catch (IOException | RuntimeException e) {
                link.open = false;
                links.remove(link);
                try {
                    link.socket.close();
                } catch (IOException again) {
                    record(name + ": " + again.getMessage());
                }
            }
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder text = new StringBuilder();
            for (int c = in.read(); ; c = in.read()) {
                if (c < 0) {
                    throw new EOFException();
                }
                if (c == '\n') {
                    return text.substring(0, text.length() - 1);
                }
                text.append((char) c);
            }
        }

        /** A sound engine: serves each fetch after its service time. */
        void serve(Command command) {
            if (command.words[0].equals("fetch")) {
                TIMER.schedule(() -> serveNow(command), (long) (serviceMs * 1000), TimeUnit.MICROSECONDS);
            } else if (command.words[0].equals("alive")) {
                command.link.answer(command.id(), "well", "-", "");
            } else if (command.words[0].equals("more")) {
                command.link.answer(command.id(), "page", "sheet=" + command.words[2], rows(command.id(), 1));
            }
        }

        void serveNow(Command command) {
            if (command.link.open) {
                command.link.answer(command.id(), "data", "sheets=1,toil=" + serviceMs + ",room=10",
                        rows(command.id(), bodyRows));
            }
        }

        List<Command> fetches() {
            return commands.stream().filter(c -> c.words[0].equals("fetch")).toList();
        }

        @Override
        public void close() throws IOException {
            server.close();
            links.forEach(EngineLink::close);
        }
    }

    /** Many sound engines, each with a loopback address of its own, that are accepted for by one thread. */
    static final class EngineFleet implements AutoCloseable {
        final String[] hosts;
        final Engine engine;
        private final Selector selector = Selector.open();
        private final List<ServerSocketChannel> listeners = new ArrayList<>();

        EngineFleet(int count, double serviceMs) throws IOException {
            OPEN.add(this);
            hosts = new String[count];
            engine = new Engine("engines", freePort(), false);
            engine.serviceMs = serviceMs;
            for (int k = 0; k < count; k++) {
                String address = "127.1." + (k / 200) + "." + (1 + k % 200);
                ServerSocketChannel listener = ServerSocketChannel.open();
                listeners.add(listener);
                listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                listener.bind(new InetSocketAddress(InetAddress.getByName(address), engine.port));
                listener.configureBlocking(false);
                listener.register(selector, SelectionKey.OP_ACCEPT);
                hosts[k] = host(String.format("s-%08x", k * 7919), engine.port, "ready", 0)
                        .replace("127.0.0.1:", address + ":");
            }
            thread("engines", this::accept);
        }

        private void accept() {
            try {
                while (selector.isOpen()) {
                    selector.select();
                    for (SelectionKey key : selector.selectedKeys()) {
                        SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                        if (accepted != null) {
                            engine.serve(accepted.socket());
                        }
                    }
                    selector.selectedKeys().clear();
                }
            } catch (IOException | ClosedSelectorException e) {
                if (selector.isOpen()) {
                    record("engines: " + e.getMessage());
                }
            }
        }

        @Override
        public void close() throws IOException {
            selector.close();
            for (ServerSocketChannel listener : listeners) {
                listener.close();
            }
            engine.links.forEach(EngineLink::close);
        }
    }

    /** The rows that an engine makes for a query: they name it. */
    static String rows(String id, int count) {
        StringBuilder text = new StringBuilder();
        for (int k = 0; k < count; k++) {
            text.append(id).append('\t').append(k).append('\t').append("row\n");
        }
        return text.toString();
    }

    // ---- network

    /**
     * The network between a front and an engine. While it is cut, nothing passes in either direction, open
     * connections stay open and silent, and what was sent arrives when the cut ends.
     */
    static final class Link implements AutoCloseable {
        final String name;
        final ServerSocket server;
        final int port;
        private final int target;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        volatile boolean cut;

        Link(String name, int target) throws IOException {
            this.name = name;
            this.target = target;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(LOOPBACK, 0));
            port = server.getLocalPort();
            OPEN.add(this);
            thread(name, this::accept);
        }

        private void accept() {
            while (!server.isClosed()) {
                try {
                    Socket near = server.accept();
                    boolean whileCut = cut;
                    if (whileCut) {
                        record(name + ": a new connection while the link is cut");
                    }
                    sockets.add(near);
                    near.setTcpNoDelay(true);
                    thread(name, () -> open(near, whileCut));
                } catch (IOException e) {
                    if (!server.isClosed()) {
                        record(name + ": " + e.getMessage());
                    }
                }
            }
        }

        private void open(Socket near, boolean whileCut) {
            try {
                awaitHealed();
                if (whileCut) {
                    // It never came up: nothing that was sent on it arrives.
                    near.setSoLinger(true, 0);
                    near.close();
                    return;
                }
                Socket far = new Socket(LOOPBACK, target);
                far.setTcpNoDelay(true);
                sockets.add(far);
                thread(name, () -> pump(far, near));
                pump(near, far);
            } catch (IOException e) {
                record(name + ": " + e.getMessage());
            }
        }

        private void awaitHealed() {
            while (cut) {
                sleep(1);
            }
        }

        /**
         * After a cut: reads what else was sent. Throws if the sender has reset the connection meanwhile, as its
         * system then has dropped what had not arrived.
         */
        private static int more(Socket from, byte[] bytes, int count) throws IOException {
            from.setSoTimeout(20);
            int end = count;
            try {
                while (end >= 0 && end < bytes.length) {
                    int next = from.getInputStream().read(bytes, end, bytes.length - end);
                    if (next < 0) {
                        break;
                    }
                    end += next;
                }
            } catch (SocketTimeoutException e) {
                // Open, and nothing more was sent.
            }
            from.setSoTimeout(0);
            return end;
        }

        private void pump(Socket from, Socket to) {
            byte[] bytes = new byte[1 << 16];
            boolean reset = false;
            try {
                while (true) {
                    int count = from.getInputStream().read(bytes);
                    if (cut) {
                        awaitHealed();
                        count = more(from, bytes, count);
                    }
                    if (count < 0) {
                        break;
                    }
                    to.getOutputStream().write(bytes, 0, count);
                }
            } catch (IOException e) {
                reset = true;
            }
            awaitHealed();
            for (Socket socket : new Socket[] {from, to}) {
                try {
                    if (reset) {
                        socket.setSoLinger(true, 0);
                    }
                    socket.close();
                } catch (IOException e) {
                    record(name + ": " + e.getMessage());
                }
                sockets.remove(socket);
            }
        }

        void cut() {
            cut = true;
            record(name + " is cut");
        }

        void heal() {
            record(name + " passes again");
            cut = false;
        }

        @Override
        public void close() throws IOException {
            server.close();
            cut = false;
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    // ---- journal service

    /** The journal service: numbered events as a stream, and a comment each second. */
    static final class JournalService implements AutoCloseable {
        final ServerSocket server;
        final int port;
        final List<String> events;
        final List<Socket> watches = new CopyOnWriteArrayList<>();
        final AtomicLong calls = new AtomicLong();
        volatile boolean down;
        volatile boolean closed;

        JournalService(List<String> events) throws IOException {
            this.events = events;
            server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(LOOPBACK, 0));
            port = server.getLocalPort();
            OPEN.add(this);
            thread("journal", () -> {
                while (!server.isClosed()) {
                    try {
                        Socket socket = server.accept();
                        if (down) {
                            socket.setSoLinger(true, 0);
                            socket.close();
                            continue;
                        }
                        watches.add(socket);
                        thread("watch", () -> tell(socket));
                    } catch (IOException e) {
                        if (!server.isClosed()) {
                            record("journal: " + e.getMessage());
                        }
                    }
                }
            });
        }

        private void tell(Socket socket) {
            try (socket) {
                BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
                long last = 0;
                for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                    if (line.toLowerCase().startsWith("last-event-id:")) {
                        last = Long.parseLong(line.substring(14).trim());
                    }
                }
                calls.incrementAndGet();
                OutputStream out = socket.getOutputStream();
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                double comment = 0;
                while (!socket.isClosed() && !down && !closed) {
                    while (last < events.size()) {
                        last++;
                        out.write(("id: " + last + "\ndata: " + events.get((int) last - 1) + "\n\n")
                                .getBytes(StandardCharsets.UTF_8));
                        record("journal told event " + last);
                    }
                    if (now() >= comment) {
                        comment = now() + 1000;
                        out.write(": still here\n\n".getBytes(StandardCharsets.UTF_8));
                    }
                    out.flush();
                    sleep(5);
                }
            } catch (IOException e) {
                record("watch ended: " + e.getMessage());
            } finally {
                watches.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            server.close();
            for (Socket watch : watches) {
                watch.close();
            }
        }
    }

    /** The configuration of a front, with the events so far as the list that it knows at its start. */
    static String configuration(Front front, JournalService journal, int memoryMb, int sockets, String settings) {
        int last = journal.events.size();
        return "{\"name\":\"" + front.name + "\",\"listen\":\"127.0.0.1:" + front.port
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"journal\":\"127.0.0.1:" + journal.port
                + "\",\"known\":{\"pos\":" + last + ",\"entries\":[" + String.join(",", journal.events)
                + "]},\"settings\":" + settings + "}";
    }

    /** A class of the settings. */
    static String group(String name, double aimMs, double deadlineMs, String effect, double windowMs) {
        return "{\"name\":\"" + name + "\",\"aimMs\":" + aimMs + ",\"aimStretch\":2.5,\"deadlineMs\":" + deadlineMs
                + ",\"lateWorth\":0.6,\"effect\":\"" + effect + "\",\"group\":\"all\",\"windowMs\":" + windowMs
                + ",\"points\":2}";
    }

    /** Settings like those of a small deployment: one front, machines of one kind. */
    static String settings(boolean cancel, int sendCap, String parallelism, String... groups) {
        return "{\"fleetSize\":1,\"allowed\":{\"cancel\":" + cancel + ",\"sendCap\":" + sendCap
                + ",\"connectTimeoutMs\":250,\"idleCloseMs\":30000,\"multiplex\":32,\"retryAfter\":true,"
                + "\"maxRetryAfterMs\":500,\"mayDuplicate\":false},\"classes\":[" + String.join(",", groups)
                + "],\"kinds\":[\"m\"],\"familyInfo\":{\"parallelism\":[" + parallelism
                + "],\"sizeCores\":[12],\"memoryByKindMb\":[24576],\"bills\":true,\"tellsEveryMs\":0,"
                + "\"lanesCount\":true,\"overbooked\":\"wait\"},\"rules\":{\"coldFrom\":0.31,\"drainGraceMs\":500,"
                + "\"fallMultiple\":3,\"graceToAnswerMs\":20,\"overloadForMs\":3000,\"rampTimeMs\":15000},"
                + "\"customers\":[{\"name\":\"acme\",\"share\":1.0,\"quotaPerS\":100}]}";
    }

    static String host(String name, int port, String health, long bornMs) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"m\","
                + "\"block\":0,\"health\":\"" + health + "\",\"share\":1,\"born_ms\":" + bornMs + "}";
    }

    static String event(int pos, boolean whole, String... hosts) {
        return "{\"pos\":" + pos + ",\"hosts\":{\"seq\":" + pos + ",\"whole\":" + whole + ",\"hosts\":["
                + String.join(",", hosts) + "]}}";
    }

    // ---- clients

    /** A request of a client and its answer. */
    static final class Call {
        long number;
        String trace;
        String method;
        /** When the last byte was written. */
        volatile double sentAt;
        double patienceMs;
        /** Its connection ended in a way that the pages excuse. */
        volatile boolean excused;
        volatile double answeredAt = -1;
        /** served, Shed, another error's name, or closed. */
        volatile String outcome;
        volatile String body = "";
        volatile Map<String, String> fields = Map.of();
        volatile int answers;
        volatile boolean revoked;

        synchronized void answered(String how, String text, Map<String, String> with) {
            answers++;
            if (outcome == null) {
                answeredAt = now();
                body = text;
                fields = with;
                outcome = how;
            }
            notifyAll();
        }

        /**
         * Whether it has no answer within its time, half a second, the slack and this program's own stalls. A
         * connection that ends is excused for what crosses its end within 50 ms (PROTOCOL.md), and for the first
         * request on a connection (service/LATER.md).
         */
        boolean lost() {
            return !excused && (outcome == null || outcome.equals("closed")
                    || answeredAt - sentAt > patienceMs + LOST_AFTER_MS + SLACK_MS + ownStall);
        }

        synchronized boolean await(double ms) {
            double limit = now() + ms;
            while (outcome == null && now() < limit) {
                try {
                    wait(Math.max(1, (long) (limit - now())));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
            return outcome != null;
        }
    }

    static final Random RANDOM = new Random(61);

    static String trace() {
        synchronized (RANDOM) {
            return String.format("%016x", RANDOM.nextLong());
        }
    }

    static Map<String, String> fields(String trace, double patienceMs, double weight) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("trace", trace);
        fields.put("patience", Long.toString((long) patienceMs));
        fields.put("customer", "acme");
        fields.put("weight", Double.toString(weight));
        fields.put("need_mb", "16");
        return fields;
    }

    static final class Client implements AutoCloseable {
        final Socket socket;
        final Map<Long, Call> calls = new ConcurrentHashMap<>();
        private long lastNumber;
        private volatile int answered;
        volatile boolean ended;

        Client(int port) throws IOException {
            this(port, 0);
        }

        Client(int port, int receiveBytes) throws IOException {
            socket = new Socket();
            if (receiveBytes > 0) {
                socket.setReceiveBufferSize(receiveBytes);
            }
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            socket.setTcpNoDelay(true);
            OPEN.add(this);
            thread("client", this::read);
        }

        Call query(String method, double patienceMs, double weight, byte[] statement) throws IOException {
            String trace = trace();
            return call(method, fields(trace, patienceMs, weight), statement, patienceMs);
        }

        synchronized Call call(String method, Map<String, String> fields, byte[] statement, double patienceMs)
                throws IOException {
            Call call = new Call();
            call.number = ++lastNumber;
            call.method = method;
            call.trace = fields.getOrDefault("trace", "");
            call.patienceMs = patienceMs;
            calls.put(call.number, call);
            byte[] message = request(call.number, method, fields, statement);
            call.sentAt = now();
            socket.getOutputStream().write(message);
            call.sentAt = now();
            return call;
        }

        /** How many requests are open. */
        int open() {
            return (int) calls.values().stream().filter(call -> call.outcome == null).count();
        }

        synchronized void revoke(Call call) throws IOException {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(0x93);
            out.write(2);
            text(out, "revoke");
            out.write(0x91);
            number(out, call.number);
            call.revoked = true;
            socket.getOutputStream().write(out.toByteArray());
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                while (true) {
                    Object message = value(in);
                    List<?> parts = (List<?>) message;
                    Call call = calls.get(((Number) parts.get(1)).longValue());
                    answered++;
                    if (call == null) {
                        record("answer under the number " + parts.get(1) + ", given up before");
                        continue;
                    }
                    if (parts.get(2) == null) {
                        List<?> result = (List<?>) parts.get(3);
                        call.answered("served", String.valueOf(result.get(0)), map(result, 1));
                    } else {
                        List<?> error = (List<?>) parts.get(2);
                        call.answered(String.valueOf(error.get(0)), "", map(error, 1));
                    }
                }
            } catch (IOException | RuntimeException e) {
                ended = true;
                double crossing = now() - 50 - SLACK_MS - ownStall;
                calls.values().forEach(call -> {
                    if (call.outcome == null) {
                        call.excused = answered == 0 || call.sentAt > crossing;
                        call.answered("closed", String.valueOf(e), Map.of());
                        call.answers = 0;
                    }
                });
            }
        }

        private static Map<String, String> map(List<?> list, int index) {
            Map<String, String> map = new HashMap<>();
            if (list.size() > index && list.get(index) instanceof Map<?, ?> fields) {
                fields.forEach((k, v) -> map.put(String.valueOf(k), String.valueOf(v)));
            }
            return map;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static byte[] request(long number, String method, Map<String, String> fields, byte[] statement) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(0x94);
        out.write(0);
        number(out, number);
        text(out, method);
        out.write(statement == null ? 0x91 : 0x92);
        out.write(0x80 | fields.size());
        fields.forEach((k, v) -> {
            text(out, k);
            text(out, v);
        });
        if (statement != null) {
            out.write(0xc6);
            for (int shift = 24; shift >= 0; shift -= 8) {
                out.write(statement.length >> shift);
            }
            out.writeBytes(statement);
        }
        return out.toByteArray();
    }

    private static void number(ByteArrayOutputStream out, long number) {
        out.write(0xce);
        for (int shift = 24; shift >= 0; shift -= 8) {
            out.write((int) (number >> shift));
        }
    }

    private static void text(ByteArrayOutputStream out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write(0xd9);
        out.write(bytes.length);
        out.writeBytes(bytes);
    }

    private static Object value(DataInputStream in) throws IOException {
        int type = in.readUnsignedByte();
        if (type <= 0x7f) {
            return (long) type;
        }
        if (type >= 0xe0) {
            return (long) (byte) type;
        }
        if (type <= 0x8f) {
            return map(in, type & 0xf);
        }
        if (type <= 0x9f) {
            return list(in, type & 0xf);
        }
        if (type <= 0xbf) {
            return string(in, type & 0x1f);
        }
        switch (type) {
            case 0xc0: return null;
            case 0xc2: return false;
            case 0xc3: return true;
            case 0xc4: case 0xd9: return string(in, in.readUnsignedByte());
            case 0xc5: case 0xda: return string(in, in.readUnsignedShort());
            case 0xc6: case 0xdb: return string(in, in.readInt());
            case 0xcc: return (long) in.readUnsignedByte();
            case 0xcd: return (long) in.readUnsignedShort();
            case 0xce: return in.readInt() & 0xffffffffL;
            case 0xcf: return in.readLong();
            case 0xdc: return list(in, in.readUnsignedShort());
            case 0xde: return map(in, in.readUnsignedShort());
            default: throw new IOException("type " + type);
        }
    }

    private static String string(DataInputStream in, int length) throws IOException {
        byte[] bytes = new byte[length];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static List<Object> list(DataInputStream in, int size) throws IOException {
        List<Object> list = new ArrayList<>();
        for (int k = 0; k < size; k++) {
            list.add(value(in));
        }
        return list;
    }

    private static Map<Object, Object> map(DataInputStream in, int size) throws IOException {
        Map<Object, Object> map = new LinkedHashMap<>();
        for (int k = 0; k < size; k++) {
            Object key = value(in);
            map.put(key, value(in));
        }
        return map;
    }
}
