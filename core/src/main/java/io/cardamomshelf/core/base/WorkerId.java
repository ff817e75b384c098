package io.cardamomshelf.core.base;

/**
 * Identifies a worker.
 *
 * <p>Use: {@code WorkerId.of("jhb-a-r1-w3")}. The text is a {@linkplain Checks#name name}: 1 to 64
 * characters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, not null
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the text is not a name
     */
    public WorkerId {
        Checks.name("worker", value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text, not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the text is not a name
     */
    public static WorkerId of(String value) {
        return new WorkerId(value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    /** Written out, as the generated method is costly to set up in a restarted process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof WorkerId that && value.equals(that.value);
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
