package reedspring.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in for the journal service. It records the position that each request asks for, and streams the
 * events that the test publishes.
 */
public final class JournalStandIn extends Server {
    /** The {@code Last-Event-ID} of each request, empty if it had none. */
    public final List<String> requestPositions = new CopyOnWriteArrayList<>();
    /** When each request was received, in {@link System#nanoTime()}. */
    public final List<Long> requestNanos = new CopyOnWriteArrayList<>();
    private final List<String> events = new ArrayList<>();
    /** Held during a write, so that texts sent by several threads do not interleave. */
    private final Object sendLock = new Object();
    private StringBuilder batch;
    /** Delay between a request and its response. */
    public volatile long responseDelayMs;

    public JournalStandIn() throws IOException {
        this(0);
    }

    public JournalStandIn(int port) throws IOException {
        super(port);
    }

    @Override
    void serve(Socket peer) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(peer.getInputStream(),
                StandardCharsets.US_ASCII));
        String lastEventId = "";
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            lastEventId = line.toLowerCase().startsWith("last-event-id:") ? line.substring(14).trim()
                    : lastEventId;
        }
        pause(responseDelayMs);
        peer.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n"
                .getBytes(StandardCharsets.US_ASCII));
        synchronized (events) {
            requestPositions.add(lastEventId);
            requestNanos.add(System.nanoTime());
            for (int pos = lastEventId.isEmpty() ? 0 : Integer.parseInt(lastEventId); pos < events.size();
                    pos++) {
                peer.getOutputStream().write(events.get(pos).getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Publishes the next event, to the open request and to later ones from an earlier position. */
    public void publish(boolean whole, String... hosts) {
        synchronized (events) {
            int pos = events.size() + 1;
            events.add("id: " + pos + "\ndata: " + event(pos, whole, hosts) + "\n\n");
            sendOrBatch(events.get(pos - 1));
        }
    }

    /**
     * Sends all events that {@code publisher} publishes in a single write. The write happens outside the lock
     * on the events, so that a slow reader does not block other publishers.
     */
    public void publishInOneWrite(Runnable publisher) {
        String batchText;
        synchronized (events) {
            batch = new StringBuilder();
            publisher.run();
            batchText = batch.toString();
            batch = null;
        }
        sendOrBatch(batchText);
    }

    /** Position of the last event. */
    public int position() {
        synchronized (events) {
            return events.size();
        }
    }

    /** Sends a keep-alive comment if a request is open. */
    public void sendKeepAlive() {
        synchronized (events) {
            sendOrBatch(":\n");
        }
    }

    private void sendOrBatch(String text) {
        try {
            if (batch != null) {
                batch.append(text);
            } else if (!accepted.isEmpty()) {
                send(text);
            }
        } catch (IOException e) {
            // the caller has closed the request, and its next one asks for the missed events
        }
    }

    /** Writes {@code text} to the latest connection. */
    public void send(String text) throws IOException {
        synchronized (sendLock) {
            accepted.get(accepted.size() - 1).getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Waits for the end of the stream and returns whether the caller closed {@code request}. */
    public boolean closedByCaller(int request) throws IOException {
        accepted.get(request).setSoTimeout((int) Rig.TIMEOUT_S * 1000);
        return accepted.get(request).getInputStream().read() < 0;
    }

    /** The data of an event whose rows, made by {@link #engineRow}, list engines. */
    public static String event(int pos, boolean whole, String... hosts) {
        return "{\"pos\":" + pos + ",\"hosts\":{\"seq\":" + pos + ",\"whole\":" + whole + ",\"hosts\":["
                + String.join(",", hosts) + "]}}";
    }

    public static String engineRow(String name, String address, String health) {
        return engineRow(name, address, "a", "m", health, 0);
    }

    public static String engineRow(String name, String address, String site, String kind, String health,
            long bornMs) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"" + site
                + "\",\"class\":\""
                + kind + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1,\"born_ms\":" + bornMs
                + ",\"colour\":3}";
    }
}
