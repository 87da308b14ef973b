package reedspring.api;

/**
 * What an engine says of its own load. Shares from 0 to 1, counts from 0 on; NaN where it does not say. The
 * figures are late, noisy, and may be wrong.
 */
public record Load(double cores, double memory, double disks, double inHand, double waiting) {
    public static final Load UNKNOWN = new Load(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** The same with one more figure, by the name that the settings give it; unknown names change nothing. */
    public Load with(String name, double value) {
        if (!(value >= 0 && value < 1e9)) {
            return this;
        }
        return switch (name) {
            case "util", "utilization" -> new Load(value, memory, disks, inHand, waiting);
            case "x0" -> new Load(cores, value, disks, inHand, waiting);
            case "x1" -> new Load(cores, memory, value, inHand, waiting);
            case "inflight", "outstanding" -> new Load(cores, memory, disks, value, waiting);
            case "queue", "backlog" -> new Load(cores, memory, disks, inHand, value);
            default -> this;
        };
    }
}
