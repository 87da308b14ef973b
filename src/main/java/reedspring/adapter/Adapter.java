package reedspring.adapter;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reedspring.Control;
import reedspring.api.Action;
import reedspring.api.Event;
import reedspring.api.Id;
import reedspring.api.Load;
import reedspring.boot.Boot;
import reedspring.boot.BootException;
import reedspring.boot.Times;

/** Speaks the simulator's wire for many fronts that share nothing. */
public final class Adapter {
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, Front> fronts = new HashMap<>();
    private final Map<Integer, List<Event.Listing>> directories = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;

    private record Front(Boot boot, Control control) {
    }

    public Adapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Serves frames until the input ends. */
    public void serve() throws IOException, WireException {
        for (String text = next(); text != null; text = next()) {
            if (text.isBlank()) {
                continue;
            }
            Line frame = new Line(text, lineNumber);
            if (!frame.is("FRAME")) {
                throw frame.malformed("FRAME", "a frame has to begin here");
            }
            now = Times.clock(frame.number("timeMs"));
            reply.setLength(0);
            for (Line line = inFrame(); !line.is("OVER_TO_YOU"); line = inFrame()) {
                take(line);
            }
            reply.append("ACK\n");
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private String next() throws IOException {
        lineNumber++;
        return in.readLine();
    }

    private Line inFrame() throws IOException, WireException {
        String text = next();
        if (text == null) {
            throw new WireException(lineNumber, "OVER_TO_YOU: the input ended inside a frame");
        }
        return new Line(text, lineNumber);
    }

    private void take(Line line) throws IOException, WireException {
        switch (line.name()) {
            case "DIRECTORY" -> directory(line);
            case "ATTACH" -> attach(line);
            case "EXIT" -> fronts.remove((int) line.whole("i"));
            case "WORK_ITEM", "ROSTER_CHANGE", "GONE", "STATUS_NOTE", "FIRED", "STARTED",
                    "CLOSED_ATTEMPT" -> {
                int instance = (int) line.whole("i");
                Front front = fronts.get(instance);
                Event report = front == null ? null : report(front.boot, line);
                if (report != null) {
                    decide(instance, front, report);
                }
                Event event = front == null ? null : event(front.boot, line);
                if (event != null) {
                    decide(instance, front, event);
                }
            }
            default -> {
                // events that no decision reads, and ones that this build does not know yet
            }
        }
    }

    private void attach(Line line) throws WireException {
        int instance = (int) line.whole("i");
        long seed = line.whole("seed");
        Boot boot;
        try {
            boot = new Boot(line.all());
        } catch (BootException e) {
            throw line.malformed(e.field(), e.why());
        }
        List<Action> actions = new ArrayList<>();
        try {
            Front front = new Front(boot, new Control(seed, boot.deployment(), now, actions::add));
            fronts.put(instance, front);
            write(instance, actions);
        } catch (RuntimeException e) {
            broken(instance, e);
        }
    }

    private void decide(int instance, Front front, Event event) {
        List<Action> actions = new ArrayList<>();
        try {
            front.control.on(now, event, actions::add);
            write(instance, actions);
        } catch (RuntimeException e) {
            broken(instance, e);
        }
    }

    private void broken(int instance, RuntimeException e) {
        fronts.remove(instance);
        StackTraceElement[] trace = e.getStackTrace();
        reply.append("BUG i=").append(instance).append(" msg=").append(e.toString().replaceAll("\\s+", " "))
                .append(" at ").append(trace.length == 0 ? "an unknown place" : trace[0]).append('\n');
    }

    private void directory(Line line) throws IOException, WireException {
        int set = (int) line.whole("setId");
        long rows = line.whole("rowsIn");
        List<Event.Listing> entries = new ArrayList<>();
        for (long k = 0; k < rows; k++) {
            Line row = inFrame();
            if (!row.is("ENTRY")) {
                throw row.malformed("ENTRY", "DIRECTORY announced " + rows + " entries, got " + k);
            }
            String zone = row.find("dc");
            String kind = row.find("flavor");
            entries.add(new Event.Listing(new Id.Engine(row.text("engine")),
                    new Id.Kind(kind == null ? "" : kind), new Id.Zone(zone == null ? "" : zone),
                    new Id.Cell((long) row.number("cluster", 0)), health(row),
                    Times.clock(row.number("launchedMs", 0))));
        }
        directories.put(set, entries);
    }

    private static Event.Health health(Line row) throws WireException {
        String word = row.text("health");
        return switch (word) {
            case "up" -> Event.Health.UP;
            case "draining" -> Event.Health.DRAINING;
            case "removed" -> Event.Health.GONE;
            default -> throw row.malformed("health", "'" + word + "' is no state of an engine");
        };
    }

    private Event event(Boot boot, Line line) throws WireException {
        return switch (line.name()) {
            case "WORK_ITEM" -> taken(boot, line);
            case "ROSTER_CHANGE" -> listed(line);
            case "GONE" -> new Event.Left(query(line));
            case "STATUS_NOTE" -> note(line);
            case "FIRED" -> new Event.Woken(new Id.Timer(line.whole("handle")));
            case "STARTED" -> new Event.StreamBegan(query(line), submission(line));
            default -> closed(line);
        };
    }

    private static Id.Query query(Line line) throws WireException {
        return new Id.Query(line.whole("call"));
    }

    private static Id.Submission submission(Line line) throws WireException {
        return new Id.Submission((int) line.whole("copy"));
    }

    private static Event taken(Boot boot, Line line) throws WireException {
        String groupName = line.text("profile");
        Id.Group group = boot.group(groupName);
        if (group == null) {
            throw line.malformed("profile", "'" + groupName + "' is no class of this instance");
        }
        String key = line.find("target");
        String set = line.find("dataset");
        return new Event.Taken(query(line), group, boot.tenant(line.find("realm")),
                set == null ? Id.DataSet.UNKNOWN : new Id.DataSet((long) line.number("dataset", set)),
                Times.nearest(Math.max(0, line.number("planCostMs", 0))),
                Math.max(0, line.number("needMb", 0)),
                Times.clock(line.number("expiresMs")), key == null ? null : new Id.OrderKey(key));
    }

    private Event listed(Line line) throws WireException {
        String mode = line.text("mode");
        Event.Reading reading;
        switch (mode) {
            case "unavailable" -> {
                return new Event.ListUnavailable();
            }
            case "update" -> reading = Event.Reading.CHANGES;
            case "replace" -> reading = Event.Reading.COMPLETE;
            case "restored" -> reading = Event.Reading.REMEMBERED;
            default -> throw line.malformed("mode", "'" + mode + "' is no kind of list");
        }
        List<Event.Listing> entries = directories.get((int) line.whole("setId"));
        if (entries == null) {
            throw line.malformed("setId", "no DIRECTORY bears this number");
        }
        return new Event.EnginesListed(reading, entries);
    }

    private static Event note(Line line) throws WireException {
        return line.whole("topic") != 1 ? null
                : new Event.ShareDone(query(line), submission(line), line.number("amount"), 0);
    }

    /** The load report that came with it, or null. Values come in the settings' order of columns. */
    private static Event report(Boot boot, Line line) throws WireException {
        String gauge = line.find("gauge");
        String engine = line.find("engine");
        if (gauge == null || engine == null) {
            return null;
        }
        Load load = Load.UNKNOWN;
        String[] values = gauge.split(",");
        List<String> columns = boot.reportColumns();
        for (int k = 0; k < Math.min(values.length, columns.size()); k++) {
            load = load.with(columns.get(k), line.number("gauge", values[k]));
        }
        return new Event.LoadReported(new Id.Engine(engine), load);
    }

    private static Event closed(Line line) throws WireException {
        String how = line.text("how");
        Event.Outcome outcome = switch (how) {
            case "delivered" -> Event.Outcome.FINISHED;
            case "app_error" -> Event.Outcome.ERROR;
            case "shed" -> Event.Outcome.TURNED_AWAY;
            case "expired" -> Event.Outcome.TIMED_OUT;
            case "dial_failed" -> Event.Outcome.UNREACHABLE;
            case "dropped" -> Event.Outcome.BROKEN;
            case "revoked" -> Event.Outcome.CANCELLED;
            case "unused" -> Event.Outcome.NOT_SENT;
            default -> throw line.malformed("how", "'" + how + "' is no outcome");
        };
        String note = line.find("note");
        long bill = note == null || outcome != Event.Outcome.FINISHED ? 0 : line.whole("note", note);
        return new Event.Closed(query(line), submission(line), outcome, line.flag("settled"),
                Times.nearest(line.number("elapsedMs", 0)), 0, (bill >> 12) * 10);
    }

    private void write(int instance, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Submit submit) {
                begin("SEND", instance, submit.query()).append(" engine=").append(submit.engine().address());
                span(" capMs=", submit.timeout());
            } else if (action instanceof Action.SetPriority set) {
                begin("SET_TERMS", instance, set.query()).append(" memMb=0 weightClass=")
                        .append(set.priority());
            } else if (action instanceof Action.Cancel cancel) {
                begin("ABANDON", instance, cancel.query()).append(" copy=")
                        .append(cancel.submission().value());
            } else if (action instanceof Action.Defer defer) {
                begin("DECLINE", instance, defer.query());
                span(" retryInMs=", defer.comeBack());
            } else if (action instanceof Action.Kill kill) {
                begin("REPORT_FAILURE", instance, kill.query());
            } else if (action instanceof Action.WakeMe wake) {
                reply.append("WAKE_ME i=").append(instance).append(" handle=").append(wake.timer().value());
                span(" spanMs=", wake.span());
            } else if (action instanceof Action.FollowEngines) {
                reply.append("FOLLOW i=").append(instance).append(" active=1");
            } else if (action instanceof Action.Remark remark) {
                reply.append("REMARK i=").append(instance).append(" msg=")
                        .append(remark.text().replace('\n', ' '));
            }
            reply.append('\n');
        }
    }

    private StringBuilder begin(String name, int instance, Id.Query query) {
        return reply.append(name).append(" i=").append(instance).append(" call=").append(query.value());
    }

    private void span(String field, long tenths) {
        if (tenths != 0) {
            reply.append(field);
            Times.write(reply, tenths);
        }
    }
}
