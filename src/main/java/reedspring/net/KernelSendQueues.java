package reedspring.net;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How many bytes of each client connection the peer's kernel has not acknowledged, from Linux's tables of
 * sockets. A kernel takes further bytes of a connection only once a third of its buffer is free, so a client
 * that reads slowly can't be told by the writes from one that reads nothing. A table is read at most once in
 * an interval, and only when asked; without the tables nothing is known. Confined to the event loop.
 */
final class KernelSendQueues {
    /** Unacknowledged bytes of a connection that is not in the tables. */
    static final long UNKNOWN = -1;
    private static final long MIN_INTERVAL_TICKS = 20_000;
    /** The tables also hold other programs' sockets; a turn of the loop must stay short. */
    private static final int MAX_LINES = 20_000;
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int HEX_RADIX = 16;
    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int REMOTE_ADDRESS_COLUMN = 2;
    private static final int QUEUES_COLUMN = 4;
    /** The last four bytes of an address in hexadecimal digits, and the port. */
    private static final int KEY_CHARS = 8 + 1 + 4;

    private final List<Path> tables;
    private Map<String, Long> unacknowledged = Map.of();
    private long readAt = Long.MIN_VALUE;

    KernelSendQueues() {
        this(TABLES);
    }

    KernelSendQueues(List<Path> tables) {
        this.tables = tables;
    }

    /** Unacknowledged bytes of a connection, as of a moment ago, or {@link #UNKNOWN}. */
    long unacknowledgedBytes(InetSocketAddress local, InetSocketAddress remote, long now) {
        if (readAt == Long.MIN_VALUE || now - readAt >= MIN_INTERVAL_TICKS) {
            readAt = now;
            unacknowledged = readTables();
        }
        return unacknowledged.getOrDefault(key(local) + key(remote), UNKNOWN);
    }

    /** An address as in the tables: each group of four bytes in the byte order of the machine. */
    private static String key(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        int group = ByteBuffer.wrap(bytes, bytes.length - Integer.BYTES, Integer.BYTES)
                .order(ByteOrder.nativeOrder()).getInt();
        return String.format("%08X:%04X", group, address.getPort());
    }

    private Map<String, Long> readTables() {
        Map<String, Long> bytes = new HashMap<>();
        for (Path table : tables) {
            try (BufferedReader lines = Files.newBufferedReader(table, StandardCharsets.US_ASCII)) {
                lines.readLine();
                int count = 0;
                for (String line = lines.readLine(); line != null && count < MAX_LINES;
                        line = lines.readLine()) {
                    addLine(line, bytes);
                    count++;
                }
            } catch (IOException e) {
                // Not on this system, or no descriptor is free: nothing is known.
            }
        }
        return bytes;
    }

    private static void addLine(String line, Map<String, Long> bytes) {
        String[] columns = line.trim().split(" +", QUEUES_COLUMN + 2);
        if (columns.length <= QUEUES_COLUMN) {
            return;
        }
        String local = columns[LOCAL_ADDRESS_COLUMN];
        String remote = columns[REMOTE_ADDRESS_COLUMN];
        String queues = columns[QUEUES_COLUMN];
        int colon = queues.indexOf(':');
        if (local.length() < KEY_CHARS || remote.length() < KEY_CHARS || colon < 0) {
            return;
        }
        try {
            long queued = Long.parseLong(queues.substring(0, colon), HEX_RADIX);
            if (queued > 0) {
                bytes.put(local.substring(local.length() - KEY_CHARS)
                        + remote.substring(remote.length() - KEY_CHARS), queued);
            }
        } catch (NumberFormatException e) {
            // not a line of this form
        }
    }
}
