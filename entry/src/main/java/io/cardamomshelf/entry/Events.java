package io.cardamomshelf.entry;

import io.cardamomshelf.core.event.Event;
import io.cardamomshelf.core.event.EventRing;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.event.HybridTime;
import java.util.List;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Publishes events: into the ring for the time line, and as numbered log lines.
 *
 * <p>Use: {@code events.publish(EventType.JOB_ACCEPTED, job, requestId, "")}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Events {

    private static final Logger LOGGER = LoggerFactory.getLogger("cardamomshelf");

    private final InstanceIdentity self;
    private final EventRing ring;
    private HybridTime clock = HybridTime.ZERO;

    Events(InstanceIdentity self, int capacity) {
        this.self = self;
        this.ring = new EventRing(capacity);
    }

    void publish(EventType type, String subject, String cause, String detail) {
        clock = clock.nextLocal(Clock.wallMillis());
        Event event = new Event(clock, self.run(), self.dataCentre(), type, subject, cause, detail);
        ring.add(event);
        LOGGER.atInfo()
                .addKeyValue("event", type.number())
                .addKeyValue("type", type.name())
                .addKeyValue("subject", subject)
                .addKeyValue("cause", cause)
                .addKeyValue("instance", self.run().value())
                .log(detail);
    }

    void publish(EventType type, String subject, String detail) {
        publish(type, subject, "", detail);
    }

    HybridTime clock() {
        clock = clock.nextLocal(Clock.wallMillis());
        return clock;
    }

    void receive(HybridTime remote) {
        clock = clock.nextAfter(remote, Clock.wallMillis());
    }

    List<Event> select(Predicate<Event> condition) {
        return ring.select(condition);
    }

    long dropped() {
        return ring.dropped();
    }
}
