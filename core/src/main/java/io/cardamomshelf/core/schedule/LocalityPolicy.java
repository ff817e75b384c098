package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.StepSpec;
import java.util.Collection;
import java.util.List;

/**
 * Decides whether a group waits for its preferred rack, or runs in another one at lower speed.
 *
 * <p>A gang's preferred racks may be busy while other racks have free capacity. A non-local
 * placement makes the callers wait for longer and occupies capacity for several times as long. A
 * group therefore waits if a preferred rack is expected to be free within the extra time that a
 * non-local placement would take, counted from now. How long the group has waited already matters
 * only once it has starved; then it no longer waits. Urgent groups, and all groups while the
 * service is mostly idle, wait for a fixed time at most.
 */
final class LocalityPolicy {

    /** The factor by which work takes longer outside its preferred rack, as the platform states. */
    private static final long NON_LOCAL_SLOWDOWN = 3;

    /** How long urgent work waits for its preferred rack, in milliseconds. */
    private static final long URGENT_MAX_WAIT_MILLIS = 1_200;

    /**
     * How long work waits for its preferred rack while the service is mostly idle, in milliseconds:
     * work doesn't wait beside free capacity for 3 s.
     */
    private static final long IDLE_MAX_WAIT_MILLIS = 2_000;

    private final Forecast forecast;
    private final ClockReading now;

    LocalityPolicy(Forecast forecast, ClockReading now) {
        this.forecast = forecast;
        this.now = now;
    }

    /** Whether the tasks will fit in a preferred rack soon enough. */
    boolean isWorthWaiting(
            TaskGroup group, int count, QueuePolicy policy, Collection<List<WorkerState>> racks) {
        if (group.idleDelayMillis(now.monotonicMillis()) >= IDLE_MAX_WAIT_MILLIS) {
            return false;
        }
        if (policy.priority() == 0) {
            return now.wallMillis() - group.readyMillis() < URGENT_MAX_WAIT_MILLIS
                    && racks.stream().anyMatch(rack -> TaskPlacer.fitIfEmpty(rack, group, count));
        }
        long latestMillis = now.monotonicMillis() + nonLocalExtraMillis(group);
        return !group.hasStarved(now)
                && forecast.earliestStart(group, count, racks)
                        .filter(start -> start.freeMillis() <= latestMillis)
                        .isPresent();
    }

    /** The additional work of the tasks outside their preferred rack, in core-milliseconds. */
    static long nonLocalExtraWork(TaskGroup group, int count) {
        return nonLocalExtraMillis(group) * Run.coreEquivalents(group.spec()) * count;
    }

    /** Whether a run is outside its data's rack, or its gang is spread over racks but shouldn't. */
    static boolean isNonLocal(Run run) {
        String rack = run.worker.info().rack();
        StepSpec spec = run.group.spec();
        if (!spec.dataRack().isEmpty()) {
            return !spec.dataRack().equals(rack);
        }
        return spec.gang()
                && spec.rackLocal()
                && run.group.runs().stream()
                        .anyMatch(member -> !member.worker.info().rack().equals(rack));
    }

    private static long nonLocalExtraMillis(TaskGroup group) {
        return (NON_LOCAL_SLOWDOWN - 1) * group.expectedMillis();
    }
}
