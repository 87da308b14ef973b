package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.engineRow;
import static reedspring.rig.JournalStandIn.event;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.lifecycle.AfterTry;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;
import reedspring.rig.Program;

/** Base of tests that start the program: starts and closes it, its engines and its journal service. */
abstract class StartedFrontTest {
    static final int PATIENCE = 5000;

    final List<AutoCloseable> opened = new ArrayList<>();
    JournalStandIn journal;
    Program front;

    final <T extends AutoCloseable> T open(T resource) {
        opened.add(resource);
        return resource;
    }

    @AfterTry
    void closeAll() throws Exception {
        for (AutoCloseable resource : opened) {
            resource.close();
        }
    }

    final EngineStandIn engine(int pages) throws IOException {
        return open(new EngineStandIn(EngineStandIn.answerWithPages(pages)));
    }

    final EngineStandIn silentEngine() throws IOException {
        return open(new EngineStandIn(command -> { }));
    }

    final Client client() throws IOException {
        return open(front.connectClient());
    }

    /** Starts a front with these engines, named e0, e1 and so on. */
    final void start(EngineStandIn... engines) throws Exception {
        String[] hosts = new String[engines.length];
        for (int k = 0; k < hosts.length; k++) {
            hosts[k] = engineRow("e" + k, engines[k].address(), "ready");
        }
        startWith(hosts);
    }

    final void startWith(String... hosts) throws Exception {
        journal = open(new JournalStandIn());
        front = open(new Program(Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, hosts)))).awaitReady();
    }

    /** Checks that a query on a new connection is answered. */
    final void serves() throws IOException {
        String trace = Client.trace();
        try (Client fresh = front.connectClient()) {
            String rows = Client.rows(fresh.send(Client.query(1, trace, PATIENCE, "select 1")).read());
            assertTrue(rows != null && rows.startsWith(EngineStandIn.page(trace, 0)), rows);
        }
    }

    final void startHeedingCancels(EngineStandIn engine) throws Exception {
        journal = open(new JournalStandIn());
        String config = Program.configJson(Program.freeAddress(), journal.address(),
                event(1, true, engineRow("e0", engine.address(), "ready")));
        front = open(new Program(config.replace("\"cancel\":false", "\"cancel\":true"))).awaitReady();
    }
}
