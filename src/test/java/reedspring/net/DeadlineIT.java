package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;

/**
 * The deadline sent to an engine must not exceed the time that the client has left, even if the front was
 * stalled when the query arrived. Guards against issue 43, see docs/incidents/deadline-new-connection.md.
 */
class DeadlineIT extends StartedFrontTest {
    private static final int CLIENT_TIMEOUT_MS = 3_000;
    private static final long MAX_EXCESS_MS = 20;
    private static final int[] STALLS_MS = {0, 24, 200, 700, 1_500};

    /** When each query was sent, by trace. */
    private final Map<String, Long> sentAt = new HashMap<>();
    private EngineStandIn engine;

    private byte[] query(int id) {
        String trace = Client.trace();
        sentAt.put(trace, System.nanoTime());
        return Client.query(id, trace, CLIENT_TIMEOUT_MS, "select");
    }

    private interface Work {
        void run() throws Exception;
    }

    private void runWhileStopped(long ms, Work action) throws Exception {
        if (ms == 0) {
            action.run();
            return;
        }
        front.sendSignal("-STOP");
        try {
            Thread.sleep(5);
            action.run();
            Thread.sleep(ms);
        } finally {
            front.sendSignal("-CONT");
        }
    }

    /** Checks that all queries reached the engine, each with a deadline within what its client had left. */
    private void assertDeadlinesWithinLimit(int queries, String situation) throws Exception {
        await("all queries at the engine, " + situation, () -> engine.received("fetch").stream()
                .filter(c -> sentAt.containsKey(c.id())).count() >= queries);
        for (EngineStandIn.Command fetch : engine.received("fetch")) {
            Long sent = sentAt.get(fetch.id());
            if (sent != null) {
                long leftMs = CLIENT_TIMEOUT_MS - (fetch.firstByteNanos() - sent) / 1_000_000;
                long ttlMs = Long.parseLong(fetch.words().get(2).replaceAll(".*ttl=(\\d+).*", "$1"));
                assertTrue(ttlMs - leftMs <= MAX_EXCESS_MS,
                        situation + ": sent " + ttlMs + " ms, left " + leftMs);
            }
        }
        sentAt.clear();
    }

    private void startAndWarmUp() throws Exception {
        engine = engine(1);
        start(engine);
        for (int k = 0; k < 40; k++) {
            serves();
        }
    }

    @Example
    void onANewConnection() throws Exception {
        startAndWarmUp();
        for (long stallMs : STALLS_MS) {
            runWhileStopped(stallMs, () -> client().send(query(1)));
            assertDeadlinesWithinLimit(1, "one on a new connection, stopped for " + stallMs + " ms");
        }
    }

    /** The server accepts 16 connections per loop iteration. */
    @Example
    void onManyNewConnections() throws Exception {
        startAndWarmUp();
        runWhileStopped(700, () -> {
            for (int k = 0; k < 50; k++) {
                client().send(query(1));
            }
        });
        assertDeadlinesWithinLimit(50, "50 new connections");
    }

    @Example
    void onAnIdleConnection() throws Exception {
        startAndWarmUp();
        Client idle = client();
        idle.send(Client.query(1, Client.trace(), CLIENT_TIMEOUT_MS, "select")).read();
        int id = 1;
        for (long stallMs : STALLS_MS) {
            byte[] next = query(++id);
            sentAt.replaceAll((trace, at) -> System.nanoTime());
            runWhileStopped(stallMs, () -> {
                sentAt.replaceAll((trace, at) -> System.nanoTime());
                idle.send(next);
            });
            assertDeadlinesWithinLimit(1, "one on an idle connection, stopped for " + stallMs + " ms");
        }
    }

    @Example
    void of32QueriesInOneRead() throws Exception {
        startAndWarmUp();
        Client idle = client();
        idle.send(Client.query(1, Client.trace(), CLIENT_TIMEOUT_MS, "select")).read();
        for (boolean fresh : new boolean[] {true, false}) {
            runWhileStopped(700, () -> {
                Client client = fresh ? client() : idle;
                List<byte[]> all = new ArrayList<>();
                for (int id = 2; id <= 33; id++) {
                    all.add(query(id));
                }
                client.send(all.toArray(byte[][]::new));
            });
            assertDeadlinesWithinLimit(32, "32 in one read, " + (fresh ? "new" : "idle") + " connection");
        }
    }

    /** A query arrives with its last fragment, not with its first. */
    @Example
    void ofAFragmentedQuery() throws Exception {
        startAndWarmUp();
        Client client = client();
        client.send(Client.query(1, Client.trace(), CLIENT_TIMEOUT_MS, "select")).read();
        byte[] request = query(2);
        client.send(java.util.Arrays.copyOf(request, 20));
        Thread.sleep(400);
        runWhileStopped(300, () -> {
            client.send(java.util.Arrays.copyOfRange(request, 20, request.length));
            sentAt.replaceAll((trace, at) -> System.nanoTime());
        });
        String trace = sentAt.keySet().iterator().next();
        assertDeadlinesWithinLimit(1, "fragmented");
        EngineStandIn.Command fetch = engine.received("fetch").stream().filter(c ->
                c.id().equals(trace)).findFirst()
                .orElseThrow();
        long ttlMs = Long.parseLong(fetch.words().get(2).replaceAll(".*ttl=(\\d+).*", "$1"));
        assertTrue(ttlMs > CLIENT_TIMEOUT_MS - 600,
                "the wait for the last fragment must not count against the client: " + ttlMs);
        assertEquals(2L, client.read().get(1));
    }
}
