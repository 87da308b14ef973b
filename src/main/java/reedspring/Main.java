package reedspring;

import java.io.IOException;
import reedspring.adapter.Adapter;
import reedspring.adapter.WireException;
import reedspring.net.Startup;

/** The command line: picks the protocol that is put before the decisions. */
public final class Main {
    private static final String USAGE = """
            usage: java -jar reedspring.jar adapter | serve

              adapter   serve the simulator's wire on standard input and output
              serve     be one front on sockets, as the file named by RELAY_CONFIG says
            """;

    private Main() {
    }

    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && (args[0].equals("--help") || args[0].equals("-h"))) {
            System.err.print(USAGE);
            return;
        }
        if (args.length == 1 && args[0].equals("serve")) {
            Runtime.getRuntime().halt(Startup.serve(System.getenv()));
        }
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.print(USAGE);
            System.exit(64);
        }
        try {
            new Adapter(System.in, System.out).serve();
        } catch (WireException | IOException e) {
            System.err.println("reedspring: " + e.getMessage());
            System.exit(65);
        }
    }
}
