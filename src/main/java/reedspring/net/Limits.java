package reedspring.net;

import reedspring.api.Deployment;
import reedspring.boot.Boot;
import reedspring.boot.BootException;

/**
 * All sizes, counts and times that bound what the front holds, filled once at start and handed down. Times
 * are milliseconds, sizes bytes. None of them is a decision: where one is met, a query is turned away unseen
 * or a connection goes.
 */
final class Limits {
    /**
     * Files of the JVM and its libraries, log, loop and listener, three calls to the journal service, the
     * configuration's file and some to spare; 29 are open on a front at rest.
     */
    private static final int OWN_DESCRIPTORS = 41;

    // Clients. They may hold a third of the descriptors; the rest of the half is for those that overlap.
    final int clientConnections;
    final int clientQueries = 32;
    /** Answers that a client leaves unread before it is cut off; no client can wait for so many. */
    final int clientUnread = 4 * clientQueries;
    /** For which a connection whose write side is shut is read on, so that what crosses resets nothing. */
    final int clientLinger = 1_000;
    /** Connections in that state; past this the eldest of them is closed at once. */
    final int lingering;
    final int clientIdle = 60_000;
    /** Looks after which a client that has sent nothing of use, or has not ended a message, has to go. */
    final int silentTicks = 8;
    /** Looks after which a client that has sent nothing yet goes before the others if there is no room. */
    final int chanceTicks = 2;
    final int unfinishedTicks = 5;
    /** The same for one that has been served and goes on writing, however slowly: ten seconds. */
    final int slowTicks = 40;
    /** After which a client that has taken nothing of what waits for it is cut off. */
    final int clientStall = 10_000;
    final int messageBytes = 1 << 18;
    final int messageValues = 256;
    /** An unfinished message up to this size may come even where there is no room. */
    final int smallMessage = 4096;
    /** What waits for one client before it is not read from. */
    final int unsentBytes = 1 << 16;
    /** What the kernel may hold for one client each way: that counts against the front's memory, too. */
    final int socketBytes = 1 << 16;
    /** What is read at once, at first and at most. */
    final int firstRead = 2048;
    final int largestRead = 16_384;

    // All queries, and what is held for them: statements, unfinished messages, answers.
    final int queries = 2048;
    /** Traces of queries that are known to have been taken; some 60 bytes each, twice as many at the most. */
    final int recentTraces = 8192;
    final long heldBytes;
    final int answerBytes = 48_000;
    /** Figures of a query past these can't be meant, and what can't be meant is not decided on. */
    final double longestPatience;
    final double largestEstimate = 1e9;
    /** Past a query's time before the front answers for the decisions; the rules allow a little more. */
    final int lastResort = 10;
    /** Past a query's time after which its answer is told of as late; the rules allow so much more. */
    final int lateAnswer = 50;
    /** After a client's end in which a submission of its may still begin, by the rules. */
    final int sentToGone = 100;
    /** Late and unanswered queries that are told of one by one in a span; the rest are counted. */
    final int missesNamed = 8;
    /** The time that clients are named with a refusal, as the deployment has it. */
    final int comeBack;

    // Engines.
    final int pageBytes = 6_000;
    final int headBytes = 4_096;
    final int pages = 64;
    final int reportFields = 16;
    final int engineConnections;
    final int allEngineConnections;
    final int connectionQueries;
    final int connectTimeout;
    final int engineIdle;
    /** After which a connection that owes answers is asked whether it works. */
    final int engineSilence = 1_000;
    /** Submissions on one connection before another is dialled. */
    final int sharedBy = 4;
    /** Looks for which an answer may stand begun before its connection is given up. */
    final int partTicks = 2;

    // The journal service. It says something each second, and counts as having told what it has 2 s after a
    // break and 4 s after a stop.
    final int journalSilence = 1_800;
    final int journalConnect = 1_000;
    final int journalFirstWait = 50;
    final int journalLongestWait = 500;
    /** Of an event. A list of all engines is one. */
    final int journalBytes;
    /** Of a line that goes on: so many are a sign of life, as a whole line is. Less is no pace of a list. */
    final int journalPart = 4096;
    /** Engines that are held at a time. */
    final int engines;
    /** After which the journal's socket is looked at again before anything is decided or sent. */
    final int newsAge = 10;
    /** An alarm that is later than this shows that the loop stood still. */
    final int stoodStill = 50;

    // The end. SIGKILL comes 0.7 s past the longest queue timeout, which counts as 3 s where it is longer.
    // New connections come for 0.4 s after SIGTERM, requests on open ones for as long as they are open.
    private static final int LONGEST_TIMEOUT_WHILE_LEAVING = 3_000;
    private static final int KILLED_AFTER_TIMEOUT = 700;
    /** Before SIGKILL: for the last answers to go out, for clients to read them, for the process to end. */
    private static final int ANSWERED_BEFORE_KILL = 450;
    private static final int SHUT_BEFORE_KILL = 350;
    private static final int GONE_BEFORE_KILL = 200;
    private static final int USUAL_LEAVING_QUIET = 800;
    /** Since SIGTERM: until then connections stay open, also where nothing is out. */
    final int leavingQuiet;
    /** Since SIGTERM: by then all that was taken is answered. */
    final int leavingLongest;
    /** Since SIGTERM: by then clients have had their time to read their last answers. */
    final int leavingGone;
    /** What clients have for that at the most. */
    final int leavingFlush = 300;

    /** Between two looks at all connections. */
    final int tick = 250;
    final int logEvery = 10_000;
    final int logKinds = 64;
    final int logLine = 200;
    /** What one turn of the loop has for a connection goes out in one write, up to so many messages. */
    final int flushes = 256;

    Limits(Boot boot, int sockets, long memoryMb) throws BootException {
        // A twelfth of the memory. Buffers have a quarter and grow by doubling: a tenth, doubled, left too
        // little for reads and what lies between, and four floods in eight met the end of direct memory.
        heldBytes = (memoryMb << 20) / 12;
        // The heap is seven parts in 24. While a list is read, its text is held twice as the buffer grows;
        // each of its engines is reckoned at 1.3 kB here, in the decisions and in the list before. By 160
        // bytes of text for each that is some ten times the text, most of the heap with a forty-eighth of
        // the memory: 25,000 engines with 192 MB.
        journalBytes = (int) Math.min(1 << 29, (memoryMb << 20) / 48);
        engines = journalBytes / 160;
        // What remains after the process's own stands open to clients, who come in any number, to engines and
        // to connections that end. Their sum stays under the limit, so that a call to the journal service is
        // always possible: idle clients may fill their part for as long as discovery is down.
        int free = sockets - OWN_DESCRIPTORS;
        lingering = Math.max(1, free / 16);
        allEngineConnections = Math.max(4, Math.min(sockets / 4, free / 3));
        engineConnections = Math.max(1, Math.min(8, sockets / 64));
        clientConnections = Math.min(sockets / 2, free - allEngineConnections - lingering);
        connectionQueries = Math.max(1, (int) boot.number("allowed.multiplex", 32));
        connectTimeout = Math.max(1, (int) boot.number("allowed.connectTimeoutMs", 1_000));
        // The engine closes at the full time; a submission that crossed that would have an unclear end.
        engineIdle = (int) (boot.number("allowed.idleCloseMs", 30_000) * 0.8);
        double longest = boot.longestTimeout();
        longestPatience = longest > 0 ? 2 * longest : 1e9;
        int timeout = longest > 0 ? (int) Math.min(longest, LONGEST_TIMEOUT_WHILE_LEAVING)
                : LONGEST_TIMEOUT_WHILE_LEAVING;
        int killed = timeout + KILLED_AFTER_TIMEOUT;
        leavingQuiet = Math.min(USUAL_LEAVING_QUIET, killed - SHUT_BEFORE_KILL);
        leavingLongest = killed - ANSWERED_BEFORE_KILL;
        leavingGone = killed - GONE_BEFORE_KILL;
        Deployment.Allowed allowed = boot.deployment().allowed();
        comeBack = allowed.comeBack() ? (int) (allowed.longestComeBack() / 10) : 0;
    }
}
