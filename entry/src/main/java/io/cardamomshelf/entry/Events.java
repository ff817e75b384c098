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
 * Publishes the events of this instance: adds them to the ring buffer that the time line is read
 * from, and logs them with the numbers of their types. It also owns the hybrid logical clock.
 *
 * <p>Use: {@code events.publish(EventType.JOB_ACCEPTED, job, requestId, "")}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Events {

    private static final Logger LOGGER = LoggerFactory.getLogger("cardamomshelf");

    private final InstanceIdentity identity;
    private final EventRing ring;
    private HybridTime clock = HybridTime.ZERO;

    Events(InstanceIdentity identity, int capacity) {
        this.identity = identity;
        this.ring = new EventRing(capacity);
    }

    void publish(EventType type, String subject, String cause, String detail) {
        clock = clock.nextLocal(Clock.wallMillis());
        Event event =
                new Event(
                        clock,
                        identity.runId(),
                        identity.dataCentre(),
                        type,
                        subject,
                        cause,
                        detail);
        ring.add(event);
        LOGGER.atInfo()
                .addKeyValue("event", type.number())
                .addKeyValue("type", type.name())
                .addKeyValue("subject", subject)
                .addKeyValue("cause", cause)
                .addKeyValue("instance", identity.runId().value())
                .log(detail);
    }

    void publish(EventType type, String subject, String detail) {
        publish(type, subject, "", detail);
    }

    /** Advances the hybrid logical clock and returns its reading. */
    HybridTime clock() {
        clock = clock.nextLocal(Clock.wallMillis());
        return clock;
    }

    /** Advances the hybrid logical clock past a reading received from another entry. */
    void mergeRemoteTime(HybridTime remote) {
        clock = clock.nextAfter(remote, Clock.wallMillis());
    }

    List<Event> select(Predicate<Event> condition) {
        return ring.select(condition);
    }

    /** Returns how many old events were dropped because the ring buffer was full. */
    long dropped() {
        return ring.dropped();
    }
}
