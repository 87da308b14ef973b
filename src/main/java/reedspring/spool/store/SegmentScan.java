package reedspring.spool.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedspring.spool.AnswerId;

/** Scans a segment without an index record by record and skips corrupt ranges where possible. */
final class SegmentScan {
    private static final int CHUNK_BYTES = 1 << 20;
    private final Disk disk;
    private final String front;
    private final int maxBodyBytes;
    private final long segment;
    private final List<Format.IndexEntry> committed = new ArrayList<>();
    private final List<Format.Drop> drops = new ArrayList<>();
    private final Map<AnswerId, Map<Integer, long[]>> uncommittedPages = new HashMap<>();
    private byte[] buffer = new byte[0];
    private long bufferStart;
    private int bufferedBytes;
    private long fileBytes;
    private long skippedBytes;
    private boolean ownedByFront;
    private String failure;

    /**
     * @param maxBodyBytes larger records are invalid
     */
    SegmentScan(Disk disk, String front, int maxBodyBytes, long segment) {
        this.disk = disk;
        this.front = front;
        this.maxBodyBytes = maxBodyBytes;
        this.segment = segment;
    }

    long fileBytes() {
        return fileBytes;
    }

    long skippedBytes() {
        return skippedBytes;
    }

    boolean isOwnedByFront() {
        return ownedByFront;
    }

    /** Why the segment can't be used. */
    String failure() {
        return failure;
    }

    /** The content of the segment, after a successful run. */
    Format.Index index() {
        return new Format.Index(segment, fileBytes, committed, drops);
    }

    /** Returns false, with {@link #failure} set, if the segment can't be used. */
    boolean run() throws IOException {
        try (Disk.InputFile file = disk.open(Format.segmentFileName(segment))) {
            fileBytes = file.size();
            fill(file, 0);
            ByteBuffer header = ByteBuffer.wrap(buffer, 0, bufferedBytes);
            String owner;
            try {
                owner = Format.readHeader(header, segment);
            } catch (IOException e) {
                failure = "segment " + segment + " left as it is: " + e.getMessage();
                return false;
            }
            ownedByFront = owner == null || owner.equals(front);
            if (owner == null || !ownedByFront) {
                failure = "segment " + segment
                        + (ownedByFront ? " has no valid header, it holds no answers"
                        : " left as it is, it is of front " + owner);
                return false;
            }
            scanRecords(file, header.position());
            return true;
        }
    }

    private void scanRecords(Disk.InputFile file, long start) throws IOException {
        long badStart = -1;
        for (long position = start; position + Format.RECORD_HEADER_BYTES < fileBytes; ) {
            int length = readRecord(file, position);
            if (length < 0) {
                // The length field may be corrupt: try to find the next record at every position.
                badStart = badStart < 0 ? position : badStart;
                position++;
            } else {
                skippedBytes += badStart < 0 ? 0 : position - badStart;
                badStart = -1;
                position += Format.RECORD_HEADER_BYTES + length;
            }
        }
    }

    /**
     * Reads the record at the position; returns the size of its body, or -1 if there is no valid record.
     */
    private int readRecord(Disk.InputFile file, long position) throws IOException {
        if (position < bufferStart
                || position + Format.RECORD_HEADER_BYTES + maxBodyBytes > bufferStart + bufferedBytes
                && bufferStart + bufferedBytes < fileBytes) {
            fill(file, position);
        }
        int offset = (int) (position - bufferStart);
        ByteBuffer record = ByteBuffer.wrap(buffer, offset, bufferedBytes - offset);
        int bodyBytes = record.getInt();
        int crc = record.getInt();
        if (bodyBytes < 17 || bodyBytes > maxBodyBytes || bodyBytes > record.remaining()
                || !Format.checksumMatches(segment, position, crc, buffer, record.position(),
                bodyBytes)) {
            return -1;
        }
        record.limit(record.position() + bodyBytes);
        byte kind = record.get();
        AnswerId id = new AnswerId(record.getLong(), record.getLong());
        if (kind == Format.PAGE) {
            uncommittedPages.computeIfAbsent(id, key -> new HashMap<>()).put(record.getInt(),
                    new long[] {position, bodyBytes});
        } else if (kind == Format.COMMIT) {
            Format.IndexEntry entry = Format.indexEntry(Format.readCommit(id, record),
                    uncommittedPages.remove(id));
            if (entry != null) {
                committed.add(entry);
            } else {
                skippedBytes++;
            }
        } else if (kind == Format.DROP) {
            drops.add(new Format.Drop(id, record.getLong()));
        }
        return bodyBytes;
    }

    private void fill(Disk.InputFile file, long position) throws IOException {
        int length = (int) Math.min(fileBytes - position,
                CHUNK_BYTES + maxBodyBytes + Format.RECORD_HEADER_BYTES);
        if (buffer.length < length) {
            buffer = new byte[length];
        }
        ByteBuffer target = ByteBuffer.wrap(buffer, 0, length);
        file.read(target, position);
        bufferStart = position;
        bufferedBytes = target.position();
        Arrays.fill(buffer, bufferedBytes, buffer.length, (byte) 0);
    }
}
