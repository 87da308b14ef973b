package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reedspring.rig.JournalStandIn;

/** How long a list may be that comes as one event: docs/CAPACITY.md says what follows from it. */
class ListSizeTest {
    private static byte[] event(int rows) {
        String[] hosts = IntStream.range(0, rows).mapToObj(k -> JournalStandIn.host(
                String.format("s-%08x", k),
                "10." + k / 62_500 + "." + k / 250 % 250 + "." + k % 250 + ":5050", "ready"))
                .toArray(String[]::new);
        return ("id: 1\ndata: " + JournalStandIn.event(1, true, hosts) + "\n\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** What the bound holds for: the event's line of data. */
    private static int line(int rows) {
        return event(rows).length - "id: 1\n\n\n".length();
    }

    /** The greatest list that the bound lets pass is read with all its rows, one row more not at all. */
    @Example
    void aWholeListIsReadUpToTheBoundOfAnEventAndNotPastIt() throws Exception {
        int most = JournalReading.most();
        int rows = 0;
        for (int step = 1 << 16; step > 0; step >>= 1) {
            rows += line(rows + step) <= most ? step : 0;
        }
        JournalReading reading = new JournalReading();
        assertEquals(rows, reading.read(event(rows), most));
        assertEquals(-1, reading.read(event(rows + 1), most));
    }

    @Example
    void listsOfNoneOneAndManyRowsAreRead() {
        for (int rows : new int[] {0, 1, 100_000}) {
            assertEquals(rows, new JournalReading().read(event(rows), Integer.MAX_VALUE));
        }
    }
}
