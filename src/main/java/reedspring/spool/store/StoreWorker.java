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
import reedspring.spool.SpoolAction;
import reedspring.spool.SpoolEvent;

/**
 * Performs the disk actions of the spool outside the event loop, on one thread for writes and one for reads.
 * Results return to the event loop as events; the loop never waits for a thread. The queues are unbounded
 * here, as the spool limits the pages that it requests from engines and the reads that it admits.
 *
 * <p>Commits are grouped: pending ones are synced when the write queue is empty or the oldest has waited for
 * the group commit time.
 */
public final class StoreWorker {
    /** Receives the results; called on the event loop only, except {@link #onThreadFailed}. */
    public interface Listener {
        /** A thread of the worker is about to end because of an error. Called on that thread. */
        void onThreadFailed(String thread, Throwable cause);

        /** Handles an event of the spool. */
        void onEvent(SpoolEvent event);

        /** The content of a page, just before its {@link SpoolEvent.PageRead}. */
        void onPage(long readId, ByteBuffer content);
    }

    private record Task(SpoolAction action, ByteBuffer content) {
    }

    private record PendingCommit(long segment, SpoolEvent completion) {
    }

    private static final Task STOP = new Task(null, null);
    private static final long RECOVERY_RETRY_MS = 500;

    private final SegmentStore store;
    private final Executor loop;
    private final Listener listener;
    private final long groupCommitNanos;
    private final BlockingQueue<Task> writes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Task> reads = new LinkedBlockingQueue<>();
    private final Thread writer = newThread("spool-writer", this::runWriter);
    private final Thread reader = newThread("spool-reader", this::runReader);
    private final Map<Long, String> failedSegments = new LinkedHashMap<>();
    private final List<PendingCommit> pendingCommits = new ArrayList<>();
    private long pendingSince;

    /** @param groupCommitTicks how long a commit waits for others at most, in tenths of a millisecond */
    public StoreWorker(SegmentStore store, Executor loop, Listener listener, long groupCommitTicks) {
        this.store = store;
        this.loop = loop;
        this.listener = listener;
        this.groupCommitNanos = groupCommitTicks * 100_000;
    }

    private Thread newThread(String name, Runnable work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (RuntimeException | Error e) {
                listener.onThreadFailed(name, e);
            }
        }, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts with recovery; its {@link SpoolEvent.Recovered} precedes the results of all other actions. */
    public void start() {
        writer.start();
        reader.start();
    }

    /**
     * Queues an action.
     *
     * @param content of the page, for {@link SpoolAction.WritePage} only; must not change until its
     *     {@link SpoolEvent.PageWritten}
     */
    public void accept(SpoolAction action, ByteBuffer content) {
        (action instanceof SpoolAction.ReadPage ? reads : writes).add(new Task(action, content));
    }

    /** Completes the queued writes and stops; returns false if that takes longer than the timeout. */
    public boolean close(long timeoutMs) throws InterruptedException {
        writes.add(STOP);
        reads.add(STOP);
        reader.join(timeoutMs);
        writer.join(timeoutMs);
        return !writer.isAlive();
    }

    private void report(SpoolEvent event) {
        loop.execute(() -> listener.onEvent(event));
    }

    private void notice(String text) {
        report(new SpoolEvent.StoreNotice(text));
    }

    // ---- writing

    private void runWriter() {
        try {
            if (!recover()) {
                return;
            }
            while (true) {
                Task task = pendingCommits.isEmpty() ? writes.take() : writes.poll();
                if (task == null || !pendingCommits.isEmpty()
                        && System.nanoTime() - pendingSince >= groupCommitNanos) {
                    syncAll();
                }
                if (task == STOP) {
                    syncAll();
                    store.close();
                    return;
                }
                if (task != null) {
                    runTask(task);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            notice("files could not be closed: " + e.getMessage());
        }
    }

    /**
     * Recovers the stored answers and retries while the disk fails, as earlier answers have to stay readable.
     * Returns false if the spool can't be used or is closed.
     */
    private boolean recover() throws IOException, InterruptedException {
        while (true) {
            try {
                report(store.recover(this::notice));
                return true;
            } catch (RuntimeException e) {
                report(new SpoolEvent.Unusable(String.valueOf(e.getMessage())));
                return false;
            } catch (IOException e) {
                notice("folder could not be read, retrying: " + e.getMessage());
            }
            // Before recovery has finished, the spool emits no disk action; only the stop task can arrive.
            if (writes.poll(RECOVERY_RETRY_MS, TimeUnit.MILLISECONDS) == STOP) {
                store.close();
                return false;
            }
        }
    }

    private void runTask(Task task) {
        long segment = segmentOf(task.action());
        try {
            if (segment < 0 || !failedSegments.containsKey(segment)) {
                perform(task);
            }
        } catch (IOException | RuntimeException e) {
            if (segment >= 0) {
                failSegment(segment, e);
            } else {
                notice("disk action failed: " + e.getMessage());
            }
        }
        if (task.action() instanceof SpoolAction.WritePage write) {
            report(new SpoolEvent.PageWritten(write.answer(), write.page()));
        }
    }

    /** Returns the segment that a failure of the action makes unusable, or -1. */
    private static long segmentOf(SpoolAction action) {
        return action instanceof SpoolAction.OpenSegment open ? open.segment()
                : action instanceof SpoolAction.WritePage write ? write.segment()
                : action instanceof SpoolAction.CommitAnswer commit ? commit.segment()
                : action instanceof SpoolAction.MoveAnswer move ? move.targetSegment() : -1;
    }

    private void perform(Task task) throws IOException {
        SpoolAction action = task.action();
        if (action instanceof SpoolAction.OpenSegment open) {
            store.createSegment(open.segment());
        } else if (action instanceof SpoolAction.WritePage write) {
            store.appendPage(write.answer(), write.segment(), write.page(), task.content());
        } else if (action instanceof SpoolAction.CommitAnswer commit) {
            store.appendCommit(commit.answer(), commit.segment(), commit.tenant(), commit.repeatable(),
                    commit.pages(), commit.expiresAt());
            awaitSync(commit.segment(), new SpoolEvent.AnswerCommitted(commit.answer()));
        } else if (action instanceof SpoolAction.MoveAnswer move) {
            move(move.answer(), move.targetSegment());
        } else if (action instanceof SpoolAction.DropAnswer drop) {
            store.drop(drop.answer(), drop.recorded());
        } else if (action instanceof SpoolAction.SealSegment seal) {
            syncAll();
            store.seal(seal.segment());
        } else if (action instanceof SpoolAction.DeleteSegment delete) {
            pendingCommits.removeIf(commit -> commit.segment() == delete.segment());
            failedSegments.remove(delete.segment());
            store.delete(delete.segment());
        }
    }

    private void move(AnswerId answer, long targetSegment) throws IOException {
        try {
            store.move(answer, targetSegment);
        } catch (SegmentStore.CorruptDataException e) {
            report(new SpoolEvent.MoveFailed(answer, targetSegment, e.getMessage()));
            return;
        }
        awaitSync(targetSegment, new SpoolEvent.AnswerMoved(answer, targetSegment));
    }

    private void awaitSync(long segment, SpoolEvent completion) {
        if (pendingCommits.isEmpty()) {
            pendingSince = System.nanoTime();
        }
        pendingCommits.add(new PendingCommit(segment, completion));
    }

    private void syncAll() {
        for (long segment : pendingCommits.stream().map(PendingCommit::segment).distinct().toList()) {
            List<PendingCommit> synced = pendingCommits.stream().filter(commit -> commit.segment() == segment)
                    .toList();
            try {
                store.sync(segment);
                synced.forEach(commit -> report(commit.completion()));
            } catch (IOException | RuntimeException e) {
                failSegment(segment, e);
            }
        }
        pendingCommits.clear();
    }

    private void failSegment(long segment, Exception e) {
        pendingCommits.removeIf(commit -> commit.segment() == segment);
        if (failedSegments.putIfAbsent(segment, "") == null) {
            report(new SpoolEvent.SegmentFailed(segment, String.valueOf(e.getMessage())));
        }
    }

    // ---- reading

    private void runReader() {
        try {
            for (Task task = reads.take(); task != STOP; task = reads.take()) {
                SpoolAction.ReadPage request = (SpoolAction.ReadPage) task.action();
                try {
                    ByteBuffer content = store.readPage(request.answer(), request.page());
                    loop.execute(() -> {
                        listener.onPage(request.readId(), content);
                        listener.onEvent(new SpoolEvent.PageRead(request.readId(), request.answer(),
                                request.page()));
                    });
                } catch (SegmentStore.CorruptDataException | RuntimeException e) {
                    report(new SpoolEvent.PageCorrupt(request.readId(), request.answer(), request.page(),
                            String.valueOf(e.getMessage())));
                } catch (IOException e) {
                    // A disk error or no free file descriptor: a later read may succeed.
                    report(new SpoolEvent.PageReadFailed(request.readId(), request.answer(), request.page(),
                            String.valueOf(e.getMessage())));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
