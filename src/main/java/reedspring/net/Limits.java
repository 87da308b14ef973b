package reedspring.net;

import reedspring.boot.Boot;
import reedspring.boot.BootException;

/**
 * All sizes, counts and times that bound what the front holds, filled once at start. Times are milliseconds,
 * sizes bytes. None of them is a decision: where one is met, the query is turned away unseen.
 *
 * @param heldBytes statements and answers held at once; past it new queries are turned away
 * @param socketBytes what the kernel may hold for one client each way, as it counts against the front's memory
 * @param clientStall after which a client that has read nothing of what waits for it is cut off
 * @param engineSilence after which a connection that owes answers is asked whether it works
 * @param flushes what one turn of the loop has for a connection goes out in one write, up to so many messages
 * @param unsentBytes of one client, past which it is not read from until it has read
 */
record Limits(int clientConnections, int clientQueries, int clientIdle, int clientStall, int messageBytes, int messageValues,
              int queries, long heldBytes, int unsentBytes, int socketBytes, int answerBytes, int pageBytes, int pages,
              int engineConnections, int allEngineConnections, int connectionQueries,
              int connectTimeout, int engineIdle, int engineSilence,
              int journalSilence, int journalFirstWait, int journalLongestWait, int journalBytes,
              int leavingQuiet, int leavingLongest, int comeBack, int logEvery, int flushes) {

    static Limits of(Boot boot, int sockets) throws BootException {
        return new Limits(Math.max(8, sockets / 2), 32, 60_000, 10_000, 1 << 18, 256,
                2048, 20 << 20, 1 << 16, 1 << 16, 48_000, 6_000, 64,
                Math.max(1, Math.min(8, sockets / 64)), Math.max(1, sockets / 4),
                (int) boot.number("allowed.multiplex", 32), (int) boot.number("allowed.connectTimeoutMs", 1000),
                (int) (boot.number("allowed.idleCloseMs", 30_000) * 0.8), 1_000,
                3_000, 50, 1_000, 1 << 20,
                800, 3_400, (int) boot.number("allowed.maxRetryAfterMs", 0), 10_000, 256);
    }
}
