package reedspring.rig.fleet;

import java.util.Locale;

/**
 * The summary of a run on processes.
 *
 * @param servedShare the share of the offered value that was answered within its target runtime
 * @param coldLoad the highest load of a cold engine in a window, as a ratio of the load that overloads it
 * @param busiest the threads per core of the busiest engine, as a ratio of the mean
 * @param idlest the same of the idlest engine
 * @param connections the most connections to one engine at a time
 * @param journalCalls the most calls to the journals within 100 ms
 */
public record RunSummary(int queries, int requests, int inTime, int late, int deferred, int failed,
                         int excused, double servedShare, int submissions, double coldLoad,
                         double busiest, double idlest, int connections, int journalCalls) {
    RunSummary withEngineLoad(double newBusiest, double newIdlest, int maxConnections, int peakJournalCalls) {
        return new RunSummary(queries, requests, inTime, late, deferred, failed, excused, servedShare,
                submissions, coldLoad,
                newBusiest, newIdlest, maxConnections, peakJournalCalls);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT,
                "queries=%d tries=%d in_time=%d late=%d deferred=%d failed=%d excused=%d "
                + "served=%.3f attempts=%d cold=%.2f busiest=%.2f idlest=%.2f connections=%d calls=%d",
                queries, requests, inTime, late, deferred, failed, excused, servedShare, submissions,
                coldLoad, busiest, idlest, connections, journalCalls);
    }
}
