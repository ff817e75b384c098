package io.cardamomshelf.sessions;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Comparator;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Runs the soak by hand: {@code [--seed N] [--seconds S] [--workers W] [--runs R] [--keep]}.
 *
 * <p>Exit codes: 0 if all rules held, 1 if one was broken, 2 if a run couldn't be made.
 */
public final class SoakMain {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_RUNS = 1_000;
    private static final int SEED_BOUND = 1_000_000;

    private SoakMain() {}

    /**
     * Runs it.
     *
     * @param args the options
     * @throws IOException if a folder for logs can't be made
     */
    public static void main(String[] args) throws IOException {
        System.exit(run(args, System.out));
    }

    static int run(String[] args, PrintStream out) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Long> seed =
                parser.accepts("seed", "seed of the first run, random if not given")
                        .withRequiredArg()
                        .ofType(Long.class);
        OptionSpec<Integer> seconds = number(parser, "seconds", "length of the troubles", 60);
        OptionSpec<Integer> workers = number(parser, "workers", "number of workers", 24);
        OptionSpec<Integer> runs = number(parser, "runs", "runs, with rising seeds", 1);
        parser.accepts("keep", "keep the logs of runs that held, too");
        parser.accepts("help", "print this").forHelp();
        OptionSet options;
        try {
            options = parser.parse(args);
            if (options.has("help")) {
                parser.printHelpOn(out);
                return HELD;
            }
            checkRange(options, seconds, MAX_SECONDS);
            checkRange(options, workers, SoakDeployment.MAX_WORKERS);
            checkRange(options, runs, MAX_RUNS);
        } catch (OptionException | IllegalArgumentException e) {
            out.println(e.getMessage() + "; see --help");
            return NOT_RUN;
        }
        long first =
                options.has(seed) ? options.valueOf(seed) : new SecureRandom().nextInt(SEED_BOUND);
        int worst = HELD;
        for (int i = 0; i < options.valueOf(runs); i++) {
            Soak.Plan plan =
                    new Soak.Plan(
                            first + i, options.valueOf(seconds), options.valueOf(workers), true);
            worst = Math.max(worst, run(plan, options.has("keep"), out));
        }
        return worst;
    }

    private static OptionSpec<Integer> number(
            OptionParser parser, String name, String text, int value) {
        return parser.accepts(name, text).withRequiredArg().ofType(Integer.class).defaultsTo(value);
    }

    private static void checkRange(OptionSet options, OptionSpec<Integer> option, int max) {
        int value = options.valueOf(option);
        if (value < 1 || value > max) {
            throw new IllegalArgumentException(
                    option.options().get(0) + " must be from 1 to " + max + ", not " + value);
        }
    }

    private static int run(Soak.Plan plan, boolean isKept, PrintStream out) throws IOException {
        Path folder = Files.createTempDirectory("cardamomshelf-soak-" + plan.seed() + "-");
        out.println(plan + ", logs in " + folder);
        try {
            Soak.Result result = new Soak(plan, folder, line -> {}).run();
            result.violations().forEach(out::println);
            boolean isBroken = !result.violations().isEmpty();
            out.println(
                    "seed "
                            + plan.seed()
                            + (isBroken ? " broken: " : " held: ")
                            + result.counts()
                            + (isBroken ? ", logs in " + folder : ""));
            if (!isBroken && !isKept) {
                delete(folder);
            }
            return isBroken ? BROKEN : HELD;
        } catch (SessionException e) {
            out.println("seed " + plan.seed() + " couldn't run: " + e.getMessage());
            return NOT_RUN;
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
