package reedspring.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Against a list of all that was taken. */
class RecentIdsTest {
    @Property
    void theLastAreKnownAndNoMoreThanTwiceAsMany(@ForAll List<@IntRange(max = 40) Integer> taken,
            @ForAll @IntRange(min = 1, max = 9) int least) {
        RecentIds recent = new RecentIds(least);
        for (int k = 0; k < taken.size(); k++) {
            recent.add(taken.get(k));
            List<Integer> last = taken.subList(Math.max(0, k + 1 - least), k + 1);
            assertTrue(last.stream().allMatch(recent::contains), taken.toString());
            long known = taken.stream().distinct().filter(recent::contains).count();
            assertTrue(known <= 2L * least, known + " known");
            List<Integer> before = taken.subList(0, k + 1);
            assertEquals(0, taken.stream().filter(id -> recent.contains(id) && !before.contains(id)).count());
        }
    }
}
