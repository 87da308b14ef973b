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

/** What the store's files cost beside plain sequential writes on the same disk, part of bench/spool. */
final class Appends {
    private static final int PAGE = 6_000;
    private static final int PAGES = 40;
    private static final long SEGMENT = 64 << 20;
    private static final int GROUP = 32;
    private static final double MB = 1 << 20;

    private Appends() {
    }

    static String figures(double[] gigabytes) throws IOException {
        StringBuilder line = new StringBuilder();
        for (double gb : gigabytes) {
            Path folder = Files.createTempDirectory("reedspring-appends");
            try {
                line.append(one(folder, gb)).append(' ');
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

    private static String one(Path folder, double gb) throws IOException {
        long bytes = (long) (gb * (1 << 30));
        byte[] page = new byte[PAGE];
        new SplittableRandom(1).nextBytes(page);
        double plain = plain(folder.resolve("plain"), bytes, page);
        List<AnswerId> ids = new ArrayList<>();
        long since = System.nanoTime();
        try (SegmentStore store = new SegmentStore(new FileDisk(folder, true), "n0", PAGE)) {
            long segment = 0;
            long in = SEGMENT;
            List<Long> unsynced = new ArrayList<>();
            for (long written = 0; written < bytes; written += (long) PAGE * PAGES) {
                if (in >= SEGMENT) {
                    if (segment > 0) {
                        store.sync(segment);
                        store.seal(segment);
                        unsynced.clear();
                    }
                    store.createSegment(++segment);
                    in = 0;
                }
                AnswerId id = new AnswerId(7, written);
                for (int k = 0; k < PAGES; k++) {
                    store.appendPage(id, segment, k, ByteBuffer.wrap(page));
                }
                store.appendCommit(id, segment, "acme", true, PAGES, Long.MAX_VALUE);
                ids.add(id);
                unsynced.add(segment);
                if (unsynced.size() == GROUP) {
                    store.sync(segment);
                    unsynced.clear();
                }
                in += (long) PAGE * PAGES;
            }
            store.sync(segment);
            store.seal(segment);
        }
        double append = (System.nanoTime() - since) / 1e9;
        since = System.nanoTime();
        try (SegmentStore store = new SegmentStore(new FileDisk(folder, true), "n0", PAGE)) {
            int found = store.recover(remark -> { }).answers().size();
            Rig.require(found == ids.size(), found + " found of " + ids.size());
            double recovery = (System.nanoTime() - since) / 1e9;
            SplittableRandom chance = new SplittableRandom(2);
            since = System.nanoTime();
            int reads = 20_000;
            for (int k = 0; k < reads; k++) {
                store.readPage(ids.get(chance.nextInt(ids.size())), chance.nextInt(PAGES));
            }
            double read = (System.nanoTime() - since) / 1e9;
            String at = String.format("%.1fgb", gb).replace('.', '_');
            return embedded(folder.resolve("embedded"), ids.size(), at) + " " + String.format(
                    "append_%s_mb_s=%.0f plain_%s_mb_s=%.0f read_%s_pages_s=%.0f recovery_%s_ms=%.1f",
                    at, bytes / MB / append, at, bytes / MB / plain, at, reads / read, at, recovery * 1000);
        }
    }

    /**
     * The index alone in an embedded store, for the design note: the same answers with the places of their
     * pages, made last as often; then opened again, and read as after a start.
     */
    private static String embedded(Path file, int answers, String at) {
        byte[] entry = new byte[100 + 12 * PAGES];
        new SplittableRandom(3).nextBytes(entry);
        long since = System.nanoTime();
        try (MVStore store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().open()) {
            MVMap<Long, byte[]> map = store.openMap("answers");
            for (long k = 0; k < answers; k++) {
                map.put(k, entry);
                if (k % GROUP == GROUP - 1) {
                    store.commit();
                    store.sync();
                }
            }
            store.commit();
            store.sync();
        }
        double put = (System.nanoTime() - since) / 1e9;
        since = System.nanoTime();
        try (MVStore store = new MVStore.Builder().fileName(file.toString()).open()) {
            MVMap<Long, byte[]> map = store.openMap("answers");
            long all = 0;
            for (Long key : map.keySet()) {
                all += map.get(key).length;
            }
            Rig.require(all == (long) answers * entry.length, "entries are missing");
        }
        double opened = (System.nanoTime() - since) / 1e9;
        return String.format("mvstore_put_%s_s=%.2f mvstore_open_%s_ms=%.1f", at, put, at, opened * 1000);
    }

    /** Seconds for the same bytes in one file, synced as often. */
    private static double plain(Path file, long bytes, byte[] page) throws IOException {
        long since = System.nanoTime();
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE)) {
            int pages = 0;
            for (long written = 0; written < bytes; written += PAGE) {
                out.write(ByteBuffer.wrap(page));
                if (++pages % (PAGES * GROUP) == 0) {
                    out.force(false);
                }
            }
            out.force(false);
        }
        double took = (System.nanoTime() - since) / 1e9;
        Files.delete(file);
        return took;
    }
}
