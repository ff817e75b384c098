package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * The key of one entry of the two lists: its section and its name.
 *
 * <p>Use: {@code EntryKey.plan(organisation)}, or {@code EntryKey.parse("plans/rotating-savings")}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param section the section that contains the entry, not null
 * @param name the name of the entry in its section, not null
 */
public record EntryKey(Section section, String name) implements Comparable<EntryKey> {

    /** A section of the two lists. */
    public enum Section {
        /** The first list: plans by organisation. */
        PLANS("plans", Plan.class),
        /** The second list: grants by organisation. */
        GRANTS("grants", Grant.class),
        /** The second list: availability by data centre. */
        DATA_CENTRES("dataCentres", Availability.class);

        private final String text;
        private final Class<? extends ListValue> valueType;

        Section(String text, Class<? extends ListValue> valueType) {
            this.text = text;
            this.valueType = valueType;
        }

        /**
         * Returns the section's name in files and keys.
         *
         * @return the name, never null
         */
        public String text() {
            return text;
        }

        /**
         * Returns the type of the section's values.
         *
         * @return the type, never null
         */
        public Class<? extends ListValue> valueType() {
            return valueType;
        }
    }

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the section is missing or the name is not a {@linkplain
     *     Checks#name name}
     */
    public EntryKey {
        Checks.notNull("section", section);
        Checks.name("name", name);
    }

    /**
     * Returns the key of an organisation's plan.
     *
     * @param organisation the organisation, not null
     * @return the key, never null
     */
    public static EntryKey plan(OrganisationId organisation) {
        return new EntryKey(Section.PLANS, organisation.value());
    }

    /**
     * Returns the key of an organisation's grant.
     *
     * @param organisation the organisation, not null
     * @return the key, never null
     */
    public static EntryKey grant(OrganisationId organisation) {
        return new EntryKey(Section.GRANTS, organisation.value());
    }

    /**
     * Returns the key of a data centre's availability.
     *
     * @param dataCentre the data centre, not null
     * @return the key, never null
     */
    public static EntryKey dataCentre(DataCentreId dataCentre) {
        return new EntryKey(Section.DATA_CENTRES, dataCentre.value());
    }

    /**
     * Parses a key of the form {@code section/name}.
     *
     * @param text the text, not null
     * @return the key, never null
     * @throws IllegalArgumentException if the text has another form
     */
    public static EntryKey parse(String text) {
        int slash = text.indexOf('/');
        for (Section section : Section.values()) {
            if (slash > 0 && section.text().equals(text.substring(0, slash))) {
                return new EntryKey(section, text.substring(slash + 1));
            }
        }
        throw new IllegalArgumentException(
                "key: '"
                        + text
                        + "' is not a key; allowed are plans/, grants/ and dataCentres/NAME");
    }

    @Override
    public int compareTo(EntryKey other) {
        int bySection = section.compareTo(other.section);
        return bySection != 0 ? bySection : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return section.text() + "/" + name;
    }
}
