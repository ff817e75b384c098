package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * An organisation's plan: its guarantees, its quota, and its weight relative to other organisations
 * that borrow capacity.
 *
 * <p>Use: {@code new Plan(List.of(guarantee), 32, 1)}. The organisation is the key of the entry, so
 * the plan doesn't repeat it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param guarantees the guaranteed blocks, not null, may be empty
 * @param quota the largest number of accelerators in use at the same time, guaranteed and borrowed,
 *     0 to 1,000,000
 * @param weight the relative share of borrowed capacity, 1 to 1,000
 */
public record Plan(List<Guarantee> guarantees, int quota, int weight) implements ListValue {

    private static final int MAX_QUOTA = 1_000_000;
    private static final int MAX_WEIGHT = 1_000;

    /**
     * Creates a plan.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public Plan {
        Checks.notNull("guarantees", guarantees);
        guarantees = List.copyOf(guarantees);
        Checks.range("quota", quota, 0, MAX_QUOTA);
        Checks.range("weight", weight, 1, MAX_WEIGHT);
    }
}
