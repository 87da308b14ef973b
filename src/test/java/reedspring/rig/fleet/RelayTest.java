package reedspring.rig.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import net.jqwik.api.Example;

class RelayTest {
    /** An end that was closed in the same turn has no option to set any more; the rig failed on it. */
    @Example
    void aLinkWithAnEndThatIsClosedAlreadyCanBeReset() throws Exception {
        Relay relay = new Relay(1);
        try (ServerSocket behind = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Relay.Door door = relay.door(77, 1, 1, InetAddress.getLoopbackAddress(),
                    () -> (InetSocketAddress) behind.getLocalSocketAddress());
            String at = door.address();
            int colon = at.indexOf(':');
            Socket client = new Socket(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
            Socket peer = behind.accept();
            client.getOutputStream().write('x');
            assertEquals((int) 'x', peer.getInputStream().read());
            relay.run(() -> {
                door.reset(true);
                door.reset(false);
            });
            await("the far end's reset", () -> ended(peer));
            await("the near end's reset", () -> ended(client));
        } finally {
            relay.close();
        }
    }

    private static boolean ended(Socket socket) {
        try {
            socket.setSoTimeout(20);
            return socket.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
