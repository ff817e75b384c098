package io.cardamomshelf.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * An event in the log of a process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param at the time of the event by the local clock of the process, not null
 * @param source the name of the log file, not null
 * @param event the event's number
 * @param type the event's name, not null
 * @param fields the other fields, in the order in which they were written, not null
 */
record LogLine(Instant at, String source, int event, String type, Map<String, String> fields) {

    /**
     * The form in which a line is printed as JSON.
     *
     * @param at the time of the event, in ISO 8601
     * @param source the name of the log file
     * @param event the event's number
     * @param type the event's name
     * @param fields the other fields
     */
    record View(String at, String source, int event, String type, Map<String, String> fields) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> STANDARD_FIELDS = List.of("at", "message", "level", "event");
    private static final int EVENT_GROUP_SIZE = 1_000;

    /** Events numbered below 4000 are about processes, the store and leadership. */
    private static final int LAST_CONTEXT_GROUP = 3;

    /**
     * Parses a line of a log. Lines that aren't events are skipped, because libraries also write to
     * the log.
     *
     * @return the event, empty if the line isn't one
     */
    static Optional<LogLine> parse(String source, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            if (!node.path("event").isInt()) {
                return Optional.empty();
            }
            Map<String, String> fields = new LinkedHashMap<>();
            node.fields()
                    .forEachRemaining(
                            field -> {
                                if (!STANDARD_FIELDS.contains(field.getKey())) {
                                    fields.put(field.getKey(), field.getValue().asText());
                                }
                            });
            return Optional.of(
                    new LogLine(
                            Instant.parse(node.path("at").asText()),
                            source,
                            node.path("event").asInt(),
                            node.path("message").asText(),
                            fields));
        } catch (JsonProcessingException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    /** Returns whether one of the fields names the given job, task, worker or other subject. */
    boolean isAbout(String id) {
        return fields.values().stream()
                .anyMatch(
                        value ->
                                value.equals(id)
                                        || value.startsWith(id + ".")
                                        || value.endsWith("/" + id)
                                        || value.endsWith(":" + id));
    }

    /**
     * Returns whether the event is about a process, the store or leadership, which affect all jobs.
     */
    boolean isContext() {
        return event / EVENT_GROUP_SIZE <= LAST_CONTEXT_GROUP;
    }

    View view() {
        return new View(at.toString(), source, event, type, fields);
    }

    /** Returns the value of a field, empty if the line doesn't have the field. */
    Optional<String> field(String name) {
        return Optional.ofNullable(fields.get(name));
    }

    @Override
    public String toString() {
        String fieldsText =
                fields.entrySet().stream()
                        .map(field -> field.getKey() + "=" + field.getValue())
                        .collect(Collectors.joining(" "));
        return (at + " " + source + " " + event + " " + type + " " + fieldsText).trim();
    }
}
