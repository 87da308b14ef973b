package reedspring.spool;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import reedspring.api.Id;
import reedspring.rig.MemoryDisk;
import reedspring.spool.store.Store;

/**
 * Stands round one spool and its store as engines, clients and the threads behind the loop do, in one thread
 * and in virtual time, and checks after every step: each query has one end, what was kept with a handle can
 * be read to the byte until its time has passed or it was read to the end or released, room and memory are
 * not passed.
 */
final class Keeping {
    static final long SECOND = 10_000;
    static final Terms TERMS = new Terms(400_000, 0.5, 0.1, 60 * SECOND, 60_000, 1_000, 50_000, 12_000, 4, 2,
            SECOND, 60 * SECOND);

    /** A query whose answer an engine has begun. */
    final class Query {
        final Id.Query id = new Id.Query(++queries);
        final String tenant;
        final boolean repeatable;
        final int pages;
        final long textSeed = chance.nextLong();
        AnswerId answer;
        String end;

        Query(String tenant, boolean repeatable, int pages) {
            this.tenant = tenant;
            this.repeatable = repeatable;
            this.pages = pages;
        }

        byte[] text(int page) {
            SplittableRandom own = new SplittableRandom(textSeed + page);
            byte[] text = new byte[1 + own.nextInt(TERMS.pageBytes())];
            own.nextBytes(text);
            return text;
        }

        void end(String how) {
            require(end == null, "ended twice: " + end + ", " + how);
            end = how;
        }
    }

    /** What a client holds a handle of. */
    record Held(Query query, Handle handle) {
    }

    final SplittableRandom chance;
    final MemoryDisk disk;
    final Map<Id.Query, Query> begun = new LinkedHashMap<>();
    final Map<AnswerId, Held> held = new LinkedHashMap<>();
    /** Read to the end or released, so that it may be given up. */
    final Set<AnswerId> done = new HashSet<>();
    final Set<AnswerId> damaged = new HashSet<>();
    final ArrayDeque<Step> steps = new ArrayDeque<>();
    final ArrayDeque<Word> words = new ArrayDeque<>();
    final List<Step.Say> said = new ArrayList<>();
    final List<String> remarks = new ArrayList<>();
    final Set<Long> failed = new HashSet<>();
    private final Map<AnswerId, List<Integer>> wanted = new HashMap<>();
    private final Map<Long, List<Word>> unsynced = new LinkedHashMap<>();
    private final Map<Long, Integer> reading = new HashMap<>();
    Spool spool;
    Store store;
    long now = 1_000_000;
    int lost;
    int refused;
    int kept;
    int read;
    private long queries;
    private long readers;

    Keeping(long seed) {
        chance = new SplittableRandom(seed);
        disk = new MemoryDisk(chance.nextLong());
        start();
    }

    /** The front starts, on whatever the disk has. */
    void start() {
        begun.clear();
        wanted.clear();
        unsynced.clear();
        reading.clear();
        steps.clear();
        words.clear();
        failed.clear();
        spool = new Spool(TERMS, chance::nextLong);
        store = new Store(disk, "n0", TERMS.pageBytes());
        try {
            Word.Found found = store.recover(remarks::add);
            tell(found);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    void tell(Word word) {
        spool.on(now, word, this::take);
        require(spool.inMemory() <= 2 * TERMS.inMemory(), "memory " + spool.inMemory());
        require(spool.used() <= TERMS.total(), "room " + spool.used());
    }

    /**
     * What concerns clients and engines happens at once, what concerns the disk when the threads come to it.
     */
    private void take(Step step) {
        if (step instanceof Step.Take taken) {
            Query q = begun.get(taken.query());
            q.answer = taken.answer();
            wanted.put(taken.answer(), new ArrayList<>(List.of(0)));
        } else if (step instanceof Step.AskPage ask) {
            wanted.get(ask.answer()).add(ask.page());
        } else if (step instanceof Step.Refuse refuse) {
            refused++;
            begun.remove(refuse.query()).end("refused");
        } else if (step instanceof Step.Kept done) {
            kept++;
            Query q = begun.remove(done.query());
            q.end("kept");
            wanted.remove(done.answer());
            held.put(done.answer(), new Held(q, new Handle(done.answer(), q.tenant, q.repeatable,
                    done.expiresAt())));
        } else if (step instanceof Step.Lost gone) {
            lost++;
            begun.remove(gone.query()).end("lost");
            wanted.remove(gone.answer());
        } else if (step instanceof Step.Say say) {
            said.add(say);
            reading.remove(say.reader());
        } else if (step instanceof Step.Remark remark) {
            remarks.add(remark.text());
        } else {
            steps.add(step);
        }
    }

    void begin(String tenant, boolean repeatable, int pages) {
        Query q = new Query(tenant, repeatable, pages);
        begun.put(q.id, q);
        tell(new Word.Began(q.id, tenant, repeatable, pages));
    }

    /** A page that was asked for arrives, of any answer. */
    void arrive() {
        List<AnswerId> open = wanted.entrySet().stream().filter(e -> !e.getValue().isEmpty())
                .map(Map.Entry::getKey).toList();
        if (!open.isEmpty()) {
            AnswerId id = open.get(chance.nextInt(open.size()));
            List<Integer> pages = wanted.get(id);
            int page = pages.remove(chance.nextInt(pages.size()));
            tell(new Word.PageCame(id, page, query(id).text(page).length));
        }
    }

    private Query query(AnswerId id) {
        return begun.values().stream().filter(q -> id.equals(q.answer)).findAny()
                .orElseGet(() -> held.get(id).query());
    }

    void leave() {
        List<Query> open = begun.values().stream().filter(q -> q.answer != null).toList();
        if (!open.isEmpty()) {
            Query q = open.get(chance.nextInt(open.size()));
            begun.remove(q.id);
            q.end("left");
            wanted.remove(q.answer);
            left.put(q.answer, q);
            tell(new Word.QueryOver(q.answer));
        }
    }

    /** Left while pages of theirs may wait for the disk. */
    private final Map<AnswerId, Query> left = new HashMap<>();

    void ask(Held one, int page) {
        long reader = ++readers;
        reading.put(reader, page);
        tell(new Word.Asked(reader, one.handle(), page));
    }

    void release(Held one) {
        done.add(one.handle().answer());
        held.remove(one.handle().answer());
        tell(new Word.Released(one.handle()));
    }

    /** The threads behind the loop do their next step; false if there is none. */
    boolean work() {
        Step step = steps.poll();
        if (step == null) {
            sync();
            Word word = words.poll();
            if (word != null) {
                tell(word);
            }
            return word != null || !steps.isEmpty();
        }
        long segment = step instanceof Step.Open open ? open.segment()
                : step instanceof Step.Write write ? write.segment()
                : step instanceof Step.Commit commit ? commit.segment()
                : step instanceof Step.Move move ? move.to() : -1;
        try {
            if (segment < 0 || !failed.contains(segment)) {
                perform(step);
            }
        } catch (IOException e) {
            if (segment >= 0) {
                fail(segment, e);
            }
        }
        if (step instanceof Step.Write write) {
            words.add(new Word.Written(write.answer(), write.page()));
        }
        if (chance.nextInt(4) == 0) {
            sync();
        }
        while (!words.isEmpty() && chance.nextInt(5) > 0) {
            tell(words.poll());
        }
        return true;
    }

    void settle() {
        while (work()) {
            // until nothing is left to do
        }
    }

    private void perform(Step step) throws IOException {
        if (step instanceof Step.Open open) {
            store.open(open.segment());
        } else if (step instanceof Step.Write write) {
            Query q = left.containsKey(write.answer()) ? left.get(write.answer())
                    : begun.values().stream().filter(b ->
                            write.answer().equals(b.answer)).findAny().orElse(null);
            byte[] text = q == null ? new byte[1] : q.text(write.page());
            store.write(write.answer(), write.segment(), write.page(), ByteBuffer.wrap(text));
        } else if (step instanceof Step.Commit commit) {
            store.whole(commit.answer(), commit.segment(), commit.tenant(), commit.repeatable(),
                    commit.pages(),
                    commit.expiresAt());
            unsynced.computeIfAbsent(commit.segment(), k -> new ArrayList<>())
                    .add(new Word.Committed(commit.answer()));
        } else if (step instanceof Step.Move move) {
            try {
                store.move(move.answer(), move.to());
                unsynced.computeIfAbsent(move.to(), k -> new ArrayList<>())
                        .add(new Word.Moved(move.answer(), move.to()));
            } catch (Store.DamagedException e) {
                damaged.add(move.answer());
                words.add(new Word.MoveFailed(move.answer(), move.to(), e.getMessage()));
            }
        } else if (step instanceof Step.Drop drop) {
            store.drop(drop.answer());
        } else if (step instanceof Step.Seal seal) {
            sync();
            store.seal(seal.segment());
        } else if (step instanceof Step.Delete delete) {
            unsynced.remove(delete.segment());
            failed.remove(delete.segment());
            store.delete(delete.segment());
        } else if (step instanceof Step.ReadPage page) {
            readPage(page);
        }
    }

    private void readPage(Step.ReadPage page) {
        Held one = held.get(page.answer());
        try {
            ByteBuffer text = store.read(page.answer(), page.page());
            byte[] got = new byte[text.remaining()];
            text.get(got);
            require(one == null || Arrays.equals(got, one.query().text(page.page())),
                    "other bytes than were kept");
            read++;
            if (one != null && page.page() == one.query().pages - 1) {
                done.add(page.answer());
            }
            reading.remove(page.reader());
            words.add(new Word.PageRead(page.reader(), page.answer(), page.page()));
        } catch (IOException e) {
            damaged.add(page.answer());
            words.add(new Word.PageDamaged(page.reader(), page.answer(), page.page(), e.getMessage()));
        }
    }

    private void sync() {
        for (long segment : List.copyOf(unsynced.keySet())) {
            try {
                store.sync(segment);
                words.addAll(unsynced.getOrDefault(segment, List.of()));
            } catch (IOException e) {
                fail(segment, e);
            }
            unsynced.remove(segment);
        }
    }

    private void fail(long segment, IOException e) {
        unsynced.remove(segment);
        if (failed.add(segment)) {
            words.add(new Word.SegmentFailed(segment, e.getMessage()));
        }
    }

    /** Whatever a client holds a handle of and may count on is there, to the byte. */
    void checkHeld() {
        for (Held one : held.values()) {
            AnswerId id = one.handle().answer();
            if (now < one.handle().expiresAt() && !done.contains(id) && !damaged.contains(id)) {
                for (int page = 0; page < one.query().pages; page++) {
                    said.clear();
                    int before = read;
                    ask(one, page);
                    settle();
                    require(read > before, "page " + page + " of " + id + " is gone: " + said + remarks);
                }
            }
        }
    }

    static void require(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }
}
