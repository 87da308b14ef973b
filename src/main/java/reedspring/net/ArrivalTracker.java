package reedspring.net;

/**
 * Which commands on a connection are known to have arrived at the engine. An engine reads its commands in
 * order, so an answer to one proves that all before it have arrived. A probe is a command that is answered at
 * once. Until a command is proven to have arrived, it may wait in the kernel while the link is cut.
 */
final class ArrivalTracker {
    private static final String PROBE_TAG_PREFIX = "probe-";

    private long lastWritten;
    private long lastArrived;
    private long lastProbe;

    /** Numbers a command that is written now. */
    long written() {
        return ++lastWritten;
    }

    /** Numbers a probe that is written now, and returns the tag under which it is answered. */
    String probeWritten() {
        lastProbe = written();
        return PROBE_TAG_PREFIX + lastProbe;
    }

    /** Records an answer to a command. */
    void answered(long number) {
        lastArrived = Math.max(lastArrived, number);
    }

    /** Records the answer to a probe; ignores tags of other commands. */
    void probeAnswered(String tag) {
        if (!tag.startsWith(PROBE_TAG_PREFIX)) {
            return;
        }
        try {
            long number = Long.parseLong(tag.substring(PROBE_TAG_PREFIX.length()));
            if (number <= lastWritten) {
                answered(number);
            }
        } catch (NumberFormatException e) {
            // not a tag of this connection
        }
    }

    /** Whether the command is known to have arrived. */
    boolean hasArrived(long number) {
        return number <= lastArrived;
    }

    /** Whether a probe was written after the command. */
    boolean isProbed(long number) {
        return lastProbe > number;
    }
}
