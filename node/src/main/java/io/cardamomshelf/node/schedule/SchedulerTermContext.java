package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.port.PlacementAdvice;
import io.cardamomshelf.node.port.WorkerOrders;

/**
 * What a reign works with.
 *
 * @param timers the event loop's timers
 * @param clock the time
 * @param orders calls to workers
 * @param advice calls to the placement advice
 * @param settings the scheduler's times
 * @param metrics where to count
 * @param epoch the fencing token
 * @param tenure whether leases may be granted
 */
record SchedulerTermContext(
        Timers timers,
        Clock clock,
        WorkerOrders orders,
        PlacementAdvice advice,
        SchedulerSettings settings,
        ServiceMetrics metrics,
        long epoch,
        LeaderLease tenure) {}
