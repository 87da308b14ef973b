package reedspring.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import reedspring.boot.Times;

class AdapterTest {
    private static final String ATTACH = "ATTACH i=3 seed=9 allowed.cancel=true allowed.sendCap=3"
            + " classes.count=1 classes.0.name=lookup classes.0.aimMs=1000.0 classes.0.aimStretch=2.0"
            + " classes.0.deadlineMs=5000.0 classes.0.effect=repeatable classes.0.points=1.0 kinds=c12"
            + " familyInfo.parallelism=1"
            + " familyInfo.sizeCores=12 familyInfo.memoryByKindMb=24576.0 fleetSize=1 novelty.count=4\n"
            + "DIRECTORY setId=0 rowsIn=1\n"
            + "ENTRY units=1 cluster=0 health=up flavor=c12 engine=10.0.0.1:7 colour=red dc=a\n"
            + "ROSTER_CHANGE i=3 revision=1 mode=restored setId=0\n";
    private static final String QUERY = "WORK_ITEM i=3 call=77 profile=lookup dataset=4 planCostMs=120.0"
            + " needMb=64 expiresMs=5100.0\n";

    private static String frame(double timeMs, String lines) {
        return "FRAME timeMs=" + timeMs + "\n" + lines + "OVER_TO_YOU\n";
    }

    private static String serve(String input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).serve();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String errorOf(String input) {
        return assertThrows(WireException.class, () -> serve(input)).getMessage();
    }

    @Example
    void querySentAndEndedByItsOutcome() throws Exception {
        String closed = "CLOSED_ATTEMPT i=3 call=77 copy=0 how=delivered settled=1 elapsedMs=120.0"
                + " engine=10.0.0.1:7\n";
        String out = serve(frame(0, "") + frame(100, ATTACH + QUERY) + frame(220, closed)
                + frame(9000, "EXIT i=3\n"));
        assertTrue(out.matches("(?s)ACK\nWAKE_ME i=3 handle=1 spanMs=[0-9]{1,2}[.][0-9]\n.*"), out);
        assertEquals(1, out.split("SEND i=3 call=77 engine=10.0.0.1:7", -1).length - 1, out);
        assertTrue(out.endsWith("ACK\nACK\nACK\n"), out);
    }

    /** Of two equal engines, the one that reports a high load gets fewer queries. */
    @Example
    void loadReportColumnsFollowTheSettings() throws Exception {
        String attach = ATTACH.replace("novelty", "report.columns=colour,utilization,backlog novelty")
                .replace("rowsIn=1\n", "rowsIn=2\nENTRY health=up engine=10.0.0.2:7\n");
        StringBuilder frames = new StringBuilder(frame(100, attach));
        for (int k = 0; k < 400; k++) {
            frames.append(frame(100 + k, QUERY.replace("=77", "=" + k) + "GONE i=3 call=" + k + "\n"
                    + "CLOSED_ATTEMPT i=3 call=" + k + " copy=0 how=delivered settled=1 elapsedMs=500.0"
                    + " engine=10.0.0.1:7 gauge=9e9,1.0,40\nCLOSED_ATTEMPT i=3 call=" + k
                    + " copy=0 how=delivered settled=1 elapsedMs=500.0 engine=10.0.0.2:7 gauge=0,0.1,0\n"));
        }
        String out = serve(frames.toString());
        int full = out.split("engine=10.0.0.1:7", -1).length - 1;
        int idle = out.split("engine=10.0.0.2:7", -1).length - 1;
        assertTrue(full > 20 && idle > 2 * full, full + " to the full one, " + idle + " to the idle one");
        assertTrue(errorOf(frame(1, attach
                + "CLOSED_ATTEMPT i=3 call=1 copy=0 how=delivered engine=10.0.0.1:7"
                + " gauge=1,much,2\n")).endsWith("CLOSED_ATTEMPT gauge: 'much' is not a number"));
    }

    @Example
    void unknownInputIsSkippedAndReusedListNumbersAreReplaced() throws Exception {
        String out = serve(frame(100, ATTACH + "DIRECTORY setId=0 rowsIn=1\n"
                + "ENTRY health=up engine=10.0.0.2:7\n"
                + "ROSTER_CHANGE i=3 revision=2 mode=replace setId=0\nWEATHER i=3 rain=1\n"
                + "CLOSED_ATTEMPT i=3 call=5 copy=0 how=delivered settled=1\n" + QUERY));
        assertTrue(out.contains("SEND i=3 call=77 engine=10.0.0.2:7"), out);
    }

    @Example
    void malformedInputIsReportedByLineAndField() {
        assertEquals("line 1: HELLO FRAME: expected the start of a frame", errorOf("HELLO\n"));
        assertEquals("line 1: FRAME timeMs: 'soon' is not a number", errorOf("FRAME timeMs=soon\n"));
        assertEquals("line 2: OVER_TO_YOU: the input ended inside a frame", errorOf("FRAME timeMs=1\n"));
        assertEquals("line 2: FIRED i: missing", errorOf(frame(1, "FIRED handle=1\n")));
        assertEquals("line 6: WORK_ITEM profile: 'walk' is not a class of this instance",
                errorOf(frame(1, ATTACH + QUERY.replace("lookup", "walk"))));
        assertEquals("line 6: ROSTER_CHANGE setId: no DIRECTORY has this number",
                errorOf(frame(1, ATTACH + "ROSTER_CHANGE i=3 revision=2 mode=update setId=9\n")));
        assertEquals("line 6: CLOSED_ATTEMPT how: 'lost' is not an outcome",
                errorOf(frame(1, ATTACH + "CLOSED_ATTEMPT i=3 call=1 copy=0 how=lost\n")));
    }

    @Example
    void timesRoundToTheSafeSide() {
        assertEquals(99, Times.ticksAt(9.999));
        assertEquals(98, Times.ticksAtMost(9.999));
        assertEquals(101, Times.ticksAtLeast(9.999));
        assertEquals(0, Times.ticksAtMost(0));
        StringBuilder out = new StringBuilder();
        Times.appendMs(out, -1203);
        assertEquals("-120.3", out.toString());
    }

    /** An impossible number of fronts counts as one; a value that is not a number is an error. */
    @Example
    void unusualFleetSizesAreAccepted() throws Exception {
        for (String fronts : new String[] {"0", "-3", "1e12", "220"}) {
            String attach = ATTACH.replace("fleetSize=1", "me=500 fleetSize=" + fronts);
            String out = serve(frame(100, attach + QUERY));
            assertTrue(out.contains("SEND i=3 call=77 engine=10.0.0.1:7"), fronts + ": " + out);
        }
        assertEquals("line 2: ATTACH fleetSize: 'many' is not a number",
                errorOf(frame(100, ATTACH.replace("fleetSize=1", "fleetSize=many"))));
    }
}
