package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Answers to clients; the rows of a result go out as the engine's buffers. */
final class RpcWriter {
    private RpcWriter() {
    }

    /**
     * A result, as one message: where memory is lacking for a part of it, nothing of it is written, and what
     * goes out next is not taken for its rest.
     *
     * @param pages the rows, which stay their owner's
     * @param fields up to 15, name and value in turn
     */
    static ByteBuf rows(ByteBufAllocator buffers, long id, List<ByteBuf> pages, String... fields) {
        int length = pages.stream().mapToInt(ByteBuf::readableBytes).sum();
        CompositeByteBuf whole = buffers.compositeBuffer(pages.size() + 2);
        try {
            whole.addComponent(true, rowsHead(buffers, id, length));
            pages.forEach(page -> whole.addComponent(true, page.retain()));
            return whole.addComponent(true, rowsTail(buffers, fields));
        } catch (RuntimeException | Error e) {
            whole.release();
            throw e;
        }
    }

    /** What stands before a result of that many bytes. */
    private static ByteBuf rowsHead(ByteBufAllocator buffers, long id, int length) {
        ByteBuf out = begin(buffers, id);
        out.writeByte(0xc0).writeByte(0x92);
        if (length < 1 << 8) {
            out.writeByte(0xc4).writeByte(length);
        } else if (length < 1 << 16) {
            out.writeByte(0xc5).writeShort(length);
        } else {
            out.writeByte(0xc6).writeInt(length);
        }
        return out;
    }

    /** What stands behind it: up to 15 fields, name and value in turn. */
    private static ByteBuf rowsTail(ByteBufAllocator buffers, String... fields) {
        ByteBuf out = buffers.buffer(128).writeByte(0x80 | fields.length / 2);
        for (String each : fields) {
            text(out, each);
        }
        return out;
    }

    static ByteBuf heartbeat(ByteBufAllocator buffers, long id, boolean able) {
        int answer = able ? 0xc3 : 0xc2;
        return begin(buffers, id).writeByte(0xc0).writeByte(0x92).writeByte(answer).writeByte(0x80);
    }

    /** @param value of the one field, or null for none */
    static ByteBuf error(ByteBufAllocator buffers, long id, String word, String field, String value) {
        ByteBuf out = begin(buffers, id).writeByte(0x92);
        text(out, word);
        out.writeByte(value == null ? 0x80 : 0x81);
        if (value != null) {
            text(out, field);
            text(out, value);
        }
        return out.writeByte(0xc0);
    }

    private static ByteBuf begin(ByteBufAllocator buffers, long id) {
        ByteBuf out = buffers.buffer(64).writeByte(0x94).writeByte(1);
        if (id < 0x80) {
            out.writeByte((int) id);
        } else if (id < 1L << 32) {
            out.writeByte(0xce).writeInt((int) id);
        } else {
            out.writeByte(0xcf).writeLong(id);
        }
        return out;
    }

    private static void text(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, 255);
        out.writeByte(0xd9).writeByte(length).writeBytes(bytes, 0, length);
    }
}
