package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Writes a command as one message or not at all. If the allocation of one part fails, Netty's encoder still
 * writes the parts before it: the engine would then read the next command as the remainder of this one and
 * run a statement that no client has sent.
 */
final class WholeCommandEncoder extends RedisEncoder {
    @Override
    protected void encode(ChannelHandlerContext ctx, RedisMessage command, List<Object> parts)
            throws Exception {
        boolean whole = false;
        try {
            super.encode(ctx, command, parts);
            CompositeByteBuf joined = ctx.alloc().compositeBuffer(parts.size());
            parts.forEach(part -> joined.addComponent(true, (ByteBuf) part));
            parts.clear();
            parts.add(joined);
            whole = true;
        } finally {
            if (!whole) {
                parts.forEach(ReferenceCountUtil::safeRelease);
                parts.clear();
            }
        }
    }
}
