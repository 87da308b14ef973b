package review;

import static review.Kit.*;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients ask one front 110 times a second. Beside them are bad clients of three kinds. The platform
 * looks at the front's memory ten times a second and kills it once it is over the limit.
 */
public final class Memory {
    private static final int LIMIT_MB = 80;
    private static final int USUAL_CLIENTS = 20;
    private static final int ENDLESS = 100;
    private static final int AT_ONCE = 40;
    private static final int NOISE = 150;
    private static final long CALM_MS = 8_000;
    private static final long TROUBLE_MS = 40_000;

    private final AtomicLong badConnections = new AtomicLong();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean stopped;
    private volatile long highestKb;

    private interface BadClient {
        void on(Socket socket) throws Exception;
    }

    public static void main(String[] args) {
        play(Path.of(args[1]), 110, () -> new Memory().run(Path.of(args[0])));
    }

    private int run(Path root) throws Exception {
        Path folder = Files.createTempDirectory("review");
        String rows = "4300192,55\t2026-12-01 10:00\tname of a shop in Warszawa\n".repeat(100);
        Random random = new Random(55);
        Handler engine = command -> {
            if (command.word().equals("fetch")) {
                long workMs = 20 + random.nextInt(200);
                background(() -> {
                    Thread.sleep(workMs);
                    command.answer("data", "sheets=8,toil=" + workMs + ".0,room=96", rows);
                });
            } else if (command.word().equals("more")) {
                command.answer("page", "sheet=" + command.words().get(2), rows);
            }
        };
        Journal journal = new Journal();
        String[] list = new String[6];
        for (int k = 0; k < list.length; k++) {
            list[k] = Journal.row("e" + k, "127.0.0.1:" + new Engine("e" + k, engine).address().getPort(),
                    "ready");
        }
        journal.publish(true, list);
        int port = freePort();
        String listen = "127.0.0.1:" + port;
        Front front = new Front(root, folder, listen,
                config(listen, journal, LIMIT_MB, group("lookup", "repeatable", 1000, 5000, 5000), "1"));
        Path status = Path.of("/proc/" + front.process.pid() + "/status");
        note("the front serves with " + memory(status));
        background(() -> watch(status, front));
        background(() -> beUsual(front));
        Thread.sleep(CALM_MS);
        note("usual load: " + memory(status) + ", " + counts());
        if (trouble()) {
            byte[] noise = new byte[60_000];
            random.nextBytes(noise);
            note("from now on " + ENDLESS + " clients whose message does not end, " + AT_ONCE
                    + " with 300 requests at once, " + NOISE + " with noise");
            beBad(ENDLESS, port, this::sendWithoutEnd);
            beBad(AT_ONCE, port, this::sendAtOnce);
            beBad(NOISE, port, socket -> {
                socket.getOutputStream().write(noise);
                socket.getInputStream().readAllBytes();
            });
        }
        for (long end = now() + TROUBLE_MS; now() < end && front.process.isAlive(); ) {
            Thread.sleep(2_000);
            note((front.process.isAlive() ? memory(status) : "the front has ended") + ", " + counts());
        }
        stopped = true;
        note("highest: " + highestKb / 1024.0 + " MB of " + LIMIT_MB + " MB; " + counts());
        boolean broken = highestKb > LIMIT_MB * 1024L || !front.process.isAlive();
        note(broken ? "BROKEN: over its memory the front was killed" : "HELD");
        return broken ? BROKEN : HELD;
    }

    private String counts() {
        return "usual requests served " + served + ", refused or failed " + refused + ", unanswered " + unanswered
                + ", connections of bad clients " + badConnections;
    }

    private static String memory(Path status) throws IOException {
        StringBuilder text = new StringBuilder("memory");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmHWM") || line.startsWith("VmRSS") || line.startsWith("RssAnon")
                    || line.startsWith("RssFile")) {
                text.append(' ').append(line.replaceAll("\\s+", " "));
            }
        }
        return text.toString();
    }

    /** The platform: over its memory, the front is killed. */
    private void watch(Path status, Front front) throws Exception {
        while (!stopped) {
            for (String line : Files.readAllLines(status)) {
                if (line.startsWith("VmRSS")) {
                    highestKb = Math.max(highestKb, Long.parseLong(line.replaceAll("[^0-9]", "")));
                }
            }
            if (highestKb > LIMIT_MB * 1024L) {
                note("the platform kills the front: " + memory(status) + " of " + LIMIT_MB + " MB");
                front.process.destroyForcibly();
                return;
            }
            Thread.sleep(100);
        }
    }

    private void beUsual(Front front) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int k = 0; k < USUAL_CLIENTS; k++) {
            clients.add(front.connect());
        }
        for (int k = 0; !stopped; k++) {
            int turn = k % USUAL_CLIENTS;
            if (clients.get(turn).ended) {
                clients.set(turn, front.connect());
            }
            Client client = clients.get(turn);
            try {
                long id = client.query("lookup", fields(trace(), 4_500, "120.0"), "select * from sales_17.orders");
                background(() -> {
                    Answer answer = client.answer(id, 5_050);
                    (answer == null ? unanswered : answer.error() == null ? served : refused).incrementAndGet();
                });
            } catch (IOException e) {
                unanswered.incrementAndGet();
            }
            Thread.sleep(9);
        }
    }

    /** Each bad client does the same again as soon as it is turned away. */
    private void beBad(int count, int port, BadClient bad) {
        for (int k = 0; k < count; k++) {
            background(() -> {
                while (!stopped) {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
                        socket.setSoTimeout(6_000);
                        badConnections.incrementAndGet();
                        bad.on(socket);
                    } catch (IOException e) {
                        Thread.sleep(50);
                    }
                }
            });
        }
    }

    private void sendWithoutEnd(Socket socket) throws Exception {
        OutputStream out = socket.getOutputStream();
        // [0, 1, "lookup", [{}, bin of 261,888 bytes ...
        out.write(new byte[] {(byte) 0x94, 0, 1, (byte) 0xa6, 'l', 'o', 'o', 'k', 'u', 'p', (byte) 0x92, (byte) 0x80,
            (byte) 0xc6, 0, 3, (byte) 0xff, 0});
        out.write(new byte[200_000]);
        socket.getInputStream().readAllBytes();
    }

    private void sendAtOnce(Socket socket) throws Exception {
        background(() -> socket.getInputStream().readAllBytes());
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        byte[] statement = ("select 1 from flood_3.t where x = '" + "x".repeat(20_000) + "'").getBytes();
        for (long id = 1; id <= 300; id++) {
            requests.write(pack(List.of(0L, id, "lookup", List.of(fields(trace(), 4_500, "120.0"), statement))));
        }
        socket.getOutputStream().write(requests.toByteArray());
        Thread.sleep(500);
    }
}
