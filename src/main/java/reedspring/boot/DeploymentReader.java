package reedspring.boot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import reedspring.api.Deployment;
import reedspring.api.Deployment.Effect;
import reedspring.api.Deployment.Recognised;
import reedspring.api.Id;

/**
 * Reads a front's start-up settings into a {@link Deployment}. The input is path=value pairs: the simulator
 * sends them, and a configuration file is flattened to them, so that both use the same code.
 */
public final class DeploymentReader {
    private final Map<String, String> pairs;
    private final List<String> groupNames = new ArrayList<>();
    private final List<String> tenantNames = new ArrayList<>();
    private final Deployment deployment;

    public DeploymentReader(Map<String, String> pairs) throws InvalidConfigurationException {
        this.pairs = pairs;
        this.deployment = read();
    }

    public Deployment deployment() {
        return deployment;
    }

    /** The resource group of the given name, or null. */
    public Id.Group group(String name) {
        int index = groupNames.indexOf(name);
        return index < 0 ? null : new Id.Group(index);
    }

    /** The tenant of the given name, or {@link Id.Tenant#UNKNOWN}. */
    public Id.Tenant tenant(String name) {
        int index = name == null ? -1 : tenantNames.indexOf(name);
        return index < 0 ? Id.Tenant.UNKNOWN : new Id.Tenant(index);
    }

    private Deployment read() throws InvalidConfigurationException {
        return new Deployment(Math.max(1, (int) number("fleetSize", 1)), readGroups(), readTenants(),
                readMachines(),
                new Deployment.Capabilities(flag("allowed.cancel"), flag("allowed.retryAfter"),
                        flag("familyInfo.lanesCount"),
                        (int) number("allowed.sendCap", 1),
                        Times.ticksAtMost(number("allowed.maxRetryAfterMs", 0))),
                new Deployment.Discovery("subscribe".equals(pairs.get("membershipMode")),
                        Times.ticksAtMost(number("rules.askWithinMs", 10_000))),
                new Deployment.ColdStart(number("rules.coldFrom", 1),
                        Times.ticksAtLeast(number("rules.rampTimeMs", 0)),
                        number("rules.fallMultiple", 1),
                        Times.ticksAtLeast(number("rules.overloadForMs", 0))),
                pairs.containsKey("rules.repeatRatio") || pairs.containsKey("rules.freeResends")
                        ? new Deployment.ResubmissionBudget((int) number("rules.freeResends", 0),
                                number("rules.repeatRatio", 0),
                                Times.nearestTicks(number("rules.resendSpanMs", 0)))
                        : null,
                Times.ticksAtLeast(number("rules.keyQuietMs", 0)), number("overShareWorth", 1),
                Times.nearestTicks(number("familyInfo.tellsEveryMs", 0)),
                "page".equals(pairs.get("familyInfo.overbooked")));
    }

    private List<Deployment.ResourceGroup> readGroups() throws InvalidConfigurationException {
        List<Deployment.ResourceGroup> groups = new ArrayList<>();
        String[] parallelism = list("familyInfo.parallelism");
        int count = (int) number("classes.count", 0);
        for (int k = 0; k < count; k++) {
            String prefix = "classes." + k + ".";
            String name = pairs.getOrDefault(prefix + "name", "");
            groupNames.add(name);
            groups.add(new Deployment.ResourceGroup(Times.nearestTicks(number(prefix + "aimMs", 0)),
                    number(prefix + "aimStretch", 0), number(prefix + "points", 1),
                    number(prefix + "lateWorth", 0),
                    k >= parallelism.length ? 1
                            : (int) Math.max(1, parse("familyInfo.parallelism", parallelism[k])),
                    switch (pairs.getOrDefault(prefix + "effect", "once")) {
                        case "repeatable" -> Effect.READ_ONLY;
                        case "by_key" -> Effect.TOKENED;
                        default -> Effect.MUTATING;
                    },
                    switch (pairs.getOrDefault(prefix + "group", "cell")) {
                        case "all" -> Recognised.ALL;
                        case "zone" -> Recognised.ZONE;
                        default -> Recognised.CELL;
                    },
                    Times.ticksAtMost(number(prefix + "windowMs", 0)), flag(prefix + "sequential"),
                    set(prefix + "allowedIn", Id.Zone::new), set(prefix + "boundTo", Id.Kind::new)));
        }
        return groups;
    }

    private List<Deployment.Tenant> readTenants() throws InvalidConfigurationException {
        List<Deployment.Tenant> tenants = new ArrayList<>();
        int count = (int) number("customers.count", 0);
        for (int k = 0; k < count; k++) {
            String prefix = "customers." + k + ".";
            String name = pairs.getOrDefault(prefix + "name", "");
            tenantNames.add(name);
            tenants.add(new Deployment.Tenant(number(prefix + "share", 0), number(prefix + "quotaPerS", 0)));
        }
        return tenants;
    }

    private Map<Id.Kind, Deployment.Machine> readMachines() throws InvalidConfigurationException {
        Map<Id.Kind, Deployment.Machine> machines = new HashMap<>();
        String[] kinds = list("kinds");
        String[] cores = list("familyInfo.sizeCores");
        String[] memory = list("familyInfo.memoryByKindMb");
        for (int k = 0; k < kinds.length; k++) {
            machines.put(new Id.Kind(kinds[k]), new Deployment.Machine(
                    k < cores.length ? parse("familyInfo.sizeCores", cores[k]) : 0,
                    k < memory.length ? parse("familyInfo.memoryByKindMb", memory[k]) : 0));
        }
        return machines;
    }

    /** The longest queue timeout of all groups in milliseconds, 0 if none is set. */
    public double longestTimeout() throws InvalidConfigurationException {
        double longest = 0;
        for (int k = 0; k < groupNames.size(); k++) {
            longest = Math.max(longest, number("classes." + k + ".deadlineMs", 0));
        }
        return longest;
    }

    /** The names of the values in a load report, in order; empty if there are none. */
    public List<String> reportColumns() {
        return List.of(list("report.columns"));
    }

    /** A numeric setting that is not part of the {@link Deployment}. */
    public double number(String key, double defaultValue) throws InvalidConfigurationException {
        String value = pairs.get(key);
        return value == null ? defaultValue : parse(key, value);
    }

    private static double parse(String key, String value) throws InvalidConfigurationException {
        try {
            double parsed = Double.parseDouble(value);
            if (!Double.isInfinite(parsed) && !Double.isNaN(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, like infinity and NaN
        }
        throw new InvalidConfigurationException(key, "'" + value + "' is not a number");
    }

    private boolean flag(String key) {
        String value = pairs.get(key);
        return "true".equals(value) || "1".equals(value);
    }

    private String[] list(String key) {
        String value = pairs.get(key);
        return value == null || value.isEmpty() ? new String[0] : value.split(",");
    }

    private <T> Set<T> set(String key, Function<String, T> id) {
        if (!pairs.containsKey(key)) {
            return null;
        }
        Set<T> set = new HashSet<>();
        for (String name : list(key)) {
            set.add(id.apply(name));
        }
        return set;
    }
}
