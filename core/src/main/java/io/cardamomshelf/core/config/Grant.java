package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import java.util.Set;

/**
 * The grant of an organisation: the data centres that it may use, and how many requests it may have
 * in flight.
 *
 * <p>Use: {@code new Grant(Set.of(DataCentreId.of("jhb-a")), 60)}, keyed by the organisation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentres the data centres in which the organisation's jobs and requests may run, not
 *     null
 * @param maxRequests the largest number of the organisation's requests in flight on one entry
 *     instance, 1 to 100,000
 */
public record Grant(Set<DataCentreId> dataCentres, int maxRequests) implements ListValue {

    private static final int MAX_REQUESTS = 100_000;

    /**
     * Creates a grant.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Grant {
        Checks.notNull("dataCentres", dataCentres);
        dataCentres = Set.copyOf(dataCentres);
        Checks.range("maxRequests", maxRequests, 1, MAX_REQUESTS);
    }
}
