package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.FaultShim;
import reedspring.rig.FaultShim.Fault;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Runs the built program with a spool: answers are kept, read page by page, and survive a kill. */
class SpoolIT extends StartedFrontTest {
    private static final int PAGES = 40;
    private static final int QUERY_TIMEOUT_MS = 9_000;

    private final Path folder;
    private final Path key;
    private final String listen;
    private EngineStandIn engine;
    /** Injects disk faults into the front; null for a front without fault injection. */
    private FaultShim shim;

    SpoolIT() throws IOException {
        folder = Files.createDirectory(Files.createTempDirectory("reedspring").resolve("spool"));
        key = Files.write(folder.resolveSibling("key"), "a key of enough bytes".getBytes());
        listen = Program.freeAddress();
    }

    private void start(String extraSettings, String effect) throws Exception {
        if (engine == null) {
            engine = open(new EngineStandIn(EngineStandIn.answerWithPages(PAGES)));
            journal = open(new JournalStandIn());
        }
        Path settings = Files.writeString(folder.resolveSibling("own.ini"), "[spool]\nfolder = " + folder
                + "\nkey_file = " + key + (extraSettings.contains("total") ? "\n" : "\ntotal = 64MB\n")
                + extraSettings);
        String config = Program.configJson(listen, journal.address(), event(1, true,
                engineRow("e0", engine.address(), "ready"))).replace("repeatable", effect);
        front = open(shim == null ? Program.withSettings(config, settings)
                : Program.withSettings(config, settings, shim)).awaitReady();
        await("the end of recovery", () -> front.logged("answers found") || front.logged("can't be used"));
    }

    private static byte[] pagedQuery(int id, String trace) {
        Map<String, Object> fields = Client.fields(trace, QUERY_TIMEOUT_MS);
        fields.put("pages", "1");
        return Client.pack(List.of(0, id, "lookup", List.of(fields, "select".getBytes())));
    }

    private static byte[] call(String method, int id, Object handle, String page, String tenant) {
        Map<String, Object> fields = new HashMap<>(Map.of("handle", handle, "customer", tenant));
        if (page != null) {
            fields.put("sheet", page);
        }
        return Client.pack(List.of(0, id, method, List.of(fields)));
    }

    private static Map<Object, Object> fields(List<?> answer) {
        List<?> pairs = (List<?>) ((List<?>) answer.get(3)).get(1);
        Map<Object, Object> fields = new HashMap<>();
        for (int k = 0; k + 1 < pairs.size(); k += 2) {
            fields.put(pairs.get(k), pairs.get(k + 1));
        }
        return fields;
    }

    /** Sends a query with this trace, checks the first page and returns the handle of its answer. */
    private String keep(Client client, int id, String trace) throws IOException {
        List<?> answer = client.send(pagedQuery(id, trace)).read();
        assertEquals(EngineStandIn.page(trace, 0), Client.rows(answer), answer::toString);
        assertEquals(Integer.toString(PAGES), fields(answer).get("sheets"));
        return (String) fields(answer).get("handle");
    }

    private void assertPages(Client client, String handle, String trace, int... pages) throws IOException {
        for (int page : pages) {
            List<?> answer = client.send(call("page", 1000 + page, handle, Integer.toString(page),
                    "acme")).read();
            assertEquals(EngineStandIn.page(trace, page), Client.rows(answer), answer::toString);
            assertEquals(Integer.toString(page), fields(answer).get("sheet"));
        }
    }

    private void killFront() throws Exception {
        front.sendSignal("-KILL");
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS));
    }

    /** Reads the first, a middle and the last page of each answer over a new connection. */
    private void assertAllReadable(Map<String, String> kept) throws IOException {
        Client client = client();
        for (Map.Entry<String, String> entry : kept.entrySet()) {
            assertPages(client, entry.getValue(), entry.getKey(), 0, 20, 39);
        }
    }

    @Example
    void largeAnswersAreReadByPageAfterTheEngineFinished() throws Exception {
        start("", "repeatable");
        Client client = client();
        String trace = Client.trace();
        String handle = keep(client, 1, trace);
        await("the engine to finish", () -> engine.received("done").size() == 1);
        assertPages(client, handle, trace, 39, 0, 1, 1, 17);
        // A query that doesn't request pages isn't kept; its large answer is an error.
        assertNotNull(Client.error(client.send(Client.query(2, Client.trace(), 1_000, "select")).read()));
        for (String[] invalid : new String[][] {{handle, "40", "acme"}, {handle, "-1", "acme"},
            {handle, "1000000000", "acme"}, {handle, "x", "acme"}, {handle, "1", "bolt"},
            {handle.substring(2), "1", "acme"}, {"", "1", "acme"}}) {
            List<?> answer = client.send(call("page", 3, invalid[0], invalid[1], invalid[2])).read();
            assertEquals("Fault", Client.error(answer), String.join(" ", invalid));
        }
        assertNull(client.send(call("release", 4, handle, null, "acme")).read().get(2));
        assertEquals("Shed", Client.error(client.send(call("page", 5, handle, "1", "acme")).read()));
    }

    @Example
    void answersWithAHandleSurviveAKill() throws Exception {
        start("keep = 1h\n", "repeatable");
        Client client = client();
        Map<String, String> kept = new HashMap<>();
        for (int id = 1; id <= 12; id++) {
            String trace = Client.trace();
            kept.put(trace, keep(client, id, trace));
        }
        for (int round = 0; round < 3; round++) {
            killFront();
            start("keep = 1h\n", "repeatable");
            assertAllReadable(kept);
        }
        // A front of another name must not serve the answers.
        killFront();
        String config = Program.configJson(listen, journal.address(), event(1, true,
                engineRow("e0", engine.address(), "ready"))).replace("\"n0\"", "\"n1\"");
        front = open(Program.withSettings(config, folder.resolveSibling("own.ini"))).awaitReady();
        String handle = kept.values().iterator().next();
        await("the segment to be rejected", () -> front.logged("left as it is, it is of front n0"));
        assertEquals("Fault", Client.error(client().send(call("page", 1, handle, "0", "acme")).read()));
    }

    /**
     * Writes and syncs fail, some after a part; the process is killed then and restarted on the same disk.
     */
    @Example
    void keptAnswersSurviveDiskFaultsAndAKill() throws Exception {
        shim = open(new FaultShim());
        Map<String, String> kept = new HashMap<>();
        for (int error : new int[] {FaultShim.ENOSPC, FaultShim.EIO}) {
            start("keep = 1h\n", "repeatable");
            Client client = client();
            for (int id = 1; id <= 3; id++) {
                String trace = Client.trace();
                kept.put(trace, keep(client, id, trace));
            }
            shim.set(Fault.DISK_SHORT, 1);
            shim.set(Fault.DISK_ERRNO, error);
            assertEquals("Shed", Client.error(client.send(pagedQuery(9, Client.trace())).read()));
            killFront();
            start("keep = 1h\n", "repeatable");
            assertAllReadable(kept);
            shim.clearFaults();
            String trace = Client.trace();
            kept.put(trace, keep(client(), 10, trace));
            killFront();
        }
        assertTrue(shim.get(Fault.FAILED_CALLS) > 0, "no fault was injected");
    }

    /** On a full spool a repeatable query is deferred; one that must not run twice fails. */
    @Example
    void fullSpoolDefersOnlyRepeatableQueries() throws Exception {
        for (String effect : List.of("repeatable", "once")) {
            start("total = 4MB\nsegment = 512kB\nlongest_answer = 512kB\nheadroom = 0%\ntenant_part = 100%\n",
                    effect);
            Client client = client();
            String error = null;
            for (int id = 1; id <= 60 && error == null; id++) {
                error = (String) Client.error(client.send(pagedQuery(id, Client.trace())).read());
            }
            assertEquals(effect.equals("once") ? "Fault" : "Shed", error);
            await("the log line", () -> front.logged("answer not kept: spool is full"));
            front.process.toHandle().destroy();
            assertTrue(front.process.waitFor(10, TimeUnit.SECONDS));
            assertEquals(0, front.process.exitValue(), front.log::toString);
        }
    }

    @Example
    void unusableFolderIsReportedAtStartup() throws Exception {
        start("", "repeatable");
        Path settings = folder.resolveSibling("own.ini");
        Program second = open(Program.withSettings(
                Program.configJson(Program.freeAddress(), journal.address(),
                        event(1, true, engineRow("e0", engine.address(), "ready"))), settings));
        assertTrue(second.process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(78, second.process.exitValue());
        await("the log message", () -> second.logged("held by another front"));
        Files.writeString(settings, "[spool]\nfolder = /no/such\nkey_file = " + key + "\ntotal = 1XB\n");
        Program third = open(Program.withSettings(
                Program.configJson(Program.freeAddress(), journal.address()), settings));
        assertTrue(third.process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(78, third.process.exitValue());
        await("the log messages", () -> third.logged("line 2: [spool] folder")
                && third.logged("line 4: [spool] total"));
    }
}
