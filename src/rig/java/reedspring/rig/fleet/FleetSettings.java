package reedspring.rig.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import reedspring.api.Deployment;
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;

/** The settings of a fleet's fronts, for front processes and for simulated decisions in virtual time. */
public final class FleetSettings {
    public static final String[] GROUPS = {"lookup", "report", "change"};
    /** The index of the group of mutating queries, which must not run twice. */
    static final int MUTATING_GROUP = 2;
    static final int[] THREADS_PER_QUERY = {1, 4, 1};
    static final int[] TARGET_RUNTIME_MS = {1_000, 1_500, 1_000};
    static final double[] TARGET_RUNTIME_STRETCH = {2, 5, 2};
    static final int[] VALUE_PER_GROUP = {1, 5, 2};
    static final int COLD_RAMP_MS = 6_000;
    static final double COLD_CAPACITY_RATIO = 0.35;
    static final int COLD_WINDOW_MS = 1_000;
    static final int PROGRESS_INTERVAL_MS = 1_000;
    static final int MAX_SUBMISSIONS = 3;
    static final int MAX_RETRY_AFTER_MS = 500;
    static final int CONNECT_TIMEOUT_MS = 250;
    public static final int DRAIN_GRACE_MS = 500;

    private FleetSettings() {
    }

    /** The settings by path, in the simulator's naming; a front accepts the same paths in a flat object. */
    static Map<String, String> settings(Timetable timetable) {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("fleetSize", Integer.toString(timetable.fronts()));
        settings.put("allowed.cancel", "false");
        settings.put("allowed.sendCap", Integer.toString(MAX_SUBMISSIONS));
        settings.put("allowed.connectTimeoutMs", Integer.toString(CONNECT_TIMEOUT_MS));
        settings.put("allowed.multiplex", "32");
        settings.put("allowed.idleCloseMs", "30000");
        settings.put("allowed.retryAfter", "true");
        settings.put("allowed.maxRetryAfterMs", Integer.toString(MAX_RETRY_AFTER_MS));
        settings.put("classes.count", Integer.toString(GROUPS.length));
        for (int k = 0; k < GROUPS.length; k++) {
            String prefix = "classes." + k + ".";
            settings.put(prefix + "name", GROUPS[k]);
            settings.put(prefix + "aimMs", Integer.toString(TARGET_RUNTIME_MS[k]));
            settings.put(prefix + "aimStretch", Double.toString(TARGET_RUNTIME_STRETCH[k]));
            settings.put(prefix + "deadlineMs", Integer.toString(patienceMs(timetable, k)));
            settings.put(prefix + "effect", k == MUTATING_GROUP ? "once" : "repeatable");
            settings.put(prefix + "group", "all");
            settings.put(prefix + "points", Integer.toString(VALUE_PER_GROUP[k]));
        }
        StringBuilder kinds = new StringBuilder();
        StringBuilder cores = new StringBuilder();
        StringBuilder memory = new StringBuilder();
        for (double coreCount : new TreeSet<>(java.util.Arrays.stream(timetable.cores()).boxed().toList())) {
            String comma = kinds.length() == 0 ? "" : ",";
            kinds.append(comma).append(kind(coreCount));
            cores.append(comma).append(coreCount);
            memory.append(comma).append(timetable.memoryMb());
        }
        settings.put("kinds", kinds.toString());
        settings.put("familyInfo.parallelism", THREADS_PER_QUERY[0] + "," + THREADS_PER_QUERY[1] + ","
                + THREADS_PER_QUERY[2]);
        settings.put("familyInfo.sizeCores", cores.toString());
        settings.put("familyInfo.memoryByKindMb", memory.toString());
        settings.put("familyInfo.overbooked", "page");
        settings.put("familyInfo.lanesCount", "false");
        settings.put("familyInfo.tellsEveryMs", Integer.toString(PROGRESS_INTERVAL_MS));
        settings.put("report.how", "inline");
        settings.put("report.columns", "util,x0,queue");
        settings.put("rules.coldFrom", Double.toString(COLD_CAPACITY_RATIO));
        settings.put("rules.rampTimeMs", Integer.toString(COLD_RAMP_MS));
        settings.put("rules.fallMultiple", Double.toString(timetable.coldOverloadMultiple()));
        settings.put("rules.overloadForMs", Integer.toString(COLD_WINDOW_MS));
        settings.put("customers.count", "1");
        settings.put("customers.0.name", "acme");
        settings.put("customers.0.share", "1");
        settings.put("customers.0.quotaPerS", Double.toString(2 * timetable.queriesPerSecond()));
        settings.put("overShareWorth", "0.1");
        return settings;
    }

    /** How long a client waits for its query, counted from its first request. */
    public static int patienceMs(Timetable timetable, int group) {
        return timetable.patienceFactor() * TARGET_RUNTIME_MS[group];
    }

    /** The target runtime in ticks (tenths of a millisecond), counted from the client's first request. */
    static long targetRuntimeTicks(int group, double workMs) {
        return Math.round(10 * (TARGET_RUNTIME_MS[group]
                + TARGET_RUNTIME_STRETCH[group] * workMs / THREADS_PER_QUERY[group]));
    }

    /** The name of the kind of engines with that many cores. */
    public static String kind(double cores) {
        return "c" + (int) cores;
    }

    static Deployment deployment(Timetable timetable) {
        try {
            return new DeploymentReader(settings(timetable)).deployment();
        } catch (InvalidConfigurationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The configuration file of one front; {@code known} is the journal's event at {@code position}. */
    static String config(Timetable timetable, int front, String listen, String journal, int position,
                         String known) {
        return config(timetable, front, 128, listen, journal, position, known);
    }

    /** The configuration file of one front with the given memory limit. */
    public static String config(Timetable timetable, int front, int memoryMb, String listen, String journal,
                                int position, String known) {
        StringBuilder settingsJson = new StringBuilder();
        settings(timetable).forEach((key, value) -> settingsJson.append(settingsJson.length() == 0 ? "" : ",")
                .append('"')
                .append(key).append("\":\"").append(value).append('"'));
        return "{\"name\":\"n" + front + "\",\"listen\":\"" + listen + "\",\"seed\":\""
                + Long.toHexString(0x5eed_0000L + front) + "\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":" + memoryMb + ","
                + "\"sockets\":1024},\"journal\":\"" + journal + "\",\"known\":{\"pos\":" + position
                        + ",\"entries\":["
                + known + "]},\"settings\":{" + settingsJson + "}}";
    }
}
