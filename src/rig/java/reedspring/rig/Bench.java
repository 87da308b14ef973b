package reedspring.rig;

/**
 * Arguments, result line and exit code of the main classes behind the scripts in bench/.
 *
 * @param seed of the random generators
 * @param shortRun whether to do a short run
 * @param against the directory of another built checkout, whose runs alternate with this one's, or null
 */
record Bench(long seed, boolean shortRun, String against) {
    /** Exit code for wrong arguments, EX_USAGE of sysexits.h. */
    private static final int EXIT_USAGE = 64;

    static Bench of(String[] args) {
        long seed = 1;
        boolean shortRun = false;
        String against = null;
        for (int k = 0; k < args.length; k++) {
            boolean hasValue = k + 1 < args.length;
            if (args[k].equals("--short")) {
                shortRun = true;
            } else if (args[k].equals("--seed") && hasValue && args[k + 1].matches("[0-9]{1,18}")) {
                seed = Long.parseLong(args[++k]);
            } else if (args[k].equals("--against") && hasValue) {
                against = args[++k];
            } else {
                System.err.println("usage: bench/NAME [--seed N] [--short] [--against DIR]");
                System.exit(EXIT_USAGE);
            }
        }
        return new Bench(seed, shortRun, against);
    }

    /** Prints the figures as {@code name=value ...} and exits, with 0 only if the targets are met. */
    void printAndExit(String figures, boolean targetsMet) {
        System.out.println(figures);
        System.exit(targetsMet ? 0 : 1);
    }
}
