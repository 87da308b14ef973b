package reedspring.rig;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import reedspring.spool.store.Disk;

/**
 * An in-memory directory that loses in a crash what a disk may lose: data that was not synced, in whole or in
 * part, and creations, renames and deletions of files that were not synced. A crash is scheduled at a given
 * step (an operation on the disk); I/O errors are drawn from a seeded random generator.
 */
public final class MemoryDisk implements Disk {
    /** Simulates the death of the process: no later operation takes effect. */
    public static final class Crash extends Error {
        private static final long serialVersionUID = 1L;
    }

    private static final class Content {
        private byte[] bytes = new byte[0];
        private int size;
        /** Number of bytes that are certain to survive a crash. */
        private int synced;
        /**
         * Set by a failed sync: unsynced bytes stay in the page cache only, and later syncs do not write them
         * either.
         */
        private boolean syncFailed;
    }

    private final SplittableRandom random;
    /** The directory as the process sees it. */
    private Map<String, Content> files = new TreeMap<>();
    /** The directory as of the last sync of names. */
    private Map<String, Content> durableFiles = new TreeMap<>();
    private long steps;
    private long crashAt = Long.MAX_VALUE;
    private double faultRatio;
    private long capacityBytes = Long.MAX_VALUE;
    private boolean crashed;
    private int openInputFiles;
    private int mostOpenInputFiles;

    public MemoryDisk(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Number of files that are open for reads. */
    public int openInputFiles() {
        return openInputFiles;
    }

    /** Maximum number of files that were open for reads at the same time. */
    public int mostOpenInputFiles() {
        return mostOpenInputFiles;
    }

    /** Schedules a crash {@code count} steps from now. */
    public void crashAfterSteps(long count) {
        crashAt = steps + count;
    }

    /** Sets the ratio of operations that fail with an I/O error from now on. */
    public void faultRatio(double ratio) {
        faultRatio = ratio;
    }

    /** Sets the capacity of the disk; a write beyond it fails. */
    public void capacityBytes(long bytes) {
        capacityBytes = bytes;
    }

    public long steps() {
        return steps;
    }

    public long used() {
        return files.values().stream().mapToLong(content -> content.size).sum();
    }

    /** Replaces the directory by what survives a crash, and clears all faults. */
    public void restart() {
        openInputFiles = 0;
        Map<String, Content> surviving = new TreeMap<>();
        for (String name : allNames()) {
            Content current = files.get(name);
            Content durable = durableFiles.get(name);
            // For a name changed since the last sync of names the disk may have the old or the new entry.
            Content kept = current == durable || random.nextBoolean() ? current : durable;
            if (kept != null) {
                surviving.put(name, survivingContent(kept));
            }
        }
        files = surviving;
        durableFiles = new TreeMap<>(surviving);
        crashed = false;
        crashAt = Long.MAX_VALUE;
        faultRatio = 0;
    }

    private List<String> allNames() {
        TreeMap<String, Content> all = new TreeMap<>(durableFiles);
        all.putAll(files);
        return List.copyOf(all.keySet());
    }

    private Content survivingContent(Content before) {
        Content survivor = new Content();
        int unsynced = before.syncFailed ? 0 : before.size - before.synced;
        survivor.size = before.synced + (unsynced == 0 ? 0 : random.nextInt(unsynced + 1));
        survivor.bytes = Arrays.copyOf(before.bytes, survivor.size);
        if (survivor.size > before.synced && random.nextInt(3) == 0) {
            // A block that was not written although the new file length was.
            int blockStart = before.synced + random.nextInt(survivor.size - before.synced);
            Arrays.fill(survivor.bytes, blockStart, Math.min(survivor.size, blockStart + 512), (byte) 0);
        }
        survivor.synced = survivor.size;
        return survivor;
    }

    /**
     * Flips one random bit, after the first 64 bytes, in a file whose name ends in {@code ending}; false if
     * there is no such file.
     */
    public boolean flipBit(String ending) {
        List<Content> candidates = files.entrySet().stream()
                .filter(e -> e.getKey().endsWith(ending)
                        && e.getValue().size > 64).map(Map.Entry::getValue).toList();
        if (candidates.isEmpty()) {
            return false;
        }
        Content chosen = candidates.get(random.nextInt(candidates.size()));
        chosen.bytes[64 + random.nextInt(chosen.size - 64)] ^= (byte) (1 << random.nextInt(8));
        return true;
    }

    private void step() {
        if (crashed || steps++ >= crashAt) {
            crashed = true;
            throw new Crash();
        }
    }

    private void failRandomly(String operation) throws IOException {
        if (faultRatio > 0 && random.nextDouble() < faultRatio) {
            throw new IOException(operation + " failed");
        }
    }

    private Content content(String name) throws IOException {
        Content content = files.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    @Override
    public List<String> list() {
        step();
        return List.copyOf(files.keySet());
    }

    @Override
    public OutputFile create(String name) throws IOException {
        step();
        failRandomly("creating");
        if (files.containsKey(name)) {
            throw new IOException(name + " exists already");
        }
        Content created = new Content();
        files.put(name, created);
        return new OutputFile() {
            @Override
            public void write(ByteBuffer from) throws IOException {
                int length = from.remaining();
                try {
                    step();
                    failRandomly("writing");
                    if (used() + length > capacityBytes) {
                        throw new IOException("no space left on the disk");
                    }
                } catch (IOException | Crash e) {
                    // A short write: a part of the data is written.
                    byte[] some = new byte[random.nextInt(length + 1)];
                    from.get(some);
                    append(some);
                    throw e;
                }
                byte[] all = new byte[length];
                from.get(all);
                append(all);
            }

            private void append(byte[] more) {
                if (created.size + more.length > created.bytes.length) {
                    created.bytes = Arrays.copyOf(created.bytes,
                            Math.max(4096, 2 * (created.size + more.length)));
                }
                System.arraycopy(more, 0, created.bytes, created.size, more.length);
                created.size += more.length;
            }

            @Override
            public void sync() throws IOException {
                step();
                try {
                    failRandomly("sync");
                } catch (IOException e) {
                    created.syncFailed = true;
                    throw e;
                }
                if (!created.syncFailed) {
                    created.synced = created.size;
                }
            }

            @Override
            public void close() {
                // closing has no effect on the content
            }
        };
    }

    @Override
    public InputFile open(String name) throws IOException {
        Content content = content(name);
        openInputFiles++;
        mostOpenInputFiles = Math.max(mostOpenInputFiles, openInputFiles);
        return new InputFile() {
            private boolean closed;

            @Override
            public long size() {
                return content.size;
            }

            @Override
            public void read(ByteBuffer into, long at) {
                int length = (int) Math.max(0, Math.min(into.remaining(), content.size - at));
                into.put(content.bytes, (int) at, length);
            }

            @Override
            public void close() {
                openInputFiles -= closed ? 0 : 1;
                closed = true;
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        failRandomly("renaming");
        files.put(to, content(from));
        files.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        step();
        failRandomly("deleting");
        files.remove(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        step();
        failRandomly("sync of names");
        durableFiles = new HashMap<>(files);
    }

    @Override
    public void close() {
        // the content stays for the next process
    }
}
