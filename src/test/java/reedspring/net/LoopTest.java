package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.rig.JournalStandIn.host;
import static reedspring.rig.Rig.await;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import reedspring.api.Event;
import reedspring.api.Event.Reading;
import reedspring.api.Id;
import reedspring.boot.Boot;
import reedspring.rig.Client;
import reedspring.rig.EngineStandIn;
import reedspring.rig.JournalStandIn;

/** The front's loop, held up on purpose between what comes and what is done about it. */
class LoopTest {
    private static final Map<String, String> SETTINGS = Map.of("classes.count", "1",
            "classes.0.name", "lookup", "classes.0.aimMs", "900", "classes.0.effect", "repeatable",
            "kinds", "m", "familyInfo.sizeCores", "40");

    private final List<AutoCloseable> opened = new ArrayList<>();
    private EventLoop loop;
    private Limits limits;
    private Front front;
    /** Runs once, on the loop, when the next submission has been decided and before it goes its way. */
    private volatile Runnable decided = () -> { };

    private <T extends AutoCloseable> T open(T what) {
        opened.add(what);
        return what;
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get(20, TimeUnit.SECONDS);
    }

    @BeforeTry
    void start() throws Exception {
        start(3);
    }

    private void start(int submissions) throws Exception {
        start(submissions, "repeatable");
    }

    private void start(int submissions, String effect) throws Exception {
        Turns turns = new Turns();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, turns);
        opened.add(() -> group.shutdownGracefully(0, 0, TimeUnit.SECONDS));
        loop = group.next();
        Map<String, String> settings = new HashMap<>(SETTINGS);
        settings.put("allowed.sendCap", Integer.toString(submissions));
        settings.put("classes.0.effect", effect);
        Boot boot = new Boot(settings);
        limits = new Limits(boot, 1024, 192);
        front = onLoop(() -> new Front(loop, turns, boot, limits, new Log(limits, null), 1,
                made -> heldUp(new Engines(loop, limits, made))));
    }

    private SubmissionRunner heldUp(SubmissionRunner engines) {
        return new SubmissionRunner() {
            @Override
            public void listed(Event.Reading reading, List<Host> hosts) {
                engines.listed(reading, hosts);
            }

            @Override
            public void send(Id.Engine engine, Submission submission) {
                Runnable first = decided;
                decided = () -> { };
                first.run();
                engines.send(engine, submission);
            }

            @Override
            public void tick(long now) {
                engines.tick(now);
            }
        };
    }

    private int serving(EngineStandIn engine) throws Exception {
        onLoop(() -> {
            front.listed(Reading.REMEMBERED, List.of(listed("e0", engine, Event.Health.UP)));
            return null;
        });
        return ((InetSocketAddress) Startup.server(loop, front, limits).bind("127.0.0.1", 0).sync().channel()
                .localAddress()).getPort();
    }

    private static List<?> asked(Client client, int id, int patienceMs) throws IOException {
        return client.send(Client.query(id, Client.trace(), patienceMs, "select")).read();
    }

    /** Stops the loop between the next decision and its way out, for as long as {@code meanwhile} takes. */
    private void whileTheLoopIsHeld(Client asks, byte[] query, Callable<?> meanwhile) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        decided = () -> {
            held.countDown();
            uninterrupted(goOn);
        };
        asks.send(query);
        assertTrue(held.await(20, TimeUnit.SECONDS));
        try {
            meanwhile.call();
        } finally {
            goOn.countDown();
        }
    }

    /** A look that brought bytes has not seen what lies behind them. */
    @Example
    void aCloseThatLiesBehindOtherBytesIsSeenBeforeAnythingIsSent() throws Exception {
        EngineStandIn engine = engine();
        int port = serving(engine);
        Client goes = open(new Client(port));
        Client stays = open(new Client(port));
        asked(goes, 1, 5_000);
        asked(stays, 1, 5_000);
        String trace = Client.trace();
        whileTheLoopIsHeld(goes, Client.query(2, trace, 5_000, "gone"), () -> {
            goes.send(Client.pack(List.of(0, 3, "heartbeat", List.of(Map.of()))));
            goes.close();
            Thread.sleep(250);
            return null;
        });
        asked(stays, 2, 5_000);
        assertTrue(engine.seen("fetch").stream().noneMatch(c -> c.id().equals(trace)),
                "begun 250 ms after its client had closed");
    }

    /** The same of an engine that closes a resting connection behind its last bytes. */
    @Example
    void anEnginesCloseThatLiesBehindOtherBytesIsSeenBeforeAnythingIsSent() throws Exception {
        start(3, "once");
        EngineStandIn engine = engine();
        Client client = open(new Client(serving(engine)));
        asked(client, 1, 5_000);
        whileTheLoopIsHeld(client, Client.query(2, Client.trace(), 5_000, "insert"), () -> {
            java.net.Socket resting = engine.accepted.get(0);
            resting.getOutputStream().write("*4\r\n$5\r\nfront".getBytes());
            resting.close();
            Thread.sleep(100);
            return null;
        });
        assertNotEquals(null, Client.rows(client.read()), "a mutating query with an unclear end");
    }

    /** The engine would be told that a millisecond is left, where none is. */
    @Example
    void nothingIsSentForAQueryWhoseTimeIsOver() throws Exception {
        EngineStandIn engine = engine();
        Client client = open(new Client(serving(engine)));
        asked(client, 1, 5_000);
        String trace = Client.trace();
        whileTheLoopIsHeld(client, Client.query(2, trace, 300, "too late"), () -> {
            Thread.sleep(600);
            return null;
        });
        assertEquals("Shed", Client.error(client.read()));
        asked(client, 3, 5_000);
        assertTrue(engine.seen("fetch").stream().noneMatch(c -> c.id().equals(trace)),
                "begun 300 ms after its time");
    }

    /** Whatever fails in carrying a decision out, its query has an answer in its time. */
    @Example
    void anErrorOnTheLoopCostsNoAnswer() throws Exception {
        EngineStandIn engine = open(new EngineStandIn(EngineStandIn.pages(1)));
        int port = serving(engine);
        decided = () -> {
            throw new OutOfMemoryError("forced");
        };
        long began = System.nanoTime();
        Client client = open(new Client(port));
        assertEquals(1L, asked(client, 1, 300).get(1));
        assertTrue(System.nanoTime() - began < TimeUnit.MILLISECONDS.toNanos(800), "late");
        assertEquals(null, asked(client, 2, 5_000).get(2));
    }

    /** A listener may have no socket for a while; the looks at all connections go on meanwhile. */
    @Example
    void aListenerThatHasNoSocketYetHoldsUpNoLookAtConnections() throws Exception {
        int port = serving(open(new EngineStandIn(EngineStandIn.pages(1))));
        onLoop(() -> Startup.server(loop, front, limits));
        Client silent = open(new Client(port));
        silent.socket.setSoTimeout(limits.tick * (limits.silentTicks + 6));
        assertTrue(silent.ended(), "it is looked at, and ended as it sends nothing");
    }

    @AfterTry
    void closeAll() throws Exception {
        for (AutoCloseable what : opened) {
            what.close();
        }
    }

    private EngineStandIn engine() throws IOException {
        return open(new EngineStandIn(EngineStandIn.pages(1)));
    }

    private static Host listed(String name, EngineStandIn engine, Event.Health health) throws Exception {
        return new Host(new Event.Listing(new Id.Engine(name), new Id.Kind("m"), new Id.Zone("a"),
                new Id.Cell(0), health, 0), FrontConfiguration.address(engine.address(), "dial"), 0);
    }

    /** Queries first, then the notice, and both are in the sockets when the loop goes on. */
    @Example
    void newsGoBeforeQueriesThatCameEarlier() throws Exception {
        // With one submission each, none can go elsewhere after one that was withheld.
        start(1);
        EngineStandIn drained = engine();
        EngineStandIn other = engine();
        JournalStandIn journal = open(new JournalStandIn());
        journal.tell(true, host("e0", drained.address(), "ready"), host("e1", other.address(), "ready"));
        onLoop(() -> {
            Journal follower = new Journal(loop, front, limits,
                    FrontConfiguration.address(journal.address(), "journal"), 1);
            front.newsFrom(follower::readNow);
            follower.follow();
            return null;
        });
        InetSocketAddress listen = (InetSocketAddress) Startup.server(loop, front, limits)
                .bind("127.0.0.1", 0).sync().channel().localAddress();
        List<Client> clients = new ArrayList<>();
        for (int k = 0; k < 12; k++) {
            Client client = open(new Client(listen.getPort()));
            client.send(Client.query(1, Client.trace(), 5_000, "select")).read();
            clients.add(client);
        }
        assertTrue(!drained.seen.isEmpty() && !other.seen.isEmpty(), "both are in use");
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        loop.execute(() -> {
            held.countDown();
            uninterrupted(goOn);
        });
        held.await();
        int before = drained.seen.size();
        for (Client client : clients) {
            client.send(Client.query(2, Client.trace(), 5_000, "select"));
        }
        Thread.sleep(50);
        journal.tell(false, host("e0", drained.address(), "draining"));
        Thread.sleep(50);
        goOn.countDown();
        for (Client client : clients) {
            assertNotEquals(null, Client.rows(client.read()));
        }
        assertEquals(before, drained.seen.size(), "sent on after the notice lay in the socket");
    }

    /** Clients, engines and closing connections at their limits leave the process its own. */
    @Example
    void descriptorsAreSharedSoThatTheJournalIsAlwaysWithinReach() throws Exception {
        for (int sockets = 64; sockets <= 4_096; sockets++) {
            Limits each = new Limits(new Boot(SETTINGS), sockets, 192);
            int shared = each.clientConnections + each.allEngineConnections + each.lingering;
            assertTrue(sockets - shared >= 40 && each.clientConnections > 0 && each.allEngineConnections > 0,
                    shared + " of " + sockets);
            // Clients hold a third at most.
            assertTrue(sockets < 128 || each.clientConnections >= sockets / 3, "clients of " + sockets);
        }
    }

    /** Else a front that lives through thousands of engines keeps something of each. */
    @Example
    void theJournalKeepsNothingOfEnginesThatWholeListsNameNoMore() throws Exception {
        JournalStandIn journal = open(new JournalStandIn());
        EngineStandIn engine = engine();
        for (int k = 0; k < 200; k++) {
            journal.tell(k % 10 == 9, host("e" + k, engine.address(), "ready"));
        }
        Journal follower = onLoop(() -> {
            Journal made = new Journal(loop, front, limits,
                    FrontConfiguration.address(journal.address(), "journal"), 1);
            made.follow();
            return made;
        });
        await("the last list", () -> {
            try {
                return onLoop(follower::position) == 200;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        assertEquals(1, onLoop(follower::held));
    }

    /** A notice that comes between the decision and the way out, while the connection is still coming up. */
    @Example
    void whatIsDecidedIsWithheldOnceTheEngineDrainsAndGoesElsewhere() throws Exception {
        EngineStandIn first = engine();
        EngineStandIn second = engine();
        EmbeddedChannel client = onLoop(() -> {
            front.listed(Reading.REMEMBERED, List.of(listed("e0", first, Event.Health.UP)));
            EmbeddedChannel channel = new EmbeddedChannel(new ClientConnection(front));
            channel.writeInbound(new RpcDecoder.Call(1, "lookup", Map.of("trace", Client.trace(),
                    "patience", "5000"), Unpooled.copiedBuffer(new byte[5]), null));
            front.listed(Reading.CHANGES, List.of(listed("e0", first, Event.Health.DRAINING),
                    listed("e1", second, Event.Health.UP)));
            return channel;
        });
        await("the query at the other engine", () -> !second.seen.isEmpty());
        await("its answer", () -> {
            try {
                return onLoop(() -> !client.outboundMessages().isEmpty());
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
        assertTrue(first.seen.isEmpty(), "sent to an engine that drains");
        onLoop(client::finishAndReleaseAll);
    }

    /** Else a stop of the process would be taken for a peer that says nothing. */
    @Example
    void lateAlarmsRingOnlyWhenWhatCameMeanwhileIsRead() throws Exception {
        List<String> order = new CopyOnWriteArrayList<>();
        List<EngineStandIn.Command> asked = new CopyOnWriteArrayList<>();
        EngineStandIn engine = open(new EngineStandIn(asked::add));
        EmbeddedChannel client = onLoop(() -> {
            front.listed(Reading.REMEMBERED, List.of(listed("e0", engine, Event.Health.UP)));
            EmbeddedChannel channel = new EmbeddedChannel(new ClientConnection(front));
            channel.writeInbound(new RpcDecoder.Call(1, "lookup", Map.of("trace", Client.trace(),
                    "patience", "5000"), Unpooled.copiedBuffer(new byte[5]), null));
            return channel;
        });
        await("the query at the engine", () -> asked.size() == 1);
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        hold(order, held, goOn, client);
        held.await();
        EngineStandIn.pages(1).accept(asked.get(0));
        sleep(200);
        goOn.countDown();
        await("the alarm", () -> !order.isEmpty());
        assertEquals(List.of("answer"), order);
        onLoop(client::finishAndReleaseAll);
    }

    /** Both fall due together, and the first holds the loop up while the engine's answer arrives. */
    private void hold(List<String> order, CountDownLatch held, CountDownLatch goOn, EmbeddedChannel client) {
        loop.execute(() -> {
            loop.schedule(() -> {
                if (!order.isEmpty()) {
                    // The loop was late before, and the alarm has rung already.
                    order.clear();
                    hold(order, held, goOn, client);
                    return;
                }
                held.countDown();
                uninterrupted(goOn);
            }, 1, TimeUnit.MILLISECONDS);
            front.timers().in(20, () -> order.add(client.outboundMessages().isEmpty() ? "alarm" : "answer"));
            sleep(20);
        });
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void uninterrupted(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
