package reedspring.net;

import java.util.concurrent.Callable;

/**
 * What a start needs of the system, tried again for a while: descriptors, memory and threads may be lacking
 * for a moment, a file or an address may be taken by what ends just now.
 */
final class StartAttempts {
    private final int tries;
    private final long restMs;

    /** @param tries at the most, with a rest between two of them */
    StartAttempts(int tries, long restMs) {
        this.tries = tries;
        this.restMs = restMs;
    }

    /** Whether a failure may pass by itself. */
    interface Passing {
        boolean test(Throwable failure);
    }

    /** The result of {@code what}, or its last failure. */
    <T> T of(Callable<T> what, Passing passing) throws Exception {
        for (int attempt = 1;; attempt++) {
            try {
                return what.call();
            } catch (Exception | OutOfMemoryError e) {
                if (attempt >= tries || !passing.test(e)) {
                    throw e;
                }
            }
            Thread.sleep(restMs);
        }
    }
}
