package reedspring.spread;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;
import reedspring.api.Deployment;
import reedspring.api.Id;
import reedspring.api.Load;

/**
 * What one front may believe of the engines' load beyond its own threads there, and how it keeps out of step
 * with hundreds of fronts that it can't hear. It chooses nothing: it orders what ties, paces what is cold,
 * back or on trial so that the sum over all fronts stays within what an engine stands, and gives a phase to
 * what all would do at one moment. Reasons and figures: docs/spread.md.
 *
 * <p>Make one beside {@code Control}; tell it what happens to a row ({@link #listed}, {@link #sent},
 * {@link #ended}, {@link #heard}) and ask it. Rows are the engines' dense indexes. No I/O, no clock: times
 * are handed in, whole tenths of a millisecond. Chance comes from the seed alone. Not for several threads.
 */
public final class Spread {
    /**
     * Engines that nobody turns to first, on average over all fleets of that size, where seven fronts in ten
     * are gone and the others don't know: with a circle of c of E engines each, N fronts leave E e^(-cN/E)
     * out.
     */
    private static final double MAX_UNCOVERED_ENGINES = 0.05;
    private static final double SURVIVING_FRONTS_RATIO = 0.3;
    /** One front alone needs room to go round what is slow, barred or full. */
    private static final int MIN_SUBSET_SIZE = 6;
    private static final int SUBSET_ENGINES_PER_BUSY_ENGINE = 2;
    /** A report can be wrong for good; it moves an engine's turn by no more than this, either way. */
    private static final double MAX_REPORT_FACTOR = 2;
    /** Of a barred engine's cores, what trials of all fronts that know it may take. */
    private static final double PROBE_CORES_RATIO = 0.1;
    /** Of what would push a cold engine over: one part may stand filled while another flows in. */
    private static final double COLD_START_RATIO = 0.4;
    /** Of the span that is named, what is left to chance. */
    private static final double JITTER_RATIO = 0.5;
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;
    private static final double REDUCED_BELOW_RATIO = 0.5;
    private static final double RESTORED_ABOVE_RATIO = 0.8;

    private final Deployment deployment;
    private final SplittableRandom random;
    private final long hashSeed;
    private final long createdAt;
    private int rowCount;
    private Id.Engine[] engineIds = new Id.Engine[8];
    private boolean[] up = new boolean[8];
    private double[] cores = new double[8];
    private double[] hashRank = new double[8];
    private int[] position = new int[8];
    private int[] ownSubmissions = new int[8];
    private double[] reportedLoad = new double[8];
    private long[] reportedAt = new long[8];
    private double[] coldCredit = new double[8];
    private long[] coldCreditAt = new long[8];
    private double[] remarkedRatio = new double[8];
    private boolean orderStale;
    private int upCount;
    private double smallestCores = 1;
    private int busyEngines;
    private int subsetSize = MIN_SUBSET_SIZE;
    private double typicalRunTicks;
    private double meanReportedLoad;
    private double retryPhase;

    public Spread(long seed, Deployment deployment, long now) {
        this.random = new SplittableRandom(seed);
        this.hashSeed = random.nextLong();
        this.deployment = deployment;
        this.createdAt = now;
        this.retryPhase = random.nextDouble();
    }

    // ---- what happens

    /** A row's engine as the list has it now; another engine than before starts with nothing held of it. */
    public void engineListed(int row, Id.Engine engine, double engineCores, boolean isUp) {
        if (row >= engineIds.length) {
            growRows(row * 2);
        }
        rowCount = Math.max(rowCount, row + 1);
        if (!engine.equals(engineIds[row])) {
            engineIds[row] = engine;
            ownSubmissions[row] = 0;
            remarkedRatio[row] = 1;
            // Rendezvous: what comes or goes moves no other. Sizes count by turns; in both they would count
            // twice.
            hashRank[row] = hashToUnitInterval(engine);
            engineRestarted(row, createdAt);
        }
        up[row] = isUp;
        cores[row] = engineCores;
        orderStale = true;
    }

    /** The order of what is listed now: made when it is next asked for, once for a whole list. */
    private void refreshOrder() {
        if (!orderStale) {
            return;
        }
        orderStale = false;
        int[] sortedRows = IntStream.range(0, rowCount).filter(row -> up[row]).boxed()
                .sorted(Comparator.comparingDouble(row -> hashRank[row])).mapToInt(row -> row).toArray();
        Arrays.fill(position, Integer.MAX_VALUE);
        for (int row = 0; row < sortedRows.length; row++) {
            position[sortedRows[row]] = row;
        }
        upCount = sortedRows.length;
        smallestCores = Arrays.stream(sortedRows).mapToDouble(row -> cores[row]).filter(c -> c > 0).min()
                .orElse(1);
        updateSubsetSize();
    }

    /** A new process in the row. */
    public void engineRestarted(int row, long now) {
        reportedLoad[row] = Double.NaN;
        // Hundreds of fronts whose part of a cold engine is under one query take turns.
        coldCredit[row] = random.nextDouble();
        coldCreditAt[row] = now;
    }

    /** {@code weight} is the work that is usual of its group, in that of the lightest group. */
    public void submissionSent(int row, double weight) {
        coldCredit[row] -= weight;
        busyEngines += ownSubmissions[row]++ == 0 ? 1 : 0;
        updateSubsetSize();
    }

    public void submissionEnded(int row, long runTicks) {
        busyEngines -= --ownSubmissions[row] == 0 ? 1 : 0;
        typicalRunTicks += (typicalRunTicks == 0 ? 1 : 0.05) * (runTicks - typicalRunTicks);
        updateSubsetSize();
    }

    /** A load report, by the time at which it came. */
    public void loadReported(int row, Load load, long now) {
        double utilisation = Math.max(valueOrZero(load.cores()),
                Math.max(valueOrZero(load.memory()), valueOrZero(load.disks())));
        double running = Double.isNaN(load.cores()) ? valueOrZero(load.inHand()) : 0;
        reportedLoad[row] = utilisation + (running + valueOrZero(load.waiting())) / Math.max(1, cores[row]);
        reportedAt[row] = now;
        meanReportedLoad = IntStream.range(0, rowCount).filter(k -> up[k] && !Double.isNaN(reportedLoad[k]))
                .mapToDouble(k -> reportedLoad[k]).average().orElse(0);
    }

    private static double valueOrZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }

    // ---- what ties

    /**
     * The order of engines that are equal in own threads for each core, lower first: under 1 inside the
     * circle. Each comes first by chance, as often as its worth is of all: drawn alike, the slow and the
     * small took as many as the rest. Going round by turns was worse, as it seeks out what has not answered
     * for longest.
     */
    public double tieBreak(int row, int ownThreads, double effectiveCores, long now) {
        double freeRatio = 1 - (ownThreads - threadSteps(row, ownThreads)) / sizeUnits(row);
        double delay = -Math.log(1 - random.nextDouble())
                / Math.max(1e-3, effectiveCores * freeRatio * reportFactor(row, now));
        refreshOrder();
        return (position[row] < subsetSize ? 0 : 1) + delay / (1 + delay);
    }

    /**
     * Own threads in whole steps of a thread for each of the smallest engines that this one is worth. Where
     * all are of a size that is the threads themselves. Else a front with few queries has one thread on a
     * large engine and none on a small one nearly always, and would send both as many.
     */
    public double threadSteps(int row, int ownThreads) {
        return Math.floor(ownThreads / sizeUnits(row) + 1e-9) * sizeUnits(row);
    }

    private double sizeUnits(int row) {
        refreshOrder();
        return Math.max(1, cores[row] / smallestCores);
    }

    /** Whether the front turns to it first, all else being equal. */
    public boolean inSubset(int row) {
        refreshOrder();
        return position[row] < subsetSize;
    }

    public int subsetSize() {
        refreshOrder();
        return subsetSize;
    }

    /**
     * The part of its worth that a report leaves to an engine, or adds. What a report counted is over when a
     * usual run is, and what came since nobody here knows: so it counts by its age in usual runs, and an old
     * one not at all. Taken as it stands it would send all fronts to whatever looked idle last.
     */
    private double reportFactor(int row, long now) {
        if (Double.isNaN(reportedLoad[row]) || typicalRunTicks <= 0) {
            return 1;
        }
        double freshness = Math.exp((reportedAt[row] - now) / typicalRunTicks);
        return Math.max(1 / MAX_REPORT_FACTOR,
                Math.min(MAX_REPORT_FACTOR, Math.exp(freshness * (meanReportedLoad - reportedLoad[row]))));
    }

    /**
     * So many engines that, all fronts drawing blindly, hardly one is left out of every circle, also when
     * most fronts have just died. Among few fronts that is all engines, and nothing is narrowed.
     */
    private void updateSubsetSize() {
        double required = upCount * Math.log(Math.max(1, upCount / MAX_UNCOVERED_ENGINES))
                / (SURVIVING_FRONTS_RATIO * deployment.fronts());
        subsetSize = Math.max(MIN_SUBSET_SIZE,
                Math.max((int) Math.ceil(required), SUBSET_ENGINES_PER_BUSY_ENGINE * busyEngines));
    }

    /** Of a number of fronts, how many have the engine in their circle and so come to know how it is. */
    private double frontsPerEngine() {
        refreshOrder();
        return Math.max(1, deployment.fronts() * Math.min(1, subsetSize / Math.max(1.0, upCount)));
    }

    // ---- paces

    /**
     * How long a barred engine rests before this front tries it: {@code least}, or so long that the trials of
     * all fronts that know it take a small part of it, and never the same for all that barred it together.
     */
    public long probeDelay(int row, long minDelay, double work) {
        double delayForRate = frontsPerEngine() * work / (PROBE_CORES_RATIO * Math.max(1, cores[row]));
        return (long) (Math.max(minDelay, delayForRate) * (1 + JITTER_RATIO * (random.nextDouble() - 0.5)));
    }

    /**
     * Whether a query of that usual work fits into this front's part of what a cold engine stands. The part
     * fills over the rule's window. A front that has just started can't know what it sent before, and sends
     * nothing for a window. A part under one query fills to one in its turn, and the turn passes: kept for
     * good, hundreds of fronts that had asked for nothing for some seconds had a query each, more in all than
     * the engine stands.
     *
     * @param weight the query's usual work in that of the lightest group, {@code lightest}
     */
    public boolean coldStartAdmits(int row, double weight, double lightest, long now) {
        Deployment.ColdStart rule = deployment.coldStart();
        if (now - createdAt < rule.window()) {
            return false;
        }
        double rate = COLD_START_RATIO * rule.multiple() * rule.from() * cores[row] / deployment.fronts()
                / lightest;
        double maxCredit = Math.max(rate * rule.window(), 1);
        double creditPeriod = 1 + rate * creditHoldTicks(rule);
        coldCredit[row] += rate * (now - coldCreditAt[row]);
        coldCreditAt[row] = now;
        if (creditPeriod >= 2) {
            coldCredit[row] = Math.min(coldCredit[row], maxCredit);
        } else if (coldCredit[row] >= creditPeriod) {
            coldCredit[row] %= creditPeriod;
        }
        return weight <= Math.min(coldCredit[row], maxCredit);
    }

    /**
     * How long a front may keep a whole query while its part is under one. What all keep and what flows in
     * over a window has to fit into what the engine stands by then, which grows over its ramp; where it grows
     * as fast as that, for all of it.
     */
    private static double creditHoldTicks(Deployment.ColdStart rule) {
        double rampPerTick = (1 / rule.from() - 1) / rule.ramp();
        double netPerTick = COLD_START_RATIO / rule.window() - rampPerTick;
        return netPerTick <= 0 ? rule.ramp() : Math.min(rule.ramp(), (1 - COLD_START_RATIO) / netPerTick);
    }

    // ---- phases

    /**
     * A time to come back, at most the longest that is heeded: what is deferred together must not come
     * together. Each differs from the last ones by as much as it can, which chance alone would not see to.
     */
    public long retryAfter(long maxDelay) {
        retryPhase = (retryPhase + GOLDEN_RATIO_FRACTION) % 1;
        return maxDelay - (long) (JITTER_RATIO * maxDelay * retryPhase);
    }

    /** The first of a regular moment's times: 1 to the whole period from now. */
    public long firstDelay(long period) {
        return 1 + random.nextLong(Math.max(1, period));
    }

    // ---- for operators

    /**
     * What changed for an engine since it was last told: one line when it is sent clearly less, or again
     * more.
     */
    public List<String> trafficRemarks(IntToDoubleFunction effectiveCores, long now) {
        List<String> remarks = new ArrayList<>();
        for (int row = 0; row < rowCount; row++) {
            double byReports = reportFactor(row, now);
            double byObservation = up[row] ? effectiveCores.applyAsDouble(row) / Math.max(1e-3, cores[row])
                    : 1;
            double ratio = byObservation * Math.min(1, byReports);
            if (up[row] && ratio < REDUCED_BELOW_RATIO && remarkedRatio[row] >= REDUCED_BELOW_RATIO) {
                remarkedRatio[row] = ratio;
                remarks.add("engine " + engineIds[row].address() + (byReports < byObservation
                        ? " says that it is busier than others"
                        : " is slower, colder or fails more than others") + ", is sent less");
            } else if (up[row] && ratio > RESTORED_ABOVE_RATIO && remarkedRatio[row] < REDUCED_BELOW_RATIO) {
                remarkedRatio[row] = 1;
                remarks.add("engine " + engineIds[row].address() + " is sent its share again");
            }
        }
        return remarks;
    }

    /** From the seed and the name alone, whatever the list's order: over 0, up to 1. */
    private double hashToUnitInterval(Id.Engine engine) {
        long mixed = hashSeed;
        for (int k = 0; k < engine.address().length(); k++) {
            mixed = (mixed ^ engine.address().charAt(k)) * 0x100000001b3L;
        }
        return 1 - new SplittableRandom(mixed).nextDouble();
    }

    private void growRows(int size) {
        engineIds = Arrays.copyOf(engineIds, size);
        up = Arrays.copyOf(up, size);
        cores = Arrays.copyOf(cores, size);
        hashRank = Arrays.copyOf(hashRank, size);
        position = Arrays.copyOf(position, size);
        ownSubmissions = Arrays.copyOf(ownSubmissions, size);
        reportedLoad = Arrays.copyOf(reportedLoad, size);
        reportedAt = Arrays.copyOf(reportedAt, size);
        coldCredit = Arrays.copyOf(coldCredit, size);
        coldCreditAt = Arrays.copyOf(coldCreditAt, size);
        remarkedRatio = Arrays.copyOf(remarkedRatio, size);
    }
}
