package io.cardamomshelf.client;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Thrown for a JSON or YAML text that can't be read; names the line, the field and the reason. */
public final class FormatException extends Exception {

    private static final long serialVersionUID = 1L;

    private static final Pattern KEY_PREFIX = Pattern.compile("([A-Za-z]+): ");

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
     * Returns the path of the field that can't be read.
     *
     * @return the path with dots, never null, empty if the text as a whole can't be read
     */
    public String field() {
        return field;
    }

    /**
     * Returns the line of the field that can't be read.
     *
     * @return the line from 1, 0 if unknown
     */
    public int line() {
        return line;
    }

    /** Returns the path of the field, extended by the key that the message starts with, if any. */
    String key() {
        String namedKey = keyInMessage();
        if (namedKey.isEmpty() || field.equals(namedKey) || field.endsWith("." + namedKey)) {
            return field;
        }
        return field.isEmpty() ? namedKey : field + "." + namedKey;
    }

    /** Returns the message without the key that it starts with. */
    String reason() {
        String namedKey = keyInMessage();
        return namedKey.isEmpty() ? getMessage() : getMessage().substring(namedKey.length() + 2);
    }

    /**
     * Returns the key that the message starts with, empty if there is none. The argument checks of
     * the core write the refused key as one word before a colon.
     */
    private String keyInMessage() {
        Matcher matcher = KEY_PREFIX.matcher(getMessage());
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
