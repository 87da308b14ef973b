package review;

import static review.Kit.*;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients ask one front 50 times a second. Beside them, bad clients send hundreds of requests at once,
 * and the same thing again as soon as it is turned away. Each usual request must get its one final answer
 * within its time and half a second.
 */
public final class Flood {
    private static final int USUAL_CLIENTS = 10;
    private static final int BAD_CLIENTS = 10;
    private static final int REQUESTS_AT_ONCE = 300;
    private static final long PATIENCE_MS = 2_500;
    /** The half second past a request's time, and the slack of each time limit on sockets. */
    private static final long LOST_AFTER_MS = PATIENCE_MS + 500 + 50;
    private static final long CALM_MS = 4_000;
    private static final long FLOOD_MS = 20_000;
    private static final String STATEMENT = "select * from sales_17.orders";

    private final AtomicLong badSent = new AtomicLong();
    private final AtomicLong badAnswered = new AtomicLong();
    private final AtomicLong badConnections = new AtomicLong();
    private final AtomicLong usualRuns = new AtomicLong();
    private final AtomicLong otherRuns = new AtomicLong();
    private volatile long ownStallMs;
    private volatile boolean stopped;

    private record Sent(Client client, long id, String trace, long at) {
    }

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path record = Path.of(args[1]);
        play(record, 115, () -> new Flood().run(root));
    }

    private int run(Path root) throws Exception {
        Path folder = Files.createTempDirectory("review");
        Random random = new Random(55);
        String rows = "id\tsum\tname of a shop in Warszawa\n".repeat(30);
        Handler engine = command -> {
            if (command.word().equals("fetch")) {
                (command.words().get(3).equals(STATEMENT) ? usualRuns : otherRuns).incrementAndGet();
                long workMs = 20 + random.nextInt(100);
                background(() -> {
                    Thread.sleep(workMs);
                    command.answer("data", "sheets=1,toil=" + workMs + ".0,room=96", rows);
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
        String listen = "127.0.0.1:" + freePort();
        Front front = new Front(root, folder, listen,
                config(listen, journal, 192, group("lookup", "repeatable", 1000, 3000, 5000), "1"));
        background(this::watchOwnStalls);

        List<Client> clients = new ArrayList<>();
        for (int k = 0; k < USUAL_CLIENTS; k++) {
            clients.add(front.connect());
        }
        List<Sent> sent = new CopyOnWriteArrayList<>();
        background(() -> {
            for (int k = 0; !stopped; k++) {
                Client client = clients.get(k % USUAL_CLIENTS);
                String trace = trace();
                try {
                    long id = client.query("lookup", fields(trace, PATIENCE_MS, "70.0"), STATEMENT);
                    sent.add(new Sent(client, id, trace, now()));
                } catch (IOException e) {
                    note("a usual client's connection has ended: " + e.getMessage());
                }
                Thread.sleep(20);
            }
        });
        Thread.sleep(CALM_MS);
        if (trouble()) {
            note("from now on " + BAD_CLIENTS + " bad clients send " + REQUESTS_AT_ONCE
                    + " requests at once, and as many again as are turned away");
            for (int k = 0; k < BAD_CLIENTS; k++) {
                background(() -> beBad(listen));
            }
        }
        for (long end = now() + FLOOD_MS; now() < end; ) {
            Thread.sleep(2_000);
            note("bad clients: " + badConnections + " connections, sent " + badSent + ", answered "
                    + badAnswered + "; engines ran " + usualRuns + " usual and " + otherRuns
                    + " other requests; front alive: " + front.process.isAlive());
        }
        stopped = true;
        Thread.sleep(LOST_AFTER_MS + 500);
        return judge(front, sent);
    }

    private int judge(Front front, List<Sent> sent) {
        long lostAfter = LOST_AFTER_MS + ownStallMs;
        int served = 0;
        int refused = 0;
        int late = 0;
        int never = 0;
        int twice = 0;
        long longest = 0;
        for (Sent s : sent) {
            List<Answer> answers = s.client().answers.getOrDefault(s.id(), List.of());
            Answer answer = answers.isEmpty() ? null : answers.get(0);
            twice += answers.size() > 1 ? 1 : 0;
            if (answer == null) {
                never++;
            } else {
                longest = Math.max(longest, answer.at() - s.at());
                if (answer.at() - s.at() > lostAfter) {
                    late++;
                } else if (answer.error() == null) {
                    served++;
                } else {
                    refused++;
                }
            }
            note("usual request " + s.trace() + " sent at " + s.at() + " ms: " + (answer == null
                    ? "no answer after " + (now() - s.at()) + " ms" : (answer.error() == null ? "served"
                    : answer.error()) + " after " + (answer.at() - s.at()) + " ms"));
        }
        note("this program itself stood still for " + ownStallMs + " ms at most, which is added to the limit");
        note(sent.size() + " usual requests: served " + served + ", refused or failed in time " + refused
                + ", answered more than " + lostAfter + " ms after they were sent " + late + ", never answered "
                + never + ", answered twice " + twice + "; longest wait for an answer " + longest + " ms");
        require(sent.size() > 500, "too few requests were sent");
        require(ownStallMs < 1_000, "this program itself stood still for too long");
        require(front.process.isAlive() || trouble(), "the front has ended");
        boolean broken = late + never + twice > 0;
        note(broken ? "BROKEN: requests were lost" : "HELD");
        return broken ? BROKEN : HELD;
    }

    private void beBad(String listen) throws Exception {
        while (!stopped) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(listen.substring(listen.indexOf(':') + 1))), 2_000);
                socket.setTcpNoDelay(true);
                badConnections.incrementAndGet();
                flood(socket);
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
    }

    /** Sends requests at once; reads whatever comes, and sends another for each that is answered. */
    private void flood(Socket socket) throws Exception {
        Semaphore toSend = new Semaphore(REQUESTS_AT_ONCE);
        AtomicBoolean ended = new AtomicBoolean();
        background(() -> {
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            try {
                while (true) {
                    unpack(in);
                    badAnswered.incrementAndGet();
                    toSend.release();
                }
            } finally {
                ended.set(true);
                toSend.release();
            }
        });
        long id = 0;
        while (!stopped) {
            toSend.acquire();
            int count = 1 + toSend.drainPermits();
            if (ended.get()) {
                return;
            }
            ByteArrayOutputStream requests = new ByteArrayOutputStream();
            for (int k = 0; k < count; k++) {
                requests.write(pack(List.of(0L, ++id, "lookup", List.of(fields(trace(), PATIENCE_MS, "70.0"),
                        ("select 1 from flood_3.t where x = '" + "x".repeat(250) + "'").getBytes()))));
            }
            badSent.addAndGet(count);
            socket.getOutputStream().write(requests.toByteArray());
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
