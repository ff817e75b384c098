package io.cardamomshelf.cli;

import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand that also reads collected logs, without any instance or settings. */
interface LogReading extends Command {

    /** The option that names log files. */
    String LOGS = "logs";

    /** Declares the option that names log files. */
    static void declareLogs(OptionParser parser) {
        parser.accepts(LOGS, "a log file, or - for standard input; may be given several times")
                .withRequiredArg();
    }

    /** Runs it on lines of logs, which are in the order of time. */
    void run(OptionSet options, List<LogLine> lines, Output output) throws CliException;
}
