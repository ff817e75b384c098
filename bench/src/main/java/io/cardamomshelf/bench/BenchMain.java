package io.cardamomshelf.bench;

import java.io.PrintStream;

/** Runs a benchmark: {@code bin/bench decisions [SEED]}. */
public final class BenchMain {

    private static final long DEFAULT_SEED = 1;
    private static final int WRONG_INPUT = 2;

    private BenchMain() {}

    /**
     * Runs a benchmark.
     *
     * @param args its name and, if wanted, a seed
     */
    public static void main(String[] args) {
        PrintStream out = System.out;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : DEFAULT_SEED;
        if (args.length > 0 && args[0].equals("decisions")) {
            Decisions.print(out, seed);
        } else {
            out.println("usage: bin/bench decisions [SEED]");
            System.exit(WRONG_INPUT);
        }
    }
}
