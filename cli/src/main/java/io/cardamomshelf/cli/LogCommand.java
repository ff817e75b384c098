package io.cardamomshelf.cli;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand that can read collected log files instead of the instances' events. */
interface LogCommand extends Command {

    /** The name of the option for log files. */
    String LOGS_OPTION = "logs";

    /** Declares the option for log files. */
    static void declareLogsOption(OptionParser parser) {
        parser.accepts(
                        LOGS_OPTION,
                        "a log file, or - for standard input; may be given several times")
                .withRequiredArg();
    }

    /** Runs the subcommand on lines of logs in time order, without settings or instances. */
    void run(OptionSet options, List<LogLine> lines, Output output) throws CliException;
}
