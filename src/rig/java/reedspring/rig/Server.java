package reedspring.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A blocking loopback server that serves each accepted connection on a thread of its own. */
public abstract class Server implements Closeable {
    final ServerSocket socket;
    public final List<Socket> accepted = new CopyOnWriteArrayList<>();
    /** Accepted connections that the peer has closed. */
    public final List<Socket> closedByPeer = new CopyOnWriteArrayList<>();
    /** Connections over this number are reset when they are accepted. */
    public volatile int maxConnections = Integer.MAX_VALUE;

    Server(int port) throws IOException {
        this(new ServerSocket(port, 64, InetAddress.getLoopbackAddress()));
        startAccepting();
    }

    /** Creates a server that accepts no connection before {@link #startAccepting}. */
    Server(ServerSocket socket) {
        this.socket = socket;
    }

    final void startAccepting() {
        runInBackground(() -> {
            while (true) {
                Socket connection = socket.accept();
                if (accepted.size() - closedByPeer.size() >= maxConnections) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                    continue;
                }
                connection.setTcpNoDelay(true);
                accepted.add(connection);
                runInBackground(() -> {
                    try {
                        serve(connection);
                    } catch (IOException e) {
                        closedByPeer.add(connection);
                        onClosed(connection);
                    }
                });
            }
        });
    }

    /** A task that may fail with an I/O error. */
    public interface IoTask {
        void run() throws IOException;
    }

    static void runInBackground(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the peer has closed the connection, or the test has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    abstract void serve(Socket peer) throws IOException;

    /** Called when the peer has closed the connection. */
    void onClosed(Socket peer) {
    }

    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Resets all connections (RST), as when the peer of the front is killed. */
    public void resetConnections() throws IOException {
        for (Socket peer : accepted) {
            if (!peer.isClosed()) {
                peer.setSoLinger(true, 0);
                peer.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
        resetConnections();
    }
}
