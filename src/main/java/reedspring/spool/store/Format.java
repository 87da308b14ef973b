package reedspring.spool.store;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import reedspring.spool.AnswerId;

/**
 * File format of the spool, version 1, big-endian. docs/spool.md describes it in full.
 *
 * <p>A segment is a header followed by records. A record is the length of its body, a CRC32C over segment
 * number, file position and body, and the body. The checksum therefore rejects a record at another position,
 * in another file or left over from an older file. An index is a header and one such body, and describes the
 * content of a sealed segment.
 */
final class Format {
    static final int VERSION = 1;
    static final byte PAGE = 1;
    static final byte COMMIT = 2;
    static final byte DROP = 3;
    static final int RECORD_HEADER_BYTES = 8;
    /** Fields in front of the content of a page: record type, answer id, page number. */
    static final int PAGE_HEADER_BYTES = 1 + 16 + 4;
    static final int MAX_NAME_BYTES = 255;
    /** Maximum page size of the format, independent of the configured limit. */
    static final int MAX_PAGE_BYTES = 1 << 16;
    private static final long SEGMENT_MAGIC = 0x7265_6564_7370_6f6fL;
    private static final long INDEX_MAGIC = 0x7265_6564_696e_6478L;
    private static final String SEGMENT_SUFFIX = ".seg";
    private static final String INDEX_SUFFIX = ".idx";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private Format() {
    }

    static String segmentFileName(long number) {
        return fileName(number, SEGMENT_SUFFIX);
    }

    static String indexFileName(long number) {
        return fileName(number, INDEX_SUFFIX);
    }

    static String temporaryFileName(long number) {
        return fileName(number, TEMPORARY_SUFFIX);
    }

    private static String fileName(long number, String suffix) {
        return String.format("%016x", number) + suffix;
    }

    /** Returns the segment number in a file name with this suffix, or -1. */
    static long fileNumber(String name, String suffix) {
        return name.matches("[0-7][0-9a-f]{15}\\" + suffix) ? Long.parseLong(name.substring(0, 16), 16) : -1;
    }

    static long segmentNumber(String name) {
        return fileNumber(name, SEGMENT_SUFFIX);
    }

    static long indexNumber(String name) {
        return fileNumber(name, INDEX_SUFFIX);
    }

    static boolean isTemporary(String name) {
        return fileNumber(name, TEMPORARY_SUFFIX) >= 0;
    }

    // ---- headers

    static ByteBuffer header(long number, String front) {
        return header(SEGMENT_MAGIC, number, front);
    }

    private static ByteBuffer header(long magic, long number, String front) {
        byte[] name = front.getBytes(StandardCharsets.UTF_8);
        ByteBuffer header = ByteBuffer.allocate(headerBytes(name.length));
        header.putLong(magic).putShort((short) VERSION).putLong(number).putShort((short) name.length)
                .put(name);
        header.putInt(crc(number, 0, header.array(), 0, header.position()));
        return header.flip();
    }

    private static int headerBytes(int nameBytes) {
        return 8 + 2 + 8 + 2 + nameBytes + 4;
    }

    static final int MAX_HEADER_BYTES = headerBytes(MAX_NAME_BYTES);

    /** Reads a header and returns the front's name, or null if it isn't a valid header for this number. */
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
            if (buffer.getInt() != crc(number, 0, buffer.array(), buffer.arrayOffset() + start,
                    headerBytes(name.length) - 4)
                    || headerNumber != number) {
                return null;
            }
            if (version != VERSION) {
                throw new IOException("format version " + version + " is not supported, only "
                        + VERSION + " is");
            }
            return new String(name, StandardCharsets.UTF_8);
        } catch (BufferUnderflowException | NegativeArraySizeException e) {
            return null;
        }
    }

    // ---- records

    static ByteBuffer pageRecord(long segment, long position, AnswerId id, int page, ByteBuffer content) {
        ByteBuffer encoded = newRecord(PAGE_HEADER_BYTES + content.remaining());
        encoded.put(PAGE).putLong(id.high()).putLong(id.low()).putInt(page).put(content);
        return setChecksum(encoded, segment, position);
    }

    /** Marks an answer as complete. */
    record Commit(AnswerId id, long sequence, int pageCount, long expiresAt, boolean repeatable,
            String tenant) {
    }

    static ByteBuffer commitRecord(long segment, long position, Commit commit) {
        byte[] tenant = nameBytes(commit.tenant());
        ByteBuffer encoded = newRecord(1 + 16 + commitBytes(tenant));
        encoded.put(COMMIT).putLong(commit.id().high()).putLong(commit.id().low());
        putCommit(encoded, commit, tenant);
        return setChecksum(encoded, segment, position);
    }

    private static int commitBytes(byte[] tenant) {
        return 8 + 4 + 8 + 1 + 2 + tenant.length;
    }

    private static byte[] nameBytes(String text) {
        byte[] name = text.getBytes(StandardCharsets.UTF_8);
        if (name.length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException("name is longer than " + MAX_NAME_BYTES + " bytes");
        }
        return name;
    }

    private static void putCommit(ByteBuffer encoded, Commit commit, byte[] tenant) {
        encoded.putLong(commit.sequence()).putInt(commit.pageCount()).putLong(commit.expiresAt())
                .put((byte) (commit.repeatable() ? 1 : 0)).putShort((short) tenant.length).put(tenant);
    }

    static Commit readCommit(AnswerId id, ByteBuffer buffer) {
        long sequence = buffer.getLong();
        int pageCount = buffer.getInt();
        long expiresAt = buffer.getLong();
        boolean repeatable = buffer.get() == 1;
        byte[] tenant = new byte[buffer.getShort()];
        buffer.get(tenant);
        return new Commit(id, sequence, pageCount, expiresAt, repeatable,
                new String(tenant, StandardCharsets.UTF_8));
    }

    /** Record that invalidates all earlier commits of the answer. */
    static ByteBuffer dropRecord(long segment, long position, AnswerId id, long sequence) {
        ByteBuffer encoded = newRecord(1 + 16 + 8);
        encoded.put(DROP).putLong(id.high()).putLong(id.low()).putLong(sequence);
        return setChecksum(encoded, segment, position);
    }

    private static ByteBuffer newRecord(int bodyBytes) {
        ByteBuffer encoded = ByteBuffer.allocate(RECORD_HEADER_BYTES + bodyBytes);
        encoded.putInt(bodyBytes).putInt(0);
        return encoded;
    }

    private static ByteBuffer setChecksum(ByteBuffer encoded, long segment, long position) {
        int bodyBytes = encoded.position() - RECORD_HEADER_BYTES;
        encoded.putInt(4, crc(segment, position, encoded.array(), RECORD_HEADER_BYTES, bodyBytes));
        return encoded.flip();
    }

    /** Whether the checksum matches a record with this body in the segment at the position. */
    static boolean checksumMatches(long segment, long position, int expected, byte[] bytes, int offset,
            int length) {
        return crc(segment, position, bytes, offset, length) == expected;
    }

    private static int crc(long segment, long position, byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(16).putLong(segment).putLong(position).flip());
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    // ---- indexes

    /** Locations of the pages of an answer: file positions of their records and sizes of the bodies. */
    record IndexEntry(Commit commit, long[] positions, int[] bodyBytes) {
        long bytes() {
            long sum = 0;
            for (int size : bodyBytes) {
                sum += RECORD_HEADER_BYTES + size;
            }
            return sum;
        }
    }

    /**
     * Creates an entry from the file position and body size of each page, or returns null if pages are
     * missing.
     */
    static IndexEntry indexEntry(Commit commit, Map<Integer, long[]> pageLocations) {
        if (pageLocations == null || pageLocations.size() != commit.pageCount()) {
            return null;
        }
        long[] positions = new long[commit.pageCount()];
        int[] bodyBytes = new int[commit.pageCount()];
        for (int page = 0; page < positions.length; page++) {
            long[] location = pageLocations.get(page);
            if (location == null) {
                return null;
            }
            positions[page] = location[0];
            bodyBytes[page] = (int) location[1];
        }
        return new IndexEntry(commit, positions, bodyBytes);
    }

    /** A dropped answer: all commits up to the sequence number are invalid. */
    record Drop(AnswerId id, long sequence) {
    }

    /** Content of a sealed segment; {@code segmentBytes}: size of its readable part. */
    record Index(long segment, long segmentBytes, List<IndexEntry> entries, List<Drop> drops) {
    }

    /** Size of the index file. */
    static int indexBytes(Index index, String front) {
        return headerBytes(nameBytes(front).length) + RECORD_HEADER_BYTES + indexBodyBytes(index);
    }

    private static int indexBodyBytes(Index index) {
        int bodyBytes = 8 + 4 + 4 + index.drops().size() * 24;
        for (IndexEntry entry : index.entries()) {
            bodyBytes += 16 + commitBytes(nameBytes(entry.commit().tenant())) + entry.positions().length * 12;
        }
        return bodyBytes;
    }

    static ByteBuffer encodeIndex(Index index, String front) {
        ByteBuffer header = header(INDEX_MAGIC, index.segment(), front);
        int bodyBytes = indexBodyBytes(index);
        ByteBuffer encoded = ByteBuffer.allocate(header.remaining() + RECORD_HEADER_BYTES + bodyBytes);
        int position = header.remaining();
        encoded.put(header).putInt(bodyBytes).putInt(0);
        encoded.putLong(index.segmentBytes()).putInt(index.entries().size()).putInt(index.drops().size());
        for (IndexEntry entry : index.entries()) {
            encoded.putLong(entry.commit().id().high()).putLong(entry.commit().id().low());
            putCommit(encoded, entry.commit(), nameBytes(entry.commit().tenant()));
            for (int k = 0; k < entry.positions().length; k++) {
                encoded.putLong(entry.positions()[k]).putInt(entry.bodyBytes()[k]);
            }
        }
        for (Drop dropped : index.drops()) {
            encoded.putLong(dropped.id().high()).putLong(dropped.id().low()).putLong(dropped.sequence());
        }
        encoded.putInt(position + 4,
                crc(index.segment(), position, encoded.array(), position + RECORD_HEADER_BYTES, bodyBytes));
        return encoded.flip();
    }

    /** Returns null if the content isn't a valid index of this segment and front. */
    static Index readIndex(ByteBuffer buffer, long number, String front) throws IOException {
        String owner = readHeader(buffer, INDEX_MAGIC, number);
        if (owner == null || !owner.equals(front) || buffer.remaining() < RECORD_HEADER_BYTES) {
            return null;
        }
        int position = buffer.position();
        int bodyBytes = buffer.getInt();
        int crc = buffer.getInt();
        if (bodyBytes != buffer.remaining()
                || !checksumMatches(number, position, crc, buffer.array(),
                buffer.arrayOffset() + buffer.position(), bodyBytes)) {
            return null;
        }
        long segmentBytes = buffer.getLong();
        int entryCount = buffer.getInt();
        int dropCount = buffer.getInt();
        List<IndexEntry> entries = new ArrayList<>();
        for (int k = 0; k < entryCount; k++) {
            Commit commit = readCommit(new AnswerId(buffer.getLong(), buffer.getLong()), buffer);
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
