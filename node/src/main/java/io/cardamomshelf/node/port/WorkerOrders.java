package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.WorkerLists;
import io.smallrye.mutiny.Uni;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The scheduler's calls to workers.
 *
 * <p>Use: every call carries the scheduler's fencing token. A worker that has seen a higher token
 * carries nothing out and answers {@link Answer#FENCED}.
 *
 * <p>Calls don't block, never fail, and their results arrive on the caller's event loop.
 */
public interface WorkerOrders {

    /**
     * The worker that a call is for.
     *
     * @param id the worker, not null
     * @param endpoint the address that it listens on, not null
     */
    record Target(WorkerId id, Endpoint endpoint) {}

    /**
     * A connection to a worker. It is lost when the worker's process ends, so what is sent on it
     * reaches no other incarnation. Two are equal if they are the same connection.
     */
    interface Connection {}

    /**
     * Acknowledges ends of runs. It is sent only on the connection that it names.
     *
     * @param lastEnd the number of the last end to acknowledge; it and all earlier ones are stored
     * @param connection the connection on which the worker last returned its lists, not null
     */
    record Acknowledgement(long lastEnd, Connection connection) {}

    /** The kinds of answers to an order. */
    enum Answer {
        /** The order was carried out. */
        DONE,
        /** The order was refused and will never be carried out; the worker did nothing. */
        REFUSED,
        /** The order was refused, as the end of the lease has passed on the worker's clock. */
        TOO_LATE,
        /** The order was refused, as the worker has seen a higher fencing token. */
        FENCED,
        /** Another incarnation of the worker answered, and carried nothing out. */
        OTHER_INCARNATION,
        /** There was no answer; the order may have been carried out, or may be later. */
        UNKNOWN,
        /**
         * The connection was lost before the answer, perhaps with the worker's process. The order
         * may have been carried out.
         */
        CONNECTION_LOST;

        /**
         * Returns whether a worker gave this answer, so that the order isn't carried out later.
         *
         * @return false if there was no answer
         */
        public boolean isFromWorker() {
            return this != UNKNOWN && this != CONNECTION_LOST;
        }
    }

    /**
     * The answer to a start or a stop.
     *
     * @param answer the kind of answer, not null
     * @param clockMillis the worker's clock at the answer, empty if the worker didn't report it
     * @param detail the worker's reason or the error, not null
     */
    record Reply(Answer answer, OptionalLong clockMillis, String detail) {}

    /**
     * The answer to a lease renewal.
     *
     * @param answer the kind of answer, not null
     * @param clockMillis the worker's clock at the answer, empty if the worker didn't report it
     * @param lists the worker's runs, null unless {@code answer} is {@code DONE}
     * @param isComplete whether the lists are complete
     * @param receipt how the lists were received, null unless {@code answer} is {@code DONE}
     * @param detail the error, not null
     */
    record RenewalReply(
            Answer answer,
            OptionalLong clockMillis,
            WorkerLists lists,
            boolean isComplete,
            Receipt receipt,
            String detail) {

        /**
         * Creates the answer of a call that didn't return lists.
         *
         * @param answer the kind of answer, not null and not {@code DONE}
         * @param clockMillis the worker's clock at the answer, empty if it isn't known
         * @param detail the error, not null
         * @return the answer, never null
         */
        public static RenewalReply withoutLists(
                Answer answer, OptionalLong clockMillis, String detail) {
            return new RenewalReply(answer, clockMillis, null, false, null, detail);
        }
    }

    /**
     * How a worker's lists were received.
     *
     * @param connection the connection that the call used, not null
     * @param acknowledgedEnd the number of the last end that the call acknowledged, 0 for none
     */
    record Receipt(Connection connection, long acknowledgedEnd) {}

    /**
     * Starts a run.
     *
     * @param target the worker, not null
     * @param start the order, not null
     * @param leaseEndMillis when the lease of all runs on the worker ends, on the worker's clock
     * @param token the fencing token
     * @param timeoutMillis the maximum time to wait for the answer, in milliseconds
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
     * @param timeoutMillis the maximum time to wait for the answer, in milliseconds
     * @return the answer
     */
    Uni<Reply> stop(Target target, Order.Stop stop, long token, long timeoutMillis);

    /**
     * Renews the lease of all runs on a worker, acknowledges ends of runs and reads the lists of
     * current and ended runs.
     *
     * @param target the worker, not null
     * @param leaseEndMillis the new end of the lease on the worker's clock, empty to grant no new
     *     lease
     * @param acknowledgement the ends to acknowledge, empty for none. It is left out if the call
     *     uses another connection than it names, as the worker may have restarted since.
     * @param waitMillis how long the worker may wait for the end of a run, in milliseconds
     * @param token the fencing token
     * @param timeoutMillis the maximum time to wait for the answer, in milliseconds
     * @return the answer
     */
    Uni<RenewalReply> renewLease(
            Target target,
            OptionalLong leaseEndMillis,
            Optional<Acknowledgement> acknowledgement,
            long waitMillis,
            long token,
            long timeoutMillis);
}
