package io.cardamomshelf.cli;

import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.config.Availability;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.Entry;
import io.cardamomshelf.core.config.EntryKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Withdraws or restores a data centre, and waits until every instance has the new configuration.
 */
final class DataCentreCommand implements Command {

    private static final int ARGUMENT_COUNT = 2;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long POLL_INTERVAL_MILLIS = 100;

    @Override
    public String name() {
        return "data-centre";
    }

    @Override
    public String summary() {
        return "takes a data centre out or brings it back in";
    }

    @Override
    public String example() {
        return "data-centre out jhb-a --reason \"power work\"";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("reason", "why").withRequiredArg().defaultsTo("");
        parser.nonOptions("out or in, and the data centre");
    }

    @Override
    public void run(OptionSet options, CommandContext context) throws CliException {
        List<?> arguments = options.nonOptionArguments();
        boolean restore = arguments.contains("in");
        if (arguments.size() != ARGUMENT_COUNT || !restore && !arguments.contains("out")) {
            throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
        }
        EntryKey key = parseKey((String) arguments.get(1));
        long version = context.readState().entry(key).map(Entry::version).orElse(0L);
        Availability availability = new Availability(restore, (String) options.valueOf("reason"));
        Change change = new Change(key, version, Optional.of(availability));
        long offset = ListCommands.publish(List.of(change), context);
        waitForInstances(context, offset);
    }

    private static EntryKey parseKey(String name) throws CliException {
        try {
            return EntryKey.dataCentre(DataCentreId.of(name));
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.WRONG_INPUT, e.getMessage());
        }
    }

    private static void waitForInstances(CommandContext context, long offset) throws CliException {
        long deadlineMillis = System.currentTimeMillis() + TIMEOUT_MILLIS;
        while (true) {
            Map<Endpoint, Optional<OperatorViews.Status>> answers =
                    context.queryInstances(entry -> context.entryClient().status(entry));
            List<Endpoint> behind =
                    answers.entrySet().stream()
                            .filter(answer -> !hasReachedOffset(answer.getValue(), offset))
                            .map(Map.Entry::getKey)
                            .toList();
            if (behind.isEmpty()) {
                context.print("in force on all " + answers.size() + " instances");
                return;
            }
            if (System.currentTimeMillis() > deadlineMillis) {
                throw new CliException(
                        ExitCode.INCOMPLETE,
                        "not in force within " + TIMEOUT_MILLIS + " ms on " + behind);
            }
            sleepPollInterval();
        }
    }

    private static boolean hasReachedOffset(Optional<OperatorViews.Status> status, long offset) {
        return status.map(reported -> reported.configOffset() >= offset).orElse(false);
    }

    private static void sleepPollInterval() throws CliException {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.INCOMPLETE, "interrupted");
        }
    }
}
