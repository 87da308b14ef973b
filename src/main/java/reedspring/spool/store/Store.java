package reedspring.spool.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import reedspring.spool.AnswerId;
import reedspring.spool.Terms;
import reedspring.spool.Word;

/**
 * The answers' files: appends, makes last, reads and finds again. It decides nothing. All but {@link #read}
 * is for one thread; {@code read} may be called by another at any time.
 *
 * <p>A segment that has failed takes nothing more, and nothing that came to it since its last sync is
 * believed: a sync that failed is never tried again, as the kernel may have forgotten what it could not
 * write.
 */
public final class Store implements Closeable {
    /** A file cut at any place, or bits that are not what was written. */
    public static final class DamagedException extends IOException {
        private static final long serialVersionUID = 1L;

        DamagedException(String message) {
            super(message);
        }
    }

    private final Disk disk;
    private final String front;
    private final int mostBody;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    /** Where the pages of whole answers are. Read by the reading thread, too. */
    private final Map<AnswerId, Placed> placed = new ConcurrentHashMap<>();
    private final Map<Long, Disk.In> reading = new ConcurrentHashMap<>();
    private long orders;

    private record Placed(long segment, Format.Entry entry) {
    }

    /** A segment that is being written. */
    private static final class Open {
        private final Disk.Out file;
        private long end;
        private long synced;
        private boolean failed;
        /** Pages by answer: places and lengths, until it is whole. */
        private final Map<AnswerId, Map<Integer, long[]>> pages = new HashMap<>();
        private final Map<AnswerId, Format.Entry> whole = new LinkedHashMap<>();
        private final List<Format.Entry> unsynced = new ArrayList<>();
        private final List<Format.Dropped> dropped = new ArrayList<>();

        Open(Disk.Out file) {
            this.file = file;
        }
    }

    /** @param pageBytes what a page holds at most; a record that claims more is none */
    public Store(Disk disk, String front, int pageBytes) {
        this.disk = disk;
        this.front = front;
        this.mostBody = Math.max(Format.PAGE_HEAD + pageBytes, 2 * Format.MOST_NAME);
    }

    // ---- writing

    public void open(long segment) throws IOException {
        Disk.Out file = disk.create(Format.segment(segment));
        Open made = new Open(file);
        open.put(segment, made);
        append(segment, made, Format.head(segment, front));
        // Else a crash could leave answers that were made last in a file without a name.
        disk.syncNames();
    }

    public void write(AnswerId answer, long segment, int page, ByteBuffer text) throws IOException {
        Open to = usable(segment);
        long at = to.end;
        int body = Format.PAGE_HEAD + text.remaining();
        append(segment, to, Format.page(segment, at, answer, page, text));
        to.pages.computeIfAbsent(answer, k -> new HashMap<>()).put(page, new long[] {at, body});
    }

    /** Appends what makes the answer whole; it lasts from the next {@link #sync} of the segment on. */
    public void whole(AnswerId answer, long segment, String tenant, boolean repeatable, int pages,
                      long expiresAt) throws IOException {
        Open to = usable(segment);
        Map<Integer, long[]> places = to.pages.remove(answer);
        Format.Whole whole = new Format.Whole(answer, ++orders, pages, expiresAt, repeatable, tenant);
        Format.Entry entry = entry(whole, places);
        if (entry == null) {
            throw new IllegalStateException("pages are missing");
        }
        append(segment, to, Format.whole(segment, to.end, whole));
        to.unsynced.add(entry);
    }

    private static Format.Entry entry(Format.Whole whole, Map<Integer, long[]> places) {
        if (places == null || places.size() != whole.pages()) {
            return null;
        }
        long[] at = new long[whole.pages()];
        int[] length = new int[whole.pages()];
        for (int page = 0; page < at.length; page++) {
            long[] place = places.get(page);
            if (place == null) {
                return null;
            }
            at[page] = place[0];
            length[page] = (int) place[1];
        }
        return new Format.Entry(whole, at, length);
    }

    /** Makes last all that was appended to the segment; from now on its whole answers can be read. */
    public void sync(long segment) throws IOException {
        Open to = usable(segment);
        long end = to.end;
        try {
            to.file.sync();
        } catch (IOException | RuntimeException e) {
            to.failed = true;
            throw e;
        }
        to.synced = end;
        for (Format.Entry entry : to.unsynced) {
            to.whole.put(entry.whole().id(), entry);
            placed.put(entry.whole().id(), new Placed(segment, entry));
        }
        to.unsynced.clear();
    }

    /** Forgets the answer, and so far as a segment is open, for a restart as well. */
    public void drop(AnswerId answer) throws IOException {
        boolean known = placed.remove(answer) != null;
        for (Open to : open.values()) {
            to.pages.remove(answer);
            to.whole.remove(answer);
            known |= to.unsynced.removeIf(entry -> entry.whole().id().equals(answer));
        }
        if (!known) {
            return;
        }
        for (Map.Entry<Long, Open> entry : open.entrySet()) {
            Open to = entry.getValue();
            if (!to.failed) {
                long order = ++orders;
                append(entry.getKey(), to, Format.drop(entry.getKey(), to.end, answer, order));
                to.dropped.add(new Format.Dropped(answer, order));
                return;
            }
        }
    }

    /** Takes no more; what it holds for sure is in its index from now on. */
    public void seal(long segment) throws IOException {
        Open to = open.remove(segment);
        if (to == null) {
            return;
        }
        try {
            to.file.close();
        } catch (IOException e) {
            // What was synced is there.
        }
        writeIndex(new Format.Index(segment, to.synced, List.copyOf(to.whole.values()), to.dropped));
    }

    /**
     * Without its index the segment is read whole again at the next start; what is in it is there all the
     * same.
     */
    private void sealFound(Format.Index index, Consumer<String> remarks) {
        try {
            writeIndex(index);
        } catch (IOException e) {
            remarks.accept("segment " + index.number() + ": no index written: " + e.getMessage());
        }
    }

    private void writeIndex(Format.Index index) throws IOException {
        String undone = Format.undone(index.number());
        disk.delete(undone);
        try (Disk.Out out = disk.create(undone)) {
            out.write(Format.index(index, front));
            out.sync();
        }
        disk.rename(undone, Format.index(index.number()));
        disk.syncNames();
    }

    public void delete(long segment) throws IOException {
        Open to = open.remove(segment);
        if (to != null) {
            to.file.close();
        }
        Disk.In in = reading.remove(segment);
        if (in != null) {
            in.close();
        }
        // The index first: an index without its segment is nothing, a segment without its index is read
        // whole.
        disk.delete(Format.index(segment));
        disk.delete(Format.segment(segment));
    }

    /** A copy of a whole answer in another segment, to last from its next sync on. */
    public void move(AnswerId answer, long segment) throws IOException {
        Placed from = placed.get(answer);
        if (from == null) {
            throw new DamagedException("the answer is not there");
        }
        Format.Whole whole = from.entry().whole();
        for (int page = 0; page < whole.pages(); page++) {
            write(answer, segment, page, read(answer, page));
        }
        whole(answer, segment, whole.tenant(), whole.repeatable(), whole.pages(), whole.expiresAt());
    }

    private Open usable(long segment) throws IOException {
        Open to = open.get(segment);
        if (to == null || to.failed) {
            throw new IOException("segment " + segment + " takes nothing more");
        }
        return to;
    }

    private void append(long segment, Open to, ByteBuffer record) throws IOException {
        int size = record.remaining();
        try {
            to.file.write(record);
        } catch (IOException | RuntimeException e) {
            to.failed = true;
            throw e;
        }
        to.end += size;
    }

    // ---- reading

    /** The text of one page of a whole answer. */
    public ByteBuffer read(AnswerId answer, int page) throws IOException {
        Placed from = placed.get(answer);
        if (from == null || page < 0 || page >= from.entry().at().length) {
            throw new DamagedException("the page is not there");
        }
        long at = from.entry().at()[page];
        int length = from.entry().length()[page];
        ByteBuffer record = ByteBuffer.allocate(Format.RECORD_HEAD + length);
        file(from.segment()).read(record, at);
        if (record.hasRemaining()) {
            throw new DamagedException("segment " + from.segment() + " ends in a page");
        }
        record.flip();
        int body = record.getInt();
        int crc = record.getInt();
        if (body != length || !Format.sealed(from.segment(), at, crc, record.array(), record.position(), body)
                || record.get() != Format.PAGE || record.getLong() != answer.high()
                || record.getLong() != answer.low() || record.getInt() != page) {
            throw new DamagedException("segment " + from.segment() + " has other bytes at " + at
                    + " than were written");
        }
        return record.slice();
    }

    private Disk.In file(long segment) throws IOException {
        Disk.In in = reading.get(segment);
        if (in != null) {
            return in;
        }
        Disk.In opened = disk.open(Format.segment(segment));
        Disk.In other = reading.putIfAbsent(segment, opened);
        if (other != null) {
            opened.close();
            return other;
        }
        return opened;
    }

    // ---- the start

    /**
     * Finds what is there, from the indexes and, for segments that were not sealed, from their records; these
     * are sealed now. What is found of a file that is no segment of this front stays where it is.
     *
     * @param remarks is given a line for each file that can't be used
     */
    public Word.Found recover(Consumer<String> remarks) throws IOException {
        for (String name : disk.list()) {
            if (Format.undone(name) || Format.indexNumber(name) >= 0
                    && !disk.list().contains(Format.segment(Format.indexNumber(name)))) {
                discard(name, remarks);
            }
        }
        return find(remarks, true);
    }

    private void discard(String name, Consumer<String> remarks) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            remarks.accept(name + " can't be deleted: " + e.getMessage());
        }
    }

    /** The same, and changes nothing. */
    Word.Found look(Consumer<String> remarks) throws IOException {
        return find(remarks, false);
    }

    /** The names of the fronts whose segments are there. */
    static Set<String> fronts(Disk disk, Consumer<String> remarks) throws IOException {
        Set<String> fronts = new TreeSet<>();
        for (String name : disk.list()) {
            long number = Format.segmentNumber(name);
            if (number < 0) {
                continue;
            }
            try (Disk.In in = disk.open(name)) {
                ByteBuffer head = ByteBuffer.allocate(Format.MOST_HEAD);
                in.read(head, 0);
                String front = Format.readHead(head.flip(), number);
                if (front == null) {
                    remarks.accept("segment " + number + " has no head, nothing was kept there");
                } else {
                    fronts.add(front);
                }
            } catch (IOException e) {
                remarks.accept("segment " + number + ": " + e.getMessage());
            }
        }
        return fronts;
    }

    /** Whether that copy of the answer is the one that is read. */
    boolean holds(AnswerId answer, long segment) {
        Placed place = placed.get(answer);
        return place != null && place.segment() == segment;
    }

    private Word.Found find(Consumer<String> remarks, boolean seal) throws IOException {
        List<Word.FoundSegment> segments = new ArrayList<>();
        Map<AnswerId, Long> dropped = new HashMap<>();
        List<Placed> whole = new ArrayList<>();
        List<String> names = disk.list();
        long last = 0;
        for (String name : names) {
            long number = Format.segmentNumber(name);
            if (number < 0) {
                continue;
            }
            last = Math.max(last, number);
            Format.Index index = names.contains(Format.index(number)) ? index(number) : null;
            if (index == null) {
                Scan scan = new Scan(number);
                if (!scan.run()) {
                    remarks.accept(scan.why);
                    if (scan.mine) {
                        segments.add(new Word.FoundSegment(number, scan.size));
                    }
                    continue;
                }
                index = new Format.Index(number, scan.size, scan.whole, scan.dropped);
                if (scan.skipped > 0) {
                    remarks.accept("segment " + number + ": " + scan.skipped + " bytes can't be read");
                }
                if (seal) {
                    sealFound(index, remarks);
                }
            }
            segments.add(new Word.FoundSegment(number,
                    index.bytes() + Format.index(index, front).remaining()));
            for (Format.Entry entry : index.entries()) {
                whole.add(new Placed(number, entry));
                orders = Math.max(orders, entry.whole().order());
            }
            for (Format.Dropped drop : index.dropped()) {
                dropped.merge(drop.id(), drop.order(), Math::max);
                orders = Math.max(orders, drop.order());
            }
        }
        List<Word.FoundAnswer> answers = new ArrayList<>();
        for (Placed place : whole) {
            Format.Whole what = place.entry().whole();
            if (what.order() > dropped.getOrDefault(what.id(), 0L)) {
                Placed other = placed.get(what.id());
                if (other == null || other.entry().whole().order() < what.order()) {
                    placed.put(what.id(), place);
                }
                answers.add(new Word.FoundAnswer(what.id(), what.tenant(), what.repeatable(), what.pages(),
                        place.entry().bytes() + Terms.ANSWER_EXTRA, what.expiresAt(),
                        place.segment(), what.order(), true));
            }
        }
        return new Word.Found(segments, answers, last);
    }

    private Format.Index index(long number) throws IOException {
        try (Disk.In in = disk.open(Format.index(number))) {
            ByteBuffer all = ByteBuffer.allocate((int) Math.min(Integer.MAX_VALUE - 8, in.size()));
            in.read(all, 0);
            return Format.readIndex(all.flip(), number, front);
        }
    }

    /** Reads a segment that has no index, record by record, past what is spoilt as far as it can. */
    private final class Scan {
        private static final int CHUNK = 1 << 20;
        private final long number;
        private final List<Format.Entry> whole = new ArrayList<>();
        private final List<Format.Dropped> dropped = new ArrayList<>();
        private final Map<AnswerId, Map<Integer, long[]>> pages = new HashMap<>();
        private byte[] bytes = new byte[0];
        private long from;
        private int filled;
        private long size;
        private long skipped;
        private boolean mine;
        private String why;

        Scan(long number) {
            this.number = number;
        }

        /** False if there is nothing that can be used. */
        boolean run() throws IOException {
            try (Disk.In in = disk.open(Format.segment(number))) {
                size = in.size();
                fill(in, 0);
                ByteBuffer head = ByteBuffer.wrap(bytes, 0, filled);
                String named;
                try {
                    named = Format.readHead(head, number);
                } catch (IOException e) {
                    why = "segment " + number + " left as it is: " + e.getMessage();
                    return false;
                }
                mine = named == null || named.equals(front);
                if (named == null || !mine) {
                    why = "segment " + number + (mine ? " has no head, nothing was kept there"
                            : " left as it is, it is of front " + named);
                    return false;
                }
                records(in, head.position());
                return true;
            }
        }

        private void records(Disk.In in, long start) throws IOException {
            long bad = -1;
            for (long at = start; at + Format.RECORD_HEAD < size; ) {
                int length = record(in, at);
                if (length < 0) {
                    // The head itself may be spoilt: the next record is looked for at each place.
                    bad = bad < 0 ? at : bad;
                    at++;
                } else {
                    skipped += bad < 0 ? 0 : at - bad;
                    bad = -1;
                    at += Format.RECORD_HEAD + length;
                }
            }
        }

        /** The length of the body of the record at that place, -1 if there is none. */
        private int record(Disk.In in, long at) throws IOException {
            if (at < from || at + Format.RECORD_HEAD + mostBody > from + filled && from + filled < size) {
                fill(in, at);
            }
            int here = (int) (at - from);
            ByteBuffer record = ByteBuffer.wrap(bytes, here, filled - here);
            int length = record.getInt();
            int crc = record.getInt();
            if (length < 17 || length > mostBody || length > record.remaining()
                    || !Format.sealed(number, at, crc, bytes, record.position(), length)) {
                return -1;
            }
            record.limit(record.position() + length);
            byte kind = record.get();
            AnswerId id = new AnswerId(record.getLong(), record.getLong());
            if (kind == Format.PAGE) {
                pages.computeIfAbsent(id, k -> new HashMap<>()).put(record.getInt(), new long[] {at, length});
            } else if (kind == Format.WHOLE) {
                Format.Entry entry = entry(Format.whole(id, record), pages.remove(id));
                if (entry != null) {
                    whole.add(entry);
                } else {
                    skipped++;
                }
            } else if (kind == Format.DROP) {
                dropped.add(new Format.Dropped(id, record.getLong()));
            }
            return length;
        }

        private void fill(Disk.In in, long at) throws IOException {
            int length = (int) Math.min(size - at, CHUNK + mostBody + Format.RECORD_HEAD);
            if (bytes.length < length) {
                bytes = new byte[length];
            }
            ByteBuffer into = ByteBuffer.wrap(bytes, 0, length);
            in.read(into, at);
            from = at;
            filled = into.position();
            Arrays.fill(bytes, filled, bytes.length, (byte) 0);
        }
    }

    void closeFiles() throws IOException {
        for (Open each : open.values()) {
            each.file.close();
        }
        for (Disk.In in : reading.values()) {
            in.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeFiles();
        disk.close();
    }
}
