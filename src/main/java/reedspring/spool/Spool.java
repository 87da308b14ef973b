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
 * was found on the disk first ({@link Word.Found}), then each word to {@link #on} with its time; what has to
 * be done comes out of the consumer, in order, before the call returns. Not for use by several threads. Times
 * are Unix time in whole tenths of a millisecond. No I/O: whoever calls it does the steps. Reasons:
 * docs/spool.md.
 *
 * <p>Room is reckoned in what lies on the disk. A segment goes as a whole once nothing in it is wanted; so
 * what is dead in a segment counts until then, and what lives on in one that is mostly dead is moved.
 */
public final class Spool {
    /** Over this part of the room, segments of which more than {@code DEAD} is dead are cleared. */
    private static final double CROWDED = 0.6;
    private static final double DEAD = 0.3;
    /** A page is read in less than this, so that a reader who is told to wait for it finds room. */
    private static final long SOON = 1_000;

    private final Terms terms;
    private final LongSupplier ids;
    private final Map<AnswerId, Kept> answers = new LinkedHashMap<>();
    private final Map<AnswerId, Kept> filling = new LinkedHashMap<>();
    private final Map<Id.Query, AnswerId> byQuery = new HashMap<>();
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final Map<String, Purse> purses = new HashMap<>();
    private final Map<Long, String> readers = new HashMap<>();
    private Consumer<Step> out;
    private long now;
    private long active = -1;
    private long lastSegment;
    private long reserved;
    /** Pages that were asked for or wait to be written, at the most that they may hold. */
    private long inMemory;
    private Kept moving;
    private long movingTo;
    /** Whether it is known what lies on the disk. */
    private boolean ready;
    private boolean unusable;
    private long restUntil;
    private long rest;

    /** One answer, from its announcement until nothing of it is wanted. */
    private static final class Kept {
        private AnswerId id;
        private Id.Query query;
        private String tenant;
        private boolean repeatable;
        private int pages;
        private long segment;
        private long bytes;
        private long reserved;
        private long expiresAt;
        private boolean committing;
        private int asked;
        private int came;
        /** While it is being filled: the sizes of the pages that wait to be written. */
        private final Map<Integer, Integer> waiting = new HashMap<>();
        private boolean readToEnd;
        private long readAt;
        private int reading;
    }

    private static final class Segment {
        private long bytes = Terms.SEGMENT_EXTRA;
        private long live;
        private int answers;
        private int filling;
        private int dropped;
        private boolean sealed;
    }

    /** What one tenant holds. */
    private static final class Purse {
        private long bytes;
        private int answers;
        private int reads;
    }

    /** @param ids 64 bits that nobody can guess, for the names of answers */
    public Spool(Terms terms, LongSupplier ids) {
        this.terms = terms;
        this.ids = ids;
        this.rest = terms.firstRest();
    }

    /** Takes one word at its time and gives out what follows from it. */
    public void on(long time, Word word, Consumer<Step> steps) {
        now = Math.max(now, time);
        out = steps;
        if (word instanceof Word.Began began) {
            begin(began);
        } else if (word instanceof Word.PageCame page) {
            came(page);
        } else if (word instanceof Word.Written written) {
            written(written);
        } else if (word instanceof Word.Committed committed) {
            committed(committed.answer());
        } else if (word instanceof Word.SegmentFailed failed) {
            failed(failed);
        } else if (word instanceof Word.QueryOver over) {
            abandon(filling.get(over.answer()));
        } else if (word instanceof Word.Asked asked) {
            ask(asked);
        } else if (word instanceof Word.PageRead read) {
            read(read);
        } else if (word instanceof Word.PageUnread unread) {
            unread(unread);
        } else if (word instanceof Word.PageDamaged damaged) {
            damaged(damaged);
        } else if (word instanceof Word.Released released) {
            Kept kept = own(released.handle());
            if (kept != null) {
                forget(kept);
            }
        } else if (word instanceof Word.Moved moved) {
            moved(moved);
        } else if (word instanceof Word.MoveFailed moveFailed) {
            moveFailed(moveFailed);
        } else if (word instanceof Word.Found found) {
            ready = true;
            found(found);
        } else if (word instanceof Word.Unusable why) {
            unusable = true;
            out.accept(new Step.Remark("spool can't be used, nothing is kept: " + why.why()));
        } else if (word instanceof Word.Remarked remarked) {
            out.accept(new Step.Remark("spool: " + remarked.text()));
        } else if (word instanceof Word.Tick) {
            tick();
        }
        askOn();
        sweep();
    }

    /** Bytes on the disk and those that begun answers may still take. */
    public long used() {
        return reserved + segments.values().stream().mapToLong(segment -> segment.bytes).sum();
    }

    /** Answers that can be read. */
    public int kept() {
        return answers.size();
    }

    /** What is asked of engines or waits for the disk, in bytes at most. */
    public long inMemory() {
        return inMemory;
    }

    /** Rows of all kinds, for those who watch that none is kept for good. */
    int held() {
        return answers.size() + filling.size() + byQuery.size() + segments.size() + purses.size()
                + readers.size();
    }

    // ---- room

    private void begin(Word.Began began) {
        long most = terms.most(began.pages()) + Terms.SEGMENT_EXTRA;
        String why = began.pages() < 1 || most > terms.longestAnswer() ? "the answer is too long"
                : !ready ? "the spool is not ready" : now < restUntil ? "the disk fails" : null;
        // The first page comes unasked: of answers that begin while the disk stands still, each would hold
        // one.
        if (why == null && inMemory + terms.pageBytes() > 2 * terms.inMemory()) {
            why = "too much waits for the disk";
        }
        if (why == null && !roomFor(began, most)) {
            why = "no room";
        }
        if (why != null) {
            out.accept(new Step.Refuse(began.query(), why, comeBack(began.tenant(), why)));
            return;
        }
        Segment in = segments.get(active);
        if (in == null || in.sealed || in.bytes >= terms.segmentBytes()) {
            in = open();
        }
        Kept kept = new Kept();
        kept.id = new AnswerId(ids.getAsLong(), ids.getAsLong());
        kept.query = began.query();
        kept.tenant = began.tenant();
        kept.repeatable = began.repeatable();
        kept.pages = began.pages();
        kept.segment = active;
        in.filling++;
        reserve(kept, most - Terms.SEGMENT_EXTRA);
        purse(kept.tenant).answers++;
        // Page 0 is here already.
        kept.asked = 1;
        inMemory += terms.pageBytes();
        filling.put(kept.id, kept);
        byQuery.put(kept.query, kept.id);
        out.accept(new Step.Take(kept.query, kept.id));
    }

    private Segment open() {
        active = ++lastSegment;
        Segment fresh = new Segment();
        segments.put(active, fresh);
        out.accept(new Step.Open(active));
        return fresh;
    }

    /**
     * Whether the answer fits, once what was read to its end is given up for it: the tenant's own where its
     * part is full, anybody's where all of it is. What waits to be read is never given up before its time.
     */
    private boolean roomFor(Word.Began began, long most) {
        long part = (long) (terms.total() * terms.tenantPart());
        long all = (long) (terms.total() * (began.repeatable() ? 1 - terms.headroom() : 1));
        while (purse(began.tenant()).bytes + most > part) {
            if (!giveUp(began.tenant())) {
                tidy(began.tenant());
                return false;
            }
        }
        while (used() + most > all) {
            if (!giveUp(null)) {
                tidy(began.tenant());
                return false;
            }
        }
        return true;
    }

    /** The answer that was read to its end longest ago, of one tenant or of all; false if there is none. */
    private boolean giveUp(String tenant) {
        Kept eldest = answers.values().stream()
                .filter(kept -> kept.readToEnd && kept.reading == 0 && kept != moving
                        && (tenant == null || kept.tenant.equals(tenant)))
                .min(Comparator.comparingLong(kept -> kept.readAt)).orElse(null);
        if (eldest != null) {
            forget(eldest);
        }
        return eldest != null;
    }

    /** When the first of what stands in the way goes by itself. */
    private long comeBack(String tenant, String why) {
        if (now < restUntil) {
            return restUntil - now;
        }
        return why.equals("too much waits for the disk") ? terms.firstRest() : why.equals("no room")
                ? Math.max(1, answers.values().stream()
                .mapToLong(kept -> kept.expiresAt - now).min().orElse(terms.firstRest())) : 0;
    }

    private Purse purse(String tenant) {
        return purses.computeIfAbsent(tenant, k -> new Purse());
    }

    private void tidy(String tenant) {
        Purse purse = purses.get(tenant);
        if (purse != null && purse.answers == 0 && purse.reads == 0) {
            purses.remove(tenant);
        }
    }

    /** Sets what the answer may still take on the disk. */
    private void reserve(Kept kept, long bytes) {
        reserved += bytes - kept.reserved;
        purse(kept.tenant).bytes += bytes - kept.reserved;
        kept.reserved = bytes;
    }

    /** What was reserved is there. */
    private void grow(Kept kept, long bytes) {
        kept.bytes += bytes;
        purse(kept.tenant).bytes += bytes;
        Segment segment = segments.get(kept.segment);
        segment.bytes += bytes;
        segment.live += bytes;
    }

    // ---- filling

    private void came(Word.PageCame page) {
        Kept kept = filling.get(page.answer());
        if (kept == null) {
            return;
        }
        kept.came++;
        kept.waiting.put(page.page(), page.bytes());
        out.accept(new Step.Write(kept.id, kept.segment, page.page()));
        if (kept.came == kept.pages) {
            kept.committing = true;
            kept.expiresAt = now + terms.keepFor();
            out.accept(new Step.Commit(kept.id, kept.segment, kept.tenant, kept.repeatable, kept.pages,
                    kept.expiresAt));
        }
    }

    private void written(Word.Written page) {
        inMemory -= terms.pageBytes();
        Kept kept = filling.get(page.answer());
        Integer bytes = kept == null ? null : kept.waiting.remove(page.page());
        if (bytes != null) {
            reserve(kept, kept.reserved - terms.pageBytes() - Terms.PAGE_EXTRA);
            grow(kept, bytes + Terms.PAGE_EXTRA);
        }
    }

    /** Asks engines for pages as far as there is memory for them, each answer in its turn. */
    private void askOn() {
        boolean asked = true;
        while (asked && inMemory + terms.pageBytes() <= terms.inMemory()) {
            asked = false;
            for (Kept kept : filling.values()) {
                if (kept.asked < kept.pages && inMemory + terms.pageBytes() <= terms.inMemory()) {
                    inMemory += terms.pageBytes();
                    out.accept(new Step.AskPage(kept.id, kept.asked++));
                    asked = true;
                }
            }
        }
    }

    private void committed(AnswerId id) {
        Kept kept = filling.remove(id);
        if (kept == null) {
            return;
        }
        // The disk works again.
        rest = terms.firstRest();
        byQuery.remove(kept.query);
        reserve(kept, 0);
        grow(kept, Terms.ANSWER_EXTRA);
        Segment segment = segments.get(kept.segment);
        segment.filling--;
        segment.answers++;
        answers.put(id, kept);
        out.accept(new Step.Kept(kept.query, id, kept.pages, kept.expiresAt));
    }

    /** Its query has ended otherwise, so that what is there of it is dead. */
    private void abandon(Kept kept) {
        if (kept == null) {
            return;
        }
        filling.remove(kept.id);
        byQuery.remove(kept.query);
        // What has come is in memory until it is written, wanted or not.
        inMemory -= (long) (kept.asked - kept.came) * terms.pageBytes();
        reserve(kept, 0);
        Purse purse = purse(kept.tenant);
        purse.bytes -= kept.bytes;
        purse.answers--;
        Segment segment = segments.get(kept.segment);
        // What was handed over may be written all the same, or lie there in part.
        segment.bytes += kept.waiting.values().stream().mapToInt(bytes -> bytes + Terms.PAGE_EXTRA).sum()
                + (kept.committing ? Terms.ANSWER_EXTRA : 0);
        segment.live -= kept.bytes;
        segment.filling--;
        out.accept(new Step.Drop(kept.id, kept.segment));
        tidy(kept.tenant);
    }

    /**
     * After a failed write or sync nobody knows what of the segment is on the disk since the last commit: all
     * that was being filled there is lost, what was committed before stays. For a time nothing is begun.
     */
    private void failed(Word.SegmentFailed failed) {
        Segment segment = segments.get(failed.segment());
        if (segment == null) {
            return;
        }
        out.accept(new Step.Remark("spool segment " + failed.segment() + " failed: " + failed.why()));
        for (Kept kept : List.copyOf(filling.values())) {
            if (kept.segment == failed.segment()) {
                abandon(kept);
                out.accept(new Step.Lost(kept.query, kept.id, failed.why()));
            }
        }
        if (moving != null && movingTo == failed.segment()) {
            segment.bytes += moving.bytes;
            stopMoving();
        }
        seal(failed.segment(), segment);
        restUntil = now + rest;
        rest = Math.min(terms.longestRest(), rest * 2);
    }

    private void seal(long number, Segment segment) {
        if (!segment.sealed) {
            segment.sealed = true;
            out.accept(new Step.Seal(number));
        }
        if (active == number) {
            active = -1;
        }
    }

    // ---- reading

    /** The answer that the handle names, or null if it is not kept any more. */
    private Kept own(Handle handle) {
        Kept kept = answers.get(handle.answer());
        return kept == null || !kept.tenant.equals(handle.tenant()) || now >= kept.expiresAt ? null : kept;
    }

    private void ask(Word.Asked asked) {
        Handle handle = asked.handle();
        Kept kept = own(handle);
        Reason reason = null;
        if (now >= handle.expiresAt()) {
            reason = Reason.EXPIRED;
        } else if (!ready) {
            reason = unusable ? Reason.DAMAGED : Reason.BUSY;
        } else if (kept == null) {
            reason = Reason.GONE;
        } else if (asked.page() < 0 || asked.page() >= kept.pages) {
            reason = Reason.NO_SUCH_PAGE;
        } else if (readers.size() >= terms.reads() || purse(kept.tenant).reads >= terms.tenantReads()
                || readers.containsKey(asked.reader())) {
            reason = Reason.BUSY;
        }
        if (reason != null) {
            out.accept(new Step.Say(asked.reader(), reason, reason == Reason.BUSY ? SOON : 0));
            return;
        }
        readers.put(asked.reader(), kept.tenant);
        purse(kept.tenant).reads++;
        kept.reading++;
        out.accept(new Step.ReadPage(asked.reader(), kept.id, kept.segment, asked.page()));
    }

    private void endRead(long reader, AnswerId answer) {
        String tenant = readers.remove(reader);
        if (tenant != null) {
            purse(tenant).reads--;
            Kept kept = answers.get(answer);
            if (kept != null) {
                kept.reading--;
            }
            tidy(tenant);
        }
    }

    private void read(Word.PageRead read) {
        endRead(read.reader(), read.answer());
        Kept kept = answers.get(read.answer());
        if (kept != null) {
            kept.readAt = now;
            kept.readToEnd |= read.page() == kept.pages - 1;
        }
    }

    /** Its client comes again; the answer is still owed. */
    private void unread(Word.PageUnread unread) {
        endRead(unread.reader(), unread.answer());
        boolean kept = answers.containsKey(unread.answer());
        out.accept(new Step.Remark("spool page not read: " + unread.why()));
        out.accept(new Step.Say(unread.reader(), kept ? Reason.BUSY : Reason.GONE, kept ? SOON : 0));
    }

    /** An answer of which a page is spoilt is none: nobody can be given all of it any more. */
    private void damaged(Word.PageDamaged damaged) {
        endRead(damaged.reader(), damaged.answer());
        Kept kept = answers.get(damaged.answer());
        // It may have been given up, and its segment deleted, while the page was being looked for.
        out.accept(new Step.Say(damaged.reader(), kept == null ? Reason.GONE : Reason.DAMAGED, 0));
        if (kept != null) {
            out.accept(new Step.Remark("spool answer damaged, given up: " + damaged.why()));
            forget(kept);
        }
    }

    // ---- what goes

    private void forget(Kept kept) {
        answers.remove(kept.id);
        Purse purse = purse(kept.tenant);
        purse.bytes -= kept.bytes;
        purse.answers--;
        Segment segment = segments.get(kept.segment);
        segment.live -= kept.bytes;
        segment.answers--;
        segment.dropped++;
        out.accept(new Step.Drop(kept.id, kept.segment));
        tidy(kept.tenant);
    }

    private void tick() {
        for (Kept kept : new ArrayList<>(answers.values())) {
            if (now >= kept.expiresAt) {
                forget(kept);
            }
        }
        clear();
    }

    /** Seals what is full and deletes what nothing in it is wanted of. */
    private void sweep() {
        for (Map.Entry<Long, Segment> entry : List.copyOf(segments.entrySet())) {
            Segment segment = entry.getValue();
            long number = entry.getKey();
            boolean idle = segment.filling == 0 && (moving == null || movingTo != number);
            if (!segment.sealed && idle && segment.bytes >= terms.segmentBytes()) {
                seal(number, segment);
            }
            boolean read = moving != null && moving.segment == number;
            if (segment.answers == 0 && idle && !read && (segment.sealed
                    || segment.bytes > Terms.SEGMENT_EXTRA)) {
                if (active == number) {
                    active = -1;
                }
                segments.remove(number);
                // That its answers are dropped stands in another segment by now, and outlives it.
                Segment noted = segments.get(active);
                if (noted != null) {
                    noted.bytes += (long) segment.dropped * Terms.DROP_EXTRA;
                }
                out.accept(new Step.Delete(number));
            }
        }
    }

    /** Moves one answer out of the sealed segment that is dead for the largest part. */
    private void clear() {
        if (moving != null || now < restUntil || used() <= terms.total() * CROWDED) {
            return;
        }
        Map.Entry<Long, Segment> worst = segments.entrySet().stream()
                .filter(e -> e.getValue().sealed && e.getValue().answers > 0 && e.getValue().filling == 0)
                .filter(e -> e.getValue().live < e.getValue().bytes * (1 - DEAD))
                .min(Comparator.comparingDouble(e -> (double) e.getValue().live / e.getValue().bytes))
                .orElse(null);
        if (worst == null) {
            return;
        }
        Kept kept = answers.values().stream().filter(k ->
                k.segment == worst.getKey()).findFirst().orElseThrow();
        if (used() + kept.bytes + Terms.SEGMENT_EXTRA > terms.total()) {
            return;
        }
        Segment in = segments.get(active);
        if (in == null || in.sealed || in.bytes >= terms.segmentBytes()) {
            in = open();
        }
        moving = kept;
        movingTo = active;
        reserved += kept.bytes;
        out.accept(new Step.Move(kept.id, kept.segment, movingTo));
    }

    private void stopMoving() {
        reserved -= moving.bytes;
        moving = null;
    }

    private void moved(Word.Moved moved) {
        if (moving == null || !moving.id.equals(moved.answer()) || movingTo != moved.to()) {
            return;
        }
        Kept kept = moving;
        stopMoving();
        Segment to = segments.get(moved.to());
        to.bytes += kept.bytes;
        if (answers.get(kept.id) != kept) {
            // Given up meanwhile: the copy is dead as it comes.
            out.accept(new Step.Drop(kept.id, moved.to()));
            return;
        }
        Segment from = segments.get(kept.segment);
        from.live -= kept.bytes;
        from.answers--;
        to.live += kept.bytes;
        to.answers++;
        kept.segment = moved.to();
        clear();
    }

    private void moveFailed(Word.MoveFailed failed) {
        if (moving == null || !moving.id.equals(failed.answer()) || movingTo != failed.to()) {
            return;
        }
        Kept kept = moving;
        segments.get(failed.to()).bytes += kept.bytes;
        stopMoving();
        out.accept(new Step.Remark("spool answer damaged, given up: " + failed.why()));
        if (answers.get(kept.id) == kept) {
            forget(kept);
        }
    }

    // ---- the start

    /** What was whole and has time left is kept; of two copies the later. All the rest is dead. */
    private void found(Word.Found found) {
        for (Word.FoundSegment segment : found.segments()) {
            Segment held = new Segment();
            held.bytes = segment.bytes();
            held.sealed = true;
            segments.put(segment.number(), held);
        }
        lastSegment = Math.max(lastSegment, found.last());
        Map<AnswerId, Word.FoundAnswer> latest = new LinkedHashMap<>();
        int torn = 0;
        int expired = 0;
        for (Word.FoundAnswer answer : found.answers()) {
            if (!answer.whole() || !segments.containsKey(answer.segment())) {
                torn++;
            } else if (now >= answer.expiresAt()) {
                expired++;
            } else {
                latest.merge(answer.answer(), answer, (a, b) -> a.order() >= b.order() ? a : b);
            }
        }
        for (Word.FoundAnswer answer : latest.values()) {
            Kept kept = new Kept();
            kept.id = answer.answer();
            kept.tenant = answer.tenant();
            kept.repeatable = answer.repeatable();
            kept.pages = answer.pages();
            kept.segment = answer.segment();
            kept.expiresAt = answer.expiresAt();
            kept.bytes = answer.bytes();
            Purse purse = purse(kept.tenant);
            purse.bytes += kept.bytes;
            purse.answers++;
            Segment segment = segments.get(kept.segment);
            segment.live += kept.bytes;
            segment.answers++;
            answers.put(kept.id, kept);
        }
        out.accept(new Step.Remark("spool: " + latest.size() + " answers found, " + expired + " expired, "
                + torn
                + " not whole"));
    }
}
