import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One of five engines is cut off for 6 s. Clients withdraw what it does not answer. When the cut ends, the engine
 * gets these queries whole and begins them, seconds after their clients have gone.
 */
final class BeginsAfterItsClientLeft {
    /** FLEET.md: an attempt that begins more than 0.1 s later is a break; PROTOCOL.md: each limit is 50 ms longer. */
    private static final double LIMIT_MS = 100 + 50;
    /** FLEET.md, day split: for 6 s. */
    private static final double CUT_MS = 6_000;

    public static void main(String[] args) {
        Rig.main(args[0], BeginsAfterItsClientLeft::run);
    }

    private static boolean run() throws Exception {
        List<Rig.Engine> engines = new ArrayList<>();
        List<Rig.Link> links = new ArrayList<>();
        String[] hosts = new String[5];
        for (int k = 0; k < hosts.length; k++) {
            engines.add(new Rig.Engine("e" + k));
            engines.get(k).serviceMs = 200;
            links.add(new Rig.Link("link to e" + k, engines.get(k).port));
            hosts[k] = Rig.host("e" + k, links.get(k).port, "ready", 0);
        }
        Rig.JournalService journal =
                new Rig.JournalService(new ArrayList<>(List.of(Rig.event(1, true, hosts))));
        Rig.Front front = new Rig.Front("n0");
        front.configure(Rig.configuration(front, journal, 192, 1024, Rig.settings(false, 3, "1,4",
                Rig.group("lookup", 1_000, 5_000, "repeatable", 0),
                Rig.group("report", 1_500, 15_000, "repeatable", 0))));
        front.start();
        Rig.Client client = new Rig.Client(front.port);
        byte[] statement = "select * from sales_17.orders".getBytes();
        // Usual traffic: 20 lookups a second.
        List<Rig.Call> warm = new ArrayList<>();
        for (int k = 0; k < 40; k++) {
            warm.add(client.query("lookup", 5_000, 200, statement));
            Rig.sleep(50);
        }
        for (Rig.Call call : warm) {
            if (!call.await(5_500) || !call.outcome.equals("served")) {
                throw new IllegalStateException("a lookup was not served: " + call.outcome);
            }
        }
        if (engines.stream().anyMatch(engine -> engine.links.isEmpty())) {
            throw new IllegalStateException("an engine has no connection");
        }
        if (Rig.TROUBLE) {
            links.get(0).cut();
            Rig.TIMER.schedule(links.get(0)::heal, (long) CUT_MS, TimeUnit.MILLISECONDS);
        }
        List<Rig.Call> calls = new ArrayList<>();
        List<Double> leftAt = new ArrayList<>();
        // Each client waits for 0.6 s and then withdraws what is not answered.
        for (int k = 0; k < 32; k++) {
            if (k < 20) {
                calls.add(client.query("lookup", 5_000, 200, statement));
            }
            if (k >= 12) {
                Rig.Call call = calls.get(k - 12);
                boolean open = call.outcome == null;
                if (open) {
                    client.revoke(call);
                    Rig.record("client revokes " + call.trace);
                }
                leftAt.add(open ? Rig.now() : Double.MAX_VALUE);
            }
            Rig.sleep(50);
        }
        Rig.sleep(CUT_MS + 1_000);
        int late = 0;
        for (Rig.Engine engine : engines) {
            for (Rig.Command fetch : engine.fetches()) {
                for (int k = 0; k < calls.size(); k++) {
                    if (calls.get(k).trace.equals(fetch.id()) && fetch.at > leftAt.get(k) + LIMIT_MS + Rig.ownStall) {
                        late++;
                        Rig.record(engine.name + " began " + fetch.id() + " "
                                + Math.round(fetch.at - leftAt.get(k)) + " ms after its client had gone");
                    }
                }
            }
        }
        Rig.record("attempts begun after their client had gone: " + late);
        return late == 0;
    }
}
