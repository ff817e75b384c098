package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers when this process saw in the registry that a worker had restarted under its identifier.
 * Neither the clock nor the start time of an incarnation tells how long it has been up: the one may
 * start anywhere, the other is by the time of day of its machine.
 *
 * <p>Use: {@link SchedulerCandidate} records each entry, also while another process is the
 * scheduler. Entries that were removed are remembered for a while, as their workers may have runs.
 *
 * <p>Limits: a restart before this process began isn't known. Not thread-safe: belongs to the
 * instance's event loop.
 */
final class ObservedRestarts {

    /** The time of a restart that this process hasn't seen: longer ago than any other time. */
    static final long LONG_AGO_MILLIS = Long.MIN_VALUE / 2;

    /** How long a worker without an entry is remembered, in milliseconds: longer than leases. */
    private static final long KEPT_MILLIS = 60_000;

    private record Incarnation(long bornMillis, long startedMillis, long lastSeenMillis) {}

    /** The newest incarnations, least recently seen first. */
    private final Map<WorkerId, Incarnation> incarnations = new LinkedHashMap<>();

    /** Records an entry that was read now, on the monotonic clock. */
    void record(WorkerInfo entry, long nowMillis) {
        Incarnation known = incarnations.remove(entry.id());
        boolean hasRestarted = known != null && known.bornMillis() != entry.bornMillis();
        long startedMillis = hasRestarted ? nowMillis : startedMillis(known);
        incarnations.put(entry.id(), new Incarnation(entry.bornMillis(), startedMillis, nowMillis));
        dropOld(nowMillis);
    }

    /**
     * Returns when a worker's newest incarnation had started at the latest, on the monotonic clock.
     */
    long startedMillis(WorkerId worker) {
        return startedMillis(incarnations.get(worker));
    }

    private static long startedMillis(Incarnation known) {
        return known == null ? LONG_AGO_MILLIS : known.startedMillis();
    }

    private void dropOld(long nowMillis) {
        Iterator<Incarnation> oldest = incarnations.values().iterator();
        while (oldest.hasNext() && oldest.next().lastSeenMillis() < nowMillis - KEPT_MILLIS) {
            oldest.remove();
        }
    }
}
