package reedspring.rig.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import reedspring.rig.Client;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable.EntryType;

/**
 * Simulated clients that send seeded queries at seeded times. Each front receives its share of the queries,
 * over a small pool of connections that are reopened when they are lost. A deferred query is sent once more
 * after the pause that the front asked for. Every request is kept with its responses for the checks.
 */
final class SimulatedClients {
    private static final long NS_PER_MS = 1_000_000;
    private static final int CONNECTIONS_PER_FRONT = 6;
    private static final int MAX_REQUESTS_PER_QUERY = 2;
    /** Time after which the load balancer before the fronts stops using a front that refuses connections. */
    private static final long BALANCER_NOTICES_NS = 1_000 * NS_PER_MS;
    /** A request sent less than this before its connection ended is sent again, once. */
    private static final long RESEND_WINDOW_NS = 50 * NS_PER_MS;
    private static final int SLOW_WRITE_ONE_IN = 6;
    private static final int SLOW_WRITE_CHUNKS = 12;
    private static final double ABANDON_PROBABILITY = 0.3;
    private static final int MAX_ABANDON_DELAY_MS = 400;
    private static final int PIPELINED_REQUESTS = 30;
    private static final int WARM_UP_HEARTBEATS = 20;
    private static final int IDLE_CONNECTIONS_PER_CALL = 20;
    private static final int MAX_IDLE_CONNECTIONS = 1_200;
    private static final int IDLE_CONNECTION_LIFETIME_S = 4;

    /** One query of a client, which may take several requests. */
    record ClientQuery(int group, double workMs, double needMb, long firstSentAt) {
    }

    /** One request, with its responses in the order of their arrival. Times are in nanoseconds. */
    static final class Request {
        final ClientQuery query;
        final int number;
        final String trace = Client.trace();
        final int front;
        /** The time just before the last byte was written. */
        volatile long sentAt = System.nanoTime();
        /** The patience that the request states, in milliseconds from when it was sent; 0 before that. */
        volatile int patienceMs;
        final List<String> responses = new ArrayList<>();
        volatile long respondedAt;
        /** The statement as it was sent. */
        volatile String statement = "";
        volatile boolean sent;
        volatile boolean connectionLost;
        volatile long lostAt;
        /** When the client revoked the request or closed its connection; 0 if it did neither. */
        volatile long clientLeftAt;
        private boolean resent;

        /** Describes what became of the request, in milliseconds after the start of the run. */
        String describe(long startedAt) {
            return "the request was " + (resent ? "resent" : "sent") + " at "
                    + (sentAt - startedAt) / NS_PER_MS
                    + ", responses " + responses + (respondedAt == 0 ? "" : " at "
                    + (respondedAt - startedAt) / NS_PER_MS)
                    + (connectionLost ? ", connection lost at " + (lostAt - startedAt) / NS_PER_MS : "")
                    + (clientLeftAt != 0 ? ", client left" : "");
        }

        /** Marks the request as lost with its connection. */
        void markLost() {
            lostAt = System.nanoTime();
            connectionLost = true;
        }

        Request(ClientQuery query, int number, int front) {
            this.query = query;
            this.number = number;
            this.front = front;
        }
    }

    private final Timetable timetable;
    private final Connection[][] connections;
    private final long[] refusedAt;
    private final String[] addresses;
    private final ScheduledExecutorService scheduler;
    /** Connecting through a cut link blocks, so each send has a thread and doesn't delay the others. */
    private final ExecutorService sendExecutor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final SplittableRandom random;
    private final List<Request> requests = new ArrayList<>();
    private final Set<Client> idleConnections = ConcurrentHashMap.newKeySet();
    /** Fronts that are being shut down: the load balancer opens no new connection to them. */
    private final Set<Integer> drainingFronts = ConcurrentHashMap.newKeySet();
    /** Client behaviours that are active now, beside the ordinary queries. */
    private final Set<EntryType> activeBehaviours = ConcurrentHashMap.newKeySet();

    /** One connection to a front through the fault proxy. */
    private final class Connection {
        private final int front;
        private volatile Client client;
        private int lastId;
        private Map<Long, Request> pending = new ConcurrentHashMap<>();

        private Connection(int front) {
            this.front = front;
        }

        private boolean isOpen() {
            return client != null;
        }

        private synchronized void send(Request request) {
            try {
                if (client == null) {
                    Client newClient = new Client(addresses[front]);
                    Map<Long, Request> ownPending = new ConcurrentHashMap<>();
                    client = newClient;
                    pending = ownPending;
                    Thread reader = new Thread(() -> readLoop(newClient, ownPending));
                    reader.setDaemon(true);
                    reader.start();
                }
                int id = ++lastId;
                pending.put((long) id, request);
                write(client, request, id);
                if (activeBehaviours.contains(EntryType.GIVE_UP) && request.sent
                        && draw() < ABANDON_PROBABILITY) {
                    Client usedClient = client;
                    Map<Long, Request> pendingNow = pending;
                    long delayMs = (long) (draw() * MAX_ABANDON_DELAY_MS);
                    boolean closes = draw() < 0.5;
                    scheduler.schedule(() -> abandon(usedClient, pendingNow, request, id, closes), delayMs,
                            TimeUnit.MILLISECONDS);
                }
            } catch (IOException e) {
                // A resend that fails here counts as not sent: this front never accepted it.
                request.sent &= !request.resent;
                onLost(client, pending);
                refusedAt[front] = System.nanoTime();
            }
        }

        private void write(Client target, Request request, int id) throws IOException {
            boolean slowly = activeBehaviours.contains(EntryType.SLOW_CLIENTS)
                    && draw() * SLOW_WRITE_ONE_IN < 1;
            request.patienceMs = remainingPatienceMs(request);
            byte[] query = encode(request, id);
            if (slowly) {
                for (int k = 0; k < SLOW_WRITE_CHUNKS - 1; k++) {
                    target.send(Arrays.copyOfRange(query, k * query.length / SLOW_WRITE_CHUNKS,
                            (k + 1) * query.length / SLOW_WRITE_CHUNKS));
                    pause((int) (draw() * 2 * MAX_ABANDON_DELAY_MS / 5));
                }
            }
            request.sentAt = System.nanoTime();
            target.send(slowly ? Arrays.copyOfRange(query,
                    (SLOW_WRITE_CHUNKS - 1) * query.length / SLOW_WRITE_CHUNKS, query.length) : query);
            request.sent = true;
        }

        private synchronized void abandon(Client usedClient, Map<Long, Request> pendingThen, Request request,
                int id, boolean closes) {
            try {
                synchronized (SimulatedClients.this) {
                    long now = System.nanoTime();
                    if (closes) {
                        pendingThen.values().stream().filter(each -> each.responses.isEmpty()
                                && each.clientLeftAt == 0).forEach(each -> each.clientLeftAt = now);
                    } else if (request.responses.isEmpty()) {
                        request.clientLeftAt = now;
                    }
                }
                if (closes) {
                    usedClient.close();
                    client = client == usedClient ? null : client;
                } else {
                    usedClient.send(Client.pack(List.of(2, "revoke", List.of(id))));
                }
            } catch (IOException e) {
                // the connection was closed before
            }
        }

        private void readLoop(Client source, Map<Long, Request> ownPending) {
            try {
                while (true) {
                    List<?> response = source.read();
                    // Not under the lock that a slow write holds, which would delay the measured response.
                    onResponse(ownPending.get((Long) response.get(1)), response);
                }
            } catch (IOException | RuntimeException e) {
                onLost(source, ownPending);
            }
        }

        private synchronized void onLost(Client lostClient, Map<Long, Request> ownPending) {
            long now = System.nanoTime();
            for (Request request : List.copyOf(ownPending.values())) {
                if (!request.responses.isEmpty() || request.clientLeftAt != 0) {
                    continue;
                }
                if (request.sent && !request.resent && now - request.sentAt < RESEND_WINDOW_NS) {
                    request.resent = true;
                    ownPending.values().remove(request);
                    sendExecutor.execute(() -> send(request));
                } else {
                    request.markLost();
                }
            }
            if (lostClient != null && client == lostClient) {
                client = null;
            }
            try {
                if (lostClient != null) {
                    lostClient.close();
                }
            } catch (IOException e) {
                // the connection is lost anyway
            }
        }
    }

    SimulatedClients(Timetable timetable, long seed, String[] addresses, ScheduledExecutorService scheduler) {
        this.timetable = timetable;
        this.addresses = addresses;
        this.scheduler = scheduler;
        this.random = new SplittableRandom(seed);
        this.refusedAt = new long[timetable.fronts()];
        this.connections = new Connection[timetable.fronts()][CONNECTIONS_PER_FRONT];
        for (int front = 0; front < timetable.fronts(); front++) {
            for (int connection = 0; connection < CONNECTIONS_PER_FRONT; connection++) {
                connections[front][connection] = new Connection(front);
            }
        }
    }

    private static byte[] encode(Request request, int id) {
        Map<String, Object> fields = Client.fields(request.trace, request.patienceMs);
        fields.put("weight", String.format(Locale.ROOT, "%.2f", request.query.workMs));
        fields.put("need_mb", String.format(Locale.ROOT, "%.0f", request.query.needMb));
        if (request.statement.isEmpty()) {
            request.statement = String.format(Locale.ROOT,
                    "select work=%.2f need=%.1f threads=%d from sales_%d.orders",
                    request.query.workMs, request.query.needMb,
                    FleetSettings.THREADS_PER_QUERY[request.query.group], id % 9);
        }
        return Client.pack(List.of(0, id, FleetSettings.GROUPS[request.query.group], List.of(fields,
                request.statement.getBytes(StandardCharsets.UTF_8))));
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    private static void pause(int ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Turns a behaviour of faulty clients on or off. */
    void setBehaviour(EntryType behaviour, boolean on) {
        if (on) {
            activeBehaviours.add(behaviour);
        } else {
            activeBehaviours.remove(behaviour);
        }
    }

    /** Sets whether the load balancer avoids new connections to the front; open ones stay in use. */
    void setDraining(int front, boolean on) {
        if (on) {
            drainingFronts.add(front);
        } else {
            drainingFronts.remove(front);
        }
    }

    /** Lets the active kinds of faulty clients connect to one front; called periodically. */
    void runFaultyClients(int front) {
        if (drainingFronts.contains(front)) {
            return;
        }
        if (activeBehaviours.contains(EntryType.BAD_CLIENTS)) {
            double kind = draw();
            sendExecutor.execute(() -> sendMalformed(front, kind));
        }
        if (activeBehaviours.contains(EntryType.COPIED_TRACES)) {
            sendExecutor.execute(() -> sendCopiedTrace(front));
        }
        if (activeBehaviours.contains(EntryType.IDLE_CROWD)) {
            sendExecutor.execute(() -> openIdleConnections(front));
        }
        if (activeBehaviours.contains(EntryType.PIPELINE) && draw() < 0.1) {
            sendExecutor.execute(() -> sendPipelined(front, false));
        }
    }

    private void sendMalformed(int front, double kind) {
        try {
            if (kind < 0.2) {
                sendPipelined(front, true);
                return;
            }
            Request request = kind < 0.6 ? newExtraRequest(front) : null;
            Client client = new Client(addresses[front]);
            scheduler.schedule(() -> closeQuietly(client), 5, TimeUnit.SECONDS);
            if (request == null) {
                client.send(kind < 0.8 ? new byte[] {(byte) 0x94, 0, 1} : new byte[0]);
                return;
            }
            request.patienceMs = remainingPatienceMs(request);
            request.sentAt = System.nanoTime();
            client.send(encode(request, 1));
            request.sent = true;
            pause(30);
            // The request before the malformed bytes is valid and must be answered.
            client.send(kind < 0.4 ? new byte[] {(byte) 0xc1, 1, 2} : Arrays.copyOf(encode(request, 2), 20));
            readResponses(client, Map.of(1L, request));
        } catch (IOException e) {
            // the front is down
        }
    }

    /** Reuses the trace of the front's latest request, answered or pending, with another statement. */
    private void sendCopiedTrace(int front) {
        Request copied = latestRequest(front);
        if (copied == null) {
            return;
        }
        try (Client client = new Client(addresses[front])) {
            Map<String, Object> fields = Client.fields(copied.trace, remainingPatienceMs(copied));
            String statement = "select work=1.00 need=1.0 threads=1 from copied_1.orders";
            client.send(Client.pack(List.of(0, 1, FleetSettings.GROUPS[0], List.of(fields,
                    statement.getBytes(StandardCharsets.UTF_8)))));
            client.read();
        } catch (IOException | RuntimeException e) {
            // the request was refused, or the front is down
        }
    }

    private synchronized Request latestRequest(int front) {
        boolean answered = random.nextBoolean();
        for (int k = requests.size() - 1; k >= 0; k--) {
            Request request = requests.get(k);
            if (request.front == front && request.sent && answered != request.responses.isEmpty()) {
                return request;
            }
        }
        return null;
    }

    /** Opens some more connections that send nothing, up to the limit over all fronts. */
    private void openIdleConnections(int front) {
        for (int k = 0; k < IDLE_CONNECTIONS_PER_CALL && idleConnections.size() < MAX_IDLE_CONNECTIONS; k++) {
            try {
                Client client = new Client(addresses[front]);
                idleConnections.add(client);
                scheduler.schedule(() -> closeQuietly(client), IDLE_CONNECTION_LIFETIME_S, TimeUnit.SECONDS);
            } catch (IOException e) {
                // the front is down
            }
        }
    }

    /**
     * Pipelines requests on a new connection.
     *
     * @param closesAtOnce whether the client closes the connection right after the last request
     */
    private void sendPipelined(int front, boolean closesAtOnce) {
        try {
            Client client = new Client(addresses[front]);
            Map<Long, Request> requestsById = new HashMap<>();
            ByteArrayOutputStream messages = new ByteArrayOutputStream();
            for (int id = 1; id <= PIPELINED_REQUESTS; id++) {
                Request request = newExtraRequest(front);
                request.patienceMs = remainingPatienceMs(request);
                requestsById.put((long) id, request);
                messages.writeBytes(encode(request, id));
            }
            requestsById.values().forEach(request -> request.sentAt = System.nanoTime());
            client.send(messages.toByteArray());
            requestsById.values().forEach(request -> request.sent = true);
            if (closesAtOnce) {
                requestsById.values().forEach(request -> request.clientLeftAt = System.nanoTime());
                client.close();
                return;
            }
            readResponses(client, requestsById);
        } catch (IOException e) {
            // the front is down
        }
    }

    private synchronized Request newExtraRequest(int front) {
        int group = timetable.mix().group(random);
        Request request = new Request(new ClientQuery(group, timetable.mix().workMs(group, random),
                timetable.mix().needMb(group, random),
                System.nanoTime()), MAX_REQUESTS_PER_QUERY, front);
        requests.add(request);
        return request;
    }

    private void readResponses(Client client, Map<Long, Request> requestsById) {
        try (client) {
            for (int remaining = requestsById.size(); remaining > 0; remaining--) {
                List<?> response = client.read();
                onResponse(requestsById.get((Long) response.get(1)), response);
            }
        } catch (IOException | RuntimeException e) {
            requestsById.values().stream().filter(request -> request.responses.isEmpty())
                    .forEach(Request::markLost);
        }
    }

    private static void closeQuietly(Client client) {
        try {
            client.close();
        } catch (IOException e) {
            // the connection was closed already
        }
    }

    private int remainingPatienceMs(Request request) {
        return (int) Math.max(1, FleetSettings.patienceMs(timetable, request.query.group)
                - (System.nanoTime() - request.query.firstSentAt) / NS_PER_MS);
    }

    /** Sends heartbeats to each front over new connections, so that a cold rig doesn't distort the run. */
    void warmUp() throws Exception {
        List<Future<?>> warmUps = new ArrayList<>();
        for (String address : addresses) {
            for (int c = 0; c < CONNECTIONS_PER_FRONT; c++) {
                warmUps.add(sendExecutor.submit(() -> {
                    sendHeartbeats(address);
                    return null;
                }));
            }
        }
        for (Future<?> each : warmUps) {
            each.get(Rig.TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    private static void sendHeartbeats(String address) throws IOException {
        try (Client client = new Client(address)) {
            for (int id = 1; id <= WARM_UP_HEARTBEATS; id++) {
                client.send(Client.pack(List.of(0, id, "heartbeat", List.of(Client.fields("", 0))))).read();
            }
        }
    }

    /** Sends a new query to a front that is drawn by the fronts' shares. */
    synchronized void sendNewQuery() {
        int group = timetable.mix().group(random);
        ClientQuery query = new ClientQuery(group, timetable.mix().workMs(group, random),
                timetable.mix().needMb(group, random), System.nanoTime());
        double draw = random.nextDouble();
        int front = 0;
        while (front < timetable.fronts() - 1 && (draw -= timetable.queryShare(front)) >= 0) {
            front++;
        }
        dispatch(query, 1, front);
    }

    private synchronized void dispatch(ClientQuery query, int number, int preferredFront) {
        int connection = random.nextInt(CONNECTIONS_PER_FRONT);
        int front = preferredFront;
        for (int k = 0; k < timetable.fronts() && (unreachable(front, connection) || refusedAt[front] != 0
                && System.nanoTime() - refusedAt[front] > BALANCER_NOTICES_NS); k++) {
            if (!drainingFronts.contains(front)
                    && System.nanoTime() - refusedAt[front] > 2 * BALANCER_NOTICES_NS) {
                refusedAt[front] = 0; // the load balancer tries the front again
                break;
            }
            front = random.nextInt(timetable.fronts());
        }
        Request request = new Request(query, number, front);
        requests.add(request);
        Connection target = connections[front][connection];
        sendExecutor.execute(() -> target.send(request));
    }

    private boolean unreachable(int front, int connection) {
        return drainingFronts.contains(front) && !connections[front][connection].isOpen();
    }

    private void onResponse(Request request, List<?> response) {
        Rig.require(request != null, "response to an unknown request: " + response);
        String rows = Client.rows(response);
        String kind = rows == null ? String.valueOf(Client.error(response))
                : rows.startsWith(request.trace + "\t") && rows.endsWith("\trow\n") ? "served" : "spoilt";
        synchronized (this) {
            request.responses.add(kind);
            request.respondedAt = System.nanoTime();
        }
        if (kind.equals("Shed") && request.number < MAX_REQUESTS_PER_QUERY) {
            long pauseMs = Math.max(5, deferralPauseMs(response));
            if (remainingPatienceMs(request) > pauseMs + 20) {
                scheduler.schedule(() -> dispatch(request.query, request.number + 1, request.front), pauseMs,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    /** The pause in milliseconds that a deferral asks for; 0 if it states none. */
    private static long deferralPauseMs(List<?> response) {
        Object fields = ((List<?>) response.get(2)).size() > 1 ? ((List<?>) response.get(2)).get(1) : null;
        // The client decodes a map as a list of alternating names and values.
        if (fields instanceof List<?> pairs) {
            for (int k = 0; k + 1 < pairs.size(); k += 2) {
                if ("pause".equals(pairs.get(k))) {
                    return Long.parseLong(String.valueOf(pairs.get(k + 1)));
                }
            }
        }
        return 0;
    }

    synchronized List<Request> requests() {
        return List.copyOf(requests);
    }
}
