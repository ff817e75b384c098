package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.BitSet;
import java.util.Map;

/**
 * The steps of a job that are done, in a form whose size depends on the occurrences that are open
 * rather than on those that are done.
 *
 * <p>Use: part of {@link JobProgress}. All occurrences before {@code firstOpen} are done.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstOpen the first occurrence that isn't done, counted from 0
 * @param laterDone the occurrences after it that are done, as their distances from it
 * @param stepsDone the steps that are done in each open occurrence; empty ones may be left out
 */
public record CompletedSteps(int firstOpen, BitSet laterDone, Map<Integer, BitSet> stepsDone) {

    /** Nothing is done. */
    public static final CompletedSteps NONE = new CompletedSteps(0, new BitSet(), Map.of());

    /**
     * Creates the steps.
     *
     * @throws IllegalArgumentException if a value is missing or negative
     */
    public CompletedSteps {
        Checks.range("firstOpen", firstOpen, 0, Integer.MAX_VALUE);
        Checks.notNull("laterDone", laterDone);
        laterDone = (BitSet) laterDone.clone();
        stepsDone = Map.copyOf(stepsDone);
    }

    @Override
    public BitSet laterDone() {
        return (BitSet) laterDone.clone();
    }
}
