package io.cardamomshelf.core.job;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.Plan;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the recent use of accelerators by each organisation, with a half-life of one hour, to find
 * the waiting organisations that get far less than the others.
 *
 * <p>Not thread-safe: belongs to its {@link Dispatcher}.
 */
final class RecentUse {

    private static final double HALF_LIFE_MILLIS = 3_600_000;
    private static final double STARVED_SHARE = 0.5;
    private static final long NEVER = Long.MIN_VALUE;

    /** In accelerator-milliseconds, divided by the weight of the organisation's plan. */
    private final Map<OrganisationId, Double> decayedUse = new HashMap<>();

    private long updatedMillis = NEVER;

    /** Adds the current allocations, as if they had lasted since the previous call. */
    void update(CapacityState capacity, long nowMillis) {
        double elapsedMillis = updatedMillis == NEVER ? 0 : nowMillis - updatedMillis;
        double decay = Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS);
        decayedUse.replaceAll((organisation, use) -> use * decay);
        capacity.fleet()
                .usedByOrganisation()
                .forEach(
                        (organisation, used) -> {
                            double use = used * elapsedMillis / weight(organisation, capacity);
                            decayedUse.merge(organisation, use, Double::sum);
                        });
        updatedMillis = nowMillis;
    }

    /**
     * Returns the organisations with waiting jobs whose recent use, divided by their weight, is
     * below half the average over all organisations with waiting or running jobs.
     */
    Set<OrganisationId> starved(Collection<JobTable.Job> waiting, CapacityState capacity) {
        Set<OrganisationId> starved = new HashSet<>();
        waiting.forEach(job -> starved.add(job.spec().organisation()));
        Set<OrganisationId> active = new HashSet<>(starved);
        active.addAll(capacity.fleet().usedByOrganisation().keySet());
        double sum = active.stream().mapToDouble(this::decayedUse).sum();
        double threshold = STARVED_SHARE * sum / Math.max(1, active.size());
        starved.removeIf(organisation -> decayedUse(organisation) >= threshold);
        return starved;
    }

    private double decayedUse(OrganisationId organisation) {
        return decayedUse.getOrDefault(organisation, 0.0);
    }

    private static int weight(OrganisationId organisation, CapacityState capacity) {
        return capacity.config().plan(organisation).map(Plan::weight).orElse(1);
    }
}
