package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

/** The configured limits of the organisations, and what of them may be running. */
final class OrganisationTable {

    private final LiveJobTable jobs;
    private final WorkerTable workers;
    private final double quotaOverage;
    private Map<OrganisationId, OrganisationLimits> limits = Map.of();
    private final RecentUsage recentUsage = new RecentUsage();
    private boolean hasCaps;
    private boolean hasWeights;

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
        hasCaps = limits.values().stream().anyMatch(OrganisationLimits::hasCap);
        hasWeights = limits.values().stream().anyMatch(OrganisationLimits::hasWeight);
    }

    int guarantee(OrganisationId organisation) {
        return limits.getOrDefault(organisation, OrganisationLimits.NONE).guaranteedAccelerators();
    }

    /** The limits of the organisations that have any. */
    Map<OrganisationId, OrganisationLimits> limits() {
        return limits;
    }

    /** What may be running; nothing is computed without caps and weights. */
    OrganisationUsage usage(ClockReading now) {
        return hasCaps || hasWeights
                ? OrganisationUsage.of(workers, jobs, now)
                : OrganisationUsage.NONE;
    }

    /** The shares for one round, empty if no organisation has a weight. */
    Optional<DominantShares> shares(
            OrganisationUsage usage, Collection<WorkerState> workerStates, ClockReading now) {
        if (!hasWeights) {
            return Optional.empty();
        }
        recentUsage.update(usage, now.monotonicMillis());
        return Optional.of(new DominantShares(limits, usage, recentUsage, workerStates));
    }

    /** The caps for one round. */
    OrganisationCaps caps(OrganisationUsage usage) {
        return new OrganisationCaps(limits, quotaOverage, usage);
    }
}
