package reedspring.rig;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import reedspring.spool.AnswerId;
import reedspring.spool.store.FileDisk;
import reedspring.spool.store.SegmentStore;

/** Part of bench/spool: compares the store's appends with plain sequential writes on the same disk. */
final class Appends {
    private static final int PAGE_BYTES = 6_000;
    private static final int PAGES_PER_ANSWER = 40;
    private static final long SEGMENT_BYTES = 64 << 20;
    private static final int ANSWERS_PER_SYNC = 32;
    private static final double BYTES_PER_MB = 1 << 20;

    private Appends() {
    }

    static String figures(double[] gigabytes) throws IOException {
        StringBuilder line = new StringBuilder();
        for (double gb : gigabytes) {
            Path folder = Files.createTempDirectory("reedspring-appends");
            try {
                line.append(measureSize(folder, gb)).append(' ');
                System.err.println(line);
            } finally {
                try (Stream<Path> files = Files.walk(folder)) {
                    for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                        Files.delete(each);
                    }
                }
            }
        }
        return line.toString().trim();
    }

    private static String measureSize(Path folder, double gb) throws IOException {
        long bytes = (long) (gb * (1 << 30));
        byte[] page = new byte[PAGE_BYTES];
        new SplittableRandom(1).nextBytes(page);
        double plainSeconds = writePlainFile(folder.resolve("plain"), bytes, page);
        List<AnswerId> ids = new ArrayList<>();
        long startNanos = System.nanoTime();
        try (SegmentStore store = new SegmentStore(new FileDisk(folder, true), "n0", PAGE_BYTES)) {
            long segment = 0;
            long segmentBytes = SEGMENT_BYTES;
            List<Long> unsynced = new ArrayList<>();
            for (long written = 0; written < bytes; written += (long) PAGE_BYTES * PAGES_PER_ANSWER) {
                if (segmentBytes >= SEGMENT_BYTES) {
                    if (segment > 0) {
                        store.sync(segment);
                        store.seal(segment);
                        unsynced.clear();
                    }
                    store.createSegment(++segment);
                    segmentBytes = 0;
                }
                AnswerId id = new AnswerId(7, written);
                for (int k = 0; k < PAGES_PER_ANSWER; k++) {
                    store.appendPage(id, segment, k, ByteBuffer.wrap(page));
                }
                store.appendCommit(id, segment, "acme", true, PAGES_PER_ANSWER, Long.MAX_VALUE);
                ids.add(id);
                unsynced.add(segment);
                if (unsynced.size() == ANSWERS_PER_SYNC) {
                    store.sync(segment);
                    unsynced.clear();
                }
                segmentBytes += (long) PAGE_BYTES * PAGES_PER_ANSWER;
            }
            store.sync(segment);
            store.seal(segment);
        }
        double appendSeconds = (System.nanoTime() - startNanos) / 1e9;
        startNanos = System.nanoTime();
        try (SegmentStore store = new SegmentStore(new FileDisk(folder, true), "n0", PAGE_BYTES)) {
            int found = store.recover(remark -> { }).answers().size();
            Rig.require(found == ids.size(), found + " answers recovered of " + ids.size());
            double recoverySeconds = (System.nanoTime() - startNanos) / 1e9;
            SplittableRandom random = new SplittableRandom(2);
            startNanos = System.nanoTime();
            int reads = 20_000;
            for (int k = 0; k < reads; k++) {
                store.readPage(ids.get(random.nextInt(ids.size())), random.nextInt(PAGES_PER_ANSWER));
            }
            double readSeconds = (System.nanoTime() - startNanos) / 1e9;
            String sizeLabel = String.format("%.1fgb", gb).replace('.', '_');
            return measureEmbeddedStore(folder.resolve("embedded"), ids.size(), sizeLabel)
                    + " " + String.format(
                    "append_%s_mb_s=%.0f plain_%s_mb_s=%.0f read_%s_pages_s=%.0f recovery_%s_ms=%.1f",
                    sizeLabel, bytes / BYTES_PER_MB / appendSeconds, sizeLabel,
                    bytes / BYTES_PER_MB / plainSeconds, sizeLabel, reads / readSeconds, sizeLabel,
                    recoverySeconds * 1000);
        }
    }

    /**
     * Measures the index alone in an embedded store (MVStore), as an alternative for the design note. Entries
     * for the same answers, with the positions of their pages, are synced as often; then the store is
     * reopened and read in full, as at a start.
     */
    private static String measureEmbeddedStore(Path file, int answers, String sizeLabel) {
        byte[] entry = new byte[100 + 12 * PAGES_PER_ANSWER];
        new SplittableRandom(3).nextBytes(entry);
        long startNanos = System.nanoTime();
        try (MVStore store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open()) {
            MVMap<Long, byte[]> map = store.openMap("answers");
            for (long k = 0; k < answers; k++) {
                map.put(k, entry);
                if (k % ANSWERS_PER_SYNC == ANSWERS_PER_SYNC - 1) {
                    store.commit();
                    store.sync();
                }
            }
            store.commit();
            store.sync();
        }
        double putSeconds = (System.nanoTime() - startNanos) / 1e9;
        startNanos = System.nanoTime();
        try (MVStore store = new MVStore.Builder().fileName(file.toString()).open()) {
            MVMap<Long, byte[]> map = store.openMap("answers");
            long totalBytes = 0;
            for (Long key : map.keySet()) {
                totalBytes += map.get(key).length;
            }
            Rig.require(totalBytes == (long) answers * entry.length,
                    "entries are missing in the embedded store");
        }
        double openSeconds = (System.nanoTime() - startNanos) / 1e9;
        return String.format("mvstore_put_%s_s=%.2f mvstore_open_%s_ms=%.1f", sizeLabel, putSeconds,
                sizeLabel, openSeconds * 1000);
    }

    /** Seconds to write the same number of bytes to one file, synced as often. */
    private static double writePlainFile(Path file, long bytes, byte[] page) throws IOException {
        long startNanos = System.nanoTime();
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE)) {
            int pages = 0;
            for (long written = 0; written < bytes; written += PAGE_BYTES) {
                out.write(ByteBuffer.wrap(page));
                if (++pages % (PAGES_PER_ANSWER * ANSWERS_PER_SYNC) == 0) {
                    out.force(false);
                }
            }
            out.force(false);
        }
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        Files.delete(file);
        return seconds;
    }
}
