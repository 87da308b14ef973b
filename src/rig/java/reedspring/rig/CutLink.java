package reedspring.rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;

/**
 * A link between the front and a server that can be cut: open connections stay open and silent, and what was
 * sent meanwhile arrives once the link is healed. A reset by the sender takes back what has not arrived, as
 * its kernel drops it.
 */
public final class CutLink extends Server {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final int POLL_MS = 1;
    /** Time without further bytes after which everything that was sent during the cut has been read. */
    private static final int DRAINED_MS = 20;

    private final int targetPort;
    private volatile boolean cut;

    public CutLink(int targetPort) throws IOException {
        super(0);
        this.targetPort = targetPort;
    }

    /** Cuts the link in both directions. */
    public void cut() {
        cut = true;
    }

    public void heal() {
        cut = false;
    }

    @Override
    void serve(Socket near) throws IOException {
        Socket far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        far.setTcpNoDelay(true);
        runInBackground(() -> forward(far, near));
        forward(near, far);
        throw new IOException("closed");
    }

    /** Forwards until one side ends; then both sides are closed. */
    private void forward(Socket from, Socket to) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                byte[] bytes = Arrays.copyOf(buffer, count);
                if (cut) {
                    awaitHealed();
                    bytes = withRest(from, bytes);
                }
                out.write(bytes);
            }
        }
    }

    private void awaitHealed() {
        while (cut) {
            Rig.sleep(POLL_MS);
        }
    }

    /** Reads what else was sent during the cut; fails if the sender has reset the connection meanwhile. */
    private static byte[] withRest(Socket from, byte[] first) throws IOException {
        byte[] all = first;
        byte[] buffer = new byte[BUFFER_BYTES];
        from.setSoTimeout(DRAINED_MS);
        try {
            for (int count = from.getInputStream().read(buffer); count >= 0;
                    count = from.getInputStream().read(buffer)) {
                int length = all.length;
                all = Arrays.copyOf(all, length + count);
                System.arraycopy(buffer, 0, all, length, count);
            }
        } catch (SocketTimeoutException e) {
            // the connection is open, and all has been read
        } finally {
            if (!from.isClosed()) {
                from.setSoTimeout(0);
            }
        }
        return all;
    }
}
