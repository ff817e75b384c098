package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.job.CapacityState;
import java.util.HashSet;
import java.util.Set;

/**
 * Says at once when a data centre's guaranteed shapes no longer pack, and when they do again.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class GuaranteeWatch {

    private final CapacityState books;
    private final Events events;
    private final Set<DataCentreId> unmet = new HashSet<>();

    GuaranteeWatch(CapacityState books, Events events) {
        this.books = books;
        this.events = events;
    }

    void tick() {
        for (DataCentreId site : books.fleet().dataCentres()) {
            boolean packs = books.guaranteesFit(site);
            if (packs && unmet.remove(site)) {
                events.publish(EventType.GUARANTEE_MET, site.value(), "");
            } else if (!packs && unmet.add(site)) {
                events.publish(EventType.GUARANTEE_UNMET, site.value(), "");
            }
        }
    }
}
