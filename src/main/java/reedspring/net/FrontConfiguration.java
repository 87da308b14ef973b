package reedspring.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;

/** The validated content of a front's configuration file. */
record FrontConfiguration(String name, InetSocketAddress listen, InetSocketAddress journal, long seed,
                          Map<?, ?> known, DeploymentReader deploymentReader, Limits limits) {
    private static final int MIN_SOCKETS = 64;
    /** The run command of the deployment has the same default: it sizes the heap before the JVM starts. */
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int MIN_MEMORY_MB = 64;
    private static final String CONFIG_VARIABLE = "RELAY_CONFIG";

    /** Reads and validates the file, for a front that keeps no answers. */
    static FrontConfiguration read(String path) throws IOException, InvalidConfigurationException {
        return read(path, false);
    }

    /**
     * Reads and validates the file.
     *
     * @param keepsAnswers whether resources are set aside for answers on disk
     * @throws IOException if the file can't be read; a retry may succeed
     * @throws InvalidConfigurationException if its content can't be used; names the field
     */
    static FrontConfiguration read(String path, boolean keepsAnswers)
            throws IOException, InvalidConfigurationException {
        Map<?, ?> root = readFile(path);
        DeploymentReader deploymentReader = new DeploymentReader(
                Json.toPairs(Json.map(root.get("settings"), "settings")));
        if (deploymentReader.deployment().groups().isEmpty()) {
            throw new InvalidConfigurationException("settings.classes", "missing");
        }
        Map<?, ?> limits = Json.map(root.get("limits"), "limits");
        long sockets = Json.wholeNumber(limits, "sockets", 0);
        if (sockets < MIN_SOCKETS) {
            throw new InvalidConfigurationException("limits.sockets",
                    "at least " + MIN_SOCKETS + " are needed");
        }
        long memoryMb = Json.wholeNumber(limits, "memory_mb", DEFAULT_MEMORY_MB);
        if (memoryMb < MIN_MEMORY_MB) {
            throw new InvalidConfigurationException("limits.memory_mb",
                    "at least " + MIN_MEMORY_MB + " are needed");
        }
        return new FrontConfiguration(Json.text(root, "name"),
                parseAddress(Json.text(root, "listen"), "listen"),
                parseAddress(Json.text(root, "journal"), "journal"), parseSeed(Json.text(root, "seed")),
                Json.map(root.get("known"), "known"), deploymentReader,
                new Limits(deploymentReader, (int) Math.min(sockets, Integer.MAX_VALUE), memoryMb,
                        keepsAnswers));
    }

    private static Map<?, ?> readFile(String path) throws IOException, InvalidConfigurationException {
        if (path == null || path.isEmpty()) {
            throw new InvalidConfigurationException(CONFIG_VARIABLE, "missing");
        }
        byte[] text = Files.readAllBytes(Path.of(path));
        try {
            return Json.map(Json.read(text, text.length, "known.entries.hosts.hosts",
                    new HostRow.Reader(Integer.MAX_VALUE)), CONFIG_VARIABLE);
        } catch (IOException e) {
            throw unreadableFile(e);
        }
    }

    /** The error for a file that can't be read or is not JSON. */
    static InvalidConfigurationException unreadableFile(IOException cause) {
        return new InvalidConfigurationException(CONFIG_VARIABLE, "can't be read: "
                + String.valueOf(cause.getMessage()).lines().findFirst().orElse(""));
    }

    private static long parseSeed(String text) throws InvalidConfigurationException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigurationException("seed", "'" + text + "' is not a hexadecimal number");
        }
    }

    /** Parses a numeric IP address with a port; host names are not resolved. */
    static InetSocketAddress parseAddress(String text, String field) throws InvalidConfigurationException {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host != null && port > 0 && port < 1 << 16) {
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // falls through to the exception below
        }
        throw new InvalidConfigurationException(field, "'" + text + "' is no address with a port");
    }
}
