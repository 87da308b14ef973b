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
import reedspring.spool.SpoolAction.Reason;

/**
 * Manages answers that are kept on disk so that their engines are free for other queries: accepts answers,
 * reserves disk space, requests pages from engines, evicts answers and admits reads. Events go to {@link
 * #onEvent} with the time at which they occurred; no answer is accepted before {@link SpoolEvent.Recovered}.
 * The resulting actions are passed to the consumer, in order, before the call returns. Does no I/O; the
 * caller performs the actions. Not thread-safe. Times are Unix time in ticks (one tick is a tenth of a
 * millisecond). The design is described in docs/spool.md.
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
    private static final String SPOOL_FULL = "spool is full";
    private static final String INDEX_FULL = "spool is full, no memory for another index entry";
    private static final String BUFFERS_FULL = "too many bytes wait to be written";
    /** Longer than a page read takes, so that a rejected read is likely to be admitted on retry. */
    private static final long BUSY_RETRY_TICKS = 1_000;

    private final SpoolLimits limits;
    private final SpoolBudget budget;
    private final LongSupplier randomBits;
    private final Map<AnswerId, Answer> answers = new LinkedHashMap<>();
    private final Map<AnswerId, Answer> uncommitted = new LinkedHashMap<>();
    private final Map<Id.Query, AnswerId> answerByQuery = new HashMap<>();
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final Map<String, TenantUsage> usageByTenant = new HashMap<>();
    private final Map<Long, String> activeReads = new HashMap<>();
    private Consumer<SpoolAction> actions;
    private long now;
    private long activeSegment = -1;
    private long lastSegment;
    private long reservedBytes;
    /** Heap that the index needs, by the upper bounds of {@link SpoolBudget}. */
    private long indexBytes;
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
        /** Sizes of the pages that wait to be written; null after the commit. */
        private Map<Integer, Integer> unwrittenPageSizes = new HashMap<>();
        private boolean readToEnd;
        private long lastReadAt;
        private int activeReads;
    }

    private static final class Segment {
        private long bytes = SpoolLimits.SEGMENT_OVERHEAD_BYTES;
        private long liveBytes;
        private int committedAnswers;
        private int uncommittedAnswers;
        private int droppedAnswers;
        /** Part of the index that is needed for dropped answers until the segment is deleted. */
        private long droppedIndexBytes;
        /** Size of all its entries in the index, also of those that were dropped meanwhile. */
        private long enteredIndexBytes;
        private boolean sealed;
    }

    /** Resource usage of one tenant. */
    private static final class TenantUsage {
        private final String tenant;
        private long bytes;
        private long indexBytes;
        private int answers;
        private int activeReads;

        TenantUsage(String tenant) {
            this.tenant = tenant;
        }
    }

    /** Creates a spool without bounds on its memory. */
    Spool(SpoolLimits limits, LongSupplier randomBits) {
        this(limits, SpoolBudget.UNLIMITED, randomBits);
    }

    /** @param randomBits returns 64 unpredictable bits per call, for answer ids */
    public Spool(SpoolLimits limits, SpoolBudget budget, LongSupplier randomBits) {
        this.limits = budget.bound(limits);
        this.budget = budget;
        this.randomBits = randomBits;
        this.backoff = limits.initialBackoff();
    }

    /** Processes one event and passes the resulting actions to the consumer. */
    public void onEvent(long time, SpoolEvent event, Consumer<SpoolAction> consumer) {
        now = Math.max(now, time);
        actions = consumer;
        if (event instanceof SpoolEvent.AnswerAnnounced started) {
            startAnswer(started);
        } else if (event instanceof SpoolEvent.PageReceived page) {
            pageReceived(page);
        } else if (event instanceof SpoolEvent.PageWritten written) {
            pageWritten(written);
        } else if (event instanceof SpoolEvent.AnswerCommitted committed) {
            answerCommitted(committed.answer());
        } else if (event instanceof SpoolEvent.SegmentFailed failed) {
            segmentFailed(failed);
        } else if (event instanceof SpoolEvent.QueryEnded ended) {
            abandon(uncommitted.get(ended.answer()));
        } else if (event instanceof SpoolEvent.PageRequested request) {
            startRead(request);
        } else if (event instanceof SpoolEvent.PageRead read) {
            pageRead(read);
        } else if (event instanceof SpoolEvent.PageReadFailed readFailed) {
            pageReadFailed(readFailed);
        } else if (event instanceof SpoolEvent.PageCorrupt corrupt) {
            pageCorrupt(corrupt);
        } else if (event instanceof SpoolEvent.AnswerReleased released) {
            Answer answer = find(released.handle());
            if (answer != null) {
                drop(answer, true);
            }
        } else if (event instanceof SpoolEvent.AnswerMoved moved) {
            answerMoved(moved);
        } else if (event instanceof SpoolEvent.MoveFailed moveFailed) {
            moveFailed(moveFailed);
        } else if (event instanceof SpoolEvent.Recovered contents) {
            recovered = true;
            restore(contents);
        } else if (event instanceof SpoolEvent.Unusable unusableEvent) {
            unusable = true;
            actions.accept(new SpoolAction.LogMessage("spool can't be used, no answers are kept: "
                    + unusableEvent.reason()));
        } else if (event instanceof SpoolEvent.StoreNotice notice) {
            actions.accept(new SpoolAction.LogMessage("spool: " + notice.text()));
        } else if (event instanceof SpoolEvent.Tick) {
            tick();
        }
        fetchPages();
        sealAndDeleteSegments();
    }

    /** Size of all segments plus the space reserved for uncommitted answers. */
    public long usedBytes() {
        return reservedBytes + segments.values().stream().mapToLong(segment -> segment.bytes).sum();
    }

    /** Upper bound of the heap that the index uses. */
    public long indexBytes() {
        return indexBytes;
    }

    /** Number of segments that are open for writes. */
    int openSegments() {
        return (int) segments.values().stream().filter(segment -> !segment.sealed).count();
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

    private void startAnswer(SpoolEvent.AnswerAnnounced started) {
        long maxBytes = limits.maxDiskBytes(started.pages()) + SpoolLimits.SEGMENT_OVERHEAD_BYTES;
        String rejection = started.pages() < 1 || maxBytes > limits.maxAnswerBytes()
                ? "answer exceeds the size limit"
                : !recovered ? "spool recovery is not finished"
                : now < backoffUntil ? "disk failed recently" : null;
        // The first page arrives without being requested: while the disk is stalled, each new answer would
        // buffer one.
        if (rejection == null && bufferedBytes + limits.pageBytes() > 2 * limits.maxBufferedBytes()) {
            rejection = BUFFERS_FULL;
        }
        if (rejection == null) {
            rejection = makeRoom(started, maxBytes);
            removeUnusedTenant(started.tenant());
        }
        if (rejection != null) {
            actions.accept(new SpoolAction.RefuseAnswer(started.query(), rejection,
                    retryAfter(started.tenant(), rejection)));
            return;
        }
        Segment segment = writableSegment();
        Answer answer = new Answer();
        answer.id = new AnswerId(randomBits.getAsLong(), randomBits.getAsLong());
        answer.query = started.query();
        answer.tenant = usage(started.tenant()).tenant;
        answer.repeatable = started.repeatable();
        answer.pageCount = started.pages();
        answer.segment = activeSegment;
        segment.uncommittedAnswers++;
        reserve(answer, maxBytes - SpoolLimits.SEGMENT_OVERHEAD_BYTES);
        usage(answer.tenant).answers++;
        addToIndex(answer);
        segment.enteredIndexBytes += SpoolBudget.answerIndexBytes(answer.pageCount);
        // Page 0 came with the announcement.
        answer.pagesRequested = 1;
        bufferedBytes += limits.pageBytes();
        uncommitted.put(answer.id, answer);
        answerByQuery.put(answer.query, answer.id);
        actions.accept(new SpoolAction.AcceptAnswer(answer.query, answer.id));
    }

    /** Returns the active segment, or a new one if that is full and another one may be opened. */
    private Segment writableSegment() {
        Segment active = segments.get(activeSegment);
        if (active != null && !active.sealed && !isFull(active)) {
            return active;
        }
        if (openSegments() < SpoolBudget.MAX_OPEN_SEGMENTS) {
            return openSegment();
        }
        if (active != null && !active.sealed) {
            return active;
        }
        Map.Entry<Long, Segment> lastOpen = segments.descendingMap().entrySet().stream()
                .filter(entry -> !entry.getValue().sealed).findFirst().orElseThrow();
        activeSegment = lastOpen.getKey();
        return lastOpen.getValue();
    }

    private Segment openSegment() {
        activeSegment = ++lastSegment;
        Segment segment = new Segment();
        segments.put(activeSegment, segment);
        indexBytes += SpoolBudget.SEGMENT_INDEX_BYTES;
        actions.accept(new SpoolAction.OpenSegment(activeSegment));
        return segment;
    }

    private boolean isFull(Segment segment) {
        return segment.bytes >= limits.segmentBytes()
                || segment.enteredIndexBytes >= budget.segmentIndexBytes();
    }

    /**
     * Evicts answers that were read to their end until the new answer fits: the tenant's own if its limit is
     * reached, those of any tenant if the spool is full. Returns null, or the reason why it still doesn't
     * fit. Answers that were not read to their end are never evicted before they expire.
     */
    private String makeRoom(SpoolEvent.AnswerAnnounced started, long maxBytes) {
        double totalRatio = started.repeatable() ? 1 - limits.headroomRatio() : 1;
        // A segment may have to be opened for it, and one more for the compaction of another segment.
        long maxIndexBytes = SpoolBudget.uncommittedIndexBytes(started.pages())
                + 2 * SpoolBudget.SEGMENT_INDEX_BYTES;
        String tenant = started.tenant();
        while (usage(tenant).bytes + maxBytes > (long) (limits.totalBytes() * limits.maxTenantRatio())) {
            if (!evictOldestRead(tenant)) {
                return SPOOL_FULL;
            }
        }
        while (usage(tenant).indexBytes + maxIndexBytes > budget.indexBytes() * limits.maxTenantRatio()) {
            if (!evictOldestRead(tenant)) {
                return INDEX_FULL;
            }
        }
        while (usedBytes() + maxBytes > (long) (limits.totalBytes() * totalRatio)) {
            if (!evictOldestRead(null)) {
                return SPOOL_FULL;
            }
        }
        while (indexBytes + maxIndexBytes > budget.indexBytes() * totalRatio) {
            if (!evictOldestRead(null)) {
                return INDEX_FULL;
            }
        }
        return null;
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
            drop(oldest, true);
            sealAndDeleteSegments();
        }
        return oldest != null;
    }

    /** Ticks until the cause of the rejection may be gone; 0 if waiting doesn't help. */
    private long retryAfter(String tenant, String rejection) {
        if (now < backoffUntil) {
            return backoffUntil - now;
        }
        return rejection.equals(BUFFERS_FULL) ? limits.initialBackoff()
                : rejection.equals(SPOOL_FULL) || rejection.equals(INDEX_FULL)
                ? Math.max(1, answers.values().stream()
                .mapToLong(answer -> answer.expiresAt - now).min().orElse(limits.initialBackoff())) : 0;
    }

    private TenantUsage usage(String tenant) {
        return usageByTenant.computeIfAbsent(tenant, TenantUsage::new);
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

    private static long indexBytesOf(Answer answer) {
        return answer.unwrittenPageSizes == null ? SpoolBudget.answerIndexBytes(answer.pageCount)
                : SpoolBudget.uncommittedIndexBytes(answer.pageCount);
    }

    private void addToIndex(Answer answer) {
        indexBytes += indexBytesOf(answer);
        usage(answer.tenant).indexBytes += indexBytesOf(answer);
    }

    private void removeFromIndex(Answer answer) {
        indexBytes -= indexBytesOf(answer);
        usage(answer.tenant).indexBytes -= indexBytesOf(answer);
    }

    /**
     * Accounts for the record that keeps a dropped answer from being restored. It is in the first open
     * segment. If none is open, there is no record, and a restart needs the answer's entry again.
     */
    private void addDropRecord(Answer answer) {
        Segment first = segments.values().stream().filter(segment -> !segment.sealed).findFirst()
                .orElse(null);
        Segment charged = first == null ? segments.get(answer.segment) : first;
        long bytes = first == null ? SpoolBudget.answerIndexBytes(answer.pageCount)
                : SpoolBudget.DROP_INDEX_BYTES;
        charged.droppedIndexBytes += bytes;
        charged.enteredIndexBytes += first == null ? 0 : bytes;
        indexBytes += bytes;
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

    private void pageReceived(SpoolEvent.PageReceived page) {
        Answer answer = uncommitted.get(page.answer());
        if (answer == null) {
            return;
        }
        answer.pagesReceived++;
        answer.unwrittenPageSizes.put(page.page(), page.bytes());
        actions.accept(new SpoolAction.WritePage(answer.id, answer.segment, page.page()));
        if (answer.pagesReceived == answer.pageCount) {
            answer.committing = true;
            answer.expiresAt = now + limits.retention();
            actions.accept(new SpoolAction.CommitAnswer(answer.id, answer.segment, answer.tenant,
                    answer.repeatable, answer.pageCount, answer.expiresAt));
        }
    }

    private void pageWritten(SpoolEvent.PageWritten page) {
        bufferedBytes -= limits.pageBytes();
        Answer answer = uncommitted.get(page.answer());
        Integer bytes = answer == null ? null : answer.unwrittenPageSizes.remove(page.page());
        if (bytes != null) {
            reserve(answer, answer.reservedBytes - limits.pageBytes() - SpoolLimits.PAGE_OVERHEAD_BYTES);
            addWritten(answer, bytes + SpoolLimits.PAGE_OVERHEAD_BYTES);
        }
    }

    /** Requests pages from engines, round-robin over the answers, while the buffer limit allows it. */
    private void fetchPages() {
        boolean progress = true;
        while (progress && bufferedBytes + limits.pageBytes() <= limits.maxBufferedBytes()) {
            progress = false;
            for (Answer answer : uncommitted.values()) {
                if (answer.pagesRequested < answer.pageCount && bufferedBytes
                        + limits.pageBytes() <= limits.maxBufferedBytes()) {
                    bufferedBytes += limits.pageBytes();
                    actions.accept(new SpoolAction.FetchPage(answer.id, answer.pagesRequested++));
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
        backoff = limits.initialBackoff();
        answerByQuery.remove(answer.query);
        removeFromIndex(answer);
        answer.unwrittenPageSizes = null;
        addToIndex(answer);
        reserve(answer, 0);
        addWritten(answer, SpoolLimits.ANSWER_OVERHEAD_BYTES);
        Segment segment = segments.get(answer.segment);
        segment.uncommittedAnswers--;
        segment.committedAnswers++;
        answers.put(id, answer);
        Id.Query query = answer.query;
        answer.query = null;
        actions.accept(new SpoolAction.CompleteAnswer(query, id, answer.pageCount, answer.expiresAt));
    }

    /** Stops tracking an uncommitted answer; its bytes on disk are dead. */
    private void abandon(Answer answer) {
        if (answer == null) {
            return;
        }
        uncommitted.remove(answer.id);
        answerByQuery.remove(answer.query);
        // Received pages stay in memory until they are written, even for an abandoned answer.
        bufferedBytes -= (long) (answer.pagesRequested - answer.pagesReceived) * limits.pageBytes();
        reserve(answer, 0);
        TenantUsage tenantUsage = usage(answer.tenant);
        tenantUsage.bytes -= answer.writtenBytes;
        tenantUsage.answers--;
        Segment segment = segments.get(answer.segment);
        // Pages already passed on for writing may still reach the disk, in whole or in part.
        segment.bytes += answer.unwrittenPageSizes.values().stream().mapToInt(bytes -> bytes
                + SpoolLimits.PAGE_OVERHEAD_BYTES).sum()
                + (answer.committing ? SpoolLimits.ANSWER_OVERHEAD_BYTES : 0);
        segment.liveBytes -= answer.writtenBytes;
        segment.uncommittedAnswers--;
        removeFromIndex(answer);
        if (answer.committing) {
            addDropRecord(answer);
        }
        actions.accept(new SpoolAction.DropAnswer(answer.id, answer.segment, true));
        removeUnusedTenant(answer.tenant);
    }

    /**
     * After a failed write or sync the state of the segment since its last commit is unknown. Its uncommitted
     * answers are lost, the committed ones stay, and no answer is accepted until the backoff has passed.
     */
    private void segmentFailed(SpoolEvent.SegmentFailed failed) {
        Segment segment = segments.get(failed.segment());
        if (segment == null) {
            return;
        }
        actions.accept(new SpoolAction.LogMessage("spool segment " + failed.segment() + " failed: "
                + failed.reason()));
        for (Answer answer : List.copyOf(uncommitted.values())) {
            if (answer.segment == failed.segment()) {
                abandon(answer);
                actions.accept(new SpoolAction.FailAnswer(answer.query, answer.id, failed.reason()));
            }
        }
        if (movingAnswer != null && moveTarget == failed.segment()) {
            segment.bytes += movingAnswer.writtenBytes;
            endMove();
        }
        sealSegment(failed.segment(), segment);
        backoffUntil = now + backoff;
        backoff = Math.min(limits.maxBackoff(), backoff * 2);
    }

    private void sealSegment(long number, Segment segment) {
        if (!segment.sealed) {
            segment.sealed = true;
            actions.accept(new SpoolAction.SealSegment(number));
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

    private void startRead(SpoolEvent.PageRequested request) {
        Handle handle = request.handle();
        Answer answer = find(handle);
        Reason reason = null;
        if (now >= handle.expiresAt()) {
            reason = Reason.EXPIRED;
        } else if (!recovered) {
            reason = unusable ? Reason.CORRUPT : Reason.BUSY;
        } else if (answer == null) {
            reason = Reason.GONE;
        } else if (request.page() < 0 || request.page() >= answer.pageCount) {
            reason = Reason.NO_SUCH_PAGE;
        } else if (activeReads.size() >= limits.maxReads()
                || usage(answer.tenant).activeReads >= limits.maxReadsPerTenant()
                || activeReads.containsKey(request.readId())) {
            reason = Reason.BUSY;
        }
        if (reason != null) {
            actions.accept(new SpoolAction.RejectRead(request.readId(), reason,
                    reason == Reason.BUSY ? BUSY_RETRY_TICKS : 0));
            return;
        }
        activeReads.put(request.readId(), answer.tenant);
        usage(answer.tenant).activeReads++;
        answer.activeReads++;
        actions.accept(new SpoolAction.ReadPage(request.readId(), answer.id, answer.segment, request.page()));
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

    private void pageRead(SpoolEvent.PageRead read) {
        finishRead(read.readId(), read.answer());
        Answer answer = answers.get(read.answer());
        if (answer != null) {
            answer.lastReadAt = now;
            answer.readToEnd |= read.page() == answer.pageCount - 1;
        }
    }

    /** Tells the client to retry: the answer is still kept. */
    private void pageReadFailed(SpoolEvent.PageReadFailed failed) {
        finishRead(failed.readId(), failed.answer());
        boolean kept = answers.containsKey(failed.answer());
        actions.accept(new SpoolAction.LogMessage("spool page read failed: " + failed.reason()));
        actions.accept(new SpoolAction.RejectRead(failed.readId(), kept ? Reason.BUSY : Reason.GONE,
                kept ? BUSY_RETRY_TICKS : 0));
    }

    /** Drops an answer with a corrupt page, as it can't be delivered completely any more. */
    private void pageCorrupt(SpoolEvent.PageCorrupt corrupt) {
        finishRead(corrupt.readId(), corrupt.answer());
        Answer answer = answers.get(corrupt.answer());
        // The answer may have been dropped, and its segment deleted, during the read.
        actions.accept(new SpoolAction.RejectRead(corrupt.readId(),
                answer == null ? Reason.GONE : Reason.CORRUPT, 0));
        if (answer != null) {
            actions.accept(new SpoolAction.LogMessage("spool answer corrupt, dropped: " + corrupt.reason()));
            drop(answer, true);
        }
    }

    // ---- dropping, expiry and compaction

    /** @param recorded whether a record on disk has to keep the answer from being restored */
    private void drop(Answer answer, boolean recorded) {
        answers.remove(answer.id);
        removeFromIndex(answer);
        if (recorded) {
            addDropRecord(answer);
        }
        TenantUsage tenantUsage = usage(answer.tenant);
        tenantUsage.bytes -= answer.writtenBytes;
        tenantUsage.answers--;
        Segment segment = segments.get(answer.segment);
        segment.liveBytes -= answer.writtenBytes;
        segment.committedAnswers--;
        segment.droppedAnswers++;
        actions.accept(new SpoolAction.DropAnswer(answer.id, answer.segment, recorded));
        removeUnusedTenant(answer.tenant);
    }

    private void tick() {
        for (Answer answer : new ArrayList<>(answers.values())) {
            if (now >= answer.expiresAt) {
                drop(answer, false);
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
            if (!segment.sealed && idle && isFull(segment)) {
                sealSegment(number, segment);
            }
            boolean moveSource = movingAnswer != null && movingAnswer.segment == number;
            if (segment.committedAnswers == 0 && idle && !moveSource && (segment.sealed
                    || segment.bytes > SpoolLimits.SEGMENT_OVERHEAD_BYTES)) {
                if (activeSegment == number) {
                    activeSegment = -1;
                }
                segments.remove(number);
                indexBytes -= SpoolBudget.SEGMENT_INDEX_BYTES + segment.droppedIndexBytes;
                // The drop records of its answers are in the active segment and remain there.
                Segment dropLog = segments.get(activeSegment);
                if (dropLog != null) {
                    dropLog.bytes += (long) segment.droppedAnswers * SpoolLimits.DROP_OVERHEAD_BYTES;
                }
                actions.accept(new SpoolAction.DeleteSegment(number));
            }
        }
    }

    /** Starts to move one answer out of the sealed segment with the largest ratio of dead bytes. */
    private void compact() {
        boolean spaceNeeded = usedBytes() > limits.totalBytes() * COMPACTION_FILL_RATIO
                || indexBytes > budget.indexBytes() * COMPACTION_FILL_RATIO;
        if (movingAnswer != null || now < backoffUntil || !spaceNeeded) {
            return;
        }
        Map.Entry<Long, Segment> emptiest = segments.entrySet().stream()
                .filter(entry -> entry.getValue().sealed && entry.getValue().committedAnswers > 0
                && entry.getValue().uncommittedAnswers == 0)
                .filter(entry -> deadRatio(entry.getValue()) > COMPACTION_DEAD_RATIO)
                .max(Comparator.comparingDouble(entry -> deadRatio(entry.getValue())))
                .orElse(null);
        if (emptiest == null) {
            return;
        }
        Answer answer = answers.values().stream().filter(candidate ->
                candidate.segment == emptiest.getKey()).findFirst().orElseThrow();
        if (usedBytes() + answer.writtenBytes + SpoolLimits.SEGMENT_OVERHEAD_BYTES > limits.totalBytes()) {
            return;
        }
        Segment target = writableSegment();
        target.enteredIndexBytes += SpoolBudget.answerIndexBytes(answer.pageCount);
        movingAnswer = answer;
        moveTarget = activeSegment;
        reservedBytes += answer.writtenBytes;
        actions.accept(new SpoolAction.MoveAnswer(answer.id, answer.segment, moveTarget));
    }

    /** Share of the segment that a move of its live answers frees: of its bytes or of its index entries. */
    private static double deadRatio(Segment segment) {
        double deadBytes = 1 - (double) segment.liveBytes / segment.bytes;
        double deadEntries = segment.enteredIndexBytes == 0 ? 0
                : (double) segment.droppedIndexBytes / segment.enteredIndexBytes;
        return Math.max(deadBytes, deadEntries);
    }

    private void endMove() {
        reservedBytes -= movingAnswer.writtenBytes;
        movingAnswer = null;
    }

    private void answerMoved(SpoolEvent.AnswerMoved moved) {
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
            addDropRecord(answer);
            actions.accept(new SpoolAction.DropAnswer(answer.id, moved.targetSegment(), true));
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

    private void moveFailed(SpoolEvent.MoveFailed failed) {
        if (movingAnswer == null || !movingAnswer.id.equals(failed.answer())
                || moveTarget != failed.targetSegment()) {
            return;
        }
        Answer answer = movingAnswer;
        segments.get(failed.targetSegment()).bytes += answer.writtenBytes;
        endMove();
        actions.accept(new SpoolAction.LogMessage("spool answer corrupt, dropped: " + failed.reason()));
        if (answers.get(answer.id) == answer) {
            drop(answer, true);
        }
    }

    // ---- recovery

    /**
     * Keeps complete answers that have not expired, of several copies the latest. All other bytes are dead.
     */
    private void restore(SpoolEvent.Recovered contents) {
        for (SpoolEvent.RecoveredSegment segment : contents.segments()) {
            Segment restored = new Segment();
            restored.bytes = segment.bytes();
            restored.sealed = true;
            restored.droppedIndexBytes = (long) segment.dropRecords() * SpoolBudget.DROP_INDEX_BYTES;
            restored.enteredIndexBytes = restored.droppedIndexBytes;
            indexBytes += SpoolBudget.SEGMENT_INDEX_BYTES + restored.droppedIndexBytes;
            segments.put(segment.number(), restored);
        }
        lastSegment = Math.max(lastSegment, contents.lastSegment());
        Map<AnswerId, SpoolEvent.RecoveredAnswer> latest = new LinkedHashMap<>();
        int incomplete = 0;
        int expired = contents.expiredAnswers();
        for (SpoolEvent.RecoveredAnswer answer : contents.answers()) {
            if (!answer.complete() || !segments.containsKey(answer.segment())) {
                incomplete++;
            } else if (now >= answer.expiresAt()) {
                expired++;
            } else {
                latest.merge(answer.answer(), answer, (a, b) -> a.sequence() >= b.sequence() ? a : b);
            }
        }
        for (SpoolEvent.RecoveredAnswer answer : latest.values()) {
            Answer restoredAnswer = new Answer();
            restoredAnswer.id = answer.answer();
            TenantUsage tenantUsage = usage(answer.tenant());
            restoredAnswer.tenant = tenantUsage.tenant;
            restoredAnswer.repeatable = answer.repeatable();
            restoredAnswer.pageCount = answer.pages();
            restoredAnswer.segment = answer.segment();
            restoredAnswer.expiresAt = answer.expiresAt();
            restoredAnswer.writtenBytes = answer.bytes();
            restoredAnswer.unwrittenPageSizes = null;
            tenantUsage.bytes += restoredAnswer.writtenBytes;
            tenantUsage.answers++;
            Segment segment = segments.get(restoredAnswer.segment);
            addToIndex(restoredAnswer);
            segment.enteredIndexBytes += SpoolBudget.answerIndexBytes(restoredAnswer.pageCount);
            segment.liveBytes += restoredAnswer.writtenBytes;
            segment.committedAnswers++;
            answers.put(restoredAnswer.id, restoredAnswer);
        }
        actions.accept(new SpoolAction.LogMessage("spool: " + latest.size() + " answers found, " + expired
                + " expired, " + incomplete + " incomplete"));
    }
}
