package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;
import reedspring.rig.Rig;

/**
 * Shutdown with short deadlines: SIGKILL follows 0.7 s after the longest one, and clients use their
 * connections for as long as these are open.
 */
class ShortDeadlinesIT extends StartedFrontTest {
    private static final int[] DEADLINES_MS = {100, 300, 1_200};
    private static final long SIGKILL_AFTER_DEADLINE_MS = 700;
    /** A request sent this shortly before the close may cross it; its client sends it again. */
    private static final long CROSSING_REQUEST_MS = 50;
    private static final int CLIENTS = 8;
    private static final long REQUEST_INTERVAL_MS = 10;

    private void startWith(int deadlineMs, EngineStandIn engine) throws Exception {
        journal = open(new JournalStandIn());
        String config = Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine.address(), "ready")));
        String deadline = "\"deadlineMs\":" + deadlineMs + ".0,";
        front = open(new Program(config.replace("\"aimMs\"", deadline + "\"aimMs\""))).awaitReady();
    }

    private long awaitExitMs(long sigtermNanos) throws Exception {
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS), "the front does not exit");
        assertEquals(0, front.process.exitValue(), front.log::toString);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sigtermNanos);
    }

    /** Sends queries one at a time until the connection closes; returns what was lost, or null. */
    private String requestUntilClosed(Client client, int deadlineMs) {
        long sentAt = 0;
        int id = 0;
        try {
            while (true) {
                id++;
                sentAt = System.nanoTime();
                client.send(Client.query(id, Client.trace(), deadlineMs, "select"));
                if (!client.read().get(1).equals((long) id)) {
                    return "another's answer";
                }
                Thread.sleep(REQUEST_INTERVAL_MS);
            }
        } catch (IOException e) {
            long openFor = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            return openFor < CROSSING_REQUEST_MS ? null
                    : "query " + id + " unanswered, " + openFor + " ms: " + e;
        } catch (InterruptedException e) {
            return "interrupted";
        }
    }

    /** Every query is answered before SIGKILL, also those sent late on connections that are still open. */
    @Example
    void clientsThatSendUntilTheirConnectionsCloseLoseNothing() throws Exception {
        for (int deadlineMs : DEADLINES_MS) {
            startWith(deadlineMs, engine(1));
            List<CompletableFuture<String>> outcomes = new ArrayList<>();
            for (int k = 0; k < CLIENTS; k++) {
                Client client = client();
                outcomes.add(CompletableFuture.supplyAsync(() -> requestUntilClosed(client, deadlineMs)));
            }
            Thread.sleep(300);
            long sigtermNanos = System.nanoTime();
            front.sendSignal("-TERM");
            long exitMs = awaitExitMs(sigtermNanos);
            for (CompletableFuture<String> each : outcomes) {
                assertEquals(null, each.get(10, TimeUnit.SECONDS), "deadline " + deadlineMs);
            }
            assertTrue(exitMs < deadlineMs + SIGKILL_AFTER_DEADLINE_MS, "deadline " + deadlineMs
                    + ": ended after " + exitMs + " ms");
            closeAll();
        }
    }

    /** Sends queries until one reaches the engine: a front just started may be slower than the deadline. */
    private void requestUntilOneIsSent(EngineStandIn engine, int deadlineMs) throws Exception {
        Client first = client();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Rig.TIMEOUT_S);
        for (int id = 1; engine.received("fetch").isEmpty(); id++) {
            assertTrue(System.nanoTime() < until, "no query reaches the engine");
            first.send(Client.query(id, Client.trace(), deadlineMs, "select")).read();
        }
    }

    /** The engine never answers, and clients neither read to the end of the stream nor close. */
    @Example
    void shutdownEndsBeforeSigkillWhateverOthersDo() throws Exception {
        for (int deadlineMs : DEADLINES_MS) {
            EngineStandIn silent = silentEngine();
            startWith(deadlineMs, silent);
            requestUntilOneIsSent(silent, deadlineMs);
            List<Client> clients = new ArrayList<>();
            for (int k = 0; k < CLIENTS; k++) {
                clients.add(client().send(Client.query(1, Client.trace(), deadlineMs, "select")));
            }
            long sigtermNanos = System.nanoTime();
            front.sendSignal("-TERM");
            for (Client client : clients) {
                assertEquals(1L, client.read().get(1));
            }
            long exitMs = awaitExitMs(sigtermNanos);
            System.out.println("deadline " + deadlineMs + " ms: ended " + exitMs + " ms after SIGTERM");
            assertTrue(exitMs < deadlineMs + SIGKILL_AFTER_DEADLINE_MS, "deadline " + deadlineMs
                    + ": ended after " + exitMs + " ms");
            closeAll();
        }
    }
}
