package reedspring.rig;

/**
 * What the mains behind the scripts in bench/ have in common: their arguments, last line and exit code.
 * {@code against} is another built checkout to play in turns with this one, or null.
 */
record Bench(long seed, boolean shortly, String against) {
    private static final int USAGE = 64;

    static Bench of(String[] args) {
        long seed = 1;
        boolean shortly = false;
        String against = null;
        for (int k = 0; k < args.length; k++) {
            boolean more = k + 1 < args.length;
            if (args[k].equals("--short")) {
                shortly = true;
            } else if (args[k].equals("--seed") && more && args[k + 1].matches("[0-9]{1,18}")) {
                seed = Long.parseLong(args[++k]);
            } else if (args[k].equals("--against") && more) {
                against = args[++k];
            } else {
                System.err.println("usage: bench/NAME [--seed N] [--short] [--against DIR]");
                System.exit(USAGE);
            }
        }
        return new Bench(seed, shortly, against);
    }

    /** The figures as {@code name=value ...}; 0 only if the aims hold. */
    void end(String figures, boolean holds) {
        System.out.println(figures);
        System.exit(holds ? 0 : 1);
    }
}
