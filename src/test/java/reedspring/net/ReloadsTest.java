package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** What SIGHUP asks for, however many signals come. */
class ReloadsTest {
    private static final int SIGNALS = 3_000;
    private static final long REST_MS = 300;

    private final Reloads reloads = new Reloads();

    @AfterTry
    void end() throws Exception {
        reloads.finish(() -> { }, REST_MS);
    }

    private static void hold(CountDownLatch goOn) {
        try {
            assertTrue(goOn.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The first has read its file and is held up; a second comes, for a file that was written meanwhile. */
    @Example
    void theFileThatWasWrittenLastIsTheLastInForce() throws Exception {
        AtomicReference<String> file = new AtomicReference<>("first");
        List<String> inForce = new CopyOnWriteArrayList<>();
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        reloads.start();
        reloads.enable(() -> {
            String held = file.get();
            read.countDown();
            if (!held.equals("last")) {
                hold(goOn);
            }
            return inForce.add(held);
        });
        reloads.request();
        assertTrue(read.await(20, TimeUnit.SECONDS));
        file.set("last");
        // On this thread, as on the one that brings signals: it must not wait for the first.
        reloads.request();
        goOn.countDown();
        await("the second", () -> inForce.size() == 2);
        assertEquals(List.of("first", "last"), inForce);
    }

    @Example
    void oneThatWasWantedBeforeThereIsAFrontIsMadeUpForOnce() throws Exception {
        AtomicInteger done = new AtomicInteger();
        reloads.request();
        reloads.request();
        reloads.start();
        reloads.enable(() -> done.incrementAndGet() > 0);
        await("the first", () -> done.get() == 1);
        Thread.sleep(REST_MS);
        assertEquals(1, done.get());
        reloads.request();
        await("another", () -> done.get() == 2);
    }

    @Example
    void ofManyThatComeWhileOneRunsOneMoreIsDone() throws Exception {
        AtomicInteger done = new AtomicInteger();
        CountDownLatch goOn = new CountDownLatch(1);
        reloads.start();
        reloads.enable(() -> {
            hold(goOn);
            return done.incrementAndGet() > 0;
        });
        for (int k = 0; k < SIGNALS; k++) {
            reloads.request();
        }
        goOn.countDown();
        await("both", () -> done.get() == 2);
        Thread.sleep(REST_MS);
        assertEquals(2, done.get());
    }

    /** No further signal may come for it. Those that do come shorten no rest between two tries. */
    @Example
    void aFileThatCanNotBeReadIsReadAgainAtAPaceOfItsOwn() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        reloads.start();
        reloads.enable(() -> tries.incrementAndGet() == 4);
        long began = System.nanoTime();
        for (int k = 0; k < SIGNALS; k++) {
            reloads.request();
        }
        await("its fourth try", () -> tries.get() == 4);
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(took >= REST_MS, "four tries in " + took + " ms");
    }

    /** What a reload throws is a try that failed. */
    @Example
    void aFaultInOneEndsNoOther() throws Exception {
        AtomicInteger tries = new AtomicInteger();
        reloads.start();
        reloads.enable(() -> {
            if (tries.incrementAndGet() == 1) {
                throw new OutOfMemoryError("forced");
            }
            return true;
        });
        reloads.request();
        await("the next try", () -> tries.get() == 2);
    }

    /** As a disk that hangs: the end of the process must not. */
    @Example
    void whatHangsInOneHoldsUpTheEndNoLongerThanTold() throws Exception {
        CountDownLatch goOn = new CountDownLatch(1);
        CountDownLatch runs = new CountDownLatch(1);
        Reloads stuck = new Reloads();
        stuck.start();
        stuck.enable(() -> {
            runs.countDown();
            hold(goOn);
            return true;
        });
        stuck.request();
        assertTrue(runs.await(20, TimeUnit.SECONDS));
        long began = System.nanoTime();
        stuck.finish(() -> { }, REST_MS);
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) < 10 * REST_MS);
        goOn.countDown();
    }
}
