package io.cardamomshelf.client;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.event.Event;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.event.HybridTime;
import java.util.List;

/**
 * The JSON bodies with which an entry instance answers operators. The operators' command reads
 * them.
 *
 * <p>Immutable and thread-safe, as are all its records.
 */
public interface OperatorViews {

    /**
     * The JSON form of an event.
     *
     * @param time the hybrid clock's reading, not null
     * @param instance the instance's run, not null
     * @param dataCentre the instance's data centre, not null
     * @param number the event's number
     * @param type the event's type, not null
     * @param subject the subject, not null
     * @param cause the cause, not null
     * @param detail the detail, not null
     */
    record EventView(
            HybridTime time,
            InstanceId instance,
            DataCentreId dataCentre,
            int number,
            EventType type,
            String subject,
            String cause,
            String detail) {

        /**
         * Returns the view of an event.
         *
         * @param event the event, not null
         * @return the view, never null
         */
        public static EventView of(Event event) {
            return new EventView(
                    event.time(),
                    event.instance(),
                    event.dataCentre(),
                    event.type().number(),
                    event.type(),
                    event.subject(),
                    event.cause(),
                    event.detail());
        }

        /**
         * Returns the event of this view.
         *
         * @return the event, never null
         */
        public Event toEvent() {
            return new Event(time, instance, dataCentre, type, subject, cause, detail);
        }
    }

    /**
     * The events of one instance.
     *
     * @param instance the instance's run, not null
     * @param dropped the number of older events that were dropped
     * @param events the events, oldest first, not null
     */
    record Timeline(InstanceId instance, long dropped, List<EventView> events) {}

    /**
     * The state of a data centre according to one instance.
     *
     * @param dataCentre the data centre, not null
     * @param in whether new work may start there
     * @param free the number of its free accelerators
     * @param reclaimable the number of its accelerators that are free or borrowed
     * @param total the number of its accelerators on workers that report
     * @param guaranteesPack whether every unclaimed guaranteed shape fits
     */
    record DataCentreView(
            DataCentreId dataCentre,
            boolean in,
            long free,
            long reclaimable,
            long total,
            boolean guaranteesPack) {}

    /**
     * An instance's state.
     *
     * @param instance the instance's run, not null
     * @param dataCentre the instance's data centre, not null
     * @param configOffset the offset of the configuration that it has
     * @param logReachable whether it can reach the platform's log
     * @param dataCentres the data centres known to the instance, not null
     * @param quarantined the workers that get no requests or tasks except a probe, not null
     */
    record Status(
            InstanceId instance,
            DataCentreId dataCentre,
            long configOffset,
            boolean logReachable,
            List<DataCentreView> dataCentres,
            List<String> quarantined) {}

    /**
     * A job that hasn't ended.
     *
     * @param job the job, not null
     * @param organisation the organisation that submitted it, not null
     * @param accelerators the number of accelerators that it requests
     * @param state its state, not null
     * @param owner the instance that may place it, not null
     * @param waitsFor why it waits, not null, empty if it doesn't wait or another instance owns it
     */
    record JobView(
            JobId job,
            OrganisationId organisation,
            int accelerators,
            String state,
            InstanceId owner,
            String waitsFor) {}

    /**
     * The jobs that haven't ended, in order of acceptance.
     *
     * @param jobs the jobs, not null
     */
    record Jobs(List<JobView> jobs) {}
}
