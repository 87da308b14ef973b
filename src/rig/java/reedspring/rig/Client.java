package reedspring.rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A blocking MessagePack-RPC client. It has a codec of its own, so that a fault in the front's codec does not
 * cancel itself out in tests.
 */
public final class Client implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    public final Socket socket;
    private final DataInputStream in;
    private static final AtomicLong TRACES = new AtomicLong(0x1234_5678_9abc_def0L);

    public Client(int port) throws IOException {
        this(port, Integer.MAX_VALUE);
    }

    /** Connects to an address of the form {@code host:port}. */
    public Client(String address) throws IOException {
        this(new InetSocketAddress(address.substring(0, address.indexOf(':')),
                Integer.parseInt(address.substring(address.indexOf(':') + 1))), Integer.MAX_VALUE);
    }

    /** Connects with a read rate limit and, to make it effective, a small kernel receive buffer. */
    public Client(int port, int bytesPerSecond) throws IOException {
        this(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), bytesPerSecond);
    }

    private Client(InetSocketAddress serverAddress, int bytesPerSecond) throws IOException {
        socket = new Socket();
        if (bytesPerSecond < Integer.MAX_VALUE) {
            socket.setReceiveBufferSize(2048);
        }
        socket.connect(serverAddress, CONNECT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) Rig.TIMEOUT_S * 1000);
        in = new DataInputStream(bytesPerSecond < Integer.MAX_VALUE
                ? new ThrottledInputStream(socket.getInputStream(), bytesPerSecond)
                : new BufferedInputStream(socket.getInputStream()));
    }

    /** Limits the read rate: every 100 ms lets a tenth of the bytes per second through. */
    private static final class ThrottledInputStream extends FilterInputStream {
        private final int bytesPerInterval;
        private int remainingBytes;

        ThrottledInputStream(InputStream in, int bytesPerSecond) {
            super(in);
            bytesPerInterval = Math.max(1, bytesPerSecond / 10);
        }

        @Override
        public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws IOException {
            if (remainingBytes == 0) {
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    throw new InterruptedIOException();
                }
                remainingBytes = bytesPerInterval;
            }
            int bytesRead = super.read(buffer, offset, Math.min(length, remainingBytes));
            remainingBytes -= Math.max(0, bytesRead);
            return bytesRead;
        }
    }

    public static String trace() {
        return String.format("%016x", TRACES.incrementAndGet());
    }

    public static Map<String, Object> fields(String trace, int patienceMs) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("trace", trace);
        fields.put("patience", Integer.toString(patienceMs));
        fields.put("customer", "acme");
        fields.put("weight", "4.0");
        fields.put("need_mb", "1");
        return fields;
    }

    public static byte[] query(int id, String trace, int patienceMs, String statement) {
        return pack(List.of(0, id, "lookup", List.of(fields(trace, patienceMs),
                statement.getBytes(StandardCharsets.UTF_8))));
    }

    public Client send(byte[]... messages) throws IOException {
        for (byte[] message : messages) {
            socket.getOutputStream().write(message);
        }
        return this;
    }

    /** The next message, as lists, maps, text, bytes and figures. */
    public List<?> read() throws IOException {
        return (List<?>) unpack(in);
    }

    /** Reads {@code count} answers and returns them by id, in order of arrival. */
    public Map<Long, List<?>> read(int count) throws IOException {
        Map<Long, List<?>> answers = new LinkedHashMap<>();
        for (int k = 0; k < count; k++) {
            List<?> answer = read();
            Rig.require(answers.put((Long) answer.get(1), answer) == null,
                    "two answers to one request: " + answer);
        }
        return answers;
    }

    /** Whether the front has closed the connection with no unread bytes before the end of the stream. */
    public boolean closedByFront() throws IOException {
        try {
            return in.read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    /** The result rows of an answer as text, or null if the answer is an error. */
    public static String rows(List<?> answer) {
        return answer.get(2) != null ? null
                : new String((byte[]) ((List<?>) answer.get(3)).get(0), StandardCharsets.UTF_8);
    }

    public static Object error(List<?> answer) {
        return answer.get(2) == null ? null : ((List<?>) answer.get(2)).get(0);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    public static byte[] pack(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            pack(value, new DataOutputStream(out));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static void pack(Object value, DataOutputStream out) throws IOException {
        if (value instanceof Integer number) {
            out.writeByte(0xd2);
            out.writeInt(number);
        } else if (value instanceof String text) {
            out.writeByte(0xdb);
            out.writeInt(text.length());
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        } else if (value instanceof byte[] bytes) {
            out.writeByte(0xc6);
            out.writeInt(bytes.length);
            out.write(bytes);
        } else if (value instanceof List<?> list) {
            out.writeByte(0xdc);
            out.writeShort(list.size());
            for (Object item : list) {
                pack(item, out);
            }
        } else if (value instanceof Map<?, ?> map) {
            out.writeByte(0xde);
            out.writeShort(map.size());
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                pack(entry.getKey(), out);
                pack(entry.getValue(), out);
            }
        } else {
            out.writeByte(0xc0);
        }
    }

    private static Object unpack(DataInputStream in) throws IOException {
        int type = in.readUnsignedByte();
        return switch (type) {
            case 0xc0 -> null;
            case 0xc2 -> false;
            case 0xc3 -> true;
            case 0xc4 -> in.readNBytes(in.readUnsignedByte());
            case 0xc5 -> in.readNBytes(in.readUnsignedShort());
            case 0xce -> in.readInt() & 0xffff_ffffL;
            case 0xd9 -> new String(in.readNBytes(in.readUnsignedByte()), StandardCharsets.UTF_8);
            default -> {
                if (type < 0x80) {
                    yield (long) type;
                }
                List<Object> items = new ArrayList<>();
                Rig.require(type < 0xa0, "unexpected MessagePack type from the front: " + type);
                for (int remaining = (type & 0xf) * (type < 0x90 ? 2 : 1); remaining > 0; remaining--) {
                    items.add(unpack(in));
                }
                yield items;
            }
        };
    }
}
