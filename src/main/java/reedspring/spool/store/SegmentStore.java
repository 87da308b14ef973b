package reedspring.spool.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import reedspring.spool.AnswerId;
import reedspring.spool.SpoolBudget;
import reedspring.spool.SpoolEvent;

/**
 * Append-only storage of answers in segment files: writes, syncs, reads and recovers them. All policy is in
 * {@link reedspring.spool.Spool}. All methods but {@link #readPage} must be called by one thread; another
 * thread may call {@code readPage} at any time.
 *
 * <p>A segment that has failed accepts no more writes, and what was written to it since its last sync counts
 * as lost. A failed sync is never retried, as the kernel may have discarded the pages that it could not write
 * and may report success.
 */
public final class SegmentStore implements Closeable {
    /** The file is truncated, or its content differs from what was written. */
    public static final class CorruptDataException extends IOException {
        private static final long serialVersionUID = 1L;

        CorruptDataException(String message) {
            super(message);
        }
    }

    private final Disk disk;
    private final String front;
    private final int maxBodyBytes;
    private final Map<Long, OpenSegment> openSegments = new LinkedHashMap<>();
    /** Locations of the pages of committed answers. Also read by the reading thread. */
    private final Map<AnswerId, Location> locations = new ConcurrentHashMap<>();
    private final ReadFiles readFiles;
    private final SpoolBudget budget;
    private final LongSupplier clock;
    private long lastSequence;

    /** Where the pages of a committed answer are. */
    record Location(long segment, Format.IndexEntry entry) {
    }

    /** A segment that is being written. */
    private static final class OpenSegment {
        private final Disk.OutputFile file;
        private long endPosition;
        private long syncedPosition;
        private boolean failed;
        /** File position and body size of each page, by answer and page, until the answer's commit. */
        private final Map<AnswerId, Map<Integer, long[]>> uncommittedPages = new HashMap<>();
        private final Map<AnswerId, Format.IndexEntry> committed = new LinkedHashMap<>();
        private final List<Format.IndexEntry> unsynced = new ArrayList<>();
        private final List<Format.Drop> drops = new ArrayList<>();

        OpenSegment(Disk.OutputFile file) {
            this.file = file;
        }
    }

    /** Creates a store without bounds on its memory, which also recovers expired answers. */
    public SegmentStore(Disk disk, String front, int pageBytes) {
        this(disk, front, pageBytes, SpoolBudget.UNLIMITED, () -> Long.MIN_VALUE);
    }

    /**
     * @param pageBytes maximum size of a page; recovery rejects larger records as invalid
     * @param clock Unix time in ticks; recovery leaves out answers that have expired
     */
    public SegmentStore(Disk disk, String front, int pageBytes, SpoolBudget budget, LongSupplier clock) {
        this.disk = disk;
        this.budget = budget;
        this.clock = clock;
        this.readFiles = new ReadFiles(disk, budget.readFiles());
        this.front = front;
        this.maxBodyBytes = Math.max(Format.PAGE_HEADER_BYTES + pageBytes, 2 * Format.MAX_NAME_BYTES);
    }

    // ---- writing

    /** Creates a segment. */
    public void createSegment(long segment) throws IOException {
        Disk.OutputFile file = disk.create(Format.segmentFileName(segment));
        OpenSegment opened = new OpenSegment(file);
        openSegments.put(segment, opened);
        append(segment, opened, Format.header(segment, front));
        // Otherwise a crash could remove the directory entry of a file whose content was synced.
        disk.syncDirectory();
    }

    /** Appends a page; it counts once the answer is committed. */
    public void appendPage(AnswerId answer, long segment, int page, ByteBuffer content) throws IOException {
        OpenSegment target = writableSegment(segment);
        long position = target.endPosition;
        int bodyBytes = Format.PAGE_HEADER_BYTES + content.remaining();
        append(segment, target, Format.pageRecord(segment, position, answer, page, content));
        target.uncommittedPages.computeIfAbsent(answer, key -> new HashMap<>()).put(page,
                new long[] {position, bodyBytes});
    }

    /**
     * Appends the commit record of the answer, which is durable after the next {@link #sync} of the segment.
     */
    public void appendCommit(AnswerId answer, long segment, String tenant, boolean repeatable, int pages,
                      long expiresAt) throws IOException {
        OpenSegment target = writableSegment(segment);
        Map<Integer, long[]> pageLocations = target.uncommittedPages.remove(answer);
        Format.Commit commit = new Format.Commit(answer, ++lastSequence, pages, expiresAt, repeatable,
                tenant);
        Format.IndexEntry entry = Format.indexEntry(commit, pageLocations);
        if (entry == null) {
            throw new IllegalStateException("pages of the answer are missing");
        }
        append(segment, target, Format.commitRecord(segment, target.endPosition, commit));
        target.unsynced.add(entry);
    }

    /** Makes everything appended to the segment durable; its committed answers become readable. */
    public void sync(long segment) throws IOException {
        OpenSegment target = writableSegment(segment);
        long endPosition = target.endPosition;
        try {
            target.file.sync();
        } catch (IOException | RuntimeException e) {
            target.failed = true;
            throw e;
        }
        target.syncedPosition = endPosition;
        for (Format.IndexEntry entry : target.unsynced) {
            target.committed.put(entry.commit().id(), entry);
            locations.put(entry.commit().id(), new Location(segment, entry));
        }
        target.unsynced.clear();
    }

    /**
     * Removes the answer.
     *
     * @param recorded whether to append a drop record, which keeps the answer from being restored after a
     *     restart, to an open segment if there is one
     */
    public void drop(AnswerId answer, boolean recorded) throws IOException {
        boolean known = locations.remove(answer) != null;
        for (OpenSegment target : openSegments.values()) {
            target.uncommittedPages.remove(answer);
            target.committed.remove(answer);
            known |= target.unsynced.removeIf(entry -> entry.commit().id().equals(answer));
        }
        if (!known || !recorded) {
            return;
        }
        for (Map.Entry<Long, OpenSegment> entry : openSegments.entrySet()) {
            OpenSegment target = entry.getValue();
            if (!target.failed) {
                long sequence = ++lastSequence;
                append(entry.getKey(), target,
                        Format.dropRecord(entry.getKey(), target.endPosition, answer, sequence));
                target.drops.add(new Format.Drop(answer, sequence));
                return;
            }
        }
    }

    /** Closes the segment for writes and writes an index of its synced content. */
    public void seal(long segment) throws IOException {
        OpenSegment target = openSegments.remove(segment);
        if (target == null) {
            return;
        }
        try {
            target.file.close();
        } catch (IOException e) {
            // The synced content is not affected.
        }
        writeIndex(new Format.Index(segment, target.syncedPosition, List.copyOf(target.committed.values()),
                target.drops));
    }

    /**
     * Writes the index of a recovered segment and returns whether it could. A failure only means that the
     * next start scans the segment again.
     */
    private boolean indexRecovered(Format.Index index, Consumer<String> notices) {
        try {
            writeIndex(index);
            return true;
        } catch (IOException e) {
            notices.accept("segment " + index.segment() + ": index not written: " + e.getMessage());
            return false;
        }
    }

    private void writeIndex(Format.Index index) throws IOException {
        String temporary = Format.temporaryFileName(index.segment());
        disk.delete(temporary);
        try (Disk.OutputFile file = disk.create(temporary)) {
            file.write(Format.encodeIndex(index, front));
            file.sync();
        }
        disk.rename(temporary, Format.indexFileName(index.segment()));
        disk.syncDirectory();
    }

    /** Deletes the segment and its index. */
    public void delete(long segment) throws IOException {
        OpenSegment opened = openSegments.remove(segment);
        if (opened != null) {
            opened.file.close();
        }
        readFiles.close(segment);
        // Index first: an index without its segment is ignored, a segment without its index is scanned.
        disk.delete(Format.indexFileName(segment));
        disk.delete(Format.segmentFileName(segment));
    }

    /**
     * Copies a committed answer to another segment; the copy is durable after the next sync of that segment.
     */
    public void move(AnswerId answer, long segment) throws IOException {
        Location source = locations.get(answer);
        if (source == null) {
            throw new CorruptDataException("answer is not stored");
        }
        Format.Commit commit = source.entry().commit();
        for (int page = 0; page < commit.pageCount(); page++) {
            appendPage(answer, segment, page, readPage(answer, page));
        }
        appendCommit(answer, segment, commit.tenant(), commit.repeatable(), commit.pageCount(),
                commit.expiresAt());
    }

    private OpenSegment writableSegment(long segment) throws IOException {
        OpenSegment target = openSegments.get(segment);
        if (target == null || target.failed) {
            throw new IOException("segment " + segment + " is closed for writes");
        }
        return target;
    }

    private void append(long segment, OpenSegment target, ByteBuffer record) throws IOException {
        int size = record.remaining();
        try {
            target.file.write(record);
        } catch (IOException | RuntimeException e) {
            target.failed = true;
            throw e;
        }
        target.endPosition += size;
    }

    // ---- reading

    /** Reads the content of one page of a committed answer. */
    public ByteBuffer readPage(AnswerId answer, int page) throws IOException {
        Location location = locations.get(answer);
        if (location == null || page < 0 || page >= location.entry().positions().length) {
            throw new CorruptDataException("page is not stored");
        }
        long position = location.entry().positions()[page];
        int bodyBytes = location.entry().bodyBytes()[page];
        ByteBuffer record = ByteBuffer.allocate(Format.RECORD_HEADER_BYTES + bodyBytes);
        readFiles.read(location.segment(), record, position);
        if (record.hasRemaining()) {
            throw new CorruptDataException("segment " + location.segment() + " is truncated within a page");
        }
        record.flip();
        int storedBodyBytes = record.getInt();
        int crc = record.getInt();
        if (storedBodyBytes != bodyBytes
                || !Format.checksumMatches(location.segment(), position, crc, record.array(),
                record.position(), storedBodyBytes)
                || record.get() != Format.PAGE || record.getLong() != answer.high()
                || record.getLong() != answer.low() || record.getInt() != page) {
            throw new CorruptDataException("segment " + location.segment() + " is corrupt at position "
                    + position + ": record does not match");
        }
        return record.slice();
    }

    // ---- recovery

    /**
     * Restores the stored answers from the indexes and, for segments that were not sealed, from a scan of
     * their records; these are sealed now. Files that aren't segments of this front are left unchanged.
     *
     * @param notices receives a message for each file that can't be used
     */
    public SpoolEvent.Recovered recover(Consumer<String> notices) throws IOException {
        Set<String> names = new HashSet<>(disk.list());
        for (String name : names) {
            if (Format.isTemporary(name) || Format.indexNumber(name) >= 0
                    && !names.contains(Format.segmentFileName(Format.indexNumber(name)))) {
                discard(name, notices);
            }
        }
        return load(notices, true);
    }

    private void discard(String name, Consumer<String> notices) {
        try {
            disk.delete(name);
        } catch (IOException e) {
            notices.accept(name + " could not be deleted: " + e.getMessage());
        }
    }

    /** Like {@link #recover}, but changes no files. */
    SpoolEvent.Recovered inspect(Consumer<String> notices) throws IOException {
        return load(notices, false);
    }

    /** Names of the fronts that own segments on the disk. */
    static Set<String> frontNames(Disk disk, Consumer<String> notices) throws IOException {
        Set<String> fronts = new TreeSet<>();
        for (String name : disk.list()) {
            long number = Format.segmentNumber(name);
            if (number < 0) {
                continue;
            }
            try (Disk.InputFile file = disk.open(name)) {
                ByteBuffer header = ByteBuffer.allocate(Format.MAX_HEADER_BYTES);
                file.read(header, 0);
                String front = Format.readHeader(header.flip(), number);
                if (front == null) {
                    notices.accept("segment " + number + " has no valid header, it holds no answers");
                } else {
                    fronts.add(front);
                }
            } catch (IOException e) {
                notices.accept("segment " + number + ": " + e.getMessage());
            }
        }
        return fronts;
    }

    /** Whether reads of the answer use the copy in this segment. */
    boolean isCurrent(AnswerId answer, long segment) {
        Location location = locations.get(answer);
        return location != null && location.segment() == segment;
    }

    private SpoolEvent.Recovered load(Consumer<String> notices, boolean seal) throws IOException {
        Recovery recovery = new Recovery(disk, front, maxBodyBytes, budget, clock.getAsLong(), notices);
        SpoolEvent.Recovered recovered =
                recovery.run(locations, index -> seal && indexRecovered(index, notices));
        lastSequence = recovery.lastSequence();
        return recovered;
    }

    void closeFiles() throws IOException {
        for (OpenSegment segment : openSegments.values()) {
            segment.file.close();
        }
        readFiles.close();
    }

    @Override
    public void close() throws IOException {
        closeFiles();
        disk.close();
    }
}
