package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;

/** Of each query answered late, or never, the log tells how it went: docs/on-call.md has the lines. */
class DeadlineMissesIT extends Started {
    /** Well over what a front that has just started takes until it is stopped: it defers in time else. */
    private static final int PATIENCE_MS = 1_500;
    private static final int NAMED = 8;

    /** Stops the front until the query's time has passed by {@code lateMs}. */
    private void stoppedPastItsTime(int lateMs, Work last) throws Exception {
        front.signal("-STOP");
        try {
            Thread.sleep(PATIENCE_MS + lateMs);
            last.run();
        } finally {
            front.signal("-CONT");
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private String line(String event, String trace) throws InterruptedException {
        try {
            await(event, () -> front.logged(event + ": " + trace));
        } catch (AssertionError e) {
            throw new AssertionError(e.getMessage() + ": " + trace + " in " + front.log, e);
        }
        return front.log.stream().filter(line -> line.contains(event + ": " + trace)).findAny().orElseThrow();
    }

    @Example
    void anAnswerThatLeavesLateIsToldWithItsTimes() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        String trace = Client.trace();
        Client client = client().send(Client.query(1, trace, PATIENCE_MS, "select"));
        await("it at the engine", () -> engine.seen("fetch").size() == 1);
        stoppedPastItsTime(300, () -> { });
        assertEquals("Shed", Client.error(client.read()));
        String line = line("answer late", trace);
        assertTrue(line.matches(".*" + trace + " by [2-9][0-9]{2} ms; of " + PATIENCE_MS
                + " ms: sent [0-9]+, heard never, decided [0-9]+, ended [0-9]+; 1 submissions, "
                + "loop behind [1-9][0-9]+ ms; taken 0, attempt decided [0-9]+, sent [0-9]+, "
                + "attempt ended TIMED_OUT [0-9]+, deferred [0-9]+"), line);
        assertEquals(1, front.log.stream().filter(each -> each.contains(trace)).count(), "told once");
    }

    @Example
    void aClientThatGoesUnansweredPastItsTimeIsTold() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        String trace = Client.trace();
        String intime = Client.trace();
        Client client = client().send(Client.query(1, trace, PATIENCE_MS, "select"));
        Client early = client().send(Client.query(1, intime, PATIENCE, "select"));
        await("both at the engine", () -> engine.seen("fetch").size() == 2);
        stoppedPastItsTime(200, () -> {
            client.close();
            early.close();
        });
        line("query unanswered past its time, its client has gone", trace);
        assertTrue(front.log.stream().noneMatch(line -> line.contains(intime)), "it went in time");
    }

    /** It was told as unanswered; now it is answered, and there is nothing to tell. */
    @Example
    void aQueryOnAConnectionThatTheFrontEndsIsAnswered() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        String trace = Client.trace();
        Client client = client().send(Client.query(1, trace, PATIENCE, "select"));
        await("it at the engine", () -> engine.seen("fetch").size() == 1);
        client.send(new byte[] {(byte) 0xc1});
        assertEquals("Shed", Client.error(client.read()));
        assertTrue(client.ended());
        await("the end of the connection", () -> front.logged("client connection closed, broken framing"));
        assertTrue(front.log.stream().noneMatch(each -> each.contains(trace)), front.log.toString());
    }

    /** A long stop makes all that is out late; it must not fill the log, nor hide other lines. */
    @Example
    void onlySomeOfManyLateAnswersAreNamed() throws Exception {
        EngineStandIn engine = silentEngine();
        start(engine);
        Client client = client();
        List<String> traces = new ArrayList<>();
        for (int id = 1; id <= 3 * NAMED; id++) {
            traces.add(Client.trace());
            client.send(Client.query(id, traces.get(id - 1), PATIENCE_MS, "select"));
        }
        await("some at the engine", () -> !engine.seen("fetch").isEmpty());
        stoppedPastItsTime(300, () -> { });
        client.read(traces.size());
        await("the rest counted", () -> front.logged("answer late, details omitted"));
        assertEquals(NAMED, front.log.stream().filter(line -> line.contains("answer late: ")).count());
    }

    @Example
    void whatIsAnsweredInTimeIsNotTold() throws Exception {
        EngineStandIn engine = engine(1);
        start(engine);
        serves();
        EngineStandIn.Command first = engine.seen("fetch").get(0);
        Client client = client().send(Client.query(1, Client.trace(), PATIENCE_MS, "select"));
        client.read();
        client.close();
        serves();
        assertTrue(front.log.stream().noneMatch(line -> line.contains(first.id()) || line.contains("late")
                || line.contains("unanswered") || line.contains("dropped")), front.log.toString());
    }
}
