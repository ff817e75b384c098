package io.cardamomshelf.client;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Says that a text can't be read: where, which field, and why. */
public final class FormatException extends Exception {

    private static final long serialVersionUID = 1L;

    private static final Pattern GUARDED = Pattern.compile("([A-Za-z]+): ");

    private final String field;
    private final int line;

    FormatException(String field, String message) {
        this(field, 0, message);
    }

    private FormatException(String field, int line, String message) {
        super(message);
        this.field = field;
        this.line = line;
    }

    static FormatException of(JsonProcessingException cause) {
        JsonLocation location = cause.getLocation();
        int line = location == null ? 0 : Math.max(0, location.getLineNr());
        return new FormatException(field(cause), line, reason(cause));
    }

    /**
     * Returns the path of the field.
     *
     * @return the path with dots, never null, empty if the text as a whole can't be read
     */
    public String field() {
        return field;
    }

    /**
     * Returns the line.
     *
     * @return the line from 1, 0 if unknown
     */
    public int line() {
        return line;
    }

    /** Returns the path of the key, to the innermost one that a guard's message names. */
    String key() {
        String inner = guardedKey();
        if (inner.isEmpty() || field.equals(inner) || field.endsWith("." + inner)) {
            return field;
        }
        return field.isEmpty() ? inner : field + "." + inner;
    }

    /** Returns the message without the key. */
    String reason() {
        String inner = guardedKey();
        return inner.isEmpty() ? getMessage() : getMessage().substring(inner.length() + 2);
    }

    /** A guard's message starts with the key that it refused, as one word before a colon. */
    private String guardedKey() {
        Matcher matcher = GUARDED.matcher(getMessage());
        return matcher.lookingAt() ? matcher.group(1) : "";
    }

    private static String field(JsonProcessingException cause) {
        if (!(cause instanceof JsonMappingException mapping)) {
            return "";
        }
        return mapping.getPath().stream()
                .map(
                        step ->
                                step.getFieldName() == null
                                        ? "" + step.getIndex()
                                        : step.getFieldName())
                .collect(Collectors.joining("."));
    }

    private static String reason(JsonProcessingException cause) {
        Throwable root = cause.getCause();
        if (root instanceof IllegalArgumentException) {
            return root.getMessage();
        }
        if (cause instanceof UnrecognizedPropertyException unknown) {
            return "is unknown; allowed are "
                    + unknown.getKnownPropertyIds().stream()
                            .map(Object::toString)
                            .sorted()
                            .collect(Collectors.joining(", "));
        }
        if (cause instanceof MismatchedInputException mismatch
                && mismatch.getTargetType() != null) {
            return "has the wrong type; allowed is " + mismatch.getTargetType().getSimpleName();
        }
        return "can't be read: " + firstLine(cause.getOriginalMessage());
    }

    private static String firstLine(String text) {
        return text == null ? "" : text.lines().findFirst().orElse("");
    }
}
