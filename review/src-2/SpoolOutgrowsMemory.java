import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients take reports in pages at a rate that the pages name, for less time than answers are kept. The spool is
 * far from its size on disk when the front's memory is used up by what it keeps of each answer.
 */
final class SpoolOutgrowsMemory {
    /** LATER.md: 32 to 192 MB; up to 520 requests a second on one day. */
    private static final int MEMORY_MB = 80;
    private static final double PER_SECOND = 520;
    /** 16 clients with 16 lookups every 2 s, from the 60th second on; there are as many fewer reports then. */
    private static final double LOOKUPS_FROM_MS = 60_000;
    private static final double LOOKUPS_PER_SECOND = 128;
    private static final String[] TENANTS = {"acme", "dom-lipa", "sklep-kalina"};
    private static final int TAKERS = 64;
    private static final double FILL_MS = 90_000;
    private static final double END_MS = 94_000;

    public static void main(String[] args) {
        Rig.main(args[0], SpoolOutgrowsMemory::run);
    }

    private static boolean run() throws Exception {
        String sheet = NoDescriptorsLeft.sheet();
        String[] hosts = new String[6];
        for (int k = 0; k < hosts.length; k++) {
            Rig.Engine engine = new Rig.Engine("e" + k);
            engine.keep = false;
            engine.serviceMs = 100;
            engine.handler = command -> NoDescriptorsLeft.serve(engine, command, sheet, 2);
            hosts[k] = Rig.host(engine.name, engine.port, "ready", 0);
        }
        Rig.JournalService journal =
                new Rig.JournalService(new ArrayList<>(List.of(Rig.event(1, true, hosts))));
        Rig.Front front = new Rig.Front("n0");
        front.configure(Rig.configuration(front, journal, MEMORY_MB, 1024, Rig.settings(false, 3, "1,4",
                Rig.group("lookup", 1_000, 5_000, "repeatable", 0),
                Rig.group("report", 1_500, 5_000, "repeatable", 0)).replace(
                "{\"name\":\"acme\",\"share\":1.0,\"quotaPerS\":100}",
                "{\"name\":\"acme\",\"share\":0.4,\"quotaPerS\":250},"
                + "{\"name\":\"dom-lipa\",\"share\":0.3,\"quotaPerS\":250},"
                + "{\"name\":\"sklep-kalina\",\"share\":0.3,\"quotaPerS\":250}")));
        // All settings of the spool but its folder and its key are the usual ones.
        front.arguments = NoDescriptorsLeft.keepAnswers(front, "");
        front.start();
        Rig.sleep(500);
        double begin = Rig.now();
        byte[] statement = "select * from sales_17.orders".getBytes();
        AtomicInteger kept = new AtomicInteger();
        List<Rig.Call> calls = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int k = 0; k < TAKERS; k++) {
            clients.add(Rig.thread("taker", () -> take(front, begin, statement, kept, calls)));
        }
        for (int k = 0; k < 16; k++) {
            clients.add(Rig.thread("lookups", () -> ask(front, begin, statement, calls)));
        }
        while (Rig.now() < begin + END_MS) {
            Rig.sleep(5_000);
            Rig.record(kept + " reports are kept; resident " + front.status("VmRSS") / 1024 + " MB of "
                    + MEMORY_MB);
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        Rig.sleep(begin + END_MS + 5_000 + Rig.LOST_AFTER_MS + Rig.SLACK_MS + 1_000 - Rig.now());
        int lost = 0;
        int answered = 0;
        for (Rig.Call call : calls) {
            lost += call.lost() ? 1 : 0;
            answered += call.lost() ? 0 : 1;
            if (call.lost() && lost <= 20) {
                Rig.record(call.method + " " + call.trace + ": " + call.outcome);
            }
        }
        Rig.record("requests answered in time: " + answered + ", lost: " + lost + "; the front is "
                + (front.process.isAlive() ? "alive" : "dead"));
        return lost == 0;
    }

    private static void take(Rig.Front front, double begin, byte[] statement, AtomicInteger kept,
                             List<Rig.Call> calls) {
        Rig.Client client = null;
        while (Rig.now() < begin + FILL_MS) {
            double started = Rig.now();
            try {
                client = client == null || client.ended ? new Rig.Client(front.port) : client;
                Map<String, String> fields = Rig.fields(Rig.trace(), 5_000, 20);
                fields.put("customer", TENANTS[(int) (Math.random() * TENANTS.length)]);
                if (Rig.TROUBLE) {
                    fields.put("pages", "1");
                }
                Rig.Call report = client.call("report", fields, statement, 5_000);
                report.await(5_000 + Rig.LOST_AFTER_MS + Rig.SLACK_MS);
                if (report.fields.get("handle") != null) {
                    kept.incrementAndGet();
                }
                if (!"served".equals(report.outcome)) {
                    calls.add(report);
                }
                if (report.outcome != null) {
                    client.calls.remove(report.number);
                }
            } catch (IOException e) {
                client = null;
            }
            double rate = PER_SECOND - (started < begin + LOOKUPS_FROM_MS ? 0 : LOOKUPS_PER_SECOND);
            Rig.sleep(Math.max(1, TAKERS * 1_000.0 / rate - (Rig.now() - started)));
        }
    }

    /** Usual traffic at the end: bursts of lookups, fewer than a connection carries. */
    private static void ask(Rig.Front front, double begin, byte[] statement, List<Rig.Call> calls) {
        Rig.Client client = null;
        Rig.sleep(Math.max(0, begin + LOOKUPS_FROM_MS - Rig.now()));
        while (Rig.now() < begin + END_MS) {
            try {
                client = client == null || client.ended ? new Rig.Client(front.port) : client;
                // PROTOCOL.md: a connection carries up to 32 open requests.
                for (int k = 0; k < 16 && client.open() < 32; k++) {
                    calls.add(client.query("lookup", 5_000, 100, statement));
                }
            } catch (IOException e) {
                client = null;
            }
            Rig.sleep(2_000);
        }
    }
}
