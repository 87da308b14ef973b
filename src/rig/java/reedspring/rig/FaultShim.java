package reedspring.rig;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/**
 * Makes system calls of one started process fail while it runs. The library in {@code src/rig/c} is built on
 * first use and preloaded into that process alone; a memory-mapped control file sets its faults.
 */
public final class FaultShim implements Closeable {
    /** The faults, in the order of the library's fields. A value of 0 disables a fault. */
    public enum Fault {
        /**
         * Every n-th accept fails with ENFILE, ENOBUFS, EMFILE, ECONNABORTED, EINTR, ENOMEM and others in
         * turn.
         */
        ACCEPT_EVERY,
        /** Every n-th socket call fails with EMFILE, ENFILE, ENOBUFS, ENOMEM in turn. */
        SOCKET_EVERY,
        /** Every n-th connect fails with EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN and others in turn. */
        CONNECT_EVERY,
        /** Every n-th read from a socket fails with EINTR. */
        READ_EVERY,
        /** Every n-th write to a socket fails with EINTR. */
        WRITE_EVERY,
        /** Maximum number of bytes that one call reads from or writes to a socket. */
        SHORT_BYTES,
        /** Offset added to the wall clock, in milliseconds. */
        CLOCK_STEP_MS,
        /** The errno of every write and sync of a file. */
        DISK_ERRNO,
        /** 1: a failing write writes half of its bytes first. */
        DISK_SHORT,
        /** Output of the library: the number of calls that it has failed. */
        FAILED_CALLS,
        /** The errno of opening a file for reading. */
        OPEN_ERRNO,
        /** Number of opens of the configuration that fail with EIO, ENOENT, EMFILE in turn; counts down. */
        CONFIG_OPENS,
        /** Number of epoll_create1 calls that fail with EMFILE, ENOMEM in turn; counts down. */
        EPOLL_CREATES,
        /** Number of eventfd calls that fail with EMFILE; counts down. */
        EVENTFDS,
        /** The n-th epoll registration from now on fails with ENOMEM; counts down. */
        EPOLL_ADD_AT,
        /** Every pthread_create from the n-th of the process on fails with EAGAIN. */
        THREADS_FROM
    }

    public static final int EIO = 5;
    public static final int ENOSPC = 28;
    private static final Path SOURCE = Path.of("src/rig/c/faultshim.c");
    private static final Path LIBRARY = Path.of("target/faultshim.so");

    private final Path controlFile;
    private final MappedByteBuffer fields;

    public FaultShim() throws IOException, InterruptedException {
        build();
        controlFile = Files.createTempFile("faultshim", ".control");
        int size = Fault.values().length * Long.BYTES;
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            fields = channel.map(FileChannel.MapMode.READ_WRITE, 0, size);
        }
        fields.order(ByteOrder.nativeOrder());
    }

    private static synchronized void build() throws IOException, InterruptedException {
        if (Files.exists(LIBRARY) && Files.getLastModifiedTime(LIBRARY).compareTo(
                Files.getLastModifiedTime(SOURCE)) >= 0) {
            return;
        }
        Path built = LIBRARY.resolveSibling("faultshim." + ProcessHandle.current().pid() + ".so");
        Process compiler = new ProcessBuilder(List.of("gcc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC",
                "-o", built.toString(), SOURCE.toString(), "-ldl")).inheritIO().start();
        Rig.require(compiler.waitFor() == 0, "compiling the fault shim failed");
        Files.move(built, LIBRARY, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    public synchronized void set(Fault fault, long value) {
        fields.putLong(fault.ordinal() * Long.BYTES, value);
    }

    public synchronized long get(Fault fault) {
        return fields.getLong(fault.ordinal() * Long.BYTES);
    }

    /** Disables all faults; the count of failed calls stays. */
    public void clearFaults() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.FAILED_CALLS) {
                set(fault, 0);
            }
        }
    }

    /** Makes the process that {@code builder} starts load the library. */
    void loadInto(ProcessBuilder builder) {
        builder.environment().put("LD_PRELOAD", LIBRARY.toAbsolutePath().toString());
        builder.environment().put("FAULT_SHIM", controlFile.toString());
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(controlFile);
    }
}
