package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;

/** Each query answered late, or never, is logged with its steps; docs/on-call.md describes the lines. */
class DeadlineMissesIT extends StartedFrontTest {
    /** Long enough that a front just started is stopped before it would defer the query in time. */
    private static final int CLIENT_TIMEOUT_MS = 1_500;
    private static final int MAX_LOGGED = 8;

    /** Stops the front until {@code lateMs} after the client's deadline. */
    private void stopPastDeadline(int lateMs, Work lastAction) throws Exception {
        front.sendSignal("-STOP");
        try {
            Thread.sleep(CLIENT_TIMEOUT_MS + lateMs);
            lastAction.run();
        } finally {
            front.sendSignal("-CONT");
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private String awaitLine(String event, String trace) throws InterruptedException {
        try {
            await(event, () -> front.logged(event + ": " + trace));
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ": " + trace + " in " + front.log, e);
        }
        return front.log.stream().filter(line -> line.contains(event + ": " + trace)).findAny().orElseThrow();
    }

    @Example
    void aLateAnswerIsLoggedWithItsTimes() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        String trace = Client.trace();
        Client client = client().send(Client.query(1, trace, CLIENT_TIMEOUT_MS, "select"));
        await("it at the engine", () -> engine.received("fetch").size() == 1);
        stopPastDeadline(300, () -> { });
        assertEquals("Shed", Client.error(client.read()));
        String line = awaitLine("answer late", trace);
        assertTrue(line.matches(".*" + trace + " by [2-9][0-9]{2} ms; of " + CLIENT_TIMEOUT_MS
                + " ms: sent [0-9]+, heard never, decided [0-9]+, ended [0-9]+; 1 submissions, "
                + "loop behind [1-9][0-9]+ ms; taken 0, attempt decided [0-9]+, sent [0-9]+, "
                + "attempt ended TIMED_OUT [0-9]+, deferred [0-9]+"), line);
        assertEquals(1, front.log.stream().filter(each -> each.contains(trace)).count(), "logged once");
    }

    @Example
    void aClientThatLeavesUnansweredPastTheDeadlineIsLogged() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        String trace = Client.trace();
        String traceInTime = Client.trace();
        Client client = client().send(Client.query(1, trace, CLIENT_TIMEOUT_MS, "select"));
        Client clientInTime = client().send(Client.query(1, traceInTime, PATIENCE, "select"));
        await("both at the engine", () -> engine.received("fetch").size() == 2);
        stopPastDeadline(200, () -> {
            client.close();
            clientInTime.close();
        });
        awaitLine("query unanswered past its time, its client has gone", trace);
        assertTrue(front.log.stream().noneMatch(line -> line.contains(traceInTime)), "it left in time");
    }

    /** Such a query was once dropped and logged as unanswered; it must be answered, and not logged. */
    @Example
    void aQueryOnAConnectionThatTheFrontClosesIsAnswered() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        String trace = Client.trace();
        Client client = client().send(Client.query(1, trace, PATIENCE, "select"));
        await("it at the engine", () -> engine.received("fetch").size() == 1);
        client.send(new byte[] {(byte) 0xc1});
        assertEquals("Shed", Client.error(client.read()));
        assertTrue(client.closedByFront());
        await("the end of the connection", () -> front.logged("client connection closed, broken framing"));
        assertTrue(front.log.stream().noneMatch(each -> each.contains(trace)), front.log.toString());
    }

    /** A long stall makes all open queries late; they must not fill the log or suppress other lines. */
    @Example
    void onlySomeOfManyLateAnswersAreLogged() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        Client client = client();
        List<String> traces = new ArrayList<>();
        for (int id = 1; id <= 3 * MAX_LOGGED; id++) {
            traces.add(Client.trace());
            client.send(Client.query(id, traces.get(id - 1), CLIENT_TIMEOUT_MS, "select"));
        }
        await("a query at the engine", () -> !engine.received("fetch").isEmpty());
        stopPastDeadline(300, () -> { });
        client.read(traces.size());
        await("the count of the others", () -> front.logged("answer late, details omitted"));
        assertEquals(MAX_LOGGED, front.log.stream().filter(line -> line.contains("answer late: ")).count());
    }

    @Example
    void anAnswerInTimeIsNotLogged() throws Exception {
        EngineStandIn engine = engine(1);
        start(engine);
        serves();
        EngineStandIn.Command first = engine.received("fetch").get(0);
        Client client = client().send(Client.query(1, Client.trace(), CLIENT_TIMEOUT_MS, "select"));
        client.read();
        client.close();
        serves();
        assertTrue(front.log.stream().noneMatch(line -> line.contains(first.id()) || line.contains("late")
                || line.contains("unanswered") || line.contains("dropped")), front.log.toString());
    }
}
