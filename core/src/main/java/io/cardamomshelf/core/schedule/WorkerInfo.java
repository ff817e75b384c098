package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import java.util.List;

/**
 * A worker's entry in the registry.
 *
 * <p>Use: pass each entry that was read to {@link SchedulerState#putWorker}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the worker, not null
 * @param bornMillis when this incarnation started, in milliseconds since 1970
 * @param service the worker pool that it belongs to, not null
 * @param endpoint the endpoint for its orders, not null
 * @param dataCentre its data centre, not null
 * @param rack its rack, empty if unknown
 * @param labels its labels, not null
 * @param capacity its total capacity for tasks, not null
 * @param draining whether it is draining and must get no starts
 * @param remainingMillis how long a draining worker stays at least, in milliseconds from its entry
 * @param clockMillis its own clock when it wrote the entry, in milliseconds, 0 if unknown
 */
public record WorkerInfo(
        WorkerId id,
        long bornMillis,
        String service,
        Endpoint endpoint,
        DataCentreId dataCentre,
        String rack,
        List<String> labels,
        Resources capacity,
        boolean draining,
        long remainingMillis,
        long clockMillis) {

    /**
     * Creates an entry.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public WorkerInfo {
        Checks.notNull("id", id);
        Checks.notNull("service", service);
        Checks.notNull("endpoint", endpoint);
        Checks.notNull("dataCentre", dataCentre);
        Checks.notNull("rack", rack);
        Checks.notNull("capacity", capacity);
        labels = List.copyOf(labels);
    }

    /**
     * Returns the entry of a later incarnation, with all other values unchanged.
     *
     * @param millis when it started, in milliseconds since 1970
     * @return the entry, never null
     */
    public WorkerInfo withBornMillis(long millis) {
        return new WorkerInfo(
                id,
                millis,
                service,
                endpoint,
                dataCentre,
                rack,
                labels,
                capacity,
                draining,
                remainingMillis,
                clockMillis);
    }
}
