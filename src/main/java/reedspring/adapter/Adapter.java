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
import reedspring.boot.DeploymentReader;
import reedspring.boot.InvalidConfigurationException;
import reedspring.boot.Times;

/** Serves the simulator's line protocol for any number of independent fronts in one process. */
public final class Adapter {
    private final BufferedReader input;
    private final OutputStream output;
    private final Map<Integer, Front> fronts = new HashMap<>();
    private final Map<Integer, List<Event.Listing>> directories = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;

    private record Front(DeploymentReader deploymentReader, Control control) {
    }

    public Adapter(InputStream input, OutputStream output) {
        this.input = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
        this.output = output;
    }

    /** Serves frames until the input ends. */
    public void serve() throws IOException, WireException {
        for (String text = readLine(); text != null; text = readLine()) {
            if (text.isBlank()) {
                continue;
            }
            Line frame = new Line(text, lineNumber);
            if (!frame.hasName("FRAME")) {
                throw frame.malformed("FRAME", "expected the start of a frame");
            }
            now = Times.ticksAt(frame.number("timeMs"));
            reply.setLength(0);
            for (Line line = readFrameLine(); !line.hasName("OVER_TO_YOU"); line = readFrameLine()) {
                handle(line);
            }
            reply.append("ACK\n");
            output.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
    }

    private String readLine() throws IOException {
        lineNumber++;
        return input.readLine();
    }

    private Line readFrameLine() throws IOException, WireException {
        String text = readLine();
        if (text == null) {
            throw new WireException(lineNumber, "OVER_TO_YOU: the input ended inside a frame");
        }
        return new Line(text, lineNumber);
    }

    private void handle(Line line) throws IOException, WireException {
        switch (line.name()) {
            case "DIRECTORY" -> readDirectory(line);
            case "ATTACH" -> attach(line);
            case "EXIT" -> fronts.remove((int) line.integer("i"));
            case "WORK_ITEM", "ROSTER_CHANGE", "GONE", "STATUS_NOTE", "FIRED", "STARTED",
                    "CLOSED_ATTEMPT" -> {
                int instance = (int) line.integer("i");
                Front front = fronts.get(instance);
                Event report = front == null ? null : parseReport(front.deploymentReader, line);
                if (report != null) {
                    decide(instance, front, report);
                }
                Event event = front == null ? null : parseEvent(front.deploymentReader, line);
                if (event != null) {
                    decide(instance, front, event);
                }
            }
            default -> {
                // ignored: events that affect no decision, and those unknown to this version
            }
        }
    }

    private void attach(Line line) throws WireException {
        int instance = (int) line.integer("i");
        long seed = line.integer("seed");
        DeploymentReader deploymentReader;
        try {
            deploymentReader = new DeploymentReader(line.allFields());
        } catch (InvalidConfigurationException e) {
            throw line.malformed(e.field(), e.reason());
        }
        List<Action> actions = new ArrayList<>();
        try {
            Front front = new Front(deploymentReader,
                    new Control(seed, deploymentReader.deployment(), now, actions::add));
            fronts.put(instance, front);
            write(instance, actions);
        } catch (RuntimeException e) {
            reportFault(instance, e);
        }
    }

    private void decide(int instance, Front front, Event event) {
        List<Action> actions = new ArrayList<>();
        try {
            front.control.onEvent(now, event, actions::add);
            write(instance, actions);
        } catch (RuntimeException e) {
            reportFault(instance, e);
        }
    }

    private void reportFault(int instance, RuntimeException e) {
        fronts.remove(instance);
        StackTraceElement[] trace = e.getStackTrace();
        reply.append("BUG i=").append(instance).append(" msg=").append(e.toString().replaceAll("\\s+", " "))
                .append(" at ").append(trace.length == 0 ? "an unknown place" : trace[0]).append('\n');
    }

    private void readDirectory(Line line) throws IOException, WireException {
        int setId = (int) line.integer("setId");
        long rows = line.integer("rowsIn");
        List<Event.Listing> entries = new ArrayList<>();
        for (long k = 0; k < rows; k++) {
            Line row = readFrameLine();
            if (!row.hasName("ENTRY")) {
                throw row.malformed("ENTRY", "DIRECTORY announced " + rows + " entries, got " + k);
            }
            String zone = row.find("dc");
            String kind = row.find("flavor");
            entries.add(new Event.Listing(new Id.Engine(row.text("engine")),
                    new Id.Kind(kind == null ? "" : kind), new Id.Zone(zone == null ? "" : zone),
                    new Id.Cell((long) row.number("cluster", 0)), parseHealth(row),
                    Times.ticksAt(row.number("launchedMs", 0))));
        }
        directories.put(setId, entries);
    }

    private static Event.Health parseHealth(Line row) throws WireException {
        String state = row.text("health");
        return switch (state) {
            case "up" -> Event.Health.UP;
            case "draining" -> Event.Health.DRAINING;
            case "removed" -> Event.Health.GONE;
            default -> throw row.malformed("health", "'" + state + "' is not an engine state");
        };
    }

    private Event parseEvent(DeploymentReader deploymentReader, Line line) throws WireException {
        return switch (line.name()) {
            case "WORK_ITEM" -> parseTaken(deploymentReader, line);
            case "ROSTER_CHANGE" -> parseListed(line);
            case "GONE" -> new Event.Left(parseQuery(line));
            case "STATUS_NOTE" -> parseNote(line);
            case "FIRED" -> new Event.Woken(new Id.Timer(line.integer("handle")));
            case "STARTED" -> new Event.StreamBegan(parseQuery(line), parseSubmission(line));
            default -> parseClosed(line);
        };
    }

    private static Id.Query parseQuery(Line line) throws WireException {
        return new Id.Query(line.integer("call"));
    }

    private static Id.Submission parseSubmission(Line line) throws WireException {
        return new Id.Submission((int) line.integer("copy"));
    }

    private static Event parseTaken(DeploymentReader deploymentReader, Line line) throws WireException {
        String groupName = line.text("profile");
        Id.Group group = deploymentReader.group(groupName);
        if (group == null) {
            throw line.malformed("profile", "'" + groupName + "' is not a class of this instance");
        }
        String key = line.find("target");
        String set = line.find("dataset");
        return new Event.Taken(parseQuery(line), group, deploymentReader.tenant(line.find("realm")),
                set == null ? Id.DataSet.UNKNOWN : new Id.DataSet((long) line.number("dataset", set)),
                Times.nearestTicks(Math.max(0, line.number("planCostMs", 0))),
                Math.max(0, line.number("needMb", 0)),
                Times.ticksAt(line.number("expiresMs")), key == null ? null : new Id.OrderKey(key));
    }

    private Event parseListed(Line line) throws WireException {
        String mode = line.text("mode");
        Event.ListKind listKind;
        switch (mode) {
            case "unavailable" -> {
                return new Event.ListUnavailable();
            }
            case "update" -> listKind = Event.ListKind.CHANGES;
            case "replace" -> listKind = Event.ListKind.COMPLETE;
            case "restored" -> listKind = Event.ListKind.CACHED;
            default -> throw line.malformed("mode", "'" + mode + "' is not a list mode");
        }
        List<Event.Listing> entries = directories.get((int) line.integer("setId"));
        if (entries == null) {
            throw line.malformed("setId", "no DIRECTORY has this number");
        }
        return new Event.EnginesListed(listKind, entries);
    }

    private static Event parseNote(Line line) throws WireException {
        return line.integer("topic") != 1 ? null
                : new Event.ShareDone(parseQuery(line), parseSubmission(line), line.number("amount"), 0);
    }

    /** The load report in a line, or null. Its values are in the order of {@code report.columns}. */
    private static Event parseReport(DeploymentReader deploymentReader, Line line) throws WireException {
        String gauge = line.find("gauge");
        String engine = line.find("engine");
        if (gauge == null || engine == null) {
            return null;
        }
        Load load = Load.UNKNOWN;
        String[] values = gauge.split(",");
        List<String> columns = deploymentReader.reportColumns();
        for (int k = 0; k < Math.min(values.length, columns.size()); k++) {
            load = load.with(columns.get(k), line.number("gauge", values[k]));
        }
        return new Event.LoadReported(new Id.Engine(engine), load);
    }

    private static Event parseClosed(Line line) throws WireException {
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
            default -> throw line.malformed("how", "'" + how + "' is not an outcome");
        };
        String note = line.find("note");
        // The bits above the lowest 12 of the note hold the work in milliseconds.
        long noteValue = note == null || outcome != Event.Outcome.FINISHED ? 0 : line.integer("note", note);
        return new Event.Closed(parseQuery(line), parseSubmission(line), outcome, line.flag("settled"),
                Times.nearestTicks(line.number("elapsedMs", 0)), 0, (noteValue >> 12) * 10);
    }

    private void write(int instance, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Action.Submit submit) {
                beginCommand("SEND", instance, submit.query()).append(" engine=")
                        .append(submit.engine().address());
                appendMs(" capMs=", submit.timeout());
            } else if (action instanceof Action.SetPriority set) {
                beginCommand("SET_TERMS", instance, set.query()).append(" memMb=0 weightClass=")
                        .append(set.priority());
            } else if (action instanceof Action.Cancel cancel) {
                beginCommand("ABANDON", instance, cancel.query()).append(" copy=")
                        .append(cancel.submission().value());
            } else if (action instanceof Action.Defer defer) {
                beginCommand("DECLINE", instance, defer.query());
                appendMs(" retryInMs=", defer.retryAfter());
            } else if (action instanceof Action.Kill kill) {
                beginCommand("REPORT_FAILURE", instance, kill.query());
            } else if (action instanceof Action.StartTimer start) {
                reply.append("WAKE_ME i=").append(instance).append(" handle=").append(start.timer().value());
                appendMs(" spanMs=", start.delay());
            } else if (action instanceof Action.SubscribeToEngines) {
                reply.append("FOLLOW i=").append(instance).append(" active=1");
            } else if (action instanceof Action.LogMessage message) {
                reply.append("REMARK i=").append(instance).append(" msg=")
                        .append(message.text().replace('\n', ' '));
            }
            reply.append('\n');
        }
    }

    private StringBuilder beginCommand(String name, int instance, Id.Query query) {
        return reply.append(name).append(" i=").append(instance).append(" call=").append(query.value());
    }

    private void appendMs(String field, long ticks) {
        if (ticks != 0) {
            reply.append(field);
            Times.appendMs(reply, ticks);
        }
    }
}
