package reedspring;

import java.io.IOException;
import reedspring.adapter.Adapter;
import reedspring.adapter.WireException;
import reedspring.cli.Commands;
import reedspring.net.Startup;

/**
 * The platform's two lines, started without what the rest of the command line needs: a front on half a core
 * pays for each class.
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
