package reedspring.rig.fleet;

import java.util.ArrayList;
import java.util.List;
import reedspring.api.Load;

/**
 * A plain engine: shares its cores among all it was given, up to its sessions, starts cold, runs all of it
 * much slower once the needs pass its memory, and works on whatever nobody waits for any more. Times are
 * tenths of a millisecond.
 */
final class Machine {
    /** How much slower all runs are when twice the memory is in use. */
    private static final double PAGING = 6;

    static final class Run {
        final Object of;
        final double work;
        final double needMb;
        final int threads;
        final long since;
        private double done;

        private Run(Object of, double work, double needMb, int threads, long since) {
            this.of = of;
            this.work = work;
            this.needMb = needMb;
            this.threads = threads;
            this.since = since;
        }

        double share() {
            return Math.min(1, done / work);
        }
    }

    private final double cores;
    private final double memoryMb;
    private final int sessions;
    private final long startedAt;
    private final double from;
    private final long ramp;
    private final List<Run> runs = new ArrayList<>();
    private double slower = 1;

    /** {@code ramp} 0: warm from the start; else it has {@code from} of its cores at first. */
    Machine(double cores, double memoryMb, int sessions, long startedAt, double from, long ramp) {
        this.cores = cores;
        this.memoryMb = memoryMb;
        this.sessions = sessions;
        this.startedAt = startedAt;
        this.from = from;
        this.ramp = ramp;
    }

    /** Null if it is full. */
    Run take(Object of, double work, double needMb, int threads, long now) {
        if (runs.size() >= sessions) {
            return null;
        }
        Run run = new Run(of, work, needMb, threads, now);
        runs.add(run);
        return run;
    }

    void slower(double times) {
        slower = times;
    }

    /** What it can do now, in cores. */
    double capacity(long now) {
        double warm = ramp <= 0 ? 1 : Math.min(1, from + (1 - from) * (now - startedAt) / ramp);
        return cores * warm / slower;
    }

    double cores() {
        return cores;
    }

    int threads() {
        return runs.stream().mapToInt(run -> run.threads).sum();
    }

    double memoryUsed() {
        return runs.stream().mapToDouble(run -> run.needMb).sum() / memoryMb;
    }

    List<Run> runs() {
        return runs;
    }

    /** Lets the span pass, which ends now; what has ended in it. */
    List<Run> step(long now, long span) {
        int threads = threads();
        double memory = memoryUsed();
        double pace = Math.min(1, capacity(now) / Math.max(1, threads))
                / (memory > 1 ? 1 + PAGING * (memory - 1) : 1);
        List<Run> ended = new ArrayList<>();
        for (Run run : runs) {
            run.done += pace * run.threads * span;
            if (run.done >= run.work) {
                ended.add(run);
            }
        }
        runs.removeAll(ended);
        return ended;
    }

    /** Everything that runs is lost. */
    void dies() {
        runs.clear();
    }

    Load load() {
        return new Load(Math.min(1, threads() / cores), Math.min(1, memoryUsed()), Double.NaN, runs.size(),
                Math.max(0, threads() - cores));
    }
}
