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
 * Coordinates one front with hundreds of others without communication between them: estimates the load that
 * other fronts put on the engines, and spreads the fronts' traffic over engines and over time. It makes no
 * choice of its own. It breaks ties between equally loaded engines, limits what is sent to cold and ejected
 * engines so that the total over all fronts stays within what an engine can take, and adds jitter to what all
 * fronts would otherwise do at the same time. Reasons and figures: docs/spread.md.
 *
 * <p>Create one for each {@code Control}, report what happens to an engine ({@link #engineListed}, {@link
 * #submissionSent}, {@link #submissionEnded}, {@link #loadReported}) and query it. Engines are named by their
 * rows, which are dense indexes. Does no I/O and reads no clock: times are parameters, in ticks (whole tenths
 * of a millisecond). Random numbers depend on the seed alone. Not thread-safe.
 */
public final class Spread {
    /**
     * The expected number of engines in no front's subset when seven of ten fronts have failed without the
     * others knowing: with a subset of c of E engines each, N fronts leave out E e^(-cN/E) engines.
     */
    private static final double MAX_UNCOVERED_ENGINES = 0.05;
    private static final double SURVIVING_FRONTS_RATIO = 0.3;
    /** Each front needs alternatives to engines that are slow, ejected or full. */
    private static final int MIN_SUBSET_SIZE = 6;
    private static final int SUBSET_ENGINES_PER_BUSY_ENGINE = 2;
    /** The most by which a load report raises or lowers an engine's weight, as reports may be wrong. */
    private static final double MAX_REPORT_FACTOR = 2;
    /** The part of an ejected engine's cores that the probes of all fronts may use together. */
    private static final double PROBE_CORES_RATIO = 0.1;
    /**
     * The part of a cold engine's limit that the fronts use: a full bucket of credit may be spent while as
     * much is refilled.
     */
    private static final double COLD_START_RATIO = 0.4;
    /** The random part of a delay. */
    private static final double JITTER_RATIO = 0.5;
    /** The fractional part of the golden ratio: its multiples modulo 1 are spaced evenly. */
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;
    /** An engine's traffic is logged when its weight falls below the first, rises above the second. */
    private static final double REDUCED_BELOW_RATIO = 0.5;
    private static final double RESTORED_ABOVE_RATIO = 0.8;

    private final Deployment deployment;
    private final SplittableRandom random;
    private final long hashSeed;
    private final long createdAt;
    private int rowCount;
    // Indexed by row.
    private Id.Engine[] engineIds = new Id.Engine[8];
    private boolean[] up = new boolean[8];
    private double[] cores = new double[8];
    private double[] hashRank = new double[8];
    // The engine's place in the order of hash ranks; the first ones form the subset.
    private int[] position = new int[8];
    private int[] ownSubmissions = new int[8];
    private double[] reportedLoad = new double[8];
    private long[] reportedAt = new long[8];
    // Token bucket for submissions to a cold engine, in queries of the lightest group.
    private double[] coldCredit = new double[8];
    private long[] coldCreditAt = new long[8];
    private double[] loggedRatio = new double[8];
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

    // ---- updates

    /** Sets a row's engine as currently listed; a different engine than before starts without statistics. */
    public void engineListed(int row, Id.Engine engine, double engineCores, boolean isUp) {
        if (row >= engineIds.length) {
            growRows(row * 2);
        }
        rowCount = Math.max(rowCount, row + 1);
        if (!engine.equals(engineIds[row])) {
            engineIds[row] = engine;
            ownSubmissions[row] = 0;
            loggedRatio[row] = 1;
            // Rendezvous hashing: an engine that joins or leaves moves no other. It is not weighted by size,
            // which the tie break accounts for already.
            hashRank[row] = hashToUnitInterval(engine);
            engineRestarted(row, createdAt);
        }
        up[row] = isUp;
        cores[row] = engineCores;
        orderStale = true;
    }

    /** Updates the order of the engines. Done lazily, so that a whole list causes it only once. */
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

    /** The row's engine is a new process. */
    public void engineRestarted(int row, long now) {
        reportedLoad[row] = Double.NaN;
        // Random, so that hundreds of fronts, each with less than one query for a cold engine, take turns.
        coldCredit[row] = random.nextDouble();
        coldCreditAt[row] = now;
    }

    /** @param weight the typical work of the query's group, relative to that of the lightest group */
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

    /** @param now when the report arrived */
    public void loadReported(int row, Load load, long now) {
        double utilisation = Math.max(valueOrZero(load.cores()),
                Math.max(valueOrZero(load.memory()), valueOrZero(load.disks())));
        double running = Double.isNaN(load.cores()) ? valueOrZero(load.running()) : 0;
        reportedLoad[row] = utilisation + (running + valueOrZero(load.queued())) / Math.max(1, cores[row]);
        reportedAt[row] = now;
        meanReportedLoad = IntStream.range(0, rowCount).filter(k -> up[k] && !Double.isNaN(reportedLoad[k]))
                .mapToDouble(k -> reportedLoad[k]).average().orElse(0);
    }

    private static double valueOrZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }

    // ---- choice among equals

    /**
     * A random key that orders engines with equally many own threads per core, lowest first: below 1 inside
     * the subset. Each engine comes first with a probability proportional to its weight: with equal
     * probabilities, slow and small engines got as many queries as the others. Round robin was worse, as it
     * prefers the engine that has not answered for longest.
     */
    public double tieBreak(int row, int ownThreads, double effectiveCores, long now) {
        double freeRatio = 1 - (ownThreads - threadSteps(row, ownThreads)) / sizeUnits(row);
        double delay = -Math.log(1 - random.nextDouble())
                / Math.max(1e-3, effectiveCores * freeRatio * reportFactor(row, now));
        refreshOrder();
        return (position[row] < subsetSize ? 0 : 1) + delay / (1 + delay);
    }

    /**
     * Own threads rounded down to a multiple of the engine's size, in units of the smallest engine. If all
     * engines have the same size, these are the threads themselves. Otherwise a front with few queries, which
     * mostly has one thread on a large engine and none on a small one, would send both equally many.
     */
    public double threadSteps(int row, int ownThreads) {
        return Math.floor(ownThreads / sizeUnits(row) + 1e-9) * sizeUnits(row);
    }

    private double sizeUnits(int row) {
        refreshOrder();
        return Math.max(1, cores[row] / smallestCores);
    }

    /** Whether the engine is in the subset that this front prefers, all else being equal. */
    public boolean inSubset(int row) {
        refreshOrder();
        return position[row] < subsetSize;
    }

    public int subsetSize() {
        refreshOrder();
        return subsetSize;
    }

    /**
     * The factor by which an engine's load report changes its weight. The queries that a report counted end
     * within a typical runtime, and later ones are unknown here. So its influence decays with its age in
     * typical runtimes: at full influence, a report would send all fronts to the engine that last looked
     * idle.
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
     * Makes the subset so large that, although fronts choose theirs independently, hardly any engine is in
     * none, even if most fronts have just failed. With few fronts the subset is all engines.
     */
    private void updateSubsetSize() {
        double required = upCount * Math.log(Math.max(1, upCount / MAX_UNCOVERED_ENGINES))
                / (SURVIVING_FRONTS_RATIO * deployment.fronts());
        subsetSize = Math.max(MIN_SUBSET_SIZE,
                Math.max((int) Math.ceil(required), SUBSET_ENGINES_PER_BUSY_ENGINE * busyEngines));
    }

    /** How many fronts are expected to have an engine in their subset and so to observe its health. */
    private double frontsPerEngine() {
        refreshOrder();
        return Math.max(1, deployment.fronts() * Math.min(1, subsetSize / Math.max(1.0, upCount)));
    }

    // ---- rates

    /**
     * The time until this front probes an ejected engine: {@code minDelay}, or long enough for the probes of
     * all fronts to use only a small part of the engine. Random, so that fronts that ejected an engine at the
     * same time do not probe it together.
     */
    public long probeDelay(int row, long minDelay, double work) {
        double delayForRate = frontsPerEngine() * work / (PROBE_CORES_RATIO * Math.max(1, cores[row]));
        return (long) (Math.max(minDelay, delayForRate) * (1 + JITTER_RATIO * (random.nextDouble() - 0.5)));
    }

    /**
     * Whether a query fits into this front's part of a cold engine's limit: a token bucket that is refilled
     * over the window of the cold start rule. A front that has just started does not know what it sent
     * before, and sends nothing for one window. A part of less than one query accumulates to one, which
     * expires after a time: without expiry, hundreds of fronts that had been idle for some seconds had one
     * query each, more in total than the engine can take.
     *
     * @param weight the typical work of the query's group, relative to that of the lightest group
     * @param lightest the typical work of the lightest group, in ticks
     */
    public boolean coldStartAdmits(int row, double weight, double lightest, long now) {
        Deployment.ColdStart rule = deployment.coldStart();
        if (now - createdAt < rule.window()) {
            return false;
        }
        double rate = COLD_START_RATIO * rule.overloadMultiple() * rule.initialSpeed() * cores[row]
                / deployment.fronts() / lightest;
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
     * How long a front whose part is less than one query may keep the credit for a whole one. The credit of
     * all fronts and what is refilled during a window must fit into the engine's limit at that time, which
     * grows during its ramp; if it grows fast enough, credit is kept for the whole ramp.
     */
    private static double creditHoldTicks(Deployment.ColdStart rule) {
        double rampPerTick = (1 / rule.initialSpeed() - 1) / rule.ramp();
        double netPerTick = COLD_START_RATIO / rule.window() - rampPerTick;
        return netPerTick <= 0 ? rule.ramp() : Math.min(rule.ramp(), (1 - COLD_START_RATIO) / netPerTick);
    }

    // ---- jitter

    /**
     * A time after which a deferred client may retry, up to the longest that clients honour. Clients that are
     * deferred together must not return together: successive values differ by as much as possible, which
     * random ones would not.
     */
    public long retryAfter(long maxDelay) {
        retryPhase = (retryPhase + GOLDEN_RATIO_FRACTION) % 1;
        return maxDelay - (long) (JITTER_RATIO * maxDelay * retryPhase);
    }

    /** The delay before the first run of a periodic task: random, from 1 to the whole period. */
    public long firstDelay(long period) {
        return 1 + random.nextLong(Math.max(1, period));
    }

    // ---- for operators

    /** One line for each engine that is now sent clearly less than its share, or its share again. */
    public List<String> trafficMessages(IntToDoubleFunction effectiveCores, long now) {
        List<String> messages = new ArrayList<>();
        for (int row = 0; row < rowCount; row++) {
            double byReports = reportFactor(row, now);
            double byObservation = up[row] ? effectiveCores.applyAsDouble(row) / Math.max(1e-3, cores[row])
                    : 1;
            double ratio = byObservation * Math.min(1, byReports);
            if (up[row] && ratio < REDUCED_BELOW_RATIO && loggedRatio[row] >= REDUCED_BELOW_RATIO) {
                loggedRatio[row] = ratio;
                messages.add("engine " + engineIds[row].address() + (byReports < byObservation
                        ? " says that it is busier than others"
                        : " is slower, colder or fails more than others") + ", is sent less");
            } else if (up[row] && ratio > RESTORED_ABOVE_RATIO && loggedRatio[row] < REDUCED_BELOW_RATIO) {
                loggedRatio[row] = 1;
                messages.add("engine " + engineIds[row].address() + " is sent its share again");
            }
        }
        return messages;
    }

    /** A hash of the seed and the engine's name: greater than 0, at most 1. */
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
        loggedRatio = Arrays.copyOf(loggedRatio, size);
    }
}
