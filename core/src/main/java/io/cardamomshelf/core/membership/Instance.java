package io.cardamomshelf.core.membership;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;

/**
 * A live or draining instance as the platform lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the instance's name, not null
 * @param role the role of the instance, not null
 * @param dataCentre where it is, not null
 * @param region the name of the data centre's region, not null
 * @param host its IP address, not null
 * @param port its HTTP port, 1 to 65,535
 * @param peerPort its port for other entry instances, 0 for workers
 * @param leaving whether it is about to shut down and must get no new tasks
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

    /** The role of an instance. */
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
