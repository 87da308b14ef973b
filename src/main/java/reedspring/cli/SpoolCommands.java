package reedspring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import reedspring.spool.store.FileDisk;
import reedspring.spool.store.Survey;

/** Commands that inspect and clear a spool directory, whether or not a front uses it. */
@Command(name = "spool", mixinStandardHelpOptions = true,
        description = "Inspect and clear a directory of kept answers.",
        subcommands = {SpoolCommands.Listing.class, SpoolCommands.Verify.class, SpoolCommands.Stat.class,
            SpoolCommands.Expire.class})
final class SpoolCommands {
    /** Times of the spool are in ticks; one tick is a tenth of a millisecond. */
    private static final long TICKS_PER_MS = 10;

    private SpoolCommands() {
    }

    private abstract static class FolderCommand implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "the directory that the settings name as folder")
        private Path folder;

        Survey survey(boolean pages) throws IOException {
            // Opened read-only, so that this works while a front holds the directory.
            try (FileDisk disk = new FileDisk(folder, false)) {
                return Survey.of(disk, pages);
            }
        }

        Path folder() {
            return folder;
        }

        static long now() {
            return System.currentTimeMillis() * TICKS_PER_MS;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true,
            description = "Print one line per answer: id, tenant, pages, bytes, expiry time, segment.")
    static final class Listing extends FolderCommand {
        @Override
        public Integer call() throws IOException {
            Survey survey = survey(false);
            survey.answers().stream().sorted(Comparator.comparingLong(Survey.Answer::expiresAt))
                    .forEach(answer -> System.out.printf("%s %s %d %d %s %016x%s%n", answer.id(),
                            answer.tenant(), answer.pages(), answer.bytes(),
                            Instant.ofEpochMilli(answer.expiresAt() / TICKS_PER_MS), answer.segment(),
                            answer.expiresAt() <= now() ? " expired" : ""));
            return 0;
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,
            description = "Read and verify every page. Exits with 65 if data is damaged; an incomplete "
                    + "record at the end "
                    + "of a segment, left by a crash, is reported but is no fault.")
    static final class Verify extends FolderCommand {
        @Override
        public Integer call() throws IOException {
            Survey survey = survey(true);
            survey.notices().forEach(System.out::println);
            survey.faults().forEach(System.out::println);
            System.out.printf("%d segments, %d answers, %d pages read, %d faults%n", survey.segments().size(),
                    survey.answers().size(), survey.pagesRead(), survey.faults().size());
            return survey.faults().isEmpty() ? 0 : Commands.EXIT_BAD_INPUT;
        }
    }

    @Command(name = "stat", mixinStandardHelpOptions = true,
            description = "Print answers and bytes, in total and by tenant, and the dead bytes in files.")
    static final class Stat extends FolderCommand {
        @Override
        public Integer call() throws IOException {
            Survey survey = survey(false);
            long files = survey.segments().values().stream().mapToLong(bytes -> bytes).sum();
            long live = survey.answers().stream().mapToLong(Survey.Answer::bytes).sum();
            Map<String, long[]> tenants = new TreeMap<>();
            for (Survey.Answer answer : survey.answers()) {
                long[] sums = tenants.computeIfAbsent(answer.tenant(), k -> new long[3]);
                sums[0]++;
                sums[1] += answer.bytes();
                sums[2] += answer.expiresAt() <= now() ? 1 : 0;
            }
            System.out.printf("segments %d, bytes %d, of answers %d, dead %d%n", survey.segments().size(),
                    files, live, Math.max(0, files - live));
            tenants.forEach((tenant, sums) -> System.out.printf("%s answers %d, bytes %d, expired %d%n",
                    tenant, sums[0], sums[1], sums[2]));
            survey.notices().forEach(System.out::println);
            return 0;
        }
    }

    @Command(name = "expire", mixinStandardHelpOptions = true,
            description = "Delete segments in which every answer has expired. The directory must not "
                    + "be held by a "
                    + "front, which deletes them itself.")
    static final class Expire extends FolderCommand {
        @Option(names = "--all",
                description = "also delete answers that have not expired; their handles become invalid")
        private boolean all;

        @Override
        public Integer call() throws IOException {
            try (FileDisk disk = new FileDisk(folder(), true)) {
                List<Long> deleted = Survey.of(disk, false).expire(disk, all ? Long.MAX_VALUE : now());
                System.out.printf("%d segments deleted%n", deleted.size());
            }
            return 0;
        }
    }
}
