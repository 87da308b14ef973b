package review;

import static review.Kit.*;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A tokened query runs on one engine, which answers that it failed: it may have run. The link to the other
 * engine is cut for some seconds. The front sends the repeat into the cut link; it comes to the engine after
 * all engines have forgotten the first run.
 */
public final class Repeat {
    private static final long DEADLINE_MS = 7_500;
    private static final long WINDOW_MS = 3_000;
    /** Each time limit is 50 ms longer on sockets. */
    private static final long SLACK_MS = 50;
    private static final long CUT_MS = 5_000;
    private static final long WORK_MS = 300;

    /** What the engines remember: all of them recognise a repeat by its mark, for the window. */
    private final Map<String, Long> firstRuns = new HashMap<>();
    private final Map<String, List<String>> effects = new HashMap<>();
    private final String[] names = {"e0", "e1"};
    private final Link[] links = new Link[2];
    private volatile String ranFirst;
    private volatile boolean warm;
    private volatile long ownStallMs;

    public static void main(String[] args) {
        play(Path.of(args[1]), 60, () -> new Repeat().run(Path.of(args[0])));
    }

    private int run(Path root) throws Exception {
        Path folder = Files.createTempDirectory("review");
        background(this::watchOwnStalls);
        Journal journal = new Journal();
        String[] rows = new String[2];
        for (int k = 0; k < 2; k++) {
            String name = names[k];
            links[k] = new Link(new Engine(name, command -> onCommand(name, command)).address());
            rows[k] = Journal.row(name, links[k].address(), "ready");
        }
        journal.publish(true, rows);
        String listen = "127.0.0.1:" + freePort();
        Front front = new Front(root, folder, listen, config(listen, journal, 192,
                group("lookup", "repeatable", 1000, DEADLINE_MS, WINDOW_MS) + ","
                        + group("load", "by_key", 1500, DEADLINE_MS, WINDOW_MS), "1,1"));

        // Usual traffic first, until the front has a connection to each engine.
        Client client = front.connect();
        List<String> served = new ArrayList<>();
        for (int round = 0; round < 10; round++) {
            List<Long> ids = new ArrayList<>();
            for (int k = 0; k < 4; k++) {
                ids.add(client.query("lookup", fields(trace(), 3_000, "100.0"), "select * from sales_17.orders"));
            }
            for (long id : ids) {
                Answer answer = client.answer(id, 4_000);
                require(answer != null && answer.error() == null, "usual traffic is not served");
                served.add(answer.body().trim().split("\t")[0]);
            }
        }
        note("usual traffic was served by e0 " + served.stream().filter("e0"::equals).count() + " times, by e1 "
                + served.stream().filter("e1"::equals).count() + " times");
        require(served.contains("e0") && served.contains("e1"), "an engine got no usual traffic");
        Thread.sleep(200);
        warm = true;

        String mark = "mark-" + trace();
        Map<String, String> fields = fields(trace(), DEADLINE_MS * 9 / 10, "300.0");
        fields.put("nonce", mark);
        note("the client sends tokened query " + fields.get("trace") + ", " + mark + ", patience "
                + fields.get("patience") + " ms");
        long id = client.query("load", fields, "insert into sales_17.orders values (1)");
        Answer answer = client.answer(id, DEADLINE_MS + 1_000);
        note("the client has " + (answer == null ? "no answer" : answer.error() == null ? "served: "
                + answer.body().trim() : answer.error()));
        // Whatever the answer, the cut ends and what was sent into it comes.
        Thread.sleep(CUT_MS + 1_500);
        synchronized (this) {
            List<String> runs = effects.getOrDefault(mark, List.of());
            note("effects of " + mark + ": " + runs);
            note("this program itself stood still for " + ownStallMs + " ms at most, which is added to the window");
            require(ownStallMs < 1_000, "this program itself stood still for too long");
            require(!runs.isEmpty(), "the query never ran");
            boolean broken = runs.size() > 1;
            note(broken ? "BROKEN: the effect happened " + runs.size() + " times" : "HELD");
            return broken ? BROKEN : HELD;
        }
    }

    private void onCommand(String name, Command command) throws Exception {
        if (!command.word().equals("fetch")) {
            note(name + " got " + command.words());
            return;
        }
        if (!warm) {
            background(() -> {
                Thread.sleep(100);
                command.answer("data", "sheets=1,toil=100.0,room=96", name + "\t1\trow\n");
            });
            return;
        }
        String mark = command.field("dedupe");
        note(name + " got whole: fetch " + command.id() + " " + command.words().get(2));
        synchronized (this) {
            Long firstRun = firstRuns.get(mark);
            if (firstRun != null && now() - firstRun <= WINDOW_MS + SLACK_MS + ownStallMs) {
                note(name + " recognises the repeat, " + (now() - firstRun) + " ms after the first run began");
                command.answer("data", "sheets=1,toil=1.0,room=96", name + "\t1\trepeat\n");
                return;
            }
            firstRuns.put(mark, now());
            effects.computeIfAbsent(mark, k -> new ArrayList<>()).add(name + " at " + now() + " ms");
            note(name + " runs it" + (firstRun == null ? "" : " AGAIN: the first run began "
                    + (now() - firstRun) + " ms ago, the window is " + WINDOW_MS + " ms"));
            if (ranFirst != null) {
                command.answer("data", "sheets=1,toil=300.0,room=96", name + "\t1\trow\n");
                return;
            }
            ranFirst = name;
        }
        background(() -> {
            Link other = links[name.equals("e0") ? 1 : 0];
            if (trouble()) {
                note("the link to " + (name.equals("e0") ? "e1" : "e0") + " is cut for " + CUT_MS + " ms");
                other.cut();
                background(() -> {
                    Thread.sleep(CUT_MS);
                    note("the link heals");
                    other.heal();
                });
            }
            Thread.sleep(WORK_MS);
            note(name + " answers failed: the query may have run");
            command.answer("failed", "-", "");
        });
    }

    private void watchOwnStalls() throws Exception {
        while (true) {
            long before = System.nanoTime();
            Thread.sleep(10);
            ownStallMs = Math.max(ownStallMs, (System.nanoTime() - before) / 1_000_000 - 10);
        }
    }
}
