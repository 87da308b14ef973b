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
 * The deadline that goes on to an engine against what the client has left, where the front stood still when
 * the query came; issue 43, docs/incidents/deadline-new-connection.md.
 */
class DeadlineIT extends Started {
    private static final int PATIENCE_MS = 3_000;
    private static final long MOST_OVER_MS = 20;
    private static final int[] STOPS_MS = {0, 24, 200, 700, 1_500};

    /** When each query was sent, by its trace. */
    private final Map<String, Long> sentAt = new HashMap<>();
    private EngineStandIn engine;

    private byte[] query(int id) {
        String trace = Client.trace();
        sentAt.put(trace, System.nanoTime());
        return Client.query(id, trace, PATIENCE_MS, "select");
    }

    private interface Work {
        void run() throws Exception;
    }

    private void whileStopped(long ms, Work meanwhile) throws Exception {
        if (ms == 0) {
            meanwhile.run();
            return;
        }
        front.signal("-STOP");
        try {
            Thread.sleep(5);
            meanwhile.run();
            Thread.sleep(ms);
        } finally {
            front.signal("-CONT");
        }
    }

    /** By how much the deadline of any query was over what its client had left, and that all came. */
    private void noneOver(int queries, String how) throws Exception {
        await("all at the engine, " + how, () -> engine.seen("fetch").stream()
                .filter(c -> sentAt.containsKey(c.id())).count() >= queries);
        for (EngineStandIn.Command fetch : engine.seen("fetch")) {
            Long sent = sentAt.get(fetch.id());
            if (sent != null) {
                long left = PATIENCE_MS - (fetch.at() - sent) / 1_000_000;
                long told = Long.parseLong(fetch.words().get(2).replaceAll(".*ttl=(\\d+).*", "$1"));
                assertTrue(told - left <= MOST_OVER_MS, how + ": told " + told + ", left " + left);
            }
        }
        sentAt.clear();
    }

    private void startWarm() throws Exception {
        engine = engine(1);
        start(engine);
        for (int k = 0; k < 40; k++) {
            serves();
        }
    }

    @Example
    void onANewConnection() throws Exception {
        startWarm();
        for (long stop : STOPS_MS) {
            whileStopped(stop, () -> client().send(query(1)));
            noneOver(1, "one on a new connection, stopped for " + stop + " ms");
        }
    }

    /** The server accepts sixteen in a turn. */
    @Example
    void onManyNewConnections() throws Exception {
        startWarm();
        whileStopped(700, () -> {
            for (int k = 0; k < 50; k++) {
                client().send(query(1));
            }
        });
        noneOver(50, "50 new connections");
    }

    @Example
    void onAConnectionThatRested() throws Exception {
        startWarm();
        Client rests = client();
        rests.send(Client.query(1, Client.trace(), PATIENCE_MS, "select")).read();
        int id = 1;
        for (long stop : STOPS_MS) {
            byte[] next = query(++id);
            sentAt.replaceAll((trace, at) -> System.nanoTime());
            whileStopped(stop, () -> {
                sentAt.replaceAll((trace, at) -> System.nanoTime());
                rests.send(next);
            });
            noneOver(1, "one on a resting connection, stopped for " + stop + " ms");
        }
    }

    @Example
    void of32InOneRead() throws Exception {
        startWarm();
        Client rests = client();
        rests.send(Client.query(1, Client.trace(), PATIENCE_MS, "select")).read();
        for (boolean fresh : new boolean[] {true, false}) {
            whileStopped(700, () -> {
                Client client = fresh ? client() : rests;
                List<byte[]> all = new ArrayList<>();
                for (int id = 2; id <= 33; id++) {
                    all.add(query(id));
                }
                client.send(all.toArray(byte[][]::new));
            });
            noneOver(32, "32 in one read, " + (fresh ? "new" : "resting") + " connection");
        }
    }

    /** What its client sent last is its arrival, not the first piece. */
    @Example
    void ofAQueryThatCameInPieces() throws Exception {
        startWarm();
        Client client = client();
        client.send(Client.query(1, Client.trace(), PATIENCE_MS, "select")).read();
        byte[] whole = query(2);
        client.send(java.util.Arrays.copyOf(whole, 20));
        Thread.sleep(400);
        whileStopped(300, () -> {
            client.send(java.util.Arrays.copyOfRange(whole, 20, whole.length));
            sentAt.replaceAll((trace, at) -> System.nanoTime());
        });
        String trace = sentAt.keySet().iterator().next();
        noneOver(1, "in pieces");
        EngineStandIn.Command fetch = engine.seen("fetch").stream().filter(c ->
                c.id().equals(trace)).findFirst()
                .orElseThrow();
        long told = Long.parseLong(fetch.words().get(2).replaceAll(".*ttl=(\\d+).*", "$1"));
        assertTrue(told > PATIENCE_MS - 600, "the wait for its last piece is not its client's: " + told);
        assertEquals(2L, client.read().get(1));
    }
}
