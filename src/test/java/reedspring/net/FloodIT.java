package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.EngineStandIn.Command;
import reedspring.rig.FloodingClients;
import reedspring.rig.SteadyClients;

/**
 * A started front, one or some of whose peers send as much as it takes. Each request of the other clients
 * still gets its final answer in time; docs/incidents/client-flood.md.
 */
class FloodIT extends StartedFrontTest {
    private static final int STEADY_CLIENTS = 10;
    private static final int INTERVAL_MS = 100;
    private static final int PATIENCE_MS = 1_000;
    /** By the rules: half a second after the request's time, and 50 ms on sockets. */
    private static final int LATEST_ANSWER_MS = PATIENCE_MS + 550;
    private static final int FLOOD_MS = 3_000;
    private static final int OPEN_REQUESTS = 300;
    private static final int SLOW_BYTES_PER_SECOND = 1 << 22;
    private static final int LONG_STALL_MS = 10_500;
    private static final String STATEMENT = "select 1 from flood_3.t where x = '" + "x".repeat(250) + "'";

    private static byte[] request(int id) {
        return Client.query(id, Client.trace(), PATIENCE_MS, STATEMENT);
    }

    private static byte[] requestOf(String method, int id) {
        return Client.pack(List.of(0, id, method, List.of(Client.fields(Client.trace(), PATIENCE_MS),
                STATEMENT.getBytes(StandardCharsets.UTF_8))));
    }

    private static byte[] heartbeat(int id) {
        return Client.pack(List.of(0, id, "heartbeat", List.of(Map.of())));
    }

    private static byte[] revoke(int id) {
        return Client.pack(List.of(2, "revoke", List.of(id)));
    }

    private static byte[] requestAndRevoke(int id) {
        byte[] request = request(id);
        byte[] revoke = revoke(id);
        byte[] both = Arrays.copyOf(request, request.length + revoke.length);
        System.arraycopy(revoke, 0, both, request.length, revoke.length);
        return both;
    }

    /** Runs the steady clients beside the flood and checks that none of their requests is late or lost. */
    private void checkSteadyClients(AutoCloseable flood) throws Exception {
        open(flood);
        SteadyClients steady = open(new SteadyClients(front.listenAddress, STEADY_CLIENTS, INTERVAL_MS,
                PATIENCE_MS));
        Thread.sleep(FLOOD_MS);
        SteadyClients.Result result = steady.stop();
        assertEquals(List.of(), result.lost(), () -> result + " " + front.log);
        assertTrue(result.longestMs() <= LATEST_ANSWER_MS, () -> result + " " + front.log);
        assertTrue(result.answered() >= STEADY_CLIENTS, result::toString);
        assertTrue(front.process.isAlive(), "the front has ended");
    }

    private void checkWithFlood(int clients, int maxOpen, IntFunction<byte[]> messages) throws Exception {
        start(engine(1), engine(1));
        checkSteadyClients(new FloodingClients(front.listenAddress, clients, maxOpen, messages));
    }

    /** Review case 1: the loop read one socket for as long as its client refilled it, others waited 11 s. */
    @Example
    void clientsThatRefillTheirSocketsDelayNoOther() throws Exception {
        checkWithFlood(10, OPEN_REQUESTS, FloodIT::request);
    }

    /** The same with many clients that send little each. */
    @Example
    void manyClientsWithFewRequestsDelayNoOther() throws Exception {
        checkWithFlood(150, 20, FloodIT::request);
    }

    /** Small messages: a read of 16 kB holds hundreds of them. */
    @Example
    void smallMessagesDelayNoOther() throws Exception {
        checkWithFlood(20, 1_000, FloodIT::heartbeat);
    }

    /** Messages without an answer, sent without a pause. */
    @Example
    void revokesWithoutAPauseDelayNoOther() throws Exception {
        checkWithFlood(20, FloodingClients.UNLIMITED, FloodIT::revoke);
    }

    /** Large requests. */
    @Example
    void largeRequestsDelayNoOther() throws Exception {
        byte[] statement = ("select 1 from flood_3.t where x = '" + "x".repeat(200_000) + "'")
                .getBytes(StandardCharsets.UTF_8);
        checkWithFlood(10, 40, id -> Client.pack(List.of(0, id, "lookup",
                List.of(Client.fields(Client.trace(), PATIENCE_MS), statement))));
    }

    /** Requests that are refused at once, as no class has their name. */
    @Example
    void refusedRequestsDelayNoOther() throws Exception {
        checkWithFlood(10, OPEN_REQUESTS, id -> requestOf("unknown", id));
    }

    /** Requests that are withdrawn in the next message, sent without a pause. */
    @Example
    void revokedRequestsDelayNoOther() throws Exception {
        checkWithFlood(10, FloodingClients.UNLIMITED, FloodIT::requestAndRevoke);
    }

    /** SIGTERM beside a flood and a hanging engine: SIGKILL would come 3.7 s later at the earliest. */
    @Example
    void onSigtermBesideAFloodTheFrontEndsInTime() throws Exception {
        start(engine(1), silentEngine(), engine(1));
        open(new FloodingClients(front.listenAddress, 8, OPEN_REQUESTS, FloodIT::request));
        SteadyClients steady = open(new SteadyClients(front.listenAddress, STEADY_CLIENTS, INTERVAL_MS,
                PATIENCE_MS));
        Thread.sleep(FLOOD_MS / 2);
        long sigtermNanos = System.nanoTime();
        front.process.toHandle().destroy();
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS));
        long tookMs = (System.nanoTime() - sigtermNanos) / 1_000_000;
        assertEquals(0, front.process.exitValue());
        assertTrue(tookMs < 3_700, "ended " + tookMs + " ms after SIGTERM: " + front.log);
        SteadyClients.Result result = steady.stop();
        assertEquals(List.of(), result.lost(), () -> result + " " + front.log);
        assertTrue(result.longestMs() <= LATEST_ANSWER_MS, () -> result + " " + front.log);
    }

    /** After a turn of 11 s the front cut off clients with unread answers, as if they had read nothing. */
    @Example
    void aLongStallCutsOffNoClientWithUnreadAnswers() throws Exception {
        start(engine(8));
        int queries = 16;
        Client client = open(new Client(Integer.parseInt(front.listenAddress.substring(
                front.listenAddress.indexOf(':') + 1)), SLOW_BYTES_PER_SECOND));
        for (int id = 1; id <= queries; id++) {
            client.send(Client.query(id, Client.trace(), PATIENCE, "select"));
        }
        Thread.sleep(FLOOD_MS / 2);
        front.sendSignal("-STOP");
        Thread.sleep(LONG_STALL_MS);
        front.sendSignal("-CONT");
        Thread.sleep(FLOOD_MS / 2);
        Map<Long, List<?>> answers = client.read(queries);
        assertTrue(answers.values().stream().allMatch(answer -> Client.rows(answer) != null),
                front.log::toString);
    }

    /** An engine that reports progress without a pause and answers nothing. */
    @Example
    void floodingEngineDelaysNoOther() throws Exception {
        AtomicBoolean flooding = new AtomicBoolean(true);
        EngineStandIn flooder = open(new EngineStandIn(command -> {
            if (command.word().equals("fetch")) {
                startReporting(command, flooding);
            }
        }));
        start(flooder, engine(1));
        checkSteadyClients(() -> flooding.set(false));
    }

    private static void startReporting(Command command, AtomicBoolean flooding) {
        String reports = Command.encodeAnswer(command.id(), "news", "why=done,val=0.1", "").repeat(500);
        Thread thread = new Thread(() -> {
            while (flooding.get()) {
                command.answerRaw(reports);
            }
        }, "flooding engine");
        thread.setDaemon(true);
        thread.start();
    }

    /** A journal service that sends a list of all engines again and again. */
    @Example
    void floodingJournalDelaysNoOther() throws Exception {
        EngineStandIn used = engine(1);
        start(used);
        String[] rows = new String[80];
        rows[0] = engineRow("e0", used.address(), "ready");
        for (int k = 1; k < rows.length; k++) {
            rows[k] = engineRow("d" + k, "127.0.0.1:" + (k + 1), "draining");
        }
        AtomicBoolean flooding = new AtomicBoolean(true);
        Thread publisher = new Thread(() -> {
            while (flooding.get()) {
                journal.publish(true, rows);
            }
        }, "flooding journal");
        publisher.setDaemon(true);
        publisher.start();
        checkSteadyClients(() -> flooding.set(false));
    }
}
