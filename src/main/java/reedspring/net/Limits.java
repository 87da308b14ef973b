package reedspring.net;

import reedspring.api.Deployment;
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;
import reedspring.spool.SpoolBudget;

/**
 * All limits on the front's resources, computed once at start. Times are in milliseconds, sizes in bytes.
 * They are independent of the decisions about queries: at a limit, a request is refused before any decision
 * on it, or a connection is closed.
 */
final class Limits {
    /**
     * Descriptors of the process itself: files of the JVM and its libraries, log, event loop, listener, three
     * connections to the journal service, the configuration file, and a reserve. An idle front has 29 open.
     */
    private static final int RESERVED_DESCRIPTORS = 41;
    /** Files of kept answers that stay open for reads. */
    private static final int MAX_SPOOL_READ_FILES = 32;

    // Clients. They may hold a third of the descriptors; the rest of the half is for overlapping connections.
    final int clientConnections;
    final int maxClientQueries = 32;
    /** Unread answers at which a client is disconnected; no client can be waiting for that many. */
    final int maxUnreadAnswers = 4 * maxClientQueries;
    /** How long a half-closed connection is still read, so that data in transit doesn't cause a reset. */
    final int lingerMs = 1_000;
    /** Maximum number of half-closed connections; above it the oldest is closed at once. */
    final int maxLingering;
    /** Time after which an idle client is disconnected. */
    final int clientIdleMs = 60_000;
    /** Connections without a valid request for which those in use may be closed. */
    final int maxFreshConnections;
    /** Ticks after which a client that has sent no usable or no complete message is disconnected. */
    final int silentTicks = 8;
    /** Ticks after which a client that has sent nothing is the first to be closed at the connection limit. */
    final int firstMessageTicks = 2;
    /**
     * Ticks after which an unfinished message closes its connection: ticks without progress for a client that
     * has been served, ticks in all for another.
     */
    final int unfinishedTicks = 5;
    /** Limit for an unfinished message of a client that has been served and keeps writing slowly: 10 s. */
    final int slowMessageTicks = 40;
    /** Ticks after which a client that reads none of its pending answers is disconnected: 10 s. */
    final int clientStallTicks = 40;
    /** The same for a half-closed connection, in periods of {@link #lingerMs}. */
    final int clientStallLingerChecks = 10;
    final int messageBytes = 1 << 18;
    final int messageValues = 256;
    /** An unfinished message up to this size is accepted even when {@link #heldBytes} is used up. */
    final int smallMessageBytes = 4096;
    /** Unsent bytes for one client at which reading from it is paused. */
    final int unsentBytes = 1 << 16;
    /** Kernel buffer of one client in each direction; it counts towards the front's memory limit, too. */
    final int socketBytes = 1 << 16;
    /** Initial and maximum size of a read buffer. */
    final int initialReadBytes = 2048;
    final int maxReadBytes = 16_384;

    // What one turn of the event loop may spend on one connection, and on submissions.
    /** Clients: as many messages as a client may have open requests. */
    final ReadBudget.Limit clientReads =
            new ReadBudget.Limit(LoopBudget.CLIENT_READS, socketBytes, maxClientQueries, 1 << 10);
    /** Engines: the answers of a connection's usual number of submissions, 48 kB each. */
    final ReadBudget.Limit engineReads = new ReadBudget.Limit(LoopBudget.ENGINE_READS, 1 << 18, 128, 1 << 12);
    /** The journal service: the largest event, and whole events of this many bytes. */
    final ReadBudget.Limit journalReads;
    private static final int JOURNAL_EVENT_BYTES_PER_TURN = 1 << 18;
    final int submissionsPerTurn = 128;
    /** Connections accepted in one turn. */
    final int acceptsPerTurn;
    /**
     * Turns for which a query waits until its client's input has been read to the end. A client that sends
     * more than that without a pause has its query turned away, as nobody knows whether it is still there.
     */
    final int maxUnfinishedLooks = 8;
    /** Turns for which a submission waits until the journal's events have been read to the end. */
    final int maxTurnsBehindJournal = 3;

    // All queries and the memory held for them: statements, unfinished messages, answers.
    final int queries = 2048;
    /** Traces of accepted queries that are remembered; some 60 bytes each, up to twice as many are held. */
    final int recentTraces = 8192;
    final long heldBytes;
    /** The part of {@link #heldBytes} for unfinished messages; the rest is left to requests and answers. */
    final long partialMessageBytes;
    /** Ticks without progress in a message after which its client may be closed if memory is needed. */
    final int reclaimTicks = 2;
    final int answerBytes = 48_000;
    /** A request with values above these is refused as implausible, before any decision on it. */
    final double maxPatienceMs;
    final double maxEstimate = 1e9;
    /** Time after a query's deadline at which the front answers if no decision did; the rules allow more. */
    final int fallbackAnswerMs = 10;
    /** How long after a query's deadline its answer is logged as late; the rules allow as much. */
    final int lateAnswerMs = 50;
    /** How long after a client has disconnected a submission for it may still begin, by the rules. */
    final int sentAfterDisconnectMs = 100;
    /** Late or unanswered queries that are logged one by one in a log interval; the rest are counted. */
    final int maxLoggedMisses = 8;
    /** The retry delay that refused clients are sent, from the deployment; 0 for none. */
    final int retryAfterMs;

    /** What the answers that are kept on disk may use of memory and descriptors, or null without them. */
    final SpoolBudget spoolBudget;

    // Engines.
    private static final int PAGE_BYTES = 6_000;
    final int pageBytes = PAGE_BYTES;
    final int headBytes = 4_096;
    final int pages = 64;
    final int reportFields = 16;
    final int engineConnections;
    final int allEngineConnections;
    final int connectionQueries;
    final int connectTimeoutMs;
    final int engineIdleMs;
    /** Silence after which a connection with outstanding answers is probed. */
    final int engineSilenceMs = 1_000;
    /** Concurrent submissions on a connection at which another one is opened. */
    final int submissionsPerConnection = 4;
    /**
     * Time after a submission is given up at which its connection is reset if nothing proves that it has
     * arrived; with the time of a look and a reset, less than {@link #sentAfterDisconnectMs}.
     */
    final int arrivalCheckMs = 80;
    /** Time after the latest time to send a repeat by which it must have arrived. */
    final int repeatTransitMs = 10;
    /** Ticks for which an incomplete answer may make no progress before its connection is closed. */
    final int incompleteAnswerTicks = 2;
    /** The same for an answer that makes progress: 10 s. */
    final int slowAnswerTicks = 40;

    // The journal service. It sends something every second. It is assumed to have delivered its events 2 s
    // after a broken connection, and 4 s after a stop.
    final int journalSilenceMs = 1_800;
    final int journalConnectMs = 1_000;
    final int journalMinBackoffMs = 50;
    final int journalMaxBackoffMs = 500;
    /** Maximum size of an event; a list of all engines is a single event. */
    final int maxJournalEventBytes;
    /** Bytes of an unfinished line that count as activity, as a whole line does; fewer are too slow. */
    final int journalActivityBytes = 4096;
    /** Maximum number of known engines. */
    final int engines;
    /** Age of the last read of the journal's socket at which it is read again before a decision or a send. */
    final int journalReadAgeMs = 10;
    /** A timer that is later than this shows a stall of the event loop. */
    final int stallMs = 50;

    // Shutdown. After SIGTERM, SIGKILL follows 0.7 s after the longest queue timeout, which is counted as 3 s
    // at most. New connections arrive for 0.4 s after SIGTERM, requests on open ones until they are closed.
    private static final int MAX_COUNTED_QUEUE_TIMEOUT_MS = 3_000;
    private static final int KILL_AFTER_QUEUE_TIMEOUT_MS = 700;
    /** Reserves before SIGKILL: to send the last answers, for clients to read them, to end the process. */
    private static final int ANSWERED_BEFORE_KILL_MS = 450;
    private static final int CLOSED_BEFORE_KILL_MS = 350;
    private static final int EXIT_BEFORE_KILL_MS = 200;
    private static final int DEFAULT_QUIET_MS = 800;
    /** Time since SIGTERM for which connections stay open even if no query is held. */
    final int shutdownQuietMs;
    /** Time since SIGTERM by which all accepted requests are answered. */
    final int shutdownAnsweredMs;
    /** Time since SIGTERM at which waiting for clients to read their last answers ends. */
    final int shutdownEndMs;
    /** How long the front waits for clients to close after they have read their last answers. */
    final int shutdownLingerMs = 300;

    /** Interval of the periodic check of all connections; the limits in ticks above count these. */
    final int tickMs = 250;
    final int logIntervalMs = 10_000;
    final int maxLogKinds = 64;
    final int maxLogDetailChars = 200;
    /** Messages to a connection in one turn of the loop that are combined into one write at most. */
    final int maxMessagesPerWrite = 256;

    /** Limits of a front that keeps no answers on disk. */
    Limits(DeploymentReader deploymentReader, int sockets, long memoryMb)
            throws InvalidConfigurationException {
        this(deploymentReader, sockets, memoryMb, false);
    }

    /** @param keepsAnswers whether resources are set aside for answers that are kept on disk */
    Limits(DeploymentReader deploymentReader, int sockets, long memoryMb, boolean keepsAnswers)
            throws InvalidConfigurationException {
        spoolBudget = keepsAnswers ? spoolBudget(sockets, memoryMb) : null;
        // A twelfth of the memory. Direct buffers have a quarter and grow by doubling. With a tenth, doubled,
        // too little was left for reads and copies: 4 of 8 overload runs exhausted direct memory.
        heldBytes = (memoryMb << 20) / 12;
        partialMessageBytes = heldBytes / 2;
        // The heap is 7/24 of the memory. While a list is read, its text is held twice as the buffer grows,
        // and each engine takes an estimated 1.3 kB in this package, the decisions and the previous list. At
        // 160 bytes of text for each engine the total is about ten times the text. A limit of 1/48 of the
        // memory thus uses most of the heap: 25,000 engines with 192 MB.
        // The index of answers on disk takes a part of the heap all the time: half as many engines then.
        maxJournalEventBytes = (int) Math.min(1 << 29, (memoryMb << 20) / (keepsAnswers ? 96 : 48));
        engines = maxJournalEventBytes / 160;
        journalReads = new ReadBudget.Limit(LoopBudget.JOURNAL_READS,
                maxJournalEventBytes + JOURNAL_EVENT_BYTES_PER_TURN, JOURNAL_EVENT_BYTES_PER_TURN, 1 << 12);
        // The descriptors besides the reserve are divided among clients, engines and half-closed connections.
        // Their sum stays below the limit, so that the journal service can always be reached, even if idle
        // clients use up their part while discovery is down.
        int available = sockets - RESERVED_DESCRIPTORS - (keepsAnswers ? spoolBudget.descriptors() : 0);
        maxLingering = Math.max(1, available / 16);
        allEngineConnections = Math.max(4, Math.min(sockets / 4, available / 3));
        engineConnections = Math.max(1, Math.min(8, sockets / 64));
        clientConnections = Math.min(sockets / 2, available - allEngineConnections - maxLingering);
        maxFreshConnections = clientConnections / 4;
        // What clients hold, a third of the descriptors, and those accepted in one turn fit below the limit.
        acceptsPerTurn = Math.max(1, Math.min(64, (clientConnections - sockets / 3) / 2));
        connectionQueries = Math.max(1, (int) deploymentReader.number("allowed.multiplex", 32));
        connectTimeoutMs = Math.max(1, (int) deploymentReader.number("allowed.connectTimeoutMs", 1_000));
        // The engine closes idle connections at the full time; the outcome of a submission sent in the same
        // moment would be unknown.
        engineIdleMs = (int) (deploymentReader.number("allowed.idleCloseMs", 30_000) * 0.8);
        double longestQueueTimeoutMs = deploymentReader.longestTimeout();
        maxPatienceMs = longestQueueTimeoutMs > 0 ? 2 * longestQueueTimeoutMs : 1e9;
        int countedQueueTimeoutMs = longestQueueTimeoutMs > 0
                ? (int) Math.min(longestQueueTimeoutMs, MAX_COUNTED_QUEUE_TIMEOUT_MS)
                : MAX_COUNTED_QUEUE_TIMEOUT_MS;
        int killAtMs = countedQueueTimeoutMs + KILL_AFTER_QUEUE_TIMEOUT_MS;
        shutdownQuietMs = Math.min(DEFAULT_QUIET_MS, killAtMs - CLOSED_BEFORE_KILL_MS);
        shutdownAnsweredMs = killAtMs - ANSWERED_BEFORE_KILL_MS;
        shutdownEndMs = killAtMs - EXIT_BEFORE_KILL_MS;
        Deployment.Capabilities capabilities = deploymentReader.deployment().capabilities();
        retryAfterMs = capabilities.retryTimes() ? (int) (capabilities.maxRetryAfter() / 10) : 0;
    }

    /**
     * The budget of answers on disk. The index takes a seventh of the heap, pages that wait for the disk
     * twice a fourteenth, and pages that are being read a 28th.
     */
    private static SpoolBudget spoolBudget(int sockets, long memoryMb) {
        long memoryBytes = memoryMb << 20;
        return new SpoolBudget(memoryBytes / 24, memoryBytes / 48,
                (int) Math.max(1, Math.min(Integer.MAX_VALUE, memoryBytes / 96 / PAGE_BYTES)),
                Math.max(1, Math.min(MAX_SPOOL_READ_FILES, sockets / 32)));
    }
}
