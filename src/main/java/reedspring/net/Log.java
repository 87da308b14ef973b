package reedspring.net;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * The front's log. Of each kind of line one is written in a span; the rest are counted and summed up. A line
 * has an event, which docs/on-call.md names, and mostly a detail; an installation may have them as JSON
 * objects.
 */
final class Log {
    private final Limits limits;
    private final JsonLines json;
    private final Map<String, int[]> seen = new LinkedHashMap<>();
    private long spentNanos;

    /** What writes lines as JSON objects; not loaded where nobody wants them. */
    interface JsonLines {
        String line(String level, String event, String detail, int more);
    }

    /** @param json null for plain text */
    Log(Limits limits, JsonLines json) {
        this.limits = limits;
        this.json = json;
    }

    /** Time that its lines took from those who wrote them, since the start; for {@link StallProbe}. */
    long spentNanos() {
        return spentNanos;
    }

    /** A line that comes once in a front's life. */
    void once(String event, String detail) {
        long began = System.nanoTime();
        Logger.info(json != null ? json.line("info", event, detail, 0) : joined(event, " ", detail));
        spentNanos += System.nanoTime() - began;
    }

    void line(String event, String detail) {
        line(event, event, detail);
    }

    /** A line whose text tells its kind by itself; where lines are objects, its event is named apart. */
    void remark(String event, String text) {
        line(text, json == null ? text : event, json == null ? "" : text);
    }

    private void line(String kind, String event, String detail) {
        if (count(kind)[0]++ == 0) {
            long began = System.nanoTime();
            Logger.warn(json != null ? json.line("warn", event, printable(detail), 0)
                    : joined(event, ": ", printable(detail)));
            spentNanos += System.nanoTime() - began;
        }
    }

    private static String joined(String event, String by, String detail) {
        return detail.isEmpty() ? event : event + by + detail;
    }

    void fault(String kind, Throwable cause) {
        if (count(kind)[0]++ == 0) {
            long began = System.nanoTime();
            if (json != null) {
                Logger.error(json.line("error", kind, trace(cause), 0));
            } else {
                Logger.error(cause, kind);
            }
            spentNanos += System.nanoTime() - began;
        }
    }

    private static String trace(Throwable cause) {
        StringBuilder text = new StringBuilder(cause.toString());
        for (StackTraceElement at : cause.getStackTrace()) {
            text.append("\n at ").append(at);
        }
        return text.toString();
    }

    /** Kinds name engines, too, so that their number has to be bounded as well. */
    private int[] count(String kind) {
        boolean known = seen.size() < limits.logKinds || seen.containsKey(kind);
        return seen.computeIfAbsent(known ? kind : "lines of other kinds", k -> new int[1]);
    }

    /** Ends a span. */
    void sum() {
        long began = System.nanoTime();
        seen.forEach((kind, count) -> {
            if (count[0] > 1) {
                if (json != null) {
                    Logger.warn(json.line("warn", kind, "", count[0] - 1));
                } else {
                    Logger.warn("{}: {} more like it", kind, count[0] - 1);
                }
            }
        });
        seen.clear();
        spentNanos += System.nanoTime() - began;
    }

    /** What others send must not forge lines or fill the log. */
    private String printable(String text) {
        return text.substring(0, Math.min(limits.logLine, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
    }
}
