package reedspring.net;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;

/** The front's log. Of each kind of line one is written in a span; the rest are counted and summed up. */
final class Log {
    private static final int KINDS = 64;
    private final Map<String, int[]> seen = new LinkedHashMap<>();

    /** A line that comes once in a front's life. */
    void once(String line) {
        Logger.info(line);
    }

    void line(String kind, String detail) {
        int[] count = seen.size() < KINDS ? seen.computeIfAbsent(kind, k -> new int[1]) : seen.get(kind);
        if (count != null && count[0]++ == 0) {
            Logger.warn(detail.isEmpty() ? kind : kind + ": " + printable(detail));
        }
    }

    void fault(String kind, Throwable cause) {
        int[] count = seen.size() < KINDS ? seen.computeIfAbsent(kind, k -> new int[1]) : seen.get(kind);
        if (count != null && count[0]++ == 0) {
            Logger.error(cause, kind);
        }
    }

    /** Ends a span. */
    void sum() {
        seen.forEach((kind, count) -> {
            if (count[0] > 1) {
                Logger.warn("{}: {} more like it", kind, count[0] - 1);
            }
        });
        seen.clear();
    }

    /** What others send must not forge lines or fill the log. */
    private static String printable(String text) {
        return text.substring(0, Math.min(200, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
    }
}
