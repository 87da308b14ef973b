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
import reedspring.spool.SpoolLimits;
import reedspring.spool.SpoolEvent;
import reedspring.spool.store.FileDisk;
import reedspring.spool.store.StoreWorker;
import reedspring.spool.store.SegmentStore;

/**
 * Connects the spool, which keeps answers on disk, to the front. Delivers what engines and clients send to
 * the spool, and performs the steps that it asks for, on the loop or by its disk threads. Confined to the
 * event loop, except {@link #close}.
 */
final class KeptAnswers implements StoreWorker.Listener {
    private static final String UNKNOWN_HANDLE = "no such handle";

    private final Front front;
    private final SpoolLimits terms;
    private final Spool spool;
    private final StoreWorker keeper;
    private final HandleCodec handles;
    private final Map<Id.Query, Submission> submissionsByQuery = new HashMap<>();
    private final Map<AnswerId, Submission> submissionsByAnswer = new HashMap<>();
    private final Map<Long, PageRead> pageReads = new HashMap<>();
    /** Words for the spool; one that arrives while another is being processed is queued. */
    private final ArrayDeque<QueuedWord> queuedWords = new ArrayDeque<>();
    private boolean delivering;
    private ByteBuffer currentPageText;
    private long lastReadId;

    /** An event for the spool, with the text of the page if it brings one, else null. */
    private record QueuedWord(SpoolEvent word, ByteBuffer text) {
    }

    /** A client's request for a page, until it is answered. */
    private record PageRead(ClientConnection client, long messageId, Handle handle, int page) {
    }

    /** Opens the spool folder. The disk threads scan it in the background; no answer is kept until then. */
    KeptAnswers(Front front, EventLoop loop, String name, SpoolSettings orders) throws IOException {
        this.front = front;
        this.terms = orders.limits();
        this.handles = new HandleCodec(name, orders.keys());
        SecureRandom random = new SecureRandom();
        this.spool = new Spool(terms, random::nextLong);
        this.keeper = new StoreWorker(new SegmentStore(new FileDisk(orders.folder(), true), name,
                terms.pageBytes()), loop,
                this, orders.groupCommitTicks());
        keeper.start();
    }

    /** Stops the disk threads once queued writes are done; must not be called on the loop. */
    boolean close(long timeoutMs) throws InterruptedException {
        return keeper.close(timeoutMs);
    }

    void tick() {
        deliver(new SpoolEvent.Tick());
    }

    private void deliver(SpoolEvent word) {
        deliver(word, null);
    }

    private void deliver(SpoolEvent word, ByteBuffer text) {
        queuedWords.add(new QueuedWord(word, text));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            for (QueuedWord next = queuedWords.poll(); next != null; next = queuedWords.poll()) {
                currentPageText = next.text();
                spool.onEvent(front.clock().now(), next.word(), this::performStep);
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

    // ---- what the spool asks for

    /** Performs a step that the spool asks for. */
    private void performStep(SpoolAction step) {
        if (step instanceof SpoolAction.AcceptAnswer take) {
            Submission s = submissionsByQuery.get(take.query());
            s.keptAnswerId = take.answer();
            submissionsByAnswer.put(take.answer(), s);
            pageReceived(s, 0, s.pages[0]);
        } else if (step instanceof SpoolAction.RefuseAnswer refuse) {
            front.log().line("answer not kept", refuse.reason());
            endNotKept(submissionsByQuery.get(refuse.query()));
        } else if (step instanceof SpoolAction.FailAnswer lost) {
            front.log().line("answer not kept", lost.reason());
            Submission s = submissionsByAnswer.remove(lost.answer());
            endNotKept(s);
        } else if (step instanceof SpoolAction.FetchPage ask) {
            Submission s = submissionsByAnswer.get(ask.answer());
            if (s != null) {
                s.connection.requestPage(s, ask.page());
            }
        } else if (step instanceof SpoolAction.CompleteAnswer kept) {
            endKept(kept);
        } else if (step instanceof SpoolAction.RejectRead say) {
            answerFailedRead(say);
        } else if (step instanceof SpoolAction.LogMessage remark) {
            front.log().warnText("spool", remark.text());
        } else {
            keeper.accept(step, step instanceof SpoolAction.WritePage ? currentPageText : null);
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
    private void answerFailedRead(SpoolAction.RejectRead say) {
        PageRead pageRead = pageReads.remove(say.readId());
        String reasonText = switch (say.reason()) {
            case EXPIRED -> "the answer has expired";
            case GONE -> "the answer is not kept any more";
            case CORRUPT -> "the answer can't be read any more";
            case NO_SUCH_PAGE -> "no such page";
            case BUSY -> "too many pages are being read";
        };
        if (say.reason() == SpoolAction.Reason.BUSY) {
            pageRead.client().deferPageRead(pageRead.messageId(), say.retryAfter() / 10, reasonText);
        } else if (say.reason() != SpoolAction.Reason.NO_SUCH_PAGE && pageRead.handle().repeatable()) {
            pageRead.client().shedPageRead(pageRead.messageId(), reasonText);
        } else {
            pageRead.client().failPageRead(pageRead.messageId(), reasonText);
        }
    }

    @Override
    public void onEvent(SpoolEvent word) {
        try {
            deliver(word);
        } catch (RuntimeException | Error e) {
            front.log().error("spool failed", e);
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
