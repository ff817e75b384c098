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
 * What a round has found to have no room, so that no other job asks for the same again.
 *
 * <p>Limits: for one round, in which cells are mostly taken.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class RoundMemory {

    private record Kind(OrganisationId organisation, Demand demand, long estimateClass) {}

    private record Scarce(Set<DataCentreId> sites, Demand demand, long estimateClass) {}

    private record Room(DataCentreId site, Demand demand) {}

    private final CapacityState books;
    private final RunTimeEstimates estimates;
    private final Map<Kind, Decision> hopeless = new HashMap<>();
    private final Map<Scarce, Decision> scarce = new HashMap<>();
    private final Set<Room> unmovable = new HashSet<>();

    RoundMemory(CapacityState books, RunTimeEstimates estimates) {
        this.books = books;
        this.estimates = estimates;
    }

    /** Returns what was decided for a job that asked the same; a claim is always decided. */
    Optional<Decision> known(JobSpec spec) {
        Decision own = hopeless.get(kind(spec));
        Decision others = books.canClaimGuarantee(spec) ? null : scarce.get(scarce(spec));
        return Optional.ofNullable(own == null ? others : own);
    }

    void plus(JobSpec spec, Decision decision) {
        if (!(decision instanceof Decision.Place)) {
            hopeless.put(kind(spec), decision);
        }
        boolean isScarce = decision instanceof Decision.Wait wait && wait.lacksCapacity();
        if (isScarce && !books.canClaimGuarantee(spec)) {
            scarce.put(scarce(spec), decision);
        }
    }

    /** Asks whether no job was worth moving for a demand in a data centre. */
    boolean isUnmovable(DataCentreId site, Demand demand) {
        return unmovable.contains(new Room(site, demand));
    }

    void plusUnmovable(DataCentreId site, Demand demand) {
        unmovable.add(new Room(site, demand));
    }

    /** What has no room for one organisation has none for another that may use the same sites. */
    private Scarce scarce(JobSpec spec) {
        Set<DataCentreId> sites =
                books.config().grant(spec.organisation()).map(Grant::dataCentres).orElse(Set.of());
        return new Scarce(sites, spec.demand(), estimateClass(spec));
    }

    private Kind kind(JobSpec spec) {
        return new Kind(spec.organisation(), spec.demand(), estimateClass(spec));
    }

    private long estimateClass(JobSpec spec) {
        return Long.numberOfLeadingZeros(estimates.correctedMillis(spec));
    }
}
