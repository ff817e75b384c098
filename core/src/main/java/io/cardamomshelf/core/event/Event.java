package io.cardamomshelf.core.event;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import java.util.Comparator;

/**
 * One numbered event of one instance.
 *
 * <p>Use: sort the events of several instances by {@link #TIMELINE_ORDER} to merge them.
 *
 * <p>Limits: the detail never holds a payload, a token or an idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param time when, by the instance's hybrid logical clock, not null
 * @param instance the instance, not null
 * @param dataCentre the instance's data centre, not null
 * @param type what, not null
 * @param subject the id of the job, request, edit or worker, not null, may be empty
 * @param cause the id of what led to it, not null, may be empty
 * @param detail a short text for people, not null, may be empty
 */
public record Event(
        HybridTime time,
        InstanceId instance,
        DataCentreId dataCentre,
        EventType type,
        String subject,
        String cause,
        String detail) {

    /** Orders events of several instances: by clock, then by instance. */
    public static final Comparator<Event> TIMELINE_ORDER =
            Comparator.comparing(Event::time).thenComparing(Event::instance);

    /**
     * Creates an event.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public Event {
        Checks.notNull("time", time);
        Checks.notNull("instance", instance);
        Checks.notNull("dataCentre", dataCentre);
        Checks.notNull("type", type);
        Checks.notNull("subject", subject);
        Checks.notNull("cause", cause);
        Checks.notNull("detail", detail);
    }

    /**
     * Asks whether the event belongs to a subject, as itself or as its cause.
     *
     * @param id the id of a job, request, edit or worker, not null
     * @return true if it does
     */
    public boolean isAbout(String id) {
        return subject.equals(id) || cause.equals(id);
    }
}
