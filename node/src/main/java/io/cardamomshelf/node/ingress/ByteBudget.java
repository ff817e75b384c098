package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.Clock;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the bytes that clients make an instance hold, over all connections.
 *
 * <p>Use: {@code if (!budget.hold(body, received)) reject(body)}, then {@code budget.keep(body)}
 * when it is complete, and {@code budget.release(body)}.
 *
 * <p>When the limit is reached, holders that have been incomplete for long are evicted, the oldest
 * first; if there is none, the new demand is refused. So clients that stall don't keep others out,
 * and those that are about to finish aren't disturbed.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ByteBudget {

    /** Something that holds bytes for a client. */
    @FunctionalInterface
    interface Holder {

        /** Frees the bytes, which no longer count. */
        void evict();
    }

    /**
     * After this time an incomplete holder may be evicted, in milliseconds. Callers' bodies arrive
     * within some round trips of at most 60 ms each.
     */
    static final long SLOW_MILLIS = 1_000;

    /**
     * Half of the budget is reserved for holders up to this size, in bytes, as most callers are.
     */
    static final long USUAL_BYTES = 16_384;

    private static final class Share {
        private final long sinceMillis;
        private long bytes;

        private Share(long sinceMillis) {
            this.sinceMillis = sinceMillis;
        }
    }

    private final long limitBytes;
    private final Clock clock;
    private final Map<Holder, Share> incomplete = new LinkedHashMap<>();
    private final Map<Holder, Share> complete = new LinkedHashMap<>();
    private long heldBytes;

    ByteBudget(long limitBytes, Clock clock) {
        this.limitBytes = limitBytes;
        this.clock = clock;
    }

    long heldBytes() {
        return heldBytes;
    }

    /**
     * Changes how many bytes a holder has. If there is no room the holder is released and the
     * result is false. A holder that is the only one is always admitted.
     */
    boolean hold(Holder holder, long bytes) {
        if (bytes == 0) {
            release(holder);
            return true;
        }
        Share share = incomplete.computeIfAbsent(holder, key -> new Share(clock.monotonicMillis()));
        if (!makeRoom(holder, share, bytes)) {
            release(holder);
            return false;
        }
        heldBytes += bytes - share.bytes;
        share.bytes = bytes;
        return true;
    }

    /** Keeps a holder's bytes until they are released: it is complete and isn't evicted. */
    void keep(Holder holder) {
        Share share = incomplete.remove(holder);
        if (share != null) {
            complete.put(holder, share);
        }
    }

    /** Frees what a holder has, if anything. */
    void release(Holder holder) {
        Share share = incomplete.remove(holder);
        if (share == null) {
            share = complete.remove(holder);
        }
        if (share != null) {
            heldBytes -= share.bytes;
        }
    }

    private boolean makeRoom(Holder holder, Share share, long bytes) {
        long limit = bytes > USUAL_BYTES ? limitBytes / 2 : limitBytes;
        while (bytes > share.bytes
                && heldBytes > share.bytes
                && heldBytes - share.bytes + bytes > limit) {
            Optional<Holder> slowest = slowest();
            if (slowest.isEmpty() || slowest.get() == holder) {
                return false;
            }
            release(slowest.get());
            slowest.get().evict();
        }
        return true;
    }

    private Optional<Holder> slowest() {
        long latestMillis = clock.monotonicMillis() - SLOW_MILLIS;
        return incomplete.entrySet().stream()
                .findFirst()
                .filter(entry -> entry.getValue().sinceMillis <= latestMillis)
                .map(Map.Entry::getKey);
    }
}
