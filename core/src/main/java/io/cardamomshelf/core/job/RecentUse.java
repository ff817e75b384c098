package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.Plan;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What each organisation has used lately, with a half-life of an hour, to tell which of those that
 * wait get far less than the others.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class RecentUse {

    private static final double HALF_LIFE_MILLIS = 3_600_000;
    private static final double STARVED_SHARE = 0.5;
    private static final long NEVER = Long.MIN_VALUE;

    private final Map<OrganisationId, Double> recent = new HashMap<>();
    private long updatedMillis = NEVER;

    /** Counts what is allocated now for the time since the last call. */
    void update(CapacityState books, long nowMillis) {
        double elapsedMillis = updatedMillis == NEVER ? 0 : nowMillis - updatedMillis;
        double kept = Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS);
        recent.replaceAll((organisation, use) -> use * kept);
        books.fleet()
                .usedByOrganisation()
                .forEach(
                        (organisation, used) -> {
                            double use = used * elapsedMillis / weight(organisation, books);
                            recent.merge(organisation, use, Double::sum);
                        });
        updatedMillis = nowMillis;
    }

    /**
     * Returns the organisations that wait and lately used, by weight, less than half of what all
     * that wait or run did on average.
     */
    Set<OrganisationId> starved(Collection<JobTable.Job> waiting, CapacityState books) {
        Set<OrganisationId> wanting = new HashSet<>();
        waiting.forEach(job -> wanting.add(job.spec().organisation()));
        Set<OrganisationId> active = new HashSet<>(wanting);
        active.addAll(books.fleet().usedByOrganisation().keySet());
        double sum = active.stream().mapToDouble(this::of).sum();
        double least = STARVED_SHARE * sum / Math.max(1, active.size());
        wanting.removeIf(organisation -> of(organisation) >= least);
        return wanting;
    }

    private double of(OrganisationId organisation) {
        return recent.getOrDefault(organisation, 0.0);
    }

    private static int weight(OrganisationId organisation, CapacityState books) {
        return books.config().plan(organisation).map(Plan::weight).orElse(1);
    }
}
