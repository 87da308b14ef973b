package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Memory is lacking for one part of a message: nothing of it is written, and what follows is whole. */
class WholeMessagesTest {
    private static final String COMMAND = "*3\r\n$5\r\nfetch\r\n$2\r\nid\r\n$6\r\nselect\r\n";
    private static final int PARTS = 16;

    /** Gives no memory for one of its buffers. */
    private static final class Lacking extends AbstractByteBufAllocator {
        private int left;

        Lacking(int which) {
            super(true);
            left = which;
        }

        private void count() {
            if (left-- == 0) {
                throw new OutOfMemoryError("forced");
            }
        }

        @Override
        protected ByteBuf newHeapBuffer(int initial, int most) {
            count();
            return UnpooledByteBufAllocator.DEFAULT.heapBuffer(initial, most);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initial, int most) {
            count();
            return UnpooledByteBufAllocator.DEFAULT.directBuffer(initial, most);
        }

        @Override
        public boolean isDirectBufferPooled() {
            return false;
        }
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static ArrayRedisMessage command() {
        return new ArrayRedisMessage(Stream.of("fetch", "id", "select")
                .map(word -> (RedisMessage) new FullBulkStringRedisMessage(bytes(word))).toList());
    }

    private static String written(EmbeddedChannel channel) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            all.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return all.toString();
    }

    @Example
    void aCommandToAnEngineIsWrittenWholeOrNotAtAll() {
        int failed = 0;
        for (int which = 0; which < PARTS; which++) {
            EmbeddedChannel channel = new EmbeddedChannel();
            channel.config().setAllocator(new Lacking(which));
            channel.pipeline().addLast(new WholeCommandEncoder());
            channel.write(command());
            channel.flush();
            String first = written(channel);
            assertTrue(first.isEmpty() || first.equals(COMMAND), which + ": " + first);
            if (first.isEmpty()) {
                failed++;
                channel.writeOutbound(command());
                assertEquals(COMMAND, written(channel));
            }
        }
        assertTrue(failed > 2, failed + " of " + PARTS + " failed");
    }

    @Example
    void aResultIsMadeWholeOrNotAtAllAndThePagesStayTheirOwners() {
        List<ByteBuf> pages = List.of(bytes("a\tb\tc\n"), bytes("d\te\tf\n"));
        String whole = ByteBufUtil.hexDump(RpcWriter.rows(UnpooledByteBufAllocator.DEFAULT, 7, pages));
        int failed = 0;
        for (int which = 0; which < PARTS; which++) {
            Lacking buffers = new Lacking(which);
            int before = pages.get(0).refCnt();
            if (which < 2) {
                assertThrows(OutOfMemoryError.class, () -> RpcWriter.rows(buffers, 7, pages));
                failed++;
                assertEquals(before, pages.get(0).refCnt());
            } else {
                ByteBuf made = RpcWriter.rows(buffers, 7, pages);
                assertEquals(whole, ByteBufUtil.hexDump(made));
                made.release();
            }
        }
        assertEquals(2, failed);
    }
}
