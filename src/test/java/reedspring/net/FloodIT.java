package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
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
class FloodIT extends FloodTest {
    private static final int SLOW_BYTES_PER_SECOND = 1 << 22;
    private static final int LONG_STALL_MS = 10_500;
    private static final int ANSWERS_PER_WRITE = 500;

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
        SteadyClients steady = startSteadyClients();
        Thread.sleep(FLOOD_MS);
        checkAnswers(steady);
        assertTrue(front.process.isAlive(), "the front has ended");
    }

    private void checkWithFlood(int clients, int maxOpen, IntFunction<byte[]> messages) throws Exception {
        start(engine(1), engine(1));
        checkSteadyClients(new FloodingClients(front.listenAddress, clients, maxOpen, messages));
    }

    /** Review case 1: the loop read one socket for as long as its client refilled it, others waited 11 s. */
    @Example
    void clientsThatRefillTheirSocketsDelayNoOther() throws Exception {
        checkWithFlood(10, OPEN_REQUESTS, FloodTest::request);
    }

    /** The same with many clients that send little each. */
    @Example
    void manyClientsWithFewRequestsDelayNoOther() throws Exception {
        checkWithFlood(150, 20, FloodTest::request);
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

    /** Requests whose trace an earlier one had, so that each is refused. */
    @Example
    void repeatedRequestsDelayNoOther() throws Exception {
        String trace = Client.trace();
        checkWithFlood(10, OPEN_REQUESTS, id -> Client.query(id, trace, PATIENCE_MS, STATEMENT));
    }

    /** Requests that are withdrawn in the next message, sent without a pause. */
    @Example
    void revokedRequestsDelayNoOther() throws Exception {
        checkWithFlood(10, FloodingClients.UNLIMITED, FloodIT::requestAndRevoke);
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
        checkWithFloodingEngine((command, flooding) -> startRepeating(command,
                Command.encodeAnswer(command.id(), "news", "why=done,val=0.1", ""), flooding));
    }

    /** An engine that answers, and repeats one answer on each connection without a pause. */
    @Example
    void repeatedAnswersOfAnEngineDelayNoOther() throws Exception {
        Set<Socket> floodedConnections = ConcurrentHashMap.newKeySet();
        checkWithFloodingEngine((command, flooding) -> {
            String answer = Command.encodeAnswer(command.id(), "data", "sheets=1,toil=3.5,room=12",
                    EngineStandIn.page(command.id(), 0));
            command.answerRaw(answer);
            if (floodedConnections.add(command.connection())) {
                startRepeating(command, answer, flooding);
            }
        });
    }

    /** One of two engines handles each query as given, until the flag is false. */
    private void checkWithFloodingEngine(BiConsumer<Command, AtomicBoolean> queryHandler) throws Exception {
        AtomicBoolean flooding = new AtomicBoolean(true);
        EngineStandIn flooder = open(new EngineStandIn(command -> {
            if (command.word().equals("fetch")) {
                queryHandler.accept(command, flooding);
            }
        }));
        start(flooder, engine(1));
        checkSteadyClients(() -> flooding.set(false));
    }

    private static void startRepeating(Command command, String answer, AtomicBoolean flooding) {
        String answers = answer.repeat(ANSWERS_PER_WRITE);
        Thread thread = new Thread(() -> {
            while (flooding.get() && !command.connection().isClosed()) {
                command.answerRaw(answers);
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
