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
 * Reads what a front is told at its start into a {@link Deployment}. It takes path=value pairs, as the
 * simulator sends them and a configuration file is flattened to, so that both fronts read one form.
 */
public final class Boot {
    private final Map<String, String> pairs;
    private final List<String> groupNames = new ArrayList<>();
    private final List<String> tenantNames = new ArrayList<>();
    private final Deployment deployment;

    public Boot(Map<String, String> pairs) throws BootException {
        this.pairs = pairs;
        this.deployment = read();
    }

    public Deployment deployment() {
        return deployment;
    }

    public Id.Group group(String name) {
        int index = groupNames.indexOf(name);
        return index < 0 ? null : new Id.Group(index);
    }

    public Id.Tenant tenant(String name) {
        int index = name == null ? -1 : tenantNames.indexOf(name);
        return index < 0 ? Id.Tenant.NOBODY : new Id.Tenant(index);
    }

    private Deployment read() throws BootException {
        return new Deployment(Math.max(1, (int) number("fleetSize", 1)), groups(), tenants(), machines(),
                new Deployment.Allowed(flag("allowed.cancel"), flag("allowed.retryAfter"),
                        flag("familyInfo.lanesCount"),
                        (int) number("allowed.sendCap", 1),
                        Times.within(number("allowed.maxRetryAfterMs", 0))),
                new Deployment.Discovery("subscribe".equals(pairs.get("membershipMode")),
                        Times.within(number("rules.askWithinMs", 10_000))),
                new Deployment.ColdStart(number("rules.coldFrom", 1),
                        Times.atLeast(number("rules.rampTimeMs", 0)),
                        number("rules.fallMultiple", 1), Times.atLeast(number("rules.overloadForMs", 0))),
                pairs.containsKey("rules.repeatRatio") || pairs.containsKey("rules.freeResends")
                        ? new Deployment.Ration((int) number("rules.freeResends", 0),
                                number("rules.repeatRatio", 0),
                                Times.nearest(number("rules.resendSpanMs", 0)))
                        : null,
                Times.atLeast(number("rules.keyQuietMs", 0)), number("overShareWorth", 1),
                Times.nearest(number("familyInfo.tellsEveryMs", 0)),
                "page".equals(pairs.get("familyInfo.overbooked")));
    }

    private List<Deployment.ResourceGroup> groups() throws BootException {
        List<Deployment.ResourceGroup> groups = new ArrayList<>();
        String[] threads = list("familyInfo.parallelism");
        int count = (int) number("classes.count", 0);
        for (int k = 0; k < count; k++) {
            String at = "classes." + k + ".";
            String name = pairs.getOrDefault(at + "name", "");
            groupNames.add(name);
            groups.add(new Deployment.ResourceGroup(Times.nearest(number(at + "aimMs", 0)),
                    number(at + "aimStretch", 0), number(at + "points", 1), number(at + "lateWorth", 0),
                    k >= threads.length ? 1
                            : (int) Math.max(1, parse("familyInfo.parallelism", threads[k])),
                    switch (pairs.getOrDefault(at + "effect", "once")) {
                        case "repeatable" -> Effect.READ_ONLY;
                        case "by_key" -> Effect.TOKENED;
                        default -> Effect.MUTATING;
                    },
                    switch (pairs.getOrDefault(at + "group", "cell")) {
                        case "all" -> Recognised.ALL;
                        case "zone" -> Recognised.ZONE;
                        default -> Recognised.CELL;
                    },
                    Times.within(number(at + "windowMs", 0)), flag(at + "sequential"),
                    set(at + "allowedIn", Id.Zone::new), set(at + "boundTo", Id.Kind::new)));
        }
        return groups;
    }

    private List<Deployment.Tenant> tenants() throws BootException {
        List<Deployment.Tenant> tenants = new ArrayList<>();
        int count = (int) number("customers.count", 0);
        for (int k = 0; k < count; k++) {
            String at = "customers." + k + ".";
            String name = pairs.getOrDefault(at + "name", "");
            tenantNames.add(name);
            tenants.add(new Deployment.Tenant(number(at + "share", 0), number(at + "quotaPerS", 0)));
        }
        return tenants;
    }

    private Map<Id.Kind, Deployment.Machine> machines() throws BootException {
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

    /** The longest queue timeout of all groups in milliseconds, 0 where none is told. */
    public double longestTimeout() throws BootException {
        double longest = 0;
        for (int k = 0; k < groupNames.size(); k++) {
            longest = Math.max(longest, number("classes." + k + ".deadlineMs", 0));
        }
        return longest;
    }

    /** What the values of a load report are, in their order; empty where there are none. */
    public List<String> reportColumns() {
        return List.of(list("report.columns"));
    }

    /** A figure of the deployment that only a protocol needs. */
    public double number(String key, double otherwise) throws BootException {
        String value = pairs.get(key);
        return value == null ? otherwise : parse(key, value);
    }

    private static double parse(String key, String value) throws BootException {
        try {
            double parsed = Double.parseDouble(value);
            if (!Double.isInfinite(parsed) && !Double.isNaN(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // reported below, like the figures that a double can hold and a time can't
        }
        throw new BootException(key, "'" + value + "' is no number");
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
