package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes answers to clients; result rows are sent from the engine's buffers without a copy. */
final class RpcWriter {
    private RpcWriter() {
    }

    /**
     * Encodes a result as one message. If an allocation fails, nothing is written, so that the next message
     * can't be mistaken for the rest of this one.
     *
     * @param pages the rows, which are retained and stay the caller's
     * @param fields up to 15 fields, name and value in turn
     */
    static ByteBuf result(ByteBufAllocator allocator, long id, List<ByteBuf> pages, String... fields) {
        int length = pages.stream().mapToInt(ByteBuf::readableBytes).sum();
        CompositeByteBuf message = allocator.compositeBuffer(pages.size() + 2);
        try {
            message.addComponent(true, resultHead(allocator, id, length));
            pages.forEach(page -> message.addComponent(true, page.retain()));
            return message.addComponent(true, resultTail(allocator, fields));
        } catch (RuntimeException | Error e) {
            message.release();
            throw e;
        }
    }

    /** Encodes what precedes a result of {@code length} bytes. */
    private static ByteBuf resultHead(ByteBufAllocator allocator, long id, int length) {
        ByteBuf out = beginResponse(allocator, id);
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

    /** Encodes what follows a result: up to 15 fields, name and value in turn. */
    private static ByteBuf resultTail(ByteBufAllocator allocator, String... fields) {
        ByteBuf out = allocator.buffer(128).writeByte(0x80 | fields.length / 2);
        for (String field : fields) {
            writeText(out, field);
        }
        return out;
    }

    /** Encodes the answer to a heartbeat: whether the front is ready. */
    static ByteBuf heartbeat(ByteBufAllocator allocator, long id, boolean ready) {
        int answer = ready ? 0xc3 : 0xc2;
        return beginResponse(allocator, id).writeByte(0xc0).writeByte(0x92).writeByte(answer).writeByte(0x80);
    }

    /**
     * Encodes an error with one field at most.
     *
     * @param value of the field, or null for no field
     */
    static ByteBuf error(ByteBufAllocator allocator, long id, String name, String field, String value) {
        ByteBuf out = beginResponse(allocator, id).writeByte(0x92);
        writeText(out, name);
        out.writeByte(value == null ? 0x80 : 0x81);
        if (value != null) {
            writeText(out, field);
            writeText(out, value);
        }
        return out.writeByte(0xc0);
    }

    private static ByteBuf beginResponse(ByteBufAllocator allocator, long id) {
        ByteBuf out = allocator.buffer(64).writeByte(0x94).writeByte(1);
        if (id < 0x80) {
            out.writeByte((int) id);
        } else if (id < 1L << 32) {
            out.writeByte(0xce).writeInt((int) id);
        } else {
            out.writeByte(0xcf).writeLong(id);
        }
        return out;
    }

    private static void writeText(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, 255);
        out.writeByte(0xd9).writeByte(length).writeBytes(bytes, 0, length);
    }
}
