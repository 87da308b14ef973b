package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;
import static reedspring.rig.Rig.await;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import reedspring.boot.Boot;
import reedspring.rig.Client;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Stalls that are forced, on a loop of this process and in a started front, and what the log says. */
class StallsIT extends Started {
    /** More than a span of the log. */
    private static final int MOST_STOPS = 12;
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private Front inside;

    private interface Work {
        void run() throws Exception;
    }

    private EventLoop loop() throws Exception {
        Turns turns = new Turns();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, turns);
        opened.add(() -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS));
        EventLoop loop = group.next();
        Limits limits = new Limits(new Boot(Map.of()), 1024, 192);
        Log log = new Log(limits, (level, event, detail, more) -> {
            lines.add(event + ": " + detail);
            if (event.equals("slow")) {
                sleep(300);
            }
            return event;
        });
        inside = loop.submit(() -> new Front(loop, turns, new Boot(Map.of()), limits, log, 1)).get();
        // Until it knows the JVM's threads, too.
        Thread.sleep(2_600);
        loop.submit(() -> inside.log().sum()).get();
        lines.clear();
        return loop;
    }

    private String line(EventLoop loop, Work what) throws Exception {
        loop.submit(() -> {
            what.run();
            return null;
        }).get();
        return await("a line", () -> lines.stream().filter(line -> line.startsWith("event loop stalled"))
                .findFirst().orElse(null));
    }

    @Example
    void oneLongTurnThatComputes() throws Exception {
        EventLoop loop = loop();
        String line = line(loop, () -> {
            for (long end = System.nanoTime() + 300_000_000L; System.nanoTime() < end; ) {
                Thread.onSpinWait();
            }
        });
        assertTrue(line.startsWith("event loop stalled, long turn: 3"), line);
        assertTrue(line.contains("longest task 0; "), line);
    }

    @Example
    void anAlarmThatTakesLong() throws Exception {
        EventLoop loop = loop();
        String line = line(loop, () -> inside.timers().in(100, () -> {
            for (long end = System.nanoTime() + 300_000_000L; System.nanoTime() < end; ) {
                Thread.onSpinWait();
            }
        }));
        assertTrue(line.startsWith("event loop stalled, long turn: 3"), line);
        assertTrue(line.contains("longest alarm 3"), line);
    }

    @Example
    void aTurnThatIsBlocked() throws Exception {
        EventLoop loop = loop();
        String line = line(loop, () -> Thread.sleep(300));
        assertTrue(line.startsWith("event loop stalled, stopped or blocked: 3"), line);
    }

    /** By the collector that a front runs with, which has one thread. */
    @Example
    void collectionsOfAFullHeap() throws Exception {
        Process child = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-Xmx200m", "-cp", System.getProperty("java.class.path"),
                StallsIT.class.getName()).redirectErrorStream(true).start();
        opened.add(child::destroyForcibly);
        String said = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(said.contains("LINE event loop stalled, collecting garbage: "), said);
    }

    /** The collections, in a process of their own. */
    public static void main(String[] args) throws Exception {
        StallsIT here = new StallsIT();
        EventLoop loop = here.loop();
        Object[] heap = new Object[1 << 21];
        for (int k = 0; k < heap.length; k++) {
            heap[k] = new byte[8];
        }
        System.out.println("LINE " + here.line(loop, () -> {
            for (int k = 0; k < 8; k++) {
                System.gc();
            }
        }));
        Runtime.getRuntime().halt(heap.length == 0 ? 1 : 0);
    }

    @Example
    void aLogThatTakesItsTime() throws Exception {
        EventLoop loop = loop();
        String line = line(loop, () -> inside.log().line("slow", ""));
        assertTrue(line.startsWith("event loop stalled, writing the log: 3"), line);
        assertTrue(line.contains("; log 3"), line);
    }

    /** No processor time and no wait for one: the whole front was stopped. */
    @Example
    void aFrontThatIsStopped() throws Exception {
        start(engine(1));
        serves();
        Thread.sleep(2_600);
        // Of a kind one line is written in 10 s, and on a busy machine a start may have taken it.
        for (int stops = 1; lineOfAStop() == null && stops <= MOST_STOPS; stops++) {
            front.signal("-STOP");
            Thread.sleep(700);
            front.signal("-CONT");
            Thread.sleep(700);
        }
        assertTrue(lineOfAStop() != null, front.log::toString);
        serves();
    }

    private String lineOfAStop() {
        return front.log.stream().filter(line -> line.contains("event loop stalled, stopped or blocked: "))
                .filter(line -> {
                    long ms = Long.parseLong(line.replaceAll(".*blocked: (\\d+).*", "$1"));
                    return ms > 400 && ms < 1_000 && line.contains(" ms;");
                }).findFirst().orElse(null);
    }

    @Example
    void aFrontThatServesTellsOfNoStallOfItsOwn() throws Exception {
        start(engine(1));
        serves();
        Thread.sleep(3_000);
        front.log.clear();
        for (int k = 0; k < 40; k++) {
            serves();
            Thread.sleep(50);
        }
        noneOfItsOwn(front.log);
    }

    /** Lines go to a thread of their own, and only that waits for a pipe which nobody reads. */
    @Example
    void aLogThatNobodyTakesStallsNothing() throws Exception {
        Path pipe = Files.createTempDirectory("reedspring").resolve("log");
        journal = open(new JournalStandIn());
        front = open(Program.withFullLog(Program.config(Program.freeAddress(), journal.address(),
                event(1, true, host("e0", engine(1).address(), "ready"))), pipe));
        await("the front to serve", () -> {
            try {
                serves();
                return true;
            } catch (IOException e) {
                return false;
            }
        });
        Thread.sleep(3_000);
        for (int k = 0; k < 40; k++) {
            client().send(Client.pack(List.of(0, 1, "kind" + k, List.of(Map.of(), new byte[0])))).read();
            serves();
        }
        Thread.sleep(300);
        List<String> log = new CopyOnWriteArrayList<>();
        CompletableFuture.runAsync(() -> {
            try (BufferedReader in = Files.newBufferedReader(pipe, StandardCharsets.ISO_8859_1)) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    log.add(line);
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        await("what was written behind it", () -> log.stream().anyMatch(l -> l.contains("can't be used")));
        assertTrue(log.get(0).startsWith("\0"), "it was full");
        // What came before the first of them may tell of the start.
        int from = 0;
        while (!log.get(from).contains("can't be used")) {
            from++;
        }
        noneOfItsOwn(log.subList(from, log.size()));
    }

    /** A busy machine may keep a front waiting; the line then says so. */
    private static void noneOfItsOwn(List<String> log) {
        for (String line : log) {
            assertTrue(!line.contains("event loop stalled") || line.matches(
                    ".*waiting for a processor: .*|.*(queued|VM thread \\d+,) ([3-9]\\d|\\d{3,})[;,].*")
                    && !line.contains("long turn") && !line.contains("the log"), line);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
