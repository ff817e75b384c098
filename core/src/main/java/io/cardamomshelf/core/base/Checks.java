package io.cardamomshelf.core.base;

import java.util.regex.Pattern;

/**
 * Guards that values use in their constructors, with the offending value in each message.
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
     * @param what the key or field that the message names, not null
     * @param value the text, null is refused
     * @return the text
     * @throws IllegalArgumentException if it is no name
     */
    public static String name(String what, String value) {
        notNull(what, value);
        if (value.length() > MAX_NAME_LENGTH || !NAME.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    what
                            + ": '"
                            + abbreviated(value)
                            + "' is no name; allowed are 1 to 64 letters, digits, '.', '_' and '-',"
                            + " starting with a letter or digit");
        }
        return value;
    }

    /**
     * Checks that a number lies in a closed range.
     *
     * @param what the key or field that the message names, not null
     * @param value the number
     * @param min the smallest number allowed
     * @param max the largest number allowed
     * @return the number
     * @throws IllegalArgumentException if it lies outside
     */
    public static long range(String what, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    what + ": " + value + " is out of range; allowed are " + min + " to " + max);
        }
        return value;
    }

    /**
     * Checks that a value is there.
     *
     * @param <T> the value's type
     * @param what the key or field that the message names, not null
     * @param value the value, null is refused
     * @return the value
     * @throws IllegalArgumentException if it is null
     */
    public static <T> T notNull(String what, T value) {
        if (value == null) {
            throw new IllegalArgumentException(what + ": is missing");
        }
        return value;
    }

    private static String abbreviated(String value) {
        return value.length() <= MAX_NAME_LENGTH
                ? value
                : value.substring(0, MAX_NAME_LENGTH) + "...";
    }
}
