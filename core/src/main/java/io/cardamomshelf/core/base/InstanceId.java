package io.cardamomshelf.core.base;

/**
 * Identifies one process of an entry instance; a restarted process has a new identifier.
 *
 * <p>Use: {@code InstanceId.of("entry-1")}. The text is a {@linkplain Checks#name name}: 1 to 64
 * characters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, not null
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the text is not a name
     */
    public InstanceId {
        Checks.name("instance", value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text, not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the text is not a name
     */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
