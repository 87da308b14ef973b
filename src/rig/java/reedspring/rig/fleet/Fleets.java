package reedspring.rig.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import reedspring.settings.SettingsException;

/**
 * Plays each timetable on processes and in virtual time, started by bench/fleet:
 * {@code [--seed N] [--short] [FILE ...]}.
 */
public final class Fleets {
    private static final int EXIT_USAGE = 64;
    private static final int EXIT_UNUSABLE_TIMETABLE = 78;
    /** Numbers of fronts and engines in virtual time; the load grows in proportion to the engines. */
    private static final int[][] VIRTUAL_SIZES = {{1, 6}, {3, 6}, {12, 12}, {100, 40}, {200, 80}};

    private Fleets() {
    }

    public static void main(String[] args) throws IOException {
        long seed = 1;
        boolean skipsLargest = false;
        List<Path> files = new ArrayList<>();
        for (int k = 0; k < args.length; k++) {
            if (args[k].equals("--short")) {
                skipsLargest = true;
            } else if (args[k].equals("--seed") && k + 1 < args.length && args[k + 1]
                    .matches("[0-9]{1,18}")) {
                seed = Long.parseLong(args[++k]);
            } else if (!args[k].startsWith("-")) {
                files.add(Path.of(args[k]));
            } else {
                System.err.println("usage: bench/fleet [--seed N] [--short] [FILE ...]");
                System.exit(EXIT_USAGE);
            }
        }
        if (files.isEmpty()) {
            try (Stream<Path> all = Files.list(Path.of("bench/timetables"))) {
                all.filter(file -> file.toString().endsWith(".ini")
                        && !file.getFileName().toString().startsWith("scale-")).sorted().forEach(files::add);
            }
        }
        System.exit(playAll(files, seed, skipsLargest));
    }

    private static int playAll(List<Path> files, long seed, boolean skipsLargest) {
        int broken = 0;
        int runs = 0;
        for (Path file : files) {
            try {
                Timetable timetable = Timetable.read(file);
                for (int[] size : VIRTUAL_SIZES) {
                    if (!skipsLargest || size[0] <= 100) {
                        runs++;
                        broken += countFailure(timetable + " virtual " + size[0] + "x" + size[1],
                                () -> formatFigures(new VirtualFleet(timetable.sized(size[0], size[1]), seed)
                                .play()));
                    }
                }
                runs++;
                broken += countFailure(timetable + " processes", () -> Fleet.play(file, seed).toString());
            } catch (SettingsException e) {
                System.err.println(e.getMessage());
                return EXIT_UNUSABLE_TIMETABLE;
            }
        }
        System.out.println("runs=" + runs + " broken=" + broken + " seed=" + seed);
        return broken == 0 ? 0 : 1;
    }

    private interface Run {
        String play() throws Exception;
    }

    private static int countFailure(String name, Run run) {
        try {
            System.err.println(name + ": " + run.play());
            return 0;
        } catch (Exception | AssertionError e) {
            System.err.println(name + ": BROKEN " + e.getMessage());
            return 1;
        }
    }

    private static String formatFigures(VirtualFleet fleet) {
        return String.format(Locale.ROOT,
                "served=%.3f busiest=%.2f idlest=%.2f most_threads=%.1f backs=%d %s",
                fleet.served(), fleet.busiestRatio(), fleet.idlestRatio(), fleet.maxThreadsPerCore(),
                fleet.peakRetries(), fleet.counts());
    }
}
