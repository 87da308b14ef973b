package reedspring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedspring.adapter.Adapter;
import reedspring.adapter.WireException;
import reedspring.net.Startup;
import reedspring.settings.SettingsException;
import reedspring.settings.StandingOrders;

/**
 * The command line for operators. The platform's two lines never come here: {@code Main} starts them without
 * a class of this package or its library.
 */
@Command(name = "reedspring", mixinStandardHelpOptions = true, version = "reedspring 0.1.0",
        description = "A gateway that keeps short and long queries apart on shared query engines.",
        subcommands = {Commands.Serve.class, Commands.Adapt.class, Commands.Check.class, SpoolCommands.class},
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done", "64:wrong arguments", "65:bad input",
        "69:something that is needed can't be had",
            "78:the configuration or the settings can't be used"})
public final class Commands {
    static final int USAGE = 64;
    static final int BAD_INPUT = 65;
    static final int UNAVAILABLE = 69;
    static final int UNUSABLE = 78;

    private Commands() {
    }

    /** The exit code. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Commands());
        line.setParameterExceptionHandler((wrong, words) -> {
            CommandLine at = wrong.getCommandLine();
            at.getErr().println("reedspring: " + wrong.getMessage());
            at.usage(at.getErr());
            return USAGE;
        });
        line.setExecutionExceptionHandler((fault, at, parsed) -> {
            at.getErr().println("reedspring: " + (fault.getMessage() == null ? fault : fault.getMessage()));
            return fault instanceof SettingsException ? UNUSABLE : UNAVAILABLE;
        });
        if (args.length == 0) {
            line.usage(line.getErr());
            return USAGE;
        }
        return line.execute(args);
    }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Be one front on sockets, as the file named by RELAY_CONFIG says.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--settings", paramLabel = "FILE",
                description = "what the installation switches on beyond that, as in deploy/reedspring.ini")
        private Path settings;

        @Override
        public Integer call() throws SettingsException, InterruptedException {
            // An ordinary exit would run the hook that SIGTERM runs.
            Runtime.getRuntime().halt(settings == null ? Startup.serve(System.getenv())
                    : Startup.serve(System.getenv(), StandingOrders.read(settings)));
            return 0;
        }
    }

    @Command(name = "adapter", mixinStandardHelpOptions = true,
            description = "Serve the simulator's wire on standard input and output.")
    static final class Adapt implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            try {
                new Adapter(System.in, System.out).serve();
                return 0;
            } catch (WireException e) {
                System.err.println("reedspring: " + e.getMessage());
                return BAD_INPUT;
            }
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,

            description = "Tell whether a settings file and a platform configuration can be used; start "
                    + "nothing.")
    static final class Check implements Callable<Integer> {
        @Option(names = "--settings", paramLabel = "FILE", description = "the installation's settings")
        private Path settings;

        @Option(names = "--config", paramLabel = "FILE",

            description = "the platform's configuration (default: the file named by RELAY_CONFIG, if any)")
        private String config;

        @Override
        public Integer call() {
            String platform = config != null ? config : System.getenv("RELAY_CONFIG");
            if (settings == null && platform == null) {
                System.err.println("reedspring: nothing to check: --settings or --config is wanted");
                return USAGE;
            }
            boolean good = true;
            if (settings != null) {
                try {
                    StandingOrders.read(settings);
                } catch (SettingsException e) {
                    e.faults().forEach(System.err::println);
                    good = false;
                }
            }
            String fault = platform == null ? null : Startup.fault(platform);
            if (fault != null) {
                System.err.println("configuration: " + fault);
                good = false;
            }
            if (good) {
                System.out.println("good");
            }
            return good ? 0 : UNUSABLE;
        }
    }
}
