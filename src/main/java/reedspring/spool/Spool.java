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
 * Manages answers that are kept on disk so that their engines are free for other queries: accepts answers,
 * reserves disk space, requests pages from engines, evicts answers and admits reads. Events go to {@link #on}
 * with the time at which they occurred; no answer is accepted before {@link Word.Recovered}. The resulting
 * actions are passed to the consumer, in order, before the call returns. Does no I/O; the caller performs the
 * actions. Not thread-safe. Times are Unix time in ticks (one tick is a tenth of a millisecond). The design
 * is described in docs/spool.md.
 *
 * <p>Space is accounted as disk usage. A segment is deleted as a whole once it holds no live answer. Dead
 * bytes count until then, and the live answers of a mostly dead segment are moved to another segment.
 */
public final class Spool {
    /**
     * Above this disk usage, segments with more than {@code COMPACTION_DEAD_RATIO} of dead bytes are
     * compacted.
     */
    private static final double COMPACTION_FILL_RATIO = 0.6;
    private static final double COMPACTION_DEAD_RATIO = 0.3;
    /** Longer than a page read takes, so that a rejected read is likely to be admitted on retry. */
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
    /** Pages that were requested or wait to be written, each counted at the maximum page size. */
    private long bufferedBytes;
    private Answer movingAnswer;
    private long moveTarget;
    /** Whether recovery has reported what is on disk. */
    private boolean recovered;
    private boolean unusable;
    private long backoffUntil;
    private long backoff;

    /** An answer, from its announcement until it is dropped. */
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
        /** Before the commit: sizes of the pages that wait to be written. */
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

    /** Resource usage of one tenant. */
    private static final class TenantUsage {
        private long bytes;
        private int answers;
        private int activeReads;
    }

    /** @param randomBits returns 64 unpredictable bits per call, for answer ids */
    public Spool(Terms terms, LongSupplier randomBits) {
        this.terms = terms;
        this.randomBits = randomBits;
        this.backoff = terms.initialBackoff();
    }

    /** Processes one event and passes the resulting actions to the consumer. */
    public void on(long time, Word event, Consumer<Step> consumer) {
        now = Math.max(now, time);
        actions = consumer;
        if (event instanceof Word.Began started) {
            startAnswer(started);
        } else if (event instanceof Word.PageCame page) {
            pageReceived(page);
        } else if (event instanceof Word.PageWritten written) {
            pageWritten(written);
        } else if (event instanceof Word.AnswerCommitted committed) {
            answerCommitted(committed.answer());
        } else if (event instanceof Word.SegmentFailed failed) {
            segmentFailed(failed);
        } else if (event instanceof Word.QueryOver ended) {
            abandon(uncommitted.get(ended.answer()));
        } else if (event instanceof Word.Asked request) {
            startRead(request);
        } else if (event instanceof Word.PageRead read) {
            pageRead(read);
        } else if (event instanceof Word.PageReadFailed readFailed) {
            pageReadFailed(readFailed);
        } else if (event instanceof Word.PageCorrupt corrupt) {
            pageCorrupt(corrupt);
        } else if (event instanceof Word.Released released) {
            Answer answer = find(released.handle());
            if (answer != null) {
                drop(answer);
            }
        } else if (event instanceof Word.AnswerMoved moved) {
            answerMoved(moved);
        } else if (event instanceof Word.MoveFailed moveFailed) {
            moveFailed(moveFailed);
        } else if (event instanceof Word.Recovered contents) {
            recovered = true;
            restore(contents);
        } else if (event instanceof Word.Unusable unusableEvent) {
            unusable = true;
            actions.accept(new Step.Remark("spool can't be used, no answers are kept: "
                    + unusableEvent.reason()));
        } else if (event instanceof Word.StoreNotice notice) {
            actions.accept(new Step.Remark("spool: " + notice.text()));
        } else if (event instanceof Word.Tick) {
            tick();
        }
        fetchPages();
        sealAndDeleteSegments();
    }

    /** Size of all segments plus the space reserved for uncommitted answers. */
    public long usedBytes() {
        return reservedBytes + segments.values().stream().mapToLong(segment -> segment.bytes).sum();
    }

    /** Number of committed answers. */
    public int keptAnswers() {
        return answers.size();
    }

    /** Upper bound of the bytes that are requested from engines or wait to be written. */
    public long bufferedBytes() {
        return bufferedBytes;
    }

    /** Number of entries in all tables, for tests that check for leaks. */
    int trackedEntries() {
        return answers.size() + uncommitted.size() + answerByQuery.size() + segments.size()
                + usageByTenant.size() + activeReads.size();
    }

    // ---- space

    private void startAnswer(Word.Began started) {
        long maxBytes = terms.maxDiskBytes(started.pages()) + Terms.SEGMENT_OVERHEAD_BYTES;
        String rejection = started.pages() < 1 || maxBytes > terms.maxAnswerBytes()
                ? "answer exceeds the size limit"
                : !recovered ? "spool recovery is not finished"
                : now < backoffUntil ? "disk failed recently" : null;
        // The first page arrives without being requested: while the disk is stalled, each new answer would
        // buffer one.
        if (rejection == null && bufferedBytes + terms.pageBytes() > 2 * terms.inMemory()) {
            rejection = "too many bytes wait to be written";
        }
        if (rejection == null && !evictFor(started, maxBytes)) {
            rejection = "spool is full";
        }
        if (rejection != null) {
            actions.accept(new Step.Refuse(started.query(), rejection,
                    retryAfter(started.tenant(), rejection)));
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
        // Page 0 came with the announcement.
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
     * Evicts answers that were read to their end until the new answer fits: the tenant's own if its limit is
     * reached, those of any tenant if the spool is full. Returns false if it still doesn't fit. Answers that
     * were not read to their end are never evicted before they expire.
     */
    private boolean evictFor(Word.Began started, long maxBytes) {
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

    /**
     * Drops the fully read answer that was last read the longest time ago, of one tenant or, for null, of
     * any. Returns false if there is none.
     */
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

    /** Ticks until the cause of the rejection may be gone; 0 if waiting doesn't help. */
    private long retryAfter(String tenant, String rejection) {
        if (now < backoffUntil) {
            return backoffUntil - now;
        }
        return rejection.equals("too many bytes wait to be written") ? terms.initialBackoff()
                : rejection.equals("spool is full")
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

    /** Sets the space that remains reserved for the answer. */
    private void reserve(Answer answer, long bytes) {
        reservedBytes += bytes - answer.reservedBytes;
        usage(answer.tenant).bytes += bytes - answer.reservedBytes;
        answer.reservedBytes = bytes;
    }

    /** Accounts for bytes of the answer that are now on disk. */
    private void addWritten(Answer answer, long bytes) {
        answer.writtenBytes += bytes;
        usage(answer.tenant).bytes += bytes;
        Segment segment = segments.get(answer.segment);
        segment.bytes += bytes;
        segment.liveBytes += bytes;
    }

    // ---- receiving and committing

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
            actions.accept(new Step.CommitAnswer(answer.id, answer.segment, answer.tenant, answer.repeatable,
                    answer.pageCount,
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

    /** Requests pages from engines, round-robin over the answers, while the buffer limit allows it. */
    private void fetchPages() {
        boolean progress = true;
        while (progress && bufferedBytes + terms.pageBytes() <= terms.inMemory()) {
            progress = false;
            for (Answer answer : uncommitted.values()) {
                if (answer.pagesRequested < answer.pageCount && bufferedBytes
                        + terms.pageBytes() <= terms.inMemory()) {
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
        // A commit proves that the disk works.
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

    /** Stops tracking an uncommitted answer; its bytes on disk are dead. */
    private void abandon(Answer answer) {
        if (answer == null) {
            return;
        }
        uncommitted.remove(answer.id);
        answerByQuery.remove(answer.query);
        // Received pages stay in memory until they are written, even for an abandoned answer.
        bufferedBytes -= (long) (answer.pagesRequested - answer.pagesReceived) * terms.pageBytes();
        reserve(answer, 0);
        TenantUsage tenantUsage = usage(answer.tenant);
        tenantUsage.bytes -= answer.writtenBytes;
        tenantUsage.answers--;
        Segment segment = segments.get(answer.segment);
        // Pages already passed on for writing may still reach the disk, in whole or in part.
        segment.bytes += answer.unwrittenPageSizes.values().stream().mapToInt(bytes -> bytes
                + Terms.PAGE_OVERHEAD_BYTES).sum()
                + (answer.committing ? Terms.ANSWER_OVERHEAD_BYTES : 0);
        segment.liveBytes -= answer.writtenBytes;
        segment.uncommittedAnswers--;
        actions.accept(new Step.DropAnswer(answer.id, answer.segment));
        removeUnusedTenant(answer.tenant);
    }

    /**
     * After a failed write or sync the state of the segment since its last commit is unknown. Its uncommitted
     * answers are lost, the committed ones stay, and no answer is accepted until the backoff has passed.
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

    /** Returns the answer of the handle, or null if it is no longer kept. */
    private Answer find(Handle handle) {
        Answer answer = answers.get(handle.answer());
        return answer == null || !answer.tenant.equals(handle.tenant()) || now >= answer.expiresAt ? null
                : answer;
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
        } else if (activeReads.size() >= terms.reads()
                || usage(answer.tenant).activeReads >= terms.maxReadsPerTenant()
                || activeReads.containsKey(request.readId())) {
            reason = Reason.BUSY;
        }
        if (reason != null) {
            actions.accept(new Step.Say(request.readId(), reason, reason == Reason.BUSY ? BUSY_RETRY_TICKS
                    : 0));
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

    /** Tells the client to retry: the answer is still kept. */
    private void pageReadFailed(Word.PageReadFailed failed) {
        finishRead(failed.readId(), failed.answer());
        boolean kept = answers.containsKey(failed.answer());
        actions.accept(new Step.Remark("spool page read failed: " + failed.reason()));
        actions.accept(new Step.Say(failed.readId(), kept ? Reason.BUSY : Reason.GONE, kept ? BUSY_RETRY_TICKS
                : 0));
    }

    /** Drops an answer with a corrupt page, as it can't be delivered completely any more. */
    private void pageCorrupt(Word.PageCorrupt corrupt) {
        finishRead(corrupt.readId(), corrupt.answer());
        Answer answer = answers.get(corrupt.answer());
        // The answer may have been dropped, and its segment deleted, during the read.
        actions.accept(new Step.Say(corrupt.readId(), answer == null ? Reason.GONE : Reason.DAMAGED, 0));
        if (answer != null) {
            actions.accept(new Step.Remark("spool answer corrupt, dropped: " + corrupt.reason()));
            drop(answer);
        }
    }

    // ---- dropping, expiry and compaction

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

    /** Seals full segments and deletes segments without live answers. */
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
                // The drop records of its answers are in the active segment and remain there.
                Segment dropLog = segments.get(activeSegment);
                if (dropLog != null) {
                    dropLog.bytes += (long) segment.droppedAnswers * Terms.DROP_OVERHEAD_BYTES;
                }
                actions.accept(new Step.DeleteSegment(number));
            }
        }
    }

    /** Starts to move one answer out of the sealed segment with the largest ratio of dead bytes. */
    private void compact() {
        if (movingAnswer != null || now < backoffUntil
                || usedBytes() <= terms.total() * COMPACTION_FILL_RATIO) {
            return;
        }
        Map.Entry<Long, Segment> emptiest = segments.entrySet().stream()
                .filter(entry -> entry.getValue().sealed && entry.getValue().committedAnswers > 0
                && entry.getValue().uncommittedAnswers == 0)
                .filter(entry -> entry.getValue().liveBytes
                        < entry.getValue().bytes * (1 - COMPACTION_DEAD_RATIO))
                .min(Comparator.comparingDouble(entry ->
                        (double) entry.getValue().liveBytes / entry.getValue().bytes))
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
        if (movingAnswer == null || !movingAnswer.id.equals(moved.answer())
                || moveTarget != moved.targetSegment()) {
            return;
        }
        Answer answer = movingAnswer;
        endMove();
        Segment target = segments.get(moved.targetSegment());
        target.bytes += answer.writtenBytes;
        if (answers.get(answer.id) != answer) {
            // Dropped during the move: the copy is dead.
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
        if (movingAnswer == null || !movingAnswer.id.equals(failed.answer())
                || moveTarget != failed.targetSegment()) {
            return;
        }
        Answer answer = movingAnswer;
        segments.get(failed.targetSegment()).bytes += answer.writtenBytes;
        endMove();
        actions.accept(new Step.Remark("spool answer corrupt, dropped: " + failed.reason()));
        if (answers.get(answer.id) == answer) {
            drop(answer);
        }
    }

    // ---- recovery

    /**
     * Keeps complete answers that have not expired, of several copies the latest. All other bytes are dead.
     */
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
                + " incomplete"));
    }
}
