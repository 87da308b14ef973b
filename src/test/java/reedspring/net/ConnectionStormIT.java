package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.ConnectionStorm;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;
import reedspring.rig.SteadyClients;

/**
 * A started front to which bad clients connect again and again. No client in use loses its connection, or a
 * request on it; docs/incidents/connection-storm.md.
 */
class ConnectionStormIT extends StartedFrontTest {
    private static final int STEADY_CLIENTS = 25;
    private static final int INTERVAL_MS = 400;
    private static final int PATIENCE_MS = 1_000;
    /** By the rules: half a second after the request's time, and 50 ms on sockets. */
    private static final int LATEST_ANSWER_MS = PATIENCE_MS + 550;
    private static final int STORM_MS = 8_000;
    /** With so few descriptors a front has this many client connections at most. */
    private static final int FEW_DESCRIPTORS = 128;
    private static final int FEW_CONNECTIONS = 53;
    private static final int CLIENTS_IN_USE = 30;

    private void startWithFewDescriptors() throws Exception {
        EngineStandIn engine = engine(1);
        journal = open(new JournalStandIn());
        front = open(new Program(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine.address(), "ready")))
                .replace("\"sockets\":1024", "\"sockets\":" + FEW_DESCRIPTORS))).awaitReady();
    }

    private static void ask(Client client, int id) throws IOException {
        List<?> answer = client.send(Client.query(id, Client.trace(), PATIENCE, "select 1")).read();
        assertNotNull(Client.rows(answer), answer::toString);
    }

    private List<Client> askOnNewConnections(int count) throws IOException {
        List<Client> clients = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            clients.add(client());
            ask(clients.get(k), 1);
        }
        return clients;
    }

    /**
     * Review case 3: one turn accepted up to 4,096 connections before it read the ends of those that had
     * closed, met its limit, and closed clients in use, which saw it only when the turn was over.
     */
    @Example
    void clientsInUseKeepTheirConnections() throws Exception {
        start(engine(1), engine(1));
        SteadyClients steady = open(new SteadyClients(front.listenAddress, STEADY_CLIENTS, INTERVAL_MS,
                PATIENCE_MS));
        ConnectionStorm storm = open(new ConnectionStorm(front.listenAddress, 200, 100));
        Thread.sleep(STORM_MS);
        SteadyClients.Result result = steady.stop();
        assertEquals(List.of(), result.lost(), () -> result + " " + front.log);
        assertTrue(result.longestMs() <= LATEST_ANSWER_MS, () -> result + " " + front.log);
        assertTrue(storm.connections() > 1_000, "connections of the storm: " + storm.connections());
        assertEquals(STEADY_CLIENTS, result.connections(), () -> result + " " + front.log);
    }

    /** Connections that say nothing, all of them new, once took the places of clients that just rested. */
    @Example
    void silentNewcomersTakeNoPlaceOfAClientInUse() throws Exception {
        startWithFewDescriptors();
        List<Client> inUse = askOnNewConnections(CLIENTS_IN_USE);
        for (int k = 0; k < 2 * FEW_CONNECTIONS; k++) {
            client();
        }
        await("the limit", () -> front.logged("client connections at their limit"));
        for (Client client : inUse) {
            ask(client, 2);
        }
    }

    /** A client that has sent part of a request is not closed for a newcomer, although idle for longest. */
    @Example
    void partOfARequestKeepsThePlaceOfItsClient() throws Exception {
        startWithFewDescriptors();
        List<Client> clients = askOnNewConnections(FEW_CONNECTIONS);
        byte[] request = Client.query(2, Client.trace(), PATIENCE, "select 1");
        clients.get(0).send(Arrays.copyOf(request, 30));
        Thread.sleep(100);
        ask(client(), 1);
        clients.get(0).send(Arrays.copyOfRange(request, 30, request.length));
        assertNotNull(Client.rows(clients.get(0).read()));
        assertTrue(clients.get(1).closedByFront(), "the one that was idle for longest makes room");
    }
}
