package io.cardamomshelf.cli;

import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.event.Event;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Merges the events of all instances into one time line. */
final class TimelineCommand implements LogReading {

    @Override
    public String name() {
        return "timeline";
    }

    @Override
    public String summary() {
        return "merges the events of all instances into one time line";
    }

    @Override
    public String example() {
        return "timeline --about j-7f3a";
    }

    @Override
    public void declare(OptionParser parser) {
        parser.accepts("about", "the id of a job, request, edit or worker")
                .withRequiredArg()
                .defaultsTo("");
        LogReading.declareLogs(parser);
    }

    @Override
    public void run(OptionSet options, Session session) throws CliException {
        String subject = (String) options.valueOf("about");
        MergedTimeline timeline = MergedTimeline.of(session, subject);
        timeline.events().forEach(event -> print(event, session));
        timeline.printMissing(session);
    }

    @Override
    public void run(OptionSet options, List<LogLine> lines, Output output) {
        String subject = (String) options.valueOf("about");
        for (LogLine line : lines) {
            if (subject.isEmpty() || line.isAbout(subject)) {
                if (output.isJson()) {
                    output.printJson(line.view());
                } else {
                    output.print(line.toString());
                }
            }
        }
    }

    private static void print(Event event, Session session) {
        if (session.isJson()) {
            session.printJson(OperatorViews.EventView.of(event));
            return;
        }
        session.print(
                String.join(
                                " ",
                                event.time().toString(),
                                event.instance().value(),
                                event.type().number() + "",
                                event.type().name(),
                                event.subject(),
                                event.detail())
                        .trim());
    }
}
