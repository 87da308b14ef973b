package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reedspring.rig.Rig;

class JournalServiceTest {
    private static final int ENGINES = 25_000;
    private static final int CHANGES = 300;

    /** One connection with a small receive buffer, so that unread data stays with the service. */
    private static final class TestWatcher implements AutoCloseable {
        private final Socket socket = new Socket();
        private final BufferedReader in;
        private long readChars;

        private TestWatcher(String address, int lastEventId) throws IOException {
            socket.setReceiveBufferSize(8_192);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    Integer.parseInt(address.substring(address.indexOf(':') + 1))));
            socket.setSoTimeout((int) Rig.TIMEOUT_S * 1000);
            socket.getOutputStream().write(("GET /journal HTTP/1.1\r\nHost: x\r\nLast-Event-ID: "
                    + lastEventId + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.US_ASCII), 4_096);
        }

        /** Number and data of the next event. */
        private String[] nextEvent() throws IOException {
            String id = "";
            for (String line = in.readLine(); ; line = in.readLine()) {
                assertTrue(line != null, "the stream has ended");
                readChars += line.length();
                if (line.startsWith("id: ")) {
                    id = line.substring(4);
                } else if (line.startsWith("data: ")) {
                    return new String[] {id, line.substring(6)};
                }
            }
        }

        /**
         * Reads up to the event with that number; requires that no change is skipped, and returns the event
         * count.
         */
        private int readTo(int number) throws IOException {
            int events = 0;
            for (int lastNumber = -1; lastNumber < number; events++) {
                String[] event = nextEvent();
                boolean complete = event[1].contains("\"whole\":true");
                int eventNumber = Integer.parseInt(event[0]);
                assertTrue(complete && eventNumber > lastNumber || eventNumber == lastNumber + 1, "event "
                        + eventNumber + " after " + lastNumber);
                lastNumber = eventNumber;
            }
            return events;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static JournalService.Row row(int k, String health) {
        return new JournalService.Row("s-" + k, "127.40.1.1:5050", "a", "c8", health, 0);
    }

    @Example
    void aSlowReaderOfAFourMegabyteListDelaysNobodyAndMissesNothing() throws Exception {
        try (JournalService service = new JournalService(1 << 28)) {
            service.publish(IntStream.range(0, ENGINES).mapToObj(k -> row(k, "ready")).toList());
            String slowAddress = service.addWatcher().get(0);
            String fastAddress = service.addWatcher().get(1);
            try (TestWatcher slowReader = new TestWatcher(slowAddress, 0);
                    TestWatcher fastReader = new TestWatcher(fastAddress, 0)) {
                Rig.await("the request of the slow watcher", () -> !service.requestsSince(0, 0).isEmpty());
                for (int k = 0; k < CHANGES; k++) {
                    service.publish(List.of(row(k, "draining")));
                }
                int events = fastReader.readTo(CHANGES + 1);
                assertTrue(fastReader.readChars > 3 << 20, "characters read of the complete list: "
                        + fastReader.readChars);
                // The fast watcher got the changes one by one; the slow one has read nothing yet.
                assertTrue(events >= 1 && service.upToDateWatchers().equals(Set.of(1)), "up to date: "
                        + service.upToDateWatchers());
                assertEquals(1, service.counts()[0][0], "one event waits for the slow one");
                slowReader.readTo(CHANGES + 1);
                Rig.await("both watchers up to date", () -> service.upToDateWatchers().equals(Set.of(0, 1)));
            }
            assertEquals(null, service.fault());
        }
    }

    @Example
    void aReconnectResumesAtItsPositionAndACutLinkCarriesNothing() throws Exception {
        try (JournalService service = new JournalService(1 << 28)) {
            service.publish(List.of(row(0, "ready"), row(1, "ready")));
            service.publish(List.of(row(1, "draining")));
            String address = service.addWatcher().get(0);
            try (TestWatcher first = new TestWatcher(address, 1)) {
                assertEquals("2", first.nextEvent()[0]);
                service.setLinkDown(Set.of(0), true);
                service.publish(List.of(row(1, "gone")));
                Thread.sleep(100);
                assertEquals(Set.of(), service.upToDateWatchers());
                service.setLinkDown(Set.of(0), false);
                assertEquals("3", first.nextEvent()[0]);
                service.setUnavailable(true);
                Rig.await("the reset", () -> {
                    try {
                        return first.in.read() < 0;
                    } catch (IOException e) {
                        return true;
                    }
                });
            }
            service.setUnavailable(false);
            try (TestWatcher resumed = new TestWatcher(address, 3);
                    TestWatcher fromStart = new TestWatcher(address, 0)) {
                service.publish(List.of(row(2, "ready")));
                assertEquals("4", resumed.nextEvent()[0]);
                String[] fullList = fromStart.nextEvent();
                assertTrue(fullList[1].contains("\"whole\":true") && !fullList[1].contains("s-1\""),
                        fullList[1]);
            }
        }
    }
}
