package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;

import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.FaultShim;
import reedspring.rig.FaultShim.Fault;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** A started front whose socket calls fail now and then; issue 43, docs/incidents/accept-pause.md. */
class AcceptIT extends StartedFrontTest {
    private static final int QUERIES = 120;
    /** A hundred times the usual duration of a query here, and a tenth of the pause in the incident. */
    private static final long MAX_QUERY_MS = 300;

    private FaultShim shim;

    private void startWithShim(EngineStandIn engine) throws Exception {
        shim = open(new FaultShim());
        journal = open(new JournalStandIn());
        front = open(Program.withShim(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine.address(), "ready"))), shim)).awaitReady();
        serves();
    }

    /** Runs queries, each on its own connection, and returns the longest duration in milliseconds. */
    private long longestQueryMs(int queries) throws Exception {
        long longest = 0;
        for (int k = 0; k < queries; k++) {
            long began = System.nanoTime();
            serves();
            longest = Math.max(longest, (System.nanoTime() - began) / 1_000_000);
        }
        return longest;
    }

    /** Netty stops accepting for a second after each failed accept, which delayed clients. */
    @Example
    void failedAcceptsDelayNoClient() throws Exception {
        startWithShim(engine(1));
        for (int every : new int[] {3, 2}) {
            shim.set(Fault.ACCEPT_EVERY, every);
            long longest = longestQueryMs(QUERIES);
            assertTrue(longest < MAX_QUERY_MS, "one in " + every + " accepts fails: a query took " + longest);
        }
        assertTrue(shim.get(Fault.FAILED_CALLS) > QUERIES / 4, "failures: " + shim.get(Fault.FAILED_CALLS));
    }

    /** While all accepts fail, the loop must not spin; once they work, waiting clients are served soon. */
    @Example
    void loopDoesNotSpinWhileAllAcceptsFail() throws Exception {
        startWithShim(engine(1));
        shim.set(Fault.ACCEPT_EVERY, 1);
        Client waitingClient = client().send(Client.query(1, Client.trace(), PATIENCE, "select"));
        Thread.sleep(1_000);
        long failures = shim.get(Fault.FAILED_CALLS);
        assertTrue(failures > 5 && failures < 300, "accept attempts in a second: " + failures);
        shim.set(Fault.ACCEPT_EVERY, 0);
        long began = System.nanoTime();
        assertEquals(1L, waitingClient.read().get(1));
        long took = (System.nanoTime() - began) / 1_000_000;
        assertTrue(took < MAX_QUERY_MS, "served " + took + " ms after accepts work again");
        assertTrue(front.log.stream().filter(line -> line.contains("accept failed")).count() <= 10,
                front.log::toString);
    }

    /** Interrupted reads and writes, and those of only a few bytes, lose no data. */
    @Example
    void interruptedAndShortReadsAndWritesLoseNothing() throws Exception {
        startWithShim(engine(3));
        shim.set(Fault.READ_EVERY, 3);
        shim.set(Fault.WRITE_EVERY, 3);
        shim.set(Fault.SHORT_BYTES, 7);
        Client client = client();
        for (int id = 1; id <= 8; id++) {
            String trace = Client.trace();
            List<?> answer;
            try {
                answer = client.send(Client.query(id, trace, PATIENCE,
                        "select 1 from sales_17.orders")).read();
            } catch (java.io.IOException e) {
                throw new AssertionError("query " + id + ": " + front.log, e);
            }
            String rows = Client.rows(answer);
            assertEquals(3 * EngineStandIn.page(trace, 0).length(), rows == null ? 0 : rows.length());
        }
    }
}
