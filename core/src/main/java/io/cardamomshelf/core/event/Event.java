package io.cardamomshelf.core.event;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import java.util.Comparator;

/**
 * A numbered event of an instance.
 *
 * <p>Use: sort the events of several instances by {@link #TIMELINE_ORDER} to merge them.
 *
 * <p>Limits: the detail must not contain a payload, a token or an idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param time the time by the instance's hybrid logical clock, not null
 * @param instance the instance that published the event, not null
 * @param dataCentre the instance's data centre, not null
 * @param type the type of the event, not null
 * @param subject the id of the job, request, edit or worker that the event is about, not null, may
 *     be empty
 * @param cause the id of the job, request, edit or worker that caused the event, not null, may be
 *     empty
 * @param detail a short human-readable text, not null, may be empty
 */
public record Event(
        HybridTime time,
        InstanceId instance,
        DataCentreId dataCentre,
        EventType type,
        String subject,
        String cause,
        String detail) {

    /** Orders events of several instances by time, then by instance. */
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
     * Returns whether an id is the subject or the cause of the event.
     *
     * @param id the id of a job, request, edit or worker, not null
     * @return true if it is
     */
    public boolean isAbout(String id) {
        return subject.equals(id) || cause.equals(id);
    }
}
