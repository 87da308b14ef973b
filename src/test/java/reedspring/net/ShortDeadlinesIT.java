package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;

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

/** SIGKILL comes 0.7 s past the longest deadline; clients use their connections while these are open. */
class ShortDeadlinesIT extends Started {
    private static final int[] DEADLINES_MS = {100, 300, 1_200};
    private static final long KILLED_AFTER_DEADLINE_MS = 700;
    /** A request that crosses the end of its connection within that time is sent again by its client. */
    private static final long CROSSING_MS = 50;
    private static final int CLIENTS = 8;
    private static final long ASKS_EVERY_MS = 10;

    private void startWith(int deadlineMs, EngineStandIn engine) throws Exception {
        journal = open(new JournalStandIn());
        String config = Program.config(Program.freeAddress(), journal.address(),
                event(1, true, host("e0", engine.address(), "ready")));
        String deadline = "\"deadlineMs\":" + deadlineMs + ".0,";
        front = open(new Program(config.replace("\"aimMs\"", deadline + "\"aimMs\""))).ready();
    }

    private long endedAfterMs(long term) throws Exception {
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS), "it does not end");
        assertEquals(0, front.process.exitValue(), front.log::toString);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - term);
    }

    /** Asks one query after another, each once the one before is answered; what was lost, or null. */
    private String asksUntilTheEnd(Client client, int deadlineMs) {
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
                Thread.sleep(ASKS_EVERY_MS);
            }
        } catch (IOException e) {
            long openFor = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
            return openFor < CROSSING_MS ? null : "query " + id + " unanswered, " + openFor + " ms: " + e;
        } catch (InterruptedException e) {
            return "interrupted";
        }
    }

    /** Each has its answer before SIGKILL, also what comes late on connections that stay open. */
    @Example
    void clientsThatAskUntilTheirConnectionsEndLoseNothing() throws Exception {
        for (int deadlineMs : DEADLINES_MS) {
            startWith(deadlineMs, engine(1));
            List<CompletableFuture<String>> asked = new ArrayList<>();
            for (int k = 0; k < CLIENTS; k++) {
                Client client = client();
                asked.add(CompletableFuture.supplyAsync(() -> asksUntilTheEnd(client, deadlineMs)));
            }
            Thread.sleep(300);
            long term = System.nanoTime();
            front.signal("-TERM");
            long ended = endedAfterMs(term);
            for (CompletableFuture<String> each : asked) {
                assertEquals(null, each.get(10, TimeUnit.SECONDS), "deadline " + deadlineMs);
            }
            assertTrue(ended < deadlineMs + KILLED_AFTER_DEADLINE_MS, "deadline " + deadlineMs
                    + ": ended after " + ended + " ms");
            closeAll();
        }
    }

    /** The first turns of a front that has just started may take longer than such a deadline. */
    private void asksUntilOneIsOut(EngineStandIn engine, int deadlineMs) throws Exception {
        Client first = client();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Rig.PATIENCE_S);
        for (int id = 1; engine.seen("fetch").isEmpty(); id++) {
            assertTrue(System.nanoTime() < until, "no query reaches the engine");
            first.send(Client.query(id, Client.trace(), deadlineMs, "select")).read();
        }
    }

    /** Engines hang through the whole of it, and clients neither read to the end nor close. */
    @Example
    void theEndComesBeforeSigkillWhateverOthersDo() throws Exception {
        for (int deadlineMs : DEADLINES_MS) {
            EngineStandIn silent = silentEngine();
            startWith(deadlineMs, silent);
            asksUntilOneIsOut(silent, deadlineMs);
            List<Client> clients = new ArrayList<>();
            for (int k = 0; k < CLIENTS; k++) {
                clients.add(client().send(Client.query(1, Client.trace(), deadlineMs, "select")));
            }
            long term = System.nanoTime();
            front.signal("-TERM");
            for (Client client : clients) {
                assertEquals(1L, client.read().get(1));
            }
            long ended = endedAfterMs(term);
            System.out.println("deadline " + deadlineMs + " ms: ended " + ended + " ms after SIGTERM");
            assertTrue(ended < deadlineMs + KILLED_AFTER_DEADLINE_MS, "deadline " + deadlineMs
                    + ": ended after " + ended + " ms");
            closeAll();
        }
    }
}
