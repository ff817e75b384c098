package io.cardamomshelf.cli;

import io.cardamomshelf.core.event.Event;
import io.cardamomshelf.core.event.EventType;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Explains the course of a job, request, edit or worker in sentences, from the events about it. */
final class ExplainCommand implements LogCommand {

    private record Sentence(String time, String instance, String text) {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "tells why a job waits, was refused or was moved, in sentences drawn from events";
    }

    @Override
    public String example() {
        return "explain j-7f3a";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.nonOptions("the id of a job, request, edit or worker");
        LogCommand.declareLogsOption(parser);
    }

    @Override
    public void run(OptionSet options, CommandContext context) throws CliException {
        String id = parseSubject(options);
        MergedTimeline timeline = MergedTimeline.of(context, id);
        timeline.events().forEach(event -> print(event, id, context));
        timeline.printMissing(context);
        if (timeline.events().isEmpty()) {
            throw new CliException(
                    ExitCode.REFUSED, "no instance that answers has an event about " + id);
        }
    }

    @Override
    public void run(OptionSet options, List<LogLine> lines, Output output) throws CliException {
        String id = parseSubject(options);
        LogExplanation explanation = LogExplanation.of(id, lines);
        if (explanation.lines().isEmpty()) {
            throw new CliException(ExitCode.REFUSED, "the logs have no event about " + id);
        }
        if (output.isJson()) {
            explanation.lines().stream().map(LogLine::view).forEach(output::printJson);
            explanation.conclusions().forEach(output::printJson);
            return;
        }
        explanation.lines().forEach(line -> output.print(line.toString()));
        explanation.conclusions().forEach(output::print);
    }

    private String parseSubject(OptionSet options) throws CliException {
        List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 1) {
            throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
        }
        return (String) arguments.get(0);
    }

    private static void print(Event event, String id, CommandContext context) {
        Sentence sentence =
                new Sentence(
                        event.time().toString(), event.instance().value(), sentence(event, id));
        if (context.isJson()) {
            context.printJson(sentence);
        } else {
            context.print(sentence.time() + " " + sentence.instance() + ": " + sentence.text());
        }
    }

    private static String sentence(Event event, String id) {
        if (event.subject().equals(id)) {
            return subjectSentence(event);
        }
        return event.type() == EventType.JOB_RECLAIMED
                ? "Job " + event.subject() + " was stopped with a checkpoint to make room for it."
                : event.type().meaning() + prefixIfPresent(" It was about ", event.subject());
    }

    private static String subjectSentence(Event event) {
        String detail = event.detail();
        return switch (event.type()) {
            case JOB_ACCEPTED ->
                    "It was accepted" + prefixIfPresent(" by request ", event.cause()) + ".";
            case JOB_REFUSED -> "It was refused" + prefixIfPresent(": ", detail) + ".";
            case JOB_WAITING -> "It waits" + prefixIfPresent(": ", detail) + ".";
            case JOB_PLACED -> "It was placed on " + detail + ".";
            case GANG_STARTED -> "All its members run.";
            case GANG_ABORTED -> "Its gang was stopped whole" + prefixIfPresent(": ", detail) + ".";
            case JOB_RECLAIMED -> "It was stopped with a checkpoint" + reclaimReason(event) + ".";
            case JOB_TAKEN_OVER ->
                    "Its owner is gone, another took it over" + prefixIfPresent(", ", detail);
            case JOB_ENDED -> "It ended" + prefixIfPresent(": ", detail) + ".";
            case JOB_CANCELLED -> "It was cancelled" + prefixIfPresent(": ", detail) + ".";
            default -> event.type().meaning() + prefixIfPresent(" ", detail);
        };
    }

    private static String reclaimReason(Event event) {
        return event.cause().isEmpty()
                ? prefixIfPresent(", ", event.detail())
                : " to make room for " + event.cause();
    }

    private static String prefixIfPresent(String prefix, String text) {
        String trimmed = text.trim();
        return trimmed.isEmpty() ? "" : prefix + trimmed;
    }
}
