package io.cardamomshelf.core.base;

/**
 * Identifies an organisation, which has a plan and submits requests and jobs.
 *
 * <p>Use: {@code OrganisationId.of("rotating-savings")}. The text is a {@linkplain Checks#name
 * name}: 1 to 64 characters.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value the text, not null
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the text is not a name
     */
    public OrganisationId {
        Checks.name("organisation", value);
    }

    /**
     * Returns the identifier with the given text.
     *
     * @param value the text, not null
     * @return the identifier, never null
     * @throws IllegalArgumentException if the text is not a name
     */
    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    /** Written out, as the generated method is costly to set up in a restarted process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof OrganisationId that && value.equals(that.value);
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
