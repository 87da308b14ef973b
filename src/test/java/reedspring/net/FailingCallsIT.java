package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;
import static reedspring.rig.Rig.await;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.FaultShim;
import reedspring.rig.FaultShim.Fault;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Calls that fail while a front starts, as a socket is registered, or as it is told to end; issue 47. */
class FailingCallsIT extends Started {
    private static final int MANY = 1_000;
    /** A front has to be ready within 10 s; a start that fails for good is told well before. */
    private static final int START_S = 10;
    /** Two looks of the front at its sockets, and some for the machine. */
    private static final long FOUND_MS = 1_500;
    private static final long MORE_DEADLINE_MS = 20;
    private static final int SIGNALS = 3_000;
    private static final int MORE_THREADS = 3;
    private static final long MORE_KB = 4_096;
    private static final int ENDS_S = 4;
    private static final int UNAVAILABLE = 69;
    private static final int UNUSABLE = 78;

    private FaultShim shim;
    private EngineStandIn engine;

    private void begin(Fault fault, long value) throws Exception {
        shim = open(new FaultShim());
        shim.set(fault, value);
        journal = open(new JournalStandIn());
        engine = engine(1);
        front = open(Program.withShim(Program.config(Program.freeAddress(), journal.address(),
                event(1, true, host("e0", engine.address(), "ready"))), shim));
    }

    private void servesDespite(Fault fault, long value) throws Exception {
        begin(fault, value);
        front.ready();
        serves();
        assertTrue(shim.get(Fault.FAILED_CALLS) > 0, "nothing failed");
    }

    private void endsNaming(int code, String words) throws Exception {
        assertTrue(front.process.waitFor(START_S, TimeUnit.SECONDS), "it neither serves nor ends");
        assertEquals(code, front.process.exitValue(), front.log::toString);
        await("its message", () -> front.logged(words));
        assertEquals(1, front.log.size(), front.log::toString);
    }

    private long status(String field) throws Exception {
        return Files.readAllLines(Path.of("/proc/" + front.process.pid() + "/status")).stream()
                .filter(line -> line.startsWith(field + ":"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", ""))).findFirst().orElseThrow();
    }

    @Example
    void aSelectorThatCanNotBeHadForAMomentIsWaitedFor() throws Exception {
        servesDespite(Fault.EPOLL_CREATES, 2);
    }

    @Example
    void anEventDescriptorThatCanNotBeHadForAMomentIsWaitedFor() throws Exception {
        servesDespite(Fault.EVENTFDS, 1);
    }

    @Example
    void aSelectorThatCanNotBeHadEndsTheStartWithItsName() throws Exception {
        begin(Fault.EPOLL_CREATES, MANY);
        endsNaming(UNAVAILABLE, "epoll_create1");
    }

    /** The shell of the run line reads the file, too, before there is a program. */
    @Example
    void aConfigurationThatCanNotBeReadForAMomentIsReadAgain() throws Exception {
        servesDespite(Fault.CONFIG_OPENS, 6);
    }

    @Example
    void aConfigurationThatCanNotBeReadEndsTheStartWithItsName() throws Exception {
        begin(Fault.CONFIG_OPENS, MANY);
        endsNaming(UNUSABLE, "RELAY_CONFIG");
    }

    /** Whichever socket of the start it is: wake-up, discovery, listener, the first client, its engine. */
    @Example
    void noRegistrationThatFailsOnceKeepsAFrontFromServing() throws Exception {
        for (int which = 1; which <= 5; which++) {
            begin(Fault.EPOLL_ADD_AT, which);
            front.ready();
            long began = System.nanoTime();
            serves();
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
            assertTrue(took < 2 * FOUND_MS, "registration " + which + ": served after " + took + " ms");
            front.close();
        }
    }

    @Example
    void aClientsConnectionThatCouldNotBeRegisteredIsFoundAndServed() throws Exception {
        begin(Fault.EPOLL_ADD_AT, 0);
        front.ready();
        serves();
        shim.set(Fault.EPOLL_ADD_AT, 1);
        Client client = client();
        await("the failure", () -> shim.get(Fault.FAILED_CALLS) == 1);
        for (int id = 1; id <= 3; id++) {
            long began = System.nanoTime();
            client.send(Client.query(id, Client.trace(), PATIENCE, "select"));
            assertEquals((long) id, client.read().get(1));
            long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
            assertTrue(took < FOUND_MS, "query " + id + " answered after " + took + " ms");
            // The time for which it lay there counts.
            EngineStandIn.Command sent = engine.seen("fetch").get(id);
            long left = PATIENCE - TimeUnit.NANOSECONDS.toMillis(sent.at() - began);
            long told = Long.parseLong(sent.words().get(2).replaceAll(".*ttl=([0-9]+).*", "$1"));
            assertTrue(told <= left + MORE_DEADLINE_MS, "told " + told + " ms, its client has " + left);
        }
        assertTrue(front.logged("registered anew"), front.log::toString);
    }

    /** Signals in series while the file is away: their number bounds neither threads nor memory. */
    @Example
    void signalsInSeriesTakeNeitherThreadsNorMemoryAndTheEndIsHeard() throws Exception {
        begin(Fault.EPOLL_ADD_AT, 0);
        front.ready();
        serves();
        front.signal("-HUP");
        await("a first reload", () -> front.logged("configuration read again"));
        Thread.sleep(500);
        long threads = status("Threads");
        long peak = status("VmHWM");
        Files.delete(front.file());
        CompletableFuture<Void> signals = CompletableFuture.runAsync(() -> {
            try {
                front.signals("HUP", SIGNALS);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        long most = 0;
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
        while (!signals.isDone() || System.nanoTime() < until) {
            most = Math.max(most, status("Threads"));
        }
        signals.get();
        assertTrue(most <= threads + MORE_THREADS, most + " threads, " + threads + " at rest");
        long grown = status("VmHWM") - peak;
        assertTrue(grown <= MORE_KB, "memory grew by " + grown + " kB");
        serves();
        front.signal("-TERM");
        assertTrue(front.process.waitFor(ENDS_S, TimeUnit.SECONDS), "SIGTERM is not heard");
        assertEquals(0, front.process.exitValue());
    }

    /** The JDK brings a signal on a thread that it makes for it. */
    @Example
    void aFrontThatCanHaveNoMoreThreadsEndsInOrder() throws Exception {
        begin(Fault.EPOLL_ADD_AT, 0);
        front.ready();
        serves();
        shim.set(Fault.THREADS_FROM, 1);
        front.signal("-TERM");
        assertTrue(front.process.waitFor(ENDS_S, TimeUnit.SECONDS), "SIGTERM is not heard");
        assertEquals(0, front.process.exitValue());
        assertTrue(front.logged("left"), front.log::toString);
    }
}
