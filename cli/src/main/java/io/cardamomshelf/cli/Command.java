package io.cardamomshelf.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the operators' command. */
interface Command {

    /** Returns the subcommand's name. */
    String name();

    /** Returns one line that describes the subcommand, for the help text. */
    String summary();

    /** Returns an example of its use, for the help text. */
    String example();

    /** Declares the subcommand's own options and arguments. */
    default void declareOptions(OptionParser parser) {}

    /** Runs the subcommand. */
    void run(OptionSet options, CommandContext context) throws CliException;
}
