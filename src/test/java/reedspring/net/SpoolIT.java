package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;
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

/** The built program with a spool: pages that are kept, read later, and after it was killed. */
class SpoolIT extends Started {
    private static final int PAGES = 40;
    private static final int PATIENCE = 9_000;

    private final Path folder;
    private final Path key;
    private final String listen;
    private EngineStandIn engine;
    /** Of a front whose disk can be made to fail; null for any other. */
    private FaultShim shim;

    SpoolIT() throws IOException {
        folder = Files.createDirectory(Files.createTempDirectory("reedspring").resolve("spool"));
        key = Files.write(folder.resolveSibling("key"), "a key of enough bytes".getBytes());
        listen = Program.freeAddress();
    }

    private void start(String more, String effect) throws Exception {
        if (engine == null) {
            engine = open(new EngineStandIn(EngineStandIn.pages(PAGES)));
            journal = open(new JournalStandIn());
        }
        Path settings = Files.writeString(folder.resolveSibling("own.ini"), "[spool]\nfolder = " + folder
                + "\nkey_file = " + key + (more.contains("total") ? "\n" : "\ntotal = 64MB\n") + more);
        String config = Program.config(listen, journal.address(), event(1, true,
                host("e0", engine.address(), "ready"))).replace("repeatable", effect);
        front = open(shim == null ? Program.with(config, settings) : Program.with(config, settings,
                shim)).ready();
        await("what lies on the disk", () -> front.logged("answers found") || front.logged("can't be used"));
    }

    private static byte[] paged(int id, String trace) {
        Map<String, Object> fields = Client.fields(trace, PATIENCE);
        fields.put("pages", "1");
        return Client.pack(List.of(0, id, "lookup", List.of(fields, "select".getBytes())));
    }

    private static byte[] call(String method, int id, Object handle, String sheet, String tenant) {
        Map<String, Object> fields = new HashMap<>(Map.of("handle", handle, "customer", tenant));
        if (sheet != null) {
            fields.put("sheet", sheet);
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

    /** The handle of an answer whose query had this trace. */
    private String keep(Client client, int id, String trace) throws IOException {
        List<?> answer = client.send(paged(id, trace)).read();
        assertEquals(EngineStandIn.page(trace, 0), Client.rows(answer), answer::toString);
        assertEquals(Integer.toString(PAGES), fields(answer).get("sheets"));
        return (String) fields(answer).get("handle");
    }

    private void reads(Client client, String handle, String trace, int... pages) throws IOException {
        for (int page : pages) {
            List<?> answer = client.send(call("page", 1000 + page, handle, Integer.toString(page),
                    "acme")).read();
            assertEquals(EngineStandIn.page(trace, page), Client.rows(answer), answer::toString);
            assertEquals(Integer.toString(page), fields(answer).get("sheet"));
        }
    }

    private void killed() throws Exception {
        front.signal("-KILL");
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS));
    }

    /** First, middle and last page of each, by a client of its own. */
    private void readsAll(Map<String, String> kept) throws IOException {
        Client client = client();
        for (Map.Entry<String, String> each : kept.entrySet()) {
            reads(client, each.getValue(), each.getKey(), 0, 20, 39);
        }
    }

    @Example
    void aLargeAnswerIsReadPageByPageAndItsEngineIsFree() throws Exception {
        start("", "repeatable");
        Client client = client();
        String trace = Client.trace();
        String handle = keep(client, 1, trace);
        await("the engine's end", () -> engine.seen("done").size() == 1);
        reads(client, handle, trace, 39, 0, 1, 1, 17);
        // Who asks for no pages is answered as ever, be it too large or not.
        assertNotNull(Client.error(client.send(Client.query(2, Client.trace(), 1_000, "select")).read()));
        for (String[] odd : new String[][] {{handle, "40", "acme"}, {handle, "-1", "acme"},
            {handle, "1000000000", "acme"}, {handle, "x", "acme"}, {handle, "1", "bolt"},
            {handle.substring(2), "1", "acme"}, {"", "1", "acme"}}) {
            List<?> answer = client.send(call("page", 3, odd[0], odd[1], odd[2])).read();
            assertEquals("Fault", Client.error(answer), String.join(" ", odd));
        }
        assertNull(client.send(call("release", 4, handle, null, "acme")).read().get(2));
        assertEquals("Shed", Client.error(client.send(call("page", 5, handle, "1", "acme")).read()));
    }

    @Example
    void afterAKillWhatHadAHandleIsServedToTheByteAndTheRestHasAFinalWord() throws Exception {
        start("keep = 1h\n", "repeatable");
        Client client = client();
        Map<String, String> kept = new HashMap<>();
        for (int id = 1; id <= 12; id++) {
            String trace = Client.trace();
            kept.put(trace, keep(client, id, trace));
        }
        for (int round = 0; round < 3; round++) {
            killed();
            start("keep = 1h\n", "repeatable");
            readsAll(kept);
        }
        // Another front, which can't know it.
        killed();
        String config = Program.config(listen, journal.address(), event(1, true,
                host("e0", engine.address(), "ready"))).replace("\"n0\"", "\"n1\"");
        front = open(Program.with(config, folder.resolveSibling("own.ini"))).ready();
        String handle = kept.values().iterator().next();
        await("what lies on the disk", () -> front.logged("left as it is, it is of front n0"));
        assertEquals("Fault", Client.error(client().send(call("page", 1, handle, "0", "acme")).read()));
    }

    /** Writes and syncs fail,
            some half done; the process is killed meanwhile and started on the same disk. */
    @Example
    void aDiskThatFailsForAWhileAndAKillCostNoAnswerThatWasKept() throws Exception {
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
            assertEquals("Shed", Client.error(client.send(paged(9, Client.trace())).read()));
            killed();
            start("keep = 1h\n", "repeatable");
            readsAll(kept);
            shim.calm();
            String trace = Client.trace();
            kept.put(trace, keep(client(), 10, trace));
            killed();
        }
        assertTrue(shim.get(Fault.FAILED_CALLS) > 0, "no call failed");
    }

    /** No more room: a query that may run again is deferred, one that has run and must not is not. */
    @Example
    void aFullSpoolDefersOnlyWhatMayRunAgain() throws Exception {
        for (String effect : List.of("repeatable", "once")) {
            start("total = 4MB\nsegment = 512kB\nlongest_answer = 512kB\nheadroom = 0%\ntenant_part = 100%\n",
                    effect);
            Client client = client();
            String error = null;
            for (int id = 1; id <= 60 && error == null; id++) {
                error = (String) Client.error(client.send(paged(id, Client.trace())).read());
            }
            assertEquals(effect.equals("once") ? "Fault" : "Shed", error);
            await("its line", () -> front.logged("answer not kept: no room"));
            front.process.toHandle().destroy();
            assertTrue(front.process.waitFor(10, TimeUnit.SECONDS));
            assertEquals(0, front.process.exitValue(), front.log::toString);
        }
    }

    @Example
    void aFolderThatCanNotBeHadIsToldAtTheStart() throws Exception {
        start("", "repeatable");
        Path settings = folder.resolveSibling("own.ini");
        Program second = open(Program.with(Program.config(Program.freeAddress(), journal.address(),
                event(1, true, host("e0", engine.address(), "ready"))), settings));
        assertTrue(second.process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(78, second.process.exitValue());
        await("its message", () -> second.logged("held by another front"));
        Files.writeString(settings, "[spool]\nfolder = /no/such\nkey_file = " + key + "\ntotal = 1XB\n");
        Program third = open(Program.with(Program.config(Program.freeAddress(), journal.address()),
                settings));
        assertTrue(third.process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(78, third.process.exitValue());
        await("its messages", () -> third.logged("line 2: [spool] folder")
                && third.logged("line 4: [spool] total"));
    }
}
