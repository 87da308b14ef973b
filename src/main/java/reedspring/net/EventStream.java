package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.TooLongFrameException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Reads server-sent events from bytes that come in any pieces. */
final class EventStream {
    private final int most;
    private final Reader reader;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private boolean hasData;
    private boolean afterReturn;

    interface Reader {
        void read(String id, String data);
    }

    EventStream(int most, Reader reader) {
        this.most = most;
        this.reader = reader;
    }

    /** Whether a line has ended, be it of an event or a comment. */
    boolean feed(ByteBuf in) {
        boolean ended = false;
        while (in.isReadable()) {
            int c = in.readByte();
            boolean second = c == '\n' && afterReturn;
            afterReturn = c == '\r';
            if (second) {
                continue;
            }
            if (c == '\n' || c == '\r') {
                ended = true;
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                line(text);
            } else {
                line.write(c);
                if (line.size() + data.length() > most) {
                    throw new TooLongFrameException("an event of over " + most + " bytes");
                }
            }
        }
        return ended;
    }

    private void line(String text) {
        if (text.isEmpty()) {
            if (hasData) {
                String whole = data.toString();
                data.setLength(0);
                hasData = false;
                reader.read(id, whole);
            }
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        int from = colon + 1 < text.length() && text.charAt(colon + 1) == ' ' ? colon + 2 : colon + 1;
        String value = colon < 0 ? "" : text.substring(from);
        if (field.equals("data")) {
            data.append(hasData ? "\n" : "").append(value);
            hasData = true;
        } else if (field.equals("id")) {
            id = value;
        }
    }
}
