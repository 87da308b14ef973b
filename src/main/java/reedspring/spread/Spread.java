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
    private static final double LEFT_OUT = 0.05;
    private static final double FRONTS_STAYING = 0.3;
    /** One front alone needs room to go round what is slow, barred or full. */
    private static final int LEAST_CIRCLE = 6;
    private static final int CIRCLE_A_BUSY_ONE = 2;
    /** A report can be wrong for good; it moves an engine's turn by no more than this, either way. */
    private static final double MOST_TRUST = 2;
    /** Of a barred engine's cores, what trials of all fronts that know it may take. */
    private static final double TRIAL_PART = 0.1;
    /** Of what would push a cold engine over: one part may stand filled while another flows in. */
    private static final double COLD_PART = 0.4;
    /** Of the span that is named, what is left to chance. */
    private static final double PHASE = 0.5;
    private static final double GOLDEN = 0.6180339887498949;
    private static final double TELL_LESS = 0.5;
    private static final double TELL_BACK = 0.8;

    private final Deployment house;
    private final SplittableRandom chance;
    private final long seed;
    private final long bornAt;
    private int rows;
    private Id.Engine[] ids = new Id.Engine[8];
    private boolean[] up = new boolean[8];
    private double[] cores = new double[8];
    private double[] rank = new double[8];
    private int[] place = new int[8];
    private int[] out = new int[8];
    private double[] said = new double[8];
    private long[] saidAt = new long[8];
    private double[] credit = new double[8];
    private long[] creditAt = new long[8];
    private double[] told = new double[8];
    private boolean unsorted;
    private int ups;
    private double smallest = 1;
    private int busy;
    private int circle = LEAST_CIRCLE;
    private double usualTook;
    private double meanSaid;
    private double phase;

    public Spread(long seed, Deployment house, long now) {
        this.chance = new SplittableRandom(seed);
        this.seed = chance.nextLong();
        this.house = house;
        this.bornAt = now;
        this.phase = chance.nextDouble();
    }

    // ---- what happens

    /** A row's engine as the list has it now; another engine than before starts with nothing held of it. */
    public void listed(int at, Id.Engine engine, double itsCores, boolean isUp) {
        if (at >= ids.length) {
            grow(at * 2);
        }
        rows = Math.max(rows, at + 1);
        if (!engine.equals(ids[at])) {
            ids[at] = engine;
            out[at] = 0;
            told[at] = 1;
            // Rendezvous: what comes or goes moves no other. Sizes count by turns; in both they would count
            // twice.
            rank[at] = unit(engine);
            renewed(at, bornAt);
        }
        up[at] = isUp;
        cores[at] = itsCores;
        unsorted = true;
    }

    /** The order of what is listed now: made when it is next asked for, once for a whole list. */
    private void sort() {
        if (!unsorted) {
            return;
        }
        unsorted = false;
        int[] order = IntStream.range(0, rows).filter(k -> up[k]).boxed()
                .sorted(Comparator.comparingDouble(k -> rank[k])).mapToInt(k -> k).toArray();
        Arrays.fill(place, Integer.MAX_VALUE);
        for (int k = 0; k < order.length; k++) {
            place[order[k]] = k;
        }
        ups = order.length;
        smallest = Arrays.stream(order).mapToDouble(k -> cores[k]).filter(c -> c > 0).min().orElse(1);
        narrow();
    }

    /** A new process in the row. */
    public void renewed(int at, long now) {
        said[at] = Double.NaN;
        // Hundreds of fronts whose part of a cold engine is under one query take turns.
        credit[at] = chance.nextDouble();
        creditAt[at] = now;
    }

    /** {@code weight} is the work that is usual of its group, in that of the lightest group. */
    public void sent(int at, double weight) {
        credit[at] -= weight;
        busy += out[at]++ == 0 ? 1 : 0;
        narrow();
    }

    public void ended(int at, long took) {
        busy -= --out[at] == 0 ? 1 : 0;
        usualTook += (usualTook == 0 ? 1 : 0.05) * (took - usualTook);
        narrow();
    }

    /** A load report, by the time at which it came. */
    public void heard(int at, Load load, long now) {
        double full = Math.max(known(load.cores()), Math.max(known(load.memory()), known(load.disks())));
        double held = Double.isNaN(load.cores()) ? known(load.inHand()) : 0;
        said[at] = full + (held + known(load.waiting())) / Math.max(1, cores[at]);
        saidAt[at] = now;
        meanSaid = IntStream.range(0, rows).filter(k -> up[k] && !Double.isNaN(said[k]))
                .mapToDouble(k -> said[k]).average().orElse(0);
    }

    private static double known(double figure) {
        return Double.isNaN(figure) ? 0 : figure;
    }

    // ---- what ties

    /**
     * The order of engines that are equal in own threads for each core, lower first: under 1 inside the
     * circle. Each comes first by chance, as often as its worth is of all: drawn alike, the slow and the
     * small took as many as the rest. Going round by turns was worse, as it seeks out what has not answered
     * for longest.
     */
    public double turn(int at, int ownThreads, double worth, long now) {
        double free = 1 - (ownThreads - steps(at, ownThreads)) / units(at);
        double due = -Math.log(1 - chance.nextDouble()) / Math.max(1e-3, worth * free * trust(at, now));
        sort();
        return (place[at] < circle ? 0 : 1) + due / (1 + due);
    }

    /**
     * Own threads in whole steps of a thread for each of the smallest engines that this one is worth. Where
     * all are of a size that is the threads themselves. Else a front with few queries has one thread on a
     * large engine and none on a small one nearly always, and would send both as many.
     */
    public double steps(int at, int ownThreads) {
        return Math.floor(ownThreads / units(at) + 1e-9) * units(at);
    }

    private double units(int at) {
        sort();
        return Math.max(1, cores[at] / smallest);
    }

    /** Whether the front turns to it first, all else being equal. */
    public boolean home(int at) {
        sort();
        return place[at] < circle;
    }

    public int circle() {
        sort();
        return circle;
    }

    /**
     * The part of its worth that a report leaves to an engine, or adds. What a report counted is over when a
     * usual run is, and what came since nobody here knows: so it counts by its age in usual runs, and an old
     * one not at all. Taken as it stands it would send all fronts to whatever looked idle last.
     */
    private double trust(int at, long now) {
        if (Double.isNaN(said[at]) || usualTook <= 0) {
            return 1;
        }
        double fresh = Math.exp((saidAt[at] - now) / usualTook);
        return Math.max(1 / MOST_TRUST, Math.min(MOST_TRUST, Math.exp(fresh * (meanSaid - said[at]))));
    }

    /**
     * So many engines that, all fronts drawing blindly, hardly one is left out of every circle, also when
     * most fronts have just died. Among few fronts that is all engines, and nothing is narrowed.
     */
    private void narrow() {
        double each = ups * Math.log(Math.max(1, ups / LEFT_OUT)) / (FRONTS_STAYING * house.fronts());
        circle = Math.max(LEAST_CIRCLE, Math.max((int) Math.ceil(each), CIRCLE_A_BUSY_ONE * busy));
    }

    /** Of a number of fronts, how many have the engine in their circle and so come to know how it is. */
    private double knowing() {
        sort();
        return Math.max(1, house.fronts() * Math.min(1, circle / Math.max(1.0, ups)));
    }

    // ---- paces

    /**
     * How long a barred engine rests before this front tries it: {@code least}, or so long that the trials of
     * all fronts that know it take a small part of it, and never the same for all that barred it together.
     */
    public long rest(int at, long least, double work) {
        double each = knowing() * work / (TRIAL_PART * Math.max(1, cores[at]));
        return (long) (Math.max(least, each) * (1 + PHASE * (chance.nextDouble() - 0.5)));
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
    public boolean coldRoom(int at, double weight, double lightest, long now) {
        Deployment.ColdStart rule = house.coldStart();
        if (now - bornAt < rule.window()) {
            return false;
        }
        double rate = COLD_PART * rule.multiple() * rule.from() * cores[at] / house.fronts() / lightest;
        double most = Math.max(rate * rule.window(), 1);
        double round = 1 + rate * turnLasts(rule);
        credit[at] += rate * (now - creditAt[at]);
        creditAt[at] = now;
        if (round >= 2) {
            credit[at] = Math.min(credit[at], most);
        } else if (credit[at] >= round) {
            credit[at] %= round;
        }
        return weight <= Math.min(credit[at], most);
    }

    /**
     * How long a front may keep a whole query while its part is under one. What all keep and what flows in
     * over a window has to fit into what the engine stands by then, which grows over its ramp; where it grows
     * as fast as that, for all of it.
     */
    private static double turnLasts(Deployment.ColdStart rule) {
        double grows = (1 / rule.from() - 1) / rule.ramp();
        double left = COLD_PART / rule.window() - grows;
        return left <= 0 ? rule.ramp() : Math.min(rule.ramp(), (1 - COLD_PART) / left);
    }

    // ---- phases

    /**
     * A time to come back, at most the longest that is heeded: what is deferred together must not come
     * together. Each differs from the last ones by as much as it can, which chance alone would not see to.
     */
    public long comeBack(long longest) {
        phase = (phase + GOLDEN) % 1;
        return longest - (long) (PHASE * longest * phase);
    }

    /** The first of a regular moment's times: 1 to the whole period from now. */
    public long first(long period) {
        return 1 + chance.nextLong(Math.max(1, period));
    }

    // ---- for operators

    /**
     * What changed for an engine since it was last told: one line when it is sent clearly less, or again
     * more.
     */
    public List<String> changes(IntToDoubleFunction worth, long now) {
        List<String> lines = new ArrayList<>();
        for (int k = 0; k < rows; k++) {
            double reports = trust(k, now);
            double own = up[k] ? worth.applyAsDouble(k) / Math.max(1e-3, cores[k]) : 1;
            double part = own * Math.min(1, reports);
            if (up[k] && part < TELL_LESS && told[k] >= TELL_LESS) {
                told[k] = part;
                lines.add("engine " + ids[k].address() + (reports < own
                        ? " says that it is busier than others"
                        : " is slower, colder or fails more than others") + ", is sent less");
            } else if (up[k] && part > TELL_BACK && told[k] < TELL_LESS) {
                told[k] = 1;
                lines.add("engine " + ids[k].address() + " is sent its share again");
            }
        }
        return lines;
    }

    /** From the seed and the name alone, whatever the list's order: over 0, up to 1. */
    private double unit(Id.Engine engine) {
        long mixed = seed;
        for (int k = 0; k < engine.address().length(); k++) {
            mixed = (mixed ^ engine.address().charAt(k)) * 0x100000001b3L;
        }
        return 1 - new SplittableRandom(mixed).nextDouble();
    }

    private void grow(int size) {
        ids = Arrays.copyOf(ids, size);
        up = Arrays.copyOf(up, size);
        cores = Arrays.copyOf(cores, size);
        rank = Arrays.copyOf(rank, size);
        place = Arrays.copyOf(place, size);
        out = Arrays.copyOf(out, size);
        said = Arrays.copyOf(said, size);
        saidAt = Arrays.copyOf(saidAt, size);
        credit = Arrays.copyOf(credit, size);
        creditAt = Arrays.copyOf(creditAt, size);
        told = Arrays.copyOf(told, size);
    }
}
