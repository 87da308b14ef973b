package reedspring.spool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import reedspring.rig.MemoryDisk;
import reedspring.spool.AnswerId;
import reedspring.spool.Step;
import reedspring.spool.Word;

/** The threads behind the loop, on a disk that stands still and one that fails. */
class KeeperTest {
    private final ExecutorService loop = Executors.newSingleThreadExecutor();
    private final List<Word> words = new CopyOnWriteArrayList<>();
    private final List<String> pages = new CopyOnWriteArrayList<>();
    private final MemoryDisk disk = new MemoryDisk(1);
    private volatile CountDownLatch goOn = new CountDownLatch(0);
    private volatile boolean readsFail;
    private final Store store = new Store(new Stalling(), "n0", 100);
    private final Keeper keeper = new Keeper(store, loop, new Keeper.Listener() {
        @Override
        public void word(Word word) {
            words.add(word);
        }

        @Override
        public void page(long reader, ByteBuffer text) {
            byte[] bytes = new byte[text.remaining()];
            text.get(bytes);
            pages.add(new String(bytes));
        }
    }, 50);

    /** Its syncs wait for the test. */
    private final class Stalling implements Disk {
        @Override
        public List<String> list() {
            return disk.list();
        }

        @Override
        public Out create(String name) throws IOException {
            Out out = disk.create(name);
            return new Out() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    out.write(bytes);
                }

                @Override
                public void sync() throws IOException {
                    try {
                        goOn.await();
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    out.sync();
                }

                @Override
                public void close() throws IOException {
                    out.close();
                }
            };
        }

        @Override
        public In open(String name) throws IOException {
            if (readsFail) {
                throw new IOException("Input/output error");
            }
            return disk.open(name);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            disk.rename(from, to);
        }

        @Override
        public void delete(String name) throws IOException {
            disk.delete(name);
        }

        @Override
        public void syncNames() throws IOException {
            disk.syncNames();
        }

        @Override
        public void close() {
            disk.close();
        }
    }

    @AfterTry
    void end() {
        loop.shutdownNow();
    }

    private void keep(AnswerId id, long segment) {
        keeper.accept(new Step.Write(id, segment, 0), ByteBuffer.wrap(("of " + id).getBytes()));
        keeper.accept(new Step.CommitAnswer(id, segment, "acme", true, 1, Long.MAX_VALUE), null);
    }

    @Example
    void whileTheDiskStandsStillNothingIsAcknowledgedAndReadersAreServed() throws Exception {
        AnswerId first = new AnswerId(1, 1);
        AnswerId second = new AnswerId(2, 2);
        keeper.start();
        keeper.accept(new Step.OpenSegment(1), null);
        keep(first, 1);
        await("the first", () -> words.contains(new Word.AnswerCommitted(first)));
        goOn = new CountDownLatch(1);
        keep(second, 1);
        // The page waits in memory no more, but the answer is not safe yet.
        await("its page", () -> words.contains(new Word.PageWritten(second, 0)));
        keeper.accept(new Step.ReadPage(7, first, 1, 0), null);
        await("a page meanwhile", () -> words.contains(new Word.PageRead(7, first, 0)));
        assertEquals(List.of("of " + first), pages);
        Thread.sleep(100);
        assertFalse(words.contains(new Word.AnswerCommitted(second)));
        assertFalse(keeper.close(50), "the end waits no longer than it is told to");
        goOn.countDown();
        await("the second", () -> words.contains(new Word.AnswerCommitted(second)));
    }

    /** An answer that was acknowledged is owed, whatever the disk does for a while. */
    @Example
    void aReadThatFailsForAWhileCostsNoAnswer() throws Exception {
        AnswerId first = new AnswerId(1, 1);
        keeper.start();
        keeper.accept(new Step.OpenSegment(1), null);
        keep(first, 1);
        await("the first", () -> words.contains(new Word.AnswerCommitted(first)));
        readsFail = true;
        keeper.accept(new Step.ReadPage(7, first, 1, 0), null);
        await("what became of it", () -> words.stream().anyMatch(word -> word instanceof Word.PageReadFailed
                || word instanceof Word.PageCorrupt));
        assertTrue(words.stream().noneMatch(Word.PageCorrupt.class::isInstance), "called damaged: " + words);
        readsFail = false;
        keeper.accept(new Step.ReadPage(8, first, 1, 0), null);
        await("its page", () -> words.contains(new Word.PageRead(8, first, 0)));
    }

    /** A kill left a segment without its index, and the disk fails when the next process starts. */
    @Example
    void aStartOnADiskThatFailsFindsWhatWasKept() throws Exception {
        AnswerId first = new AnswerId(1, 1);
        keeper.start();
        keeper.accept(new Step.OpenSegment(1), null);
        keep(first, 1);
        await("the first", () -> words.contains(new Word.AnswerCommitted(first)));
        disk.restart();
        disk.faults(1);
        readsFail = true;
        words.clear();
        Keeper next = new Keeper(new Store(new Stalling(), "n0", 100), loop, new Keeper.Listener() {
            @Override
            public void word(Word word) {
                words.add(word);
            }

            @Override
            public void page(long reader, ByteBuffer text) {
                pages.add("read");
            }
        }, 50);
        next.start();
        Thread.sleep(200);
        readsFail = false;
        await("what was kept", () -> words.stream().anyMatch(word -> word instanceof Word.Recovered found
                && found.answers().stream().anyMatch(answer -> answer.answer().equals(first))));
        next.accept(new Step.ReadPage(7, first, 1, 0), null);
        await("its page", () -> pages.contains("read"));
        assertTrue(next.close(5_000));
    }

    @Example
    void afterAFailedSyncNothingMoreOfTheSegmentIsAcknowledged() throws Exception {
        AnswerId first = new AnswerId(1, 1);
        AnswerId second = new AnswerId(2, 2);
        AnswerId third = new AnswerId(3, 3);
        keeper.start();
        keeper.accept(new Step.OpenSegment(1), null);
        keep(first, 1);
        await("the first", () -> words.contains(new Word.AnswerCommitted(first)));
        goOn = new CountDownLatch(1);
        keep(second, 1);
        disk.faults(1);
        goOn.countDown();
        await("the failure", () -> words.stream().anyMatch(Word.SegmentFailed.class::isInstance));
        disk.faults(0);
        keep(third, 1);
        await("its page, which is let go", () -> words.contains(new Word.PageWritten(third, 0)));
        keeper.accept(new Step.SealSegment(1), null);
        keeper.accept(new Step.OpenSegment(2), null);
        keep(third, 2);
        await("the third elsewhere", () -> words.contains(new Word.AnswerCommitted(third)));
        assertEquals(1, words.stream().filter(Word.SegmentFailed.class::isInstance).count());
        assertFalse(words.contains(new Word.AnswerCommitted(second)));
        assertTrue(keeper.close(5_000));
        // What was acknowledged is there for the next process, and nothing else.
        disk.restart();
        Word.Recovered found = new Store(disk, "n0", 100).recover(remark -> { });
        assertEquals(List.of(first, third), found.answers().stream().map(Word.RecoveredAnswer::answer).toList());
    }
}
