package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.QueuePolicy;
import java.util.List;

/**
 * The operators' configuration in full.
 *
 * <p>Use: decoded from the newest record; routes and organisations are taken from here only.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version its number, rising
 * @param routes the queues and how calls reach them, not null
 * @param organisations who may call, not null
 * @param limits the bounds of a call, not null
 */
public record Configuration(
        long version, List<Route> routes, List<Organisation> organisations, Limits limits) {

    /**
     * A queue, and the calls that belong to it.
     *
     * @param host the host that callers name, not null
     * @param prefix the start of the path, not null
     * @param isPublic whether calls need no key
     * @param timeoutMillis the longest time for a call, in milliseconds
     * @param policy how its jobs are run, not null
     */
    public record Route(
            String host, String prefix, boolean isPublic, long timeoutMillis, QueuePolicy policy) {}

    /**
     * An organisation.
     *
     * @param id its name, not null
     * @param keys the secrets that its callers present, not null
     * @param guaranteedAccelerators what its urgent jobs may reclaim at any time
     */
    public record Organisation(OrganisationId id, List<String> keys, int guaranteedAccelerators) {

        /** Creates an organisation. */
        public Organisation {
            keys = List.copyOf(keys);
        }

        @Override
        public String toString() {
            return "Organisation[" + id + ", " + keys.size() + " keys]";
        }
    }

    /**
     * The bounds of a call.
     *
     * @param maxBodyBytes the longest body, in bytes
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
