package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;
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
import reedspring.boot.DeploymentReader;
import reedspring.rig.Client;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Forces stalls on an event loop of this process and in a started front, and checks the log lines. */
class StallsIT extends StartedFrontTest {
    /** Enough stops to reach past one log interval. */
    private static final int MAX_STOPS = 12;
    private final List<String> logLines = new CopyOnWriteArrayList<>();
    private Front localFront;

    private interface Work {
        void run() throws Exception;
    }

    private EventLoop startLoop() throws Exception {
        EventLoopTurns turns = new EventLoopTurns();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, turns);
        opened.add(() -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS));
        EventLoop loop = group.next();
        Limits limits = new Limits(new DeploymentReader(Map.of()), 1024, 192);
        Log log = new Log(limits, (level, event, detail, more) -> {
            logLines.add(event + ": " + detail);
            if (event.equals("slow")) {
                sleep(300);
            }
            return event;
        });
        localFront = loop.submit(() -> new Front(loop, turns, new DeploymentReader(Map.of()), limits, log,
                1)).get();
        // The probe looks up the JVM's other threads 2 s after its start.
        Thread.sleep(2_600);
        loop.submit(() -> localFront.log().endInterval()).get();
        logLines.clear();
        return loop;
    }

    private String stallLine(EventLoop loop, Work work) throws Exception {
        loop.submit(() -> {
            work.run();
            return null;
        }).get();
        return await("a stall to be logged", () -> logLines.stream()
                .filter(line -> line.startsWith("event loop stalled")).findFirst().orElse(null));
    }

    @Example
    void longComputation() throws Exception {
        EventLoop loop = startLoop();
        String line = stallLine(loop, () -> {
            for (long end = System.nanoTime() + 300_000_000L; System.nanoTime() < end; ) {
                Thread.onSpinWait();
            }
        });
        assertTrue(line.startsWith("event loop stalled, long turn: 3"), line);
        assertTrue(line.contains("longest task 0; "), line);
    }

    @Example
    void longTimer() throws Exception {
        EventLoop loop = startLoop();
        String line = stallLine(loop, () -> localFront.timers().scheduleIn(100, () -> {
            for (long end = System.nanoTime() + 300_000_000L; System.nanoTime() < end; ) {
                Thread.onSpinWait();
            }
        }));
        assertTrue(line.startsWith("event loop stalled, long turn: 3"), line);
        assertTrue(line.contains("longest alarm 3"), line);
    }

    @Example
    void blockedTurn() throws Exception {
        EventLoop loop = startLoop();
        String line = stallLine(loop, () -> Thread.sleep(300));
        assertTrue(line.startsWith("event loop stalled, stopped or blocked: 3"), line);
    }

    /** Uses the single-threaded collector that a front runs with, in a child process. */
    @Example
    void garbageCollectionOfAFullHeap() throws Exception {
        Process child = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-Xmx200m", "-cp", System.getProperty("java.class.path"),
                StallsIT.class.getName()).redirectErrorStream(true).start();
        opened.add(child::destroyForcibly);
        String output = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(output.contains("LINE event loop stalled, collecting garbage: "), output);
    }

    /** The child process: fills its heap, forces collections and prints the log line. */
    public static void main(String[] args) throws Exception {
        StallsIT test = new StallsIT();
        EventLoop loop = test.startLoop();
        Object[] heap = new Object[1 << 21];
        for (int k = 0; k < heap.length; k++) {
            heap[k] = new byte[8];
        }
        System.out.println("LINE " + test.stallLine(loop, () -> {
            for (int k = 0; k < 8; k++) {
                System.gc();
            }
        }));
        Runtime.getRuntime().halt(heap.length == 0 ? 1 : 0);
    }

    @Example
    void slowLogWriter() throws Exception {
        EventLoop loop = startLoop();
        String line = stallLine(loop, () -> localFront.log().warn("slow", ""));
        assertTrue(line.startsWith("event loop stalled, writing the log: 3"), line);
        assertTrue(line.contains("; log 3"), line);
    }

    /** A stopped process has neither run time nor run queue delay, so that the stall counts as blocked. */
    @Example
    void stoppedProcess() throws Exception {
        start(engine(1));
        serves();
        Thread.sleep(2_600);
        // One line of a kind is logged in 10 s, and on a busy machine a stall at start may have used it up.
        for (int stops = 1; lineOfStop() == null && stops <= MAX_STOPS; stops++) {
            front.sendSignal("-STOP");
            Thread.sleep(700);
            front.sendSignal("-CONT");
            Thread.sleep(700);
        }
        assertTrue(lineOfStop() != null, front.log::toString);
        serves();
    }

    private String lineOfStop() {
        return front.log.stream().filter(line -> line.contains("event loop stalled, stopped or blocked: "))
                .filter(line -> {
                    long ms = Long.parseLong(line.replaceAll(".*blocked: (\\d+).*", "$1"));
                    return ms > 400 && ms < 1_000 && line.contains(" ms;");
                }).findFirst().orElse(null);
    }

    @Example
    void servingCausesNoStalls() throws Exception {
        start(engine(1));
        serves();
        Thread.sleep(3_000);
        front.log.clear();
        for (int k = 0; k < 40; k++) {
            serves();
            Thread.sleep(50);
        }
        assertNoOwnStalls(front.log);
    }

    /** Lines are written by a thread of their own, so that only this blocks on a pipe which nobody reads. */
    @Example
    void blockedLogPipeCausesNoStalls() throws Exception {
        Path pipe = Files.createTempDirectory("reedspring").resolve("log");
        journal = open(new JournalStandIn());
        front = open(Program.withFullLogPipe(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine(1).address(), "ready"))), pipe));
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
        await("the lines that were blocked", () -> log.stream().anyMatch(l -> l.contains("request refused")));
        assertTrue(log.get(0).startsWith("\0"), "the pipe was full");
        // Lines before the first of these may be about a stall at start.
        int firstLine = 0;
        while (!log.get(firstLine).contains("request refused")) {
            firstLine++;
        }
        assertNoOwnStalls(log.subList(firstLine, log.size()));
    }

    /** Allows only stalls that the line attributes to a busy machine. */
    private static void assertNoOwnStalls(List<String> log) {
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
