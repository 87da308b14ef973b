package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.Rig.await;

import java.util.List;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;

/**
 * A client that sends another client's trace with a statement of its own: engines know a query by its trace,
 * and must not be sent a statement under a trace whose client never sent it.
 */
class UsedTracesIT extends Started {
    private static final String OWN = "select 1";
    private static final String FOREIGN = "select 2";

    private static List<String> statements(EngineStandIn engine) {
        return engine.seen("fetch").stream().map(command -> command.words().get(3)).toList();
    }

    private void refused(String trace) throws Exception {
        List<?> answer = client().send(Client.query(1, trace, PATIENCE, FOREIGN)).read();
        assertNotEquals(null, Client.error(answer), "served: " + answer);
        assertNotEquals("Shed", Client.error(answer), "a retry under that trace helps nobody");
    }

    /** It is copied while the answer is still on its way to the client. */
    @Example
    void theTraceOfAnAnsweredQueryNamesNoOther() throws Exception {
        EngineStandIn engine = engine(1);
        start(engine);
        String trace = Client.trace();
        assertTrue(Client.rows(client().send(Client.query(1, trace, PATIENCE, OWN)).read()) != null);
        refused(trace);
        assertEquals(List.of(OWN), statements(engine));
        serves();
    }

    /** Its client has given up, and the engine is still at work on it. */
    @Example
    void theTraceOfARevokedQueryThatStillRunsNamesNoOther() throws Exception {
        EngineStandIn silent = silentEngine();
        start(silent);
        String trace = Client.trace();
        Client gives = client().send(Client.query(1, trace, PATIENCE, OWN));
        await("the query at the engine", () -> silent.seen("fetch").size() == 1);
        gives.send(Client.pack(List.of(2, "revoke", List.of(1))));
        // A heartbeat behind it shows that the revoke has been read.
        gives.send(Client.pack(List.of(0, 2, "heartbeat", List.of(Client.fields("", 0))))).read();
        refused(trace);
        assertEquals(List.of(OWN), statements(silent));
    }

    /** A connection carries 32 open queries; one more is deferred unseen, and asked again otherwise. */
    @Example
    void theTraceOfAQueryThatWasTurnedAwayNamesNoOther() throws Exception {
        EngineStandIn silent = silentEngine();
        start(silent);
        Client client = client();
        for (int id = 1; id <= 32; id++) {
            client.send(Client.query(id, Client.trace(), PATIENCE, OWN));
        }
        String trace = Client.trace();
        List<?> turnedAway = client.send(Client.query(33, trace, PATIENCE, OWN)).read();
        assertEquals(List.of(33L, "Shed"), List.of(turnedAway.get(1), Client.error(turnedAway)));
        refused(trace);
        assertTrue(silent.seen("fetch").stream().noneMatch(command -> command.id().equals(trace)));
    }

    /** The same sixteen digits, written otherwise. */
    @Example
    void theCaseOfItsDigitsMakesNoOtherTrace() throws Exception {
        EngineStandIn silent = silentEngine();
        start(silent);
        String trace = "00000000abcdef01";
        client().send(Client.query(1, trace, PATIENCE, OWN));
        await("the query at the engine", () -> silent.seen("fetch").size() == 1);
        refused(trace.toUpperCase(java.util.Locale.ROOT));
        assertEquals(List.of(OWN), statements(silent));
    }
}
