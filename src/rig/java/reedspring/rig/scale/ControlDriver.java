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
import reedspring.api.Event.ListKind;
import reedspring.api.Event.Outcome;
import reedspring.api.Id;
import reedspring.api.Load;
import reedspring.rig.Rig;

/**
 * Drives one {@link Control} without sockets or threads, in virtual time, so that the cost of each kind of
 * event can be measured alone. Times are in ticks; one tick is a tenth of a millisecond.
 */
final class ControlDriver {
    private static final long TICKS_PER_SECOND = 10_000;
    /** Run time of a query on its engine where several queries are open at once: 50 ms. */
    private static final long RUN_TICKS = TICKS_PER_SECOND / 20;
    private static final long SHORT_RUN_TICKS = 40;
    private static final double ENGINE_CORES = 8;

    private final Control control;
    private final List<Event.Listing> listings;
    private final ArrayDeque<Id.Query> openQueries = new ArrayDeque<>();
    private long now = 1000 * TICKS_PER_SECOND;
    private Id.Timer timer;
    private Action.Submit lastSubmitted;
    private long lastId;
    private long submitCount;
    private int rowChanges;

    /** @param queriesPerSecond the quota of the one tenant, over all fronts together */
    ControlDriver(long seed, int fronts, int engines, double queriesPerSecond) {
        listings = IntStream.range(0, engines).mapToObj(k -> listing(k, Health.UP)).toList();
        Deployment.ResourceGroup group = new Deployment.ResourceGroup(TICKS_PER_SECOND, 2, 1, 0, 1,
                Deployment.Effect.READ_ONLY, Deployment.Recognised.ALL, 0, false, null, null);
        Deployment deployment = new Deployment(fronts, List.of(group),
                List.of(new Deployment.Tenant(1, queriesPerSecond)),
                Map.of(new Id.Kind("std"), new Deployment.Machine(ENGINE_CORES, 64_000)),
                new Deployment.Capabilities(false, true, false, 3, TICKS_PER_SECOND / 2),
                new Deployment.Discovery(false, 10 * TICKS_PER_SECOND),
                new Deployment.ColdStart(0.3, 10 * TICKS_PER_SECOND, 3, 2 * TICKS_PER_SECOND), null,
                TICKS_PER_SECOND, 0.1, 2 * TICKS_PER_SECOND, true);
        control = new Control(seed, deployment, now, this::onAction);
    }

    private static Event.Listing listing(int k, Health health) {
        return new Event.Listing(new Id.Engine(engineName(k)), new Id.Kind("std"),
                new Id.Zone("zone" + k % 14), new Id.Cell(k % 5), health, 0);
    }

    /** Eight hex digits after a prefix: unique for each engine and not sorted by index. */
    private static String engineName(int k) {
        return String.format(Locale.ROOT, "s-%08x", k * 2_654_435_761L & 0xffff_ffffL);
    }

    private void onAction(Action action) {
        if (action instanceof Action.Submit submit) {
            lastSubmitted = submit;
            submitCount++;
        } else if (action instanceof Action.StartTimer wake) {
            timer = wake.timer();
        }
    }

    private void deliver(Event event) {
        control.onEvent(now, event, this::onAction);
    }

    /** Delivers a complete list of all engines. */
    void deliverFullList() {
        deliver(new Event.EnginesListed(ListKind.COMPLETE, listings));
    }

    /** Delivers a change of one engine: to draining, and with the next call back to up. */
    void deliverRowChange() {
        int k = rowChanges / 2 % listings.size();
        deliver(new Event.EnginesListed(ListKind.CHANGES,
                List.of(listing(k, rowChanges++ % 2 == 0 ? Health.DRAINING : Health.UP))));
    }

    private void acceptQuery(long workTicks) {
        lastSubmitted = null;
        deliver(new Event.Taken(new Id.Query(++lastId), new Id.Group(0), new Id.Tenant(0), Id.DataSet.UNKNOWN,
                workTicks, 1, now + 5 * TICKS_PER_SECOND, null));
        Rig.require(lastSubmitted != null && lastSubmitted.query().value() == lastId,
                "query " + lastId + " was not submitted");
        openQueries.add(lastSubmitted.query());
    }

    private void finishQuery(long runTicks) {
        deliver(new Event.Closed(openQueries.poll(), new Id.Submission(0), Outcome.FINISHED, true, runTicks,
                0, runTicks));
    }

    /** Accepts one query, requires that it is submitted at once, and finishes it after 4 ms. */
    void runShortQuery() {
        acceptQuery(SHORT_RUN_TICKS);
        now += SHORT_RUN_TICKS;
        finishQuery(SHORT_RUN_TICKS);
    }

    /**
     * Accepts one query of a stream with this rate; each stays open for 50 ms, so the number open is steady.
     */
    void runQueryAtRate(double perSecond) {
        now += Math.max(1, Math.round(TICKS_PER_SECOND / perSecond));
        if (openQueries.size() >= perSecond * RUN_TICKS / TICKS_PER_SECOND) {
            finishQuery(RUN_TICKS);
        }
        acceptQuery(RUN_TICKS);
    }

    /** Fires the periodic timer. */
    void firePulse() {
        deliver(new Event.Woken(timer));
    }

    void deliverLoadReport() {
        deliver(new Event.LoadReported(listings.get((int) (lastId++ % listings.size())).engine(),
                new Load(0.5, 0.4, Double.NaN, 3, 0)));
    }

    int openQueryCount() {
        return openQueries.size();
    }

    long submitCount() {
        return submitCount;
    }

    /** A journal event with the complete list, in the format of the journal's protocol. */
    static byte[] fullListEvent(int engines) {
        List<String> rows = new ArrayList<>();
        for (int k = 0; k < engines; k++) {
            rows.add(String.format(Locale.ROOT, "{\"host\":\"%s\",\"dial\":\"10.%d.%d.%d:5050\","
                    + "\"site\":\"zone%d\",\"class\":\"std\",\"block\":%d,\"health\":\"ready\","
                    + "\"share\":4,\"born_ms\":1798761600000}", engineName(k), k >> 16, k >> 8 & 255, k & 255,
                    k % 14, k % 5));
        }
        return ("id: 1\ndata: {\"pos\":1,\"hosts\":{\"seq\":1,\"whole\":true,\"hosts\":["
                + String.join(",", rows) + "]}}\n\n").getBytes(StandardCharsets.US_ASCII);
    }
}
