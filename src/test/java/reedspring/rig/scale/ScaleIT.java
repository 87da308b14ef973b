package reedspring.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import reedspring.rig.Rig;
import reedspring.rig.fleet.Timetable;

/** A small scale run. It checks rules and counts, never times, which a busy machine may miss. */
class ScaleIT {
    private static final Path TIMETABLE = Path.of("bench/timetables/scale-ci.ini");

    @Example
    void aSmallRunViolatesNoRule() throws Exception {
        try (ScaleRun run = new ScaleRun(Timetable.read(TIMETABLE), TIMETABLE, new Scale.Size(24, 20, 2), 1,
                false)) {
            ScaleRun.Result result = run.play();
            System.out.println(result.summary());
            assertEquals(List.of(), result.violations());
            double[] served = result.figures().stream().filter(f -> f.figure().equals("hollow_served")
                    || f.figure().equals("hollow_asked")).mapToDouble(Figures.Figure::value).toArray();
            assertTrue(served[0] > 300 && served[1] >= 0.9 * served[0], "served " + served[1] + " of "
                    + served[0]);
        }
    }

    private static Process startMain(Path directory, Path errors) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        return new ProcessBuilder(java, "-Xmx256m", "-cp",
                System.getProperty("java.class.path"), Scale.class.getName(),
                "--timetable", TIMETABLE.toString(), "--real", "2", "--out", directory.toString())
                .redirectError(errors.toFile()).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    private static String readText(Path file) {
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void assertNothingIsLeft(List<ProcessHandle> children, Path directory) throws Exception {
        assertTrue(children.size() >= 5, "child processes and two fronts: " + children.size());
        Rig.await("the end of all its processes", () -> children.stream().noneMatch(ProcessHandle::isAlive));
        try (Stream<Path> remaining = Files.list(directory)) {
            assertEquals(List.of(), remaining.toList());
        }
    }

    /** Killed with SIGKILL, which the main process can't handle. */
    @Example
    void aKilledRunLeavesNoProcessAndNoResults() throws Exception {
        Path directory = Files.createTempDirectory("scale");
        Path errors = Files.createTempFile("scale", ".log");
        Process main = startMain(directory, errors);
        Rig.await("the run", () -> readText(errors).contains("all follow") || !main.isAlive());
        assertTrue(main.isAlive(), readText(errors));
        List<ProcessHandle> children = main.descendants().toList();
        main.destroyForcibly();
        assertNothingIsLeft(children, directory);
    }

    @Example
    void exhaustedDescriptorsEndTheRunWithAnError() throws Exception {
        Path directory = Files.createTempDirectory("scale");
        Path errors = Files.createTempFile("scale", ".log");
        Process main = startMain(directory, errors);
        Rig.await("the run", () -> readText(errors).contains("all follow") || !main.isAlive());
        assertTrue(main.isAlive(), readText(errors));
        List<ProcessHandle> children = main.descendants().toList();
        assertEquals(0, new ProcessBuilder("prlimit", "--pid", Long.toString(main.pid()), "--nofile=64:")
                .start().waitFor());
        assertTrue(main.waitFor(Rig.TIMEOUT_S, TimeUnit.SECONDS), readText(errors));
        assertNotEquals(0, main.exitValue());
        assertTrue(readText(errors).contains("Too many open files"), readText(errors));
        assertNothingIsLeft(children, directory);
    }

    @Example
    void aMachineThatIsTooSmallIsReported() {
        assertTrue(new Scale.Size(1_000_000, 100, 8).lackingResource()
                .matches("[0-9]+ descriptors are needed .*"));
        assertTrue(new Scale.Size(3_600, 25_000, 8).lackingResource().matches("[0-9]+ MB are needed .*"));
        assertEquals(null, new Scale.Size(24, 20, 2).lackingResource());
    }
}
