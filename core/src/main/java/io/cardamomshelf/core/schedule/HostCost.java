package io.cardamomshelf.core.schedule;

import java.util.Collection;
import java.util.List;

/**
 * How much longer a task runs on one worker than on another, for reasons other than its rack.
 *
 * <p>Use: {@link TaskPlacer} adds the cost to the capacity that a worker would have left, so that
 * of similar workers the one with the lower cost is chosen. A cost never keeps a task waiting.
 */
@FunctionalInterface
interface HostCost {

    /** No difference between workers. */
    HostCost NONE = (group, worker) -> 0;

    /**
     * Returns the additional run time of a task of a group on a worker, as a share of its run time:
     * 0 for none, negative for a faster worker.
     */
    double extraTimeShare(TaskGroup group, WorkerState worker);

    /** The sum of several costs. */
    static HostCost sumOf(Collection<HostCost> costs) {
        List<HostCost> summands = List.copyOf(costs);
        return (group, worker) -> {
            double sum = 0;
            for (HostCost cost : summands) {
                sum += cost.extraTimeShare(group, worker);
            }
            return sum;
        };
    }
}
