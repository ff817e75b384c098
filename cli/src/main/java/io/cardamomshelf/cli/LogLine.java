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
 * One event of a process's log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param at when it happened, by the clock of its machine, not null
 * @param source the file that it stands in, not null
 * @param event its number
 * @param type its name, not null
 * @param fields its other fields, in the order in which they were written, not null
 */
record LogLine(Instant at, String source, int event, String type, Map<String, String> fields) {

    /**
     * A line as it is printed in JSON.
     *
     * @param at when it happened, in the form of ISO 8601
     * @param source the file that it stands in
     * @param event its number
     * @param type its name
     * @param fields its other fields
     */
    record View(String at, String source, int event, String type, Map<String, String> fields) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> FRAME = List.of("at", "message", "level", "event");
    private static final int THOUSAND = 1_000;

    /**
     * Parses a line; what isn't an event is left out, as libraries write lines of their own.
     *
     * @return the event, empty if the line is none
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
                                if (!FRAME.contains(field.getKey())) {
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

    /** Whether it is about a job, task, worker or machine. */
    boolean isAbout(String id) {
        return fields.values().stream()
                .anyMatch(
                        value ->
                                value.equals(id)
                                        || value.startsWith(id + ".")
                                        || value.endsWith("/" + id)
                                        || value.endsWith(":" + id));
    }

    /** Whether it tells of a process, the store or the leadership, which all jobs depend on. */
    boolean isContext() {
        return event / THOUSAND <= 3;
    }

    View view() {
        return new View(at.toString(), source, event, type, fields);
    }

    /** Returns a field's value, empty if the line has none. */
    Optional<String> field(String name) {
        return Optional.ofNullable(fields.get(name));
    }

    @Override
    public String toString() {
        String rest =
                fields.entrySet().stream()
                        .map(field -> field.getKey() + "=" + field.getValue())
                        .collect(Collectors.joining(" "));
        return (at + " " + source + " " + event + " " + type + " " + rest).trim();
    }
}
