package reedspring.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that keep one connection each and ask at a steady pace, one request at a time. They record how long
 * each final answer took and which requests got none, as a client sees it.
 */
public final class SteadyClients implements Closeable {
    /** By the protocol a request may cross the end of its connection within 50 ms, with 50 ms of slack. */
    private static final long CROSSING_MS = 100;
    /** How long a client goes on waiting after its patience before it counts a request as unanswered. */
    private static final int EXTRA_WAIT_MS = 3_000;

    private final String address;
    private final int intervalMs;
    private final int patienceMs;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong longestMs = new AtomicLong();
    private final List<String> lost = new CopyOnWriteArrayList<>();
    private volatile boolean stopping;

    /**
     * What the clients saw.
     *
     * @param answered requests with a final answer, a refusal or an error included
     * @param connections connections that the clients made; as many as clients if none was ended
     * @param longestMs the longest time from writing a request to its final answer
     * @param lost requests without an answer that did not cross the end of their connection
     */
    public record Result(int answered, int served, int connections, long longestMs,
            List<String> lost) {
    }

    public SteadyClients(String address, int clients, int intervalMs, int patienceMs) {
        this.address = address;
        this.intervalMs = intervalMs;
        this.patienceMs = patienceMs;
        for (int k = 0; k < clients; k++) {
            Thread thread = new Thread(this::ask, "steady client " + k);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    /** Lets the requests that are open end, and returns what was seen since the start. */
    public Result stop() throws InterruptedException {
        stopping = true;
        for (Thread thread : threads) {
            thread.join(patienceMs + 2L * EXTRA_WAIT_MS);
        }
        return new Result(answered.get(), served.get(), connections.get(), longestMs.get(),
                List.copyOf(lost));
    }

    private void ask() {
        while (!stopping) {
            try (Client client = new Client(address)) {
                connections.incrementAndGet();
                client.socket.setSoTimeout(patienceMs + EXTRA_WAIT_MS);
                askOn(client);
            } catch (IOException e) {
                // The connection was refused, or ended while no request was open.
                Rig.sleep(intervalMs);
            }
        }
    }

    /** Asks on one connection until that ends. */
    private void askOn(Client client) throws IOException {
        for (int id = 1; !stopping; id++) {
            Rig.sleep(intervalMs);
            client.send(Client.query(id, Client.trace(), patienceMs, "select 1 from sales_17.orders"));
            long writtenAt = System.nanoTime();
            try {
                record(client.read(), millisSince(writtenAt));
            } catch (SocketTimeoutException e) {
                lost.add("no answer after " + millisSince(writtenAt) + " ms");
                return;
            } catch (IOException e) {
                long ms = millisSince(writtenAt);
                if (id > 1 && ms > CROSSING_MS) {
                    lost.add("connection ended after " + ms + " ms");
                }
                return;
            }
        }
    }

    private void record(List<?> answer, long ms) {
        answered.incrementAndGet();
        if (Client.error(answer) == null) {
            served.incrementAndGet();
        }
        longestMs.accumulateAndGet(ms, Math::max);
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    @Override
    public void close() {
        stopping = true;
    }
}
