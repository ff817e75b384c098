package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import java.util.Map;

/** The configured limits of the organisations, and what of them may be running. */
final class OrganisationTable {

    private final LiveJobTable jobs;
    private final WorkerTable workers;
    private final double quotaOverage;
    private Map<OrganisationId, OrganisationLimits> limits = Map.of();
    private boolean isLimited;

    /**
     * Creates a table without limits.
     *
     * @param quotaOverage the fraction of its cap by which an organisation may exceed it
     */
    OrganisationTable(LiveJobTable jobs, WorkerTable workers, double quotaOverage) {
        this.jobs = jobs;
        this.workers = workers;
        this.quotaOverage = quotaOverage;
    }

    void configure(Map<OrganisationId, OrganisationLimits> newLimits) {
        limits = Map.copyOf(newLimits);
        isLimited = limits.values().stream().anyMatch(OrganisationLimits::hasCap);
    }

    int guarantee(OrganisationId organisation) {
        return limits.getOrDefault(organisation, OrganisationLimits.NONE).guaranteedAccelerators();
    }

    /** The limits of the organisations that have any. */
    Map<OrganisationId, OrganisationLimits> limits() {
        return limits;
    }

    /** What may be running; nothing is computed while no organisation is limited. */
    OrganisationUsage usage(ClockReading now) {
        return isLimited ? OrganisationUsage.of(workers, jobs, now) : OrganisationUsage.NONE;
    }

    /** The caps for one round. */
    OrganisationCaps caps(OrganisationUsage usage) {
        return new OrganisationCaps(limits, quotaOverage, usage);
    }
}
