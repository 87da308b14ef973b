package reedspring.rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The journal service: notes from where it was called, and sends what the test says. */
public final class JournalStandIn extends Server {
    public final List<String> calledFrom = new CopyOnWriteArrayList<>();
    /** When it was called, in nanoseconds of the steady clock. */
    public final List<Long> calledAt = new CopyOnWriteArrayList<>();
    private final List<String> told = new ArrayList<>();
    /** What is sent by several comes whole. */
    private final Object wire = new Object();
    private StringBuilder gathered;
    /** Between a call and its answer. */
    public volatile long answersAfterMs;

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
        String from = "";
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            from = line.toLowerCase().startsWith("last-event-id:") ? line.substring(14).trim() : from;
        }
        pause(answersAfterMs);
        peer.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n"
                .getBytes(StandardCharsets.US_ASCII));
        synchronized (told) {
            calledFrom.add(from);
            calledAt.add(System.nanoTime());
            for (int pos = from.isEmpty() ? 0 : Integer.parseInt(from); pos < told.size(); pos++) {
                peer.getOutputStream().write(told.get(pos).getBytes(StandardCharsets.UTF_8));
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

    /** The event with the next number, told on the open call and to those who call from before it. */
    public void tell(boolean whole, String... hosts) {
        synchronized (told) {
            int pos = told.size() + 1;
            told.add("id: " + pos + "\ndata: " + event(pos, whole, hosts) + "\n\n");
            sign(told.get(pos - 1));
        }
    }

    /** All that is told meanwhile goes out in one piece, which the caller may read as slowly as it likes. */
    public void together(Runnable telling) {
        String all;
        synchronized (told) {
            gathered = new StringBuilder();
            telling.run();
            all = gathered.toString();
            gathered = null;
        }
        sign(all);
    }

    /** The number of the last event. */
    public int position() {
        synchronized (told) {
            return told.size();
        }
    }

    /** A sign of life, if anybody listens. */
    public void comment() {
        synchronized (told) {
            sign(":\n");
        }
    }

    private void sign(String text) {
        try {
            if (gathered != null) {
                gathered.append(text);
            } else if (!accepted.isEmpty()) {
                send(text);
            }
        } catch (IOException e) {
            // the call has ended, and the next one asks for what it has missed
        }
    }

    public void send(String text) throws IOException {
        synchronized (wire) {
            accepted.get(accepted.size() - 1).getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Whether the caller has ended its call. */
    public boolean ended(int call) throws IOException {
        accepted.get(call).setSoTimeout((int) Rig.PATIENCE_S * 1000);
        return accepted.get(call).getInputStream().read() < 0;
    }

    /** One event that lists engines: name, address, state, and so on. */
    public static String event(int pos, boolean whole, String... hosts) {
        return "{\"pos\":" + pos + ",\"hosts\":{\"seq\":" + pos + ",\"whole\":" + whole + ",\"hosts\":["
                + String.join(",", hosts) + "]}}";
    }

    public static String host(String name, String address, String health) {
        return host(name, address, "a", "m", health, 0);
    }

    public static String host(String name, String address, String site, String kind, String health,
            long bornMs) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address + "\",\"site\":\"" + site
                + "\",\"class\":\""
                + kind + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1,\"born_ms\":" + bornMs
                + ",\"colour\":3}";
    }
}
