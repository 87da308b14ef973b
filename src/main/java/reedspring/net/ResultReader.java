package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.BitSet;
import reedspring.api.Event.Outcome;

/**
 * Collects the pages of the results on one connection. The first comes with the answer, the others are
 * requested; the pages of a result that is kept on disk are handed on one by one.
 */
final class ResultReader {
    private final Front front;
    private final Limits limits;
    private final RowValidator rowValidator;
    private final EngineConnection connection;

    ResultReader(Front front, Limits limits, RowValidator rowValidator, EngineConnection connection) {
        this.front = front;
        this.limits = limits;
        this.rowValidator = rowValidator;
        this.connection = connection;
    }

    /**
     * Takes the first page of a result, with the number of pages.
     *
     * @param s the open submission, or null
     * @param late whether the answer belongs to a submission that was closed before
     */
    void onData(Submission s, AnswerDecoder.Answer answer, boolean late) {
        double pageCount = answer.number("sheets", 1);
        boolean spoolable = s != null && s.pages == null && s.query.wantsPages && pageCount > 1
                && pageCount == Math.rint(pageCount)
                && pageCount <= Integer.MAX_VALUE;
        if (!(pageCount >= 1 && (spoolable || pageCount <= limits.pages))) {
            throw new CorruptedFrameException("invalid page count " + pageCount + " of a result");
        }
        if (s == null || s.pages != null) {
            if (s == null && pageCount > 1 && late) {
                connection.declinePages(answer.id());
            }
            return;
        }
        s.pageCount = (int) pageCount;
        s.missingPages = s.pageCount;
        front.recordEnd(s);
        s.workTicks = Math.round(Math.max(0, answer.number("toil", 0)) * 10);
        if (spoolable && !s.query.answered()) {
            s.pages = new ByteBuf[1];
            s.receivedPages = new BitSet();
            storePage(s, 0, answer.body());
            front.keptAnswers().offerAnswer(s);
            return;
        }
        s.pages = new ByteBuf[s.pageCount];
        storePage(s, 0, answer.body());
        if (s.ended) {
            return;
        }
        if (s.query.answered()) {
            // The query has been answered already: the other pages are not needed, but the run counts.
            front.submissionEnded(s, Outcome.FINISHED);
            return;
        }
        if (s.pages.length > 1 && front.isOverHeldLimit() && !s.query.client.isWritable()) {
            front.log().warn("result discarded, answer buffers at their limit", connection.engine());
            front.submissionEnded(s, Outcome.FINISHED);
            return;
        }
        for (int k = 1; k < s.pages.length; k++) {
            connection.requestPage(s, k);
        }
    }

    /** Takes another page of a result; without an open submission it is dropped. */
    void onPage(Submission s, AnswerDecoder.Answer answer) {
        if (s == null) {
            return;
        }
        double pageIndex = answer.number("sheet", -1);
        if (s.pages == null || !(pageIndex >= 0 && pageIndex < s.pageCount)
                || pageIndex != Math.rint(pageIndex)) {
            throw new CorruptedFrameException("page number outside the result");
        }
        if (s.receivedPages != null) {
            if (!s.receivedPages.get((int) pageIndex)) {
                if (!rowValidator.hasWholeRows(answer.body())) {
                    throw new CorruptedFrameException("page does not consist of whole rows");
                }
                s.receivedPages.set((int) pageIndex);
                s.missingPages--;
                front.keptAnswers().pageReceived(s, (int) pageIndex, answer.body());
            }
            return;
        }
        storePage(s, (int) pageIndex, answer.body());
    }

    private void storePage(Submission s, int pageIndex, ByteBuf page) {
        if (s.pages[pageIndex] != null) {
            return;
        }
        if (!rowValidator.hasWholeRows(page)) {
            throw new CorruptedFrameException("page does not consist of whole rows");
        }
        s.pages[pageIndex] = page.retain();
        s.resultBytes += page.readableBytes();
        front.addHeldBytes(page.readableBytes());
        if (s.receivedPages != null) {
            s.receivedPages.set(pageIndex);
            s.missingPages--;
        } else if (s.resultBytes > limits.answerBytes) {
            front.log().warn("engine result exceeds the size limit", connection.engine());
            front.submissionEnded(s, Outcome.ERROR);
        } else if (--s.missingPages == 0) {
            front.submissionEnded(s, Outcome.FINISHED);
        }
    }
}
