package io.cardamomshelf.cli;

import io.cardamomshelf.client.FileException;
import io.cardamomshelf.client.ListFiles;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Entry;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.FoldResult;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * The subcommands for the lists of plans and grants: {@code check}, {@code diff}, {@code publish}
 * and {@code show}.
 */
final class ListCommands {

    private static final String PLANS = "plans";
    private static final String GRANTS = "grants";

    private ListCommands() {}

    /** A subcommand that reads the files of plans and grants. */
    private abstract static class FilesCommand implements Command {

        @Override
        public void declareOptions(OptionParser parser) {
            parser.accepts(PLANS, "the file of plans").withRequiredArg().required();
            parser.accepts(GRANTS, "the file of grants and data centres")
                    .withRequiredArg()
                    .required();
        }

        ListFiles readFiles(OptionSet options) throws CliException {
            try {
                return ListFiles.read(
                        Path.of((String) options.valueOf(PLANS)),
                        Path.of((String) options.valueOf(GRANTS)));
            } catch (FileException e) {
                throw new CliException(ExitCode.WRONG_INPUT, e.getMessage());
            }
        }
    }

    /** Checks the files and changes nothing. */
    static final class Check extends FilesCommand {

        @Override
        public String name() {
            return "check";
        }

        @Override
        public String summary() {
            return "checks the settings and the two lists, and changes nothing";
        }

        @Override
        public String example() {
            return "check --plans plans.yaml --grants grants.yaml";
        }

        @Override
        public void run(OptionSet options, CommandContext context) throws CliException {
            int entries = readFiles(options).entries().size();
            context.print("lists ok, " + entries + " entries");
        }
    }

    /** Prints the changes that publishing the files would make. */
    static final class Diff extends FilesCommand {

        @Override
        public String name() {
            return "diff";
        }

        @Override
        public String summary() {
            return "shows what publish would change";
        }

        @Override
        public String example() {
            return "diff --plans plans.yaml --grants grants.yaml";
        }

        @Override
        public void run(OptionSet options, CommandContext context) throws CliException {
            List<Change> changes = readFiles(options).changesFrom(context.readState());
            printChanges(changes, context);
        }
    }

    /** Publishes the files as one edit. */
    static final class Publish extends FilesCommand {

        @Override
        public String name() {
            return "publish";
        }

        @Override
        public String summary() {
            return "makes the two lists those in force, unless another operator was first";
        }

        @Override
        public String example() {
            return "publish --plans plans.yaml --grants grants.yaml";
        }

        @Override
        public void run(OptionSet options, CommandContext context) throws CliException {
            List<Change> changes = readFiles(options).changesFrom(context.readState());
            printChanges(changes, context);
            if (!changes.isEmpty()) {
                publish(changes, context);
            }
        }
    }

    /** Prints the lists in force and the offset of each instance's configuration. */
    static final class Show implements Command {

        @Override
        public String name() {
            return "show";
        }

        @Override
        public String summary() {
            return "shows the lists in force, and at which offset each instance has them";
        }

        @Override
        public String example() {
            return "show";
        }

        @Override
        public void run(OptionSet options, CommandContext context) throws CliException {
            ConfigState state = context.readState();
            context.print("offset " + state.offset());
            state.sortedEntries()
                    .forEach((key, entry) -> context.print(key + " " + describe(entry)));
            context.queryInstances(entry -> context.entryClient().status(entry))
                    .forEach(
                            (entry, status) ->
                                    context.print(
                                            status.map(
                                                            reported ->
                                                                    reported.instance()
                                                                            + " at offset "
                                                                            + reported
                                                                                    .configOffset())
                                                    .orElse(entry + " doesn't answer")));
        }

        private static String describe(Entry entry) {
            return entry.value() + " version " + entry.version() + " by " + entry.author();
        }
    }

    /**
     * Publishes changes and prints the offset at which they are in force.
     *
     * @return the offset
     * @throws CliException if the edit is refused; in a conflict the message names the authors of
     *     the conflicting changes
     */
    static long publish(List<Change> changes, CommandContext context) throws CliException {
        FoldResult result = context.publish(changes);
        if (result.status() == FoldResult.Status.CONFLICT) {
            StringBuilder text = new StringBuilder("lost a race, nothing was changed:");
            for (EntryKey key : result.conflicts()) {
                String changedBy =
                        result.state()
                                .entry(key)
                                .map(entry -> entry.author() + " in " + entry.editId())
                                .orElse("a removal");
                text.append("\n  ").append(key).append(" was changed by ").append(changedBy);
            }
            throw new CliException(ExitCode.CONFLICT, text.toString());
        }
        if (!result.isInForce()) {
            throw new CliException(ExitCode.WRONG_INPUT, "refused: " + result.status());
        }
        context.print("in force at offset " + result.state().offset());
        return result.state().offset();
    }

    private static void printChanges(List<Change> changes, CommandContext context) {
        if (changes.isEmpty()) {
            context.print("no changes");
        }
        for (Change change : changes) {
            String effect = change.value().map(value -> "= " + value).orElse("removed");
            context.print(change.key() + " " + effect);
        }
    }
}
