package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The workers of which a scheduler needs a majority: those that are stored as possible hosts of
 * runs. The registered workers don't serve for that, as two schedulers may have read different
 * entries.
 *
 * <p>Example: with two stored workers and one whose record may not be stored yet, both stored ones
 * have to agree.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stored the workers that are certainly stored, not null
 * @param maxCount the number of workers that may be stored
 */
public record Voters(Set<WorkerId> stored, int maxCount) {

    /**
     * Checks and copies the workers.
     *
     * @throws IllegalArgumentException if more workers are stored than may be
     */
    public Voters {
        stored = Set.copyOf(stored);
        if (maxCount < stored.size()) {
            throw new IllegalArgumentException("maxCount: " + maxCount + " < " + stored.size());
        }
    }

    /**
     * Makes the voters of a known set.
     *
     * @param stored the workers that are stored, not null
     * @return the voters, never null
     */
    public static Voters of(Collection<WorkerId> stored) {
        Set<WorkerId> copy = Set.copyOf(stored);
        return new Voters(copy, copy.size());
    }

    /**
     * Returns whether a condition holds for a majority, whichever of the others are stored too.
     *
     * @param condition the condition, not null
     * @return true if it holds for more than half of the most workers that may be stored
     */
    public boolean hasMajority(Predicate<WorkerId> condition) {
        return 2 * stored.stream().filter(condition).count() > maxCount;
    }
}
