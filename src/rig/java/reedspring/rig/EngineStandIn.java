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

/** A stand-in for a query engine that passes each command to a handler of the test. */
public final class EngineStandIn extends Server {
    /**
     * A received command.
     *
     * @param connection the connection that it was received on, which also takes its answer
     * @param firstByteNanos when its first byte arrived, in {@link System#nanoTime()}
     */
    public record Command(List<String> words, Socket connection, long firstByteNanos) {
        public String word() {
            return words.get(0);
        }

        public String id() {
            return words.get(1);
        }

        public void answer(String word, String fields, String body) {
            answerRaw(encodeAnswer(id(), word, fields, body));
        }

        /** An answer in its wire format. */
        public static String encodeAnswer(String id, String word, String fields, String body) {
            return "*4" + bulk(id) + bulk(word) + bulk(fields) + bulk(body) + "\r\n";
        }

        public void answerRaw(String text) {
            try {
                synchronized (connection) {
                    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                // the front has closed the connection, which tests observe on the server
            }
        }

        private static String bulk(String text) {
            return "\r\n$" + text.length() + "\r\n" + text;
        }
    }

    /** Connect timeout after which the listen backlog counts as full. */
    private static final int FULL_BACKLOG_TIMEOUT_MS = 150;

    private final List<Socket> backlog = new ArrayList<>();
    private final Consumer<Command> commandHandler;
    private final Consumer<Socket> closeListener;
    /** Commands that could not be parsed: the words before the parse error. */
    public final List<String> malformedCommands = Collections.synchronizedList(new ArrayList<>());
    public final List<Command> received = Collections.synchronizedList(new ArrayList<>());

    public EngineStandIn(Consumer<Command> commandHandler) throws IOException {
        this(0, commandHandler);
    }

    public EngineStandIn(int port, Consumer<Command> commandHandler) throws IOException {
        this(port, commandHandler, peer -> { });
    }

    /** Listens on {@code port}; {@code closeListener} gets each connection that the peer has closed. */
    public EngineStandIn(int port, Consumer<Command> commandHandler, Consumer<Socket> closeListener)
            throws IOException {
        super(port);
        this.commandHandler = commandHandler;
        this.closeListener = closeListener;
    }

    private EngineStandIn(ServerSocket socket, Consumer<Command> commandHandler) {
        super(socket);
        this.commandHandler = commandHandler;
        this.closeListener = peer -> { };
    }

    /**
     * Creates an engine to which no connection is established before {@link #acceptConnections}: its listen
     * backlog is full and nothing accepts. Connections begun meanwhile are established when the kernel
     * retransmits the SYN, one or three seconds later.
     */
    public static EngineStandIn withFullBacklog(Consumer<Command> commandHandler) throws IOException {
        EngineStandIn engine = new EngineStandIn(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()),
                commandHandler);
        for (boolean backlogFull = false; !backlogFull; ) {
            Socket connection = new Socket();
            try {
                connection.connect(engine.socket.getLocalSocketAddress(), FULL_BACKLOG_TIMEOUT_MS);
                engine.backlog.add(connection);
            } catch (SocketTimeoutException e) {
                connection.close();
                backlogFull = true;
            }
        }
        return engine;
    }

    /** Starts to accept connections and frees the backlog. */
    public void acceptConnections() throws IOException {
        startAccepting();
        for (Socket connection : backlog) {
            connection.close();
        }
    }

    @Override
    void onClosed(Socket peer) {
        if (closeListener != null) {
            closeListener.accept(peer);
        }
    }

    public int port() {
        return socket.getLocalPort();
    }

    public List<Command> received(String word) {
        synchronized (received) {
            return received.stream().filter(command -> command.word().equals(word)).toList();
        }
    }

    /** Answers each query at once with {@code count} pages; their rows hold query id and page number. */
    public static Consumer<Command> answerWithPages(int count) {
        return command -> {
            if (command.word().equals("fetch")) {
                command.answer("data", "sheets=" + count + ",toil=3.5,room=12", page(command.id(), 0));
            } else if (command.word().equals("more")) {
                String sheet = command.words().get(2);
                command.answer("page", "sheet=" + sheet, page(command.id(), Integer.parseInt(sheet)));
            } else if (command.word().equals("alive")) {
                command.answer("well", "-", "");
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
                readCommand(in, words, peer);
            } catch (AssertionError e) {
                // An engine closes the connection on a protocol error.
                malformedCommands.add(words.toString());
                peer.close();
                throw e;
            }
        }
    }

    private void readCommand(DataInputStream in, List<String> words, Socket peer) throws IOException {
        int count = readLength(in, '*');
        long firstByteNanos = System.nanoTime();
        for (int remaining = count; remaining > 0; remaining--) {
            byte[] word = new byte[readLength(in, '$')];
            in.readFully(word);
            in.skipBytes(2);
            words.add(new String(word, StandardCharsets.ISO_8859_1));
        }
        Command command = new Command(words, peer, firstByteNanos);
        received.add(command);
        commandHandler.accept(command);
    }

    private static int readLength(DataInputStream in, int type) throws IOException {
        Rig.require(in.readUnsignedByte() == type, "the front sent malformed RESP");
        int length = 0;
        for (int c = in.readUnsignedByte(); c != '\r'; c = in.readUnsignedByte()) {
            length = length * 10 + c - '0';
        }
        in.skipBytes(1);
        return length;
    }
}
