package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.LeaderLease;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.PlacementAdvice;
import io.cardamomshelf.node.port.WorkerOrders;

/**
 * The services and settings that the classes of one scheduler term share.
 *
 * @param timers the event loop's timers
 * @param clock the clock
 * @param orders calls to workers
 * @param advice calls to the placement advice
 * @param settings the scheduler's time limits
 * @param metrics the metrics to update
 * @param epoch the term's epoch, which is its fencing token
 * @param leaderLease decides whether leases may be granted
 * @param limits the limits of the store
 * @param restarts the restarts of workers that this process has seen
 */
record SchedulerTermContext(
        Timers timers,
        Clock clock,
        WorkerOrders orders,
        PlacementAdvice advice,
        SchedulerSettings settings,
        ServiceMetrics metrics,
        long epoch,
        LeaderLease leaderLease,
        KeyedStore.Limits limits,
        ObservedRestarts restarts) {}
