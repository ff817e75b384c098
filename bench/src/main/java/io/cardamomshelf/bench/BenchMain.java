package io.cardamomshelf.bench;

import java.io.PrintStream;

/**
 * Runs one benchmark from the command line.
 *
 * <p>Use: {@code bin/bench decisions [SEED]} or {@code bin/bench capacity}.
 */
public final class BenchMain {

    private static final long DEFAULT_SEED = 1;
    private static final int WRONG_INPUT = 2;

    private BenchMain() {}

    /**
     * Runs a benchmark.
     *
     * @param args the name of the benchmark, optionally followed by a seed, not null
     * @throws Exception if a message cannot be encoded
     */
    public static void main(String[] args) throws Exception {
        PrintStream out = System.out;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : DEFAULT_SEED;
        if (args.length > 0 && args[0].equals("decisions")) {
            Decisions.print(out, seed);
        } else if (args.length > 0 && args[0].equals("capacity")) {
            Capacity.print(out);
        } else {
            out.println("usage: bin/bench decisions [SEED] | bin/bench capacity");
            System.exit(WRONG_INPUT);
        }
    }
}
