package reedspring.net;

import java.util.concurrent.Callable;

/**
 * Retries an operation of the start at a fixed delay: descriptors, memory and threads may be short for a
 * moment, and a file or an address may still be in use by a process that is about to exit.
 */
final class StartAttempts {
    private final int maxAttempts;
    private final long delayMs;

    /**
     * @param maxAttempts maximum number of attempts
     * @param delayMs delay between two attempts
     */
    StartAttempts(int maxAttempts, long delayMs) {
        this.maxAttempts = maxAttempts;
        this.delayMs = delayMs;
    }

    /** Decides whether a failure may be transient, so that a retry makes sense. */
    interface TransientCheck {
        boolean test(Throwable failure);
    }

    /** Returns the operation's result, or throws the failure of the last attempt. */
    <T> T call(Callable<T> operation, TransientCheck transientCheck) throws Exception {
        for (int attempt = 1;; attempt++) {
            try {
                return operation.call();
            } catch (Exception | OutOfMemoryError e) {
                if (attempt >= maxAttempts || !transientCheck.test(e)) {
                    throw e;
                }
            }
            Thread.sleep(delayMs);
        }
    }
}
