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

/** Takes a data centre out or brings it back, and waits until every instance says so. */
final class DataCentreCommand implements Command {

    private static final int WORDS = 2;
    private static final long WAIT_MILLIS = 10_000;
    private static final long PAUSE_MILLIS = 100;

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
    public void declare(OptionParser parser) {
        parser.accepts("reason", "why").withRequiredArg().defaultsTo("");
        parser.nonOptions("out or in, and the data centre");
    }

    @Override
    public void run(OptionSet options, Session session) throws CliException {
        List<?> words = options.nonOptionArguments();
        boolean in = words.contains("in");
        if (words.size() != WORDS || !in && !words.contains("out")) {
            throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
        }
        EntryKey key = key((String) words.get(1));
        long version = session.state().entry(key).map(Entry::version).orElse(0L);
        Availability wanted = new Availability(in, (String) options.valueOf("reason"));
        Change change = new Change(key, version, Optional.of(wanted));
        long offset = ListCommands.publish(List.of(change), session);
        waitForAll(session, offset);
    }

    private static EntryKey key(String name) throws CliException {
        try {
            return EntryKey.dataCentre(DataCentreId.of(name));
        } catch (IllegalArgumentException e) {
            throw new CliException(ExitCode.WRONG_INPUT, e.getMessage());
        }
    }

    private static void waitForAll(Session session, long offset) throws CliException {
        long deadline = System.currentTimeMillis() + WAIT_MILLIS;
        while (true) {
            Map<Endpoint, Optional<OperatorViews.Status>> answers =
                    session.ask(entry -> session.entries().status(entry));
            List<Endpoint> behind =
                    answers.entrySet().stream()
                            .filter(answer -> !isAt(answer.getValue(), offset))
                            .map(Map.Entry::getKey)
                            .toList();
            if (behind.isEmpty()) {
                session.print("in force on all " + answers.size() + " instances");
                return;
            }
            if (System.currentTimeMillis() > deadline) {
                throw new CliException(
                        ExitCode.INCOMPLETE,
                        "not in force within " + WAIT_MILLIS + " ms on " + behind);
            }
            pause();
        }
    }

    private static boolean isAt(Optional<OperatorViews.Status> status, long offset) {
        return status.map(known -> known.configOffset() >= offset).orElse(false);
    }

    private static void pause() throws CliException {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.INCOMPLETE, "interrupted");
        }
    }
}
