package io.cardamomshelf.core.membership;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;

/**
 * A live or leaving instance as the platform's list tells it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance's name, not null
 * @param role what it is, not null
 * @param dataCentre where it is, not null
 * @param region the data centre's region, a name, not null
 * @param host its IP number, not null
 * @param port its HTTP port, 1 to 65,535
 * @param peerPort its port for entries, 0 for workers
 * @param leaving whether it is about to go and must get no new work
 */
public record Instance(
        String id,
        Role role,
        DataCentreId dataCentre,
        String region,
        String host,
        int port,
        int peerPort,
        boolean leaving) {

    /** What an instance is. */
    public enum Role {
        /** An entry instance of the system. */
        ENTRY,
        /** A worker, which also serves requests as an upstream. */
        WORKER
    }

    private static final int MAX_PORT = 65_535;

    /**
     * Creates an instance.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Instance {
        Checks.name("id", id);
        Checks.notNull("role", role);
        Checks.notNull("dataCentre", dataCentre);
        Checks.name("region", region);
        Checks.notNull("host", host);
        Checks.range("port", port, 1, MAX_PORT);
        Checks.range("peerPort", peerPort, 0, MAX_PORT);
    }
}
