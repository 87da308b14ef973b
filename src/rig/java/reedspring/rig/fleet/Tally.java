package reedspring.rig.fleet;

import java.util.Locale;

/**
 * What a run on processes came to. {@code served} is the share of the value answered in time; {@code
 * cold} the most that came to a cold engine in its window, as a part of what makes it fall; {@code
 * busiest} and {@code idlest} are an engine's threads a core over the mean; {@code calls} the most journal
 * calls in 100 ms.
 */
public record Tally(int queries, int tries, int inTime, int late, int deferred, int failed, int excused,
                    double served, int attempts, double cold, double busiest, double idlest, int connections,
                    int calls) {
    Tally with(double most, double least, int mostConnections, int mostCalls) {
        return new Tally(queries, tries, inTime, late, deferred, failed, excused, served, attempts, cold,
                most, least, mostConnections, mostCalls);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT,
                "queries=%d tries=%d in_time=%d late=%d deferred=%d failed=%d excused=%d "
                + "served=%.3f attempts=%d cold=%.2f busiest=%.2f idlest=%.2f connections=%d calls=%d",
                queries, tries, inTime, late, deferred, failed, excused, served, attempts, cold, busiest,
                idlest, connections, calls);
    }
}
