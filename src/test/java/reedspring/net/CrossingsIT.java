package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/**
 * Races between two events, found by fault injection before production: docs/incidents/fault-hunt.md has a
 * row for each.
 */
class CrossingsIT extends StartedFrontTest {
    private static final byte[] INVALID_MESSAGEPACK = {(byte) 0xc1, (byte) 0xc1};

    /** An engine that answers nothing by itself and collects its fetch commands. */
    private EngineStandIn holdingEngine(List<EngineStandIn.Command> held) throws IOException {
        return open(new EngineStandIn(command -> {
            if (command.word().equals("fetch")) {
                held.add(command);
            }
        }));
    }

    private boolean served() {
        try {
            serves();
            return true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- a client connection that the front has to close

    /** Queries accepted before the malformed bytes are still answered. */
    @Example
    void queriesOnAConnectionWithBrokenFramingAreAnswered() throws Exception {
        List<EngineStandIn.Command> held = new CopyOnWriteArrayList<>();
        start(holdingEngine(held));
        Client client = client().send(Client.query(1, Client.trace(), PATIENCE, "a"),
                Client.query(2, Client.trace(), PATIENCE, "b"));
        await("both queries at the engine", () -> held.size() == 2);
        client.send(INVALID_MESSAGEPACK);
        Map<Long, List<?>> answers = client.read(2);
        assertTrue(answers.values().stream().allMatch(answer -> "Shed".equals(Client.error(answer))),
                answers::toString);
        assertTrue(client.closedByFront());
    }

    /** A mutating query that may have run must not be reported as safe to retry. */
    @Example
    void mutatingQueryOnAConnectionWithBrokenFramingFails() throws Exception {
        List<EngineStandIn.Command> held = new CopyOnWriteArrayList<>();
        EngineStandIn engine = holdingEngine(held);
        journal = open(new JournalStandIn());
        front = open(new Program(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine.address(), "ready")))
                .replace("\"effect\":\"repeatable\"", "\"effect\":\"once\""))).awaitReady();
        Client client = client().send(Client.query(1, Client.trace(), PATIENCE, "insert"));
        await("the query at the engine", () -> held.size() == 1);
        client.send(INVALID_MESSAGEPACK);
        assertEquals("Fault", Client.error(client.read()));
        assertTrue(client.closedByFront());
    }

    /** A reused request id fails only the queries with that id; the others on the connection are answered. */
    @Example
    void duplicateIdDoesNotAffectOtherQueries() throws Exception {
        List<EngineStandIn.Command> held = new CopyOnWriteArrayList<>();
        start(holdingEngine(held));
        Client client = client().send(Client.query(1, Client.trace(), PATIENCE, "other"),
                Client.query(2, Client.trace(), PATIENCE, "first"));
        await("both queries at the engine", () -> held.size() == 2);
        client.send(Client.query(2, Client.trace(), PATIENCE, "second"));
        Map<Long, List<?>> answers = client.read(2);
        assertEquals("Shed", Client.error(answers.get(1L)));
        assertEquals("Fault", Client.error(answers.get(2L)));
        assertTrue(client.closedByFront());
    }

    /** Such a client was once disconnected after 1.25 s, and its running query was lost. */
    @Example
    void slowlyWritingClientKeepsItsConnectionAndQueries() throws Exception {
        List<EngineStandIn.Command> held = new CopyOnWriteArrayList<>();
        EngineStandIn engine = holdingEngine(held);
        start(engine);
        String trace = Client.trace();
        Client client = client().send(Client.query(1, trace, PATIENCE, "select"));
        await("the query at the engine", () -> held.size() == 1);
        byte[] next = Client.query(2, Client.trace(), PATIENCE, "x".repeat(400));
        int pieces = 25;
        for (int k = 0; k < pieces; k++) {
            client.send(Arrays.copyOfRange(next, k * next.length / pieces, (k + 1) * next.length / pieces));
            Thread.sleep(100);
        }
        await("the second query at the engine", () -> held.size() == 2);
        EngineStandIn.answerWithPages(1).accept(held.get(0));
        assertEquals(EngineStandIn.page(trace, 0), Client.rows(client.read()));
        EngineStandIn.answerWithPages(1).accept(held.get(1));
        assertNotEquals(null, Client.rows(client.read()));
    }

    /** An unfinished message closes its connection, but only after the open queries have been answered. */
    @Example
    void unfinishedMessageDoesNotAffectOtherQueries() throws Exception {
        List<EngineStandIn.Command> held = new CopyOnWriteArrayList<>();
        start(holdingEngine(held));
        String trace = Client.trace();
        Client client = client().send(Client.query(1, trace, PATIENCE, "select"));
        await("the query at the engine", () -> held.size() == 1);
        client.send(Arrays.copyOf(Client.query(2, Client.trace(), PATIENCE, "select"), 30));
        Thread.sleep(2_500);
        EngineStandIn.answerWithPages(1).accept(held.get(0));
        assertEquals(EngineStandIn.page(trace, 0), Client.rows(client.read()));
        assertTrue(client.closedByFront(), "the unfinished message ends the connection");
    }

    // ---- the journal

    /** Each subscription was dropped after 1.8 s of silence, so a slower service was never followed. */
    @Example
    void slowJournalIsFollowed() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        journal = open(new JournalStandIn());
        journal.responseDelayMs = 3_000;
        journal.publish(true, engineRow("e0", first.address(), "ready"));
        journal.publish(false, engineRow("e0", first.address(), "draining"),
                engineRow("e1", second.address(), "ready"));
        long began = System.nanoTime();
        front = open(new Program(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", first.address(), "ready"))))).awaitReady();
        await("the new engine in use", () -> served() && !second.received("fetch").isEmpty());
        long tookMs = (System.nanoTime() - began) / 1_000_000;
        assertTrue(tookMs < 7_000, "the list has to be in effect after 7 s: " + tookMs);
    }

    /** The malformed event came again with each subscription, and no later event was ever read. */
    @Example
    void malformedEventDoesNotBlockLaterEvents() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        journal = open(new JournalStandIn());
        journal.publish(true, engineRow("e0", first.address(), "ready"));
        journal.publish(false, engineRow("e0", first.address(), "no such state"));
        journal.publish(false, engineRow("e0", first.address(), "draining"),
                engineRow("e1", second.address(), "ready"));
        front = open(new Program(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", first.address(), "ready"))))).awaitReady();
        await("the new engine in use", () -> served() && !second.received("fetch").isEmpty());
        int before = first.received("fetch").size();
        serves();
        assertEquals(before, first.received("fetch").size(), "sent to a draining engine");
    }

    /** The configuration file is missing when SIGHUP arrives, and no further signal follows. */
    @Example
    void reloadIsRetriedWhileTheFileIsMissing() throws Exception {
        start(engine(1));
        JournalStandIn next = open(new JournalStandIn());
        Path away = Files.createTempFile("reedspring", ".next");
        Files.writeString(away, Program.configJson(front.listenAddress, next.address()));
        Files.delete(front.configFile());
        front.sendSignal("-HUP");
        await("the log line", () -> front.logged("configuration can't be used, nothing changed"));
        Files.move(away, front.configFile(), StandardCopyOption.REPLACE_EXISTING);
        await("the subscription at the new address", () -> !next.requestPositions.isEmpty());
    }

    // ---- start and submissions

    /** The previous process may still be running when the next one starts. */
    @Example
    void startWaitsForAnAddressInUse() throws Exception {
        String listen = Program.freeAddress();
        journal = open(new JournalStandIn());
        EngineStandIn engine = engine(1);
        try (ServerSocket before = new ServerSocket(Integer.parseInt(listen.substring(listen.indexOf(':')
                + 1)),
                1, InetAddress.getLoopbackAddress())) {
            front = open(new Program(Program.configJson(listen, journal.address(),
                    event(1, true, engineRow("e0", engine.address(), "ready")))));
            await("the subscription", () -> !journal.requestPositions.isEmpty() || !front.process.isAlive());
            Thread.sleep(500);
            assertTrue(before.isBound());
        }
        front.awaitReady();
        serves();
    }

    /** A mutating query that was never sent was answered as if it might have run. */
    @Example
    void unsentMutatingQueryIsSafeToRetry() throws Exception {
        EngineStandIn late = open(EngineStandIn.withFullBacklog(EngineStandIn.answerWithPages(1)));
        journal = open(new JournalStandIn());
        front = open(new Program(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", late.address(), "ready")))
                .replace("\"effect\":\"repeatable\"", "\"effect\":\"once\"")
                .replace("\"connectTimeoutMs\":250.0", "\"connectTimeoutMs\":4000.0"))).awaitReady();
        List<?> answer = client().send(Client.query(1, Client.trace(), 800, "insert")).read();
        assertEquals("Shed", Client.error(answer));
        assertTrue(late.received("fetch").isEmpty());
    }
}
