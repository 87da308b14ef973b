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

/** If memory for one part of a message is lacking, none of it is written, and the next message is whole. */
class WholeMessagesTest {
    private static final String COMMAND = "*3\r\n$5\r\nfetch\r\n$2\r\nid\r\n$6\r\nselect\r\n";
    private static final int ALLOCATIONS = 16;

    /** Fails one allocation, counted from 0. */
    private static final class FailingAllocator extends AbstractByteBufAllocator {
        private int remaining;

        FailingAllocator(int failingAllocation) {
            super(true);
            remaining = failingAllocation;
        }

        private void countAllocation() {
            if (remaining-- == 0) {
                throw new OutOfMemoryError("forced");
            }
        }

        @Override
        protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
            countAllocation();
            return UnpooledByteBufAllocator.DEFAULT.heapBuffer(initialCapacity, maxCapacity);
        }

        @Override
        protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
            countAllocation();
            return UnpooledByteBufAllocator.DEFAULT.directBuffer(initialCapacity, maxCapacity);
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
    void engineCommandIsWrittenWholeOrNotAtAll() {
        int failed = 0;
        for (int failingAllocation = 0; failingAllocation < ALLOCATIONS; failingAllocation++) {
            EmbeddedChannel channel = new EmbeddedChannel();
            channel.config().setAllocator(new FailingAllocator(failingAllocation));
            channel.pipeline().addLast(new WholeCommandEncoder());
            channel.write(command());
            channel.flush();
            String first = written(channel);
            assertTrue(first.isEmpty() || first.equals(COMMAND), failingAllocation + ": " + first);
            if (first.isEmpty()) {
                failed++;
                channel.writeOutbound(command());
                assertEquals(COMMAND, written(channel));
            }
        }
        assertTrue(failed > 2, failed + " of " + ALLOCATIONS + " failed");
    }

    @Example
    void resultIsEncodedWholeOrNotAtAllAndPagesAreNotReleased() {
        List<ByteBuf> pages = List.of(bytes("a\tb\tc\n"), bytes("d\te\tf\n"));
        String expected = ByteBufUtil.hexDump(RpcWriter.result(UnpooledByteBufAllocator.DEFAULT, 7, pages));
        int failed = 0;
        for (int failingAllocation = 0; failingAllocation < ALLOCATIONS; failingAllocation++) {
            FailingAllocator allocator = new FailingAllocator(failingAllocation);
            int refCountBefore = pages.get(0).refCnt();
            if (failingAllocation < 2) {
                assertThrows(OutOfMemoryError.class, () -> RpcWriter.result(allocator, 7, pages));
                failed++;
                assertEquals(refCountBefore, pages.get(0).refCnt());
            } else {
                ByteBuf result = RpcWriter.result(allocator, 7, pages);
                assertEquals(expected, ByteBufUtil.hexDump(result));
                result.release();
            }
        }
        assertEquals(2, failed);
    }
}
