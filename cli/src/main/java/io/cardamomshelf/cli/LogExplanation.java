package io.cardamomshelf.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The log lines about one job or other subject, and sentences that explain its outcome and its
 * longest delay. The subcommand {@code explain} prints them.
 *
 * <p>Use: {@code LogExplanation.of(id, lines).conclusions()}.
 *
 * <p>Limits: the clocks of the processes differ by milliseconds, so neighbouring lines may be in
 * the wrong order.
 *
 * <p>Immutable and thread-safe.
 */
final class LogExplanation {

    /**
     * How long before the start of a gap an event may be its cause; a lost answer of the store, for
     * example, is logged before the gap that follows it.
     */
    private static final Duration CAUSE_MARGIN = Duration.ofSeconds(2);

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /** The HTTP status for a call of which it is unknown whether it was carried out. */
    private static final String OUTCOME_UNKNOWN_STATUS = "504";

    /** The HTTP statuses for a submission that was certainly not stored. */
    private static final Set<String> NOT_STORED_STATUSES = Set.of("429", "503");

    private static final Set<String> OPEN_STATES = Set.of("QUEUED", "RUNNING");

    private record Gap(LogLine from, LogLine to) {

        Duration length() {
            return Duration.between(from.at(), to.at());
        }
    }

    private final List<LogLine> subjectLines;
    private final List<LogLine> allLines;

    private LogExplanation(List<LogLine> subjectLines, List<LogLine> allLines) {
        this.subjectLines = subjectLines;
        this.allLines = allLines;
    }

    /** Creates the explanation of a subject from all lines, which must be in time order. */
    static LogExplanation of(String id, List<LogLine> lines) {
        return new LogExplanation(lines.stream().filter(line -> line.isAbout(id)).toList(), lines);
    }

    /** Returns the lines about the subject, in time order. */
    List<LogLine> lines() {
        return subjectLines;
    }

    /**
     * Returns sentences that state the subject's outcome and the longest gap between its events.
     */
    List<String> conclusions() {
        List<String> sentences = new ArrayList<>();
        outcomeSentence().ifPresent(sentences::add);
        longestGap().ifPresent(gap -> sentences.add(gapSentence(gap)));
        return sentences;
    }

    private Optional<String> outcomeSentence() {
        Optional<LogLine> accepted = firstOfType("JOB_ACCEPTED");
        Optional<LogLine> scheduled =
                firstOfType("RUN_ORDERED")
                        .or(() -> firstOfType("PROGRESS_STORED"))
                        .or(() -> accepted);
        if (scheduled.isPresent()) {
            return Optional.of(storedClause(accepted) + unknownOutcomeClause() + endClause() + ".");
        }
        return lastOfType("CALL_REFUSED").map(this::refusalSentence);
    }

    private String refusalSentence(LogLine refused) {
        String status = refused.field("status").orElse("?");
        return "It was refused with "
                + status
                + ": "
                + refused.field("reason").orElse("no reason logged")
                + (isSurelyNotStored() ? "; it was not stored and never runs." : ".");
    }

    /**
     * Returns whether all refused submissions have a status that rules out that they were stored.
     * False if there is none, since a refused read doesn't show whether the job was stored.
     */
    private boolean isSurelyNotStored() {
        return linesOfType("CALL_REFUSED")
                .filter(line -> line.field("method").filter("POST"::equals).isPresent())
                .map(line -> line.field("status").orElse(""))
                // Keeps the first status that does not rule it out, otherwise the last one.
                .reduce((earlier, later) -> NOT_STORED_STATUSES.contains(earlier) ? later : earlier)
                .filter(NOT_STORED_STATUSES::contains)
                .isPresent();
    }

    private static String storedClause(Optional<LogLine> accepted) {
        return accepted.map(
                        line ->
                                "It was stored by "
                                        + line.source()
                                        + " at offset "
                                        + line.field("offset").orElse("?"))
                .orElse("It was stored, though the store's answer was lost");
    }

    private String unknownOutcomeClause() {
        boolean reportedAsUnknown =
                linesOfType("CALL_REFUSED")
                        .anyMatch(
                                line ->
                                        line.field("status")
                                                .filter(OUTCOME_UNKNOWN_STATUS::equals)
                                                .isPresent());
        return reportedAsUnknown ? "; an answer of 504 was given for it, as that wasn't known" : "";
    }

    private String endClause() {
        Optional<LogLine> shown =
                linesOfType("PROGRESS_STORED")
                        .filter(line -> !OPEN_STATES.contains(line.field("state").orElse("")))
                        .reduce((a, b) -> b);
        return shown.map(
                        line ->
                                "; shown as "
                                        + line.field("state").orElse("?")
                                        + durationClause(line))
                .orElse("; no end of it is logged");
    }

    private String durationClause(LogLine end) {
        return " after " + formatSeconds(Duration.between(subjectLines.get(0).at(), end.at()));
    }

    private Optional<Gap> longestGap() {
        Optional<Gap> longest = Optional.empty();
        for (int i = 1; i < subjectLines.size(); i++) {
            Gap gap = new Gap(subjectLines.get(i - 1), subjectLines.get(i));
            if (longest.isEmpty() || gap.length().compareTo(longest.get().length()) > 0) {
                longest = Optional.of(gap);
            }
        }
        return longest;
    }

    private String gapSentence(Gap gap) {
        Map<String, Integer> contextCounts = new LinkedHashMap<>();
        for (LogLine line : allLines) {
            boolean within =
                    line.at().isAfter(gap.from().at().minus(CAUSE_MARGIN))
                            && line.at().isBefore(gap.to().at());
            if (within && line.isContext()) {
                contextCounts.merge(line.type(), 1, Integer::sum);
            }
        }
        String counts =
                contextCounts.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + entry.getKey())
                        .collect(Collectors.joining(", "));
        return "Its longest gap is "
                + formatSeconds(gap.length())
                + ", from "
                + gap.from().type()
                + " to "
                + gap.to().type()
                + "; meanwhile: "
                + (counts.isEmpty() ? "nothing of processes, store or leadership" : counts)
                + ".";
    }

    private Optional<LogLine> firstOfType(String type) {
        return linesOfType(type).findFirst();
    }

    private Optional<LogLine> lastOfType(String type) {
        return linesOfType(type).reduce((a, b) -> b);
    }

    private Stream<LogLine> linesOfType(String type) {
        return subjectLines.stream().filter(line -> line.type().equals(type));
    }

    private static String formatSeconds(Duration length) {
        return length.toMillis() / MILLIS_PER_SECOND + " s";
    }
}
