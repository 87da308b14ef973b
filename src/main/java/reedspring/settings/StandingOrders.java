package reedspring.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import reedspring.spool.Terms;

/**
 * What an installation switches on beyond the platform's configuration, from its own INI file. A part that
 * has no section is null and stays off.
 *
 * @param jsonLog whether log lines are JSON objects
 */
public record StandingOrders(boolean jsonLog, SpoolOrders spool) {
    private static final long MS = 10;
    private static final long S = 1000 * MS;
    private static final long DAY = 86_400 * S;
    private static final long KB = 1 << 10;
    private static final long MB = 1 << 20;
    private static final long GB = 1 << 30;
    /** What a page of an engine holds at most, as its protocol says. */
    private static final int PAGE_BYTES = 6_000;

    /**
     * @param folder where answers are kept
     * @param keys for the handles; the first seals
     * @param group tenths of a millisecond that a commit waits for others at most
     */
    public record SpoolOrders(Path folder, List<byte[]> keys, Terms terms, long group) {
        /** Keys are no business of a log's. */
        @Override
        public String toString() {
            return "spool in " + folder + ", " + keys.size() + " keys, " + terms;
        }
    }

    public static StandingOrders read(Path file) throws SettingsException {
        Ini ini = new Ini(file);
        boolean json = ini.word("log", "format", "plain", List.of("plain", "json")).equals("json");
        SpoolOrders spool = spool(ini);
        ini.end();
        return new StandingOrders(json, spool);
    }

    private static SpoolOrders spool(Ini ini) {
        String in = "spool";
        if (!ini.has(in)) {
            return null;
        }
        Path folder = ini.path(in, "folder", true);
        if (folder != null && !Files.isDirectory(folder)) {
            ini.fault(in, "folder", folder + " is no folder");
        }
        List<byte[]> keys = new ArrayList<>();
        key(ini, in, "key_file", true, keys);
        key(ini, in, "old_key_file", false, keys);
        long total = ini.size(in, "total", GB, 4 * MB, 16 * 1024 * GB);
        long segment = ini.size(in, "segment", Math.max(MB, Math.min(64 * MB, total / 16)), 64 * KB, GB);
        long longest = ini.size(in, "longest_answer", Math.min(256 * MB, total / 16), 64 * KB, total);
        if (segment > total / 4) {
            ini.fault(in, "segment", "over a quarter of the total, which then can't be cleared in parts");
        }
        double headroom = ini.part(in, "headroom", 0.1);
        if (headroom > 0.9) {
            ini.fault(in, "headroom", "nothing is left to the others");
        }
        long firstRest = ini.span(in, "first_rest", S, 10 * MS, 600 * S);
        Terms terms = new Terms(total, ini.part(in, "tenant_part", 0.25), headroom,
                ini.span(in, "keep", 600 * S, S, 30 * DAY), longest, PAGE_BYTES, segment,
                ini.size(in, "waiting", 4 * MB, 64 * KB, GB), (int) ini.count(in, "reads", 256, 1, 10_000),
                (int) ini.count(in, "tenant_reads", 128, 1, 10_000), firstRest,
                ini.span(in, "longest_rest", Math.max(60 * S, firstRest), firstRest, 3_600 * S));
        return new SpoolOrders(folder, keys, terms, ini.span(in, "group_commit", 5 * MS, 0, S));
    }

    private static void key(Ini ini, String section, String name, boolean wanted, List<byte[]> keys) {
        Path file = ini.path(section, name, wanted);
        if (file == null) {
            return;
        }
        try {
            byte[] key = Files.readAllBytes(file);
            if (key.length < 16 || key.length > 4096) {
                ini.fault(section, name, "16 to 4096 bytes are wanted, there are " + key.length);
            }
            keys.add(key);
        } catch (IOException e) {
            ini.fault(section, name, "can't be read: " + e.getMessage());
        }
    }
}
