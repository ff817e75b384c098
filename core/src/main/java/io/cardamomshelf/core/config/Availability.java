package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;

/**
 * Whether new work may start in a data centre. A data centre without an entry is open.
 *
 * <p>Use: {@code new Availability(false, "power work")}, keyed by the data centre, withdraws it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param in true if new work may start in the data centre
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
