package reedspring.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel tells of a process in its {@code /proc/PID/status}. */
public enum ProcessStatus {
    RESIDENT_KB("VmRSS"), PEAK_RESIDENT_KB("VmHWM"),
    /** Resident memory that is not backed by a file, which the kernel can't take back. */
    ANONYMOUS_KB("RssAnon"), THREADS("Threads");

    private final String prefix;

    ProcessStatus(String field) {
        prefix = field + ":";
    }

    /** Returns the current value for a live process. */
    public long of(Process process) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith(prefix))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElseThrow();
    }
}
