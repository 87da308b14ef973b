package reedspring.rig.fleet;

import java.util.ArrayList;
import java.util.List;
import reedspring.api.Load;

/**
 * A model of an engine's execution. Its cores are shared among all running queries, up to a number of
 * sessions. It starts cold, slows all queries down once their memory exceeds its own, and goes on with
 * queries for which nobody waits any more. Times are in ticks (tenths of a millisecond).
 */
final class EngineModel {
    /** Additional slowdown of all executions per multiple of the memory that is overcommitted. */
    private static final double PAGING_SLOWDOWN = 6;

    /** One running query; the owner is the caller's object for it. */
    static final class Execution {
        final Object owner;
        final double workTicks;
        final double needMb;
        final int threads;
        final long startedAt;
        private double doneTicks;

        private Execution(Object owner, double workTicks, double needMb, int threads, long startedAt) {
            this.owner = owner;
            this.workTicks = workTicks;
            this.needMb = needMb;
            this.threads = threads;
            this.startedAt = startedAt;
        }

        double doneShare() {
            return Math.min(1, doneTicks / workTicks);
        }
    }

    private final double cores;
    private final double memoryMb;
    private final int sessions;
    private final long startedAt;
    private final double coldCapacityRatio;
    private final long rampTicks;
    private final List<Execution> executions = new ArrayList<>();
    private double slowdown = 1;

    /**
     * Creates the model of an engine.
     *
     * @param coldCapacityRatio ratio of the cores that a cold engine has at its start
     * @param rampTicks the time until all cores are available; 0 for an engine that starts warm
     */
    EngineModel(double cores, double memoryMb, int sessions, long startedAt, double coldCapacityRatio,
            long rampTicks) {
        this.cores = cores;
        this.memoryMb = memoryMb;
        this.sessions = sessions;
        this.startedAt = startedAt;
        this.coldCapacityRatio = coldCapacityRatio;
        this.rampTicks = rampTicks;
    }

    /** Starts an execution; returns null if all sessions are in use. */
    Execution start(Object owner, double workTicks, double needMb, int threads, long now) {
        if (executions.size() >= sessions) {
            return null;
        }
        Execution execution = new Execution(owner, workTicks, needMb, threads, now);
        executions.add(execution);
        return execution;
    }

    void slowdown(double factor) {
        slowdown = factor;
    }

    /** The present capacity in cores. */
    double capacityCores(long now) {
        double warmRatio = rampTicks <= 0 ? 1
                : Math.min(1, coldCapacityRatio + (1 - coldCapacityRatio) * (now - startedAt) / rampTicks);
        return cores * warmRatio / slowdown;
    }

    double cores() {
        return cores;
    }

    int threads() {
        return executions.stream().mapToInt(execution -> execution.threads).sum();
    }

    double memoryUtilization() {
        return executions.stream().mapToDouble(execution -> execution.needMb).sum() / memoryMb;
    }

    List<Execution> executions() {
        return executions;
    }

    /** Advances the model by {@code spanTicks} up to {@code now}; returns the executions that ended. */
    List<Execution> step(long now, long spanTicks) {
        int threads = threads();
        double memoryRatio = memoryUtilization();
        double pace = Math.min(1, capacityCores(now) / Math.max(1, threads))
                / (memoryRatio > 1 ? 1 + PAGING_SLOWDOWN * (memoryRatio - 1) : 1);
        List<Execution> ended = new ArrayList<>();
        for (Execution execution : executions) {
            execution.doneTicks += pace * execution.threads * spanTicks;
            if (execution.doneTicks >= execution.workTicks) {
                ended.add(execution);
            }
        }
        executions.removeAll(ended);
        return ended;
    }

    /** Drops all running executions. */
    void dropAll() {
        executions.clear();
    }

    Load load() {
        return new Load(Math.min(1, threads() / cores), Math.min(1, memoryUtilization()), Double.NaN,
                executions.size(), Math.max(0, threads() - cores));
    }
}
