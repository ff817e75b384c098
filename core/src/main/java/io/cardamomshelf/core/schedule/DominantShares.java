package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.schedule.RecentUsage.Amount;
import io.cardamomshelf.core.task.Resources;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The weighted dominant shares of the organisations in one round: the largest of an organisation's
 * shares of cores, memory and accelerators, divided by its weight. Its usage is the current one,
 * with what the round starts, or the recent one if that is higher.
 */
final class DominantShares {

    /** The weight of organisations without one, if others have one. */
    private static final double DEFAULT_WEIGHT = 1;

    private final Map<OrganisationId, OrganisationLimits> limits;
    private final OrganisationUsage usage;
    private final RecentUsage recentUsage;
    private final Map<OrganisationId, Amount> charged = new HashMap<>();
    private Resources capacity = Resources.NONE;
    private Resources free = Resources.NONE;

    DominantShares(
            Map<OrganisationId, OrganisationLimits> limits,
            OrganisationUsage usage,
            RecentUsage recentUsage,
            Collection<WorkerState> workers) {
        this.limits = limits;
        this.usage = usage;
        this.recentUsage = recentUsage;
        for (WorkerState worker : workers) {
            if (worker.isRegistered()) {
                capacity = capacity.plusSaturated(worker.info().capacity());
                free = free.plus(worker.free());
            }
        }
    }

    /** Whether the waiting tasks of the groups need more than what is free of any resource. */
    boolean isExceededBy(Collection<TaskGroup> groups) {
        Amount needed = Amount.NONE;
        for (TaskGroup group : groups) {
            needed = needed.plus(Amount.of(group.spec().demand()), group.waitingTasks().size());
        }
        return needed.cpuMillis() > free.cpuMillis()
                || needed.memoryMb() > free.memoryMb()
                || needed.accelerators() > free.accelerators();
    }

    /** The weighted share of an organisation, with what the round has started of it. */
    double of(OrganisationId organisation) {
        Amount current =
                Amount.of(usage.of(organisation))
                        .max(recentUsage.average(organisation))
                        .plus(charged.getOrDefault(organisation, Amount.NONE), 1);
        OrganisationLimits limit = limits.getOrDefault(organisation, OrganisationLimits.NONE);
        double weight = limit.hasWeight() ? limit.weight() : DEFAULT_WEIGHT;
        return current.dominantShare(capacity) / weight;
    }

    /** Counts tasks that the round starts, or for which it holds capacity. */
    void charge(TaskGroup group, int tasks) {
        Amount demand = Amount.of(group.spec().demand());
        charged.merge(
                group.owner().job().organisation(),
                Amount.NONE.plus(demand, tasks),
                (before, added) -> before.plus(added, 1));
    }

    /** How many tasks of a group have the given share of the capacity, at least one. */
    int tasksWithShare(TaskGroup group, double share) {
        double taskShare = Amount.of(group.spec().demand()).dominantShare(capacity);
        return taskShare * group.spec().count() <= share
                ? group.spec().count()
                : (int) Math.max(1, share / taskShare);
    }
}
