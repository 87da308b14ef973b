package reedspring.net;

import java.io.File;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Run time and run queue delay of threads of this process, in nanoseconds, from the kernel's schedstat files.
 * The JVM's management beans provide less, and their first use costs 40 ms of processor time, a front's share
 * of a whole second.
 */
class ThreadTimes {
    static final int LOOP_RAN = 0;
    static final int LOOP_QUEUED = 1;
    static final int VM_RAN = 2;
    static final int VM_QUEUED = 3;
    static final int COMPILER_RAN = 4;
    static final int COMPILER_QUEUED = 5;
    static final int FIGURE_COUNT = 6;

    private static final Path TASK_DIRECTORY = Path.of("/proc/self/task");
    private final byte[] text = new byte[64];
    private final RandomAccessFile[] files = new RandomAccessFile[FIGURE_COUNT / 2];

    /** Opens the file of the calling thread; {@link #findOtherThreads} opens the others. */
    void findLoopThread() {
        try {
            files[0] = open(Files.readSymbolicLink(Path.of("/proc/thread-self")).getFileName().toString());
        } catch (IOException | RuntimeException e) {
            // schedstat is not available here: all figures stay 0
        }
    }

    /**
     * Opens the files of the VM thread, which collects garbage or coordinates that, and of the first compiler
     * thread. Reads the name of each thread up to those.
     */
    void findOtherThreads() {
        String[] tasks = TASK_DIRECTORY.toFile().list();
        for (int k = 0; tasks != null && k < tasks.length && (files[1] == null || files[2] == null); k++) {
            try {
                String name = Files.readString(TASK_DIRECTORY.resolve(tasks[k]).resolve("comm"));
                if (files[1] == null && name.startsWith("VM Thread")) {
                    files[1] = open(tasks[k]);
                } else if (files[2] == null && name.contains("CompilerThre")) {
                    files[2] = open(tasks[k]);
                }
            } catch (IOException | RuntimeException e) {
                // the thread has ended meanwhile, or no descriptor is free
            }
        }
    }

    private static RandomAccessFile open(String task) throws IOException {
        return new RandomAccessFile(new File(TASK_DIRECTORY.resolve(task).toFile(), "schedstat"), "r");
    }

    /** Reads all {@link #FIGURE_COUNT} values, in nanoseconds since each thread began; 0 if unavailable. */
    void read(long[] values) {
        for (int k = 0; k < files.length; k++) {
            values[2 * k] = 0;
            values[2 * k + 1] = 0;
            if (files[k] != null) {
                try {
                    files[k].seek(0);
                    parse(text, files[k].read(text), values, 2 * k);
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
            // opened for reading only: nothing is lost
        }
        files[k] = null;
    }

    /** Parses the first two numbers of a line such as {@code 166460 3248939 2}. */
    static void parse(byte[] line, int length, long[] values, int offset) {
        int count = 0;
        for (int k = 0; k < length && count < 2; k++) {
            if (line[k] >= '0' && line[k] <= '9') {
                values[offset + count] = values[offset + count] * 10 + line[k] - '0';
            } else {
                count++;
            }
        }
    }
}
