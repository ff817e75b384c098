package io.cardamomshelf.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the instance responsible for a key among the members by rendezvous hashing: when a member
 * is added or removed, only the keys that it gains or loses change their owner.
 *
 * <p>Use: the takeover of jobs calls {@code Rendezvous.owner(job.value(), members)}. The choice
 * only spreads the load; correctness depends on leases and log records.
 *
 * <p>Stateless and thread-safe.
 */
public final class Rendezvous {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FACTOR_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_FACTOR_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;
    private static final int BYTE_MASK = 0xff;

    private Rendezvous() {}

    /**
     * Returns the member responsible for a key.
     *
     * @param key the key, not null
     * @param members the members' names, not null
     * @return the member, empty if there are none
     */
    public static Optional<String> owner(String key, Collection<String> members) {
        return members.stream()
                .max(
                        Comparator.comparingLong((String member) -> weight(key, member))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long weight(String key, String member) {
        long hash = FNV_OFFSET;
        for (byte octet : (key + '\0' + member).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & BYTE_MASK)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FACTOR_1;
        hash = (hash ^ (hash >>> MIX_SHIFT)) * MIX_FACTOR_2;
        return hash ^ (hash >>> MIX_SHIFT);
    }
}
