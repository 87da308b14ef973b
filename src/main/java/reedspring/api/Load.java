package reedspring.api;

/**
 * An engine's load as it reports it: delayed, noisy and possibly wrong. NaN for values that it does not
 * report.
 *
 * @param cores the utilisation of its cores, from 0 to 1
 * @param memory the utilisation of its memory, from 0 to 1
 * @param disks the utilisation of its disks, from 0 to 1
 * @param running the number of running queries
 * @param queued the number of queued queries
 */
public record Load(double cores, double memory, double disks, double running, double queued) {
    public static final Load UNKNOWN = new Load(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /**
     * A copy with one value set, by its name in the settings; unknown names and invalid values are ignored.
     */
    public Load with(String name, double value) {
        if (!(value >= 0 && value < 1e9)) {
            return this;
        }
        return switch (name) {
            case "util", "utilization" -> new Load(value, memory, disks, running, queued);
            case "x0" -> new Load(cores, value, disks, running, queued);
            case "x1" -> new Load(cores, memory, value, running, queued);
            case "inflight", "outstanding" -> new Load(cores, memory, disks, value, queued);
            case "queue", "backlog" -> new Load(cores, memory, disks, running, value);
            default -> this;
        };
    }
}
