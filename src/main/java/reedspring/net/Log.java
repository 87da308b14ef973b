package reedspring.net;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * The front's log, with a rate limit: in each interval, the first line of each kind is written, and the rest
 * are counted and summarised at the end of the interval. A line has an event, which docs/on-call.md explains,
 * and usually a detail; an installation may have lines as JSON objects.
 */
final class Log {
    private final Limits limits;
    private final JsonLines json;
    private final Map<String, int[]> countsByKind = new LinkedHashMap<>();
    private long spentNanos;

    /** Formats lines as JSON objects; the implementation is loaded only if the settings enable it. */
    interface JsonLines {
        /** @param more number of suppressed lines of the same kind, or 0 */
        String line(String level, String event, String detail, int more);
    }

    /** @param json null for plain text */
    Log(Limits limits, JsonLines json) {
        this.limits = limits;
        this.json = json;
    }

    /** Total time that callers spent in writing lines, in nanoseconds; for {@link StallProbe}. */
    long spentNanos() {
        return spentNanos;
    }

    /** Writes a line of level info, without a rate limit: for events that occur once in a front's life. */
    void info(String event, String detail) {
        long began = System.nanoTime();
        Logger.info(json != null ? json.line("info", event, detail, 0) : joined(event, " ", detail));
        spentNanos += System.nanoTime() - began;
    }

    /** Writes a warning; its event is its kind. */
    void warn(String event, String detail) {
        warn(event, event, detail);
    }

    /** Writes a warning whose text is its kind; the event is written in JSON lines only. */
    void warnText(String event, String text) {
        warn(text, json == null ? text : event, json == null ? "" : text);
    }

    private void warn(String kind, String event, String detail) {
        if (counterOf(kind)[0]++ == 0) {
            long began = System.nanoTime();
            Logger.warn(json != null ? json.line("warn", event, printable(detail), 0)
                    : joined(event, ": ", printable(detail)));
            spentNanos += System.nanoTime() - began;
        }
    }

    private static String joined(String event, String separator, String detail) {
        return detail.isEmpty() ? event : event + separator + detail;
    }

    /** Writes an error with its stack trace. */
    void error(String kind, Throwable cause) {
        if (counterOf(kind)[0]++ == 0) {
            long began = System.nanoTime();
            if (json != null) {
                Logger.error(json.line("error", kind, stackTrace(cause), 0));
            } else {
                Logger.error(cause, kind);
            }
            spentNanos += System.nanoTime() - began;
        }
    }

    private static String stackTrace(Throwable cause) {
        StringBuilder text = new StringBuilder(cause.toString());
        for (StackTraceElement frame : cause.getStackTrace()) {
            text.append("\n at ").append(frame);
        }
        return text.toString();
    }

    /** The number of kinds is bounded as well, as kinds contain names of engines. */
    private int[] counterOf(String kind) {
        boolean tracked = countsByKind.size() < limits.maxLogKinds || countsByKind.containsKey(kind);
        return countsByKind.computeIfAbsent(tracked ? kind : "lines of other kinds", k -> new int[1]);
    }

    /** Ends an interval: writes a summary of the suppressed lines and resets all counts. */
    void endInterval() {
        long began = System.nanoTime();
        countsByKind.forEach((kind, count) -> {
            if (count[0] > 1) {
                if (json != null) {
                    Logger.warn(json.line("warn", kind, "", count[0] - 1));
                } else {
                    Logger.warn("{}: {} more like it", kind, count[0] - 1);
                }
            }
        });
        countsByKind.clear();
        spentNanos += System.nanoTime() - began;
    }

    /** Truncates and escapes text that comes from peers, which must not forge lines or fill the log. */
    private String printable(String text) {
        return text.substring(0, Math.min(limits.maxLogDetailChars, text.length()))
                .replaceAll("[^\\x20-\\x7e]", "?");
    }
}
