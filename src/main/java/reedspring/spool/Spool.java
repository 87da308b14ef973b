package reedspring.spool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reedspring.api.Id;
import reedspring.spool.Step.Reason;

/**
 * Decides on answers that are kept on disk so that their engine is free: which are taken, what room they get,
 * when pages are asked for, what is given up and what readers are told. Make one with its terms, hand it what
 * was found on the disk first ({@link Word.Recovered}), then each word to {@link #on} with its time; what has to
 * be done comes out of the consumer, in order, before the call returns. Not for use by several threads. Times
 * are Unix time in whole tenths of a millisecond. No I/O: whoever calls it does the steps. Reasons:
 * docs/spool.md.
 *
 * <p>Room is reckoned in what lies on the disk. A segment goes as a whole once nothing in it is wanted; so
 * what is dead in a segment counts until then, and what lives on in one that is mostly dead is moved.
 */
public final class Spool {
    /** Over this part of the room, segments of which more than {@code DEAD} is dead are cleared. */
    private static final double COMPACTION_FILL_RATIO = 0.6;
    private static final double COMPACTION_DEAD_RATIO = 0.3;
    /** A page is read in less than this, so that a reader who is told to wait for it finds room. */
    private static final long BUSY_RETRY_TICKS = 1_000;

    private final Terms terms;
    private final LongSupplier randomBits;
    private final Map<AnswerId, Answer> answers = new LinkedHashMap<>();
    private final Map<AnswerId, Answer> uncommitted = new LinkedHashMap<>();
    private final Map<Id.Query, AnswerId> answerByQuery = new HashMap<>();
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final Map<String, TenantUsage> usageByTenant = new HashMap<>();
    private final Map<Long, String> activeReads = new HashMap<>();
    private Consumer<Step> actions;
    private long now;
    private long activeSegment = -1;
    private long lastSegment;
    private long reservedBytes;
    /** Pages that were asked for or wait to be written, at the most that they may hold. */
    private long bufferedBytes;
    private Answer movingAnswer;
    private long moveTarget;
    /** Whether it is known what lies on the disk. */
    private boolean recovered;
    private boolean unusable;
    private long backoffUntil;
    private long backoff;

    /** One answer, from its announcement until nothing of it is wanted. */
    private static final class Answer {
        private AnswerId id;
        private Id.Query query;
        private String tenant;
        private boolean repeatable;
        private int pageCount;
        private long segment;
        private long writtenBytes;
        private long reservedBytes;
        private long expiresAt;
        private boolean committing;
        private int pagesRequested;
        private int pagesReceived;
        /** While it is being filled: the sizes of the pages that wait to be written. */
        private final Map<Integer, Integer> unwrittenPageSizes = new HashMap<>();
        private boolean readToEnd;
        private long lastReadAt;
        private int activeReads;
    }

    private static final class Segment {
        private long bytes = Terms.SEGMENT_OVERHEAD_BYTES;
        private long liveBytes;
        private int committedAnswers;
        private int uncommittedAnswers;
        private int droppedAnswers;
        private boolean sealed;
    }

    /** What one tenant holds. */
    private static final class TenantUsage {
        private long bytes;
        private int answers;
        private int activeReads;
    }

    /** @param ids 64 bits that nobody can guess, for the names of answers */
    public Spool(Terms terms, LongSupplier ids) {
        this.terms = terms;
        this.randomBits = ids;
        this.backoff = terms.initialBackoff();
    }

    /** Takes one word at its time and gives out what follows from it. */
    public void on(long time, Word event, Consumer<Step> consumer) {
        now = Math.max(now, time);
        actions = consumer;
        if (event instanceof Word.Began began) {
            startAnswer(began);
        } else if (event instanceof Word.PageCame page) {
            pageReceived(page);
        } else if (event instanceof Word.PageWritten written) {
            pageWritten(written);
        } else if (event instanceof Word.AnswerCommitted committed) {
            answerCommitted(committed.answer());
        } else if (event instanceof Word.SegmentFailed failed) {
            segmentFailed(failed);
        } else if (event instanceof Word.QueryOver over) {
            abandon(uncommitted.get(over.answer()));
        } else if (event instanceof Word.Asked asked) {
            startRead(asked);
        } else if (event instanceof Word.PageRead read) {
            pageRead(read);
        } else if (event instanceof Word.PageReadFailed unread) {
            pageReadFailed(unread);
        } else if (event instanceof Word.PageCorrupt damaged) {
            pageCorrupt(damaged);
        } else if (event instanceof Word.Released released) {
            Answer answer = find(released.handle());
            if (answer != null) {
                drop(answer);
            }
        } else if (event instanceof Word.AnswerMoved moved) {
            answerMoved(moved);
        } else if (event instanceof Word.MoveFailed moveFailed) {
            moveFailed(moveFailed);
        } else if (event instanceof Word.Recovered found) {
            recovered = true;
            restore(found);
        } else if (event instanceof Word.Unusable unusableEvent) {
            unusable = true;
            actions.accept(new Step.Remark("spool can't be used, nothing is kept: " + unusableEvent.reason()));
        } else if (event instanceof Word.StoreNotice remarked) {
            actions.accept(new Step.Remark("spool: " + remarked.text()));
        } else if (event instanceof Word.Tick) {
            tick();
        }
        fetchPages();
        sealAndDeleteSegments();
    }

    /** Bytes on the disk and those that begun answers may still take. */
    public long usedBytes() {
        return reservedBytes + segments.values().stream().mapToLong(segment -> segment.bytes).sum();
    }

    /** Answers that can be read. */
    public int keptAnswers() {
        return answers.size();
    }

    /** What is asked of engines or waits for the disk, in bytes at most. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Rows of all kinds, for those who watch that none is kept for good. */
    int trackedEntries() {
        return answers.size() + uncommitted.size() + answerByQuery.size() + segments.size() + usageByTenant.size()
                + activeReads.size();
    }

    // ---- room

    private void startAnswer(Word.Began started) {
        long maxBytes = terms.maxDiskBytes(started.pages()) + Terms.SEGMENT_OVERHEAD_BYTES;
        String rejection = started.pages() < 1 || maxBytes > terms.maxAnswerBytes() ? "the answer is too long"
                : !recovered ? "the spool is not ready" : now < backoffUntil ? "the disk fails" : null;
        // The first page comes unasked: of answers that begin while the disk stands still, each would hold
        // one.
        if (rejection == null && bufferedBytes + terms.pageBytes() > 2 * terms.inMemory()) {
            rejection = "too much waits for the disk";
        }
        if (rejection == null && !makeRoom(started, maxBytes)) {
            rejection = "no room";
        }
        if (rejection != null) {
            actions.accept(new Step.Refuse(started.query(), rejection, retryAfter(started.tenant(), rejection)));
            return;
        }
        Segment segment = segments.get(activeSegment);
        if (segment == null || segment.sealed || segment.bytes >= terms.segmentBytes()) {
            segment = openSegment();
        }
        Answer answer = new Answer();
        answer.id = new AnswerId(randomBits.getAsLong(), randomBits.getAsLong());
        answer.query = started.query();
        answer.tenant = started.tenant();
        answer.repeatable = started.repeatable();
        answer.pageCount = started.pages();
        answer.segment = activeSegment;
        segment.uncommittedAnswers++;
        reserve(answer, maxBytes - Terms.SEGMENT_OVERHEAD_BYTES);
        usage(answer.tenant).answers++;
        // Page 0 is here already.
        answer.pagesRequested = 1;
        bufferedBytes += terms.pageBytes();
        uncommitted.put(answer.id, answer);
        answerByQuery.put(answer.query, answer.id);
        actions.accept(new Step.Take(answer.query, answer.id));
    }

    private Segment openSegment() {
        activeSegment = ++lastSegment;
        Segment segment = new Segment();
        segments.put(activeSegment, segment);
        actions.accept(new Step.OpenSegment(activeSegment));
        return segment;
    }

    /**
     * Whether the answer fits, once what was read to its end is given up for it: the tenant's own where its
     * part is full, anybody's where all of it is. What waits to be read is never given up before its time.
     */
    private boolean makeRoom(Word.Began started, long maxBytes) {
        long tenantLimit = (long) (terms.total() * terms.tenantPart());
        long totalLimit = (long) (terms.total() * (started.repeatable() ? 1 - terms.headroomRatio() : 1));
        while (usage(started.tenant()).bytes + maxBytes > tenantLimit) {
            if (!evictOldestRead(started.tenant())) {
                removeUnusedTenant(started.tenant());
                return false;
            }
        }
        while (usedBytes() + maxBytes > totalLimit) {
            if (!evictOldestRead(null)) {
                removeUnusedTenant(started.tenant());
                return false;
            }
        }
        return true;
    }

    /** The answer that was read to its end longest ago, of one tenant or of all; false if there is none. */
    private boolean evictOldestRead(String tenant) {
        Answer oldest = answers.values().stream()
                .filter(answer -> answer.readToEnd && answer.activeReads == 0 && answer != movingAnswer
                        && (tenant == null || answer.tenant.equals(tenant)))
                .min(Comparator.comparingLong(answer -> answer.lastReadAt)).orElse(null);
        if (oldest != null) {
            drop(oldest);
        }
        return oldest != null;
    }

    /** When the first of what stands in the way goes by itself. */
    private long retryAfter(String tenant, String rejection) {
        if (now < backoffUntil) {
            return backoffUntil - now;
        }
        return rejection.equals("too much waits for the disk") ? terms.initialBackoff() : rejection.equals("no room")
                ? Math.max(1, answers.values().stream()
                .mapToLong(answer -> answer.expiresAt - now).min().orElse(terms.initialBackoff())) : 0;
    }

    private TenantUsage usage(String tenant) {
        return usageByTenant.computeIfAbsent(tenant, key -> new TenantUsage());
    }

    private void removeUnusedTenant(String tenant) {
        TenantUsage tenantUsage = usageByTenant.get(tenant);
        if (tenantUsage != null && tenantUsage.answers == 0 && tenantUsage.activeReads == 0) {
            usageByTenant.remove(tenant);
        }
    }

    /** Sets what the answer may still take on the disk. */
    private void reserve(Answer answer, long bytes) {
        reservedBytes += bytes - answer.reservedBytes;
        usage(answer.tenant).bytes += bytes - answer.reservedBytes;
        answer.reservedBytes = bytes;
    }

    /** What was reserved is there. */
    private void addWritten(Answer answer, long bytes) {
        answer.writtenBytes += bytes;
        usage(answer.tenant).bytes += bytes;
        Segment segment = segments.get(answer.segment);
        segment.bytes += bytes;
        segment.liveBytes += bytes;
    }

    // ---- filling

    private void pageReceived(Word.PageCame page) {
        Answer answer = uncommitted.get(page.answer());
        if (answer == null) {
            return;
        }
        answer.pagesReceived++;
        answer.unwrittenPageSizes.put(page.page(), page.bytes());
        actions.accept(new Step.Write(answer.id, answer.segment, page.page()));
        if (answer.pagesReceived == answer.pageCount) {
            answer.committing = true;
            answer.expiresAt = now + terms.keepFor();
            actions.accept(new Step.CommitAnswer(answer.id, answer.segment, answer.tenant, answer.repeatable, answer.pageCount,
                    answer.expiresAt));
        }
    }

    private void pageWritten(Word.PageWritten page) {
        bufferedBytes -= terms.pageBytes();
        Answer answer = uncommitted.get(page.answer());
        Integer bytes = answer == null ? null : answer.unwrittenPageSizes.remove(page.page());
        if (bytes != null) {
            reserve(answer, answer.reservedBytes - terms.pageBytes() - Terms.PAGE_OVERHEAD_BYTES);
            addWritten(answer, bytes + Terms.PAGE_OVERHEAD_BYTES);
        }
    }

    /** Asks engines for pages as far as there is memory for them, each answer in its turn. */
    private void fetchPages() {
        boolean progress = true;
        while (progress && bufferedBytes + terms.pageBytes() <= terms.inMemory()) {
            progress = false;
            for (Answer answer : uncommitted.values()) {
                if (answer.pagesRequested < answer.pageCount && bufferedBytes + terms.pageBytes() <= terms.inMemory()) {
                    bufferedBytes += terms.pageBytes();
                    actions.accept(new Step.AskPage(answer.id, answer.pagesRequested++));
                    progress = true;
                }
            }
        }
    }

    private void answerCommitted(AnswerId id) {
        Answer answer = uncommitted.remove(id);
        if (answer == null) {
            return;
        }
        // The disk works again.
        backoff = terms.initialBackoff();
        answerByQuery.remove(answer.query);
        reserve(answer, 0);
        addWritten(answer, Terms.ANSWER_OVERHEAD_BYTES);
        Segment segment = segments.get(answer.segment);
        segment.uncommittedAnswers--;
        segment.committedAnswers++;
        answers.put(id, answer);
        actions.accept(new Step.Kept(answer.query, id, answer.pageCount, answer.expiresAt));
    }

    /** Its query has ended otherwise, so that what is there of it is dead. */
    private void abandon(Answer answer) {
        if (answer == null) {
            return;
        }
        uncommitted.remove(answer.id);
        answerByQuery.remove(answer.query);
        // What has come is in memory until it is written, wanted or not.
        bufferedBytes -= (long) (answer.pagesRequested - answer.pagesReceived) * terms.pageBytes();
        reserve(answer, 0);
        TenantUsage tenantUsage = usage(answer.tenant);
        tenantUsage.bytes -= answer.writtenBytes;
        tenantUsage.answers--;
        Segment segment = segments.get(answer.segment);
        // What was handed over may be written all the same, or lie there in part.
        segment.bytes += answer.unwrittenPageSizes.values().stream().mapToInt(bytes -> bytes + Terms.PAGE_OVERHEAD_BYTES).sum()
                + (answer.committing ? Terms.ANSWER_OVERHEAD_BYTES : 0);
        segment.liveBytes -= answer.writtenBytes;
        segment.uncommittedAnswers--;
        actions.accept(new Step.DropAnswer(answer.id, answer.segment));
        removeUnusedTenant(answer.tenant);
    }

    /**
     * After a failed write or sync nobody knows what of the segment is on the disk since the last commit: all
     * that was being filled there is lost, what was committed before stays. For a time nothing is begun.
     */
    private void segmentFailed(Word.SegmentFailed failed) {
        Segment segment = segments.get(failed.segment());
        if (segment == null) {
            return;
        }
        actions.accept(new Step.Remark("spool segment " + failed.segment() + " failed: " + failed.reason()));
        for (Answer answer : List.copyOf(uncommitted.values())) {
            if (answer.segment == failed.segment()) {
                abandon(answer);
                actions.accept(new Step.Lost(answer.query, answer.id, failed.reason()));
            }
        }
        if (movingAnswer != null && moveTarget == failed.segment()) {
            segment.bytes += movingAnswer.writtenBytes;
            endMove();
        }
        sealSegment(failed.segment(), segment);
        backoffUntil = now + backoff;
        backoff = Math.min(terms.maxBackoff(), backoff * 2);
    }

    private void sealSegment(long number, Segment segment) {
        if (!segment.sealed) {
            segment.sealed = true;
            actions.accept(new Step.SealSegment(number));
        }
        if (activeSegment == number) {
            activeSegment = -1;
        }
    }

    // ---- reading

    /** The answer that the handle names, or null if it is not kept any more. */
    private Answer find(Handle handle) {
        Answer answer = answers.get(handle.answer());
        return answer == null || !answer.tenant.equals(handle.tenant()) || now >= answer.expiresAt ? null : answer;
    }

    private void startRead(Word.Asked request) {
        Handle handle = request.handle();
        Answer answer = find(handle);
        Reason reason = null;
        if (now >= handle.expiresAt()) {
            reason = Reason.EXPIRED;
        } else if (!recovered) {
            reason = unusable ? Reason.DAMAGED : Reason.BUSY;
        } else if (answer == null) {
            reason = Reason.GONE;
        } else if (request.page() < 0 || request.page() >= answer.pageCount) {
            reason = Reason.NO_SUCH_PAGE;
        } else if (activeReads.size() >= terms.reads() || usage(answer.tenant).activeReads >= terms.maxReadsPerTenant()
                || activeReads.containsKey(request.readId())) {
            reason = Reason.BUSY;
        }
        if (reason != null) {
            actions.accept(new Step.Say(request.readId(), reason, reason == Reason.BUSY ? BUSY_RETRY_TICKS : 0));
            return;
        }
        activeReads.put(request.readId(), answer.tenant);
        usage(answer.tenant).activeReads++;
        answer.activeReads++;
        actions.accept(new Step.ReadPage(request.readId(), answer.id, answer.segment, request.page()));
    }

    private void finishRead(long readId, AnswerId answerId) {
        String tenant = activeReads.remove(readId);
        if (tenant != null) {
            usage(tenant).activeReads--;
            Answer answer = answers.get(answerId);
            if (answer != null) {
                answer.activeReads--;
            }
            removeUnusedTenant(tenant);
        }
    }

    private void pageRead(Word.PageRead read) {
        finishRead(read.readId(), read.answer());
        Answer answer = answers.get(read.answer());
        if (answer != null) {
            answer.lastReadAt = now;
            answer.readToEnd |= read.page() == answer.pageCount - 1;
        }
    }

    /** Its client comes again; the answer is still owed. */
    private void pageReadFailed(Word.PageReadFailed failed) {
        finishRead(failed.readId(), failed.answer());
        boolean kept = answers.containsKey(failed.answer());
        actions.accept(new Step.Remark("spool page not read: " + failed.reason()));
        actions.accept(new Step.Say(failed.readId(), kept ? Reason.BUSY : Reason.GONE, kept ? BUSY_RETRY_TICKS : 0));
    }

    /** An answer of which a page is spoilt is none: nobody can be given all of it any more. */
    private void pageCorrupt(Word.PageCorrupt corrupt) {
        finishRead(corrupt.readId(), corrupt.answer());
        Answer answer = answers.get(corrupt.answer());
        // It may have been given up, and its segment deleted, while the page was being looked for.
        actions.accept(new Step.Say(corrupt.readId(), answer == null ? Reason.GONE : Reason.DAMAGED, 0));
        if (answer != null) {
            actions.accept(new Step.Remark("spool answer damaged, given up: " + corrupt.reason()));
            drop(answer);
        }
    }

    // ---- what goes

    private void drop(Answer answer) {
        answers.remove(answer.id);
        TenantUsage tenantUsage = usage(answer.tenant);
        tenantUsage.bytes -= answer.writtenBytes;
        tenantUsage.answers--;
        Segment segment = segments.get(answer.segment);
        segment.liveBytes -= answer.writtenBytes;
        segment.committedAnswers--;
        segment.droppedAnswers++;
        actions.accept(new Step.DropAnswer(answer.id, answer.segment));
        removeUnusedTenant(answer.tenant);
    }

    private void tick() {
        for (Answer answer : new ArrayList<>(answers.values())) {
            if (now >= answer.expiresAt) {
                drop(answer);
            }
        }
        compact();
    }

    /** Seals what is full and deletes what nothing in it is wanted of. */
    private void sealAndDeleteSegments() {
        for (Map.Entry<Long, Segment> entry : List.copyOf(segments.entrySet())) {
            Segment segment = entry.getValue();
            long number = entry.getKey();
            boolean idle = segment.uncommittedAnswers == 0 && (movingAnswer == null || moveTarget != number);
            if (!segment.sealed && idle && segment.bytes >= terms.segmentBytes()) {
                sealSegment(number, segment);
            }
            boolean moveSource = movingAnswer != null && movingAnswer.segment == number;
            if (segment.committedAnswers == 0 && idle && !moveSource && (segment.sealed
                    || segment.bytes > Terms.SEGMENT_OVERHEAD_BYTES)) {
                if (activeSegment == number) {
                    activeSegment = -1;
                }
                segments.remove(number);
                // That its answers are dropped stands in another segment by now, and outlives it.
                Segment dropLog = segments.get(activeSegment);
                if (dropLog != null) {
                    dropLog.bytes += (long) segment.droppedAnswers * Terms.DROP_OVERHEAD_BYTES;
                }
                actions.accept(new Step.DeleteSegment(number));
            }
        }
    }

    /** Moves one answer out of the sealed segment that is dead for the largest part. */
    private void compact() {
        if (movingAnswer != null || now < backoffUntil || usedBytes() <= terms.total() * COMPACTION_FILL_RATIO) {
            return;
        }
        Map.Entry<Long, Segment> emptiest = segments.entrySet().stream()
                .filter(entry -> entry.getValue().sealed && entry.getValue().committedAnswers > 0 && entry.getValue().uncommittedAnswers == 0)
                .filter(entry -> entry.getValue().liveBytes < entry.getValue().bytes * (1 - COMPACTION_DEAD_RATIO))
                .min(Comparator.comparingDouble(entry -> (double) entry.getValue().liveBytes / entry.getValue().bytes))
                .orElse(null);
        if (emptiest == null) {
            return;
        }
        Answer answer = answers.values().stream().filter(candidate ->
                candidate.segment == emptiest.getKey()).findFirst().orElseThrow();
        if (usedBytes() + answer.writtenBytes + Terms.SEGMENT_OVERHEAD_BYTES > terms.total()) {
            return;
        }
        Segment target = segments.get(activeSegment);
        if (target == null || target.sealed || target.bytes >= terms.segmentBytes()) {
            target = openSegment();
        }
        movingAnswer = answer;
        moveTarget = activeSegment;
        reservedBytes += answer.writtenBytes;
        actions.accept(new Step.MoveAnswer(answer.id, answer.segment, moveTarget));
    }

    private void endMove() {
        reservedBytes -= movingAnswer.writtenBytes;
        movingAnswer = null;
    }

    private void answerMoved(Word.AnswerMoved moved) {
        if (movingAnswer == null || !movingAnswer.id.equals(moved.answer()) || moveTarget != moved.targetSegment()) {
            return;
        }
        Answer answer = movingAnswer;
        endMove();
        Segment target = segments.get(moved.targetSegment());
        target.bytes += answer.writtenBytes;
        if (answers.get(answer.id) != answer) {
            // Given up meanwhile: the copy is dead as it comes.
            actions.accept(new Step.DropAnswer(answer.id, moved.targetSegment()));
            return;
        }
        Segment source = segments.get(answer.segment);
        source.liveBytes -= answer.writtenBytes;
        source.committedAnswers--;
        target.liveBytes += answer.writtenBytes;
        target.committedAnswers++;
        answer.segment = moved.targetSegment();
        compact();
    }

    private void moveFailed(Word.MoveFailed failed) {
        if (movingAnswer == null || !movingAnswer.id.equals(failed.answer()) || moveTarget != failed.targetSegment()) {
            return;
        }
        Answer answer = movingAnswer;
        segments.get(failed.targetSegment()).bytes += answer.writtenBytes;
        endMove();
        actions.accept(new Step.Remark("spool answer damaged, given up: " + failed.reason()));
        if (answers.get(answer.id) == answer) {
            drop(answer);
        }
    }

    // ---- the start

    /** What was whole and has time left is kept; of two copies the later. All the rest is dead. */
    private void restore(Word.Recovered contents) {
        for (Word.RecoveredSegment segment : contents.segments()) {
            Segment restored = new Segment();
            restored.bytes = segment.bytes();
            restored.sealed = true;
            segments.put(segment.number(), restored);
        }
        lastSegment = Math.max(lastSegment, contents.lastSegment());
        Map<AnswerId, Word.RecoveredAnswer> latest = new LinkedHashMap<>();
        int incomplete = 0;
        int expired = 0;
        for (Word.RecoveredAnswer answer : contents.answers()) {
            if (!answer.complete() || !segments.containsKey(answer.segment())) {
                incomplete++;
            } else if (now >= answer.expiresAt()) {
                expired++;
            } else {
                latest.merge(answer.answer(), answer, (a, b) -> a.sequence() >= b.sequence() ? a : b);
            }
        }
        for (Word.RecoveredAnswer answer : latest.values()) {
            Answer restoredAnswer = new Answer();
            restoredAnswer.id = answer.answer();
            restoredAnswer.tenant = answer.tenant();
            restoredAnswer.repeatable = answer.repeatable();
            restoredAnswer.pageCount = answer.pages();
            restoredAnswer.segment = answer.segment();
            restoredAnswer.expiresAt = answer.expiresAt();
            restoredAnswer.writtenBytes = answer.bytes();
            TenantUsage tenantUsage = usage(restoredAnswer.tenant);
            tenantUsage.bytes += restoredAnswer.writtenBytes;
            tenantUsage.answers++;
            Segment segment = segments.get(restoredAnswer.segment);
            segment.liveBytes += restoredAnswer.writtenBytes;
            segment.committedAnswers++;
            answers.put(restoredAnswer.id, restoredAnswer);
        }
        actions.accept(new Step.Remark("spool: " + latest.size() + " answers found, " + expired + " expired, "
                + incomplete
                + " not whole"));
    }
}
