package reedspring.api;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The configuration that the scheduler of a front gets when it starts. Times and spans are in ticks: whole
 * tenths of a millisecond. Upper limits are rounded down and minimum waiting times are rounded up.
 *
 * @param fronts the number of fronts that share the engines
 * @param resubmissionBudget the budget for resubmissions, null if they are not limited
 * @param orderKeyDelay the delay of an order key after a query that may still be running
 * @param overRateValue the factor on the value of queries of a tenant that exceeds its rate
 * @param progressInterval the interval at which engines report the progress of a running query
 * @param swapsMemory whether an engine that exceeds its memory swaps
 */
public record Deployment(int fronts, List<ResourceGroup> groups, List<Tenant> tenants,
                         Map<Id.Kind, Machine> machines,
                         Capabilities capabilities, Discovery discovery, ColdStart coldStart,
                         ResubmissionBudget resubmissionBudget, long orderKeyDelay, double overRateValue,
                         long progressInterval, boolean swapsMemory) {

    /** What a query of the group changes, and so whether it may run twice. */
    public enum Effect { READ_ONLY, TOKENED, MUTATING }

    /** The engines that recognise a repeat of a tokened query. */
    public enum Recognised { ALL, ZONE, CELL }

    /**
     * A class of queries with common targets and rules.
     *
     * @param targetBase the constant part of the target runtime
     * @param targetPerWork the part of the target runtime that is proportional to the work per thread
     * @param lateValue the fraction of the value that remains for an answer past its target
     * @param recognisedFor how long engines recognise a repeat
     * @param ordered whether queries with the same order key run one at a time
     * @param zones the zones in which its queries may run, null for all
     * @param kinds the kinds of engine on which its queries may run, null for all
     */
    public record ResourceGroup(long targetBase, double targetPerWork, double value, double lateValue,
                                int threads, Effect effect,
                                Recognised recognised, long recognisedFor, boolean ordered,
                                Set<Id.Zone> zones, Set<Id.Kind> kinds) {
    }

    /** {@code queriesPerSecond} is the agreed rate over all fronts; 0 for no limit. */
    public record Tenant(double share, double queriesPerSecond) {
    }

    /** The size of a kind of engine; 0 if unknown. */
    public record Machine(double cores, double memoryMb) {
    }

    /**
     * The operations that the environment supports.
     *
     * @param retryTimes whether clients honour a retry time
     * @param maxSubmissions the maximum number of submissions of one query
     * @param maxRetryAfter the longest retry time that clients honour
     */
    public record Capabilities(boolean cancel, boolean retryTimes, boolean priorities,
                               int maxSubmissions, long maxRetryAfter) {
    }

    /**
     * How the engine list is obtained.
     *
     * @param mustSubscribe whether the front gets the list only if it subscribes
     * @param subscribeWithin the time within which it has to subscribe after its start or after an error
     */
    public record Discovery(boolean mustSubscribe, long subscribeWithin) {
    }

    /**
     * How an engine warms up after its start.
     *
     * @param initialSpeed the initial fraction of its speed
     * @param ramp the time until it reaches its full speed
     * @param overloadMultiple the work that overloads it, as a multiple of what it can run during the window
     * @param window the period over which that work is measured
     */
    public record ColdStart(double initialSpeed, long ramp, double overloadMultiple, long window) {
    }

    /**
     * The budget for resubmissions by one front during a window: a constant number and a fraction of the
     * queries accepted.
     */
    public record ResubmissionBudget(int freeResubmissions, double perQuery, long window) {
    }
}
