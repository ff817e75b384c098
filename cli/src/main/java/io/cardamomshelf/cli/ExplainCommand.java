package io.cardamomshelf.cli;

import io.cardamomshelf.core.event.Event;
import io.cardamomshelf.core.event.EventType;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Tells in sentences what became of a job, request, edit or worker, from the events about it. */
final class ExplainCommand implements LogReading {

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
    public void declare(OptionParser parser) {
        parser.nonOptions("the id of a job, request, edit or worker");
        LogReading.declareLogs(parser);
    }

    @Override
    public void run(OptionSet options, Session session) throws CliException {
        String id = subject(options);
        MergedTimeline timeline = MergedTimeline.of(session, id);
        timeline.events().forEach(event -> print(event, id, session));
        timeline.printMissing(session);
        if (timeline.events().isEmpty()) {
            throw new CliException(
                    ExitCode.REFUSED, "no instance that answers has an event about " + id);
        }
    }

    @Override
    public void run(OptionSet options, List<LogLine> lines, Output output) throws CliException {
        String id = subject(options);
        LogStory story = LogStory.of(id, lines);
        if (story.lines().isEmpty()) {
            throw new CliException(ExitCode.REFUSED, "the logs have no event about " + id);
        }
        if (output.isJson()) {
            story.lines().stream().map(LogLine::view).forEach(output::printJson);
            story.conclusions().forEach(output::printJson);
            return;
        }
        story.lines().forEach(line -> output.print(line.toString()));
        story.conclusions().forEach(output::print);
    }

    private String subject(OptionSet options) throws CliException {
        List<?> words = options.nonOptionArguments();
        if (words.size() != 1) {
            throw new CliException(ExitCode.WRONG_INPUT, "usage: " + example());
        }
        return (String) words.get(0);
    }

    private static void print(Event event, String id, Session session) {
        Sentence sentence =
                new Sentence(
                        event.time().toString(), event.instance().value(), sentence(event, id));
        if (session.isJson()) {
            session.printJson(sentence);
        } else {
            session.print(sentence.time() + " " + sentence.instance() + ": " + sentence.text());
        }
    }

    private static String sentence(Event event, String id) {
        if (event.subject().equals(id)) {
            return about(event);
        }
        return event.type() == EventType.JOB_RECLAIMED
                ? "Job " + event.subject() + " was stopped with a checkpoint to make room for it."
                : event.type().meaning() + with(" It was about ", event.subject());
    }

    private static String about(Event event) {
        String detail = event.detail();
        return switch (event.type()) {
            case JOB_ACCEPTED -> "It was accepted" + with(" by request ", event.cause()) + ".";
            case JOB_REFUSED -> "It was refused" + with(": ", detail) + ".";
            case JOB_WAITING -> "It waits" + with(": ", detail) + ".";
            case JOB_PLACED -> "It was placed on " + detail + ".";
            case GANG_STARTED -> "All its members run.";
            case GANG_ABORTED -> "Its gang was stopped whole" + with(": ", detail) + ".";
            case JOB_RECLAIMED -> "It was stopped with a checkpoint" + room(event) + ".";
            case JOB_TAKEN_OVER -> "Its owner is gone, another took it over" + with(", ", detail);
            case JOB_ENDED -> "It ended" + with(": ", detail) + ".";
            case JOB_CANCELLED -> "It was cancelled" + with(": ", detail) + ".";
            default -> event.type().meaning() + with(" ", detail);
        };
    }

    private static String room(Event event) {
        return event.cause().isEmpty()
                ? with(", ", event.detail())
                : " to make room for " + event.cause();
    }

    private static String with(String before, String text) {
        String trimmed = text.trim();
        return trimmed.isEmpty() ? "" : before + trimmed;
    }
}
