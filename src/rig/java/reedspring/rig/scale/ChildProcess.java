package reedspring.rig.scale;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Runs a {@link ChildMain} in a child JVM. A command is one line to its standard input; its reply is one
 * line.
 */
final class ChildProcess implements Closeable {
    final Process osProcess;
    private final String role;
    private final Writer commands;
    private final BufferedReader replies;

    ChildProcess(String role, int heapMb, Path log) throws IOException {
        this.role = role;
        List<String> commandLine = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC", "-Dtinylog.level=off", "-Dio.netty.leakDetection.level=disabled", "-cp",
                System.getProperty("java.class.path"), ChildMain.class.getName(), role));
        osProcess = new ProcessBuilder(commandLine).redirectError(log.toFile()).start();
        commands = new OutputStreamWriter(osProcess.getOutputStream(), StandardCharsets.UTF_8);
        replies = new BufferedReader(new InputStreamReader(osProcess.getInputStream(),
                StandardCharsets.UTF_8));
    }

    /**
     * Sends a command and waits for the reply.
     *
     * @throws IOException if the process has ended or the command failed
     */
    synchronized String execute(String command) throws IOException {
        commands.write(command + "\n");
        commands.flush();
        String reply = replies.readLine();
        if (reply == null || !reply.startsWith("ok")) {
            throw new IOException(role + ": " + command.split(" ")[0] + ": "
                    + (reply == null ? "its process has ended" : reply));
        }
        return reply.substring(2).trim();
    }

    /** Sends a command whose reply has the form {@code 3=17 4=0}; returns the values by front. */
    Map<Integer, String> executePerFront(String command) throws IOException {
        Map<Integer, String> valuesByFront = new TreeMap<>();
        for (String pair : execute(command).split(" ")) {
            if (!pair.isEmpty()) {
                int separator = pair.indexOf('=');
                valuesByFront.put(Integer.parseInt(pair.substring(0, separator)),
                        pair.substring(separator + 1));
            }
        }
        return valuesByFront;
    }

    /** Closes the child's standard input, on which it exits; kills it if it has not done so after 5 s. */
    @Override
    public void close() throws IOException {
        try {
            commands.close();
        } catch (IOException e) {
            // the process has ended already
        }
        try {
            if (!osProcess.waitFor(5, java.util.concurrent.TimeUnit.SECONDS)) {
                osProcess.destroyForcibly();
            }
        } catch (InterruptedException e) {
            osProcess.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
