package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * A caller's request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param organisation whose request it is, not null
 * @param idempotent whether a second run does no harm
 * @param key the idempotency key, empty for an idempotent request without one, not null
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param payload what an upstream runs, not null
 */
record RequestCall(
        OrganisationId organisation,
        boolean idempotent,
        String key,
        long deadlineMillis,
        String payload) {

    private static final int MAX_KEY = 128;

    RequestCall {
        Checks.notNull("organisation", organisation);
        Checks.notNull("key", key);
        Checks.range("Idempotency-Key length", key.length(), idempotent ? 0 : 1, MAX_KEY);
        Checks.notNull("payload", payload);
    }
}
