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
 * What an entry instance tells operators, as the operators' command reads it.
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
public interface OperatorViews {

    /**
     * An event as JSON carries it.
     *
     * @param time the hybrid clock's reading, not null
     * @param instance the instance's run, not null
     * @param dataCentre where it is, not null
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
         * Makes the view of an event.
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
         * Converts the view back.
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
     * @param dropped how many older events were dropped
     * @param events the events, oldest first, not null
     */
    record Timeline(InstanceId instance, long dropped, List<EventView> events) {}

    /**
     * A data centre's state as one instance sees it.
     *
     * @param dataCentre the data centre, not null
     * @param in whether new work may start there
     * @param free its free accelerators
     * @param reclaimable its accelerators that are free or borrowed
     * @param total its accelerators on workers that report
     * @param guaranteesPack whether every unclaimed guaranteed shape packs
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
     * @param dataCentre where it is, not null
     * @param configOffset the offset of its configuration
     * @param logReachable whether it reaches the platform's log
     * @param dataCentres the data centres that it knows, not null
     * @param quarantined the workers that get no requests or no tasks but a probe, not null
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
     * @param organisation whose job it is, not null
     * @param accelerators how many it asks for
     * @param state what it stands at, not null
     * @param owner the run that may place it, not null
     * @param waitsFor why it waits, empty if it doesn't or another instance owns it, not null
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
