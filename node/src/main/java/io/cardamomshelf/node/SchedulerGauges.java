package io.cardamomshelf.node;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.schedule.FleetLoad;
import io.cardamomshelf.core.schedule.FleetSpeeds;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.schedule.SchedulerCandidate;

/** Registers the gauges that only the scheduler has values for. */
final class SchedulerGauges {

    private static final int PERCENT = 100;

    private final SchedulerCandidate candidate;
    private final Clock clock;

    private SchedulerGauges(SchedulerCandidate candidate, Clock clock) {
        this.candidate = candidate;
        this.clock = clock;
    }

    static void register(ServiceMetrics metrics, SchedulerCandidate candidate, Clock clock) {
        SchedulerGauges gauges = new SchedulerGauges(candidate, clock);
        metrics.gauge(Name.FREE_ACCELERATORS, () -> gauges.load().free());
        metrics.gauge(Name.HELD_ACCELERATORS, () -> gauges.load().held());
        metrics.gauge(Name.GROUPS_OVER_CAP, () -> gauges.load().groupsOverCap());
        metrics.gauge(Name.KNOWN_WORKER_SPEEDS, () -> gauges.speeds().known());
        metrics.gauge(Name.LOWEST_WORKER_SPEED_PERCENT, () -> percent(gauges.speeds().lowest()));
        metrics.gauge(Name.HIGHEST_WORKER_SPEED_PERCENT, () -> percent(gauges.speeds().highest()));
    }

    /** Registers the gauges of the configured organisations that have a cap. */
    static void registerCaps(
            ServiceMetrics metrics,
            SchedulerCandidate candidate,
            Clock clock,
            Configuration configuration) {
        SchedulerGauges gauges = new SchedulerGauges(candidate, clock);
        for (Configuration.Organisation organisation : configuration.organisations()) {
            if (organisation.limits().hasCap()) {
                OrganisationId id = organisation.id();
                metrics.gaugeIfAbsent(Name.USED_ACCELERATORS, () -> gauges.quota(id).used(), id);
                metrics.gaugeIfAbsent(Name.CAP_ACCELERATORS, () -> gauges.quota(id).cap(), id);
            }
        }
    }

    private FleetLoad.Quota quota(OrganisationId id) {
        return load().organisations().getOrDefault(id, FleetLoad.Quota.NONE);
    }

    private FleetLoad load() {
        return candidate.read(state -> state.load(clock.now()), FleetLoad.NONE);
    }

    private FleetSpeeds speeds() {
        return candidate.read(state -> state.observations().speeds(), FleetSpeeds.NONE);
    }

    private static long percent(double share) {
        return Math.round(PERCENT * share);
    }
}
