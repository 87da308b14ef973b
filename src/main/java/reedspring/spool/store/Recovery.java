package reedspring.spool.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import reedspring.spool.AnswerId;
import reedspring.spool.SpoolBudget;
import reedspring.spool.SpoolEvent;
import reedspring.spool.SpoolLimits;

/**
 * Reads what a spool folder holds: from the index of each segment or, without one, from a scan of its
 * records. Holds the index of one segment at a time, and of all segments only the drop records and the
 * answers that are still kept, so that recovery needs about as much memory as the run after it. The newest
 * segments are read first: if the budget has no room for everything, the oldest answers are left out.
 */
final class Recovery {
    private final Disk disk;
    private final String front;
    private final int maxBodyBytes;
    private final SpoolBudget budget;
    private final long now;
    private final Consumer<String> notices;
    /** Sequence number of the last drop of each answer. */
    private final Map<AnswerId, Long> dropSequences = new HashMap<>();
    private final Map<String, String> tenants = new HashMap<>();
    /** Content of the segments that were scanned and got no index. */
    private final Map<Long, Format.Index> scannedIndexes = new HashMap<>();
    private final List<SpoolEvent.RecoveredSegment> segments = new ArrayList<>();
    private final List<SpoolEvent.RecoveredAnswer> answers = new ArrayList<>();
    private Set<String> names;
    private long indexBytes;
    private long lastSequence;
    private int expiredAnswers;
    private int answersWithoutRoom;
    private int dropsWithoutRoom;

    /** @param now Unix time in ticks; answers that have expired by then are left out */
    Recovery(Disk disk, String front, int maxBodyBytes, SpoolBudget budget, long now,
             Consumer<String> notices) {
        this.disk = disk;
        this.front = front;
        this.maxBodyBytes = maxBodyBytes;
        this.budget = budget;
        this.now = now;
        this.notices = notices;
    }

    /** Highest sequence number of a commit or drop. */
    long lastSequence() {
        return lastSequence;
    }

    /**
     * Reads the folder.
     *
     * @param locations receives the location of each answer
     * @param indexWriter receives the content of each segment that had no index, and returns whether it has
     *     one now
     */
    SpoolEvent.Recovered run(Map<AnswerId, SegmentStore.Location> locations,
                             Predicate<Format.Index> indexWriter) throws IOException {
        names = new HashSet<>(disk.list());
        List<Long> numbers = new ArrayList<>(names.stream().map(Format::segmentNumber)
                .filter(number -> number >= 0).toList());
        numbers.sort(Collections.reverseOrder());
        Set<Long> usable = new HashSet<>();
        for (long number : numbers) {
            if (readDrops(number, indexWriter)) {
                usable.add(number);
            }
        }
        Collections.reverse(segments);
        for (long number : numbers) {
            if (usable.contains(number)) {
                readAnswers(number, locations);
            }
        }
        if (answersWithoutRoom > 0 || dropsWithoutRoom > 0) {
            notices.accept(answersWithoutRoom + " answers and " + dropsWithoutRoom
                    + " drop records are left out, the memory limit has no room for their index entries");
        }
        answers.sort(Comparator.comparingLong(SpoolEvent.RecoveredAnswer::sequence));
        return new SpoolEvent.Recovered(segments, answers, numbers.isEmpty() ? 0 : numbers.get(0),
                expiredAnswers);
    }

    /** Reads the drop records of a segment; returns false if it can't be used. */
    private boolean readDrops(long number, Predicate<Format.Index> indexWriter) throws IOException {
        Format.Index index = readIndex(number);
        if (index == null) {
            SegmentScan scan = new SegmentScan(disk, front, maxBodyBytes, number);
            if (!scan.run()) {
                notices.accept(scan.failure());
                if (scan.isOwnedByFront()) {
                    addSegment(number, scan.fileBytes(), 0);
                }
                return false;
            }
            index = scan.index();
            if (scan.skippedBytes() > 0) {
                notices.accept("segment " + number + ": " + scan.skippedBytes() + " bytes can't be read");
            }
            if (indexWriter.test(index)) {
                names.add(Format.indexFileName(number));
            } else {
                scannedIndexes.put(number, index);
            }
        }
        addSegment(number, index.segmentBytes() + Format.indexBytes(index, front), index.drops().size());
        for (Format.Drop drop : index.drops()) {
            if (dropSequences.size() < budget.maxDropRecords()) {
                dropSequences.merge(drop.id(), drop.sequence(), Math::max);
            } else {
                dropsWithoutRoom++;
            }
            lastSequence = Math.max(lastSequence, drop.sequence());
        }
        for (Format.IndexEntry entry : index.entries()) {
            lastSequence = Math.max(lastSequence, entry.commit().sequence());
        }
        return true;
    }

    private void addSegment(long number, long bytes, int dropRecords) {
        segments.add(new SpoolEvent.RecoveredSegment(number, bytes, dropRecords));
    }

    private void readAnswers(long number, Map<AnswerId, SegmentStore.Location> locations)
            throws IOException {
        Format.Index index = scannedIndexes.remove(number);
        try {
            index = index == null ? readIndex(number) : index;
        } catch (NoSuchFileException e) {
            // Deleted by the running front, while another process looks at its folder.
        }
        if (index == null) {
            return;
        }
        for (Format.IndexEntry entry : index.entries()) {
            Format.Commit commit = entry.commit();
            if (commit.sequence() <= dropSequences.getOrDefault(commit.id(), 0L)) {
                continue;
            }
            if (now >= commit.expiresAt()) {
                expiredAnswers++;
                continue;
            }
            long entryBytes = SpoolBudget.answerIndexBytes(commit.pageCount());
            if (indexBytes + entryBytes > budget.indexBytes()) {
                answersWithoutRoom++;
                continue;
            }
            indexBytes += entryBytes;
            addAnswer(number, entry, locations);
        }
    }

    private void addAnswer(long number, Format.IndexEntry entry,
                           Map<AnswerId, SegmentStore.Location> locations) {
        Format.Commit commit = entry.commit();
        String tenant = tenants.computeIfAbsent(commit.tenant(), name -> name);
        Format.IndexEntry shared = new Format.IndexEntry(new Format.Commit(commit.id(), commit.sequence(),
                commit.pageCount(), commit.expiresAt(), commit.repeatable(), tenant), entry.positions(),
                entry.bodyBytes());
        SegmentStore.Location other = locations.get(commit.id());
        if (other == null || other.entry().commit().sequence() < commit.sequence()) {
            locations.put(commit.id(), new SegmentStore.Location(number, shared));
        }
        answers.add(new SpoolEvent.RecoveredAnswer(commit.id(), tenant, commit.repeatable(),
                commit.pageCount(), entry.bytes() + SpoolLimits.ANSWER_OVERHEAD_BYTES, commit.expiresAt(),
                number, commit.sequence(), true));
    }

    /** Returns the valid index of a segment, or null. */
    private Format.Index readIndex(long number) throws IOException {
        String name = Format.indexFileName(number);
        if (!names.contains(name)) {
            return null;
        }
        try (Disk.InputFile file = disk.open(name)) {
            ByteBuffer content = ByteBuffer.allocate((int) Math.min(Integer.MAX_VALUE - 8, file.size()));
            file.read(content, 0);
            return Format.readIndex(content.flip(), number, front);
        }
    }
}
