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
 * A folder in memory that loses at a crash what a disk may lose: what was not synced, in whole or in part,
 * and names that were not synced, made, changed or gone. Faults come by plan: at a given step, or by chance.
 */
public final class MemoryDisk implements Disk {
    /** The process is gone: nothing that it does from here on happens. */
    public static final class Crash extends Error {
        private static final long serialVersionUID = 1L;
    }

    private static final class Content {
        private byte[] bytes = new byte[0];
        private int size;
        /** Up to here it is on the disk for sure. */
        private int synced;
        /** After a failed sync what came since is in the cache only, and never gets further. */
        private boolean lost;
    }

    private final SplittableRandom chance;
    /** What the process sees, and what the disk has of the names. */
    private Map<String, Content> names = new TreeMap<>();
    private Map<String, Content> lasting = new TreeMap<>();
    private long steps;
    private long crashAt = Long.MAX_VALUE;
    private double faults;
    private long room = Long.MAX_VALUE;
    private boolean crashed;

    public MemoryDisk(long seed) {
        chance = new SplittableRandom(seed);
    }

    /** The step, counted from now, at which the process dies. */
    public void crashAfter(long count) {
        crashAt = steps + count;
    }

    /** The part of writes and syncs that fail from now on. */
    public void faults(double part) {
        faults = part;
    }

    public void room(long bytes) {
        room = bytes;
    }

    public long steps() {
        return steps;
    }

    public long used() {
        return names.values().stream().mapToLong(content -> content.size).sum();
    }

    /** What a machine finds that starts again. */
    public void restart() {
        Map<String, Content> left = new TreeMap<>();
        for (String name : union()) {
            Content seen = names.get(name);
            Content last = lasting.get(name);
            // Of a name that changed since the names were synced the disk has the old or the new.
            Content kept = seen == last || chance.nextBoolean() ? seen : last;
            if (kept != null) {
                left.put(name, survivor(kept));
            }
        }
        names = left;
        lasting = new TreeMap<>(left);
        crashed = false;
        crashAt = Long.MAX_VALUE;
        faults = 0;
    }

    private List<String> union() {
        TreeMap<String, Content> all = new TreeMap<>(lasting);
        all.putAll(names);
        return List.copyOf(all.keySet());
    }

    private Content survivor(Content from) {
        Content left = new Content();
        int unsynced = from.lost ? 0 : from.size - from.synced;
        left.size = from.synced + (unsynced == 0 ? 0 : chance.nextInt(unsynced + 1));
        left.bytes = Arrays.copyOf(from.bytes, left.size);
        if (left.size > from.synced && chance.nextInt(3) == 0) {
            // A block that was not written before the length was.
            int at = from.synced + chance.nextInt(left.size - from.synced);
            Arrays.fill(left.bytes, at, Math.min(left.size, at + 512), (byte) 0);
        }
        left.synced = left.size;
        return left;
    }

    /** Turns one bit somewhere in the files of that ending; false if there is none. */
    public boolean flip(String ending) {
        List<Content> some = names.entrySet().stream()
                .filter(e -> e.getKey().endsWith(ending)
                        && e.getValue().size > 64).map(Map.Entry::getValue).toList();
        if (some.isEmpty()) {
            return false;
        }
        Content one = some.get(chance.nextInt(some.size()));
        one.bytes[64 + chance.nextInt(one.size - 64)] ^= (byte) (1 << chance.nextInt(8));
        return true;
    }

    private void step() {
        if (crashed || steps++ >= crashAt) {
            crashed = true;
            throw new Crash();
        }
    }

    private void mayFail(String what) throws IOException {
        if (faults > 0 && chance.nextDouble() < faults) {
            throw new IOException(what + " failed");
        }
    }

    private Content content(String name) throws IOException {
        Content content = names.get(name);
        if (content == null) {
            throw new FileNotFoundException(name);
        }
        return content;
    }

    @Override
    public List<String> list() {
        step();
        return List.copyOf(names.keySet());
    }

    @Override
    public OutputFile create(String name) throws IOException {
        step();
        mayFail("creating");
        if (names.containsKey(name)) {
            throw new IOException(name + " exists");
        }
        Content made = new Content();
        names.put(name, made);
        return new OutputFile() {
            @Override
            public void write(ByteBuffer from) throws IOException {
                int length = from.remaining();
                try {
                    step();
                    mayFail("writing");
                    if (used() + length > room) {
                        throw new IOException("no space left");
                    }
                } catch (IOException | Crash e) {
                    // A short write: some of it is there.
                    byte[] some = new byte[chance.nextInt(length + 1)];
                    from.get(some);
                    append(some);
                    throw e;
                }
                byte[] all = new byte[length];
                from.get(all);
                append(all);
            }

            private void append(byte[] more) {
                if (made.size + more.length > made.bytes.length) {
                    made.bytes = Arrays.copyOf(made.bytes, Math.max(4096, 2 * (made.size + more.length)));
                }
                System.arraycopy(more, 0, made.bytes, made.size, more.length);
                made.size += more.length;
            }

            @Override
            public void sync() throws IOException {
                step();
                try {
                    mayFail("sync");
                } catch (IOException e) {
                    made.lost = true;
                    throw e;
                }
                if (!made.lost) {
                    made.synced = made.size;
                }
            }

            @Override
            public void close() {
                // nothing is lost or gained by it
            }
        };
    }

    @Override
    public InputFile open(String name) throws IOException {
        Content content = content(name);
        return new InputFile() {
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
                // nothing to give back
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        step();
        mayFail("renaming");
        names.put(to, content(from));
        names.remove(from);
    }

    @Override
    public void delete(String name) throws IOException {
        step();
        mayFail("deleting");
        names.remove(name);
    }

    @Override
    public void syncDirectory() throws IOException {
        step();
        mayFail("sync of names");
        lasting = new HashMap<>(names);
    }

    @Override
    public void close() {
        // the next process opens it again
    }
}
