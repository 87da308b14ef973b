package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import reedspring.rig.Stops;

/**
 * The short form of bench/stops, which stops and continues a front while engines drain. Before the front read
 * updates of the journal service ahead of requests, 107 submissions in 200 drains were sent too late.
 */
class StopsIT {
    @Example
    void stoppedAndContinuedFrontHonoursDrainsAndAnswers() throws Exception {
        Stops.Tally tally = Stops.play(3, 10);
        assertTrue(tally.holds(), tally::toString);
    }
}
