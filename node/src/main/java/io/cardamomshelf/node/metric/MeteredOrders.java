package io.cardamomshelf.node.metric;

import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.WorkerOrders;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Forwards calls to workers and counts them by kind and answer.
 *
 * <p>Thread-safe if the orders are.
 */
public final class MeteredOrders implements WorkerOrders {

    private final WorkerOrders orders;
    private final ServiceMetrics metrics;

    /**
     * Creates orders that are counted.
     *
     * @param orders the orders to forward to, not null
     * @param metrics the metrics to update, not null
     */
    public MeteredOrders(WorkerOrders orders, ServiceMetrics metrics) {
        this.orders = orders;
        this.metrics = metrics;
    }

    @Override
    public Uni<Reply> start(
            Target target, Order.Start start, long leaseEndMillis, long token, long timeoutMillis) {
        return orders.start(target, start, leaseEndMillis, token, timeoutMillis)
                .invoke(reply -> metrics.count(Name.ORDERS, "start", reply.answer()));
    }

    @Override
    public Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis) {
        return orders.stop(target, stop, token, timeoutMillis)
                .invoke(reply -> metrics.count(Name.ORDERS, "stop", reply.answer()));
    }

    @Override
    public Uni<RenewalReply> renewLease(
            Target target,
            OptionalLong leaseEndMillis,
            Optional<Acknowledgement> acknowledgement,
            long waitMillis,
            long token,
            long timeoutMillis) {
        return orders.renewLease(
                        target, leaseEndMillis, acknowledgement, waitMillis, token, timeoutMillis)
                .invoke(reply -> metrics.count(Name.ORDERS, "hold", reply.answer()));
    }
}
