package reedspring.net;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Commands on one connection that nobody waits for any more and that may still be on their way to the engine.
 * A request that was written to a link which is cut arrives once the link is back. If the engine does not
 * prove in time that it has the request, the connection is reset, and the kernel drops what has not arrived.
 * Times are in ticks.
 */
final class WithdrawnCommands {
    /** The connection that carries the commands. */
    interface Connection {
        boolean isConnected();

        /** Whether a reset would end submissions that are waited for. */
        boolean carriesOthers();

        boolean isUnresponsive();

        /** Asks the engine for a sign that all commands up to now have arrived. */
        void probe();

        void reset(String reason);
    }

    /** Calls back after a time. */
    interface Alarm {
        void scheduleIn(long ticks, Runnable check);
    }

    private final Connection connection;
    private final LongSupplier clock;
    private final Alarm alarm;
    private final ArrivalTracker arrivals;
    private final long checkTicks;
    /** Numbers of the commands by {@link ArrivalTracker}, with the time by which each must have arrived. */
    private final Map<Long, Long> checkAt = new LinkedHashMap<>();
    private boolean checkScheduled;

    /** @param checkTicks time after the withdrawal by which the arrival has to be proven */
    WithdrawnCommands(Connection connection, ArrivalTracker arrivals, LongSupplier clock, Alarm alarm,
            long checkTicks) {
        this.connection = connection;
        this.clock = clock;
        this.alarm = alarm;
        this.arrivals = arrivals;
        this.checkTicks = checkTicks;
    }

    /** Watches over a command that was written. */
    void add(long command) {
        if (!connection.isConnected() || arrivals.hasArrived(command) || checkAt.containsKey(command)) {
            return;
        }
        checkAt.put(command, clock.getAsLong() + checkTicks);
        if (!arrivals.isProbed(command)) {
            connection.probe();
        }
        scheduleCheck();
    }

    /** Whether any of them may not have arrived yet. */
    boolean anyInTransit() {
        checkAt.keySet().removeIf(arrivals::hasArrived);
        return !checkAt.isEmpty();
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            long nextCheckAt = Collections.min(checkAt.values());
            alarm.scheduleIn(Math.max(0, nextCheckAt - clock.getAsLong()), this::check);
        }
    }

    /** A reset also ends the other submissions, so it takes more silence while there are any. */
    private void check() {
        checkScheduled = false;
        if (!anyInTransit() || !connection.isConnected()) {
            return;
        }
        long now = clock.getAsLong();
        boolean anyOverdue = checkAt.values().stream().anyMatch(dueAt -> dueAt <= now);
        if (anyOverdue && (!connection.carriesOthers() || connection.isUnresponsive())) {
            connection.reset("what was given up has not arrived");
            return;
        }
        checkAt.replaceAll((command, dueAt) -> dueAt <= now ? now + checkTicks : dueAt);
        scheduleCheck();
    }
}
