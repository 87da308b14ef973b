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
 * Puts an engine's answer together from what Netty's RESP decoder reads. Netty's own aggregators have no
 * limit on sizes, and one engine must not fill the front.
 */
final class AnswerDecoder extends ChannelInboundHandlerAdapter {
    private static final int PARTS = 4;
    private static final int HEAD_BYTES = "*4\r\n".length();
    private static final int FRAME_BYTES = "$\r\n\r\n".length();

    private final Limits limits;
    private final ByteBuf[] parts = new ByteBuf[PARTS];
    private int wanted;
    private int came;
    private ByteBuf part = Unpooled.EMPTY_BUFFER;
    private int partBytes;
    private int answerBytes;
    private long bytes;

    AnswerDecoder(Limits limits) {
        this.limits = limits;
    }

    /** The bytes of all that has come whole, as engines write it. */
    long bytes() {
        return bytes;
    }

    /** The body is the receiver's to release. */
    record Answer(String id, String word, Map<String, String> fields, ByteBuf body) {
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        boolean kept = false;
        if (!ctx.channel().isOpen()) {
            // What was read together with a malformed answer, behind it.
            ReferenceCountUtil.release(message);
            return;
        }
        try {
            if (message instanceof ArrayHeaderRedisMessage header) {
                if (wanted != 0 || header.isNull() || header.length() != PARTS) {
                    throw new CorruptedFrameException("an answer is an array of " + PARTS);
                }
                wanted = PARTS;
                answerBytes = HEAD_BYTES;
            } else if (wanted == 0) {
                throw new CorruptedFrameException("an answer begins with an array");
            } else if (message instanceof BulkStringHeaderRedisMessage header) {
                partBytes = header.bulkStringLength();
                if (partBytes > (came == PARTS - 1 ? limits.pageBytes : limits.headBytes)) {
                    throw new CorruptedFrameException("a string of " + partBytes + " bytes");
                }
            } else if (message instanceof FullBulkStringRedisMessage full) {
                // Netty gives one for the empty and for the null string only.
                if (full.isNull()) {
                    throw new CorruptedFrameException("a null string");
                }
                end(ctx, Unpooled.EMPTY_BUFFER);
            } else if (message instanceof BulkStringRedisContent content) {
                boolean last = content instanceof LastBulkStringRedisContent;
                if (last && !part.isReadable()) {
                    kept = true;
                    end(ctx, content.content());
                } else {
                    if (part == Unpooled.EMPTY_BUFFER) {
                        part = ctx.alloc().buffer(partBytes);
                    }
                    part.writeBytes(content.content());
                    if (last) {
                        ByteBuf whole = part;
                        part = Unpooled.EMPTY_BUFFER;
                        end(ctx, whole);
                    }
                }
            } else {
                throw new CorruptedFrameException("an answer holds bulk strings only");
            }
        } finally {
            if (!kept) {
                ReferenceCountUtil.release(message);
            }
        }
    }

    private void end(ChannelHandlerContext ctx, ByteBuf whole) {
        parts[came++] = whole;
        answerBytes += FRAME_BYTES + Integer.toString(whole.readableBytes()).length() + whole.readableBytes();
        if (came < wanted) {
            return;
        }
        wanted = 0;
        came = 0;
        bytes += answerBytes;
        Answer answer = new Answer(text(0), text(1), fields(text(2)), parts[3]);
        parts[3] = null;
        ctx.fireChannelRead(answer);
    }

    private String text(int at) {
        String text = parts[at].toString(StandardCharsets.UTF_8);
        parts[at].release();
        parts[at] = null;
        return text;
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (int from = 0; from < text.length() && !text.equals("-"); ) {
            int comma = text.indexOf(',', from);
            int to = comma < 0 ? text.length() : comma;
            int equals = text.indexOf('=', from);
            if (equals > from && equals < to) {
                fields.put(text.substring(from, equals), text.substring(equals + 1, to));
            }
            from = to + 1;
        }
        return fields;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        for (int k = 0; k < PARTS; k++) {
            if (parts[k] != null) {
                parts[k].release();
                parts[k] = null;
            }
        }
        part.release();
        part = Unpooled.EMPTY_BUFFER;
        ctx.fireChannelInactive();
    }
}
