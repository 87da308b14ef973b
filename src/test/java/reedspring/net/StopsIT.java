package reedspring.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import reedspring.rig.Stops;

/** The short form of bench/stops: 107 submissions in 200 drains left too late before news went first. */
class StopsIT {
    @Example
    void aFrontThatIsStoppedAndContinuedKeepsItsDrainsAndAnswers() throws Exception {
        Stops.Tally tally = Stops.play(3, 10);
        assertTrue(tally.holds(), tally::toString);
    }
}
