package reedspring.net;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tinylog.Logger;

/** The front's log. Of each kind of line one is written in a span; the rest are counted and summed up. */
final class Log {
    private final Limits limits;
    private final Map<String, int[]> seen = new LinkedHashMap<>();

    Log(Limits limits) {
        this.limits = limits;
    }

    /** A line that comes once in a front's life. */
    void once(String line) {
        Logger.info(line);
    }

    void line(String kind, String detail) {
        if (count(kind)[0]++ == 0) {
            Logger.warn(detail.isEmpty() ? kind : kind + ": " + printable(detail));
        }
    }

    void fault(String kind, Throwable cause) {
        if (count(kind)[0]++ == 0) {
            Logger.error(cause, kind);
        }
    }

    /** Kinds name engines, too, so that their number has to be bounded as well. */
    private int[] count(String kind) {
        boolean known = seen.size() < limits.logKinds || seen.containsKey(kind);
        return seen.computeIfAbsent(known ? kind : "lines of other kinds", k -> new int[1]);
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
    private String printable(String text) {
        return text.substring(0, Math.min(limits.logLine, text.length())).replaceAll("[^\\x20-\\x7e]", "?");
    }
}
