package reedspring.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

/** Reading and validation of an installation's settings file. */
class SettingsTest {
    private static final long TICKS_PER_SECOND = 10_000;
    private final Path folder;
    private final Path key;

    SettingsTest() throws IOException {
        folder = Files.createTempDirectory("reedspring");
        key = Files.write(folder.resolve("key"), new byte[32]);
    }

    private InstallationSettings read(String text) throws Exception {
        return InstallationSettings.read(Files.writeString(folder.resolve("own.ini"), text));
    }

    private List<String> faults(String text) throws Exception {
        return assertThrows(SettingsException.class, () -> read(text)).faults();
    }

    @Example
    void featureWithoutSectionIsDisabled() throws Exception {
        assertNull(read("").spool());
        assertNull(read("; nothing\n# at all\n[log]\nformat = json\n").spool());
        assertTrue(read("[log]\nformat=json").jsonLog());
    }

    @Example
    void valuesHaveUnitsAndDefaultsFollowTheTotal() throws Exception {
        InstallationSettings.SpoolSettings spool = read("[spool]\nfolder = " + folder + "\nkey_file = " + key
                + "\ntotal = 64MB\ntenant_part = 12.5 %\nkeep = 2h\nwaiting = 512 kB\nreads = 7\n"
                + "group_commit = 20ms\n").spool();
        assertEquals(64L << 20, spool.limits().totalBytes());
        assertEquals(0.125, spool.limits().maxTenantRatio());
        assertEquals(7_200 * TICKS_PER_SECOND, spool.limits().retention());
        assertEquals(512 << 10, spool.limits().maxBufferedBytes());
        assertEquals(4L << 20, spool.limits().segmentBytes());
        assertEquals(7, spool.limits().maxReads());
        assertEquals(200, spool.groupCommitTicks());
        assertEquals(1, spool.keys().size());
        assertTrue(spool.toString().contains("1 keys"), spool::toString);
    }

    @Example
    void allErrorsAreReportedByLineSectionAndKey() throws Exception {
        List<String> faults = faults("""
                [spool]
                folder = /no/such/folder
                key_file = /no/such/key

                total = much
                tenant_part = 150%
                keep = 5 weeks
                reads = 0
                reads_at_once = 4
                waiting = 1MB
                waiting = 2MB
                [lok]
                format = json
                """);
        for (String fault : List.of("line 2: [spool] folder: /no/such/folder is not a directory",
                "line 3: [spool] key_file: can't be read", "line 5: [spool] total: 'much' is not a size",
                "line 6: [spool] tenant_part: '150%' is not a percentage",
                "line 7: [spool] keep: '5 weeks' is not a time",
                "line 8: [spool] reads: '0' is out of range", "line 9: [spool] reads_at_once: unknown key",
                "line 11: [spool] waiting: given 2 times", "line 12: [lok] : unknown section")) {
            assertTrue(faults.stream().anyMatch(f -> f.contains("own.ini " + fault)), fault + " in "
                    + faults);
        }
        assertEquals(9, faults.size(), faults::toString);
    }

    @Example
    void missingEmptyAndTooShortValuesAreErrors() throws Exception {
        assertTrue(faults("[spool]\nfolder=\n").toString().contains("folder: empty"));
        assertTrue(faults("[spool]\n").toString().contains("line 1: [spool] folder: missing"));
        Path shorter = Files.write(folder.resolve("short"), new byte[15]);
        assertTrue(faults("[spool]\nfolder=" + folder + "\nkey_file=" + shorter).toString()
                .contains("key_file: 16 to 4096 bytes"));
        assertTrue(faults("total = 5\n").toString().contains("total"));
        assertTrue(assertThrows(SettingsException.class,
                () -> InstallationSettings.read(folder.resolve("none")))
                .getMessage().contains("can't be read"));
    }

    /** Random text is either accepted or reported as a {@link SettingsException}. */
    @Example
    void randomTextThrowsNoOtherException() throws Exception {
        SplittableRandom chance = new SplittableRandom(19);
        String parts = "[]=;:#\n\n\t \"'\\.,%spool logkeyMB5\u00e4\u0000";
        for (int k = 0; k < 400; k++) {
            StringBuilder text = new StringBuilder(chance.nextBoolean() ? "[spool]\n" : "");
            for (int c = chance.nextInt(60); c > 0; c--) {
                text.append(parts.charAt(chance.nextInt(parts.length())));
            }
            try {
                read(text.toString());
            } catch (SettingsException e) {
                assertTrue(!e.faults().isEmpty());
            }
        }
    }
}
