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
    /** A request that crosses a close within this time is sent again, once; each time limit is 50 ms longer. */
    private static final long CROSSING_MS = 50 + 50;
    /** What a connection carries. */
    private static final int MOST_OPEN = 32;
    private static final long CALM_MS = 4_000;
    private static final long FLOOD_MS = 12_000;
    private static final String STATEMENT = "select * from sales_17.orders";

    private final AtomicLong badSent = new AtomicLong();
    private final AtomicLong badAnswered = new AtomicLong();
    private final AtomicLong badConnections = new AtomicLong();
    private final AtomicLong usualRuns = new AtomicLong();
    private final AtomicLong otherRuns = new AtomicLong();
    private volatile long ownStallMs;
    private volatile boolean stopped;

    /** A request, from its last byte; `first` if its connection had served nothing before. */
    private record Sent(Client client, long id, String trace, long at, boolean first, boolean again) {
        Answer answer() {
            List<Answer> answers = client.answers.get(id);
            return answers == null ? null : answers.get(0);
        }

        /** Whether it was written so shortly before the end of its connection that it is sent again. */
        boolean crossed(long ownStallMs) {
            return client.ended && answer() == null && at > client.endedAt - CROSSING_MS - ownStallMs;
        }
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

        List<Sent> sent = new CopyOnWriteArrayList<>();
        for (int k = 0; k < USUAL_CLIENTS; k++) {
            background(() -> beUsual(front, sent));
        }
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

    /** A sound client: at most 32 requests open, a new connection for one that ended, one more try at a crossing. */
    private void beUsual(Front front, List<Sent> sent) throws Exception {
        Client client = front.connect();
        List<Sent> own = new ArrayList<>();
        while (!stopped) {
            Thread.sleep(20L * USUAL_CLIENTS);
            int again = 0;
            if (client.ended) {
                for (Sent s : own) {
                    again += s.crossed(ownStallMs) && !s.again() ? 1 : 0;
                }
                own.clear();
                note("a usual client's connection was ended by the front; " + again + " requests are sent again");
                client = front.connect();
            }
            own.removeIf(s -> s.answer() != null);
            for (int k = 0; k <= again && own.size() < MOST_OPEN; k++) {
                String trace = trace();
                boolean first = client.answers.isEmpty();
                try {
                    long id = client.query("lookup", fields(trace, PATIENCE_MS, "70.0"), STATEMENT);
                    Sent s = new Sent(client, id, trace, now(), first, k < again);
                    own.add(s);
                    sent.add(s);
                } catch (IOException e) {
                    // The connection had ended before the request was whole.
                    break;
                }
            }
        }
    }

    private int judge(Front front, List<Sent> sent) {
        long lostAfter = LOST_AFTER_MS + ownStallMs;
        int served = 0;
        int refused = 0;
        int late = 0;
        int lostWithConnection = 0;
        int never = 0;
        int excused = 0;
        int twice = 0;
        long longest = 0;
        for (Sent s : sent) {
            Answer answer = s.answer();
            long ms = answer == null ? 0 : answer.at() - s.at();
            longest = Math.max(longest, ms);
            twice += answer != null && s.client().answers.get(s.id()).size() > 1 ? 1 : 0;
            String result;
            if (answer != null && ms <= lostAfter) {
                served += answer.error() == null ? 1 : 0;
                refused += answer.error() == null ? 0 : 1;
                result = (answer.error() == null ? "served" : answer.error()) + " after " + ms + " ms";
            } else if (answer != null) {
                late++;
                result = "LATE, after " + ms + " ms";
            } else if (s.client().ended && (s.first() || s.crossed(ownStallMs))) {
                excused++;
                result = s.first() ? "first on a connection that was closed" : "crossed the end of its connection";
            } else if (s.client().ended) {
                lostWithConnection++;
                result = "LOST, the front ended its connection " + (s.client().endedAt - s.at()) + " ms later";
            } else {
                never++;
                result = "NO ANSWER after " + (now() - s.at()) + " ms";
            }
            note("usual request " + s.trace() + " written at " + s.at() + " ms: " + result);
        }
        note("this program itself stood still for " + ownStallMs + " ms at most, which is added to the limit");
        note(sent.size() + " usual requests: served " + served + ", refused or failed in time " + refused
                + ", answered more than " + lostAfter + " ms after they were written " + late
                + ", lost with a connection " + lostWithConnection + ", never answered " + never + ", excused "
                + excused + ", answered twice " + twice + "; longest wait for an answer " + longest + " ms");
        require(sent.size() > 200, "too few requests were sent");
        require(ownStallMs < 1_000, "this program itself stood still for too long");
        require(front.process.isAlive() || trouble(), "the front has ended");
        boolean broken = late + lostWithConnection + never + twice > 0;
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
