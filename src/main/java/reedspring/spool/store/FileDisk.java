package reedspring.spool.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A directory of the file system, locked by at most one process at a time. */
public final class FileDisk implements Disk {
    private static final String LOCK_FILE = "lock";

    private final Path folder;
    private final FileChannel lockFile;

    /** @param exclusive whether to lock the directory; without the lock it may be in use by a front */
    public FileDisk(Path folder, boolean exclusive) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is not a directory");
        }
        this.folder = folder;
        this.lockFile = exclusive ? acquireLock(folder) : null;
    }

    private static FileChannel acquireLock(Path folder) throws IOException {
        FileChannel channel = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // this process holds the lock already
        }
        if (lock == null) {
            channel.close();
            throw new IOException(folder + " is held by another front");
        }
        return channel;
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).filter(name ->
                    !name.equals(LOCK_FILE)).sorted()
                    .toList();
        }
    }

    @Override
    public OutputFile create(String name) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE_NEW,
                StandardOpenOption.WRITE);
        return new OutputFile() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                while (bytes.hasRemaining()) {
                    if (file.write(bytes) <= 0) {
                        throw new IOException("write made no progress");
                    }
                }
            }

            @Override
            public void sync() throws IOException {
                file.force(false);
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public InputFile open(String name) throws IOException {
        FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.READ);
        return new InputFile() {
            @Override
            public long size() throws IOException {
                return file.size();
            }

            @Override
            public void read(ByteBuffer buffer, long position) throws IOException {
                long next = position;
                for (int count = 0; buffer.hasRemaining() && count >= 0; next += Math.max(0, count)) {
                    count = file.read(buffer, next);
                }
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void rename(String source, String target) throws IOException {
        Files.move(folder.resolve(source), folder.resolve(target), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public void close() throws IOException {
        if (lockFile != null) {
            lockFile.close();
        }
    }
}
