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

/** A {@link Host} in a process of its own, as the main speaks to it: one line there, one line back. */
final class Child implements Closeable {
    final Process process;
    private final String role;
    private final Writer out;
    private final BufferedReader in;

    Child(String role, int heapMb, Path log) throws IOException {
        this.role = role;
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heapMb + "m",
                "-XX:+UseSerialGC", "-Dtinylog.level=off", "-Dio.netty.leakDetection.level=disabled", "-cp",
                System.getProperty("java.class.path"), Host.class.getName(), role));
        process = new ProcessBuilder(line).redirectError(log.toFile()).start();
        out = new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
        in = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    /** What it answers. @throws IOException if it has ended or could not do it */
    synchronized String ask(String line) throws IOException {
        out.write(line + "\n");
        out.flush();
        String reply = in.readLine();
        if (reply == null || !reply.startsWith("ok")) {
            throw new IOException(role + ": " + line.split(" ")[0] + ": "
                    + (reply == null ? "its process has ended" : reply));
        }
        return reply.substring(2).trim();
    }

    /** An answer of the form {@code 3=17 4=0}, by front. */
    Map<Integer, String> askEach(String line) throws IOException {
        Map<Integer, String> each = new TreeMap<>();
        for (String pair : ask(line).split(" ")) {
            if (!pair.isEmpty()) {
                int at = pair.indexOf('=');
                each.put(Integer.parseInt(pair.substring(0, at)), pair.substring(at + 1));
            }
        }
        return each;
    }

    /** Its input ends, and so does it. */
    @Override
    public void close() throws IOException {
        try {
            out.close();
        } catch (IOException e) {
            // it has ended already
        }
        try {
            if (!process.waitFor(5, java.util.concurrent.TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
