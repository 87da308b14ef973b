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

/** What operators ask of a spool's folder, beside a front that holds it or without one. */
@Command(name = "spool", mixinStandardHelpOptions = true,
        description = "Look at a folder of kept answers, and clear it.",
        subcommands = {SpoolCommands.Listing.class, SpoolCommands.Verify.class, SpoolCommands.Stat.class,
            SpoolCommands.Expire.class})
final class SpoolCommands {
    /** In which a time to come and the present are counted. */
    private static final long TENTHS_A_MS = 10;

    private SpoolCommands() {
    }

    private abstract static class OfFolder implements Callable<Integer> {
        @Parameters(paramLabel = "DIR", description = "the folder that the settings name")
        private Path folder;

        Survey survey(boolean pages) throws IOException {
            // Nothing is changed, so that it may be looked at while a front holds it.
            try (FileDisk disk = new FileDisk(folder, false)) {
                return Survey.of(disk, pages);
            }
        }

        Path folder() {
            return folder;
        }

        static long now() {
            return System.currentTimeMillis() * TENTHS_A_MS;
        }
    }

    @Command(name = "list", mixinStandardHelpOptions = true,
            description = "One line an answer: id, tenant, pages, bytes, end, segment.")
    static final class Listing extends OfFolder {
        @Override
        public Integer call() throws IOException {
            Survey survey = survey(false);
            survey.answers().stream().sorted(Comparator.comparingLong(Survey.Answer::expiresAt))
                    .forEach(a -> System.out.printf("%s %s %d %d %s %016x%s%n", a.id(), a.tenant(), a.pages(),
                            a.bytes(), Instant.ofEpochMilli(a.expiresAt() / TENTHS_A_MS), a.segment(),
                            a.expiresAt() <= now() ? " expired" : ""));
            return 0;
        }
    }

    @Command(name = "verify", mixinStandardHelpOptions = true,

            description = "Read every page. 65 if anything is not as it was written; a torn end that a "
                    + "crash left "
                    + "is named and is no fault.")
    static final class Verify extends OfFolder {
        @Override
        public Integer call() throws IOException {
            Survey survey = survey(true);
            survey.remarks().forEach(System.out::println);
            survey.faults().forEach(System.out::println);
            System.out.printf("%d segments, %d answers, %d pages read, %d faults%n", survey.segments().size(),
                    survey.answers().size(), survey.pagesRead(), survey.faults().size());
            return survey.faults().isEmpty() ? 0 : Commands.BAD_INPUT;
        }
    }

    @Command(name = "stat", mixinStandardHelpOptions = true,
            description = "Answers and bytes, in all and by tenant, and how much of the files is dead.")
    static final class Stat extends OfFolder {
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
                    files,
                    live, Math.max(0, files - live));
            tenants.forEach((tenant, sums) -> System.out.printf("%s answers %d, bytes %d, expired %d%n",
                    tenant,
                    sums[0], sums[1], sums[2]));
            survey.remarks().forEach(System.out::println);
            return 0;
        }
    }

    @Command(name = "expire", mixinStandardHelpOptions = true,

            description = "Delete segments in which every answer has expired. The folder must not be "
                    + "held by a "
                    + "front, which does this itself.")
    static final class Expire extends OfFolder {
        @Option(names = "--all",
                description = "what has not expired, too: handles of it are worth nothing then")
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
