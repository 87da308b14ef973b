package reedspring.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that connect again and again, one connection each at a time: some write part of a request and
 * close, the others say nothing until the front ends their connection.
 */
public final class ConnectionStorm implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int RECONNECT_DELAY_MS = 20;
    private static final int PART_BYTES = 40;

    private final InetSocketAddress front;
    private final AtomicLong connections = new AtomicLong();
    private volatile boolean stopping;

    public ConnectionStorm(String address, int partialRequestClients, int silentClients) {
        int colon = address.indexOf(':');
        front = new InetSocketAddress(address.substring(0, colon),
                Integer.parseInt(address.substring(colon + 1)));
        startThreads(partialRequestClients, this::sendPartOfRequest);
        startThreads(silentClients, this::sayNothing);
    }

    /** Number of connections made so far. */
    public long connections() {
        return connections.get();
    }

    private void startThreads(int count, Server.IoTask task) {
        for (int k = 0; k < count; k++) {
            Thread thread = new Thread(() -> repeat(task), "storm");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void repeat(Server.IoTask task) {
        while (!stopping) {
            try {
                task.run();
                connections.incrementAndGet();
            } catch (IOException e) {
                Rig.sleep(RECONNECT_DELAY_MS);
            }
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(front, CONNECT_TIMEOUT_MS);
        return socket;
    }

    private void sendPartOfRequest() throws IOException {
        byte[] request = Client.query(1, Client.trace(), CONNECT_TIMEOUT_MS, "select 1 from sales_17.orders");
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request, 0, PART_BYTES);
        }
    }

    private void sayNothing() throws IOException {
        try (Socket socket = connect()) {
            socket.setSoTimeout((int) Rig.TIMEOUT_S * 1000);
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        }
    }

    @Override
    public void close() {
        stopping = true;
    }
}
