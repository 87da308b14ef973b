package reedspring.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Part of the build: runs the program under a short load while the JVM records the classes that it loads, and
 * writes them to a class data sharing archive with which a front starts in half the time. A front works
 * without the archive, so a failure here does not fail the build.
 */
public final class ClassArchive {
    private ClassArchive() {
    }

    public static void main(String[] args) throws Exception {
        try (JournalStandIn journal = new JournalStandIn();
                EngineStandIn engine = new EngineStandIn(EngineStandIn.answerWithPages(3));
                EngineStandIn nonConforming = new EngineStandIn(command -> command.answerRaw("+PONG\r\n"));
                Program program = new Program(Program.configJson(Program.freeAddress(), journal.address(),
                        JournalStandIn.event(1, true,
                                JournalStandIn.engineRow("e0", engine.address(), "ready"),
                                JournalStandIn.engineRow("e1", nonConforming.address(), "ready"),
                                JournalStandIn.engineRow("e2", Program.freeAddress(), "ready"))),
                        Path.of("."), List.of("/bin/sh", "-c", Program.runCommand(Path.of("."))
                                .replace("-XX:SharedArchiveFile=", "-XX:ArchiveClassesAtExit=")));
                Client client = program.awaitReady().connectClient()) {
            Rig.await("the journal request", () -> !journal.requestPositions.isEmpty());
            journal.send("id: 2\ndata: " + JournalStandIn.event(2, false,
                    JournalStandIn.engineRow("e1", nonConforming.address(), "draining")) + "\n\n");
            client.send(Client.pack(List.of(0, 1, "heartbeat", List.of(Map.of())))).read();
            // Loads the classes of later operations too: reading them from the jar is slow on half a core.
            program.reload(Program.configJson(program.listenAddress, journal.address()));
            client.send(Client.pack(List.of(0, 1, "stroll", List.of(Map.of(), new byte[0])))).read();
            client.send(Client.query(1, Client.trace(), 1, "too late")).read();
            String statement = "select 'a' from sales_17.orders -- b";
            for (int id = 2; id < 200; id++) {
                client.send(Client.query(id, Client.trace(), 2000, statement)).read();
            }
            program.process.toHandle().destroy();
            Rig.require(program.process.waitFor(Rig.TIMEOUT_S, TimeUnit.SECONDS),
                    "the front did not exit after SIGTERM");
        } catch (IOException | AssertionError e) {
            System.err.println("no class archive: " + e);
        }
    }
}
