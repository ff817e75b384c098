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
 * What logs tell of one job or other subject, and what its outcome came from.
 *
 * <p>Use: {@code LogStory.of(id, lines).conclusions()}.
 *
 * <p>Limits: clocks of machines differ by milliseconds, so neighbouring lines may stand in the
 * wrong order. Immutable and thread-safe.
 */
final class LogStory {

    /** How long before a gap begins its cause may have been logged: a store's lost answer. */
    private static final Duration MARGIN = Duration.ofSeconds(2);

    private static final double MILLIS = 1_000.0;

    /** The status that leaves open whether a call was carried out. */
    private static final String UNKNOWN = "504";

    /** The statuses of a submission that was certainly not stored. */
    private static final Set<String> NOT_STORED = Set.of("429", "503");

    private static final Set<String> UNDER_WAY = Set.of("QUEUED", "RUNNING");

    private record Gap(LogLine from, LogLine to) {

        Duration length() {
            return Duration.between(from.at(), to.at());
        }
    }

    private final List<LogLine> own;
    private final List<LogLine> all;

    private LogStory(List<LogLine> own, List<LogLine> all) {
        this.own = own;
        this.all = all;
    }

    /** Picks the lines about a subject out of all lines, which are in the order of time. */
    static LogStory of(String id, List<LogLine> lines) {
        return new LogStory(lines.stream().filter(line -> line.isAbout(id)).toList(), lines);
    }

    /** Returns the lines about the subject, in the order of time. */
    List<LogLine> lines() {
        return own;
    }

    /** Returns sentences: what became of it, and what its time went on. */
    List<String> conclusions() {
        List<String> sentences = new ArrayList<>();
        outcome().ifPresent(sentences::add);
        longestGap().ifPresent(gap -> sentences.add(sentence(gap)));
        return sentences;
    }

    private Optional<String> outcome() {
        Optional<LogLine> accepted = first("JOB_ACCEPTED");
        Optional<LogLine> scheduled =
                first("RUN_ORDERED").or(() -> first("PROGRESS_STORED")).or(() -> accepted);
        if (scheduled.isPresent()) {
            return Optional.of(stored(accepted) + unknownAnswer() + end() + ".");
        }
        return last("CALL_REFUSED").map(this::refusal);
    }

    private String refusal(LogLine refused) {
        String status = refused.field("status").orElse("?");
        return "It was refused with "
                + status
                + ": "
                + refused.field("reason").orElse("no reason logged")
                + (isSurelyNotStored() ? "; it was not stored and never runs." : ".");
    }

    /** Only a refused submission says so, and none whose fate is open may stand beside it. */
    private boolean isSurelyNotStored() {
        return all("CALL_REFUSED")
                .filter(line -> line.field("method").filter("POST"::equals).isPresent())
                .map(line -> line.field("status").orElse(""))
                .reduce((a, b) -> NOT_STORED.contains(a) ? b : a)
                .filter(NOT_STORED::contains)
                .isPresent();
    }

    private static String stored(Optional<LogLine> accepted) {
        return accepted.map(
                        line ->
                                "It was stored by "
                                        + line.source()
                                        + " at offset "
                                        + line.field("offset").orElse("?"))
                .orElse("It was stored, though the store's answer was lost");
    }

    private String unknownAnswer() {
        boolean given =
                all("CALL_REFUSED")
                        .anyMatch(line -> line.field("status").filter(UNKNOWN::equals).isPresent());
        return given ? "; an answer of 504 was given for it, as that wasn't known" : "";
    }

    private String end() {
        Optional<LogLine> shown =
                all("PROGRESS_STORED")
                        .filter(line -> !UNDER_WAY.contains(line.field("state").orElse("")))
                        .reduce((a, b) -> b);
        return shown.map(line -> "; shown as " + line.field("state").orElse("?") + after(line))
                .orElse("; no end of it is logged");
    }

    private String after(LogLine end) {
        return " after " + seconds(Duration.between(own.get(0).at(), end.at()));
    }

    private Optional<Gap> longestGap() {
        Optional<Gap> longest = Optional.empty();
        for (int i = 1; i < own.size(); i++) {
            Gap gap = new Gap(own.get(i - 1), own.get(i));
            if (longest.isEmpty() || gap.length().compareTo(longest.get().length()) > 0) {
                longest = Optional.of(gap);
            }
        }
        return longest;
    }

    private String sentence(Gap gap) {
        Map<String, Integer> meanwhile = new LinkedHashMap<>();
        for (LogLine line : all) {
            boolean within =
                    line.at().isAfter(gap.from().at().minus(MARGIN))
                            && line.at().isBefore(gap.to().at());
            if (within && line.isContext()) {
                meanwhile.merge(line.type(), 1, Integer::sum);
            }
        }
        String counts =
                meanwhile.entrySet().stream()
                        .map(entry -> entry.getValue() + " " + entry.getKey())
                        .collect(Collectors.joining(", "));
        return "Its longest gap is "
                + seconds(gap.length())
                + ", from "
                + gap.from().type()
                + " to "
                + gap.to().type()
                + "; meanwhile: "
                + (counts.isEmpty() ? "nothing of processes, store or leadership" : counts)
                + ".";
    }

    private Optional<LogLine> first(String type) {
        return all(type).findFirst();
    }

    private Optional<LogLine> last(String type) {
        return all(type).reduce((a, b) -> b);
    }

    private Stream<LogLine> all(String type) {
        return own.stream().filter(line -> line.type().equals(type));
    }

    private static String seconds(Duration length) {
        return length.toMillis() / MILLIS + " s";
    }
}
