package io.cardamomshelf.core.base;

/**
 * Identifies a job from its acceptance to its end, on all instances and workers.
 *
 * <p>Use: {@code JobId.of("j-7f3a")}. The text is a {@linkplain Checks#name name}: 1 to 64
 * characters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, not null
 */
public record JobId(String value) implements Comparable<JobId> {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the text is not a name
     */
    public JobId {
        Checks.name("job", value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text, not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the text is not a name
     */
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    /** Written out, as the generated method is costly to set up in a restarted process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof JobId that && value.equals(that.value);
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
