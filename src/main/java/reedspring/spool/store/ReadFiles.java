package reedspring.spool.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The segment files that are open for reads. A file stays open after a read, up to a maximum number of files;
 * above it the one that has been unused for longest is closed. Each thread that reads at the moment may hold
 * one more. Thread-safe.
 */
final class ReadFiles implements Closeable {
    private static final float LOAD_FACTOR = 0.75f;

    private final Disk disk;
    private final int maxIdle;
    /** Files that no thread reads, in the order of their last use. */
    private final LinkedHashMap<Long, Disk.InputFile> idle =
            new LinkedHashMap<>(16, LOAD_FACTOR, true);
    /** Number of threads that read a file, by segment. */
    private final Map<Long, Integer> readers = new HashMap<>();
    private final Map<Long, Disk.InputFile> inUse = new HashMap<>();

    ReadFiles(Disk disk, int maxIdle) {
        this.disk = disk;
        this.maxIdle = maxIdle;
    }

    /** Reads from a position of the segment's file until the buffer is full or the file ends. */
    void read(long segment, ByteBuffer buffer, long position) throws IOException {
        Disk.InputFile file = acquire(segment);
        try {
            file.read(buffer, position);
        } finally {
            release(segment);
        }
    }

    private synchronized Disk.InputFile acquire(long segment) throws IOException {
        Disk.InputFile file = inUse.get(segment);
        if (file == null) {
            file = idle.remove(segment);
        }
        if (file == null) {
            file = disk.open(Format.segmentFileName(segment));
        }
        inUse.put(segment, file);
        readers.merge(segment, 1, Integer::sum);
        return file;
    }

    private synchronized void release(long segment) throws IOException {
        if (readers.merge(segment, -1, Integer::sum) > 0) {
            return;
        }
        readers.remove(segment);
        Disk.InputFile file = inUse.remove(segment);
        if (file != null) {
            idle.put(segment, file);
            closeLeastRecentlyUsed();
        }
    }

    private void closeLeastRecentlyUsed() throws IOException {
        Iterator<Disk.InputFile> oldestFirst = idle.values().iterator();
        while (idle.size() > maxIdle) {
            Disk.InputFile oldest = oldestFirst.next();
            oldestFirst.remove();
            oldest.close();
        }
    }

    /** Number of files that are open. */
    synchronized int openFiles() {
        return idle.size() + inUse.size();
    }

    /** Closes the file of a segment that is deleted; a read that is in progress fails. */
    synchronized void close(long segment) throws IOException {
        Disk.InputFile file = inUse.containsKey(segment) ? inUse.get(segment) : idle.remove(segment);
        if (inUse.containsKey(segment)) {
            inUse.put(segment, null);
        }
        if (file != null) {
            file.close();
        }
    }

    @Override
    public synchronized void close() throws IOException {
        for (Disk.InputFile file : idle.values()) {
            file.close();
        }
        idle.clear();
    }
}
