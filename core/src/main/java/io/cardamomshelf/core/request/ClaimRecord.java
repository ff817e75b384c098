package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * A record of the log's claim stream: an attempt's claim of an idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param organisation the organisation that uses the key, not null
 * @param key the idempotency key, 1 to 128 characters, not null
 * @param attempt the unique id of the claiming attempt, not null
 * @param owner the instance that makes the attempt, not null
 */
public record ClaimRecord(
        OrganisationId organisation, String key, String attempt, InstanceId owner) {

    /** The maximum length of a key, in characters. */
    public static final int MAX_KEY = 128;

    /**
     * Creates a claim.
     *
     * @throws IllegalArgumentException if a value is missing or the key is too long
     */
    public ClaimRecord {
        Checks.notNull("organisation", organisation);
        Checks.notNull("key", key);
        Checks.range("key length", key.length(), 1, MAX_KEY);
        Checks.name("attempt", attempt);
        Checks.notNull("owner", owner);
    }
}
