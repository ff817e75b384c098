package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;

/**
 * An amount of resources: processor time, memory and accelerators.
 *
 * <p>Use: {@code Resources.of(52_000, 270_000, 8).isWithin(free)}.
 *
 * <p>Limits: differences may be negative, since a worker that restarted with a smaller capacity can
 * be overcommitted. Immutable and thread-safe.
 *
 * @param cpuMillis processor capacity, in thousandths of a core
 * @param memoryMb memory, in megabytes
 * @param accelerators the number of accelerators
 */
public record Resources(long cpuMillis, long memoryMb, int accelerators) {

    /** The empty amount. */
    public static final Resources NONE = new Resources(0, 0, 0);

    private static final int UNLIMITED_COPIES = Integer.MAX_VALUE;

    /**
     * Creates an amount that is requested or offered.
     *
     * @param cpuMillis thousandths of a core, 0 or more
     * @param memoryMb megabytes, 0 or more
     * @param accelerators the number of accelerators, 0 or more
     * @return the amount, never null
     * @throws IllegalArgumentException if a number is negative
     */
    public static Resources of(long cpuMillis, long memoryMb, int accelerators) {
        Checks.range("cpuMillis", cpuMillis, 0, Long.MAX_VALUE);
        Checks.range("memoryMb", memoryMb, 0, Long.MAX_VALUE);
        Checks.range("accelerators", accelerators, 0, Integer.MAX_VALUE);
        return new Resources(cpuMillis, memoryMb, accelerators);
    }

    /**
     * Adds an amount.
     *
     * @param other the amount, not null
     * @return the sum, never null
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts an amount.
     *
     * @param other the amount, not null
     * @return the difference, never null
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /**
     * Adds an amount; a sum beyond the range is the largest number.
     *
     * @param other the amount, not null
     * @return the sum, never null
     */
    public Resources plusSaturated(Resources other) {
        return new Resources(
                saturate(cpuMillis + other.cpuMillis),
                saturate(memoryMb + other.memoryMb),
                (int) Math.min(Integer.MAX_VALUE, (long) accelerators + other.accelerators));
    }

    /**
     * Multiplies this amount; a product beyond the range is the largest number.
     *
     * @param count the factor, 0 or more
     * @return the product, never null
     */
    public Resources timesSaturated(int count) {
        return new Resources(
                multiply(cpuMillis, count),
                multiply(memoryMb, count),
                (int) Math.min(Integer.MAX_VALUE, (long) accelerators * count));
    }

    /**
     * Returns the smaller of two amounts, each part by itself.
     *
     * @param other the other amount, not null
     * @return the smaller parts, never null
     */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpuMillis, other.cpuMillis),
                Math.min(memoryMb, other.memoryMb),
                Math.min(accelerators, other.accelerators));
    }

    private static long saturate(long sum) {
        return sum < 0 ? Long.MAX_VALUE : sum;
    }

    private static long multiply(long part, int count) {
        return count > 0 && part > Long.MAX_VALUE / count ? Long.MAX_VALUE : part * count;
    }

    /**
     * Returns whether this amount fits into a capacity.
     *
     * @param capacity the capacity, not null
     * @return true if each part is 0 or at most that of the capacity
     */
    public boolean isWithin(Resources capacity) {
        return fits(cpuMillis, capacity.cpuMillis)
                && fits(memoryMb, capacity.memoryMb)
                && fits(accelerators, capacity.accelerators);
    }

    /**
     * Returns how many times this amount fits into a capacity.
     *
     * @param capacity the capacity, not null
     * @return the number of copies, 0 or more
     */
    public int copiesIn(Resources capacity) {
        long copies = copies(cpuMillis, capacity.cpuMillis);
        copies = Math.min(copies, copies(memoryMb, capacity.memoryMb));
        copies = Math.min(copies, copies(accelerators, capacity.accelerators));
        return (int) Math.min(copies, UNLIMITED_COPIES);
    }

    /** Returns whether a demand fits; a demand of 0 fits even if the worker is overcommitted. */
    private static boolean fits(long demand, long available) {
        return demand == 0 || demand <= available;
    }

    private static long copies(long demand, long available) {
        if (demand == 0) {
            return UNLIMITED_COPIES;
        }
        return Math.max(0, available / demand);
    }
}
