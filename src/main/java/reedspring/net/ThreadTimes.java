package reedspring.net;

import java.io.File;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * How long threads of this process ran, and how long they stood in the run queue of a processor, by the
 * kernel's own count (schedstat: run time and run delay in nanoseconds). The JVM's management beans tell
 * less, and their first use costs 40 ms of processor time, a second's worth of a front's share.
 */
class ThreadTimes {
    static final int LOOP_RAN = 0;
    static final int LOOP_QUEUED = 1;
    static final int VM_RAN = 2;
    static final int VM_QUEUED = 3;
    static final int COMPILER_RAN = 4;
    static final int COMPILER_QUEUED = 5;
    static final int FIGURES = 6;

    private static final Path TASKS = Path.of("/proc/self/task");
    private final byte[] text = new byte[64];
    private final RandomAccessFile[] files = new RandomAccessFile[FIGURES / 2];

    /** Of the calling thread; the others are looked up by {@link #findOthers}. */
    void findLoop() {
        try {
            files[0] = open(Files.readSymbolicLink(Path.of("/proc/thread-self")).getFileName().toString());
        } catch (IOException | RuntimeException e) {
            // no such files here: the probe does without
        }
    }

    /**
     * The thread that collects garbage, alone or for others, and the first compiler. Reads a name for each
     * thread that is older.
     */
    void findOthers() {
        String[] tasks = TASKS.toFile().list();
        for (int k = 0; tasks != null && k < tasks.length && (files[1] == null || files[2] == null); k++) {
            try {
                String name = Files.readString(TASKS.resolve(tasks[k]).resolve("comm"));
                if (files[1] == null && name.startsWith("VM Thread")) {
                    files[1] = open(tasks[k]);
                } else if (files[2] == null && name.contains("CompilerThre")) {
                    files[2] = open(tasks[k]);
                }
            } catch (IOException | RuntimeException e) {
                // it has ended meanwhile, or no descriptor is free
            }
        }
    }

    private static RandomAccessFile open(String task) throws IOException {
        return new RandomAccessFile(new File(TASKS.resolve(task).toFile(), "schedstat"), "r");
    }

    /** Fills in all {@link #FIGURES}, in nanoseconds since each thread began; 0 where there are none. */
    void read(long[] into) {
        for (int k = 0; k < files.length; k++) {
            into[2 * k] = 0;
            into[2 * k + 1] = 0;
            if (files[k] != null) {
                try {
                    files[k].seek(0);
                    parse(text, files[k].read(text), into, 2 * k);
                } catch (IOException e) {
                    // the thread has ended
                    close(k);
                }
            }
        }
    }

    private void close(int k) {
        try {
            files[k].close();
        } catch (IOException e) {
            // it was only read
        }
        files[k] = null;
    }

    /** The first two figures of a line such as {@code 166460 3248939 2}. */
    static void parse(byte[] line, int length, long[] into, int at) {
        int which = 0;
        for (int k = 0; k < length && which < 2; k++) {
            if (line[k] >= '0' && line[k] <= '9') {
                into[at + which] = into[at + which] * 10 + line[k] - '0';
            } else {
                which++;
            }
        }
    }
}
