package reedspring.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedspring.spool.SpoolLimits;

/**
 * An installation's optional features, from its own INI file. A feature without a section in the file is null
 * and stays disabled. Times are in ticks; one tick is a tenth of a millisecond.
 *
 * @param jsonLog whether log lines are JSON objects
 * @param spool settings of the spool that keeps answers, or null
 */
public record InstallationSettings(boolean jsonLog, SpoolSettings spool) {
    private static final long TICKS_PER_MS = 10;
    private static final long TICKS_PER_SECOND = 1000 * TICKS_PER_MS;
    private static final long TICKS_PER_DAY = 86_400 * TICKS_PER_SECOND;
    private static final long KB = 1 << 10;
    private static final long MB = 1 << 20;
    private static final long GB = 1 << 30;
    /** Maximum size of an engine's page, as its protocol defines it. */
    private static final int PAGE_BYTES = 6_000;

    /**
     * Settings of the spool.
     *
     * @param folder directory of the kept answers
     * @param keys keys of the handles; the first one signs new handles
     * @param limits limits and lifetimes of kept answers
     * @param groupCommitTicks maximum time in ticks for which a commit waits for others to join it
     */
    public record SpoolSettings(Path folder, List<byte[]> keys, SpoolLimits limits, long groupCommitTicks) {
        /** Leaves the keys out, so that they can't get into a log. */
        @Override
        public String toString() {
            return "spool in " + folder + ", " + keys.size() + " keys, " + limits;
        }
    }

    /** Reads and validates a settings file. */
    public static InstallationSettings read(Path file) throws SettingsException {
        Ini ini = new Ini(file);
        boolean json = ini.choice("log", "format", "plain", List.of("plain", "json")).equals("json");
        SpoolSettings spool = spool(ini);
        ini.finish();
        return new InstallationSettings(json, spool);
    }

    private static SpoolSettings spool(Ini ini) {
        String section = "spool";
        if (!ini.has(section)) {
            return null;
        }
        Path folder = ini.path(section, "folder", true);
        if (folder != null && !Files.isDirectory(folder)) {
            ini.fault(section, "folder", folder + " is not a directory");
        }
        List<byte[]> keys = new ArrayList<>();
        readKey(ini, section, "key_file", true, keys);
        readKey(ini, section, "old_key_file", false, keys);
        long total = ini.size(section, "total", GB, 4 * MB, 16 * 1024 * GB);
        long segment = ini.size(section, "segment", Math.max(MB, Math.min(64 * MB, total / 16)), 64 * KB, GB);
        long longest = ini.size(section, "longest_answer", Math.min(256 * MB, total / 16), 64 * KB, total);
        if (segment > total / 4) {
            ini.fault(section, "segment", "larger than a quarter of total, too large to free space in parts");
        }
        double headroom = ini.percentage(section, "headroom", 0.1);
        if (headroom > 0.9) {
            ini.fault(section, "headroom", "leaves no space for other answers");
        }
        long firstRest = ini.duration(section, "first_rest", TICKS_PER_SECOND, 10 * TICKS_PER_MS,
                600 * TICKS_PER_SECOND);
        SpoolLimits limits = new SpoolLimits(total, ini.percentage(section, "tenant_part", 0.25), headroom,
                ini.duration(section, "keep", 600 * TICKS_PER_SECOND, TICKS_PER_SECOND, 30 * TICKS_PER_DAY),
                longest, PAGE_BYTES, segment, ini.size(section, "waiting", 4 * MB, 64 * KB, GB),
                (int) ini.count(section, "reads", 256, 1, 10_000),
                (int) ini.count(section, "tenant_reads", 128, 1, 10_000), firstRest,
                ini.duration(section, "longest_rest", Math.max(60 * TICKS_PER_SECOND, firstRest), firstRest,
                        3_600 * TICKS_PER_SECOND));
        return new SpoolSettings(folder, keys, limits,
                ini.duration(section, "group_commit", 5 * TICKS_PER_MS, 0, TICKS_PER_SECOND));
    }

    private static void readKey(Ini ini, String section, String name, boolean required, List<byte[]> keys) {
        Path file = ini.path(section, name, required);
        if (file == null) {
            return;
        }
        try {
            byte[] key = Files.readAllBytes(file);
            if (key.length < 16 || key.length > 4096) {
                ini.fault(section, name, "16 to 4096 bytes are required, the size is " + key.length);
            }
            keys.add(key);
        } catch (IOException e) {
            ini.fault(section, name, "can't be read: " + e.getMessage());
        }
    }
}
