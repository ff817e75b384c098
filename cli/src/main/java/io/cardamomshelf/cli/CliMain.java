package io.cardamomshelf.cli;

import io.cardamomshelf.client.FileException;
import io.cardamomshelf.client.StrictYaml;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpecBuilder;

/**
 * The entry point of the operators' command {@code cardamomshelf}.
 *
 * <p>Use: {@code cardamomshelf SUBCOMMAND --settings cli.yaml [options]}; {@code cardamomshelf
 * help} lists the subcommands. The exit codes are in {@link ExitCode} and {@code
 * docs/OPERATORS.md}.
 */
public final class CliMain {

    private static final List<Command> COMMANDS =
            List.of(
                    new ListCommands.Check(),
                    new ListCommands.Diff(),
                    new ListCommands.Publish(),
                    new ListCommands.Show(),
                    new DataCentreCommand(),
                    new StatusCommand(),
                    new CallCommands.Job(),
                    new CallCommands.Request(),
                    new TimelineCommand(),
                    new ExplainCommand());

    private CliMain() {}

    /**
     * Runs a subcommand and exits with its exit code.
     *
     * @param args the subcommand and its options
     */
    public static void main(String[] args) {
        System.setProperty("logback.configurationFile", "cardamomshelf-cli-logback.xml");
        System.exit(run(args, System.out, System.err));
    }

    /**
     * Runs a subcommand in this process, without exiting.
     *
     * @param args the subcommand and its options, not null
     * @param out the stream for results, not null
     * @param err the stream for errors, not null
     * @return the exit code
     */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("help") || args[0].equals("--help")) {
            COMMANDS.forEach(command -> out.println(formatHelp(command)));
            return ExitCode.OK.number();
        }
        Optional<Command> command =
                COMMANDS.stream().filter(candidate -> candidate.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            err.println("unknown subcommand '" + args[0] + "'; 'help' lists them");
            return ExitCode.WRONG_INPUT.number();
        }
        try {
            run(command.get(), Arrays.copyOfRange(args, 1, args.length), out);
            return ExitCode.OK.number();
        } catch (CliException e) {
            err.println(e.getMessage());
            return e.code().number();
        } catch (OptionException | FileException e) {
            err.println(e.getMessage());
            return ExitCode.WRONG_INPUT.number();
        }
    }

    private static String formatHelp(Command command) {
        return command.name()
                + ": "
                + command.summary()
                + "\n    cardamomshelf "
                + command.example();
    }

    private static void run(Command command, String[] args, PrintStream out)
            throws CliException, FileException {
        OptionParser parser = new OptionParser();
        parser.accepts("json", "print JSON lines");
        parser.accepts("help", "print this help").forHelp();
        command.declareOptions(parser);
        declareSettings(command, parser);
        OptionSet options = parser.parse(args);
        if (options.has("help")) {
            out.println(formatHelp(command));
            return;
        }
        Output output = new Output(out, options.has("json"));
        if (command instanceof LogCommand logCommand && options.has(LogCommand.LOGS_OPTION)) {
            logCommand.run(options, LogFiles.read(logFileNames(options), System.in), output);
            return;
        }
        Path file = Path.of((String) options.valueOf("settings"));
        CliSettings settings = StrictYaml.read(file, CliSettings.class);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        try {
            command.run(options, new CommandContext(vertx, settings, output));
        } finally {
            vertx.closeAndAwait();
        }
    }

    private static void declareSettings(Command command, OptionParser parser) {
        OptionSpecBuilder settings = parser.accepts("settings", "the command's settings");
        if (command instanceof LogCommand) {
            settings.requiredUnless(LogCommand.LOGS_OPTION).withRequiredArg();
        } else {
            settings.withRequiredArg().required();
        }
    }

    private static List<String> logFileNames(OptionSet options) {
        return options.valuesOf(LogCommand.LOGS_OPTION).stream().map(String::valueOf).toList();
    }
}
