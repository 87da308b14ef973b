package reedspring.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import reedspring.boot.Boot;
import reedspring.boot.BootException;

/** All that the configuration file tells a front, checked. */
record FrontConfiguration(String name, InetSocketAddress listen, InetSocketAddress journal, long seed,
                          Map<?, ?> known, Boot boot, Limits limits) {
    private static final int LEAST_SOCKETS = 64;
    /** As in the line that starts the program, which needs it before there is anything to read the file. */
    private static final int USUAL_MEMORY_MB = 192;
    private static final int LEAST_MEMORY_MB = 64;
    private static final String FILE = "RELAY_CONFIG";

    /**
     * Reads the file.
     *
     * @throws IOException if it can't be read now; it may be on another try
     * @throws BootException if what it says can't be used, naming the field
     */
    static FrontConfiguration read(String path) throws IOException, BootException {
        Map<?, ?> file = file(path);
        Boot boot = new Boot(Json.flat(Json.map(file.get("settings"), "settings")));
        if (boot.deployment().groups().isEmpty()) {
            throw new BootException("settings.classes", "missing");
        }
        Map<?, ?> limits = Json.map(file.get("limits"), "limits");
        long sockets = Json.whole(limits, "sockets", 0);
        if (sockets < LEAST_SOCKETS) {
            throw new BootException("limits.sockets", "at least " + LEAST_SOCKETS + " are needed");
        }
        long memory = Json.whole(limits, "memory_mb", USUAL_MEMORY_MB);
        if (memory < LEAST_MEMORY_MB) {
            throw new BootException("limits.memory_mb", "at least " + LEAST_MEMORY_MB + " are needed");
        }
        return new FrontConfiguration(Json.text(file, "name"), address(Json.text(file, "listen"), "listen"),
                address(Json.text(file, "journal"), "journal"), seedOf(Json.text(file, "seed")),
                Json.map(file.get("known"), "known"), boot,
                new Limits(boot, (int) Math.min(sockets, Integer.MAX_VALUE), memory));
    }

    private static Map<?, ?> file(String path) throws IOException, BootException {
        if (path == null || path.isEmpty()) {
            throw new BootException(FILE, "missing");
        }
        byte[] text = Files.readAllBytes(Path.of(path));
        try {
            return Json.map(Json.read(text, text.length, "known.entries.hosts.hosts",
                    new HostRow.Reader(Integer.MAX_VALUE)), FILE);
        } catch (IOException e) {
            throw unusable(e);
        }
    }

    /** The file can't be read, or is no JSON. */
    static BootException unusable(IOException cause) {
        return new BootException(FILE, "can't be read: " + String.valueOf(cause.getMessage()).lines()
                .findFirst().orElse(""));
    }

    private static long seedOf(String text) throws BootException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BootException("seed", "'" + text + "' is no hexadecimal number");
        }
    }

    /** An address with a port, in figures only: there is no name service. */
    static InetSocketAddress address(String text, String field) throws BootException {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port > 0 && port < 1 << 16) {
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // reported below
        }
        throw new BootException(field, "'" + text + "' is no address with a port");
    }
}
