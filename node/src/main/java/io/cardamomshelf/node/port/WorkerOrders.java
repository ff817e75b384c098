package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.smallrye.mutiny.Uni;
import java.util.OptionalLong;

/**
 * Calls to workers.
 *
 * <p>Use: every call carries the scheduler's fencing token; a worker that has seen a higher one
 * does nothing and says so.
 *
 * <p>Calls don't block, never fail, and their results arrive on the caller's event loop.
 */
public interface WorkerOrders {

    /**
     * Which worker is meant.
     *
     * @param id the worker, not null
     * @param endpoint where it listens, not null
     */
    record Target(WorkerId id, Endpoint endpoint) {}

    /** What an answer to an order says. */
    enum Answer {
        /** It was carried out. */
        DONE,
        /** It was refused and never will be carried out. */
        REFUSED,
        /** It was refused since the lease's end has passed on the worker's clock. */
        TOO_LATE,
        /** It was refused, as the worker has seen a higher fencing token. */
        FENCED,
        /** Another incarnation answered, which did nothing. */
        OTHER_INCARNATION,
        /** There was no answer; it may have been carried out, or may still be. */
        UNKNOWN
    }

    /**
     * An answer to a start or a stop.
     *
     * @param answer what it says, not null
     * @param clockMillis the worker's clock at the answer, if it told it
     * @param detail the worker's reason or the error, not null
     */
    record Reply(Answer answer, OptionalLong clockMillis, String detail) {}

    /**
     * An answer to a renewal.
     *
     * @param answer what it says, not null
     * @param clockMillis the worker's clock at the answer, if it told it
     * @param lists its runs, null unless {@code answer} is {@code DONE}
     * @param isWhole whether the lists leave nothing out
     * @param detail the error, not null
     */
    record RenewalReply(
            Answer answer,
            OptionalLong clockMillis,
            WorkerLists lists,
            boolean isComplete,
            String detail) {}

    /**
     * Starts a run.
     *
     * @param target the worker, not null
     * @param start the order, not null
     * @param leaseEndMillis until when all runs there may go on, on the worker's clock
     * @param token the fencing token
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer
     */
    Uni<Reply> start(
            Target target, Order.Start start, long leaseEndMillis, long token, long timeoutMillis);

    /**
     * Stops a run.
     *
     * @param target the worker, not null
     * @param stop the order, not null
     * @param token the fencing token
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer
     */
    Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis);

    /**
     * Renews the lease of all runs, acknowledges ends and reads the lists.
     *
     * @param target the worker, not null
     * @param leaseEndMillis the new end on the worker's clock, empty to leave it
     * @param lastAcknowledgedEnd the last end that is stored
     * @param waitMillis how long the worker may wait for an end, in milliseconds
     * @param token the fencing token
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the answer
     */
    Uni<RenewalReply> renewLease(
            Target target,
            OptionalLong leaseEndMillis,
            long lastAcknowledgedEnd,
            long waitMillis,
            long token,
            long timeoutMillis);
}
