package reedspring.spool.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import reedspring.spool.AnswerId;
import reedspring.spool.SpoolEvent;

/**
 * Content of a spool directory, of all fronts that use it, for inspection by other processes. Reading it
 * changes no files; segments that a running front deletes meanwhile are left out.
 *
 * @param segments sizes of the segments by number
 * @param notices messages about files that could not be used completely
 * @param faults pages that could not be read
 */
public record Survey(Map<Long, Long> segments, List<Answer> answers, List<String> notices,
        List<String> faults,
                     long pagesRead) {
    /** A stored answer; {@code expiresAt} is Unix time in ticks (tenths of a millisecond). */
    public record Answer(AnswerId id, String tenant, int pages, long bytes, long expiresAt, long segment) {
    }

    /** @param pages whether to read and check every page */
    public static Survey of(Disk disk, boolean pages) throws IOException {
        List<String> notices = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        Map<Long, Long> segments = new TreeMap<>();
        List<Answer> answers = new ArrayList<>();
        long pagesRead = 0;
        Set<String> fronts = new HashSet<>(SegmentStore.frontNames(disk, notices::add));
        for (String front : fronts) {
            SegmentStore store = new SegmentStore(disk, front, Format.MAX_PAGE_BYTES);
            SpoolEvent.Recovered contents = store.inspect(notices::add);
            contents.segments().forEach(segment -> segments.put(segment.number(), segment.bytes()));
            for (SpoolEvent.RecoveredAnswer answer : contents.answers()) {
                if (!store.isCurrent(answer.answer(), answer.segment())) {
                    // An older copy, from before the answer was moved.
                    continue;
                }
                answers.add(new Answer(answer.answer(), answer.tenant(), answer.pages(), answer.bytes(),
                        answer.expiresAt(), answer.segment()));
                for (int page = 0; pages && page < answer.pages(); page++) {
                    try {
                        store.readPage(answer.answer(), page);
                        pagesRead++;
                    } catch (IOException e) {
                        if (disk.list().contains(Format.segmentFileName(answer.segment()))) {
                            faults.add("answer " + answer.answer() + " page " + page + ": " + e.getMessage());
                        }
                        break;
                    }
                }
            }
            store.closeFiles();
        }
        return new Survey(segments, answers, notices, faults, pagesRead);
    }

    /** Deletes the segments in which every answer has expired by this time and returns their numbers. */
    public List<Long> expire(Disk disk, long time) throws IOException {
        List<Long> deleted = new ArrayList<>();
        for (long segment : segments.keySet()) {
            if (answers.stream().noneMatch(a -> a.segment() == segment && a.expiresAt() > time)) {
                disk.delete(Format.indexFileName(segment));
                disk.delete(Format.segmentFileName(segment));
                deleted.add(segment);
            }
        }
        disk.syncDirectory();
        return deleted;
    }
}
