package reedspring.rig;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Accepts connections on a free port, each served by a thread of its own. */
public abstract class Server implements Closeable {
    final ServerSocket socket;
    public final List<Socket> accepted = new CopyOnWriteArrayList<>();
    /** Those that the other side has ended. */
    public final List<Socket> left = new CopyOnWriteArrayList<>();
    /** Connections past this are closed as they come. */
    public volatile int mostConnections = Integer.MAX_VALUE;

    Server(int port) throws IOException {
        this(new ServerSocket(port, 64, InetAddress.getLoopbackAddress()));
        accept();
    }

    /** One that accepts nothing yet. */
    Server(ServerSocket socket) {
        this.socket = socket;
    }

    final void accept() {
        background(() -> {
            while (true) {
                Socket next = socket.accept();
                if (accepted.size() - left.size() >= mostConnections) {
                    next.setSoLinger(true, 0);
                    next.close();
                    continue;
                }
                next.setTcpNoDelay(true);
                accepted.add(next);
                background(() -> {
                    try {
                        serve(next);
                    } catch (IOException e) {
                        left.add(next);
                        ended(next);
                    }
                });
            }
        });
    }

    public interface Work {
        void run() throws IOException;
    }

    static void background(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // the other side has gone, or the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    abstract void serve(Socket peer) throws IOException;

    /** The other side has ended it. */
    void ended(Socket peer) {
    }

    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Ends the connections as a process does that dies. */
    public void reset() throws IOException {
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
        reset();
    }
}
