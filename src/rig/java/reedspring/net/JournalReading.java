package reedspring.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;

/** How a front reads one event of the journal service, with no front: the stream's lines, then its rows. */
public final class JournalReading {
    private static final int READ = 16_384;
    /** Bytes of a line that are a sign of life; nothing here goes by them. */
    private static final int SIGN = 4_096;
    private Object held;

    /** Lets go of what was read last. */
    public void forget() {
        held = null;
    }

    /** What one event may hold before it is read past and not taken, bytes. */
    public static int most() throws InvalidConfigurationException {
        return new Limits(new DeploymentReader(Map.of()), 1024, 256).maxJournalEventBytes;
    }

    /** Under which numbers of descriptors and megabytes a front holds how much. */
    public static Map<String, Integer> holds(int sockets, int memoryMb) throws InvalidConfigurationException {
        Limits limits = new Limits(new DeploymentReader(Map.of()), sockets, memoryMb);
        return Map.of("clients", limits.clientConnections, "engines", limits.allEngineConnections,
                "queries", limits.queries);
    }

    /**
     * Reads what a socket would give in pieces of 16 KB, and keeps what came of it.
     *
     * @return the rows of the last event, or -1 if it was longer than a front takes
     */
    public int read(byte[] event, int most) {
        held = null;
        EventStream stream = new EventStream(most, SIGN, new EventStream.Listener() {
            @Override
            public void event(String id, byte[] data, int length) {
                try {
                    held = Json.read(data, length, "hosts.hosts", new HostRow.Reader(Integer.MAX_VALUE));
                } catch (IOException | InvalidConfigurationException e) {
                    throw new IllegalStateException("the rig's own event can't be read", e);
                }
            }

            @Override
            public void eventTooLong(String id, long bytes) {
                held = null;
            }
        });
        for (int from = 0; from < event.length; from += READ) {
            ByteBuf piece = Unpooled.wrappedBuffer(event, from, Math.min(READ, event.length - from));
            stream.feed(piece);
        }
        if (held == null) {
            return -1;
        }
        Map<?, ?> list = (Map<?, ?>) ((Map<?, ?>) held).get("hosts");
        return ((List<?>) list.get("hosts")).size();
    }
}
