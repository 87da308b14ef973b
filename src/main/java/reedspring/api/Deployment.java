package reedspring.api;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a front is told once, at its start. Times and spans are whole tenths of a millisecond. A span that
 * something has to fit into is rounded down, a span that has to pass first is rounded up.
 */
public record Deployment(int fronts, List<ResourceGroup> groups, List<Tenant> tenants,
                         Map<Id.Kind, Machine> machines,
                         Allowed allowed, Discovery discovery, ColdStart coldStart, Ration ration,
                         long keyRest, double overShareValue, long noteEvery, boolean pages) {

    /** What a second run of a query of the group would mean. */
    public enum Effect { READ_ONLY, TOKENED, MUTATING }

    /** The engines that recognise a repeat of a tokened query. */
    public enum Recognised { ALL, ZONE, CELL }

    /**
     * {@code lateValue} is the part of the value that an answer past its target has; {@code zones} and
     * {@code kinds} are null where the group may go anywhere.
     */
    public record ResourceGroup(long targetBase, double targetPerWork, double value, double lateValue,
                                int threads, Effect effect,
                                Recognised recognised, long recognisedFor, boolean ordered,
                                Set<Id.Zone> zones, Set<Id.Kind> kinds) {
    }

    public record Tenant(double share, double queriesPerSecond) {
    }

    /** A size that is not told is 0. */
    public record Machine(double cores, double memoryMb) {
    }

    public record Allowed(boolean cancel, boolean comeBack, boolean priorities,
                          int submissions, long longestComeBack) {
    }

    /** {@code mustAsk}: the engine list comes only to a front that asks, once in {@code askWithin}. */
    public record Discovery(boolean mustAsk, long askWithin) {
    }

    public record ColdStart(double from, long ramp, double multiple, long window) {
    }

    /** Null where further submissions are not rationed. */
    public record Ration(int free, double perQuery, long window) {
    }
}
