package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.job.CapacityState;
import java.util.HashSet;
import java.util.Set;

/**
 * Publishes an event when a data centre can no longer hold all its unclaimed guarantees, and when
 * it can again. {@link EntryInstance} calls it periodically.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class GuaranteeMonitor {

    private final CapacityState capacity;
    private final Events events;
    private final Set<DataCentreId> unmet = new HashSet<>();

    GuaranteeMonitor(CapacityState capacity, Events events) {
        this.capacity = capacity;
        this.events = events;
    }

    void tick() {
        for (DataCentreId dataCentre : capacity.fleet().dataCentres()) {
            boolean fit = capacity.guaranteesFit(dataCentre);
            if (fit && unmet.remove(dataCentre)) {
                events.publish(EventType.GUARANTEE_MET, dataCentre.value(), "");
            } else if (!fit && unmet.add(dataCentre)) {
                events.publish(EventType.GUARANTEE_UNMET, dataCentre.value(), "");
            }
        }
    }
}
