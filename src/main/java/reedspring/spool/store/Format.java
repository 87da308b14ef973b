package reedspring.spool.store;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import reedspring.spool.AnswerId;

/**
 * What stands in the spool's files, version 1, all figures big-endian. docs/spool.md has it in full.
 *
 * <p>A segment is a head and records: length of the body, CRC32C over segment number, place and body, body.
 * So a record that lies elsewhere than it was written, in another file or left over from an older one, is no
 * record. An index is one such body behind a head of its own, and tells what a sealed segment holds.
 */
final class Format {
    static final int VERSION = 1;
    static final byte PAGE = 1;
    static final byte WHOLE = 2;
    static final byte DROP = 3;
    static final int RECORD_HEAD = 8;
    /** Before the text of a page: kind, answer, page. */
    static final int PAGE_HEAD = 1 + 16 + 4;
    static final int MOST_NAME = 255;
    /** What a page may hold by the format, whatever the terms say. */
    static final int MOST_PAGE = 1 << 16;
    private static final long SEGMENT_MAGIC = 0x7265_6564_7370_6f6fL;
    private static final long INDEX_MAGIC = 0x7265_6564_696e_6478L;
    private static final String SEGMENT = ".seg";
    private static final String INDEX = ".idx";
    private static final String UNDONE = ".tmp";

    private Format() {
    }

    static String segment(long number) {
        return name(number, SEGMENT);
    }

    static String index(long number) {
        return name(number, INDEX);
    }

    static String undone(long number) {
        return name(number, UNDONE);
    }

    private static String name(long number, String kind) {
        return String.format("%016x", number) + kind;
    }

    /** The number in a name of that kind, or -1. */
    static long number(String name, String kind) {
        return name.matches("[0-7][0-9a-f]{15}\\" + kind) ? Long.parseLong(name.substring(0, 16), 16) : -1;
    }

    static long segmentNumber(String name) {
        return number(name, SEGMENT);
    }

    static long indexNumber(String name) {
        return number(name, INDEX);
    }

    static boolean undone(String name) {
        return number(name, UNDONE) >= 0;
    }

    // ---- heads

    static ByteBuffer head(long number, String front) {
        return head(SEGMENT_MAGIC, number, front);
    }

    private static ByteBuffer head(long magic, long number, String front) {
        byte[] name = front.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(headBytes(name.length));
        out.putLong(magic).putShort((short) VERSION).putLong(number).putShort((short) name.length).put(name);
        out.putInt(crc(number, 0, out.array(), 0, out.position()));
        return out.flip();
    }

    private static int headBytes(int name) {
        return 8 + 2 + 8 + 2 + name + 4;
    }

    static final int MOST_HEAD = headBytes(MOST_NAME);

    /** Reads past a head; the front's name, or null if it is none of this number. */
    static String readHead(ByteBuffer in, long number) throws IOException {
        return readHead(in, SEGMENT_MAGIC, number);
    }

    private static String readHead(ByteBuffer in, long magic, long number) throws IOException {
        int from = in.position();
        try {
            if (in.getLong() != magic) {
                return null;
            }
            int version = in.getShort();
            long named = in.getLong();
            byte[] name = new byte[in.getShort()];
            in.get(name);
            if (in.getInt() != crc(number, 0, in.array(), in.arrayOffset() + from, headBytes(name.length) - 4)
                    || named != number) {
                return null;
            }
            if (version != VERSION) {
                throw new IOException("version " + version + " of the format, " + VERSION + " is known");
            }
            return new String(name, StandardCharsets.UTF_8);
        } catch (BufferUnderflowException | NegativeArraySizeException e) {
            return null;
        }
    }

    // ---- records

    static ByteBuffer page(long segment, long at, AnswerId id, int page, ByteBuffer text) {
        ByteBuffer out = record(PAGE_HEAD + text.remaining());
        out.put(PAGE).putLong(id.high()).putLong(id.low()).putInt(page).put(text);
        return seal(out, segment, at);
    }

    /** What makes an answer whole. */
    record Whole(AnswerId id, long order, int pages, long expiresAt, boolean repeatable, String tenant) {
    }

    static ByteBuffer whole(long segment, long at, Whole whole) {
        byte[] tenant = name(whole.tenant());
        ByteBuffer out = record(1 + 16 + wholeBytes(tenant));
        out.put(WHOLE).putLong(whole.id().high()).putLong(whole.id().low());
        put(out, whole, tenant);
        return seal(out, segment, at);
    }

    private static int wholeBytes(byte[] tenant) {
        return 8 + 4 + 8 + 1 + 2 + tenant.length;
    }

    private static byte[] name(String text) {
        byte[] name = text.getBytes(StandardCharsets.UTF_8);
        if (name.length > MOST_NAME) {
            throw new IllegalArgumentException("a name of over " + MOST_NAME + " bytes");
        }
        return name;
    }

    private static void put(ByteBuffer out, Whole whole, byte[] tenant) {
        out.putLong(whole.order()).putInt(whole.pages()).putLong(whole.expiresAt())
                .put((byte) (whole.repeatable() ? 1 : 0)).putShort((short) tenant.length).put(tenant);
    }

    static Whole whole(AnswerId id, ByteBuffer in) {
        long order = in.getLong();
        int pages = in.getInt();
        long expiresAt = in.getLong();
        boolean repeatable = in.get() == 1;
        byte[] tenant = new byte[in.getShort()];
        in.get(tenant);
        return new Whole(id, order, pages, expiresAt, repeatable, new String(tenant, StandardCharsets.UTF_8));
    }

    /** All copies that were made whole before are dead. */
    static ByteBuffer drop(long segment, long at, AnswerId id, long order) {
        ByteBuffer out = record(1 + 16 + 8);
        out.put(DROP).putLong(id.high()).putLong(id.low()).putLong(order);
        return seal(out, segment, at);
    }

    private static ByteBuffer record(int body) {
        ByteBuffer out = ByteBuffer.allocate(RECORD_HEAD + body);
        out.putInt(body).putInt(0);
        return out;
    }

    private static ByteBuffer seal(ByteBuffer out, long segment, long at) {
        int body = out.position() - RECORD_HEAD;
        out.putInt(4, crc(segment, at, out.array(), RECORD_HEAD, body));
        return out.flip();
    }

    /** Whether the bytes are the body of a record of that segment at that place. */
    static boolean sealed(long segment, long at, int crc, byte[] bytes, int from, int length) {
        return crc(segment, at, bytes, from, length) == crc;
    }

    private static int crc(long segment, long at, byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(16).putLong(segment).putLong(at).flip());
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    // ---- indexes

    /** Where an answer's pages are: places of their records, and the lengths of their bodies. */
    record Entry(Whole whole, long[] at, int[] length) {
        long bytes() {
            long sum = 0;
            for (int body : length) {
                sum += RECORD_HEAD + body;
            }
            return sum;
        }
    }

    /** What was given up, and up to which order. */
    record Dropped(AnswerId id, long order) {
    }

    record Index(long number, long bytes, List<Entry> entries, List<Dropped> dropped) {
    }

    static ByteBuffer index(Index index, String front) {
        ByteBuffer head = head(INDEX_MAGIC, index.number(), front);
        int body = 8 + 4 + 4 + index.dropped().size() * 24;
        for (Entry entry : index.entries()) {
            body += 16 + wholeBytes(name(entry.whole().tenant())) + entry.at().length * 12;
        }
        ByteBuffer out = ByteBuffer.allocate(head.remaining() + RECORD_HEAD + body);
        int at = head.remaining();
        out.put(head).putInt(body).putInt(0);
        out.putLong(index.bytes()).putInt(index.entries().size()).putInt(index.dropped().size());
        for (Entry entry : index.entries()) {
            out.putLong(entry.whole().id().high()).putLong(entry.whole().id().low());
            put(out, entry.whole(), name(entry.whole().tenant()));
            for (int k = 0; k < entry.at().length; k++) {
                out.putLong(entry.at()[k]).putInt(entry.length()[k]);
            }
        }
        for (Dropped dropped : index.dropped()) {
            out.putLong(dropped.id().high()).putLong(dropped.id().low()).putLong(dropped.order());
        }
        out.putInt(at + 4, crc(index.number(), at, out.array(), at + RECORD_HEAD, body));
        return out.flip();
    }

    /** Null for what is no index of that number, of that front. */
    static Index readIndex(ByteBuffer in, long number, String front) throws IOException {
        String named = readHead(in, INDEX_MAGIC, number);
        if (named == null || !named.equals(front) || in.remaining() < RECORD_HEAD) {
            return null;
        }
        int at = in.position();
        int body = in.getInt();
        int crc = in.getInt();
        if (body != in.remaining() || !sealed(number, at, crc, in.array(), in.arrayOffset() + in.position(),
                body)) {
            return null;
        }
        long bytes = in.getLong();
        int count = in.getInt();
        int gone = in.getInt();
        List<Entry> entries = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            Whole whole = whole(new AnswerId(in.getLong(), in.getLong()), in);
            long[] places = new long[whole.pages()];
            int[] lengths = new int[whole.pages()];
            for (int page = 0; page < places.length; page++) {
                places[page] = in.getLong();
                lengths[page] = in.getInt();
            }
            entries.add(new Entry(whole, places, lengths));
        }
        List<Dropped> dropped = new ArrayList<>();
        for (int k = 0; k < gone; k++) {
            dropped.add(new Dropped(new AnswerId(in.getLong(), in.getLong()), in.getLong()));
        }
        return new Index(number, bytes, entries, dropped);
    }
}
