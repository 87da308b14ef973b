package reedspring.rig.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import reedspring.rig.Client;
import reedspring.rig.Rig;

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

    /** One query of a client, over its tries. */
    record Ask(int group, double workMs, double needMb, long first) {
    }

    /** One try. Times in nanoseconds; what came for it, in order. */
    static final class Try {
        final Ask ask;
        final int number;
        final String trace = Client.trace();
        final int front;
        final long sentAt = System.nanoTime();
        final List<String> came = new ArrayList<>();
        volatile long cameAt;
        volatile boolean sent;
        volatile boolean connectionLost;

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

    /** One connection to a front, through its door. */
    private final class Link {
        private final int front;
        private Client client;
        private int ids;
        private Map<Long, Try> open = new HashMap<>();

        private Link(int front) {
            this.front = front;
        }

        private synchronized void send(Try one) {
            try {
                if (client == null) {
                    Client made = new Client(addresses[front]);
                    Map<Long, Try> mine = new HashMap<>();
                    client = made;
                    open = mine;
                    Thread reader = new Thread(() -> read(made, mine));
                    reader.setDaemon(true);
                    reader.start();
                }
                open.put((long) ++ids, one);
                Map<String, Object> fields = Client.fields(one.trace, patience(one));
                fields.put("weight", String.format(Locale.ROOT, "%.2f", one.ask.workMs));
                fields.put("need_mb", String.format(Locale.ROOT, "%.0f", one.ask.needMb));
                client.send(Client.pack(List.of(0, ids, Terms.GROUPS[one.ask.group], List.of(fields, String
                        .format(
                        Locale.ROOT, "select work=%.2f need=%.1f threads=%d from sales_%d.orders",
                                one.ask.workMs,
                        one.ask.needMb, Terms.THREADS[one.ask.group], ids % 9).getBytes()))));
                one.sent = true;
            } catch (IOException e) {
                lost(client, open);
                refusedAt[front] = System.nanoTime();
            }
        }

        private void read(Client from, Map<Long, Try> mine) {
            try {
                while (true) {
                    List<?> answer = from.read();
                    Try one;
                    synchronized (this) {
                        one = mine.get((Long) answer.get(1));
                    }
                    answered(one, answer);
                }
            } catch (IOException | RuntimeException e) {
                lost(from, mine);
            }
        }

        private synchronized void lost(Client which, Map<Long, Try> mine) {
            mine.values().stream().filter(one -> one.came.isEmpty()).forEach(one ->
                    one.connectionLost = true);
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

    private int patience(Try one) {
        return (int) Math.max(1, Terms.leavesMs(table, one.ask.group) - (System.nanoTime() - one.ask.first)
                / MS);
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
        int front = wanted;
        for (int k = 0; k < table.fronts() && refusedAt[front] != 0
                && System.nanoTime() - refusedAt[front] > LAYER_NOTICES; k++) {
            if (System.nanoTime() - refusedAt[front] > 2 * LAYER_NOTICES) {
                refusedAt[front] = 0; // it is tried again
                break;
            }
            front = chance.nextInt(table.fronts());
        }
        Try one = new Try(ask, number, front);
        tries.add(one);
        Link link = links[front][chance.nextInt(CONNECTIONS)];
        sends.execute(() -> link.send(one));
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
