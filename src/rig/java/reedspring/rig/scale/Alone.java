package reedspring.rig.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import reedspring.Control;
import reedspring.api.Action;
import reedspring.api.Deployment;
import reedspring.api.Event;
import reedspring.api.Event.Health;
import reedspring.api.Event.Outcome;
import reedspring.api.Event.ListKind;
import reedspring.api.Id;
import reedspring.api.Load;
import reedspring.rig.Rig;

/** One front's decisions with nothing round them, in virtual time, to be measured one event at a time. */
final class Alone {
    private static final long SECOND = 10_000;
    /** What a query takes on its engine where several are out, as in a front's ordinary minute. */
    private static final long RUN = SECOND / 20;
    private static final long SHORT_RUN = 40;
    private static final double CORES = 8;

    private final Control control;
    private final List<Event.Listing> listings;
    private final ArrayDeque<Id.Query> out = new ArrayDeque<>();
    private long now = 1000 * SECOND;
    private Id.Timer pulse;
    private Action.Submit sent;
    private long ids;
    private long submits;
    private int rows;

    /** {@code queriesPerSecond} are those of all fronts that the settings tell. */
    Alone(long seed, int fronts, int engines, double queriesPerSecond) {
        listings = IntStream.range(0, engines).mapToObj(k -> listing(k, Health.UP)).toList();
        Deployment.ResourceGroup group = new Deployment.ResourceGroup(SECOND, 2, 1, 0, 1,
                Deployment.Effect.READ_ONLY, Deployment.Recognised.ALL, 0, false, null, null);
        Deployment house = new Deployment(fronts, List.of(group),
                List.of(new Deployment.Tenant(1, queriesPerSecond)),
                Map.of(new Id.Kind("std"), new Deployment.Machine(CORES, 64_000)),
                new Deployment.Capabilities(false, true, false, 3, SECOND / 2),
                new Deployment.Discovery(false, 10 * SECOND),
                new Deployment.ColdStart(0.3, 10 * SECOND, 3, 2 * SECOND), null, SECOND, 0.1, 2 * SECOND,
                true);
        control = new Control(seed, house, now, this::acts);
    }

    private static Event.Listing listing(int k, Health health) {
        return new Event.Listing(new Id.Engine(name(k)), new Id.Kind("std"), new Id.Zone("zone" + k % 14),
                new Id.Cell(k % 5), health, 0);
    }

    /** Eight hex digits, no two alike, in no order. */
    private static String name(int k) {
        return String.format(Locale.ROOT, "s-%08x", k * 2_654_435_761L & 0xffff_ffffL);
    }

    private void acts(Action action) {
        if (action instanceof Action.Submit submit) {
            sent = submit;
            submits++;
        } else if (action instanceof Action.StartTimer wake) {
            pulse = wake.timer();
        }
    }

    private void on(Event event) {
        control.onEvent(now, event, this::acts);
    }

    void wholeList() {
        on(new Event.EnginesListed(ListKind.COMPLETE, listings));
    }

    /** One engine drains, or is back. */
    void row() {
        int k = rows / 2 % listings.size();
        on(new Event.EnginesListed(ListKind.CHANGES,
                List.of(listing(k, rows++ % 2 == 0 ? Health.DRAINING : Health.UP))));
    }

    private void take(long work) {
        sent = null;
        on(new Event.Taken(new Id.Query(++ids), new Id.Group(0), new Id.Tenant(0), Id.DataSet.UNKNOWN,
                work, 1, now + 5 * SECOND, null));
        Rig.require(sent != null && sent.query().value() == ids, "query " + ids + " was not submitted");
        out.add(sent.query());
    }

    private void end(long took) {
        on(new Event.Closed(out.poll(), new Id.Submission(0), Outcome.FINISHED, true, took, 0, took));
    }

    /** Taken, submitted at once, over after 4 ms. */
    void query() {
        take(SHORT_RUN);
        now += SHORT_RUN;
        end(SHORT_RUN);
    }

    /** One of a stream of that rate, each out for 50 ms: as many end as come. */
    void queryOf(double perSecond) {
        now += Math.max(1, Math.round(SECOND / perSecond));
        if (out.size() >= perSecond * RUN / SECOND) {
            end(RUN);
        }
        take(RUN);
    }

    void pulse() {
        on(new Event.Woken(pulse));
    }

    void report() {
        on(new Event.LoadReported(listings.get((int) (ids++ % listings.size())).engine(),
                new Load(0.5, 0.4, Double.NaN, 3, 0)));
    }

    int held() {
        return out.size();
    }

    long submits() {
        return submits;
    }

    /** The journal's event with all rows, as the protocol page has it. */
    static byte[] wholeEvent(int engines) {
        List<String> rows = new ArrayList<>();
        for (int k = 0; k < engines; k++) {
            rows.add(String.format(Locale.ROOT, "{\"host\":\"%s\",\"dial\":\"10.%d.%d.%d:5050\","
                    + "\"site\":\"zone%d\",\"class\":\"std\",\"block\":%d,\"health\":\"ready\","
                    + "\"share\":4,\"born_ms\":1798761600000}", name(k), k >> 16, k >> 8 & 255, k & 255,
                    k % 14, k % 5));
        }
        return ("id: 1\ndata: {\"pos\":1,\"hosts\":{\"seq\":1,\"whole\":true,\"hosts\":["
                + String.join(",", rows) + "]}}\n\n").getBytes(StandardCharsets.US_ASCII);
    }
}
