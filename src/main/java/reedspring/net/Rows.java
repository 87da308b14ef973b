package reedspring.net;

import io.netty.buffer.ByteBuf;

/**
 * Tells whether a page is text of three columns, each row ended: what is not can't be a page, whatever its
 * frame says. One for the loop: the bytes are copied out first, as looking at each in its buffer took half of
 * a front's own time.
 */
final class Rows {
    private static final int COLUMNS = 3;
    private final byte[] text;

    Rows(int most) {
        text = new byte[most];
    }

    /** Of at most as many bytes as it was made for; the buffer stays as it is. */
    boolean whole(ByteBuf page) {
        int length = page.readableBytes();
        page.getBytes(page.readerIndex(), text, 0, length);
        byte[] from = text;
        int tabs = 0;
        for (int k = 0; k < length; k++) {
            byte c = from[k];
            if (c >= 0 && c < ' ') {
                if (c == '\t') {
                    tabs++;
                } else if (c == '\n' && tabs == COLUMNS - 1) {
                    tabs = 0;
                } else {
                    return false;
                }
            }
        }
        return length == 0 || from[length - 1] == '\n';
    }
}
