package reedspring.spool.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file operations that the store needs, within one directory. Written data survives a crash only if the
 * file was synced; a created, renamed or deleted name only if the directory was synced.
 */
public interface Disk extends Closeable {
    /** Names of the files in the directory. */
    List<String> list() throws IOException;

    /** Creates a file; fails if one of that name exists. */
    OutputFile create(String name) throws IOException;

    InputFile open(String name) throws IOException;

    /** Renames atomically, replacing an existing file of the target name. */
    void rename(String source, String target) throws IOException;

    void delete(String name) throws IOException;

    /** Makes created, renamed and deleted names durable. */
    void syncDirectory() throws IOException;

    /** A file that is only appended to. */
    interface OutputFile extends Closeable {
        /** Appends the remaining bytes; after an exception, an unknown part of them was written. */
        void write(ByteBuffer bytes) throws IOException;

        /**
         * Makes all appended bytes durable. After an exception it is unknown which bytes since the last
         * successful sync are on disk, even if a later call succeeds.
         */
        void sync() throws IOException;
    }

    /** A file with positioned reads; safe for use by several threads. */
    interface InputFile extends Closeable {
        long size() throws IOException;

        /** Reads from the position on until the buffer is full or the file ends. */
        void read(ByteBuffer buffer, long position) throws IOException;
    }
}
