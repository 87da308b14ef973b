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
    static final byte COMMIT = 2;
    static final byte DROP = 3;
    static final int RECORD_HEADER_BYTES = 8;
    /** Before the text of a page: kind, answer, page. */
    static final int PAGE_HEADER_BYTES = 1 + 16 + 4;
    static final int MAX_NAME_BYTES = 255;
    /** What a page may hold by the format, whatever the terms say. */
    static final int MAX_PAGE_BYTES = 1 << 16;
    private static final long SEGMENT_MAGIC = 0x7265_6564_7370_6f6fL;
    private static final long INDEX_MAGIC = 0x7265_6564_696e_6478L;
    private static final String SEGMENT_SUFFIX = ".seg";
    private static final String INDEX_SUFFIX = ".idx";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private Format() {
    }

    static String segmentFileName(long number) {
        return name(number, SEGMENT_SUFFIX);
    }

    static String index(long number) {
        return name(number, INDEX_SUFFIX);
    }

    static String undone(long number) {
        return name(number, TEMPORARY_SUFFIX);
    }

    private static String name(long number, String suffix) {
        return String.format("%016x", number) + suffix;
    }

    /** The number in a name of that kind, or -1. */
    static long number(String name, String suffix) {
        return name.matches("[0-7][0-9a-f]{15}\\" + suffix) ? Long.parseLong(name.substring(0, 16), 16) : -1;
    }

    static long segmentNumber(String name) {
        return number(name, SEGMENT_SUFFIX);
    }

    static long indexNumber(String name) {
        return number(name, INDEX_SUFFIX);
    }

    static boolean undone(String name) {
        return number(name, TEMPORARY_SUFFIX) >= 0;
    }

    // ---- heads

    static ByteBuffer header(long number, String front) {
        return header(SEGMENT_MAGIC, number, front);
    }

    private static ByteBuffer header(long magic, long number, String front) {
        byte[] name = front.getBytes(StandardCharsets.UTF_8);
        ByteBuffer header = ByteBuffer.allocate(headerBytes(name.length));
        header.putLong(magic).putShort((short) VERSION).putLong(number).putShort((short) name.length).put(name);
        header.putInt(crc(number, 0, header.array(), 0, header.position()));
        return header.flip();
    }

    private static int headerBytes(int nameBytes) {
        return 8 + 2 + 8 + 2 + nameBytes + 4;
    }

    static final int MAX_HEADER_BYTES = headerBytes(MAX_NAME_BYTES);

    /** Reads past a head; the front's name, or null if it is none of this number. */
    static String readHeader(ByteBuffer buffer, long number) throws IOException {
        return readHeader(buffer, SEGMENT_MAGIC, number);
    }

    private static String readHeader(ByteBuffer buffer, long magic, long number) throws IOException {
        int start = buffer.position();
        try {
            if (buffer.getLong() != magic) {
                return null;
            }
            int version = buffer.getShort();
            long headerNumber = buffer.getLong();
            byte[] name = new byte[buffer.getShort()];
            buffer.get(name);
            if (buffer.getInt() != crc(number, 0, buffer.array(), buffer.arrayOffset() + start, headerBytes(name.length) - 4)
                    || headerNumber != number) {
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

    static ByteBuffer pageRecord(long segment, long position, AnswerId id, int page, ByteBuffer text) {
        ByteBuffer record = newRecord(PAGE_HEADER_BYTES + text.remaining());
        record.put(PAGE).putLong(id.high()).putLong(id.low()).putInt(page).put(text);
        return setChecksum(record, segment, position);
    }

    /** What makes an answer whole. */
    record Commit(AnswerId id, long sequence, int pageCount, long expiresAt, boolean repeatable, String tenant) {
    }

    static ByteBuffer whole(long segment, long position, Commit commit) {
        byte[] tenant = name(commit.tenant());
        ByteBuffer record = newRecord(1 + 16 + commitBytes(tenant));
        record.put(COMMIT).putLong(commit.id().high()).putLong(commit.id().low());
        putCommit(record, commit, tenant);
        return setChecksum(record, segment, position);
    }

    private static int commitBytes(byte[] tenant) {
        return 8 + 4 + 8 + 1 + 2 + tenant.length;
    }

    private static byte[] name(String text) {
        byte[] name = text.getBytes(StandardCharsets.UTF_8);
        if (name.length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException("a name of over " + MAX_NAME_BYTES + " bytes");
        }
        return name;
    }

    private static void putCommit(ByteBuffer record, Commit commit, byte[] tenant) {
        record.putLong(commit.sequence()).putInt(commit.pageCount()).putLong(commit.expiresAt())
                .put((byte) (commit.repeatable() ? 1 : 0)).putShort((short) tenant.length).put(tenant);
    }

    static Commit whole(AnswerId id, ByteBuffer buffer) {
        long sequence = buffer.getLong();
        int pageCount = buffer.getInt();
        long expiresAt = buffer.getLong();
        boolean repeatable = buffer.get() == 1;
        byte[] tenant = new byte[buffer.getShort()];
        buffer.get(tenant);
        return new Commit(id, sequence, pageCount, expiresAt, repeatable, new String(tenant, StandardCharsets.UTF_8));
    }

    /** All copies that were made whole before are dead. */
    static ByteBuffer dropRecord(long segment, long position, AnswerId id, long sequence) {
        ByteBuffer record = newRecord(1 + 16 + 8);
        record.put(DROP).putLong(id.high()).putLong(id.low()).putLong(sequence);
        return setChecksum(record, segment, position);
    }

    private static ByteBuffer newRecord(int bodyBytes) {
        ByteBuffer record = ByteBuffer.allocate(RECORD_HEADER_BYTES + bodyBytes);
        record.putInt(bodyBytes).putInt(0);
        return record;
    }

    private static ByteBuffer setChecksum(ByteBuffer record, long segment, long position) {
        int bodyBytes = record.position() - RECORD_HEADER_BYTES;
        record.putInt(4, crc(segment, position, record.array(), RECORD_HEADER_BYTES, bodyBytes));
        return record.flip();
    }

    /** Whether the bytes are the body of a record of that segment at that place. */
    static boolean checksumMatches(long segment, long position, int expected, byte[] bytes, int offset, int length) {
        return crc(segment, position, bytes, offset, length) == expected;
    }

    private static int crc(long segment, long position, byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(16).putLong(segment).putLong(position).flip());
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    // ---- indexes

    /** Where an answer's pages are: places of their records, and the lengths of their bodies. */
    record IndexEntry(Commit commit, long[] positions, int[] bodyBytes) {
        long bytes() {
            long sum = 0;
            for (int body : bodyBytes) {
                sum += RECORD_HEADER_BYTES + body;
            }
            return sum;
        }
    }

    /** What was given up, and up to which order. */
    record Drop(AnswerId id, long sequence) {
    }

    record Index(long segment, long segmentBytes, List<IndexEntry> entries, List<Drop> drops) {
    }

    static ByteBuffer index(Index index, String front) {
        ByteBuffer header = header(INDEX_MAGIC, index.segment(), front);
        int bodyBytes = 8 + 4 + 4 + index.drops().size() * 24;
        for (IndexEntry entry : index.entries()) {
            bodyBytes += 16 + commitBytes(name(entry.commit().tenant())) + entry.positions().length * 12;
        }
        ByteBuffer encoded = ByteBuffer.allocate(header.remaining() + RECORD_HEADER_BYTES + bodyBytes);
        int position = header.remaining();
        encoded.put(header).putInt(bodyBytes).putInt(0);
        encoded.putLong(index.segmentBytes()).putInt(index.entries().size()).putInt(index.drops().size());
        for (IndexEntry entry : index.entries()) {
            encoded.putLong(entry.commit().id().high()).putLong(entry.commit().id().low());
            putCommit(encoded, entry.commit(), name(entry.commit().tenant()));
            for (int k = 0; k < entry.positions().length; k++) {
                encoded.putLong(entry.positions()[k]).putInt(entry.bodyBytes()[k]);
            }
        }
        for (Drop dropped : index.drops()) {
            encoded.putLong(dropped.id().high()).putLong(dropped.id().low()).putLong(dropped.sequence());
        }
        encoded.putInt(position + 4, crc(index.segment(), position, encoded.array(), position + RECORD_HEADER_BYTES, bodyBytes));
        return encoded.flip();
    }

    /** Null for what is no index of that number, of that front. */
    static Index readIndex(ByteBuffer buffer, long number, String front) throws IOException {
        String owner = readHeader(buffer, INDEX_MAGIC, number);
        if (owner == null || !owner.equals(front) || buffer.remaining() < RECORD_HEADER_BYTES) {
            return null;
        }
        int position = buffer.position();
        int bodyBytes = buffer.getInt();
        int crc = buffer.getInt();
        if (bodyBytes != buffer.remaining() || !checksumMatches(number, position, crc, buffer.array(), buffer.arrayOffset() + buffer.position(),
                bodyBytes)) {
            return null;
        }
        long segmentBytes = buffer.getLong();
        int entryCount = buffer.getInt();
        int dropCount = buffer.getInt();
        List<IndexEntry> entries = new ArrayList<>();
        for (int k = 0; k < entryCount; k++) {
            Commit commit = whole(new AnswerId(buffer.getLong(), buffer.getLong()), buffer);
            long[] positions = new long[commit.pageCount()];
            int[] lengths = new int[commit.pageCount()];
            for (int page = 0; page < positions.length; page++) {
                positions[page] = buffer.getLong();
                lengths[page] = buffer.getInt();
            }
            entries.add(new IndexEntry(commit, positions, lengths));
        }
        List<Drop> drops = new ArrayList<>();
        for (int k = 0; k < dropCount; k++) {
            drops.add(new Drop(new AnswerId(buffer.getLong(), buffer.getLong()), buffer.getLong()));
        }
        return new Index(number, segmentBytes, entries, drops);
    }
}
