package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.QueuePolicy;
import java.util.Comparator;
import java.util.Set;
import java.util.function.Function;

/**
 * The order in which waiting groups get capacity.
 *
 * <p>If organisations have weights, {@link FairTurns} orders work of equal priority by their shares
 * while there is more of it than capacity. Within an organisation, and without weights, the order
 * is this one.
 *
 * <p>Urgent work within its organisation's guarantee comes first, then the order is by priority.
 * Urgent work of one priority is ordered by acceptance, as is work that runs as many single tasks:
 * these use what is left beside gangs, and a job that has partly run shouldn't wait behind others.
 *
 * <p>Gangs and single tasks of less urgent jobs are ordered by the latest start that meets the
 * objective. Those that can't meet it any more come after those that can, as under overload each
 * late job would make the next one late too. A job that has starved no longer comes after others.
 */
final class PlacementOrder {

    private final Set<OrganisationId> withinGuarantee;
    private final Function<TaskGroup, QueuePolicy> policies;
    private final ClockReading now;

    /**
     * Creates an order for one round.
     *
     * @param withinGuarantee the organisations whose urgent jobs fit into their guarantee
     * @param policies the policy of a group's queue
     */
    PlacementOrder(
            Set<OrganisationId> withinGuarantee,
            Function<TaskGroup, QueuePolicy> policies,
            ClockReading now) {
        this.withinGuarantee = withinGuarantee;
        this.policies = policies;
        this.now = now;
    }

    Comparator<TaskGroup> comparator() {
        return Comparator.<TaskGroup, Boolean>comparing(group -> !isGuaranteed(group))
                .thenComparing(this::priority)
                .thenComparing(this::isLate)
                .thenComparing(this::rankMillis)
                .thenComparing(group -> group.owner().job().acceptedMillis())
                .thenComparing(group -> group.owner().job().id())
                .thenComparing(TaskGroup::occurrence)
                .thenComparing(TaskGroup::step);
    }

    /** Whether groups have the same priority, and the same part in a guarantee. */
    boolean haveEqualRank(TaskGroup first, TaskGroup second) {
        return priority(first) == priority(second) && isGuaranteed(first) == isGuaranteed(second);
    }

    /** Whether a group is urgent and within its organisation's guarantee. */
    boolean isGuaranteed(TaskGroup group) {
        return priority(group) == 0 && withinGuarantee.contains(group.owner().job().organisation());
    }

    private boolean isLate(TaskGroup group) {
        return isOrderedByObjective(group)
                && now.wallMillis() > group.latestStartMillis()
                && !group.hasStarved(now);
    }

    private long rankMillis(TaskGroup group) {
        return isOrderedByObjective(group)
                ? group.latestStartMillis()
                : group.owner().job().acceptedMillis();
    }

    private boolean isOrderedByObjective(TaskGroup group) {
        return priority(group) > 0 && group.isPlacedTogether() && group.hasEstimate();
    }

    private int priority(TaskGroup group) {
        return policies.apply(group).priority();
    }
}
