package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.settings.InstallationSettings.SpoolSettings;
import reedspring.spool.AnswerId;
import reedspring.spool.Handle;
import reedspring.spool.HandleCodec;
import reedspring.spool.Spool;
import reedspring.spool.SpoolAction;
import reedspring.spool.SpoolBudget;
import reedspring.spool.SpoolEvent;
import reedspring.spool.SpoolLimits;
import reedspring.spool.store.FileDisk;
import reedspring.spool.store.SegmentStore;
import reedspring.spool.store.StoreWorker;

/**
 * Connects the spool, which keeps answers on disk, to the front. Delivers what engines and clients send to
 * the spool, and performs the actions that it decides on, on the loop or by its disk threads. Confined to the
 * event loop, except {@link #close}.
 */
final class KeptAnswers implements StoreWorker.Listener {
    private static final String UNKNOWN_HANDLE = "no such handle";

    private final Front front;
    private final Spool spool;
    private final StoreWorker storeWorker;
    private final HandleCodec handles;
    private final Map<Id.Query, Submission> submissionsByQuery = new HashMap<>();
    private final Map<AnswerId, Submission> submissionsByAnswer = new HashMap<>();
    private final Map<Long, PageRead> pageReads = new HashMap<>();
    /** Events for the spool; one that arrives while another is being processed is queued. */
    private final ArrayDeque<QueuedEvent> queuedEvents = new ArrayDeque<>();
    private boolean delivering;
    private ByteBuffer currentPageText;
    private long lastReadId;

    /** An event for the spool, with the text of the page if it has one, else null. */
    private record QueuedEvent(SpoolEvent event, ByteBuffer text) {
    }

    /** A client's request for a page, until it is answered. */
    private record PageRead(ClientConnection client, long messageId, Handle handle, int page) {
    }

    /** Opens the spool folder. The disk threads scan it in the background; no answer is kept until then. */
    KeptAnswers(Front front, EventLoop loop, String name, SpoolSettings settings) throws IOException {
        this.front = front;
        SpoolBudget budget = front.limits().spoolBudget;
        SpoolLimits limits = settings.limits();
        this.handles = new HandleCodec(name, settings.keys());
        SecureRandom random = new SecureRandom();
        this.spool = new Spool(limits, budget, random::nextLong);
        this.storeWorker = new StoreWorker(
                new SegmentStore(new FileDisk(settings.folder(), true), name, limits.pageBytes(), budget,
                        front.clock()::now), loop, this, settings.groupCommitTicks());
        storeWorker.start();
    }

    /** Stops the disk threads once queued writes are done; must not be called on the loop. */
    boolean close(long timeoutMs) throws InterruptedException {
        return storeWorker.close(timeoutMs);
    }

    void tick() {
        deliver(new SpoolEvent.Tick());
    }

    private void deliver(SpoolEvent event) {
        deliver(event, null);
    }

    private void deliver(SpoolEvent event, ByteBuffer text) {
        queuedEvents.add(new QueuedEvent(event, text));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (QueuedEvent next = queuedEvents.poll(); next != null; next = queuedEvents.poll()) {
                currentPageText = next.text();
                spool.onEvent(front.clock().now(), next.event(), this::performAction);
            }
        } finally {
            currentPageText = null;
            delivering = false;
        }
    }

    // ---- engines

    /** Offers an answer to the spool once its engine has sent the page count and the first page. */
    void offerAnswer(Submission s) {
        OpenQuery q = s.query;
        submissionsByQuery.put(q.id, s);
        deliver(new SpoolEvent.AnswerAnnounced(q.id, q.tenant, q.repeatable, s.pageCount));
    }

    /** Passes a page of an answer to the spool, if it keeps that answer. */
    void pageReceived(Submission s, int page, ByteBuf text) {
        if (s.keptAnswerId == null) {
            return;
        }
        // The loop may reuse the buffer, so the writer thread gets a copy.
        ByteBuffer copy = ByteBuffer.allocate(text.readableBytes());
        text.getBytes(text.readerIndex(), copy);
        copy.flip();
        deliver(new SpoolEvent.PageReceived(s.keptAnswerId, page, copy.remaining()), copy);
    }

    /** Ends a submission, whether or not its answer is kept. */
    void submissionEnded(Submission s) {
        submissionsByQuery.remove(s.query.id, s);
        if (s.keptAnswerId != null && submissionsByAnswer.remove(s.keptAnswerId) != null) {
            deliver(new SpoolEvent.QueryEnded(s.keptAnswerId));
        }
    }

    // ---- clients

    void requestPage(ClientConnection client, long messageId, Map<String, String> fields) {
        Handle handle = readHandle(fields);
        int page = -1;
        try {
            page = Integer.parseInt(fields.getOrDefault("sheet", ""));
        } catch (NumberFormatException e) {
            // -1 is not the number of any page
        }
        if (handle == null) {
            client.failPageRead(messageId, UNKNOWN_HANDLE);
            return;
        }
        long readId = ++lastReadId;
        pageReads.put(readId, new PageRead(client, messageId, handle, page));
        deliver(new SpoolEvent.PageRequested(readId, handle, page));
    }

    void release(ClientConnection client, long messageId, Map<String, String> fields) {
        Handle handle = readHandle(fields);
        if (handle == null) {
            client.sendError(messageId, UNKNOWN_HANDLE);
            return;
        }
        deliver(new SpoolEvent.AnswerReleased(handle));
        client.confirmRelease(messageId);
    }

    private Handle readHandle(Map<String, String> fields) {
        String text = fields.get("handle");
        String tenant = fields.get("customer");
        return text == null || tenant == null ? null : handles.decode(text, tenant);
    }

    // ---- actions of the spool

    /** Performs an action that the spool has decided on. */
    private void performAction(SpoolAction action) {
        if (action instanceof SpoolAction.AcceptAnswer accepted) {
            Submission s = submissionsByQuery.get(accepted.query());
            s.keptAnswerId = accepted.answer();
            submissionsByAnswer.put(accepted.answer(), s);
            pageReceived(s, 0, s.pages[0]);
        } else if (action instanceof SpoolAction.RefuseAnswer refused) {
            front.log().warn("answer not kept", refused.reason());
            endNotKept(submissionsByQuery.get(refused.query()));
        } else if (action instanceof SpoolAction.FailAnswer failed) {
            front.log().warn("answer not kept", failed.reason());
            Submission s = submissionsByAnswer.remove(failed.answer());
            endNotKept(s);
        } else if (action instanceof SpoolAction.FetchPage fetch) {
            Submission s = submissionsByAnswer.get(fetch.answer());
            if (s != null) {
                s.connection.requestPage(s, fetch.page());
            }
        } else if (action instanceof SpoolAction.CompleteAnswer completed) {
            endKept(completed);
        } else if (action instanceof SpoolAction.RejectRead rejected) {
            answerFailedRead(rejected);
        } else if (action instanceof SpoolAction.LogMessage message) {
            front.log().warnText("spool", message.text());
        } else {
            storeWorker.accept(action, action instanceof SpoolAction.WritePage ? currentPageText : null);
        }
    }

    /** Ends a submission whose answer could not be kept. */
    private void endNotKept(Submission s) {
        if (s != null) {
            s.keptAnswerId = null;
            front.submissionEnded(s, Outcome.NOT_KEPT);
        }
    }

    /** Ends a submission whose answer is complete on disk, and creates its handle. */
    private void endKept(SpoolAction.CompleteAnswer kept) {
        Submission s = submissionsByAnswer.remove(kept.answer());
        if (s != null) {
            OpenQuery q = s.query;
            s.handle = handles.encode(new Handle(kept.answer(), q.tenant, q.repeatable, kept.expiresAt()));
            s.keptForMs = (kept.expiresAt() - front.clock().now()) / 10;
            front.submissionEnded(s, Outcome.FINISHED);
        }
    }

    /** Answers a client's request for a page that can't be read. */
    private void answerFailedRead(SpoolAction.RejectRead rejected) {
        PageRead pageRead = pageReads.remove(rejected.readId());
        String reasonText = switch (rejected.reason()) {
            case EXPIRED -> "the answer has expired";
            case GONE -> "the answer is not kept any more";
            case CORRUPT -> "the answer can't be read any more";
            case NO_SUCH_PAGE -> "no such page";
            case BUSY -> "too many pages are being read";
        };
        if (rejected.reason() == SpoolAction.Reason.BUSY) {
            pageRead.client().deferPageRead(pageRead.messageId(), rejected.retryAfter() / 10, reasonText);
        } else if (rejected.reason() != SpoolAction.Reason.NO_SUCH_PAGE && pageRead.handle().repeatable()) {
            pageRead.client().shedPageRead(pageRead.messageId(), reasonText);
        } else {
            pageRead.client().failPageRead(pageRead.messageId(), reasonText);
        }
    }

    /** Without its disk threads, the front would take answers that it can't keep or deliver. */
    @Override
    public void onThreadFailed(String thread, Throwable cause) {
        FatalErrors.endProcess(thread, cause);
    }

    @Override
    public void onEvent(SpoolEvent event) {
        try {
            deliver(event);
        } catch (RuntimeException | Error e) {
            FatalErrors.logOrEndProcess(front.log(), "spool failed", e);
        }
    }

    @Override
    public void onPage(long readId, ByteBuffer text) {
        PageRead pageRead = pageReads.remove(readId);
        if (pageRead != null) {
            pageRead.client().sendPage(pageRead.messageId(), pageRead.page(), Unpooled.wrappedBuffer(text));
        }
    }
}
