package reedspring.rig.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import reedspring.api.Deployment;
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;

/** What a fleet's fronts are told at their start, for started programs and for decisions alone. */
public final class Terms {
    public static final String[] GROUPS = {"lookup", "report", "change"};
    /** Must not run twice. */
    static final int CHANGE = 2;
    static final int[] THREADS = {1, 4, 1};
    static final int[] AIM_MS = {1_000, 1_500, 1_000};
    static final double[] AIM_STRETCH = {2, 5, 2};
    static final int[] VALUE = {1, 5, 2};
    static final int RAMP_MS = 6_000;
    static final double COLD_FROM = 0.35;
    static final int COLD_WINDOW_MS = 1_000;
    static final int NOTE_MS = 1_000;
    static final int SEND_CAP = 3;
    static final int LONGEST_PAUSE_MS = 500;
    static final int CONNECT_MS = 250;
    public static final int DRAIN_MS = 500;

    private Terms() {
    }

    /** By path, as the simulator names them; a front takes them from a flat object, too. */
    static Map<String, String> pairs(Timetable table) {
        Map<String, String> pairs = new LinkedHashMap<>();
        pairs.put("fleetSize", Integer.toString(table.fronts()));
        pairs.put("allowed.cancel", "false");
        pairs.put("allowed.sendCap", Integer.toString(SEND_CAP));
        pairs.put("allowed.connectTimeoutMs", Integer.toString(CONNECT_MS));
        pairs.put("allowed.multiplex", "32");
        pairs.put("allowed.idleCloseMs", "30000");
        pairs.put("allowed.retryAfter", "true");
        pairs.put("allowed.maxRetryAfterMs", Integer.toString(LONGEST_PAUSE_MS));
        pairs.put("classes.count", Integer.toString(GROUPS.length));
        for (int k = 0; k < GROUPS.length; k++) {
            String at = "classes." + k + ".";
            pairs.put(at + "name", GROUPS[k]);
            pairs.put(at + "aimMs", Integer.toString(AIM_MS[k]));
            pairs.put(at + "aimStretch", Double.toString(AIM_STRETCH[k]));
            pairs.put(at + "deadlineMs", Integer.toString(leavesMs(table, k)));
            pairs.put(at + "effect", k == CHANGE ? "once" : "repeatable");
            pairs.put(at + "group", "all");
            pairs.put(at + "points", Integer.toString(VALUE[k]));
        }
        StringBuilder kinds = new StringBuilder();
        StringBuilder cores = new StringBuilder();
        StringBuilder memory = new StringBuilder();
        for (double size : new TreeSet<>(java.util.Arrays.stream(table.cores()).boxed().toList())) {
            String comma = kinds.length() == 0 ? "" : ",";
            kinds.append(comma).append(kind(size));
            cores.append(comma).append(size);
            memory.append(comma).append(table.memoryMb());
        }
        pairs.put("kinds", kinds.toString());
        pairs.put("familyInfo.parallelism", THREADS[0] + "," + THREADS[1] + "," + THREADS[2]);
        pairs.put("familyInfo.sizeCores", cores.toString());
        pairs.put("familyInfo.memoryByKindMb", memory.toString());
        pairs.put("familyInfo.overbooked", "page");
        pairs.put("familyInfo.lanesCount", "false");
        pairs.put("familyInfo.tellsEveryMs", Integer.toString(NOTE_MS));
        pairs.put("report.how", "inline");
        pairs.put("report.columns", "util,x0,queue");
        pairs.put("rules.coldFrom", Double.toString(COLD_FROM));
        pairs.put("rules.rampTimeMs", Integer.toString(RAMP_MS));
        pairs.put("rules.fallMultiple", Double.toString(table.coldMultiple()));
        pairs.put("rules.overloadForMs", Integer.toString(COLD_WINDOW_MS));
        pairs.put("customers.count", "1");
        pairs.put("customers.0.name", "acme");
        pairs.put("customers.0.share", "1");
        pairs.put("customers.0.quotaPerS", Double.toString(2 * table.perSecond()));
        pairs.put("overShareWorth", "0.1");
        return pairs;
    }

    /** How long a client waits for its query, counted from its first try. */
    public static int leavesMs(Timetable table, int group) {
        return table.patience() * AIM_MS[group];
    }

    /** In tenths of a millisecond from its first try. */
    static long target(int group, double workMs) {
        return Math.round(10 * (AIM_MS[group] + AIM_STRETCH[group] * workMs / THREADS[group]));
    }

    public static String kind(double cores) {
        return "c" + (int) cores;
    }

    static Deployment deployment(Timetable table) {
        try {
            return new DeploymentReader(pairs(table)).deployment();
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The configuration file of one front. {@code known}: the journal's event at that position. */
    static String config(Timetable table, int front, String listen, String journal, int position,
                         String known) {
        return config(table, front, 128, listen, journal, position, known);
    }

    /** The same with more or less memory. */
    public static String config(Timetable table, int front, int memoryMb, String listen, String journal,
                                int position, String known) {
        StringBuilder settings = new StringBuilder();
        pairs(table).forEach((key, value) -> settings.append(settings.length() == 0 ? "" : ",").append('"')
                .append(key).append("\":\"").append(value).append('"'));
        return "{\"name\":\"n" + front + "\",\"listen\":\"" + listen + "\",\"seed\":\""
                + Long.toHexString(0x5eed_0000L + front) + "\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":" + memoryMb
                + ","
                + "\"sockets\":1024},\"journal\":\"" + journal + "\",\"known\":{\"pos\":" + position
                        + ",\"entries\":["
                + known + "]},\"settings\":{" + settings + "}}";
    }
}
