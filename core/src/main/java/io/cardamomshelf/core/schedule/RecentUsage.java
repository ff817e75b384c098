package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.Resources;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The usage of each organisation in the last seconds, as an average in which older usage counts
 * exponentially less. It starts with the first known usage, so a new scheduler forgets what was
 * used before.
 */
final class RecentUsage {

    /**
     * The time after which usage counts by 1/e, in milliseconds: about the run time of the jobs
     * that compete, so that a burst is paid back by about as much work as it displaced.
     */
    private static final double DECAY_MILLIS = 5_000;

    /** Below this fraction of its unit, usage counts as none, so that its entry can be removed. */
    private static final double NEGLIGIBLE = 0.01;

    /** An amount in units of {@link Resources}, with fractions. */
    record Amount(double cpuMillis, double memoryMb, double accelerators) {

        static final Amount NONE = new Amount(0, 0, 0);

        static Amount of(Resources amount) {
            return new Amount(amount.cpuMillis(), amount.memoryMb(), amount.accelerators());
        }

        Amount plus(Amount other, double factor) {
            return new Amount(
                    cpuMillis + factor * other.cpuMillis,
                    memoryMb + factor * other.memoryMb,
                    accelerators + factor * other.accelerators);
        }

        Amount max(Amount other) {
            return new Amount(
                    Math.max(cpuMillis, other.cpuMillis),
                    Math.max(memoryMb, other.memoryMb),
                    Math.max(accelerators, other.accelerators));
        }

        /** The largest of its shares of a total. */
        double dominantShare(Resources total) {
            return Math.max(
                    share(cpuMillis, total.cpuMillis()),
                    Math.max(
                            share(memoryMb, total.memoryMb()),
                            share(accelerators, total.accelerators())));
        }

        private static double share(double part, long total) {
            return part <= 0 ? 0 : part / Math.max(1, total);
        }
    }

    private final Map<OrganisationId, Amount> averages = new HashMap<>();
    private OrganisationUsage lastUsage;
    private long updatedMillis;

    /** Adds the last usage, for the time since then; the given one counts from now on. */
    void update(OrganisationUsage usage, long nowMillis) {
        double kept = lastUsage == null ? 0 : Math.exp((updatedMillis - nowMillis) / DECAY_MILLIS);
        OrganisationUsage added = lastUsage == null ? usage : lastUsage;
        Set<OrganisationId> organisations = new HashSet<>(averages.keySet());
        organisations.addAll(added.all().keySet());
        for (OrganisationId organisation : organisations) {
            Amount average = averages.getOrDefault(organisation, Amount.NONE);
            Amount next =
                    Amount.NONE
                            .plus(average, kept)
                            .plus(Amount.of(added.of(organisation)), 1 - kept);
            if (next.cpuMillis() + next.memoryMb() + next.accelerators() < NEGLIGIBLE) {
                averages.remove(organisation);
            } else {
                averages.put(organisation, next);
            }
        }
        lastUsage = usage;
        updatedMillis = nowMillis;
    }

    Amount average(OrganisationId organisation) {
        return averages.getOrDefault(organisation, Amount.NONE);
    }
}
