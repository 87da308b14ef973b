package reedspring.rig;

import java.util.function.Supplier;

/** What stands round a started program: clients, engines and the journal service on loopback sockets. */
public final class Rig {
    public static final long PATIENCE_S = 20;
    /** Rigs at the same time take a lane each, 0 to 3: addresses and ports of their own. */
    public static final int LANE = Math.floorMod(Integer.getInteger("rig.lane", 0), 4);

    /** Waits for what other threads bring about. */
    public static <T> T await(String what, Supplier<T> found) throws InterruptedException {
        for (long end = System.nanoTime() + PATIENCE_S * 1_000_000_000L; System.nanoTime() < end; ) {
            T value = found.get();
            if (value != null && !Boolean.FALSE.equals(value)) {
                return value;
            }
            Thread.sleep(5);
        }
        throw new AssertionError("waited in vain for " + what);
    }

    public static void require(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    private Rig() {
    }
}
