package io.cardamomshelf.core.config;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * An organisation's plan: what it is promised and how much it may weigh against other borrowers.
 *
 * <p>Use: {@code new Plan(List.of(guarantee), 32, 1)}. The organisation is the entry's key in the
 * list, so the plan doesn't repeat it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param guarantees the promised shapes, not null, may be empty
 * @param quota the most accelerators that run at once, guaranteed and borrowed, 0 to 1,000,000
 * @param weight the share among borrowers, 1 to 1,000
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
