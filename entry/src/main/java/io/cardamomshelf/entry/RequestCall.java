package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;

/**
 * A caller's request. Entries also exchange it as JSON.
 *
 * <p>Immutable and thread-safe.
 *
 * @param organisation the organisation that sent it, not null
 * @param idempotent whether the request may run more than once
 * @param key the idempotency key, empty for an idempotent request without one, not null
 * @param deadlineMillis how long the caller waits, in milliseconds
 * @param payload the payload sent to the upstream, not null
 */
record RequestCall(
        OrganisationId organisation,
        boolean idempotent,
        String key,
        long deadlineMillis,
        String payload) {

    private static final int MAX_KEY_LENGTH = 128;

    RequestCall {
        Checks.notNull("organisation", organisation);
        Checks.notNull("key", key);
        Checks.range("Idempotency-Key length", key.length(), idempotent ? 0 : 1, MAX_KEY_LENGTH);
        Checks.notNull("payload", payload);
    }
}
