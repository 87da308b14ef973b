package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Hands a command to the socket as one message, or not at all. Where memory for one of its parts is lacking,
 * Netty's encoder writes the parts before it all the same: the engine would take the next command for the
 * rest of this one, and run what no client has sent.
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
