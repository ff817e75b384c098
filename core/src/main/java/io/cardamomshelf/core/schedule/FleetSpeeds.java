package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.HashSet;
import java.util.Set;

/**
 * What is known of the persistent speeds of workers, relative to the mean of the fleet.
 *
 * <p>Use: {@code state.observations().speeds()} after a round.
 *
 * <p>Immutable and thread-safe.
 *
 * @param known the number of workers whose speed is known
 * @param lowest the lowest known speed, 1 if none is known
 * @param highest the highest known speed, 1 if none is known
 * @param slow the workers that are slower than the mean, not null
 * @param fast the workers that are faster than the mean, not null
 */
public record FleetSpeeds(
        int known, double lowest, double highest, Set<WorkerId> slow, Set<WorkerId> fast) {

    /** No known speeds. */
    public static final FleetSpeeds NONE = new FleetSpeeds(0, 1, 1, Set.of(), Set.of());

    /** Creates a summary. */
    public FleetSpeeds {
        slow = Set.copyOf(slow);
        fast = Set.copyOf(fast);
    }

    /**
     * Returns the workers that have become slow or fast since an earlier summary, or no longer are.
     *
     * @param earlier the earlier summary, not null
     * @return the workers, never null
     */
    public Set<WorkerId> changedSince(FleetSpeeds earlier) {
        Set<WorkerId> changed = new HashSet<>();
        addDifference(slow, earlier.slow, changed);
        addDifference(fast, earlier.fast, changed);
        return Set.copyOf(changed);
    }

    private static void addDifference(
            Set<WorkerId> first, Set<WorkerId> second, Set<WorkerId> difference) {
        first.stream().filter(id -> !second.contains(id)).forEach(difference::add);
        second.stream().filter(id -> !first.contains(id)).forEach(difference::add);
    }
}
