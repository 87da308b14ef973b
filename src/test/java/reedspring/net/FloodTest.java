package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import reedspring.rig.Client;
import reedspring.rig.ConnectionStorm;
import reedspring.rig.FloodingClients;
import reedspring.rig.SteadyClients;

/**
 * Base of tests in which bad clients do their worst to a started front: the requests of steady clients beside
 * them still get their final answers in time; docs/incidents/client-flood.md.
 */
abstract class FloodTest extends StartedFrontTest {
    static final int PATIENCE_MS = 1_000;
    static final int FLOOD_MS = 3_000;
    static final int OPEN_REQUESTS = 300;
    private static final int STEADY_CLIENTS = 10;
    private static final int INTERVAL_MS = 100;
    /** By the rules: half a second after the request's time, and 50 ms on sockets. */
    private static final int LATEST_ANSWER_MS = PATIENCE_MS + 550;
    private static final int FLOODING_CLIENTS = 10;
    private static final int PARTIAL_REQUEST_CLIENTS = 200;
    private static final int SILENT_CLIENTS = 100;
    /** After SIGTERM, SIGKILL comes at this time at the earliest. */
    private static final int END_WITHIN_MS = 3_700;
    static final String STATEMENT = "select 1 from flood_3.t where x = '" + "x".repeat(250) + "'";

    static byte[] request(int id) {
        return Client.query(id, Client.trace(), PATIENCE_MS, STATEMENT);
    }

    /** Bad clients that send hundreds of requests at once, and another for each answer. */
    final FloodingClients startFlood() {
        return open(new FloodingClients(front.listenAddress, FLOODING_CLIENTS, OPEN_REQUESTS,
                FloodTest::request));
    }

    /** Bad clients that send half a request and close, again and again, and silent ones. */
    final ConnectionStorm startStorm() {
        return open(new ConnectionStorm(front.listenAddress, PARTIAL_REQUEST_CLIENTS, SILENT_CLIENTS));
    }

    final SteadyClients startSteadyClients() {
        return open(new SteadyClients(front.listenAddress, STEADY_CLIENTS, INTERVAL_MS, PATIENCE_MS));
    }

    /** Stops the steady clients and checks that none of their requests was late or lost. */
    final void checkAnswers(SteadyClients steady) throws InterruptedException {
        SteadyClients.Result result = steady.stop();
        assertEquals(List.of(), result.lost(), () -> result + " " + front.log);
        assertTrue(result.longestMs() <= LATEST_ANSWER_MS, () -> result + " " + front.log);
        assertTrue(result.answered() >= STEADY_CLIENTS, result::toString);
    }

    /** Sends SIGTERM and checks that the front ends with 0 before SIGKILL could come. */
    final void terminate() throws IOException, InterruptedException {
        long sigtermNanos = System.nanoTime();
        front.process.toHandle().destroy();
        assertTrue(front.process.waitFor(10, TimeUnit.SECONDS), front.log::toString);
        long tookMs = (System.nanoTime() - sigtermNanos) / 1_000_000;
        assertEquals(0, front.process.exitValue());
        assertTrue(tookMs < END_WITHIN_MS, () -> "ended " + tookMs + " ms after SIGTERM: " + front.log);
    }
}
