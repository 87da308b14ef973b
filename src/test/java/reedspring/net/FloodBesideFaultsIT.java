package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.Rig.await;

import java.nio.file.Files;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.EngineStandIn.Command;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;
import reedspring.rig.Rig;
import reedspring.rig.SteadyClients;

/** A started front beside bad clients, and another disruption at the same time. */
class FloodBesideFaultsIT extends FloodTest {
    private static final long NANOS_PER_MS = 1_000_000;
    /** By the rules: half a second after a drain notice, and 50 ms on sockets. */
    private static final long LATEST_SUBMISSION_MS = 550;
    private static final long READY_WITHIN_MS = 10_000;
    private static final int ENGINE_DELAY_MS = 300;
    private static final int COPY_DELAY_MS = 150;
    private static final int COPIES = 12;
    private static final String OWN = "select 1 from sales_17.orders";
    private static final String FOREIGN = "select 1 from copied_1.orders";

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }

    /** SIGKILL would come 3.7 s later at the earliest. */
    @Example
    void onSigtermBesideAFloodTheFrontEndsInTime() throws Exception {
        start(engine(1), silentEngine(), engine(1));
        startFlood();
        checkTermination();
    }

    @Example
    void onSigtermBesideAStormTheFrontEndsInTime() throws Exception {
        start(engine(1), silentEngine(), engine(1));
        startStorm();
        checkTermination();
    }

    private void checkTermination() throws Exception {
        SteadyClients steady = startSteadyClients();
        Thread.sleep(FLOOD_MS / 2);
        terminate();
        checkAnswers(steady);
    }

    @Example
    void aReloadBesideAFloodIsFollowed() throws Exception {
        EngineStandIn kept = engine(1);
        EngineStandIn drained = engine(1);
        start(kept, drained);
        startFlood();
        checkReload(kept, drained);
    }

    @Example
    void aReloadBesideAStormIsFollowed() throws Exception {
        EngineStandIn kept = engine(1);
        EngineStandIn drained = engine(1);
        start(kept, drained);
        startStorm();
        checkReload(kept, drained);
    }

    /** A new configuration names another journal service, which drains one of the engines. */
    private void checkReload(EngineStandIn kept, EngineStandIn drained) throws Exception {
        SteadyClients steady = startSteadyClients();
        Thread.sleep(FLOOD_MS / 2);
        String keptRow = engineRow("e0", kept.address(), "ready");
        JournalStandIn next = open(new JournalStandIn());
        next.publish(true, keptRow, engineRow("e1", drained.address(), "ready"));
        String config = Files.readString(front.configFile());
        front.reload(config.replace(journal.address(), next.address()));
        await("a request at the new journal service", () -> !next.requestNanos.isEmpty());
        next.publish(true, keptRow, engineRow("e1", drained.address(), "draining"));
        long drainNanos = System.nanoTime();
        Thread.sleep(FLOOD_MS / 2);
        checkAnswers(steady);
        List<Command> submissions = drained.received("fetch");
        long lastNanos = submissions.get(submissions.size() - 1).firstByteNanos();
        assertTrue(lastNanos - drainNanos <= LATEST_SUBMISSION_MS * NANOS_PER_MS, () -> "submission "
                + (lastNanos - drainNanos) / NANOS_PER_MS + " ms after the drain notice: " + front.log);
    }

    @Example
    void aRestartBesideAFloodServesSoon() throws Exception {
        start(engine(1), engine(1));
        startFlood();
        checkRestart();
    }

    @Example
    void aRestartBesideAStormServesSoon() throws Exception {
        start(engine(1), engine(1));
        startStorm();
        checkRestart();
    }

    /** The bad clients and the steady ones go on connecting while the front ends and starts again. */
    private void checkRestart() throws Exception {
        SteadyClients before = startSteadyClients();
        Thread.sleep(FLOOD_MS / 2);
        terminate();
        checkAnswers(before);
        long startNanos = System.nanoTime();
        front = open(new Program(Files.readString(front.configFile()))).awaitReady();
        long tookMs = millisSince(startNanos);
        assertTrue(tookMs <= READY_WITHIN_MS, "ready after " + tookMs + " ms");
        SteadyClients after = startSteadyClients();
        Thread.sleep(FLOOD_MS);
        checkAnswers(after);
    }

    /** Queries that the hanging engines hold are answered in time, too. */
    @Example
    void hangingEnginesBesideAFloodDelayNoAnswer() throws Exception {
        start(silentEngine(), engine(1), silentEngine());
        startFlood();
        SteadyClients steady = startSteadyClients();
        Thread.sleep(FLOOD_MS);
        checkAnswers(steady);
    }

    /**
     * Another client sends the trace of an open query with a statement of its own. Review case 1: a front
     * that read its sockets late and out of order took the copy for the original.
     */
    @Example
    void aCopiedTraceBesideAFloodGoesToNoEngine() throws Exception {
        EngineStandIn slow = open(new EngineStandIn(command -> {
            if (command.word().equals("fetch")) {
                Rig.sleep(ENGINE_DELAY_MS);
                command.answer("data", "sheets=1,toil=3.5,room=12", EngineStandIn.page(command.id(), 0));
            }
        }));
        EngineStandIn fast = engine(1);
        start(slow, fast);
        startFlood();
        SteadyClients steady = startSteadyClients();
        for (int k = 0; k < COPIES; k++) {
            String trace = Client.trace();
            Client owner = client().send(Client.query(1, trace, PATIENCE_MS, OWN));
            Thread.sleep(COPY_DELAY_MS);
            List<?> answer = client().send(Client.query(1, trace, PATIENCE_MS, FOREIGN)).read();
            assertTrue(Client.error(answer) != null, () -> "served: " + answer);
            owner.read();
        }
        checkAnswers(steady);
        assertEquals(List.of(), Stream.of(slow, fast).flatMap(engine -> engine.received("fetch").stream())
                .filter(command -> command.words().get(3).equals(FOREIGN)).toList());
    }
}
