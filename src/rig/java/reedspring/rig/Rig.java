package reedspring.rig;

import java.util.function.Supplier;

/**
 * Common parts of the test rig, which surrounds a started front with clients, engines and a journal service
 * on loopback sockets: its timeout, its lane and its checks.
 */
public final class Rig {
    /** How long a check waits for its condition. */
    public static final long TIMEOUT_S = 20;
    /** Lane of this rig, 0 to 3. Rigs that run in parallel need different lanes to have separate ports. */
    public static final int LANE = Math.floorMod(Integer.getInteger("rig.lane", 0), 4);

    /** Polls until {@code probe} gives a value other than null and false, and returns it. */
    public static <T> T await(String description, Supplier<T> probe) throws InterruptedException {
        for (long deadline = System.nanoTime() + TIMEOUT_S * 1_000_000_000L;
                System.nanoTime() < deadline; ) {
            T value = probe.get();
            if (value != null && !Boolean.FALSE.equals(value)) {
                return value;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("timed out waiting for " + description);
    }

    /** Sleeps; an interruption is an error, as nothing in the rig interrupts threads. */
    public static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Throws an {@link AssertionError} unless the condition holds. */
    public static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    private Rig() {
    }
}
