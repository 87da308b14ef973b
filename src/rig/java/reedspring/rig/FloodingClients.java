package reedspring.rig;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntFunction;

/**
 * Clients that send as much as the front takes, and read whatever comes. They connect again when the front
 * ends their connection.
 */
public final class FloodingClients implements Closeable {
    /** For messages that get no answer: they are sent without a pause. */
    public static final int UNLIMITED = 0;

    private static final int MESSAGES_PER_WRITE = 64;
    private static final int RECONNECT_DELAY_MS = 20;

    private final String address;
    private final int maxOpen;
    private final IntFunction<byte[]> messages;
    private final List<Client> connections = new ArrayList<>();
    private final AtomicLong sent = new AtomicLong();
    private volatile boolean stopping;

    /**
     * @param maxOpen how many messages may be unanswered on a connection, or {@link #UNLIMITED}
     * @param messages the message with a given id
     */
    public FloodingClients(String address, int clients, int maxOpen, IntFunction<byte[]> messages) {
        this.address = address;
        this.maxOpen = maxOpen;
        this.messages = messages;
        for (int k = 0; k < clients; k++) {
            startThread(this::flood);
        }
    }

    /** Number of messages sent so far. */
    public long sent() {
        return sent.get();
    }

    private void flood() {
        while (!stopping) {
            try (Client client = connect()) {
                if (maxOpen == UNLIMITED) {
                    startThread(() -> drain(client));
                    sendWithoutPause(client);
                } else {
                    Semaphore toSend = new Semaphore(maxOpen);
                    startThread(() -> countAnswers(client, toSend));
                    sendWhenAnswered(client, toSend);
                }
            } catch (IOException e) {
                Rig.sleep(RECONNECT_DELAY_MS);
            }
        }
    }

    private Client connect() throws IOException {
        Client client = new Client(address);
        client.socket.setSoTimeout(0);
        synchronized (connections) {
            connections.add(client);
        }
        return client;
    }

    private void sendWhenAnswered(Client client, Semaphore toSend) throws IOException {
        for (int id = 1; !stopping; ) {
            toSend.acquireUninterruptibly();
            int count = 1 + toSend.drainPermits();
            send(client, id, count);
            id += count;
        }
    }

    private void sendWithoutPause(Client client) throws IOException {
        for (int id = 1; !stopping; id += MESSAGES_PER_WRITE) {
            send(client, id, MESSAGES_PER_WRITE);
        }
    }

    private void send(Client client, int firstId, int count) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int k = 0; k < count; k++) {
            bytes.writeBytes(messages.apply(firstId + k));
        }
        client.send(bytes.toByteArray());
        sent.addAndGet(count);
    }

    /** Lets another message be sent for each answer; once the connection has ended, the next send fails. */
    private void countAnswers(Client client, Semaphore toSend) {
        try {
            while (!stopping) {
                client.read();
                toSend.release();
            }
        } catch (IOException e) {
            toSend.release(maxOpen);
        }
    }

    private void drain(Client client) {
        byte[] buffer = new byte[1 << 14];
        try {
            while (!stopping && client.socket.getInputStream().read(buffer) >= 0) {
                continue;
            }
        } catch (IOException e) {
            // The connection has ended; the next send fails, too.
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "flooding client");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        stopping = true;
        synchronized (connections) {
            for (Client client : connections) {
                client.close();
            }
        }
    }
}
