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
    private static final long SECOND = 10_000;
    private static final long START = 1_000 * SECOND;
    private static final double WORK = 2_000;

    private static Deployment house(int fronts) {
        return house(fronts, new Deployment.ColdStart(0.3, 10 * SECOND, 3, 2 * SECOND));
    }

    private static Deployment house(int fronts, Deployment.ColdStart coldStart) {
        return new Deployment(fronts, List.of(new Deployment.ResourceGroup(SECOND, 2, 1, 0, 1,
                Effect.READ_ONLY,
                Recognised.ALL, 0, false, null, null)), List.of(), Map.of(),
                new Deployment.Allowed(false, true, false, 3, SECOND / 2), new Deployment.Discovery(false, 0),
                coldStart, null, 0, 1, 2 * SECOND, true);
    }

    private static Spread front(long seed, int fronts, double... cores) {
        Spread spread = new Spread(seed, house(fronts), START);
        for (int k = 0; k < cores.length; k++) {
            spread.engineListed(k, engine(k), cores[k], true);
        }
        return spread;
    }

    private static Id.Engine engine(int k) {
        return new Id.Engine("e" + k);
    }

    private static double[] alike(int count) {
        double[] cores = new double[count];
        Arrays.fill(cores, 8);
        return cores;
    }

    /** The engine whose turn it is, all being equal in own threads. */
    private static int next(Spread spread, double[] worth, long now) {
        int best = 0;
        double least = Double.MAX_VALUE;
        for (int k = 0; k < worth.length; k++) {
            double turn = spread.tieBreak(k, 0, worth[k], now);
            if (turn < least) {
                least = turn;
                best = k;
            }
        }
        return best;
    }

    private static double[] shares(Spread spread, double[] worth, int queries) {
        double[] given = new double[worth.length];
        for (int k = 0; k < queries; k++) {
            int at = next(spread, worth, START);
            given[at] += 1.0 / queries;
            spread.submissionSent(at, 1);
            spread.submissionEnded(at, 500);
        }
        return given;
    }

    private static Set<Integer> homes(Spread spread, int engines) {
        Set<Integer> homes = new HashSet<>();
        IntStream.range(0, engines).filter(spread::inSubset).forEach(homes::add);
        return homes;
    }

    /** By chance alone, as it was, the smallest took as many as the largest. */
    @Example
    void enginesOfOneToEightSizesTakeByTheirSize() {
        double[] cores = {1, 2, 3, 4, 5, 6, 7, 8};
        double[] shares = shares(front(1, 2, cores), cores, 20_000);
        for (int k = 0; k < cores.length; k++) {
            assertEquals(cores[k] / 36, shares[k], 0.25 * cores[k] / 36 + 0.005, "share of size " + cores[k]);
        }
    }

    /**
     * Fewest own threads for each core alone: a thread on the large one, none on the small, and both took
     * alike.
     */
    @Example
    void largeEnginesTakeBySizeAlsoWhereAFrontHasFewQueriesOut() {
        double[] cores = {4, 4, 8, 16};
        Spread spread = front(9, 12, cores);
        SplittableRandom chance = new SplittableRandom(9);
        int[] own = new int[4];
        double[] given = new double[4];
        for (int step = 0; step < 20_000; step++) {
            int best = -1;
            double least = Double.MAX_VALUE;
            for (int k = 0; k < 4; k++) {
                double load = spread.threadSteps(k, own[k]) / cores[k] + 1e-6 * spread.tieBreak(k, own[k], cores[k],
                        START);
                best = load < least ? k : best;
                least = Math.min(least, load);
            }
            own[best]++;
            given[best] += 1.0 / 20_000;
            // Four out at any time; any of them ends next.
            if (step >= 4) {
                int ends = 0;
                for (int draw = chance.nextInt(5); draw >= own[ends]; ends++) {
                    draw -= own[ends];
                }
                own[ends]--;
            }
        }
        assertEquals(0.5, given[3], 0.12, "share of half of the cores: " + Arrays.toString(given));
        Spread alike = front(9, 12, alike(4));
        IntStream.range(0, 20).forEach(threads -> assertEquals(threads, alike.threadSteps(1, threads)));
    }

    @Example
    void oneThatIsWorthLittleTakesLittle() {
        double[] worth = alike(6);
        worth[2] = 8 * 0.15;
        double[] shares = shares(front(2, 3, alike(6)), worth, 10_000);
        assertTrue(shares[2] < 0.05, "share of the slow one: " + shares[2]);
        assertTrue(shares[2] > 0.01, "it is still heard of: " + shares[2]);
    }

    @Example
    void theCircleIsTheSameWhateverTheListsOrder() {
        Spread one = new Spread(5, house(100), START);
        Spread other = new Spread(5, house(100), START);
        List<Integer> order = new ArrayList<>(IntStream.range(0, 40).boxed().toList());
        order.forEach(k -> one.engineListed(k, engine(k), 8, true));
        java.util.Collections.reverse(order);
        order.forEach(k -> other.engineListed(k, engine(k), 8, true));
        assertEquals(homes(one, 40), homes(other, 40));
        Set<Integer> before = homes(one, 40);
        int outside = IntStream.range(0, 40).filter(k -> !before.contains(k)).findFirst().orElseThrow();
        one.engineListed(outside, engine(outside), 8, false);
        assertEquals(before, homes(one, 40), "one that leaves outside the circle moves nothing in it");
    }

    @Example
    void fewFrontsTurnToAllEngines() {
        for (int fronts : new int[] {1, 2, 3}) {
            assertEquals(12, homes(front(1, fronts, alike(12)), 12).size(), fronts + " fronts");
        }
    }

    /** Seven in ten fronts are gone and the others don't know it; then half of the engines go as well. */
    @Example
    void nearlyNoEngineIsInNobodysCircle() {
        int left = 0;
        int leftOfHalf = 0;
        for (int seed = 0; seed < 20; seed++) {
            Set<Integer> met = new HashSet<>();
            Set<Integer> metOfHalf = new HashSet<>();
            for (int f = 0; f < 30; f++) {
                Spread spread = front(1_000 * seed + f, 100, alike(80));
                met.addAll(homes(spread, 80));
                for (int k = 0; k < 80; k += 2) {
                    spread.engineListed(k, engine(k), 8, false);
                }
                metOfHalf.addAll(homes(spread, 80));
            }
            left += 80 - met.size();
            metOfHalf.removeIf(k -> k % 2 == 0);
            leftOfHalf += 40 - metOfHalf.size();
        }
        assertTrue(left <= 10, left + " of 1,600 in nobody's circle");
        assertTrue(leftOfHalf <= 10, leftOfHalf + " of 800 in nobody's circle");
    }

    @Example
    void theCircleGrowsWithWhatIsOut() {
        Spread spread = front(3, 200, alike(40));
        assertEquals(6, spread.subsetSize());
        for (int k = 0; k < 5; k++) {
            spread.submissionSent(k, 1);
        }
        assertEquals(10, spread.subsetSize());
        IntStream.range(0, 5).forEach(k -> spread.submissionEnded(k, 300));
        assertEquals(6, spread.subsetSize());
    }

    @Example
    void aReportCountsByItsAge() {
        double[] worth = alike(4);
        Spread spread = front(4, 1, worth);
        spread.submissionSent(3, 1);
        spread.submissionEnded(3, 300);
        Load busy = new Load(1, Double.NaN, Double.NaN, Double.NaN, 16);
        Load idle = new Load(0.2, Double.NaN, Double.NaN, Double.NaN, 0);
        assertTrue(given(spread, worth, START, busy, idle) < 0.2, "a moment later");
        assertEquals(0.25, given(spread, worth, START + 20 * 300, busy, idle), 0.06,
                "after twenty usual runs");
    }

    /** How often the first is next, where it has just said one thing and the others another. */
    private static double given(Spread spread, double[] worth, long now, Load first, Load others) {
        for (int k = 0; k < worth.length; k++) {
            spread.loadReported(k, k == 0 ? first : others, START);
        }
        int count = 0;
        for (int k = 0; k < 4_000; k++) {
            count += next(spread, worth, now) == 0 ? 1 : 0;
        }
        return count / 4_000.0;
    }

    /** One that says it is idle for good must not take all: its own runs tell on it, by its worth. */
    @Example
    void aLieDrawsNoMoreThanItsBound() {
        double[] worth = alike(5);
        Spread spread = front(6, 1, worth);
        spread.submissionSent(3, 1);
        spread.submissionEnded(3, 300);
        Load busy = new Load(1, 1, 1, 100, 200);
        Load idle = new Load(0, 0, 0, 0, 0);
        assertTrue(given(spread, worth, START, idle, busy) < 0.55, "drawn by a lie");
        worth[0] *= 0.15;
        assertTrue(given(spread, worth, START, idle, busy) < 0.2, "and its own runs are slow");
    }

    @Example
    void reportsThatCantBeMeantChangeNothing() {
        Load load = Load.UNKNOWN.with("util", 7e12).with("queue", -1).with("util", Double.NaN).with("colour",
                3);
        assertEquals(Load.UNKNOWN, load);
        Spread spread = front(7, 1, alike(4));
        spread.submissionSent(3, 1);
        spread.submissionEnded(3, 300);
        assertEquals(0.25, given(spread, alike(4), START, load, load), 0.06);
    }

    /**
     * Two hundred fronts bar an engine in the same moment: their trials come apart, and stay small together.
     */
    @Example
    void trialsOfAllFrontsTakeASmallPartOfAnEngine() {
        int fronts = 200;
        List<Long> trials = new ArrayList<>();
        for (int f = 0; f < fronts; f++) {
            Spread spread = front(f, fronts, alike(40));
            if (spread.inSubset(0)) {
                for (long at = spread.probeDelay(0, SECOND / 2, WORK); at < 60 * SECOND; ) {
                    trials.add(at);
                    at += spread.probeDelay(0, SECOND / 2, WORK);
                }
            }
        }
        double cores = trials.size() * WORK / (60 * SECOND);
        assertTrue(cores < 0.25 * 8, "cores that trials take: " + cores);
        int[] bins = new int[600];
        trials.forEach(at -> bins[(int) (at / 1_000)]++);
        assertTrue(Arrays.stream(bins).max().orElseThrow() <= 8, "trials in one tenth of a second: "
                + Arrays.stream(bins).max().orElseThrow());
    }

    /** All named the longest time before, and came back in one moment. */
    @Example
    void whatIsDeferredTogetherComesBackApart() {
        int[] bins = new int[20];
        for (int f = 0; f < 10; f++) {
            Spread spread = front(f, 10, alike(6));
            for (int k = 0; k < 100; k++) {
                long back = spread.retryAfter(SECOND / 2);
                assertTrue(back > 0 && back <= SECOND / 2, "named: " + back);
                bins[(int) ((back - 1) / 250)]++;
            }
        }
        int most = Arrays.stream(bins).max().orElseThrow();
        assertTrue(most <= 130, "of 1,000 deferrals back within 25 ms: " + most);
        assertEquals(0, front(1, 1, 8).retryAfter(0), "where no time is heeded none is named");
    }

    /** The rule's budget over any window, for all fronts together, whatever each sees. */
    @Example
    void allFrontsTogetherStayUnderWhatAColdEngineStands() {
        for (int fronts : new int[] {1, 3, 12, 200}) {
            SplittableRandom chance = new SplittableRandom(fronts);
            List<Spread> all = IntStream.range(0, fronts).mapToObj(f -> front(f, fronts, alike(6))).toList();
            List<Long> sent = new ArrayList<>();
            long born = START + 60 * SECOND;
            all.forEach(spread -> spread.engineRestarted(0, born));
            for (long now = born; now < born + 8 * SECOND; now += 100) {
                for (int k = 0; k < 40; k++) {
                    Spread spread = all.get(chance.nextInt(fronts));
                    if (spread.coldStartAdmits(0, 1, WORK, now)) {
                        spread.submissionSent(0, 1);
                        sent.add(now);
                    }
                }
            }
            // Three times 0.3 of 8 cores for 2 s, in queries of 0.2 s.
            double stands = 3 * 0.3 * 8 * 2 / 0.2;
            for (long from : sent) {
                long came = sent.stream().filter(at -> at >= from && at < from + 2 * SECOND).count();
                assertTrue(came <= stands + 2 * Math.sqrt(stands) + 2, came + " of " + stands + ", " + fronts
                        + " fronts");
            }
            assertTrue(sent.size() > 20, "and it is used: " + sent.size());
        }
    }

    /**
     * Each front's part is under a query, and nobody asks for anything for some seconds; then all do at once.
     * A ramp of many windows: what the engine stands grows by less than what the fronts would save up.
     */
    @Example
    void hundredsOfFrontsThatAskedForNothingPushNoColdEngineOverAtOnce() {
        Deployment.ColdStart rule = new Deployment.ColdStart(0.35, 15 * SECOND, 2, SECOND);
        for (int fronts : new int[] {30, 200, 1000}) {
            for (int idle = 1; idle < 15; idle++) {
                long born = START + 60 * SECOND;
                List<Spread> all = new ArrayList<>();
                for (int f = 0; f < fronts; f++) {
                    Spread spread = new Spread(f, house(fronts, rule), START);
                    spread.engineListed(0, engine(0), 8, true);
                    spread.engineRestarted(0, born);
                    all.add(spread);
                }
                int came = 0;
                for (long now = born + idle * SECOND; now < born + (idle + 1) * SECOND; now += 100) {
                    for (Spread spread : all) {
                        if (spread.coldStartAdmits(0, 1, WORK, now)) {
                            spread.submissionSent(0, 1);
                            came++;
                        }
                    }
                }
                double stands = 2 * (0.35 + 0.65 * idle / 15) * 8 / 0.2;
                assertTrue(came <= stands + 2 * Math.sqrt(stands) + 2, came + " of " + stands + ", " + fronts
                        + " fronts, " + idle + " s");
                assertTrue(came > 0.2 * 0.35 * 2 * 8 / 0.2, "and it is used: " + came);
            }
        }
    }

    @Example
    void aFrontThatHasJustStartedSendsColdEnginesNothing() {
        Spread spread = front(1, 1, alike(2));
        spread.engineRestarted(0, START);
        assertTrue(!spread.coldStartAdmits(0, 1, WORK, START + 2 * SECOND - 1));
        assertTrue(spread.coldStartAdmits(0, 1, WORK, START + 2 * SECOND));
    }

    @Example
    void operatorsAreToldOnceWhenAnEngineIsSentLessAndOnceWhenAgainItsShare() {
        Spread spread = front(1, 1, alike(3));
        double[] worth = alike(3);
        assertEquals(List.of(), spread.trafficRemarks(k -> worth[k], START));
        worth[1] = 1.2;
        assertEquals(1, spread.trafficRemarks(k -> worth[k], START).size());
        assertEquals(List.of(), spread.trafficRemarks(k -> worth[k], START));
        worth[1] = 5;
        assertEquals(List.of(), spread.trafficRemarks(k -> worth[k], START), "half way back is no news");
        worth[1] = 8;
        assertTrue(spread.trafficRemarks(k -> worth[k], START).get(0).contains("its share again"));
    }

    /** Rows are used again by other engines, in any order of events; what is held is bounded by them. */
    @Example
    void anyOrderOfEventsKeepsTurnsAndCirclesInRange() {
        for (long seed = 0; seed < 30; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            Spread spread = new Spread(seed, house(1 + chance.nextInt(300)), START);
            int rows = 0;
            int[] out = new int[40];
            int[] ids = new int[40];
            long now = START;
            for (int step = 0; step < 2_000; step++) {
                now += chance.nextInt(200);
                int at = chance.nextInt(rows + 1);
                if (at == rows && rows < 40 || rows == 0) {
                    ids[rows] = step;
                    spread.engineListed(rows++, engine(step), 1 + chance.nextInt(16), true);
                } else if (at < rows && chance.nextInt(10) == 0) {
                    // A row goes to another engine only when nothing is out on it.
                    ids[at] = out[at] == 0 ? step : ids[at];
                    spread.engineListed(at, engine(ids[at]), 1 + chance.nextInt(16), chance.nextBoolean());
                } else if (at < rows && chance.nextBoolean()) {
                    spread.submissionSent(at, chance.nextInt(5));
                    out[at]++;
                } else if (at < rows && out[at] > 0) {
                    spread.submissionEnded(at, chance.nextInt(9_000));
                    out[at]--;
                } else if (at < rows) {
                    spread.loadReported(at, Load.UNKNOWN.with("util", chance.nextDouble()), now);
                }
                for (int k = 0; k < rows; k++) {
                    double turn = spread.tieBreak(k, chance.nextInt(9), chance.nextDouble() * 8, now);
                    assertTrue(turn >= 0 && turn < 2 && turn < 1 == spread.inSubset(k), "turn " + turn);
                }
                assertTrue(spread.subsetSize() >= 6, "circle " + spread.subsetSize());
                long rest = spread.probeDelay(chance.nextInt(Math.max(1, rows)), 1 + chance.nextInt(9_000), WORK);
                assertTrue(rest > 0, "rest " + rest);
            }
        }
    }
}
