package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.fleet.Demand;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Caches the waits, refusals and failed searches for a migration of one scheduling round, so that
 * they aren't computed again for similar jobs.
 *
 * <p>Limits: valid for one round only. A round mostly allocates cells, so a demand that did not fit
 * is assumed not to fit later in the round either.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class RoundCache {

    private record OrganisationKey(
            OrganisationId organisation, Demand demand, long estimateClass) {}

    private record GrantKey(Set<DataCentreId> dataCentres, Demand demand, long estimateClass) {}

    private record MigrationKey(DataCentreId dataCentre, Demand demand) {}

    private final CapacityState capacity;
    private final RunTimeEstimates estimates;
    private final Map<OrganisationKey, Decision> byOrganisation = new HashMap<>();
    private final Map<GrantKey, Decision> byGrant = new HashMap<>();
    private final Set<MigrationKey> withoutMigration = new HashSet<>();

    RoundCache(CapacityState capacity, RunTimeEstimates estimates) {
        this.capacity = capacity;
        this.estimates = estimates;
    }

    /**
     * Returns the decision of an earlier job that applies to a job too; empty if the job has to be
     * decided. A job that can claim a guaranteed block uses decisions of its own organisation only.
     */
    Optional<Decision> cached(JobSpec spec) {
        Decision own = byOrganisation.get(organisationKey(spec));
        Decision shared = capacity.canClaimGuarantee(spec) ? null : byGrant.get(grantKey(spec));
        return Optional.ofNullable(own == null ? shared : own);
    }

    /** Adds the decision of a job; a placement is not cached. */
    void add(JobSpec spec, Decision decision) {
        if (!(decision instanceof Decision.Place)) {
            byOrganisation.put(organisationKey(spec), decision);
        }
        boolean lacksCapacity = decision instanceof Decision.Wait wait && wait.lacksCapacity();
        if (lacksCapacity && !capacity.canClaimGuarantee(spec)) {
            byGrant.put(grantKey(spec), decision);
        }
    }

    /** Returns whether no worthwhile migration was found for a demand in a data centre. */
    boolean hasNoMigration(DataCentreId dataCentre, Demand demand) {
        return withoutMigration.contains(new MigrationKey(dataCentre, demand));
    }

    void addNoMigration(DataCentreId dataCentre, Demand demand) {
        withoutMigration.add(new MigrationKey(dataCentre, demand));
    }

    /** Organisations that are granted the same data centres lack the same capacity. */
    private GrantKey grantKey(JobSpec spec) {
        Set<DataCentreId> dataCentres =
                capacity.config()
                        .grant(spec.organisation())
                        .map(Grant::dataCentres)
                        .orElse(Set.of());
        return new GrantKey(dataCentres, spec.demand(), estimateClass(spec));
    }

    private OrganisationKey organisationKey(JobSpec spec) {
        return new OrganisationKey(spec.organisation(), spec.demand(), estimateClass(spec));
    }

    /** Returns a class of corrected run times that differ by less than a factor of two. */
    private long estimateClass(JobSpec spec) {
        return Long.numberOfLeadingZeros(estimates.correctedMillis(spec));
    }
}
