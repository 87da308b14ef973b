package reedspring.rig.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import reedspring.rig.Client;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable.What;

/**
 * The clients: seeded queries at seeded moments, each to a front that takes its part of them, over a few
 * connections that are made again when they are lost. What is deferred comes again as told, once. Every try
 * is kept with what came for it.
 */
final class Crowd {
    private static final long MS = 1_000_000;
    private static final int CONNECTIONS = 6;
    private static final int TRIES = 2;
    /** After which the layer before the fronts sends no more to one that refuses. */
    private static final long LAYER_NOTICES = 1_000 * MS;
    /** A request that crosses the end of its connection within that time is sent again, once. */
    private static final long CROSSING = 50 * MS;
    private static final int SLOW_ONE_IN = 6;
    private static final int SLOW_PIECES = 12;
    private static final double GIVES_UP = 0.3;
    private static final int MOST_PATIENT_MS = 400;
    private static final int PIPELINED = 30;
    private static final int GREETINGS = 20;
    private static final int IDLE_AT_ONCE = 20;
    private static final int MOST_IDLE = 1_200;
    private static final int IDLE_FOR_S = 4;

    /** One query of a client, over its tries. */
    record Ask(int group, double workMs, double needMb, long first) {
    }

    /** One try. Times in nanoseconds; what came for it, in order. */
    static final class Try {
        final Ask ask;
        final int number;
        final String trace = Client.trace();
        final int front;
        /** Before the last byte was written. */
        volatile long sentAt = System.nanoTime();
        /** What it said that it would wait, in milliseconds from when it was sent; 0 before that. */
        volatile int patienceMs;
        final List<String> came = new ArrayList<>();
        volatile long cameAt;
        /** As it was sent. */
        volatile String statement = "";
        volatile boolean sent;
        volatile boolean connectionLost;
        volatile long lostAt;
        /** When its client took it back or closed its connection; 0 if it did not. */
        volatile long goneAt;
        private boolean sentAgain;

        /** What became of it, in milliseconds after the start of the day. */
        String told(long startedAt) {
            return "it was sent" + (sentAgain ? " again" : "") + " at " + (sentAt - startedAt) / MS
                    + ", came " + came + (cameAt == 0 ? "" : " at " + (cameAt - startedAt) / MS)
                    + (connectionLost ? ", its connection lost at " + (lostAt - startedAt) / MS : "")
                    + (goneAt != 0 ? ", its client gone" : "");
        }

        /** Its connection has ended. */
        void isLost() {
            lostAt = System.nanoTime();
            connectionLost = true;
        }

        Try(Ask ask, int number, int front) {
            this.ask = ask;
            this.number = number;
            this.front = front;
        }
    }

    private final Timetable table;
    private final Link[][] links;
    private final long[] refusedAt;
    private final String[] addresses;
    private final ScheduledExecutorService later;
    /** A connect into a link that is cut takes its time, and must hold up nobody else's. */
    private final ExecutorService sends = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final SplittableRandom chance;
    private final List<Try> tries = new ArrayList<>();
    private final Set<Client> idle = ConcurrentHashMap.newKeySet();
    /** Fronts to which the layer before them sends nothing new, as they are being taken down. */
    private final Set<Integer> leaving = ConcurrentHashMap.newKeySet();
    /** What clients do now beside asking. */
    private final Set<What> manners = ConcurrentHashMap.newKeySet();

    /** One connection to a front, through its door. */
    private final class Link {
        private final int front;
        private volatile Client client;
        private int ids;
        private Map<Long, Try> open = new ConcurrentHashMap<>();

        private Link(int front) {
            this.front = front;
        }

        private boolean isOpen() {
            return client != null;
        }

        private synchronized void send(Try one) {
            try {
                if (client == null) {
                    Client made = new Client(addresses[front]);
                    Map<Long, Try> mine = new ConcurrentHashMap<>();
                    client = made;
                    open = mine;
                    Thread reader = new Thread(() -> read(made, mine));
                    reader.setDaemon(true);
                    reader.start();
                }
                int id = ++ids;
                open.put((long) id, one);
                write(client, one, id);
                if (manners.contains(What.GIVE_UP) && one.sent && draw() < GIVES_UP) {
                    Client mine = client;
                    Map<Long, Try> others = open;
                    long soon = (long) (draw() * MOST_PATIENT_MS);
                    boolean closes = draw() < 0.5;
                    later.schedule(() -> givesUp(mine, others, one, id, closes), soon, TimeUnit.MILLISECONDS);
                }
            } catch (IOException e) {
                // What its front was to be sent once more, and is sent elsewhere then, was not taken here.
                one.sent &= !one.sentAgain;
                lost(client, open);
                refusedAt[front] = System.nanoTime();
            }
        }

        private void write(Client to, Try one, int id) throws IOException {
            boolean slowly = manners.contains(What.SLOW_CLIENTS) && draw() * SLOW_ONE_IN < 1;
            one.patienceMs = patience(one);
            byte[] query = message(one, id);
            if (slowly) {
                for (int k = 0; k < SLOW_PIECES - 1; k++) {
                    to.send(Arrays.copyOfRange(query, k * query.length / SLOW_PIECES,
                            (k + 1) * query.length / SLOW_PIECES));
                    pause((int) (draw() * 2 * MOST_PATIENT_MS / 5));
                }
            }
            one.sentAt = System.nanoTime();
            to.send(slowly ? Arrays.copyOfRange(query, (SLOW_PIECES - 1) * query.length / SLOW_PIECES,
                    query.length)
                    : query);
            one.sent = true;
        }

        private synchronized void givesUp(Client mine, Map<Long, Try> others, Try one, int id,
                boolean closes) {
            try {
                synchronized (Crowd.this) {
                    long now = System.nanoTime();
                    if (closes) {
                        others.values().stream().filter(each -> each.came.isEmpty() && each.goneAt == 0)
                                .forEach(each -> each.goneAt = now);
                    } else if (one.came.isEmpty()) {
                        one.goneAt = now;
                    }
                }
                if (closes) {
                    mine.close();
                    client = client == mine ? null : client;
                } else {
                    mine.send(Client.pack(List.of(2, "revoke", List.of(id))));
                }
            } catch (IOException e) {
                // its connection has gone before
            }
        }

        private void read(Client from, Map<Long, Try> mine) {
            try {
                while (true) {
                    List<?> answer = from.read();
                    // Not under the lock that a slow write holds: the rig must not be what is late.
                    answered(mine.get((Long) answer.get(1)), answer);
                }
            } catch (IOException | RuntimeException e) {
                lost(from, mine);
            }
        }

        private synchronized void lost(Client which, Map<Long, Try> mine) {
            long now = System.nanoTime();
            for (Try one : List.copyOf(mine.values())) {
                if (!one.came.isEmpty() || one.goneAt != 0) {
                    continue;
                }
                if (one.sent && !one.sentAgain && now - one.sentAt < CROSSING) {
                    one.sentAgain = true;
                    mine.values().remove(one);
                    sends.execute(() -> send(one));
                } else {
                    one.isLost();
                }
            }
            if (which != null && client == which) {
                client = null;
            }
            try {
                if (which != null) {
                    which.close();
                }
            } catch (IOException e) {
                // it is lost anyway
            }
        }
    }

    Crowd(Timetable table, long seed, String[] addresses, ScheduledExecutorService later) {
        this.table = table;
        this.addresses = addresses;
        this.later = later;
        this.chance = new SplittableRandom(seed);
        this.refusedAt = new long[table.fronts()];
        this.links = new Link[table.fronts()][CONNECTIONS];
        for (int f = 0; f < table.fronts(); f++) {
            for (int c = 0; c < CONNECTIONS; c++) {
                links[f][c] = new Link(f);
            }
        }
    }

    private static byte[] message(Try one, int id) {
        Map<String, Object> fields = Client.fields(one.trace, one.patienceMs);
        fields.put("weight", String.format(Locale.ROOT, "%.2f", one.ask.workMs));
        fields.put("need_mb", String.format(Locale.ROOT, "%.0f", one.ask.needMb));
        if (one.statement.isEmpty()) {
            one.statement = String.format(Locale.ROOT,
                    "select work=%.2f need=%.1f threads=%d from sales_%d.orders",
                    one.ask.workMs, one.ask.needMb, Terms.THREADS[one.ask.group], id % 9);
        }
        return Client.pack(List.of(0, id, Terms.GROUPS[one.ask.group], List.of(fields,
                one.statement.getBytes(StandardCharsets.UTF_8))));
    }

    private synchronized double draw() {
        return chance.nextDouble();
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void manner(What what, boolean on) {
        if (on) {
            manners.add(what);
        } else {
            manners.remove(what);
        }
    }

    /** The layer before the fronts makes no new connection to it, or again; open ones are used on. */
    void leaves(int front, boolean on) {
        if (on) {
            leaving.add(front);
        } else {
            leaving.remove(front);
        }
    }

    /** Connections of clients that do what no good client does, to one front; called again and again. */
    void misbehave(int front) {
        if (leaving.contains(front)) {
            return;
        }
        if (manners.contains(What.BAD_CLIENTS)) {
            double kind = draw();
            sends.execute(() -> badly(front, kind));
        }
        if (manners.contains(What.COPIED_TRACES)) {
            sends.execute(() -> copies(front));
        }
        if (manners.contains(What.IDLE_CROWD)) {
            sends.execute(() -> idles(front));
        }
        if (manners.contains(What.PIPELINE) && draw() < 0.1) {
            sends.execute(() -> pipeline(front, false));
        }
    }

    private void badly(int front, double kind) {
        try {
            if (kind < 0.2) {
                pipeline(front, true);
                return;
            }
            Try one = kind < 0.6 ? extra(front) : null;
            Client client = new Client(addresses[front]);
            later.schedule(() -> closed(client), 5, TimeUnit.SECONDS);
            if (one == null) {
                client.send(kind < 0.8 ? new byte[] {(byte) 0x94, 0, 1} : new byte[0]);
                return;
            }
            one.patienceMs = patience(one);
            one.sentAt = System.nanoTime();
            client.send(message(one, 1));
            one.sent = true;
            pause(30);
            // What goes before the noise is in order, and is owed its answer.
            client.send(kind < 0.4 ? new byte[] {(byte) 0xc1, 1, 2} : Arrays.copyOf(message(one, 2), 20));
            reads(client, Map.of(1L, one));
        } catch (IOException e) {
            // its front is down
        }
    }

    /** Sends the trace of the query that this front answered, or was asked, last, with another statement. */
    private void copies(int front) {
        Try copied = latest(front);
        if (copied == null) {
            return;
        }
        try (Client client = new Client(addresses[front])) {
            Map<String, Object> fields = Client.fields(copied.trace, patience(copied));
            String statement = "select work=1.00 need=1.0 threads=1 from copied_1.orders";
            client.send(Client.pack(List.of(0, 1, Terms.GROUPS[0], List.of(fields,
                    statement.getBytes(StandardCharsets.UTF_8)))));
            client.read();
        } catch (IOException | RuntimeException e) {
            // refused, or its front is down
        }
    }

    private synchronized Try latest(int front) {
        boolean answered = chance.nextBoolean();
        for (int k = tries.size() - 1; k >= 0; k--) {
            Try one = tries.get(k);
            if (one.front == front && one.sent && answered != one.came.isEmpty()) {
                return one;
            }
        }
        return null;
    }

    /** Some connections more that say nothing, until the crowd is as large as a front may bear. */
    private void idles(int front) {
        for (int k = 0; k < IDLE_AT_ONCE && idle.size() < MOST_IDLE; k++) {
            try {
                Client client = new Client(addresses[front]);
                idle.add(client);
                later.schedule(() -> closed(client), IDLE_FOR_S, TimeUnit.SECONDS);
            } catch (IOException e) {
                // its front is down
            }
        }
    }

    /** Thirty at once on a connection of their own; {@code goes}: and a close right behind them. */
    private void pipeline(int front, boolean goes) {
        try {
            Client client = new Client(addresses[front]);
            Map<Long, Try> mine = new HashMap<>();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int id = 1; id <= PIPELINED; id++) {
                Try one = extra(front);
                one.patienceMs = patience(one);
                mine.put((long) id, one);
                all.writeBytes(message(one, id));
            }
            mine.values().forEach(one -> one.sentAt = System.nanoTime());
            client.send(all.toByteArray());
            mine.values().forEach(one -> one.sent = true);
            if (goes) {
                mine.values().forEach(one -> one.goneAt = System.nanoTime());
                client.close();
                return;
            }
            reads(client, mine);
        } catch (IOException e) {
            // its front is down
        }
    }

    private synchronized Try extra(int front) {
        int group = table.mix().group(chance);
        Try one = new Try(new Ask(group, table.mix().workMs(group, chance), table.mix().needMb(group, chance),
                System.nanoTime()), TRIES, front);
        tries.add(one);
        return one;
    }

    private void reads(Client client, Map<Long, Try> mine) {
        try (client) {
            for (int left = mine.size(); left > 0; left--) {
                List<?> answer = client.read();
                answered(mine.get((Long) answer.get(1)), answer);
            }
        } catch (IOException | RuntimeException e) {
            mine.values().stream().filter(one -> one.came.isEmpty()).forEach(Try::isLost);
        }
    }

    private static void closed(Client client) {
        try {
            client.close();
        } catch (IOException e) {
            // it has gone by itself
        }
    }

    private int patience(Try one) {
        return (int) Math.max(1, Terms.leavesMs(table, one.ask.group) - (System.nanoTime() - one.ask.first)
                / MS);
    }

    /** Asks each front whether it is there, over new connections: a cold rig must not count against it. */
    void greet() throws Exception {
        List<Future<?>> greetings = new ArrayList<>();
        for (String address : addresses) {
            for (int c = 0; c < CONNECTIONS; c++) {
                greetings.add(sends.submit(() -> {
                    heartbeats(address);
                    return null;
                }));
            }
        }
        for (Future<?> each : greetings) {
            each.get(Rig.PATIENCE_S, TimeUnit.SECONDS);
        }
    }

    private static void heartbeats(String address) throws IOException {
        try (Client client = new Client(address)) {
            for (int id = 1; id <= GREETINGS; id++) {
                client.send(Client.pack(List.of(0, id, "heartbeat", List.of(Client.fields("", 0))))).read();
            }
        }
    }

    /** One new query. */
    synchronized void ask() {
        int group = table.mix().group(chance);
        Ask ask = new Ask(group, table.mix().workMs(group, chance), table.mix().needMb(group, chance),
                System.nanoTime());
        double draw = chance.nextDouble();
        int front = 0;
        while (front < table.fronts() - 1 && (draw -= table.part(front)) >= 0) {
            front++;
        }
        turnTo(ask, 1, front);
    }

    private synchronized void turnTo(Ask ask, int number, int wanted) {
        int connection = chance.nextInt(CONNECTIONS);
        int front = wanted;
        for (int k = 0; k < table.fronts() && (unreachable(front, connection) || refusedAt[front] != 0
                && System.nanoTime() - refusedAt[front] > LAYER_NOTICES); k++) {
            if (!leaving.contains(front) && System.nanoTime() - refusedAt[front] > 2 * LAYER_NOTICES) {
                refusedAt[front] = 0; // it is tried again
                break;
            }
            front = chance.nextInt(table.fronts());
        }
        Try one = new Try(ask, number, front);
        tries.add(one);
        Link link = links[front][connection];
        sends.execute(() -> link.send(one));
    }

    private boolean unreachable(int front, int connection) {
        return leaving.contains(front) && !links[front][connection].isOpen();
    }

    private void answered(Try one, List<?> answer) {
        Rig.require(one != null, "an answer to what nobody asked: " + answer);
        String rows = Client.rows(answer);
        String kind = rows == null ? String.valueOf(Client.error(answer))
                : rows.startsWith(one.trace + "\t") && rows.endsWith("\trow\n") ? "served" : "spoilt";
        synchronized (this) {
            one.came.add(kind);
            one.cameAt = System.nanoTime();
        }
        if (kind.equals("Shed") && one.number < TRIES) {
            long pause = Math.max(5, pause(answer));
            if (patience(one) > pause + 20) {
                later.schedule(() -> turnTo(one.ask, one.number + 1, one.front), pause,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    private static long pause(List<?> answer) {
        Object fields = ((List<?>) answer.get(2)).size() > 1 ? ((List<?>) answer.get(2)).get(1) : null;
        // Maps come as names and values in turn.
        if (fields instanceof List<?> pairs) {
            for (int k = 0; k + 1 < pairs.size(); k += 2) {
                if ("pause".equals(pairs.get(k))) {
                    return Long.parseLong(String.valueOf(pairs.get(k + 1)));
                }
            }
        }
        return 0;
    }

    synchronized List<Try> tries() {
        return List.copyOf(tries);
    }
}
