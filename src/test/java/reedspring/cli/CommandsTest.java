package reedspring.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;
import reedspring.spool.AnswerId;
import reedspring.spool.store.FileDisk;
import reedspring.spool.store.Store;

class CommandsTest {
    private static final long LATER = System.currentTimeMillis() * 10 + 36_000_000;
    private final Path folder = Files.createTempDirectory("reedspring");

    CommandsTest() throws IOException {
        // for the exception
    }

    /** What a command prints, both streams, behind its exit code. */
    private static String run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (PrintStream to = new PrintStream(all, true, StandardCharsets.UTF_8)) {
            System.setOut(to);
            System.setErr(to);
            return Commands.run(args) + "\n" + all.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @Example
    void wrongWordsAre64AndHelpIsThereForAll() {
        for (String[] wrong : new String[][] {{}, {"serv"}, {"serve", "--what"}, {"spool", "list"}, {"check",
                "x"}}) {
            assertTrue(run(wrong).startsWith("64\n"), String.join(" ", wrong));
        }
        for (String command : new String[] {"", "serve", "adapter", "check", "spool", "spool list",
                "spool verify",
            "spool stat", "spool expire"}) {
            String help = run((command + " --help").trim().split(" "));
            assertTrue(help.startsWith("0\n") && help.contains("Usage: reedspring " + command), help);
        }
    }

    @Example
    void checkTellsAllFaults() throws IOException {
        Path bad = Files.writeString(folder.resolve("bad.ini"), "[log]\nformat = xml\n[spol]\n");
        String said = run("check", "--settings", bad.toString(), "--config",
                folder.resolve("none").toString());
        assertTrue(said.startsWith("78\n") && said.contains("line 2: [log] format")
                && said.contains("[spol]") && said.contains("configuration: RELAY_CONFIG"), said);
        Path good = Files.writeString(folder.resolve("good.ini"), "[log]\nformat = json\n");
        assertTrue(run("check", "--settings", good.toString()).startsWith("0\ngood"));
    }

    @Example
    void aFolderOfAnswersIsListedVerifiedAndCleared() throws IOException {
        try (Store store = new Store(new FileDisk(folder, true), "n0", 100)) {
            for (long segment = 1; segment <= 2; segment++) {
                store.open(segment);
                AnswerId id = new AnswerId(segment, 7);
                store.write(id, segment, 0, ByteBuffer.wrap("one\n".getBytes()));
                store.whole(id, segment, "acme", true, 1, segment == 1 ? 10 : LATER);
                store.sync(segment);
                if (segment == 1) {
                    store.seal(segment);
                }
            }
            // While a front holds it: looked at, not changed.
            assertTrue(run("spool", "list",
                    folder.toString()).contains("00000000000000020000000000000007 acme 1"));
            assertTrue(run("spool", "stat", folder.toString()).contains("acme answers 2"));
            String held = run("spool", "expire", folder.toString());
            assertTrue(held.startsWith("69\n") && held.contains("held by another front"), held);
        }
        assertTrue(run("spool", "verify",
                folder.toString()).contains("2 segments, 2 answers, 2 pages read, 0 faults"));
        assertEquals("0\n1 segments deleted\n", run("spool", "expire", folder.toString()));
        Path file = folder.resolve("0000000000000002.seg");
        byte[] bytes = Files.readAllBytes(file);
        // In the text of the page.
        int at = new String(bytes, StandardCharsets.ISO_8859_1).indexOf("one");
        bytes[at] ^= 1;
        Files.write(file, bytes);
        String spoilt = run("spool", "verify", folder.toString());
        assertTrue(spoilt.contains("bytes can't be read"), spoilt);
        assertEquals("0\n1 segments deleted\n", run("spool", "expire", "--all", folder.toString()));
        assertTrue(run("spool", "list", folder.resolve("none").toString()).startsWith("69\n"));
    }
}
