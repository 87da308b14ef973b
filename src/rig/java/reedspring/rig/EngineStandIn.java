package reedspring.rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/** A query engine that does with each command what the test says. */
public final class EngineStandIn extends Server {
    /**
     * One command as it came, the moment of its first byte in nanoseconds of the steady clock, and a way to
     * answer on its connection.
     */
    public record Command(List<String> words, Socket from, long at) {
        public String word() {
            return words.get(0);
        }

        public String id() {
            return words.get(1);
        }

        public void answer(String word, String fields, String body) {
            answerRaw(text(id(), word, fields, body));
        }

        /** One answer as it goes out. */
        public static String text(String id, String word, String fields, String body) {
            return "*4" + bulk(id) + bulk(word) + bulk(fields) + bulk(body) + "\r\n";
        }

        public void answerRaw(String text) {
            try {
                synchronized (from) {
                    from.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // the front has closed it; the test sees that elsewhere
            }
        }

        private static String bulk(String text) {
            return "\r\n$" + text.length() + "\r\n" + text;
        }
    }

    /** After which a connection that has not come up is taken for one too many. */
    private static final int FULL_MS = 150;

    private final List<Socket> line = new ArrayList<>();
    private final Consumer<Command> work;
    private final Consumer<Socket> gone;
    /** Commands that could not be read: the words before the place at fault. */
    public final List<String> malformed = Collections.synchronizedList(new ArrayList<>());
    public final List<Command> seen = Collections.synchronizedList(new ArrayList<>());

    public EngineStandIn(Consumer<Command> work) throws IOException {
        this(0, work);
    }

    public EngineStandIn(int port, Consumer<Command> work) throws IOException {
        this(port, work, peer -> { });
    }

    /** {@code gone} is told of each connection that the other side has ended. */
    public EngineStandIn(int port, Consumer<Command> work, Consumer<Socket> gone) throws IOException {
        super(port);
        this.work = work;
        this.gone = gone;
    }

    private EngineStandIn(ServerSocket socket, Consumer<Command> work) {
        super(socket);
        this.work = work;
        this.gone = peer -> { };
    }

    /**
     * One to which no connection comes up before {@link #comesUp}: its line of connections is full and nobody
     * accepts. What is dialled meanwhile comes up with the kernel's next try, one or three seconds after.
     */
    public static EngineStandIn late(Consumer<Command> work) throws IOException {
        EngineStandIn late = new EngineStandIn(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()),
                work);
        for (boolean full = false; !full; ) {
            Socket one = new Socket();
            try {
                one.connect(late.socket.getLocalSocketAddress(), FULL_MS);
                late.line.add(one);
            } catch (SocketTimeoutException e) {
                one.close();
                full = true;
            }
        }
        return late;
    }

    public void comesUp() throws IOException {
        accept();
        for (Socket one : line) {
            one.close();
        }
    }

    @Override
    void ended(Socket peer) {
        if (gone != null) {
            gone.accept(peer);
        }
    }

    public int port() {
        return socket.getLocalPort();
    }

    public List<Command> seen(String word) {
        synchronized (seen) {
            return seen.stream().filter(command -> command.word().equals(word)).toList();
        }
    }

    /** Ends each query at once with that many pages, each naming its number and the query. */
    public static Consumer<Command> pages(int count) {
        return command -> {
            if (command.word().equals("fetch")) {
                command.answer("data", "sheets=" + count + ",toil=3.5,room=12", page(command.id(), 0));
            } else if (command.word().equals("more")) {
                String sheet = command.words().get(2);
                command.answer("page", "sheet=" + sheet, page(command.id(), Integer.parseInt(sheet)));
            }
        };
    }

    public static String page(String id, int sheet) {
        return (id + "\t" + sheet + "\trow\n").repeat(250);
    }

    @Override
    void serve(Socket peer) throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(peer.getInputStream()));
        while (true) {
            List<String> words = new ArrayList<>();
            try {
                read(in, words, peer);
            } catch (AssertionError e) {
                // As an engine does with what it can't read.
                malformed.add(words.toString());
                peer.close();
                throw e;
            }
        }
    }

    private void read(DataInputStream in, List<String> words, Socket peer) throws IOException {
        int count = length(in, '*');
        long at = System.nanoTime();
        for (int left = count; left > 0; left--) {
            byte[] word = new byte[length(in, '$')];
            in.readFully(word);
            in.skipBytes(2);
            words.add(new String(word, StandardCharsets.ISO_8859_1));
        }
        Command command = new Command(words, peer, at);
        seen.add(command);
        work.accept(command);
    }

    private static int length(DataInputStream in, int type) throws IOException {
        Rig.require(in.readUnsignedByte() == type, "RESP from the front");
        int length = 0;
        for (int c = in.readUnsignedByte(); c != '\r'; c = in.readUnsignedByte()) {
            length = length * 10 + c - '0';
        }
        in.skipBytes(1);
        return length;
    }
}
