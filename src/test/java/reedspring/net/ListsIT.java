package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Lists of engines that are large or odd, told to the built program while it is asked on and on. */
class ListsIT extends Started {
    private static final int FEW = 2_500;
    private static final int ALL = 25_000;
    /** What the page of the size in two years allows a front. */
    private static final int MEMORY_MB = 256;
    private static final int USUAL_MEMORY_MB = 192;

    private Traffic traffic;

    /** One client after another's answer, for as long as the list changes: each query has to be served. */
    private final class Traffic implements AutoCloseable {
        private final AtomicInteger served = new AtomicInteger();
        private volatile long longestMs;
        private volatile boolean over;
        private final CompletableFuture<String> lost;

        Traffic() {
            lost = CompletableFuture.supplyAsync(() -> {
                String sent = "";
                try (Client client = front.client()) {
                    for (int id = 1; !over; id++) {
                        sent = Client.trace();
                        long at = System.nanoTime();
                        List<?> answer = client.send(Client.query(id, sent, PATIENCE, "select")).read();
                        String rows = Client.rows(answer);
                        if (rows == null || !rows.startsWith(EngineStandIn.page(sent, 0))) {
                            return "query " + id + ": " + answer;
                        }
                        served.incrementAndGet();
                        longestMs = Math.max(longestMs, (System.nanoTime() - at) / 1_000_000);
                        Thread.sleep(2);
                    }
                    return null;
                } catch (Exception e) {
                    return sent + ": " + e;
                }
            });
        }

        /** So many more are served. */
        void goesOn(int more) throws InterruptedException {
            int from = served.get();
            await("queries to be served", () -> lost.isDone() || served.get() >= from + more);
            assertFalse(lost.isDone(), () -> "lost: " + lost.join());
        }

        void end() {
            over = true;
            assertEquals(null, lost.join(), "lost");
        }

        @Override
        public void close() {
            over = true;
        }
    }

    private static String[] rows(int from, int many, String health, EngineStandIn... at) {
        return IntStream.range(from, from + many).mapToObj(k -> host(String.format("s-%08x", k),
                at[k % at.length].address(), "z" + k % 14, "m", health, 0)).toArray(String[]::new);
    }

    private static String[] both(String[] first, String... second) {
        List<String> all = new ArrayList<>(List.of(first));
        all.addAll(List.of(second));
        return all.toArray(String[]::new);
    }

    private void begin(String... hosts) throws Exception {
        startWith(hosts);
        follow();
    }

    private void beginWith(int memoryMb, String... hosts) throws Exception {
        journal = open(new JournalStandIn());
        front = open(new Program(Program.config(Program.freeAddress(), journal.address(),
                event(1, true, hosts)).replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb))).ready();
        follow();
    }

    private void follow() throws Exception {
        journal.tell(true);
        await("the call", () -> !journal.calledFrom.isEmpty());
        assertEquals("1", journal.calledFrom.get(0));
        traffic = open(new Traffic());
        traffic.goesOn(5);
    }

    /** As the service does each second, or it would be called again for its silence. */
    private void signsOfLife() {
        ScheduledExecutorService signs = Executors.newSingleThreadScheduledExecutor();
        opened.add(signs::shutdownNow);
        signs.scheduleAtFixedRate(journal::comment, 0, 500, TimeUnit.MILLISECONDS);
    }

    /** What comes from now on comes to this one only. */
    private void allGoTo(EngineStandIn engine, EngineStandIn... others) throws Exception {
        int[] before = new int[1];
        await("a query at the engine that is listed now", () -> {
            int seen = engine.seen("fetch").size();
            boolean more = before[0] > 0 && seen > before[0];
            before[0] = seen;
            return more;
        });
        int[] then = Arrays.stream(others).mapToInt(o -> o.seen("fetch").size()).toArray();
        traffic.goesOn(50);
        for (int k = 0; k < others.length; k++) {
            assertEquals(then[k], others[k].seen("fetch").size(), "sent to what is not listed any more");
        }
    }

    /** One call brought all of it; where it did not, the front's log says why it called again. */
    private void calledOnce() {
        assertEquals(List.of("1"), journal.calledFrom, front.log::toString);
    }

    private void heldThroughout() {
        traffic.end();
        assertTrue(front.process.isAlive());
        assertFalse(front.logged("fault"), front.log::toString);
        assertFalse(front.logged("OutOfMemory"), front.log::toString);
    }

    /** The list names the first engine's rows; a thousand events in the same read drain or end each. */
    @Example
    void aWholeListAndAThousandChangesInOneRead() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 4, "ready", first));
        signsOfLife();
        journal.together(() -> {
            journal.tell(true, both(rows(0, 1_000, "ready", first),
                    rows(1_000, FEW - 1_000, "ready", second)));
            for (int k = 0; k < 1_000; k++) {
                journal.tell(false, rows(k, 1, k % 2 == 0 ? "draining" : "gone", first));
            }
        });
        allGoTo(second, first);
        heldThroughout();
        calledOnce();
    }

    @Example
    void ofAnEngineThatIsNamedTwiceTheLastWordCountsOnce() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 2, "ready", first));
        String[] moved = rows(0, 2, "ready", second);
        journal.tell(true, both(rows(0, 2, "ready", first), moved));
        allGoTo(second, first);
        // The same list again is no change, and ends no connection.
        int connections = second.accepted.size();
        journal.tell(true, both(rows(0, 2, "ready", first), moved));
        traffic.goesOn(50);
        assertEquals(connections, second.accepted.size(), "its connections are as good as before");
        journal.tell(true, both(both(rows(0, 2, "draining", second), rows(0, 2, "gone", second)),
                rows(0, 2, "ready", first)));
        allGoTo(first, second);
        journal.tell(false, both(both(rows(0, 2, "ready", first), rows(5, 1, "ready", second)),
                rows(0, 2, "gone", first)));
        allGoTo(second, first);
        heldThroughout();
    }

    @Example
    void aPositionThatGoesBackChangesNothing() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 2, "ready", first));
        signsOfLife();
        journal.send("id: 5\ndata: " + event(5, true, rows(2, 2, "ready", second)) + "\n\n");
        allGoTo(second, first);
        for (int pos : new int[] {5, 4, 1, 0}) {
            journal.send("id: " + pos + "\ndata: " + event(pos, true, rows(0, 2, "ready", first)) + "\n\n");
        }
        allGoTo(second, first);
        journal.send("id: 6\ndata: " + event(6, false, both(rows(0, 2, "ready", first),
                rows(2, 2, "draining", second))) + "\n\n");
        allGoTo(first, second);
        heldThroughout();
        calledOnce();
    }

    /** With no engine queries are refused at once, and are safe to send again; one engine serves them all. */
    @Example
    void aListOfNoneAndOfOne() throws Exception {
        EngineStandIn first = engine(1);
        begin(rows(0, 2, "ready", first));
        traffic.end();
        journal.tell(true);
        await("a refusal", () -> {
            try (Client client = front.client()) {
                return "Shed".equals(Client.error(client.send(Client.query(1, Client.trace(), 300, "select"))
                        .read()));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        journal.tell(true, rows(7, 1, "ready", first));
        await("the engine in use", () -> {
            try (Client client = front.client()) {
                return Client.rows(client.send(Client.query(1, Client.trace(), 300, "select")).read())
                        != null;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        traffic = open(new Traffic());
        traffic.goesOn(50);
        heldThroughout();
    }

    /** All the engines of the size in two years, and again, and with half of them replaced by others. */
    @Example
    void aListOfTwentyFiveThousandIsTakenWithinTheMemoryOfTheConfiguration() throws Exception {
        for (int memoryMb : new int[] {USUAL_MEMORY_MB, MEMORY_MB}) {
            EngineStandIn first = engine(1);
            EngineStandIn second = engine(1);
            EngineStandIn third = engine(1);
            beginWith(memoryMb, rows(0, 2, "ready", first));
            signsOfLife();
            journal.tell(true, rows(0, ALL, "ready", second));
            allGoTo(second, first);
            journal.tell(true, rows(0, ALL, "ready", second));
            journal.tell(true, rows(ALL / 2, ALL, "ready", third));
            allGoTo(third, first, second);
            heldThroughout();
            calledOnce();
            long peakKb = Files.readAllLines(Path.of("/proc", Long.toString(front.process.pid()), "status"))
                    .stream().filter(line -> line.startsWith("VmHWM"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).sum();
            System.out.println("25,000 engines: peak " + peakKb / 1024 + " MB of " + memoryMb
                    + ", longest answer " + traffic.longestMs + " ms");
            assertTrue(peakKb < memoryMb * 1024L, peakKb + " kB");
            closeAll();
            opened.clear();
        }
    }

    /** The start of a front when all of them run already: its configuration holds the list. */
    @Example
    void aFrontStartsWithAllEnginesInItsConfiguration() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        beginWith(USUAL_MEMORY_MB, rows(0, ALL, "ready", first));
        journal.tell(true, rows(0, ALL, "ready", second));
        allGoTo(second, first);
        heldThroughout();
    }

    /** What does not fit says so, and is neither taken in part nor asked for again and again. */
    @Example
    void aListOfAHundredThousandIsRefusedAndTheListHeldSoFarServesOn() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 2, "ready", first));
        signsOfLife();
        journal.tell(true, rows(0, 100_000, "ready", second));
        await("a word of it", () -> front.logged("journal event too long, ignored"));
        allGoTo(first, second);
        calledOnce();
        // Few bytes for each, so that the count is what is too large.
        String[] short100k = IntStream.range(0, 100_000).mapToObj(k -> "{\"host\":\"" + k
                + "\",\"dial\":\"" + second.address() + "\",\"health\":\"ready\"}").toArray(String[]::new);
        journal.tell(true, Arrays.copyOf(short100k, 40_000));
        await("a word of that, too",
                () -> front.logged("journal list of too many engines, ignored: 40000"));
        allGoTo(first, second);
        // What follows is news of a list that is not known here, and late news are better than none.
        journal.tell(false, both(rows(0, 2, "draining", first), rows(5, 2, "ready", second)));
        allGoTo(second, first);
        heldThroughout();
        calledOnce();
    }

    /** A service that names ever more engines without a whole list fills no front's memory either. */
    @Example
    void changesPastTheNumberOfEnginesThatFitAreToldAndLeftOut() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        beginWith(64, rows(0, 2, "ready", first));
        for (int k = 0; k < 20; k++) {
            journal.tell(false, rows(10 + k * 500, 500, "ready", first));
        }
        await("a word of it", () -> front.logged("engines at their limit, left out"));
        // Those that are known are heard of as before.
        journal.tell(false, rows(10, 8_000, "gone", first));
        journal.tell(false, both(rows(0, 10, "gone", first), rows(20_000, 5, "ready", second)));
        journal.tell(true, rows(20_000, 5, "ready", second));
        allGoTo(second, first);
        heldThroughout();
    }

    @Example
    void aWholeListInWhichHalfOfTheEnginesHaveGone() throws Exception {
        EngineStandIn goes = engine(1);
        EngineStandIn stays = engine(1);
        begin(both(rows(0, FEW / 2, "ready", goes), rows(FEW / 2, FEW / 2, "ready", stays)));
        journal.tell(true, rows(FEW / 2, FEW / 2, "ready", stays));
        allGoTo(stays, goes);
        journal.tell(true, both(rows(0, FEW / 2, "ready", goes), rows(FEW / 2, FEW / 2, "gone", stays)));
        allGoTo(goes, stays);
        heldThroughout();
    }

    /** Under new names, while queries are out at the old ones: those end there, the rest goes by the list. */
    @Example
    void addressesThatAreGivenToOthersAtOnce() throws Exception {
        List<EngineStandIn.Command> held = Collections.synchronizedList(new ArrayList<>());
        EngineStandIn first = open(new EngineStandIn(command -> {
            if (command.words().get(command.words().size() - 1).equals("slow")) {
                held.add(command);
            } else {
                EngineStandIn.pages(1).accept(command);
            }
        }));
        EngineStandIn second = engine(1);
        begin(rows(0, 20, "ready", first));
        // Known to be long: nobody takes it for one that crawls.
        Map<String, Object> fields = Client.fields(Client.trace(), 4 * PATIENCE);
        fields.put("weight", "10000");
        Client slow = client().send(Client.pack(List.of(0, 1, "lookup", List.of(fields, "slow".getBytes()))));
        await("the query at the engine", () -> !held.isEmpty());
        // The same names elsewhere, and others where they were, of which none is ready.
        journal.tell(true, both(rows(0, 20, "ready", second), rows(100, 20, "draining", first)));
        allGoTo(second, first);
        journal.tell(true, both(rows(200, 20, "ready", first), rows(300, 20, "draining", second)));
        allGoTo(first, second);
        EngineStandIn.pages(1).accept(held.get(0));
        assertTrue(Client.rows(slow.read()) != null, "what was out ends where it is");
        heldThroughout();
    }

    @Example
    void aListThatStopsHalfwayLeavesTheListAsItWas() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 2, "ready", first));
        String list = "id: 2\ndata: " + event(2, true, rows(0, FEW, "ready", second)) + "\n\n";
        for (int part : new int[] {list.length() / 2, list.length() - 1}) {
            int calls = journal.calledFrom.size();
            journal.send(list.substring(0, part));
            allGoTo(first, second);
            journal.reset();
            await("the next call", () -> journal.calledFrom.size() > calls);
            assertEquals("1", journal.calledFrom.get(calls));
            allGoTo(first, second);
        }
        journal.tell(true, rows(0, FEW, "ready", second));
        allGoTo(second, first);
        heldThroughout();
    }

    /** The list takes longer than the service may be silent. No part of it may be asked for twice. */
    @Example
    void aListThatComesSlowlyIsTakenAtTheFirstCall() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 2, "ready", first));
        String list = "id: 2\ndata: " + event(2, true, rows(0, FEW, "ready", second)) + "\n\n";
        for (int k = 0; k < 30; k++) {
            journal.send(list.substring(list.length() * k / 30, list.length() * (k + 1) / 30));
            Thread.sleep(120);
        }
        signsOfLife();
        allGoTo(second, first);
        heldThroughout();
        calledOnce();
    }

    /** The front is stopped while the list comes: the service's buffers are full and it has to wait. */
    @Example
    void aWatcherThatReadsSlowlyGetsAllOfIt() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        begin(rows(0, 2, "ready", first));
        signsOfLife();
        CompletableFuture<Void> told = CompletableFuture.runAsync(() -> journal.together(() -> {
            for (int k = 0; k < 6; k++) {
                journal.tell(true, rows(0, 10_000, "ready", k % 2 == 0 ? first : second));
            }
        }));
        for (int k = 0; k < 10; k++) {
            front.signal("-STOP");
            Thread.sleep(150);
            front.signal("-CONT");
            Thread.sleep(40);
        }
        allGoTo(second, first);
        told.join();
        heldThroughout();
        calledOnce();
    }
}
