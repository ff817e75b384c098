package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;

/**
 * Whether a data centre may be used at all; a data centre without an entry may be.
 *
 * <p>Use: {@code new Availability(false, "power work")}, keyed by the data centre, takes it out.
 *
 * <p>Immutable and thread-safe.
 *
 * @param in true if new work may start there
 * @param reason the operators' reason, not null, may be empty, at most 200 characters
 */
public record Availability(boolean in, String reason) implements ListValue {

    private static final int MAX_REASON = 200;

    /**
     * Creates an availability.
     *
     * @throws IllegalArgumentException if the reason is missing or too long
     */
    public Availability {
        Checks.notNull("reason", reason);
        Checks.range("reason length", reason.length(), 0, MAX_REASON);
    }
}
