package reedspring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import reedspring.adapter.Adapter;
import reedspring.adapter.WireException;
import reedspring.boot.InvalidConfigurationException;
import reedspring.net.Startup;
import reedspring.settings.InstallationSettings;
import reedspring.settings.SettingsException;

/**
 * The command line for operators. The platform's two command lines are not handled here: {@code Main} runs
 * them without loading this package and its library.
 */
@Command(name = "reedspring", mixinStandardHelpOptions = true, version = "reedspring 0.1.0",
        description = "A gateway that keeps short and long queries apart on shared query engines.",
        subcommands = {Commands.Serve.class, Commands.Adapt.class, Commands.Check.class, SpoolCommands.class},
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {"0:done", "64:wrong arguments", "65:bad input",
        "69:a required resource is not available",
        "71:no memory left, or a thread that serving depends on has ended",
        "78:the configuration or the settings can't be used"})
public final class Commands {
    static final int EXIT_USAGE = 64;
    static final int EXIT_BAD_INPUT = 65;
    static final int EXIT_UNAVAILABLE = 69;
    static final int EXIT_CONFIGURATION = 78;

    private Commands() {
    }

    /** Runs a command line and returns its exit code. */
    public static int run(String... args) {
        CommandLine commandLine = new CommandLine(new Commands());
        commandLine.setParameterExceptionHandler((error, arguments) -> {
            CommandLine failedCommand = error.getCommandLine();
            failedCommand.getErr().println("reedspring: " + error.getMessage());
            failedCommand.usage(failedCommand.getErr());
            return EXIT_USAGE;
        });
        commandLine.setExecutionExceptionHandler((fault, failedCommand, parsed) -> {
            failedCommand.getErr().println("reedspring: "
                    + (fault.getMessage() == null ? fault : fault.getMessage()));
            return fault instanceof SettingsException ? EXIT_CONFIGURATION : EXIT_UNAVAILABLE;
        });
        if (args.length == 0) {
            commandLine.usage(commandLine.getErr());
            return EXIT_USAGE;
        }
        return commandLine.execute(args);
    }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Run a front with the configuration file that RELAY_CONFIG names.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--settings", paramLabel = "FILE",
                description = "settings of the installation's optional features, as in deploy/reedspring.ini")
        private Path settings;

        @Override
        public Integer call() throws SettingsException, InterruptedException {
            // halt, as System.exit would run shutdown hooks.
            Runtime.getRuntime().halt(settings == null ? Startup.serve(System.getenv())
                    : Startup.serve(System.getenv(), InstallationSettings.read(settings)));
            return 0;
        }
    }

    @Command(name = "adapter", mixinStandardHelpOptions = true,
            description = "Serve the simulator's protocol on standard input and output.")
    static final class Adapt implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            try {
                new Adapter(System.in, System.out).serve();
                return 0;
            } catch (WireException e) {
                System.err.println("reedspring: " + e.getMessage());
                return EXIT_BAD_INPUT;
            }
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
            description = "Validate a settings file and a platform configuration without starting "
                    + "a front.")
    static final class Check implements Callable<Integer> {
        @Option(names = "--settings", paramLabel = "FILE", description = "the installation's settings file")
        private Path settings;

        @Option(names = "--config", paramLabel = "FILE",
            description = "the platform's configuration file (default: the value of RELAY_CONFIG, if set)")
        private String config;

        @Override
        public Integer call() {
            String configPath = config != null ? config : System.getenv("RELAY_CONFIG");
            if (settings == null && configPath == null) {
                System.err.println("reedspring: nothing to check: --settings or --config is required");
                return EXIT_USAGE;
            }
            boolean valid = true;
            InstallationSettings read = null;
            if (settings != null) {
                try {
                    read = InstallationSettings.read(settings);
                } catch (SettingsException e) {
                    e.faults().forEach(System.err::println);
                    valid = false;
                }
            }
            String configError = configPath == null ? null : Startup.configurationError(configPath);
            if (configError != null) {
                System.err.println("configuration: " + configError);
                valid = false;
            }
            if (valid) {
                System.out.println("good");
                printSpoolCapacity(read, configPath);
            }
            return valid ? 0 : EXIT_CONFIGURATION;
        }

        /** Says what limits the spool, if there is one and the memory and descriptors are known. */
        private static void printSpoolCapacity(InstallationSettings settings, String configPath) {
            if (settings == null || settings.spool() == null || configPath == null) {
                return;
            }
            try {
                System.out.println(
                        Startup.spoolCapacity(configPath, settings.spool().limits()).describe());
            } catch (IOException | InvalidConfigurationException e) {
                // The file was readable a moment ago; the capacity is only for information.
                System.err.println("configuration: " + e.getMessage());
            }
        }
    }
}
