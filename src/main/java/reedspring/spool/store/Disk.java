package reedspring.spool.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The files of one folder, as far as the store needs them. What was written is there after a crash only if it
 * was synced, and a name only if the names were.
 */
public interface Disk extends Closeable {
    List<String> list() throws IOException;

    /** A new file; fails if there is one of that name. */
    Out create(String name) throws IOException;

    In open(String name) throws IOException;

    /** Takes the place of a file of that name. */
    void rename(String source, String target) throws IOException;

    void delete(String name) throws IOException;

    void syncNames() throws IOException;

    /** Is written at its end only. */
    interface Out extends Closeable {
        /** All that remains in the buffer; after an exception an unknown part of it. */
        void write(ByteBuffer bytes) throws IOException;

        /**
         * After an exception nobody knows what since the last sync is on the disk, whatever a second says.
         */
        void sync() throws IOException;
    }

    /** Can be read at any place, by several threads. */
    interface In extends Closeable {
        long size() throws IOException;

        /** Fills the buffer from that place on, or as far as the file goes. */
        void read(ByteBuffer buffer, long position) throws IOException;
    }
}
