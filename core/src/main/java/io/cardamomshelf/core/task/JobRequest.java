package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * What a caller asks for: steps of tasks, once or at set times.
 *
 * <p>Use: decoded from a submission, kept with the accepted job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param spec the caller's own text, handed to the workers unread, not null
 * @param steps the steps, not empty; each names only earlier ones as its predecessors
 * @param repetitions how often the steps run at set times, 0 for once and at once
 * @param firstDueMillis when the first repetition is due, in milliseconds since 1970
 * @param intervalMillis the time between repetitions, in milliseconds
 */
public record JobRequest(
        String spec,
        List<StepSpec> steps,
        int repetitions,
        long firstDueMillis,
        long intervalMillis) {

    /** The longest text of a caller, in bytes. */
    public static final int MAX_SPEC_BYTES = 4_000;

    private static final int MAX_STEPS = 100;
    private static final int MAX_REPETITIONS = 10_000;

    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if a value is missing or out of range, or a step names one
     *     that doesn't precede it
     */
    public JobRequest {
        Checks.notNull("spec", spec);
        steps = List.copyOf(steps);
        Checks.range("steps", steps.size(), 1, MAX_STEPS);
        Checks.range("repetitions", repetitions, 0, MAX_REPETITIONS);
        Checks.range("firstDueMillis", firstDueMillis, 0, Long.MAX_VALUE);
        Checks.range("intervalMillis", intervalMillis, 0, Long.MAX_VALUE);
        for (int i = 0; i < steps.size(); i++) {
            for (int predecessor : steps.get(i).after()) {
                Checks.range("steps." + i + ".after", predecessor, 0, i - 1L);
            }
        }
    }

    /**
     * Returns the length of the longest chain of steps, by the caller's estimates.
     *
     * @return milliseconds, 0 if the caller gave none
     */
    public long longestChainMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                ends[i] = Math.max(ends[i], ends[before]);
            }
            ends[i] += steps.get(i).estimateMillis();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /**
     * Returns how often the steps run.
     *
     * @return the number of occurrences, 1 or more
     */
    public int occurrences() {
        return Math.max(1, repetitions);
    }

    /**
     * Asks whether the steps run at set times.
     *
     * @return true if they wait for a due time
     */
    public boolean isTimed() {
        return repetitions > 0;
    }

    /**
     * Returns when an occurrence may start.
     *
     * @param occurrence its number from 0
     * @return milliseconds since 1970, 0 if it isn't timed
     */
    public long dueMillis(int occurrence) {
        return isTimed() ? firstDueMillis + occurrence * intervalMillis : 0;
    }
}
