package reedspring.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads server-sent events from bytes that come in any pieces. What is held of an event is held once: a list
 * of all engines is megabytes.
 */
final class EventStream {
    private static final int FIRST = 1 << 10;
    /** An event's buffer past this is not kept for the next. */
    private static final int KEPT = 1 << 16;
    private static final byte[] NONE = {};

    private final int most;
    private final int part;
    private final Reader reader;
    /** The event's data so far, and behind it the line that has begun. */
    private byte[] held = NONE;
    private int data;
    private int end;
    private String id = "";
    private boolean hasData;
    private boolean afterReturn;
    private long sinceSign;
    /** Bytes of an event that is too long, 0 if this one is not. */
    private long tooLong;

    interface Reader {
        /** The bytes may change once it returns. */
        void read(String id, byte[] data, int length);

        /** An event that was let go by, as it has more bytes than the most that is held of one. */
        void tooLong(String id, long bytes);
    }

    /**
     * @param most bytes that are held of an event
     * @param part so many bytes of one line are a sign of life, as a whole line is
     */
    EventStream(int most, int part, Reader reader) {
        this.most = most;
        this.part = part;
        this.reader = reader;
    }

    /** Whether a line has ended, be it of an event or a comment, or a good part of a long one has come. */
    boolean feed(ByteBuf in) {
        boolean sign = false;
        while (in.isReadable()) {
            if (afterReturn && in.getByte(in.readerIndex()) == '\n') {
                in.skipBytes(1);
                afterReturn = false;
                continue;
            }
            afterReturn = false;
            int length = in.forEachByte(c -> c != '\n' && c != '\r') - in.readerIndex();
            hold(in, length < 0 ? in.readableBytes() : length);
            if (length >= 0) {
                afterReturn = in.readByte() == '\r';
                sign = true;
                sinceSign = 0;
                line();
            }
        }
        if (sinceSign >= part) {
            // A list of all engines may take longer than the service is silent otherwise.
            sinceSign = 0;
            sign = true;
        }
        return sign;
    }

    private void hold(ByteBuf in, int length) {
        sinceSign += length;
        if (tooLong > 0 || end + length > most) {
            // Of its lines only this stays known: whether they are empty, as such a one ends the event.
            tooLong += tooLong > 0 ? length : end + length;
            end = Math.min(1, end - data + length);
            data = 0;
            held = NONE;
            in.skipBytes(length);
            return;
        }
        if (end + length > held.length) {
            int size = Math.min(most, Math.max(FIRST, 2 * held.length));
            held = Arrays.copyOf(held, Math.max(end + length, size));
        }
        in.readBytes(held, end, length);
        end += length;
    }

    private void line() {
        int length = end - data;
        end = data;
        if (length == 0) {
            dispatch();
        } else if (tooLong == 0) {
            field(length);
        }
    }

    private void dispatch() {
        boolean whole = hasData;
        int size = data;
        data = 0;
        end = 0;
        hasData = false;
        if (tooLong > 0) {
            long bytes = tooLong;
            tooLong = 0;
            reader.tooLong(id, bytes);
        } else if (whole) {
            byte[] read = held;
            held = read.length > KEPT ? NONE : read;
            reader.read(id, read, size);
        }
    }

    /** A line of so many bytes that begins where the data ends. */
    private void field(int length) {
        int colon = 0;
        while (colon < length && held[data + colon] != ':') {
            colon++;
        }
        String name = new String(held, data, colon, StandardCharsets.UTF_8);
        int from = Math.min(length, colon + 1);
        from += from < length && held[data + from] == ' ' ? 1 : 0;
        if (name.equals("data")) {
            int to = data;
            int size = length - from;
            if (hasData) {
                // A line of data has more bytes than the line feed between two.
                System.arraycopy(held, data + from, held, data + 1, size);
                held[to++] = '\n';
            } else {
                System.arraycopy(held, data + from, held, data, size);
            }
            data = to + size;
            end = data;
            hasData = true;
        } else if (name.equals("id")) {
            id = new String(held, data + from, length - from, StandardCharsets.UTF_8);
        }
    }
}
