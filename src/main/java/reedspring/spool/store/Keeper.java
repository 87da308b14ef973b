package reedspring.spool.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import reedspring.spool.AnswerId;
import reedspring.spool.Step;
import reedspring.spool.Word;

/**
 * Does the spool's steps behind the loop: one thread writes, one reads, and what comes of it goes back to the
 * loop as words. Neither is ever waited for. What the queue to them may hold is bounded by the spool, which
 * asks engines for no more pages than its terms allow to wait.
 *
 * <p>Commits are made last together: when nothing more is to be written, or the first has waited for the time
 * that was named.
 */
public final class Keeper {
    /** What the loop is given back. All is called on it. */
    public interface Listener {
        void word(Word word);

        /** A page that was asked for, before its {@link Word.PageRead}. */
        void page(long reader, ByteBuffer text);
    }

    private record Task(Step step, ByteBuffer text) {
    }

    private record Commit(long segment, Word done) {
    }

    private static final Task END = new Task(null, null);
    private static final long RECOVER_REST_MS = 500;

    private final Store store;
    private final Executor loop;
    private final Listener listener;
    private final long groupNanos;
    private final BlockingQueue<Task> writes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Task> reads = new LinkedBlockingQueue<>();
    private final Thread writer = new Thread(this::write, "spool-writer");
    private final Thread reader = new Thread(this::read, "spool-reader");
    private final Map<Long, String> failed = new LinkedHashMap<>();
    private final List<Commit> pending = new ArrayList<>();
    private long pendingSince;

    /** @param group tenths of a millisecond that a commit waits for others at most */
    public Keeper(Store store, Executor loop, Listener listener, long group) {
        this.store = store;
        this.loop = loop;
        this.listener = listener;
        this.groupNanos = group * 100_000;
        writer.setDaemon(true);
        reader.setDaemon(true);
    }

    /** Recovers first; {@link Word.Found} is the first word. */
    public void start() {
        writer.start();
        reader.start();
    }

    /** @param text with {@link Step.Write} alone; it is the keeper's until {@link Word.Written} */
    public void accept(Step step, ByteBuffer text) {
        (step instanceof Step.ReadPage ? reads : writes).add(new Task(step, text));
    }

    /** Writes what is queued and ends; false if that takes longer. */
    public boolean close(long ms) throws InterruptedException {
        writes.add(END);
        reads.add(END);
        reader.join(ms);
        writer.join(ms);
        return !writer.isAlive();
    }

    private void say(Word word) {
        loop.execute(() -> listener.word(word));
    }

    private void remark(String text) {
        say(new Word.Remarked(text));
    }

    // ---- writing

    private void write() {
        try {
            if (!recover()) {
                return;
            }
            while (true) {
                Task task = pending.isEmpty() ? writes.take() : writes.poll();
                if (task == null || !pending.isEmpty() && System.nanoTime() - pendingSince >= groupNanos) {
                    syncAll();
                }
                if (task == END) {
                    syncAll();
                    store.close();
                    return;
                }
                if (task != null) {
                    one(task);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            remark("spool can't be closed: " + e.getMessage());
        }
    }

    /**
     * Finds what is there, again and again while the disk fails: what was kept before is still owed. False if
     * nothing can be kept.
     */
    private boolean recover() throws IOException, InterruptedException {
        while (true) {
            try {
                say(store.recover(this::remark));
                return true;
            } catch (RuntimeException e) {
                say(new Word.Unusable(String.valueOf(e.getMessage())));
                return false;
            } catch (IOException e) {
                remark("folder can't be read yet: " + e.getMessage());
            }
            // Nothing is asked of a spool that has not said what it found, but to end.
            if (writes.poll(RECOVER_REST_MS, TimeUnit.MILLISECONDS) == END) {
                store.close();
                return false;
            }
        }
    }

    private void one(Task task) {
        long segment = segmentOf(task.step());
        try {
            if (segment < 0 || !failed.containsKey(segment)) {
                perform(task);
            }
        } catch (IOException | RuntimeException e) {
            if (segment >= 0) {
                fail(segment, e);
            } else {
                remark("spool: " + e.getMessage());
            }
        }
        if (task.step() instanceof Step.Write write) {
            say(new Word.Written(write.answer(), write.page()));
        }
    }

    /** The segment that the step writes to, -1 if its failure costs none. */
    private static long segmentOf(Step step) {
        return step instanceof Step.Open open ? open.segment()
                : step instanceof Step.Write write ? write.segment()
                : step instanceof Step.Commit commit ? commit.segment()
                : step instanceof Step.Move move ? move.to() : -1;
    }

    private void perform(Task task) throws IOException {
        Step step = task.step();
        if (step instanceof Step.Open open) {
            store.open(open.segment());
        } else if (step instanceof Step.Write write) {
            store.write(write.answer(), write.segment(), write.page(), task.text());
        } else if (step instanceof Step.Commit commit) {
            store.whole(commit.answer(), commit.segment(), commit.tenant(), commit.repeatable(),
                    commit.pages(),
                    commit.expiresAt());
            later(commit.segment(), new Word.Committed(commit.answer()));
        } else if (step instanceof Step.Move move) {
            move(move.answer(), move.to());
        } else if (step instanceof Step.Drop drop) {
            store.drop(drop.answer());
        } else if (step instanceof Step.Seal seal) {
            syncAll();
            store.seal(seal.segment());
        } else if (step instanceof Step.Delete delete) {
            pending.removeIf(commit -> commit.segment() == delete.segment());
            failed.remove(delete.segment());
            store.delete(delete.segment());
        }
    }

    private void move(AnswerId answer, long to) throws IOException {
        try {
            store.move(answer, to);
        } catch (Store.DamagedException e) {
            say(new Word.MoveFailed(answer, to, e.getMessage()));
            return;
        }
        later(to, new Word.Moved(answer, to));
    }

    private void later(long segment, Word done) {
        if (pending.isEmpty()) {
            pendingSince = System.nanoTime();
        }
        pending.add(new Commit(segment, done));
    }

    private void syncAll() {
        for (long segment : pending.stream().map(Commit::segment).distinct().toList()) {
            List<Commit> done = pending.stream().filter(commit -> commit.segment() == segment).toList();
            try {
                store.sync(segment);
                done.forEach(commit -> say(commit.done()));
            } catch (IOException | RuntimeException e) {
                fail(segment, e);
            }
        }
        pending.clear();
    }

    private void fail(long segment, Exception e) {
        pending.removeIf(commit -> commit.segment() == segment);
        if (failed.putIfAbsent(segment, "") == null) {
            say(new Word.SegmentFailed(segment, String.valueOf(e.getMessage())));
        }
    }

    // ---- reading

    private void read() {
        try {
            for (Task task = reads.take(); task != END; task = reads.take()) {
                Step.ReadPage wanted = (Step.ReadPage) task.step();
                try {
                    ByteBuffer text = store.read(wanted.answer(), wanted.page());
                    loop.execute(() -> {
                        listener.page(wanted.reader(), text);
                        listener.word(new Word.PageRead(wanted.reader(), wanted.answer(), wanted.page()));
                    });
                } catch (Store.DamagedException | RuntimeException e) {
                    say(new Word.PageDamaged(wanted.reader(), wanted.answer(), wanted.page(),
                            String.valueOf(e.getMessage())));
                } catch (IOException e) {
                    // An error of the disk, or no descriptor: what lies there may be read yet.
                    say(new Word.PageUnread(wanted.reader(), wanted.answer(), wanted.page(),
                            String.valueOf(e.getMessage())));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
