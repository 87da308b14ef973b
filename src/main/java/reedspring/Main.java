package reedspring;

import java.io.IOException;
import reedspring.adapter.Adapter;
import reedspring.adapter.WireException;
import reedspring.cli.Commands;
import reedspring.net.Startup;

/**
 * Entry point. It runs the platform's two command lines, {@code serve} and {@code adapter}, without loading
 * the command line library: on half a core, each loaded class delays a front's start.
 */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && args[0].equals("serve")) {
            Runtime.getRuntime().halt(Startup.serve(System.getenv()));
        }
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.exit(Commands.run(args));
        }
        try {
            new Adapter(System.in, System.out).serve();
        } catch (WireException | IOException e) {
            System.err.println("reedspring: " + e.getMessage());
            System.exit(65);
        }
    }
}
