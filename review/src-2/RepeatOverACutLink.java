import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A tokened query fails on one engine and is sent again, within the time in which repeats are recognised, over
 * a link that has just been cut. Its bytes reach the second engine when the cut ends.
 */
final class RepeatOverACutLink {
    /** The figures of a deployment in MORE.md: class sales-load. */
    private static final double WINDOW_MS = 12_000;
    private static final double DEADLINE_MS = 20_000;
    private static final double SLACK_MS = 50;
    /** FLEET.md, day split: for 6 s. */
    private static final double CUT_MS = 6_000;
    private static final double FAILS_AFTER_MS = 7_200;

    public static void main(String[] args) {
        Rig.main(args[0], RepeatOverACutLink::run);
    }

    private static boolean run() throws Exception {
        Map<String, Double> firstRunAt = new ConcurrentHashMap<>();
        List<String> effects = new ArrayList<>();
        AtomicReference<Rig.Command> first = new AtomicReference<>();
        List<Rig.Engine> engines = new ArrayList<>();
        List<Rig.Link> links = new ArrayList<>();
        for (int k = 0; k < 2; k++) {
            Rig.Engine engine = new Rig.Engine("e" + k);
            engine.serviceMs = 200;
            engines.add(engine);
            links.add(new Rig.Link("link to e" + k, engine.port));
            engine.handler = command -> {
                if (!command.words[0].equals("fetch") || !"sales-load".equals(command.field("lane"))) {
                    engine.serve(command);
                    return;
                }
                synchronized (effects) {
                    Double before = firstRunAt.putIfAbsent(command.id(), command.at);
                    if (before != null && command.at - before <= WINDOW_MS + SLACK_MS) {
                        Rig.record(engine.name + " recognises a repeat of " + command.id() + " after "
                                + Math.round(command.at - before) + " ms and drops it");
                    } else {
                        effects.add(command.id());
                        Rig.record(engine.name + " runs " + command.id() + (before == null ? ""
                                : " AGAIN, " + Math.round(command.at - before) + " ms after its first run"));
                    }
                    if (before == null) {
                        first.set(command);
                    } else {
                        engine.serve(command);
                    }
                }
            };
        }
        Rig.JournalService journal = new Rig.JournalService(new ArrayList<>(List.of(Rig.event(1, true,
                Rig.host("e0", links.get(0).port, "ready", 0), Rig.host("e1", links.get(1).port, "ready", 0)))));
        Rig.Front front = new Rig.Front("n0");
        front.configure(Rig.configuration(front, journal, 192, 1024, Rig.settings(true, 6, "1,2",
                Rig.group("lookup", 1_500, 7_500, "repeatable", 0),
                Rig.group("sales-load", 3_000, DEADLINE_MS, "by_key", WINDOW_MS))));
        front.start();

        Rig.Client client = new Rig.Client(front.port);
        // Usual traffic first: both engines have an open connection after it.
        List<Rig.Call> lookups = new ArrayList<>();
        for (int k = 0; k < 16; k++) {
            lookups.add(client.query("lookup", 7_500, 200, "select * from sales_17.orders".getBytes()));
        }
        for (Rig.Call lookup : lookups) {
            if (!lookup.await(8_000) || !lookup.outcome.equals("served")) {
                throw new IllegalStateException("a lookup was not served: " + lookup.outcome);
            }
        }
        if (engines.stream().anyMatch(engine -> engine.links.isEmpty())) {
            throw new IllegalStateException("an engine has no connection");
        }

        Rig.Call load = client.query("sales-load", DEADLINE_MS, 5_000,
                "insert into sales_17.orders select * from staging.orders".getBytes());
        Rig.record("client sent sales-load " + load.trace);
        double limit = Rig.now() + 3_000;
        while (first.get() == null) {
            if (Rig.now() > limit) {
                throw new IllegalStateException("the load reached no engine");
            }
            Rig.sleep(1);
        }
        Rig.Command attempt = first.get();
        Rig.Link other = links.get(attempt.engine == engines.get(0) ? 1 : 0);
        Rig.sleep(attempt.at + FAILS_AFTER_MS - 300 - Rig.now());
        if (Rig.TROUBLE) {
            other.cut();
            Rig.TIMER.schedule(other::heal, (long) CUT_MS, TimeUnit.MILLISECONDS);
        }
        Rig.sleep(attempt.at + FAILS_AFTER_MS - Rig.now());
        Rig.record(attempt.engine.name + " answers failed: " + attempt.id() + " has run");
        attempt.link.answer(attempt.id(), "failed", "-", "");
        load.await(DEADLINE_MS);
        Rig.record("client's answer: " + load.outcome + " after " + Math.round(load.answeredAt - load.sentAt)
                + " ms");
        Rig.sleep(1_000);
        long runs = effects.stream().filter(load.trace::equals).count();
        Rig.record("effects of " + load.trace + ": " + runs);
        if (other.openedWhileCut > 0) {
            throw new IllegalStateException("the front dialled the cut engine: this is another case");
        }
        return runs <= 1;
    }
}
