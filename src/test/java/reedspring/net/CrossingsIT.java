package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.event;
import static reedspring.rig.JournalStandIn.host;
import static reedspring.rig.Rig.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Two events that cross, found in the pre-production hunt: docs/incidents/fault-hunt.md has a row for each. */
class CrossingsIT extends Started {
    private static final byte[] NO_MESSAGEPACK = {(byte) 0xc1, (byte) 0xc1};

    /** Answers nothing by itself; what it was asked is kept. */
    private EngineStandIn holding(List<EngineStandIn.Command> held) throws IOException {
        return open(new EngineStandIn(command -> {
            if (command.word().equals("fetch")) {
                held.add(command);
            }
        }));
    }

    private boolean served() {
        try {
            serves();
            return true;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- a client's connection that the front has to end

    /** What was taken before the bytes that can't be read is still owed its answer. */
    @Example
    void queriesOnAConnectionWithBrokenFramingGetTheirAnswer() throws Exception {
        List<EngineStandIn.Command> held = new CopyOnWriteArrayList<>();
        start(holding(held));
        Client client = client().send(Client.query(1, Client.trace(), PATIENCE, "a"),
                Client.query(2, Client.trace(), PATIENCE, "b"));
        await("both at the engine", () -> held.size() == 2);
        client.send(NO_MESSAGEPACK);
        Map<Long, List<?>> answers = client.read(2);
        assertTrue(answers.values().stream().allMatch(answer -> "Shed".equals(Client.error(answer))),
                answers::toString);
        assertTrue(client.ended());
    }

    // ---- discovery

    /** Each call was given up after 1.8 s of silence, so a service that takes longer was never heard. */
    @Example
    void aServiceThatAnswersEachCallLateIsHeard() throws Exception {
        EngineStandIn first = engine(1);
        EngineStandIn second = engine(1);
        journal = open(new JournalStandIn());
        journal.answersAfterMs = 3_000;
        journal.tell(true, host("e0", first.address(), "ready"));
        journal.tell(false, host("e0", first.address(), "draining"), host("e1", second.address(), "ready"));
        long began = System.nanoTime();
        front = open(new Program(Program.config(Program.freeAddress(), journal.address(),
                event(1, true, host("e0", first.address(), "ready"))))).ready();
        await("the new engine in use", () -> served() && !second.seen("fetch").isEmpty());
        long tookMs = (System.nanoTime() - began) / 1_000_000;
        assertTrue(tookMs < 7_000, "it counts as told after 7 s: " + tookMs);
    }
}
