package io.cardamomshelf.core.lease;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.fleet.Worker;
import java.util.List;

/**
 * The report of a worker: its properties, its leases and, with a delay, its usage.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the worker's properties, not null
 * @param version a number that increases with each change of its leases
 * @param leases its leases, not null
 * @param busyAccelerators how many accelerators were busy at the last, slightly older measurement
 */
public record WorkerReport(Worker worker, long version, List<Lease> leases, int busyAccelerators) {

    /**
     * Creates a report.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public WorkerReport {
        Checks.notNull("worker", worker);
        leases = List.copyOf(Checks.notNull("leases", leases));
    }
}
