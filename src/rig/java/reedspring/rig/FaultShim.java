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
 * Makes system calls of one started program fail while it runs: the library of {@code src/rig/c}, which is
 * built on first use and loaded into that program alone, and the file through which it is told what to do.
 */
public final class FaultShim implements Closeable {
    /** The faults, in the order of the library's fields. A value of 0 switches one off. */
    public enum Fault {
        /**
         * Every n-th accept fails: ENFILE, ENOBUFS, EMFILE, ECONNABORTED, EINTR, ENOMEM and others in
         * turn.
         */
        ACCEPT_EVERY,
        /** Every n-th socket fails: EMFILE, ENFILE, ENOBUFS, ENOMEM in turn. */
        SOCKET_EVERY,
        /** Every n-th connect fails: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN and others in turn. */
        CONNECT_EVERY,
        /** Every n-th read from a socket fails with EINTR. */
        READ_EVERY,
        /** Every n-th write to a socket fails with EINTR. */
        WRITE_EVERY,
        /** The most bytes that a call on a socket takes or gives. */
        SHORT_BYTES,
        /** Milliseconds by which the wall clock is off. */
        CLOCK_STEP_MS,
        /** The error of each write and sync of a file. */
        DISK_ERRNO,
        /** 1: half of the bytes of a failing write are written. */
        DISK_SHORT,
        /** Counted by the library: how many calls it has failed. */
        FAILED_CALLS,
        /** The error of opening a file for reading. */
        OPEN_ERRNO,
        /** So many opens of the configuration fail: EIO, ENOENT, EMFILE in turn. Counted down. */
        CONFIG_OPENS,
        /** So many epoll_create1 fail: EMFILE, ENOMEM in turn. Counted down. */
        EPOLL_CREATES,
        /** So many eventfd fail with EMFILE. Counted down. */
        EVENTFDS,
        /** The n-th registration with a selector from now on fails with ENOMEM. Counted down. */
        EPOLL_ADD_AT,
        /** Each pthread_create of the process from its n-th on fails with EAGAIN. */
        THREADS_FROM
    }

    public static final int EIO = 5;
    public static final int ENOSPC = 28;
    private static final Path SOURCE = Path.of("src/rig/c/faultshim.c");
    private static final Path LIBRARY = Path.of("target/faultshim.so");

    private final Path file;
    private final MappedByteBuffer fields;

    public FaultShim() throws IOException, InterruptedException {
        build();
        file = Files.createTempFile("faultshim", ".control");
        int size = Fault.values().length * Long.BYTES;
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ,
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
        Path made = LIBRARY.resolveSibling("faultshim." + ProcessHandle.current().pid() + ".so");
        Process compiler = new ProcessBuilder(List.of("gcc", "-O2", "-Wall", "-Werror", "-shared", "-fPIC",
                "-o", made.toString(), SOURCE.toString(), "-ldl")).inheritIO().start();
        Rig.require(compiler.waitFor() == 0, "the fault shim can't be built");
        Files.move(made, LIBRARY, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    public synchronized void set(Fault fault, long value) {
        fields.putLong(fault.ordinal() * Long.BYTES, value);
    }

    public synchronized long get(Fault fault) {
        return fields.getLong(fault.ordinal() * Long.BYTES);
    }

    /** Switches all faults off. */
    public void calm() {
        for (Fault fault : Fault.values()) {
            if (fault != Fault.FAILED_CALLS) {
                set(fault, 0);
            }
        }
    }

    /** Makes the program that the builder starts load the library. */
    void loadInto(ProcessBuilder builder) {
        builder.environment().put("LD_PRELOAD", LIBRARY.toAbsolutePath().toString());
        builder.environment().put("FAULT_SHIM", file.toString());
    }

    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file);
    }
}
