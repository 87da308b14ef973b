package reedspring.spool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static reedspring.spool.Keeping.SECOND;
import static reedspring.spool.Keeping.TERMS;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import reedspring.rig.MemoryDisk;
import reedspring.spool.Keeping.Held;
import reedspring.spool.Step.Reason;

class SpoolTest {
    private static final String[] TENANTS = {"acme", "bolt", "crow"};

    /** One step of anything that clients, engines, disk and time can do. */
    private static void anything(Keeping house) {
        SplittableRandom chance = house.chance;
        switch (chance.nextInt(12)) {
            case 0, 1 -> house.begin(TENANTS[chance.nextInt(3)], chance.nextInt(4) > 0, 1
                    + chance.nextInt(12));
            case 2, 3, 4 -> house.arrive();
            case 5, 6, 7 -> house.work();
            case 8 -> {
                Held one = any(house);
                if (one != null) {
                    house.ask(one, chance.nextInt(3) == 0 ? chance.nextInt()
                            : chance.nextInt(one.query().pages));
                }
            }
            case 9 -> {
                Held one = any(house);
                if (one != null && chance.nextInt(3) == 0) {
                    house.release(one);
                }
            }
            case 10 -> {
                if (chance.nextInt(3) == 0) {
                    house.leave();
                }
            }
            default -> {
                house.now += chance.nextInt((int) (chance.nextInt(20) == 0 ? 20 * SECOND : SECOND / 4));
                house.tell(new Word.Tick());
                house.held.values().removeIf(one -> house.now >= one.handle().expiresAt());
            }
        }
    }

    private static Held any(Keeping house) {
        List<Held> all = new ArrayList<>(house.held.values());
        return all.isEmpty() ? null : all.get(house.chance.nextInt(all.size()));
    }

    @Property(seed = "1701", tries = 60, generation = GenerationMode.RANDOMIZED)
    void whatIsKeptCanBeReadUntilItsTimeAndRoomIsNeverPassed(@ForAll long seed) {
        Keeping house = new Keeping(seed);
        for (int step = 0; step < 1_500; step++) {
            anything(house);
            assertTrue(house.disk.used() <= TERMS.total(), "on the disk: " + house.disk.used());
        }
        house.settle();
        house.checkHeld();
        assertTrue(house.damaged.stream().noneMatch(house.held::containsKey), house.remarks::toString);
        assertTrue(house.kept > 20 && house.read > 20, house.kept + " kept, " + house.read + " read");
        // Nothing grows with what has gone.
        house.now += 2 * TERMS.keepFor();
        for (var q : List.copyOf(house.begun.values())) {
            house.tell(new Word.QueryOver(q.answer));
        }
        house.tell(new Word.Tick());
        house.settle();
        house.tell(new Word.Tick());
        house.settle();
        assertTrue(house.spool.held() <= 1, "rows left: " + house.spool.held());
        assertEquals(0, house.spool.inMemory());
        assertTrue(house.disk.used() < 1_000, "left on the disk: " + house.disk.used());
    }

    /** A crash at any write, sync, rename and delete, and once more while what is left is being read. */
    @Property(seed = "1702", tries = 300, generation = GenerationMode.RANDOMIZED)
    void whatWasAcknowledgedIsThereAfterACrashAtAnyMoment(@ForAll long seed) {
        Keeping house = new Keeping(seed);
        for (int life = 0; life < 3; life++) {
            house.disk.crashAfter(house.chance.nextInt(500));
            try {
                for (int step = 0; step < 2_000; step++) {
                    anything(house);
                }
                house.settle();
            } catch (MemoryDisk.Crash e) {
                // as planned
            }
            house.disk.restart();
            for (boolean up = false; !up; ) {
                house.disk.crashAfter(house.chance.nextInt(3) == 0 ? house.chance.nextInt(8)
                        : Long.MAX_VALUE / 2);
                try {
                    house.start();
                    up = true;
                } catch (MemoryDisk.Crash e) {
                    house.disk.restart();
                }
            }
            house.disk.crashAfter(Long.MAX_VALUE / 2);
            house.settle();
            house.checkHeld();
            assertTrue(house.damaged.isEmpty(), house.remarks::toString);
        }
    }

    /** No space, failed writes, short writes and failed syncs, then a crash. */
    @Property(seed = "1703", tries = 100, generation = GenerationMode.RANDOMIZED)
    void aDiskThatFailsCostsWhatWasBegunAndNothingThatWasAcknowledged(@ForAll long seed) {
        Keeping house = new Keeping(seed);
        for (int step = 0; step < 2_000; step++) {
            if (step % 100 == 0) {
                house.disk.faults(house.chance.nextInt(3) == 0 ? 0.05 : 0);
                house.disk.room(house.chance.nextInt(6) == 0 ? house.disk.used() + 5_000 : Long.MAX_VALUE);
            }
            anything(house);
        }
        house.disk.faults(0);
        house.disk.room(Long.MAX_VALUE);
        house.settle();
        house.checkHeld();
        assertTrue(house.damaged.isEmpty(), house.remarks::toString);
        house.disk.restart();
        house.start();
        house.settle();
        house.checkHeld();
        assertTrue(house.damaged.isEmpty(), house.remarks::toString);
    }

    /** Every page is what was kept or none at all, and the other answers stay. */
    @Property(seed = "1704", tries = 60, generation = GenerationMode.RANDOMIZED)
    void aFlippedBitIsNeverServed(@ForAll long seed) {
        Keeping house = new Keeping(seed);
        for (int k = 0; k < 20; k++) {
            keep(house, TENANTS[k % 3], 1 + k % 4);
        }
        assertEquals(20, house.held.size());
        boolean sealed = house.chance.nextBoolean();
        if (sealed) {
            house.disk.restart();
            house.start();
        }
        int flips = 1 + house.chance.nextInt(3);
        for (int k = 0; k < flips; k++) {
            house.disk.flip(sealed && house.chance.nextInt(4) == 0 ? ".idx" : ".seg");
        }
        house.disk.restart();
        house.start();
        house.settle();
        int gone = 0;
        for (Held one : List.copyOf(house.held.values())) {
            for (int page = 0; page < one.query().pages; page++) {
                house.said.clear();
                house.ask(one, page);
                house.settle();
                if (!house.said.isEmpty()) {
                    gone++;
                    assertTrue(List.of(Reason.DAMAGED, Reason.GONE).contains(house.said.get(0).reason()));
                    break;
                }
            }
        }
        assertTrue(gone <= flips, gone + " gone by " + flips + " flips: " + house.remarks);
    }

    private static Held keep(Keeping house, String tenant, int pages) {
        int before = house.held.size();
        house.begin(tenant, true, pages);
        for (int k = 0; k < pages; k++) {
            house.arrive();
            house.settle();
        }
        assertTrue(house.held.size() > before, house.remarks::toString);
        return new ArrayList<>(house.held.values()).get(house.held.size() - 1);
    }

    @Example
    void oneTenantsUnreadAnswersTakeNoOthersRoom() {
        Keeping house = new Keeping(1);
        for (int k = 0; k < 100; k++) {
            house.begin("acme", true, 10);
            while (house.held.size() < k + 1 && house.refused == 0) {
                house.arrive();
                house.settle();
            }
        }
        assertTrue(house.refused > 50 && house.held.size() > 10, house.held.size() + " kept");
        int kept = house.held.size();
        keep(house, "bolt", 10);
        assertEquals(kept + 1, house.held.size());
        house.checkHeld();
    }

    /**
     * Full of what nobody has read: a query that may run again is deferred, one that may not is still kept.
     */
    @Example
    void whereAllIsFullSomeRoomIsLeftForWhatMustNotRunTwice() {
        Keeping house = new Keeping(2);
        for (int k = 0; k < 60; k++) {
            house.begin(TENANTS[k % 3], true, 10);
            for (int page = 0; page < 10; page++) {
                house.arrive();
                house.settle();
            }
        }
        int refused = house.refused;
        assertTrue(refused > 0);
        house.begin("crow", false, 10);
        assertEquals(refused, house.refused);
        house.begin("crow", true, 10);
        assertEquals(refused + 1, house.refused);
    }

    @Example
    void whatWasReadToItsEndMakesRoomAndWhatWasNotStays() {
        Keeping house = new Keeping(3);
        List<Held> kept = new ArrayList<>();
        while (house.refused == 0) {
            house.begin("acme", true, 10);
            for (int page = 0; page < 10; page++) {
                house.arrive();
                house.settle();
            }
        }
        kept.addAll(house.held.values());
        for (int page = 0; page < 10; page++) {
            house.ask(kept.get(0), page);
            house.settle();
        }
        int before = house.held.size();
        // The room is there once its segment holds nothing else: the rest of it is moved.
        for (int k = 0; k < 5 && house.held.size() == before; k++) {
            house.begin("acme", true, 8);
            for (int page = 0; page < 8; page++) {
                house.arrive();
                house.settle();
            }
            house.tell(new Word.Tick());
            house.settle();
        }
        assertEquals(before + 1, house.held.size());
        house.ask(kept.get(0), 0);
        house.settle();
        assertEquals(Reason.GONE, house.said.get(house.said.size() - 1).reason());
        house.checkHeld();
    }

    @Example
    void readersAreToldWhyThereIsNoPage() {
        Keeping house = new Keeping(4);
        Held one = keep(house, "acme", 3);
        house.ask(one, 1_000_000_000);
        assertEquals(Reason.NO_SUCH_PAGE, house.said.get(0).reason());
        house.ask(one, -1);
        assertEquals(Reason.NO_SUCH_PAGE, house.said.get(1).reason());
        for (int k = 0; k < 3; k++) {
            house.ask(one, 0);
        }
        assertEquals(Reason.BUSY, house.said.get(2).reason());
        assertTrue(house.said.get(2).comeBack() > 0);
        house.settle();
        // The same page twice, and in any order.
        for (int page : new int[] {2, 2, 0, 1, 0}) {
            house.ask(one, page);
            house.settle();
        }
        assertEquals(3, house.said.size());
        house.release(one);
        house.ask(one, 0);
        assertEquals(Reason.GONE, house.said.get(3).reason());
        house.now = one.handle().expiresAt();
        house.ask(one, 0);
        assertEquals(Reason.EXPIRED, house.said.get(4).reason());
    }

    @Example
    void answersTooLongAndThoseBegunWhileTheDiskFailsAreRefusedAtOnce() {
        Keeping house = new Keeping(5);
        house.begin("acme", true, 1_000_000_000);
        house.begin("acme", true, 0);
        assertEquals(2, house.refused);
        house.disk.faults(1);
        house.begin("acme", true, 2);
        house.arrive();
        house.settle();
        assertEquals(1, house.lost);
        house.disk.faults(0);
        house.begin("acme", true, 2);
        assertEquals(3, house.refused);
        house.now += TERMS.firstRest();
        keep(house, "acme", 2);
    }

    @Example
    void tenThousandAnswersAreHeldAtOnce() {
        Terms wide = new Terms(1L << 32, 1, 0, 600 * SECOND, 1 << 20, 6_000, 1 << 26, 1 << 20, 64, 64, SECOND,
                60 * SECOND);
        Spool spool = new Spool(wide, new SplittableRandom(1)::nextLong);
        List<Step> steps = new ArrayList<>();
        spool.on(1, new Word.Found(List.of(), List.of(), 0), steps::add);
        for (int k = 0; k < 10_000; k++) {
            steps.clear();
            spool.on(1, new Word.Began(new reedspring.api.Id.Query(k), "t" + k % 50, true, 1), steps::add);
            AnswerId id = steps.stream().filter(Step.Take.class::isInstance).map(s ->
                    ((Step.Take) s).answer())
                    .findFirst().orElseThrow();
            spool.on(1, new Word.PageCame(id, 0, 100), steps::add);
            spool.on(1, new Word.Written(id, 0), steps::add);
            spool.on(1, new Word.Committed(id), steps::add);
        }
        assertEquals(10_000, spool.kept());
        spool.on(700 * SECOND, new Word.Tick(), steps::add);
        assertEquals(0, spool.kept());
    }

    // ---- handles

    @Example
    void handlesAreGoodForTheirFrontTenantAndKeysAlone() {
        byte[] old = "an old key of some length".getBytes();
        byte[] fresh = "the key that is used now".getBytes();
        Handles before = new Handles("n0", List.of(old));
        Handles now = new Handles("n0", List.of(fresh, old));
        Handle handle = new Handle(new AnswerId(7, -9), "acme", true, 123_456);
        String text = before.write(handle);
        assertEquals(handle, now.read(text, "acme"));
        assertEquals(handle, now.read(now.write(handle), "acme"));
        assertNull(before.read(now.write(handle), "acme"), "a key that it does not have");
        assertNull(now.read(text, "bolt"), "another tenant");
        assertNull(new Handles("n1", List.of(old)).read(text, "acme"), "another front");
        assertNull(new Handles("n0a", List.of(old)).read(new Handles("n0", List.of(old))
                .write(new Handle(handle.answer(), "acme", true, 5)), "cme"), "joined otherwise");
        assertNull(new Handles("n0", List.of(fresh)).read(text, "acme"), "after the old key has gone");
    }

    @Property(seed = "1705", tries = 300, generation = GenerationMode.RANDOMIZED)
    void noOtherTextIsAHandle(@ForAll long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        Handles handles = new Handles("n0", List.of("0123456789abcdef".getBytes()));
        Handle handle = new Handle(new AnswerId(chance.nextLong(), chance.nextLong()), "acme",
                chance.nextBoolean(), chance.nextLong());
        String text = handles.write(handle);
        assertNotNull(handles.read(text, "acme"));
        // The last character has bits that carry nothing.
        int at = chance.nextInt(text.length() - 1);
        char other = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_!\u00e4 ".charAt(
                chance.nextInt(67));
        String changed = text.substring(0, at) + other + text.substring(at + 1);
        assertTrue(changed.equals(text) || handles.read(changed, "acme") == null, changed);
        assertNull(handles.read(text.substring(0, at), "acme"));
        assertNull(handles.read(text + "AAAA", "acme"));
    }
}
