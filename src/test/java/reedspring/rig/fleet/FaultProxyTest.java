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

class FaultProxyTest {
    /**
     * Guards against a failure on the second of two resets in one iteration of the event loop: setting an
     * option fails on a channel that is closed already.
     */
    @Example
    void resettingALinkTwiceInOneLoopIterationSucceeds() throws Exception {
        FaultProxy proxy = new FaultProxy(1);
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            FaultProxy.ProxiedLink link = proxy.openLink(77, 1, 1, InetAddress.getLoopbackAddress(),
                    () -> (InetSocketAddress) server.getLocalSocketAddress());
            String address = link.address();
            int colon = address.indexOf(':');
            Socket client = new Socket(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1)));
            Socket peer = server.accept();
            client.getOutputStream().write('x');
            assertEquals((int) 'x', peer.getInputStream().read());
            proxy.runOnLoop(() -> {
                link.reset(true);
                link.reset(false);
            });
            await("the far end's reset", () -> isClosed(peer));
            await("the near end's reset", () -> isClosed(client));
        } finally {
            proxy.close();
        }
    }

    private static boolean isClosed(Socket socket) {
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
