package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** The journal service of a started front: resumption, malformed events, and reloads on SIGHUP. */
class JournalIT extends StartedFrontTest {
    @Example
    void theJournalIsResumedByNumberAndAMalformedEventKeepsTheList() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        startWith(engineRow("e0", first.address(), "ready"));
        await("the call", () -> journal.requestPositions.equals(List.of("1")));
        String secondEvent = "id: 2\r\n: a comment\r\ndata: "
                + event(2, false, engineRow("e1", second.address(), "ready")) + "\r\n\r\n";
        journal.send("id: 1\ndata: " + event(1, true) + "\n\n" + secondEvent.substring(0, 40));
        journal.send(secondEvent.substring(40));
        await("the second engine in use", () -> {
            try {
                serves();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return !second.received.isEmpty();
        });
        journal.send("id: 3\ndata: {\"pos\":3,\"hosts\":{\"hosts\":[{\"host\":\"e0\"}]}}\n\n");
        await("the second call", () -> journal.requestPositions.equals(List.of("1", "2")));
        assertTrue(front.logged("journal event malformed"));
        journal.send("id: 9\ndata: " + event(9, false, engineRow("e0", first.address(), "gone")) + "\n\n");
        await("a call for what is missing", () -> journal.requestPositions.equals(List.of("1", "2", "2")));
        serves();
        journal.resetConnections();
        await("the next call", () -> journal.requestPositions.size() == 4);
        // A new engine uses the address of a removed one.
        journal.send("id: 3\ndata: " + event(3, true, engineRow("e1", second.address(), "gone"),
                engineRow("e2", second.address(), "ready")) + "\n\n");
        int before = first.received.size();
        await("the new engine's own connection", () -> {
            try {
                serves();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return second.accepted.size() == 2;
        });
        assertTrue(first.received.size() <= before + 1, "the first engine is no longer listed");
        int calls = journal.requestPositions.size();
        await("a call after silence", () -> journal.requestPositions.size() > calls);
        assertEquals("3", journal.requestPositions.get(calls));
        assertTrue(front.logged("journal silent"), front.log::toString);
    }

    @Example
    void onSighupItFollowsTheJournalAtItsNewAddressAndServesOn() throws Exception {
        EngineStandIn slow = open(new EngineStandIn(command -> {
            if (!command.words().get(command.words().size() - 1).equals("slow")) {
                EngineStandIn.answerWithPages(1).accept(command);
            }
        }));
        start(slow);
        await("the call", () -> journal.requestPositions.equals(List.of("1")));
        Client client = client().send(Client.query(1, Client.trace(), 9_000, "slow"));
        await("the query at the engine", () -> slow.received("fetch").size() == 1);
        String config = Program.configJson(front.listenAddress, journal.address());
        JournalStandIn next = open(new JournalStandIn());
        front.reload(config.replace(journal.address(), next.address()));
        await("the call at the new address", () -> next.requestPositions.equals(List.of("1")));
        assertTrue(journal.closedByCaller(0), "the old stream is dropped");
        Map<String, String> bad = Map.of("RELAY_CONFIG", "{", "journal", config.replace("journal", "other"),
                "limits.sockets", config.replace("\"sockets\"", "\"x\""), "dial",
                Program.configJson(front.listenAddress, journal.address(),
                        event(1, true, engineRow("e9", "no address", "ready"))));
        for (Map.Entry<String, String> each : bad.entrySet()) {
            front.log.clear();
            front.reload(each.getValue());
            await("a line that names the field " + each.getKey(),
                    () -> front.logged("nothing changed: " + each.getKey() + ": "));
            front.log.clear();
        }
        // Several reloads in a row, while the front connects to the journal.
        JournalStandIn last = open(new JournalStandIn());
        for (int k = 0; k < 5; k++) {
            front.reload(config.replace(journal.address(), k < 4 ? Program.freeAddress() : last.address()));
        }
        await("the call at the last address", () -> !last.requestPositions.isEmpty());
        EngineStandIn added = engine(1);
        // If two signals follow the last file, the second closes the connection made for the first. The event
        // is therefore sent twice, so that the remaining connection gets it too.
        last.publish(true);
        last.publish(true, engineRow("e9", added.address(), "ready"));
        await("the new engine in use", () -> {
            try {
                serves();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return !added.received.isEmpty();
        });
        EngineStandIn.answerWithPages(1).accept(slow.received("fetch").get(0));
        assertEquals(EngineStandIn.page(slow.received("fetch").get(0).id(), 0), Client.rows(client.read()));
        front.sendSignal("-HUP");
        front.sendSignal("-TERM");
        front.sendSignal("-HUP");
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, front.process.exitValue(), front.log::toString);
    }

    /**
     * A process started by nohup inherits an ignored SIGHUP. Fronts then never learned of a new journal
     * address, and went on sending queries to draining engines after a reload.
     */
    @Example
    void aReloadWorksWhereTheParentProcessIgnoresSighup() throws Exception {
        journal = open(new JournalStandIn());
        String config = Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine(1).address(), "ready")));
        front = open(Program.withSighupIgnored(config)).awaitReady();
        JournalStandIn next = open(new JournalStandIn());
        front.reload(config.replace(journal.address(), next.address()));
        await("the call at the new address", () -> next.requestPositions.equals(List.of("1")));
        assertFalse(front.logged("no reload is heard"), front.log::toString);
    }

    @Example
    void tricklingBytesDoNotKeepAJournalConnectionAlive() throws Exception {
        start(engine(1));
        await("the call", () -> journal.requestPositions.size() == 1);
        long since = System.nanoTime();
        while (journal.requestPositions.size() == 1 && System.nanoTime() - since < 6_000_000_000L) {
            try {
                journal.send("d");
            } catch (IOException e) {
                // it has been dropped
            }
            Thread.sleep(100);
        }
        assertEquals(List.of("1", "1"), journal.requestPositions);
        assertTrue(System.nanoTime() - since < 3_500_000_000L, "events are due 4 s after a stall");
    }
}
