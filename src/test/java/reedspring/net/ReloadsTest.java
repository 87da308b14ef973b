package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;

/** What SIGHUP asks for, from threads that the JVM starts for each signal. */
class ReloadsTest {
    /** The first has read its file and is held up; a second comes, for a file that was written meanwhile. */
    @Example
    void theFileThatWasWrittenLastIsTheLastInForce() throws Exception {
        AtomicReference<String> file = new AtomicReference<>("first");
        List<String> inForce = new CopyOnWriteArrayList<>();
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        Startup.Reloads reloads = new Startup.Reloads();
        reloads.by(() -> {
            String held = file.get();
            read.countDown();
            try {
                assertTrue(held.equals("last") || goOn.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            inForce.add(held);
        });
        Thread first = new Thread(reloads::wanted);
        first.start();
        assertTrue(read.await(20, TimeUnit.SECONDS));
        file.set("last");
        Thread second = new Thread(reloads::wanted);
        second.start();
        await("the second to wait, or to have overtaken", () ->
                second.getState() == Thread.State.BLOCKED || second.getState() == Thread.State.TERMINATED);
        goOn.countDown();
        first.join(20_000);
        second.join(20_000);
        assertEquals(List.of("first", "last"), inForce);
    }

    @Example
    void oneThatWasWantedBeforeThereIsAFrontIsMadeUpForOnce() {
        List<String> done = new CopyOnWriteArrayList<>();
        Startup.Reloads reloads = new Startup.Reloads();
        reloads.wanted();
        reloads.wanted();
        reloads.by(() -> done.add("made up for"));
        assertEquals(1, done.size());
        reloads.wanted();
        assertEquals(2, done.size());
    }
}
