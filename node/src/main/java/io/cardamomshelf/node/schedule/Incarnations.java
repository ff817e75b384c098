package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.WorkerInfo;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which incarnation of a worker is the current one.
 *
 * <p>An incarnation is identified by its start time. That is no order, as the time of day of a
 * machine may be set back between two starts. A call shows the order: lists that were asked for
 * after all else that is known are of the current incarnation, and all others have ended. An entry
 * only shows that its incarnation has begun, as it may have been written late.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Incarnations {

    /** How many ended incarnations are remembered. Their entries are late by seconds at most. */
    private static final int MAX_ENDED = 16;

    private long currentBornMillis;

    /** Those of which it isn't certain whether they have ended, beside the current one. */
    private final Set<Long> doubtful = new LinkedHashSet<>();

    private final Set<Long> ended = new LinkedHashSet<>();
    private Optional<WorkerInfo> announced = Optional.empty();
    private long version;

    Incarnations(long bornMillis) {
        this.currentBornMillis = bornMillis;
    }

    long currentBornMillis() {
        return currentBornMillis;
    }

    boolean isCurrent(long bornMillis) {
        return bornMillis == currentBornMillis;
    }

    /** Returns whether lists have shown that an incarnation has ended. */
    boolean hasEnded(long bornMillis) {
        return ended.contains(bornMillis);
    }

    /** Returns the version of what is known, which changes with each new incarnation. */
    long version() {
        return version;
    }

    /** Returns whether lists have to show which of two incarnations is the current one. */
    boolean isUndecided() {
        return announced.isPresent();
    }

    /** Makes another incarnation the current one, on the evidence of its entry. */
    void begin(long bornMillis) {
        doubtful.add(currentBornMillis);
        currentBornMillis = bornMillis;
        version++;
    }

    /**
     * Keeps an entry of another incarnation, which may be the current one. Returns whether it is
     * the first one of that incarnation.
     */
    boolean announce(WorkerInfo entry) {
        boolean isFirst =
                announced.filter(info -> info.bornMillis() == entry.bornMillis()).isEmpty();
        if (isFirst) {
            takeAnnounced();
            version++;
        }
        announced = Optional.of(entry);
        return isFirst;
    }

    /** Returns the entry that is kept, if any, and keeps it no longer. */
    Optional<WorkerInfo> takeAnnounced() {
        Optional<WorkerInfo> taken = announced;
        taken.ifPresent(info -> doubtful.add(info.bornMillis()));
        announced = Optional.empty();
        return taken;
    }

    /**
     * Makes the incarnation current whose lists were asked for when this version was known. Returns
     * its entry, if that was kept.
     */
    Optional<WorkerInfo> confirm(long bornMillis) {
        Optional<WorkerInfo> entry = takeAnnounced();
        if (!isCurrent(bornMillis)) {
            begin(bornMillis);
        }
        ended.addAll(doubtful);
        ended.remove(bornMillis);
        doubtful.clear();
        while (ended.size() > MAX_ENDED) {
            ended.remove(ended.iterator().next());
        }
        return entry.filter(info -> isCurrent(info.bornMillis()));
    }
}
