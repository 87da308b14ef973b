package reedspring.net;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses server-sent events from byte chunks of any size. Event data is buffered only once, because a list of
 * all engines takes megabytes.
 */
final class EventStream {
    private static final int INITIAL_BUFFER_BYTES = 1 << 10;
    /** A larger buffer is not reused for the next event. */
    private static final int MAX_RETAINED_BUFFER_BYTES = 1 << 16;
    private static final byte[] EMPTY = {};

    private final int maxEventBytes;
    private final int progressBytes;
    private final Listener listener;
    /** The data of the current event, followed by the current incomplete line. */
    private byte[] buffer = EMPTY;
    private int dataEnd;
    private int bufferEnd;
    private String id = "";
    private boolean hasData;
    private boolean afterCarriageReturn;
    private long bytesSinceProgress;
    /** The size so far of an event that is too long, 0 if the current event is not. */
    private long oversizedBytes;

    interface Listener {
        /** Called for each event with data. The array may be overwritten after the call. */
        void event(String id, byte[] data, int length);

        /** Called for an event that was dropped because it exceeds the maximum size. */
        void eventTooLong(String id, long bytes);
    }

    /**
     * @param maxEventBytes maximum size of an event
     * @param progressBytes this many bytes of an incomplete line count as progress, as a whole line does
     */
    EventStream(int maxEventBytes, int progressBytes, Listener listener) {
        this.maxEventBytes = maxEventBytes;
        this.progressBytes = progressBytes;
        this.listener = listener;
    }

    /**
     * Parses a chunk. Returns whether there was progress: the end of a line, of an event or a comment, or a
     * large enough part of a long line.
     */
    boolean feed(ByteBuf input) {
        boolean progress = false;
        while (input.isReadable()) {
            if (afterCarriageReturn && input.getByte(input.readerIndex()) == '\n') {
                input.skipBytes(1);
                afterCarriageReturn = false;
                continue;
            }
            afterCarriageReturn = false;
            int length = input.forEachByte(c -> c != '\n' && c != '\r') - input.readerIndex();
            append(input, length < 0 ? input.readableBytes() : length);
            if (length >= 0) {
                afterCarriageReturn = input.readByte() == '\r';
                progress = true;
                bytesSinceProgress = 0;
                endLine();
            }
        }
        if (bytesSinceProgress >= progressBytes) {
            // A list of all engines may take longer to arrive than the silence timeout.
            bytesSinceProgress = 0;
            progress = true;
        }
        return progress;
    }

    private void append(ByteBuf input, int length) {
        bytesSinceProgress += length;
        if (oversizedBytes > 0 || bufferEnd + length > maxEventBytes) {
            // Keeps only whether the current line is empty, because an empty line ends the event.
            oversizedBytes += oversizedBytes > 0 ? length : bufferEnd + length;
            bufferEnd = Math.min(1, bufferEnd - dataEnd + length);
            dataEnd = 0;
            buffer = EMPTY;
            input.skipBytes(length);
            return;
        }
        if (bufferEnd + length > buffer.length) {
            int size = Math.min(maxEventBytes, Math.max(INITIAL_BUFFER_BYTES, 2 * buffer.length));
            buffer = Arrays.copyOf(buffer, Math.max(bufferEnd + length, size));
        }
        input.readBytes(buffer, bufferEnd, length);
        bufferEnd += length;
    }

    private void endLine() {
        int length = bufferEnd - dataEnd;
        bufferEnd = dataEnd;
        if (length == 0) {
            dispatch();
        } else if (oversizedBytes == 0) {
            parseField(length);
        }
    }

    private void dispatch() {
        boolean complete = hasData;
        int size = dataEnd;
        dataEnd = 0;
        bufferEnd = 0;
        hasData = false;
        if (oversizedBytes > 0) {
            long bytes = oversizedBytes;
            oversizedBytes = 0;
            listener.eventTooLong(id, bytes);
        } else if (complete) {
            byte[] event = buffer;
            buffer = event.length > MAX_RETAINED_BUFFER_BYTES ? EMPTY : event;
            listener.event(id, event, size);
        }
    }

    /** Parses a line of the given length, which starts where the data ends. */
    private void parseField(int length) {
        int colon = 0;
        while (colon < length && buffer[dataEnd + colon] != ':') {
            colon++;
        }
        String name = new String(buffer, dataEnd, colon, StandardCharsets.UTF_8);
        int valueStart = Math.min(length, colon + 1);
        valueStart += valueStart < length && buffer[dataEnd + valueStart] == ' ' ? 1 : 0;
        if (name.equals("data")) {
            int target = dataEnd;
            int size = length - valueStart;
            if (hasData) {
                // The line feed fits: the "data" prefix of the line was longer.
                System.arraycopy(buffer, dataEnd + valueStart, buffer, dataEnd + 1, size);
                buffer[target++] = '\n';
            } else {
                System.arraycopy(buffer, dataEnd + valueStart, buffer, dataEnd, size);
            }
            dataEnd = target + size;
            bufferEnd = dataEnd;
            hasData = true;
        } else if (name.equals("id")) {
            id = new String(buffer, dataEnd + valueStart, length - valueStart, StandardCharsets.UTF_8);
        }
    }
}
