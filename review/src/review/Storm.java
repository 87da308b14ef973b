package review;

import static review.Kit.*;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients keep their connections and ask about twice a second. Beside them, bad clients send half a
 * request, close, and do the same again. A request that a usual client has written on a connection that
 * served it before must be answered, unless it crosses a close of the front within 50 ms.
 */
public final class Storm {
    private static final int USUAL_CLIENTS = 25;
    private static final int HALF_CLIENTS = 200;
    private static final int SILENT_CLIENTS = 100;
    private static final long PATIENCE_MS = 2_500;
    private static final long LOST_AFTER_MS = PATIENCE_MS + 500 + 50;
    /** A request that crosses a close within this time is sent again; each time limit is 50 ms longer. */
    private static final long CROSSING_MS = 50;
    private static final long SLACK_MS = 50;
    private static final long CALM_MS = 4_000;
    private static final long STORM_MS = 12_000;
    private static final String STATEMENT = "select * from sales_17.orders";

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger sentAgain = new AtomicInteger();
    private final AtomicInteger newConnections = new AtomicInteger();
    private final AtomicInteger excused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicLong longestLost = new AtomicLong();
    private final AtomicLong badConnections = new AtomicLong();
    private final AtomicLong runs = new AtomicLong();
    private volatile long ownStallMs;
    private volatile boolean stopped;

    public static void main(String[] args) {
        play(Path.of(args[1]), 110, () -> new Storm().run(Path.of(args[0])));
    }

    private int run(Path root) throws Exception {
        Path folder = Files.createTempDirectory("review");
        Random random = new Random(55);
        Handler engine = command -> {
            if (command.word().equals("fetch")) {
                runs.incrementAndGet();
                note("an engine runs " + command.id());
                long workMs = 20 + random.nextInt(100);
                background(() -> {
                    Thread.sleep(workMs);
                    command.answer("data", "sheets=1,toil=" + workMs + ".0,room=96", "1\t2\tthree\n".repeat(30));
                });
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
                config(listen, journal, 192, group("lookup", "repeatable", 1000, 3000, 5000), "1"));
        background(this::watchOwnStalls);
        for (int k = 0; k < USUAL_CLIENTS; k++) {
            long seed = k;
            background(() -> beUsual(front, new Random(seed)));
        }
        Thread.sleep(CALM_MS);
        note("usual load: " + counts());
        if (trouble()) {
            note("from now on " + HALF_CLIENTS + " bad clients send half a request, close and do the same again; "
                    + SILENT_CLIENTS + " open a connection, say nothing and open another when it is closed");
            byte[] request = pack(java.util.List.of(0L, 1L, "lookup", java.util.List.of(
                    fields(trace(), PATIENCE_MS, "70.0"), new byte[3_000])));
            for (int k = 0; k < HALF_CLIENTS; k++) {
                background(() -> beBad(port, socket ->
                        socket.getOutputStream().write(request, 0, request.length / 2)));
            }
            for (int k = 0; k < SILENT_CLIENTS; k++) {
                background(() -> beBad(port, socket -> socket.getInputStream().readAllBytes()));
            }
        }
        for (long end = now() + STORM_MS; now() < end; ) {
            Thread.sleep(2_000);
            note(counts() + "; bad clients made " + badConnections + " connections; front alive: "
                    + front.process.isAlive());
        }
        stopped = true;
        Thread.sleep(LOST_AFTER_MS + 1_000);
        note("this program itself stood still for " + ownStallMs + " ms at most, which is added to the limits");
        note(counts() + "; engines ran " + runs);
        require(sent.get() > 200, "too few requests were sent");
        require(ownStallMs < 500, "this program itself stood still for too long");
        require(front.process.isAlive() || trouble(), "the front has ended");
        boolean broken = lost.get() + late.get() > 0;
        note(broken ? "BROKEN: requests were lost" : "HELD");
        return broken ? BROKEN : HELD;
    }

    private String counts() {
        return sent + " usual requests: served " + served + ", refused or failed " + refused
                + ", sent again after crossing a close " + sentAgain + ", first on a connection that was closed "
                + excused + ", answered too late or never " + late + ", LOST with a connection " + lost
                + " (written up to " + longestLost + " ms before its end); connections made " + newConnections;
    }

    /** A sound client: keeps its connection, and makes a new one when that has ended. */
    private void beUsual(Front front, Random random) throws Exception {
        Client client = front.connect();
        boolean usedBefore = false;
        while (!stopped) {
            Thread.sleep(400 + random.nextInt(200));
            sent.incrementAndGet();
            for (boolean again = false, over = false; !over; ) {
                if (client.ended) {
                    client = reconnect(front);
                    usedBefore = false;
                }
                Client current = client;
                String trace = trace();
                long id;
                try {
                    id = current.query("lookup", fields(trace, PATIENCE_MS, "70.0"), STATEMENT);
                } catch (IOException e) {
                    // The connection had ended before the request was whole.
                    Kit.await(1_000, () -> current.ended);
                    current.ended = true;
                    continue;
                }
                long written = now();
                Kit.await(LOST_AFTER_MS + ownStallMs, () -> current.answers.containsKey(id) || current.ended);
                Answer answer = current.answers.containsKey(id) ? current.answers.get(id).get(0) : null;
                long openMs = current.endedAt - written;
                over = true;
                if (answer != null && answer.at() - written <= LOST_AFTER_MS + ownStallMs) {
                    (answer.error() == null ? served : refused).incrementAndGet();
                    note("request " + trace + " written at " + written + " ms: " + (answer.error() == null ? "served"
                            : answer.error()) + " after " + (answer.at() - written) + " ms");
                    usedBefore = true;
                } else if (!current.ended) {
                    late.incrementAndGet();
                    note("request " + trace + " written at " + written + " ms: NO ANSWER in time");
                } else if (!usedBefore) {
                    excused.incrementAndGet();
                    note("request " + trace + " written at " + written + " ms: first on its connection, which ended");
                } else if (openMs > CROSSING_MS + SLACK_MS + ownStallMs) {
                    lost.incrementAndGet();
                    longestLost.accumulateAndGet(openMs, Math::max);
                    note("request " + trace + " written at " + written + " ms: LOST, the front ended the connection "
                            + openMs + " ms later with no answer");
                } else if (!again) {
                    again = true;
                    over = false;
                    sentAgain.incrementAndGet();
                    note("request " + trace + " written at " + written + " ms: crossed the end of its connection "
                            + openMs + " ms later, sent again");
                }
            }
        }
    }

    private Client reconnect(Front front) throws InterruptedException {
        while (true) {
            try {
                newConnections.incrementAndGet();
                return front.connect();
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
    }

    private interface BadClient {
        void on(Socket socket) throws IOException;
    }

    private void beBad(int port, BadClient bad) throws Exception {
        while (!stopped) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
                badConnections.incrementAndGet();
                bad.on(socket);
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    private void watchOwnStalls() throws Exception {
        while (true) {
            long before = System.nanoTime();
            Thread.sleep(10);
            ownStallMs = Math.max(ownStallMs, (System.nanoTime() - before) / 1_000_000 - 10);
        }
    }
}
