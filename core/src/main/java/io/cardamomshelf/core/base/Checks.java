package io.cardamomshelf.core.base;

import java.util.regex.Pattern;

/**
 * Argument checks for constructors. The message of each exception contains the rejected value.
 *
 * <p>Use: {@code Checks.range("slots", slots, 1, 64)} as the first line of a compact constructor.
 *
 * <p>Stateless and thread-safe.
 */
public final class Checks {

    /** The longest name, in characters. */
    public static final int MAX_NAME_LENGTH = 64;

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Checks() {}

    /**
     * Checks that a text is a name: 1 to 64 letters, digits, dots, underscores and hyphens, the
     * first a letter or digit.
     *
     * @param field the name of the key or field, for the message, not null
     * @param value the text, rejected if null
     * @return the text
     * @throws IllegalArgumentException if the text is null or not a name
     */
    public static String name(String field, String value) {
        notNull(field, value);
        if (value.length() > MAX_NAME_LENGTH || !NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    field
                            + ": '"
                            + abbreviated(value)
                            + "' is no name; allowed are 1 to 64 letters, digits, '.', '_' and '-',"
                            + " starting with a letter or digit");
        }
        return value;
    }

    /**
     * Checks that a number is in a closed range.
     *
     * @param field the name of the key or field, for the message, not null
     * @param value the number
     * @param min the smallest number allowed
     * @param max the largest number allowed
     * @return the number
     * @throws IllegalArgumentException if the number is outside the range
     */
    public static long range(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    field + ": " + value + " is out of range; allowed are " + min + " to " + max);
        }
        return value;
    }

    /**
     * Checks that a value is not null.
     *
     * @param <T> the value's type
     * @param field the name of the key or field, for the message, not null
     * @param value the value, rejected if null
     * @return the value
     * @throws IllegalArgumentException if it is null
     */
    public static <T> T notNull(String field, T value) {
        if (value == null) {
            throw new IllegalArgumentException(field + ": is missing");
        }
        return value;
    }

    private static String abbreviated(String value) {
        return value.length() <= MAX_NAME_LENGTH
                ? value
                : value.substring(0, MAX_NAME_LENGTH) + "...";
    }
}
