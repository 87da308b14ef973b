package reedspring.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import reedspring.core.policy.AcceptBackoff.Cause;

/** Boundary cases of the smaller policies. Times are in ticks: tenths of a millisecond. */
class PoliciesTest {
    @Example
    void onlyResourceFailuresBackOffExponentially() {
        AcceptBackoff backoff = new AcceptBackoff();
        assertEquals(0, backoff.onFailure(Cause.CONNECTION));
        assertEquals(10, backoff.onFailure(Cause.MEMORY));
        assertEquals(20, backoff.onFailure(Cause.MEMORY));
        assertEquals(0, backoff.onFailure(Cause.CONNECTION));
        for (int k = 0; k < 10; k++) {
            assertTrue(backoff.onFailure(Cause.OTHER) <= 200);
        }
        assertEquals(400, backoff.onFailure(Cause.DESCRIPTORS));
        assertEquals(500, backoff.onFailure(Cause.DESCRIPTORS));
        assertEquals(500, backoff.onFailure(Cause.DESCRIPTORS));
        backoff.onSuccess();
        assertEquals(10, backoff.onFailure(Cause.DESCRIPTORS));
    }

    @Example
    void aNewEngineThatReportsAnOldStartIsCorrected() {
        assertEquals(900_000, EngineStartTime.ofNewEngine(900_000, 960_000), "within the delay of discovery");
        assertEquals(980_000, EngineStartTime.ofNewEngine(900_000, 980_000));
        assertEquals(900_000, EngineStartTime.ofNewEngine(900_000, 0), "no message before");
    }

    @Example
    void aStartInTheFutureByBothClocksIsNow() {
        assertEquals(1_000, EngineStartTime.estimate(1_500, 1_000, 1_200));
    }
}
