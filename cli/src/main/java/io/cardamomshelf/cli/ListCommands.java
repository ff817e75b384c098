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

/** The subcommands on the two lists: {@code check}, {@code diff}, {@code publish}, {@code show}. */
final class ListCommands {

    private static final String PLANS = "plans";
    private static final String GRANTS = "grants";

    private ListCommands() {}

    /** A subcommand that reads both files. */
    private abstract static class OnFiles implements Command {

        @Override
        public void declare(OptionParser parser) {
            parser.accepts(PLANS, "the file of plans").withRequiredArg().required();
            parser.accepts(GRANTS, "the file of grants and data centres")
                    .withRequiredArg()
                    .required();
        }

        ListFiles files(OptionSet options) throws CliException {
            try {
                return ListFiles.read(
                        Path.of((String) options.valueOf(PLANS)),
                        Path.of((String) options.valueOf(GRANTS)));
            } catch (FileException e) {
                throw new CliException(ExitCode.WRONG_INPUT, e.getMessage());
            }
        }
    }

    /** Checks the files. */
    static final class Check extends OnFiles {

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
        public void run(OptionSet options, Session session) throws CliException {
            int entries = files(options).entries().size();
            session.print("lists ok, " + entries + " entries");
        }
    }

    /** Shows what publishing would change. */
    static final class Diff extends OnFiles {

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
        public void run(OptionSet options, Session session) throws CliException {
            List<Change> changes = files(options).changes(session.state());
            printChanges(changes, session);
        }
    }

    /** Publishes the files as one edit. */
    static final class Publish extends OnFiles {

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
        public void run(OptionSet options, Session session) throws CliException {
            List<Change> changes = files(options).changes(session.state());
            printChanges(changes, session);
            if (!changes.isEmpty()) {
                publish(changes, session);
            }
        }
    }

    /** Shows the lists in force. */
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
        public void run(OptionSet options, Session session) throws CliException {
            ConfigState state = session.state();
            session.print("offset " + state.offset());
            state.sortedEntries()
                    .forEach((key, entry) -> session.print(key + " " + describe(entry)));
            session.ask(entry -> session.entries().status(entry))
                    .forEach(
                            (entry, status) ->
                                    session.print(
                                            status.map(
                                                            s ->
                                                                    s.instance()
                                                                            + " at offset "
                                                                            + s.configOffset())
                                                    .orElse(entry + " doesn't answer")));
        }

        private static String describe(Entry entry) {
            return entry.value() + " version " + entry.version() + " by " + entry.author();
        }
    }

    /** Publishes changes and says who was first if the race was lost. */
    static long publish(List<Change> changes, Session session) throws CliException {
        FoldResult result = session.publish(changes);
        if (result.status() == FoldResult.Status.CONFLICT) {
            StringBuilder text = new StringBuilder("lost a race, nothing was changed:");
            for (EntryKey key : result.conflicts()) {
                String by =
                        result.state()
                                .entry(key)
                                .map(e -> e.author() + " in " + e.editId())
                                .orElse("a removal");
                text.append("\n  ").append(key).append(" was changed by ").append(by);
            }
            throw new CliException(ExitCode.CONFLICT, text.toString());
        }
        if (!result.isInForce()) {
            throw new CliException(ExitCode.WRONG_INPUT, "refused: " + result.status());
        }
        session.print("in force at offset " + result.state().offset());
        return result.state().offset();
    }

    private static void printChanges(List<Change> changes, Session session) {
        if (changes.isEmpty()) {
            session.print("no changes");
        }
        for (Change change : changes) {
            String what = change.value().map(value -> "= " + value).orElse("removed");
            session.print(change.key() + " " + what);
        }
    }
}
