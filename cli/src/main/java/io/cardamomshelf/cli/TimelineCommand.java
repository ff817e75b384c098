package io.cardamomshelf.cli;

import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.event.Event;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints the events of all instances, or of collected log files, as one timeline. */
final class TimelineCommand implements LogCommand {

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
    public void declareOptions(OptionParser parser) {
        parser.accepts("about", "the id of a job, request, edit or worker")
                .withRequiredArg()
                .defaultsTo("");
        LogCommand.declareLogsOption(parser);
    }

    @Override
    public void run(OptionSet options, CommandContext context) throws CliException {
        String subject = (String) options.valueOf("about");
        MergedTimeline timeline = MergedTimeline.of(context, subject);
        timeline.events().forEach(event -> print(event, context));
        timeline.printMissing(context);
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

    private static void print(Event event, CommandContext context) {
        if (context.isJson()) {
            context.printJson(OperatorViews.EventView.of(event));
            return;
        }
        context.print(
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
