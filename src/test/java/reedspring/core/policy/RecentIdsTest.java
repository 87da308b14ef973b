package reedspring.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Compares the ids with a list of all accepted ones. */
class RecentIdsTest {
    @Property
    void atLeastTheMinimumAndAtMostTwiceAsManyAreRetained(@ForAll List<@IntRange(max = 40) Integer> accepted,
            @ForAll @IntRange(min = 1, max = 9) int minRetained) {
        RecentIds recent = new RecentIds(minRetained);
        for (int k = 0; k < accepted.size(); k++) {
            recent.add(accepted.get(k));
            List<Integer> last = accepted.subList(Math.max(0, k + 1 - minRetained), k + 1);
            assertTrue(last.stream().allMatch(recent::contains), accepted.toString());
            long known = accepted.stream().distinct().filter(recent::contains).count();
            assertTrue(known <= 2L * minRetained, known + " known");
            List<Integer> before = accepted.subList(0, k + 1);
            assertEquals(0, accepted.stream().filter(id -> recent.contains(id)
                    && !before.contains(id)).count());
        }
    }
}
