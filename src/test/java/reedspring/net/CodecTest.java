package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.redis.RedisDecoder;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;
import reedspring.rig.Client;

/** Tests the codecs with fragments of any size and with invalid input. */
class CodecTest {
    private static Limits limits() {
        try {
            return new Limits(new DeploymentReader(Map.of()), 1024, 192);
        } catch (InvalidConfigurationException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] concatenate(List<byte[]> parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        parts.forEach(out::writeBytes);
        return out.toByteArray();
    }

    /** Writes the bytes in fragments of random sizes and returns the decoded messages. */
    private static List<Object> feedFragments(EmbeddedChannel channel, byte[] bytes,
            SplittableRandom random) {
        List<Object> decoded = new ArrayList<>();
        for (int at = 0; at < bytes.length; ) {
            int size = Math.min(bytes.length - at, 1 + random.nextInt(random.nextInt(4) == 0 ? 3000 : 9));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, size));
            at += size;
            for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
                decoded.add(next);
            }
        }
        return decoded;
    }

    private static String textAndRelease(ByteBuf body) {
        String text = body.toString(StandardCharsets.ISO_8859_1);
        body.release();
        return text;
    }

    @Property(tries = 60, seed = "31")
    void requestsAreDecodedFromAnyFragments(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EmbeddedChannel channel = new EmbeddedChannel(new RpcDecoder(limits(), more -> true));
        List<byte[]> sent = new ArrayList<>();
        List<String> statements = new ArrayList<>();
        for (int id = 0; id < 20; id++) {
            statements.add("s".repeat(random.nextInt(random.nextInt(6) == 0 ? 70_000 : 40)));
            sent.add(Client.query(id, Client.trace(), id, statements.get(id)));
            sent.add(Client.pack(List.of(2, "revoke", List.of(id))));
            sent.add(Client.pack(List.of(1, id, "passed over", Map.of("a", List.of(1, Map.of())))));
        }
        List<Object> decoded = feedFragments(channel, concatenate(sent), random);
        assertEquals(40, decoded.size());
        for (int id = 0; id < 20; id++) {
            RpcDecoder.Request call = (RpcDecoder.Request) decoded.get(2 * id);
            assertEquals((long) id, call.id());
            assertEquals("lookup", call.method());
            assertEquals(Integer.toString(id), call.fields().get("patience"));
            assertNull(call.fault());
            assertEquals(statements.get(id), textAndRelease(call.body()));
            assertEquals(new RpcDecoder.Notification("revoke", id), decoded.get(2 * id + 1));
        }
        assertFalse(channel.finish());
    }

    /** Invalid input may at most close its own connection, and must not cause unbounded allocation. */
    @Property(tries = 400, seed = "32")
    void randomInputIsDecodedOrRejected(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] input = new byte[1 + random.nextInt(600)];
        random.nextBytes(input);
        byte[] request = Client.query(1, Client.trace(), 5, "select");
        if (random.nextBoolean()) {
            // An almost valid input: a request with some bytes changed.
            for (int k = 0; k < 1 + random.nextInt(4); k++) {
                request[random.nextInt(request.length)] = input[0];
            }
            input = request;
        }
        decodeOrReject(new EmbeddedChannel(new RpcDecoder(limits(), more -> true)), input, random);
        decodeOrReject(new EmbeddedChannel(new RedisDecoder(), new AnswerDecoder(limits())), input, random);
        StatementScanner.findDataSet(Unpooled.wrappedBuffer(input));
        eventStream(1000, (id, data) -> assertTrue(data.length() <= 1000))
                .feed(Unpooled.wrappedBuffer(input));
        try {
            Json.read(new String(input, StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            // rejected, as nearly all random input is
        }
    }

    private static void decodeOrReject(EmbeddedChannel channel, byte[] input, SplittableRandom random) {
        try {
            feedFragments(channel, input, random);
            channel.finishAndReleaseAll();
        } catch (DecoderException e) {
            channel.close();
        }
    }

    @Example
    void aMessageOverALimitIsRejectedBeforeItIsComplete() {
        for (byte[] head : List.of(new byte[] {(byte) 0xc6, 0, 16, 0, 0},
                new byte[] {(byte) 0xdd, 0, 1, 0, 0},
                new byte[] {(byte) 0xdf, 127, -1, -1, -1}, new byte[] {(byte) 0xc1})) {
            EmbeddedChannel channel = new EmbeddedChannel(new RpcDecoder(limits(), more -> true));
            assertThrows(DecoderException.class, () -> channel.writeInbound(Unpooled.wrappedBuffer(head)));
        }
        byte[] deep = new byte[300];
        java.util.Arrays.fill(deep, (byte) 0x91);
        EmbeddedChannel channel = new EmbeddedChannel(new RpcDecoder(limits(), more -> true));
        assertThrows(DecoderException.class, () -> channel.writeInbound(Unpooled.wrappedBuffer(deep)));
        assertThrows(IOException.class, () -> Json.read("[".repeat(100_000)));
        EmbeddedChannel engine = new EmbeddedChannel(new RedisDecoder(), new AnswerDecoder(limits()));
        assertThrows(DecoderException.class, () -> engine.writeInbound(Unpooled.copiedBuffer(
                "*4\r\n$1\r\na\r\n$4\r\ndata\r\n$1\r\n-\r\n$6001\r\n", StandardCharsets.US_ASCII)));
    }

    /** Without memory, a large request is skipped and reported with its id; the next message is decoded. */
    @Property(tries = 40, seed = "35")
    void aRequestWithoutMemoryForItIsSkipped(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EmbeddedChannel channel = new EmbeddedChannel(new RpcDecoder(limits(), more -> more <= 0));
        byte[] sent = concatenate(List.of(Client.query(1, Client.trace(), 5, "s".repeat(30_000)),
                Client.pack(List.of(2, "revoke", List.of(9)))));
        assertEquals(List.of(new RpcDecoder.Refused(1), new RpcDecoder.Notification("revoke", 9)),
                feedFragments(channel, sent, random));
    }

    @Property(tries = 60, seed = "33")
    void engineAnswersAreDecodedFromAnyFragments(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        StringBuilder sent = new StringBuilder();
        List<String> bodies = new ArrayList<>();
        for (int k = 0; k < 30; k++) {
            String body = "r\t\u00e9\r\n".repeat(random.nextInt(random.nextInt(3) == 0 ? 1200 : 3));
            bodies.add(body);
            sent.append("*4\r\n$2\r\nid\r\n$4\r\ndata\r\n$20\r\nsheets=2,rep=a:1;b:2\r\n")
                    .append('$').append(body.length()).append("\r\n").append(body).append("\r\n");
        }
        EmbeddedChannel channel = new EmbeddedChannel(new RedisDecoder(), new AnswerDecoder(limits()));
        List<Object> decoded = feedFragments(channel,
                sent.toString().getBytes(StandardCharsets.ISO_8859_1), random);
        assertEquals(30, decoded.size());
        for (int k = 0; k < 30; k++) {
            AnswerDecoder.Answer answer = (AnswerDecoder.Answer) decoded.get(k);
            assertEquals(List.of("id", "data", Map.of("sheets", "2", "rep", "a:1;b:2"), bodies.get(k)),
                    List.of(answer.id(), answer.kind(), answer.fields(), textAndRelease(answer.body())));
        }
        assertFalse(channel.finish());
    }

    @Example
    void anAnswerOfAnotherFormIsRejected() {
        for (String text : List.of("+OK\r\n", "*3\r\n", "*-1\r\n", "*4\r\n:1\r\n", "*4\r\n$-1\r\n",
                "*4\r\n*4\r\n")) {
            EmbeddedChannel channel = new EmbeddedChannel(new RedisDecoder(), new AnswerDecoder(limits()));
            assertThrows(CorruptedFrameException.class, () -> channel.writeInbound(
                    Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII)), text);
        }
    }

    private static EventStream eventStream(int maxBytes, BiConsumer<String, String> reader) {
        return new EventStream(maxBytes, 64, new EventStream.Listener() {
            @Override
            public void event(String id, byte[] data, int length) {
                reader.accept(id, new String(data, 0, length, StandardCharsets.UTF_8));
            }

            @Override
            public void eventTooLong(String id, long bytes) {
                assertTrue(bytes > maxBytes, bytes + " bytes");
                reader.accept(id, "too long");
            }
        });
    }

    /** Skipping an oversized event loses no other; only a whole line, or 64 bytes of one, is activity. */
    @Property(tries = 60, seed = "35")
    void anOversizedEventIsReportedAndTheNextIsRead(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> seen = new ArrayList<>();
        EventStream events = eventStream(200, (id, data) -> seen.add(id + "|" + data));
        String end = List.of("\n", "\r\n", "\r").get(random.nextInt(3));
        String fits = "x".repeat(200 - "data: ".length());
        String half = "data: " + "y".repeat(100);
        byte[] sent = String.join(end, "id: 1", "data: " + fits, "", "id: 2", "data: " + fits + "x", "",
                "id: 3", half, half, "data: z", "", "", ":" + "c".repeat(300), "data: lost with it", "",
                "id: 4", "data: whole", "", "")
                .getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < sent.length; ) {
            int size = Math.min(sent.length - at, 1 + random.nextInt(12));
            events.feed(Unpooled.wrappedBuffer(sent, at, size));
            at += size;
        }
        assertEquals(List.of("1|" + fits, "2|too long", "3|too long", "3|too long", "4|whole"), seen);
        assertFalse(events.feed(Unpooled.wrappedBuffer("z".repeat(63).getBytes(StandardCharsets.UTF_8))));
        assertTrue(events.feed(Unpooled.wrappedBuffer("z".getBytes(StandardCharsets.UTF_8))));
    }

    @Property(tries = 60, seed = "34")
    void eventsAreDecodedFromAnyFragments(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> seen = new ArrayList<>();
        EventStream events = eventStream(1 << 16, (id, data) -> seen.add(id + "|" + data));
        String end = List.of("\n", "\r\n", "\r").get(random.nextInt(3));
        byte[] sent = String.join(end, ": hello", "", "id: 7", "event: odd",
                "data: {\"a\":", "data:\"\u00e9\"}",
                "", "", "retry", "data", "", "id:8", "", "data:  x", "", "data: cut off")
                .getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < sent.length; ) {
            int size = Math.min(sent.length - at, 1 + random.nextInt(12));
            events.feed(Unpooled.wrappedBuffer(sent, at, size));
            at += size;
        }
        assertEquals(List.of("7|{\"a\":\n\"\u00e9\"}", "7|", "8| x"), seen);
    }

    @Example
    void theTableGroupIsTheNumberInTheSchemaName() {
        Map<String, Long> groups = new java.util.LinkedHashMap<>();
        groups.put("select * from sales_17.orders", 17L);
        groups.put("SELECT a_3.x FROM \"sales_5\" . \"or\"\"ders\" AS a_3", 5L);
        groups.put("select 'from sales_1.t', 'it''s from b_2.t' from sales_3.t", 3L);
        groups.put("select 1 -- from sales_1.t\nfrom /* x_2.t **/ sales_4.t", 4L);
        groups.put("insert into staging.copy_9 select * from shop_12.orders", 12L);
        groups.put("update db.`shop_8`.t set x = 1", 8L);
        groups.put("truncate shop_6.t", 6L);
        groups.put("select * from staging.t_1", -1L);
        groups.put("select orders_17 from sales17.t", -1L);
        groups.put("select * from s_99999999999999999999.t", -1L);
        groups.put("select * from _7.t", -1L);
        groups.put("select 'open from sales_1.t", -1L);
        groups.put("/* open from sales_1.t", -1L);
        groups.put("", -1L);
        groups.forEach((statement, group) -> {
            ByteBuf text = Unpooled.copiedBuffer(statement, StandardCharsets.UTF_8);
            assertEquals(group, StatementScanner.findDataSet(text).value(), statement);
        });
    }

    @Example
    void aJumpOfTheSystemClockMovesNoDeadline() {
        long[] unix = {5_000_000};
        long[] monotonic = {77};
        Clock clock = new Clock(() -> unix[0], () -> monotonic[0]);
        assertEquals(5_000_000, clock.now());
        unix[0] += 36_000_000;
        monotonic[0] += 2_000_000;
        assertEquals(5_000_020, clock.now());
        // A time from another machine, whose clock jumped as well: one second ago.
        assertEquals(5_000_020 - 10_000, clock.engineStartFromUnixMs((unix[0] - 10_000) / 10));
        assertEquals(0, clock.engineStartFromUnixMs(0), "long ago");
    }

    /**
     * The clock is stepped on this machine alone, on all machines, or on none. An engine that started a
     * second ago must count as started then or later, so that it never passes for a warm one.
     */
    @Example
    void aStepOfTheSystemClockMakesNoColdEngineWarm() {
        long second = 10_000;
        for (long step : new long[] {0, 5 * second, -5 * second, 3_600 * second, -3_600 * second}) {
            for (boolean allMachines : new boolean[] {true, false}) {
                long[] unix = {5_000_000_000L};
                long[] monotonic = {77};
                Clock clock = new Clock(() -> unix[0], () -> monotonic[0]);
                unix[0] += step + 60 * second;
                monotonic[0] += 60 * second * 100_000;
                long expected = clock.now() - second;
                long reported = unix[0] - second - (allMachines ? 0 : step);
                long started = clock.engineStartFromUnixMs(reported / 10);
                assertTrue(started >= expected && started <= clock.now(), "step " + step + ", everywhere "
                        + allMachines + ": " + (started - expected) + " after the truth");
            }
        }
    }
}
