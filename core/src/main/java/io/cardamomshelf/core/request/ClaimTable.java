package io.cardamomshelf.core.request;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of idempotency keys, folded from the log in offset order: the first claim of a key
 * wins.
 *
 * <p>Use: append a claim, fold all records up to its offset, then get {@code winner(organisation,
 * key)}. An attempt may run only if it is the winner.
 *
 * <p>Limits: keeps at most {@code capacity} keys and removes the oldest ones. The capacity must
 * exceed the number of keys that are claimed within the log's retention, because a removed key
 * could be claimed again.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ClaimTable {

    private record ClaimKey(OrganisationId organisation, String key) {}

    private static final int MAX_CAPACITY = 100_000_000;

    private final int capacity;
    private final Map<ClaimKey, ClaimRecord> claims = new LinkedHashMap<>();
    private long offset;

    /**
     * Creates an empty table.
     *
     * @param capacity the maximum number of keys, 1 to 100,000,000
     */
    public ClaimTable(int capacity) {
        this.capacity = (int) Checks.range("capacity", capacity, 1, MAX_CAPACITY);
    }

    /**
     * Returns the offset of the last folded record.
     *
     * @return the offset, 0 if none has been folded
     */
    public long offset() {
        return offset;
    }

    /**
     * Folds one record.
     *
     * @param recordOffset the record's offset; the record is ignored if this is not above the
     *     offset of the last one
     * @param claim the claim, not null
     */
    public void fold(long recordOffset, ClaimRecord claim) {
        if (recordOffset <= offset) {
            return;
        }
        offset = recordOffset;
        claims.putIfAbsent(new ClaimKey(claim.organisation(), claim.key()), claim);
        if (claims.size() > capacity) {
            claims.remove(claims.keySet().iterator().next());
        }
    }

    /**
     * Skips a record that can't be parsed.
     *
     * @param recordOffset the record's offset
     */
    public void skip(long recordOffset) {
        offset = Math.max(offset, recordOffset);
    }

    /**
     * Returns the claim that holds a key.
     *
     * @param organisation the organisation that uses the key, not null
     * @param key the key, not null
     * @return the first claim, empty if the key is not claimed
     */
    public Optional<ClaimRecord> winner(OrganisationId organisation, String key) {
        return Optional.ofNullable(claims.get(new ClaimKey(organisation, key)));
    }
}
