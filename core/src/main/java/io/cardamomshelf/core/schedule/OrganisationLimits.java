package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.task.Resources;

/**
 * What an organisation is guaranteed and what it may use, by the operators' configuration.
 *
 * <p>Use: {@code SchedulerState.configure} gets one for each organisation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param guaranteedAccelerators how many accelerators its urgent jobs may reclaim at any time
 * @param weight its relative share while there is more work than capacity, 0 if none is configured
 * @param cap the most that it may have running, not null; a part of 0 is unlimited
 */
public record OrganisationLimits(int guaranteedAccelerators, double weight, Resources cap) {

    /** Neither a guarantee nor a weight nor a cap. */
    public static final OrganisationLimits NONE = new OrganisationLimits(0, 0, Resources.NONE);

    /** Keeps the rounding error of a product from lowering a whole number by one. */
    private static final double ROUNDING = 1e-9;

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if the cap is missing, or the weight is negative or no
     *     number
     */
    public OrganisationLimits {
        Checks.notNull("cap", cap);
        if (!(weight >= 0 && weight < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("weight: " + weight + " is not 0 or more");
        }
    }

    /**
     * Returns whether any part of the organisation's usage is limited.
     *
     * @return true if it has a cap
     */
    public boolean hasCap() {
        return !cap.equals(Resources.NONE);
    }

    /**
     * Returns whether the organisation has a weight of its own.
     *
     * @return true if one is configured
     */
    public boolean hasWeight() {
        return weight > 0;
    }

    /**
     * Returns the cap, extended by a fraction of itself.
     *
     * @param overage the fraction, 0 or more
     * @return the extended cap, never null; its unlimited parts have the largest number
     */
    public Resources capWithOverage(double overage) {
        return new Resources(
                extend(cap.cpuMillis(), overage),
                extend(cap.memoryMb(), overage),
                (int) Math.min(Integer.MAX_VALUE, extend(cap.accelerators(), overage)));
    }

    private static long extend(long part, double overage) {
        return part == 0 ? Long.MAX_VALUE : part + (long) Math.floor(part * overage + ROUNDING);
    }
}
