package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * Assembles engine answers from the output of Netty's RESP decoder. Netty's own aggregators don't limit
 * sizes, so with them one engine could exhaust the front's memory.
 */
final class AnswerDecoder extends ChannelInboundHandlerAdapter {
    private static final int ANSWER_PARTS = 4;
    private static final int ARRAY_HEADER_BYTES = "*4\r\n".length();
    private static final int BULK_STRING_OVERHEAD_BYTES = "$\r\n\r\n".length();

    private final Limits limits;
    private final ByteBuf[] parts = new ByteBuf[ANSWER_PARTS];
    private int expectedParts;
    private int receivedParts;
    private ByteBuf partBuffer = Unpooled.EMPTY_BUFFER;
    private int partLength;
    private int answerBytes;
    private long decodedBytes;
    private long answerCount;

    AnswerDecoder(Limits limits) {
        this.limits = limits;
    }

    /** The encoded size of all complete answers so far, in bytes. */
    long decodedBytes() {
        return decodedBytes;
    }

    /** The number of complete answers so far. */
    long answerCount() {
        return answerCount;
    }

    /** One complete answer. The receiver releases the body. */
    record Answer(String id, String kind, Map<String, String> fields, ByteBuf body) {
        /** Returns a numeric field, or the default if it is missing. */
        double number(String field, double defaultValue) {
            String value = fields.get(field);
            try {
                double number = value == null ? defaultValue : Double.parseDouble(value);
                if (Math.abs(number) < 1e12) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // reported below, like numbers outside the plausible range
            }
            throw new CorruptedFrameException(field + " is not a valid number");
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        boolean passedOn = false;
        if (!ctx.channel().isOpen()) {
            // Read in the same batch as a malformed answer, after it.
            ReferenceCountUtil.release(message);
            return;
        }
        try {
            if (message instanceof ArrayHeaderRedisMessage header) {
                if (expectedParts != 0 || header.isNull() || header.length() != ANSWER_PARTS) {
                    throw new CorruptedFrameException("an answer must be an array of " + ANSWER_PARTS);
                }
                expectedParts = ANSWER_PARTS;
                answerBytes = ARRAY_HEADER_BYTES;
            } else if (expectedParts == 0) {
                throw new CorruptedFrameException("an answer must begin with an array header");
            } else if (message instanceof BulkStringHeaderRedisMessage header) {
                partLength = header.bulkStringLength();
                if (partLength > (receivedParts == ANSWER_PARTS - 1 ? limits.pageBytes : limits.headBytes)) {
                    throw new CorruptedFrameException(
                            "bulk string of " + partLength + " bytes exceeds the limit");
                }
            } else if (message instanceof FullBulkStringRedisMessage full) {
                // Netty emits a full bulk string only for the empty and the null string.
                if (full.isNull()) {
                    throw new CorruptedFrameException("null bulk string in an answer");
                }
                addPart(ctx, Unpooled.EMPTY_BUFFER);
            } else if (message instanceof BulkStringRedisContent content) {
                boolean last = content instanceof LastBulkStringRedisContent;
                if (last && !partBuffer.isReadable()) {
                    passedOn = true;
                    addPart(ctx, content.content());
                } else {
                    if (partBuffer == Unpooled.EMPTY_BUFFER) {
                        partBuffer = ctx.alloc().buffer(partLength);
                    }
                    partBuffer.writeBytes(content.content());
                    if (last) {
                        ByteBuf completePart = partBuffer;
                        partBuffer = Unpooled.EMPTY_BUFFER;
                        addPart(ctx, completePart);
                    }
                }
            } else {
                throw new CorruptedFrameException("an answer may contain only bulk strings");
            }
        } finally {
            if (!passedOn) {
                ReferenceCountUtil.release(message);
            }
        }
    }

    private void addPart(ChannelHandlerContext ctx, ByteBuf part) {
        parts[receivedParts++] = part;
        answerBytes += BULK_STRING_OVERHEAD_BYTES + Integer.toString(part.readableBytes()).length()
                + part.readableBytes();
        if (receivedParts < expectedParts) {
            return;
        }
        expectedParts = 0;
        receivedParts = 0;
        decodedBytes += answerBytes;
        answerCount++;
        Answer answer = new Answer(takeText(0), takeText(1), parseFields(takeText(2)), parts[3]);
        parts[3] = null;
        ctx.fireChannelRead(answer);
    }

    private String takeText(int index) {
        String text = parts[index].toString(StandardCharsets.UTF_8);
        parts[index].release();
        parts[index] = null;
        return text;
    }

    private static Map<String, String> parseFields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (int start = 0; start < text.length() && !text.equals("-"); ) {
            int comma = text.indexOf(',', start);
            int end = comma < 0 ? text.length() : comma;
            int equals = text.indexOf('=', start);
            if (equals > start && equals < end) {
                fields.put(text.substring(start, equals), text.substring(equals + 1, end));
            }
            start = end + 1;
        }
        return fields;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        for (int k = 0; k < ANSWER_PARTS; k++) {
            if (parts[k] != null) {
                parts[k].release();
                parts[k] = null;
            }
        }
        partBuffer.release();
        partBuffer = Unpooled.EMPTY_BUFFER;
        ctx.fireChannelInactive();
    }
}
