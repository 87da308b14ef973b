package review;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Stand-ins for the cases of this folder: a started front, engines, the journal service, clients and a proxy
 * for one link. They speak the published protocol on loopback addresses and share no code with the project.
 */
final class Kit {
    /** Exit codes of a case. */
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final long START_NANOS = System.nanoTime();
    private static final AtomicLong TRACES = new AtomicLong(System.nanoTime() & 0xffff_ffffffL);
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static final List<String> EVENTS = new CopyOnWriteArrayList<>();

    private Kit() {
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a case with a time limit, writes the record and ends the process with the case's exit code. */
    static void play(Path record, int limitS, java.util.concurrent.Callable<Integer> body) {
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(limitS * 1000L);
            } catch (InterruptedException e) {
                return;
            }
            note("NOT RUN: the time limit of " + limitS + " s has passed");
            finish(record, NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        int code;
        try {
            code = body.call();
        } catch (Throwable e) {
            note("NOT RUN: " + e);
            for (StackTraceElement line : e.getStackTrace()) {
                note("    at " + line);
            }
            code = NOT_RUN;
        }
        finish(record, code);
    }

    private static synchronized void finish(Path record, int code) {
        endProcesses();
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
            EVENTS.forEach(out::println);
            out.println("exit code " + code);
        } catch (IOException e) {
            System.err.println("record not written: " + e);
        }
        Runtime.getRuntime().halt(code);
    }

    private static void endProcesses() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void note(String text) {
        String line = String.format("%7d ms  %s", now(), text);
        EVENTS.add(line);
        System.out.println(line);
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void background(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the other side has closed the connection, or the case has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits until the condition holds; false if it does not within the time. */
    static boolean await(long ms, BooleanSupplier condition) throws InterruptedException {
        long end = now() + ms;
        while (!condition.getAsBoolean()) {
            if (now() >= end) {
                return false;
            }
            Thread.sleep(5);
        }
        return true;
    }

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalStateException(what);
        }
    }

    static String trace() {
        return String.format("%016x", TRACES.incrementAndGet());
    }

    /** A free port outside the range from which the system takes ports of its own. */
    static int freePort() throws IOException {
        for (int k = 0; k < 4000; k++) {
            int port = 10_000 + (int) ((ProcessHandle.current().pid() * 7 + TRACES.incrementAndGet()) % 20_000);
            try {
                new ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close();
                return port;
            } catch (IOException e) {
                // in use
            }
        }
        throw new IOException("no free port");
    }

    // ---- the front

    /** A front, started by the line `run` of the deploy file. */
    static final class Front {
        final Process process;
        final String listen;
        final List<String> log = new CopyOnWriteArrayList<>();

        Front(Path root, Path folder, String listen, String config) throws Exception {
            this.listen = listen;
            Path file = Files.createTempFile(folder, "front", ".json");
            Files.writeString(file, config);
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run =")).findFirst().orElseThrow().split("\"")[1];
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).redirectErrorStream(true)
                    .directory(root.toFile());
            builder.environment().put("RELAY_CONFIG", file.toString());
            builder.environment().put("RELAY_LISTEN", listen);
            builder.environment().put("RELAY_NAME", "n0");
            process = builder.start();
            PROCESSES.add(process);
            background(() -> {
                BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    log.add(line);
                    note("front: " + line);
                }
            });
            require(Kit.await(20_000, () -> log.stream().anyMatch(line -> line.contains("serves on"))
                    || !process.isAlive()) && process.isAlive(), "the front does not serve");
        }

        void signal(String name) throws Exception {
            require(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor() == 0,
                    "kill -" + name + " failed");
        }

        Client connect() throws IOException {
            return new Client(listen);
        }
    }

    /** A configuration like the one of the WIRE page's example; classes as JSON objects. */
    static String config(String listen, Journal journal, int memoryMb, String classes, String parallelism) {
        return "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":1024},"
                + "\"journal\":\"" + journal.address() + "\",\"known\":" + journal.known() + ","
                + "\"settings\":{\"fleetSize\":1,\"me\":0,\"tier\":0,\"layers\":[\"engines\"],"
                + "\"family\":\"queries\",\"zone\":\"waw-1\",\"failureDomains\":[\"waw-1\"],"
                + "\"kinds\":[\"c12\"],\"membershipMode\":\"automatic\",\"weights\":\"off\","
                + "\"worthBy\":\"request\",\"overShareWorth\":0.1,\"tickMs\":5.0,"
                + "\"allowed\":{\"cancel\":false,\"connectTimeoutMs\":250.0,\"cpuUsPerRequest\":0.0,"
                + "\"cpuUsPerS\":1000000,\"idleCloseMs\":30000.0,\"maxOpen\":40000,"
                + "\"maxRetryAfterMs\":500.0,\"mayDuplicate\":false,\"multiplex\":32,"
                + "\"peerMessages\":false,\"probes\":false,\"retryAfter\":true,\"sendCap\":3},"
                + "\"classes\":[" + classes + "],\"clients\":{\"marksRetry\":false},"
                + "\"customers\":[{\"name\":\"sklep-kalina\",\"quotaPerS\":77.0,\"share\":0.73},"
                + "{\"name\":\"dom-lipa\",\"quotaPerS\":28.0,\"share\":0.27}],"
                + "\"familyInfo\":{\"bills\":true,\"grants\":false,\"lanesCount\":true,"
                + "\"largestShare\":0.4,\"memoryByKindMb\":[24576.0],\"overbooked\":\"page\","
                + "\"parallelism\":[" + parallelism + "],\"sizeCores\":[12],\"tellsEveryMs\":2000.0},"
                + "\"report\":{\"columns\":[\"backlog\",\"utilization\"],\"how\":\"inline\"},"
                + "\"rules\":{\"askWithinMs\":10000.0,\"coldFrom\":0.31,\"drainGraceMs\":500.0,"
                + "\"fallMultiple\":3.0,\"graceToAnswerMs\":20.0,\"overloadForMs\":3000.0,"
                + "\"rampTimeMs\":15000.0}}}";
    }

    /** A class of the settings. */
    static String group(String name, String effect, long aimMs, long deadlineMs, long windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"all\",\"aimMs\":" + aimMs
                + ".0,\"aimStretch\":2.0,\"deadlineMs\":" + deadlineMs + ".0,\"windowMs\":" + windowMs
                + ".0,\"lateWorth\":0.4,\"points\":1.0,\"stream\":false}";
    }

    // ---- engines

    record Command(List<String> words, Socket connection, long at) {
        String word() {
            return words.get(0);
        }

        String id() {
            return words.get(1);
        }

        String field(String name) {
            for (String pair : words.get(2).split(",")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }

        void answer(String kind, String fields, String body) {
            StringBuilder text = new StringBuilder("*4\r\n");
            for (String part : List.of(id(), kind, fields, body)) {
                text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
            }
            try {
                synchronized (connection) {
                    connection.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // the front has closed the connection
            }
        }
    }

    interface Handler {
        void on(Command command) throws Exception;
    }

    /** An engine: hands each whole command to the case. */
    static final class Engine {
        final String name;
        final ServerSocket socket;
        final Handler handler;
        final List<Socket> open = new CopyOnWriteArrayList<>();

        Engine(String name, Handler handler) throws IOException {
            this.name = name;
            this.handler = handler;
            socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            background(() -> {
                while (true) {
                    Socket peer = socket.accept();
                    peer.setTcpNoDelay(true);
                    open.add(peer);
                    background(() -> {
                        try {
                            serve(peer);
                        } finally {
                            open.remove(peer);
                            peer.close();
                        }
                    });
                }
            });
        }

        InetSocketAddress address() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }

        private void serve(Socket peer) throws Exception {
            DataInputStream in = new DataInputStream(new BufferedInputStream(peer.getInputStream()));
            while (true) {
                int count = length(in, '*');
                List<String> words = new ArrayList<>();
                for (int k = 0; k < count; k++) {
                    byte[] word = new byte[length(in, '$')];
                    in.readFully(word);
                    in.skipNBytes(2);
                    words.add(new String(word, StandardCharsets.ISO_8859_1));
                }
                Command command = new Command(words, peer, now());
                if (command.word().equals("alive")) {
                    command.answer("well", "-", "");
                } else {
                    handler.on(command);
                }
            }
        }

        private static int length(DataInputStream in, int type) throws IOException {
            require(in.readUnsignedByte() == type, "malformed command");
            int value = 0;
            for (int c = in.readUnsignedByte(); c != '\r'; c = in.readUnsignedByte()) {
                value = value * 10 + c - '0';
            }
            in.readUnsignedByte();
            return value;
        }
    }

    // ---- a link to an engine that can be cut

    /**
     * A link that can be cut as a network is: what is sent meanwhile comes when it heals, new connections do
     * not come up, nobody is told. A side that resets its connection meanwhile takes back what did not
     * arrive, as the system then sends it no more.
     */
    static final class Link {
        private final InetSocketAddress target;
        private ServerSocket listener;
        private final int port;
        private final List<Socket> fillers = new ArrayList<>();
        private volatile boolean cut;
        private final Object change = new Object();

        Link(InetSocketAddress target) throws IOException {
            this.target = target;
            port = freePort();
            listen(64);
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        private void listen(int backlog) throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
            listener = opened;
            if (backlog > 1) {
                background(() -> {
                    while (true) {
                        Socket near = opened.accept();
                        relay(near);
                    }
                });
            }
        }

        private void relay(Socket near) throws IOException {
            near.setTcpNoDelay(true);
            Socket far = new Socket();
            far.connect(target);
            far.setTcpNoDelay(true);
            background(() -> pump(near, far));
            background(() -> pump(far, near));
        }

        private void pump(Socket from, Socket to) throws Exception {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            // Bytes that were sent while the link was cut; read at once, so that a reset is seen.
            ByteArrayOutputStream held = new ByteArrayOutputStream();
            boolean[] ended = new boolean[2];
            Object lock = new Object();
            background(() -> {
                byte[] buffer = new byte[65_536];
                try {
                    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                        synchronized (lock) {
                            held.write(buffer, 0, count);
                            lock.notifyAll();
                        }
                    }
                    synchronized (lock) {
                        ended[0] = true;
                        lock.notifyAll();
                    }
                } catch (IOException e) {
                    synchronized (lock) {
                        ended[1] = true;
                        lock.notifyAll();
                    }
                }
            });
            while (true) {
                byte[] next;
                boolean end;
                boolean reset;
                synchronized (lock) {
                    while (held.size() == 0 && !ended[0] && !ended[1]) {
                        lock.wait();
                    }
                }
                synchronized (change) {
                    while (cut) {
                        change.wait();
                    }
                }
                synchronized (lock) {
                    reset = ended[1];
                    next = held.toByteArray();
                    held.reset();
                    end = ended[0];
                }
                if (reset) {
                    to.setSoLinger(true, 0);
                    to.close();
                    from.close();
                    return;
                }
                try {
                    out.write(next);
                    if (end) {
                        to.shutdownOutput();
                        return;
                    }
                } catch (IOException e) {
                    // The receiver has closed or reset it.
                    from.setSoLinger(true, 0);
                    from.close();
                    to.close();
                    return;
                }
            }
        }

        void cut() throws Exception {
            synchronized (change) {
                cut = true;
            }
            listener.close();
            Thread.sleep(20);
            listen(1);
            // A full queue of connections: the system then drops what asks for one.
            for (int k = 0; k < 4; k++) {
                java.nio.channels.SocketChannel filler = java.nio.channels.SocketChannel.open();
                filler.configureBlocking(false);
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                fillers.add(filler.socket());
            }
        }

        void heal() throws Exception {
            for (Socket filler : fillers) {
                filler.close();
            }
            fillers.clear();
            listener.close();
            Thread.sleep(20);
            listen(64);
            synchronized (change) {
                cut = false;
                change.notifyAll();
            }
        }
    }

    // ---- the journal service

    static final class Journal {
        final ServerSocket socket;
        private final List<String> events = new ArrayList<>();
        private final List<Socket> open = new ArrayList<>();
        volatile boolean silent;

        Journal() throws IOException {
            socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            background(() -> {
                while (true) {
                    Socket peer = socket.accept();
                    background(() -> serve(peer));
                }
            });
            background(() -> {
                while (true) {
                    Thread.sleep(1000);
                    send(":\n\n");
                }
            });
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void serve(Socket peer) throws Exception {
            BufferedReader in = new BufferedReader(new InputStreamReader(peer.getInputStream(),
                    StandardCharsets.US_ASCII));
            int last = 0;
            for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
                if (line.toLowerCase().startsWith("last-event-id:")) {
                    last = Integer.parseInt(line.substring(14).trim());
                }
            }
            note("journal: a call from event " + last);
            while (silent) {
                Thread.sleep(20);
            }
            synchronized (this) {
                StringBuilder text = new StringBuilder(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n");
                for (int k = last; k < events.size(); k++) {
                    text.append("id: ").append(k + 1).append("\ndata: ").append(events.get(k)).append("\n\n");
                }
                peer.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
                open.add(peer);
            }
        }

        private synchronized void send(String text) {
            if (silent) {
                return;
            }
            for (Socket peer : List.copyOf(open)) {
                try {
                    peer.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
                } catch (IOException e) {
                    open.remove(peer);
                }
            }
        }

        /** Adds an event; rows by {@link #row}. */
        synchronized void publish(boolean whole, String... rows) {
            events.add(event(events.size() + 1, whole, rows));
            send("id: " + events.size() + "\ndata: " + events.get(events.size() - 1) + "\n\n");
        }

        /** The known part of a configuration. */
        synchronized String known() {
            return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", events) + "]}";
        }

        private static String event(int pos, boolean whole, String... rows) {
            return "{\"pos\":" + pos + ",\"hosts\":{\"seq\":" + pos + ",\"whole\":" + whole + ",\"hosts\":["
                    + String.join(",", rows) + "]}}";
        }

        static String row(String name, String address, String health) {
            return row(name, address, "waw-1", "c12", health, 0);
        }

        static String row(String name, String address, String site, String kind, String health, long born) {
            return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"" + site
                    + "\",\"class\":\"" + kind + "\",\"block\":0,\"health\":\"" + health
                    + "\",\"share\":1,\"born_ms\":" + born + "}";
        }
    }

    // ---- clients

    /** One answer: the error's name or null, and the body. */
    record Answer(long id, String error, String pause, String body, long at) {
    }

    static final class Client {
        final Socket socket;
        final Map<Long, List<Answer>> answers = new ConcurrentHashMap<>();
        volatile boolean ended;
        /** When the end of the connection was read. */
        volatile long endedAt;
        private long lastId;

        Client(String address) throws IOException {
            int colon = address.indexOf(':');
            socket = new Socket();
            socket.connect(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))), 2000);
            socket.setTcpNoDelay(true);
            background(() -> {
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                try {
                    while (true) {
                        List<?> message = (List<?>) unpack(in);
                        long id = (Long) message.get(1);
                        List<?> error = (List<?>) message.get(2);
                        List<?> result = (List<?>) message.get(3);
                        Object body = result == null ? null : result.get(0);
                        String pause = error != null && error.get(1) instanceof Map<?, ?> map
                                ? (String) map.get("pause") : null;
                        Answer answer = new Answer(id, error == null ? null : (String) error.get(0), pause,
                                body instanceof byte[] bytes
                                        ? new String(bytes, StandardCharsets.ISO_8859_1)
                                        : String.valueOf(body), now());
                        // In one step: a list is never seen empty.
                        answers.merge(id, new CopyOnWriteArrayList<>(List.of(answer)), (before, added) -> {
                            before.addAll(added);
                            return before;
                        });
                    }
                } finally {
                    endedAt = now();
                    ended = true;
                }
            });
        }

        synchronized long query(String group, Map<String, String> fields, String statement)
                throws IOException {
            long id = ++lastId;
            socket.getOutputStream().write(pack(List.of(0L, id, group,
                    List.of(fields, statement.getBytes(StandardCharsets.UTF_8)))));
            return id;
        }

        synchronized void revoke(long id) throws IOException {
            socket.getOutputStream().write(pack(List.of(2L, "revoke", List.of(id))));
        }

        Answer answer(long id, long ms) throws InterruptedException {
            Kit.await(ms, () -> answers.containsKey(id) || ended);
            return answers.containsKey(id) ? answers.get(id).get(0) : null;
        }
    }

    static Map<String, String> fields(String trace, long patienceMs, String weight) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("trace", trace);
        fields.put("patience", Long.toString(patienceMs));
        fields.put("customer", "sklep-kalina");
        fields.put("weight", weight);
        fields.put("need_mb", "96");
        return fields;
    }

    // ---- MessagePack

    static byte[] pack(Object value) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        pack(value, new DataOutputStream(out));
        return out.toByteArray();
    }

    private static void pack(Object value, DataOutputStream out) throws IOException {
        if (value instanceof Long number) {
            if (number < 128) {
                out.writeByte(number.intValue());
            } else {
                out.writeByte(0xce);
                out.writeInt(number.intValue());
            }
        } else if (value instanceof String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            out.writeByte(0xd9);
            out.writeByte(bytes.length);
            out.write(bytes);
        } else if (value instanceof byte[] bytes) {
            out.writeByte(0xc6);
            out.writeInt(bytes.length);
            out.write(bytes);
        } else if (value instanceof List<?> list) {
            out.writeByte(0x90 | list.size());
            for (Object item : list) {
                pack(item, out);
            }
        } else if (value instanceof Map<?, ?> map) {
            out.writeByte(0x80 | map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                pack(entry.getKey(), out);
                pack(entry.getValue(), out);
            }
        } else {
            out.writeByte(0xc0);
        }
    }

    static Object unpack(DataInputStream in) throws IOException {
        int type = in.readUnsignedByte();
        if (type < 0x80) {
            return (long) type;
        }
        if (type < 0x90 || type == 0xde) {
            int size = type == 0xde ? in.readUnsignedShort() : type & 0xf;
            Map<Object, Object> map = new LinkedHashMap<>();
            for (int k = 0; k < size; k++) {
                map.put(unpack(in), unpack(in));
            }
            return map;
        }
        if (type < 0xa0 || type == 0xdc) {
            int size = type == 0xdc ? in.readUnsignedShort() : type & 0xf;
            List<Object> list = new ArrayList<>();
            for (int k = 0; k < size; k++) {
                list.add(unpack(in));
            }
            return list;
        }
        if (type < 0xc0) {
            return text(in, type & 0x1f);
        }
        return switch (type) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xc4 -> in.readNBytes(in.readUnsignedByte());
            case 0xc5 -> in.readNBytes(in.readUnsignedShort());
            case 0xc6 -> in.readNBytes(in.readInt());
            case 0xcc -> (long) in.readUnsignedByte();
            case 0xcd -> (long) in.readUnsignedShort();
            case 0xce -> in.readInt() & 0xffff_ffffL;
            case 0xcf, 0xd3 -> in.readLong();
            case 0xd9 -> text(in, in.readUnsignedByte());
            case 0xda -> text(in, in.readUnsignedShort());
            default -> throw new IOException("unexpected MessagePack type " + type);
        };
    }

    private static String text(DataInputStream in, int length) throws IOException {
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }
}
