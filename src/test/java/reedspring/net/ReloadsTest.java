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

/** Reloads on SIGHUP, with any number of signals. */
class ReloadsTest {
    private static final int SIGNALS = 3_000;
    private static final long WAIT_MS = 300;

    private final Reloads reloads = new Reloads();

    @AfterTry
    void end() throws Exception {
        reloads.finish(() -> { }, WAIT_MS);
    }

    private static void awaitRelease(CountDownLatch release) {
        try {
            assertTrue(release.await(20, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A second request, for a new file, arrives while the first reload has read the old one and blocks. */
    @Example
    void lastWrittenFileTakesEffectLast() throws Exception {
        AtomicReference<String> file = new AtomicReference<>("first");
        List<String> inForce = new CopyOnWriteArrayList<>();
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        reloads.start();
        reloads.enable(() -> {
            String content = file.get();
            read.countDown();
            if (!content.equals("last")) {
                awaitRelease(release);
            }
            return inForce.add(content);
        });
        reloads.request();
        assertTrue(read.await(20, TimeUnit.SECONDS));
        file.set("last");
        // On this thread, like a signal handler: the request must not wait for the running reload.
        reloads.request();
        release.countDown();
        await("the second reload", () -> inForce.size() == 2);
        assertEquals(List.of("first", "last"), inForce);
    }

    @Example
    void requestsBeforeTheFrontIsUpCauseOneReload() throws Exception {
        AtomicInteger reloadCount = new AtomicInteger();
        reloads.request();
        reloads.request();
        reloads.start();
        reloads.enable(() -> reloadCount.incrementAndGet() > 0);
        await("the first reload", () -> reloadCount.get() == 1);
        Thread.sleep(WAIT_MS);
        assertEquals(1, reloadCount.get());
        reloads.request();
        await("another reload", () -> reloadCount.get() == 2);
    }

    @Example
    void requestsDuringAReloadCauseOneMore() throws Exception {
        AtomicInteger reloadCount = new AtomicInteger();
        CountDownLatch running = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        reloads.start();
        reloads.enable(() -> {
            running.countDown();
            awaitRelease(release);
            return reloadCount.incrementAndGet() > 0;
        });
        reloads.request();
        // Requests before the first reload runs would be served by it, and none would be left for a second.
        assertTrue(running.await(20, TimeUnit.SECONDS));
        for (int k = 0; k < SIGNALS; k++) {
            reloads.request();
        }
        release.countDown();
        await("both reloads", () -> reloadCount.get() == 2);
        Thread.sleep(WAIT_MS);
        assertEquals(2, reloadCount.get());
    }

    /** No further signal may announce the file, and signals must not shorten the delay between attempts. */
    @Example
    void unreadableFileIsRetriedAtItsOwnPace() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        reloads.start();
        reloads.enable(() -> attempts.incrementAndGet() == 4);
        long began = System.nanoTime();
        for (int k = 0; k < SIGNALS; k++) {
            reloads.request();
        }
        await("its fourth attempt", () -> attempts.get() == 4);
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
        assertTrue(took >= WAIT_MS, "four attempts in " + took + " ms");
    }

    /** An exception in a reload counts as a failed attempt. */
    @Example
    void exceptionInAReloadIsRetried() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        reloads.start();
        reloads.enable(() -> {
            if (attempts.incrementAndGet() == 1) {
                throw new OutOfMemoryError("forced");
            }
            return true;
        });
        reloads.request();
        await("the next attempt", () -> attempts.get() == 2);
    }

    /** A reload that hangs, such as on a disk, must not block the end of the process. */
    @Example
    void hangingReloadDelaysTheEndOnlyUpToTheTimeout() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch runs = new CountDownLatch(1);
        Reloads stuck = new Reloads();
        stuck.start();
        stuck.enable(() -> {
            runs.countDown();
            awaitRelease(release);
            return true;
        });
        stuck.request();
        assertTrue(runs.await(20, TimeUnit.SECONDS));
        long began = System.nanoTime();
        stuck.finish(() -> { }, WAIT_MS);
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began) < 10 * WAIT_MS);
        release.countDown();
    }
}
