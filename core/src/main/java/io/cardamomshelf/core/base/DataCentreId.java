package io.cardamomshelf.core.base;

/**
 * Identifies a data centre, the unit that operators withdraw and restore.
 *
 * <p>Use: {@code DataCentreId.of("jhb-a")}. The text is a {@linkplain Checks#name name}: 1 to 64
 * characters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, not null
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the text is not a name
     */
    public DataCentreId {
        Checks.name("data centre", value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text, not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the text is not a name
     */
    public static DataCentreId of(String value) {
        return new DataCentreId(value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    /** Written out, as the generated method is costly to set up in a restarted process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof DataCentreId that && value.equals(that.value);
    }

    /** Written out for the same reason as {@link #equals}. */
    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
