package reedspring.spread;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import reedspring.api.Deployment;
import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Id;
import reedspring.api.Load;

class SpreadTest {
    private static final long TICKS_PER_SECOND = 10_000;
    private static final long START = 1_000 * TICKS_PER_SECOND;
    private static final double WORK = 2_000;

    private static Deployment deployment(int fronts) {
        return deployment(fronts, new Deployment.ColdStart(0.3, 10 * TICKS_PER_SECOND, 3,
                2 * TICKS_PER_SECOND));
    }

    private static Deployment deployment(int fronts, Deployment.ColdStart coldStart) {
        return new Deployment(fronts, List.of(new Deployment.ResourceGroup(TICKS_PER_SECOND, 2, 1, 0, 1,
                Effect.READ_ONLY,
                Recognised.ALL, 0, false, null, null)), List.of(), Map.of(),
                new Deployment.Capabilities(false, true, false, 3, TICKS_PER_SECOND / 2),
                new Deployment.Discovery(false, 0),
                coldStart, null, 0, 1, 2 * TICKS_PER_SECOND, true);
    }

    private static Spread front(long seed, int fronts, double... cores) {
        Spread spread = new Spread(seed, deployment(fronts), START);
        for (int k = 0; k < cores.length; k++) {
            spread.engineListed(k, engine(k), cores[k], true);
        }
        return spread;
    }

    private static Id.Engine engine(int k) {
        return new Id.Engine("e" + k);
    }

    private static double[] equalCores(int count) {
        double[] cores = new double[count];
        Arrays.fill(cores, 8);
        return cores;
    }

    /** The engine with the lowest key, with no own threads on any. */
    private static int firstChoice(Spread spread, double[] weights, long now) {
        int best = 0;
        double lowestKey = Double.MAX_VALUE;
        for (int k = 0; k < weights.length; k++) {
            double key = spread.tieBreak(k, 0, weights[k], now);
            if (key < lowestKey) {
                lowestKey = key;
                best = k;
            }
        }
        return best;
    }

    private static double[] shares(Spread spread, double[] weights, int queries) {
        double[] shares = new double[weights.length];
        for (int k = 0; k < queries; k++) {
            int row = firstChoice(spread, weights, START);
            shares[row] += 1.0 / queries;
            spread.submissionSent(row, 1);
            spread.submissionEnded(row, 500);
        }
        return shares;
    }

    private static Set<Integer> subset(Spread spread, int engines) {
        Set<Integer> rows = new HashSet<>();
        IntStream.range(0, engines).filter(spread::inSubset).forEach(rows::add);
        return rows;
    }

    /** With equal probabilities, the smallest engine got as many queries as the largest. */
    @Example
    void enginesGetQueriesInProportionToTheirSize() {
        double[] cores = {1, 2, 3, 4, 5, 6, 7, 8};
        double[] shares = shares(front(1, 2, cores), cores, 20_000);
        for (int k = 0; k < cores.length; k++) {
            assertEquals(cores[k] / 36, shares[k], 0.25 * cores[k] / 36 + 0.005, "share of size " + cores[k]);
        }
    }

    /**
     * By own threads per core alone, a front with few queries mostly had one thread on a large engine and
     * none on a small one, and both got equally many.
     */
    @Example
    void largeEnginesGetTheirShareFromAFrontWithFewQueries() {
        double[] cores = {4, 4, 8, 16};
        Spread spread = front(9, 12, cores);
        SplittableRandom random = new SplittableRandom(9);
        int[] ownThreads = new int[4];
        double[] shares = new double[4];
        for (int step = 0; step < 20_000; step++) {
            int best = -1;
            double lowestLoad = Double.MAX_VALUE;
            for (int k = 0; k < 4; k++) {
                double load = spread.threadSteps(k, ownThreads[k]) / cores[k]
                        + 1e-6 * spread.tieBreak(k, ownThreads[k], cores[k], START);
                best = load < lowestLoad ? k : best;
                lowestLoad = Math.min(lowestLoad, load);
            }
            ownThreads[best]++;
            shares[best] += 1.0 / 20_000;
            // Four are outstanding at any time; a random one ends next.
            if (step >= 4) {
                int ends = 0;
                for (int draw = random.nextInt(5); draw >= ownThreads[ends]; ends++) {
                    draw -= ownThreads[ends];
                }
                ownThreads[ends]--;
            }
        }
        assertEquals(0.5, shares[3], 0.12, "share of the engine with half of the cores: "
                + Arrays.toString(shares));
        Spread alike = front(9, 12, equalCores(4));
        IntStream.range(0, 20).forEach(threads -> assertEquals(threads, alike.threadSteps(1, threads)));
    }

    @Example
    void anEngineOfLowWeightGetsFewQueries() {
        double[] weights = equalCores(6);
        weights[2] = 8 * 0.15;
        double[] shares = shares(front(2, 3, equalCores(6)), weights, 10_000);
        assertTrue(shares[2] < 0.05, "share of the slow one: " + shares[2]);
        assertTrue(shares[2] > 0.01, "the slow one is still used: " + shares[2]);
    }

    @Example
    void theSubsetDoesNotDependOnTheOrderOfTheList() {
        Spread one = new Spread(5, deployment(100), START);
        Spread other = new Spread(5, deployment(100), START);
        List<Integer> order = new ArrayList<>(IntStream.range(0, 40).boxed().toList());
        order.forEach(k -> one.engineListed(k, engine(k), 8, true));
        java.util.Collections.reverse(order);
        order.forEach(k -> other.engineListed(k, engine(k), 8, true));
        assertEquals(subset(one, 40), subset(other, 40));
        Set<Integer> before = subset(one, 40);
        int outside = IntStream.range(0, 40).filter(k -> !before.contains(k)).findFirst().orElseThrow();
        one.engineListed(outside, engine(outside), 8, false);
        assertEquals(before, subset(one, 40), "an engine that leaves outside the subset does not change it");
    }

    @Example
    void withFewFrontsTheSubsetIsAllEngines() {
        for (int fronts : new int[] {1, 2, 3}) {
            assertEquals(12, subset(front(1, fronts, equalCores(12)), 12).size(), fronts + " fronts");
        }
    }

    /** Seven of ten fronts have failed without the others knowing; then half of the engines leave as well. */
    @Example
    void hardlyAnyEngineIsInNoSubset() {
        int uncovered = 0;
        int uncoveredOfHalf = 0;
        for (int seed = 0; seed < 20; seed++) {
            Set<Integer> covered = new HashSet<>();
            Set<Integer> coveredOfHalf = new HashSet<>();
            for (int f = 0; f < 30; f++) {
                Spread spread = front(1_000 * seed + f, 100, equalCores(80));
                covered.addAll(subset(spread, 80));
                for (int k = 0; k < 80; k += 2) {
                    spread.engineListed(k, engine(k), 8, false);
                }
                coveredOfHalf.addAll(subset(spread, 80));
            }
            uncovered += 80 - covered.size();
            coveredOfHalf.removeIf(k -> k % 2 == 0);
            uncoveredOfHalf += 40 - coveredOfHalf.size();
        }
        assertTrue(uncovered <= 10, uncovered + " of 1,600 in no subset");
        assertTrue(uncoveredOfHalf <= 10, uncoveredOfHalf + " of 800 in no subset");
    }

    @Example
    void theSubsetGrowsWithTheSubmissionsOutstanding() {
        Spread spread = front(3, 200, equalCores(40));
        assertEquals(6, spread.subsetSize());
        for (int k = 0; k < 5; k++) {
            spread.submissionSent(k, 1);
        }
        assertEquals(10, spread.subsetSize());
        IntStream.range(0, 5).forEach(k -> spread.submissionEnded(k, 300));
        assertEquals(6, spread.subsetSize());
    }

    @Example
    void theInfluenceOfAReportDecaysWithItsAge() {
        double[] weights = equalCores(4);
        Spread spread = front(4, 1, weights);
        spread.submissionSent(3, 1);
        spread.submissionEnded(3, 300);
        Load busy = new Load(1, Double.NaN, Double.NaN, Double.NaN, 16);
        Load idle = new Load(0.2, Double.NaN, Double.NaN, Double.NaN, 0);
        assertTrue(shareOfFirst(spread, weights, START, busy, idle) < 0.2, "immediately");
        assertEquals(0.25, shareOfFirst(spread, weights, START + 20 * 300, busy, idle), 0.06,
                "after twenty typical runtimes");
    }

    /** How often the first engine is chosen, after it and the others reported the given loads. */
    private static double shareOfFirst(Spread spread, double[] weights, long now, Load reportOfFirst,
            Load reportOfOthers) {
        for (int k = 0; k < weights.length; k++) {
            spread.loadReported(k, k == 0 ? reportOfFirst : reportOfOthers, START);
        }
        int count = 0;
        for (int k = 0; k < 4_000; k++) {
            count += firstChoice(spread, weights, now) == 0 ? 1 : 0;
        }
        return count / 4_000.0;
    }

    /**
     * An engine that always reports to be idle must not get everything: measured slowness lowers its weight.
     */
    @Example
    void aFalseReportHasBoundedInfluence() {
        double[] weights = equalCores(5);
        Spread spread = front(6, 1, weights);
        spread.submissionSent(3, 1);
        spread.submissionEnded(3, 300);
        Load busy = new Load(1, 1, 1, 100, 200);
        Load idle = new Load(0, 0, 0, 0, 0);
        assertTrue(shareOfFirst(spread, weights, START, idle, busy) < 0.55, "with a false report");
        weights[0] *= 0.15;
        assertTrue(shareOfFirst(spread, weights, START, idle, busy) < 0.2,
                "with a false report and slow runs");
    }

    @Example
    void invalidReportValuesAreIgnored() {
        Load load = Load.UNKNOWN.with("util", 7e12).with("queue", -1).with("util", Double.NaN).with("colour",
                3);
        assertEquals(Load.UNKNOWN, load);
        Spread spread = front(7, 1, equalCores(4));
        spread.submissionSent(3, 1);
        spread.submissionEnded(3, 300);
        assertEquals(0.25, shareOfFirst(spread, equalCores(4), START, load, load), 0.06);
    }

    /**
     * Two hundred fronts eject an engine at the same time: their probes are spread over time and small in
     * total.
     */
    @Example
    void probesOfAllFrontsUseASmallPartOfAnEngine() {
        int fronts = 200;
        List<Long> probes = new ArrayList<>();
        for (int f = 0; f < fronts; f++) {
            Spread spread = front(f, fronts, equalCores(40));
            if (spread.inSubset(0)) {
                for (long at = spread.probeDelay(0, TICKS_PER_SECOND / 2, WORK);
                        at < 60 * TICKS_PER_SECOND; ) {
                    probes.add(at);
                    at += spread.probeDelay(0, TICKS_PER_SECOND / 2, WORK);
                }
            }
        }
        double cores = probes.size() * WORK / (60 * TICKS_PER_SECOND);
        assertTrue(cores < 0.25 * 8, "cores used by probes: " + cores);
        int[] bins = new int[600];
        probes.forEach(at -> bins[(int) (at / 1_000)]++);
        assertTrue(Arrays.stream(bins).max().orElseThrow() <= 8, "probes in a tenth of a second: "
                + Arrays.stream(bins).max().orElseThrow());
    }

    /** With the same retry time for all, deferred clients returned at the same moment. */
    @Example
    void retryTimesOfDeferralsAreSpread() {
        int[] bins = new int[20];
        for (int f = 0; f < 10; f++) {
            Spread spread = front(f, 10, equalCores(6));
            for (int k = 0; k < 100; k++) {
                long delay = spread.retryAfter(TICKS_PER_SECOND / 2);
                assertTrue(delay > 0 && delay <= TICKS_PER_SECOND / 2, "retry time: " + delay);
                bins[(int) ((delay - 1) / 250)]++;
            }
        }
        int fullestBin = Arrays.stream(bins).max().orElseThrow();
        assertTrue(fullestBin <= 130, "of 1,000 retries within 25 ms: " + fullestBin);
        assertEquals(0, front(1, 1, 8).retryAfter(0), "no retry time if clients honour none");
    }

    /** The cold start rule holds for all fronts together in any window. */
    @Example
    void allFrontsTogetherDoNotOverloadAColdEngine() {
        for (int fronts : new int[] {1, 3, 12, 200}) {
            SplittableRandom random = new SplittableRandom(fronts);
            List<Spread> all = IntStream.range(0, fronts).mapToObj(f -> front(f, fronts, equalCores(6)))
                    .toList();
            List<Long> sent = new ArrayList<>();
            long startedAt = START + 60 * TICKS_PER_SECOND;
            all.forEach(spread -> spread.engineRestarted(0, startedAt));
            for (long now = startedAt; now < startedAt + 8 * TICKS_PER_SECOND; now += 100) {
                for (int k = 0; k < 40; k++) {
                    Spread spread = all.get(random.nextInt(fronts));
                    if (spread.coldStartAdmits(0, 1, WORK, now)) {
                        spread.submissionSent(0, 1);
                        sent.add(now);
                    }
                }
            }
            // Three times 0.3 of 8 cores for 2 s, in queries of 0.2 s.
            double limit = 3 * 0.3 * 8 * 2 / 0.2;
            for (long windowStart : sent) {
                long arrived = sent.stream().filter(at -> at >= windowStart
                        && at < windowStart + 2 * TICKS_PER_SECOND).count();
                assertTrue(arrived <= limit + 2 * Math.sqrt(limit) + 2,
                        arrived + " of " + limit + ", " + fronts
                        + " fronts");
            }
            assertTrue(sent.size() > 20, "submissions to the cold engine: " + sent.size());
        }
    }

    /**
     * Each front's part is less than one query, and all are idle for some seconds and then send at once. The
     * ramp lasts many windows, so the engine's limit grows by less than the credit that the fronts would
     * accumulate.
     */
    @Example
    void hundredsOfIdleFrontsDoNotOverloadAColdEngineAtOnce() {
        Deployment.ColdStart rule = new Deployment.ColdStart(0.35, 15 * TICKS_PER_SECOND, 2,
                TICKS_PER_SECOND);
        for (int fronts : new int[] {30, 200, 1000}) {
            for (int idleSeconds = 1; idleSeconds < 15; idleSeconds++) {
                long startedAt = START + 60 * TICKS_PER_SECOND;
                List<Spread> all = new ArrayList<>();
                for (int f = 0; f < fronts; f++) {
                    Spread spread = new Spread(f, deployment(fronts, rule), START);
                    spread.engineListed(0, engine(0), 8, true);
                    spread.engineRestarted(0, startedAt);
                    all.add(spread);
                }
                int arrived = 0;
                for (long now = startedAt + idleSeconds * TICKS_PER_SECOND;
                        now < startedAt + (idleSeconds + 1) * TICKS_PER_SECOND; now += 100) {
                    for (Spread spread : all) {
                        if (spread.coldStartAdmits(0, 1, WORK, now)) {
                            spread.submissionSent(0, 1);
                            arrived++;
                        }
                    }
                }
                double limit = 2 * (0.35 + 0.65 * idleSeconds / 15) * 8 / 0.2;
                assertTrue(arrived <= limit + 2 * Math.sqrt(limit) + 2,
                        arrived + " of " + limit + ", " + fronts
                        + " fronts, " + idleSeconds + " s");
                assertTrue(arrived > 0.2 * 0.35 * 2 * 8 / 0.2, "submissions to the cold engine: " + arrived);
            }
        }
    }

    @Example
    void aNewFrontSendsNothingToColdEngines() {
        Spread spread = front(1, 1, equalCores(2));
        spread.engineRestarted(0, START);
        assertTrue(!spread.coldStartAdmits(0, 1, WORK, START + 2 * TICKS_PER_SECOND - 1));
        assertTrue(spread.coldStartAdmits(0, 1, WORK, START + 2 * TICKS_PER_SECOND));
    }

    @Example
    void eachChangeOfAnEnginesTrafficIsRemarkedOnOnce() {
        Spread spread = front(1, 1, equalCores(3));
        double[] weights = equalCores(3);
        assertEquals(List.of(), spread.trafficMessages(k -> weights[k], START));
        weights[1] = 1.2;
        assertEquals(1, spread.trafficMessages(k -> weights[k], START).size());
        assertEquals(List.of(), spread.trafficMessages(k -> weights[k], START));
        weights[1] = 5;
        assertEquals(List.of(), spread.trafficMessages(k -> weights[k], START), "no remark half way back");
        weights[1] = 8;
        assertTrue(spread.trafficMessages(k -> weights[k], START).get(0).contains("its share again"));
    }

    /** Random events, with rows that are reused by other engines. */
    @Example
    void randomEventsKeepTieBreaksAndSubsetsInRange() {
        for (long seed = 0; seed < 30; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Spread spread = new Spread(seed, deployment(1 + random.nextInt(300)), START);
            int rows = 0;
            int[] outstanding = new int[40];
            int[] ids = new int[40];
            long now = START;
            for (int step = 0; step < 2_000; step++) {
                now += random.nextInt(200);
                int row = random.nextInt(rows + 1);
                if (row == rows && rows < 40 || rows == 0) {
                    ids[rows] = step;
                    spread.engineListed(rows++, engine(step), 1 + random.nextInt(16), true);
                } else if (row < rows && random.nextInt(10) == 0) {
                    // A row is reused only if no submission is outstanding on it.
                    ids[row] = outstanding[row] == 0 ? step : ids[row];
                    spread.engineListed(row, engine(ids[row]), 1 + random.nextInt(16), random.nextBoolean());
                } else if (row < rows && random.nextBoolean()) {
                    spread.submissionSent(row, random.nextInt(5));
                    outstanding[row]++;
                } else if (row < rows && outstanding[row] > 0) {
                    spread.submissionEnded(row, random.nextInt(9_000));
                    outstanding[row]--;
                } else if (row < rows) {
                    spread.loadReported(row, Load.UNKNOWN.with("util", random.nextDouble()), now);
                }
                for (int k = 0; k < rows; k++) {
                    double tieBreak = spread.tieBreak(k, random.nextInt(9), random.nextDouble() * 8, now);
                    assertTrue(tieBreak >= 0 && tieBreak < 2
                            && tieBreak < 1 == spread.inSubset(k), "tie break " + tieBreak);
                }
                assertTrue(spread.subsetSize() >= 6, "subset size " + spread.subsetSize());
                long delay = spread.probeDelay(random.nextInt(Math.max(1, rows)), 1 + random.nextInt(9_000),
                        WORK);
                assertTrue(delay > 0, "delay " + delay);
            }
        }
    }
}
