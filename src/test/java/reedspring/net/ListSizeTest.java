package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reedspring.rig.JournalStandIn;

/** How many rows fit an engine list in one event; docs/CAPACITY.md describes what follows from that. */
class ListSizeTest {
    private static byte[] event(int rows) {
        String[] hosts = IntStream.range(0, rows).mapToObj(k -> JournalStandIn.engineRow(
                String.format("s-%08x", k),
                "10." + k / 62_500 + "." + k / 250 % 250 + "." + k % 250 + ":5050", "ready"))
                .toArray(String[]::new);
        return ("id: 1\ndata: " + JournalStandIn.event(1, true, hosts) + "\n\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** The length of the event's data line, which the limit applies to. */
    private static int dataLineLength(int rows) {
        return event(rows).length - "id: 1\n\n\n".length();
    }

    /** The largest list within the limit is read with all its rows; with one more row it is dropped. */
    @Example
    void listIsReadUpToTheEventSizeLimitOnly() throws Exception {
        int maxEventBytes = JournalEventParser.maxEventBytes();
        int rows = 0;
        for (int step = 1 << 16; step > 0; step >>= 1) {
            rows += dataLineLength(rows + step) <= maxEventBytes ? step : 0;
        }
        JournalEventParser parser = new JournalEventParser();
        assertEquals(rows, parser.read(event(rows), maxEventBytes));
        assertEquals(-1, parser.read(event(rows + 1), maxEventBytes));
    }

    @Example
    void listsOfAnySizeAreRead() {
        for (int rows : new int[] {0, 1, 100_000}) {
            assertEquals(rows, new JournalEventParser().read(event(rows), Integer.MAX_VALUE));
        }
    }
}
