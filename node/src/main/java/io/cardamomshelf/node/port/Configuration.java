package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.schedule.OrganisationLimits;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import java.util.List;

/**
 * The complete configuration that the operators have published.
 *
 * <p>Use: decoded from the newest configuration record of the store; it is the only source of
 * routes and organisations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version its number, which increases with each change
 * @param routes the queues with the hosts and paths of their calls, not null
 * @param organisations the organisations that may call, not null
 * @param limits the limits of a call, not null
 */
public record Configuration(
        long version, List<Route> routes, List<Organisation> organisations, Limits limits) {

    /**
     * A queue, and which calls are for it.
     *
     * @param host the host of the calls, not null
     * @param prefix the start of the calls' paths, not null
     * @param isPublic whether calls need no key
     * @param timeoutMillis the maximum duration of a call, in milliseconds
     * @param policy how the queue's jobs are run, not null
     */
    public record Route(
            String host, String prefix, boolean isPublic, long timeoutMillis, QueuePolicy policy) {}

    /**
     * An organisation, whose text form leaves the keys out.
     *
     * @param id its identifier, not null
     * @param keys the API keys of its callers, not null
     * @param guaranteedAccelerators how many accelerators its urgent jobs may reclaim at any time
     * @param weight its relative share while there is more work than capacity, 0 if none is set
     * @param cap the most that it may have running, not null; a part of 0 is unlimited
     */
    public record Organisation(
            OrganisationId id,
            List<String> keys,
            int guaranteedAccelerators,
            double weight,
            Resources cap) {

        /**
         * Creates an organisation.
         *
         * @throws IllegalArgumentException if the cap is missing
         */
        public Organisation {
            keys = List.copyOf(keys);
            Checks.notNull("cap", cap);
        }

        /**
         * Returns what it is guaranteed and what it may use.
         *
         * @return the limits, never null
         */
        public OrganisationLimits limits() {
            return new OrganisationLimits(guaranteedAccelerators, weight, cap);
        }

        @Override
        public String toString() {
            return "Organisation[" + id + ", " + keys.size() + " keys]";
        }
    }

    /**
     * The limits of a call.
     *
     * @param maxBodyBytes the maximum size of the body, in bytes
     */
    public record Limits(int maxBodyBytes) {}

    /**
     * Creates a configuration.
     *
     * @throws IllegalArgumentException if a part is missing
     */
    public Configuration {
        routes = List.copyOf(routes);
        organisations = List.copyOf(organisations);
        Checks.notNull("limits", limits);
    }
}
