package io.cardamomshelf.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One subcommand. */
interface Command {

    /** Returns the subcommand's name. */
    String name();

    /** Returns what it does, in one line. */
    String summary();

    /** Returns one line that shows its use. */
    String example();

    /** Declares its options. */
    default void declare(OptionParser parser) {}

    /** Runs it. */
    void run(OptionSet options, Session session) throws CliException;
}
