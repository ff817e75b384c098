package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.List;
import java.util.stream.LongStream;

/**
 * A caller's request for a job: steps of tasks that run once, or repeatedly at set times.
 *
 * <p>Use: decoded from a submission and stored with the accepted job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param spec the caller's text for the workers, passed on without interpretation, not null
 * @param steps the steps, not empty; the predecessors of a step come before it
 * @param repetitions how often the steps run at set times, 0 to run once and immediately
 * @param firstDueMillis when the first repetition is due, in milliseconds since 1970
 * @param intervalMillis the time between repetitions, in milliseconds
 */
public record JobRequest(
        String spec,
        List<StepSpec> steps,
        int repetitions,
        long firstDueMillis,
        long intervalMillis) {

    /** The maximum length of the caller's text, in bytes. */
    public static final int MAX_SPEC_BYTES = 4_000;

    private static final int MAX_STEPS = 100;
    private static final int MAX_REPETITIONS = 10_000;

    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if a value is missing or out of range, or a step doesn't
     *     come after its predecessors
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
     * Returns the duration of the longest chain of dependent steps, by the caller's estimates.
     *
     * @return milliseconds, 0 if the caller gave no estimates
     */
    public long longestChainMillis() {
        return LongStream.of(chainsMillis()).max().orElse(0);
    }

    /**
     * Returns the duration of the longest chain of dependent steps that begins with a step, by the
     * caller's estimates.
     *
     * @param first the step, counted from 0
     * @return milliseconds, 0 if the caller gave no estimates
     */
    public long longestChainMillis(int first) {
        return chainsMillis()[first];
    }

    /** The longest chain that begins with each step. */
    private long[] chainsMillis() {
        long[] chains = new long[steps.size()];
        for (int i = steps.size() - 1; i >= 0; i--) {
            chains[i] += steps.get(i).estimateMillis();
            for (int predecessor : steps.get(i).after()) {
                chains[predecessor] = Math.max(chains[predecessor], chains[i]);
            }
        }
        return chains;
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
     * Returns whether the steps run at set times.
     *
     * @return true if each occurrence has a due time
     */
    public boolean isTimed() {
        return repetitions > 0;
    }

    /**
     * Returns the time from which an occurrence may start.
     *
     * @param occurrence the occurrence, counted from 0
     * @return milliseconds since 1970, 0 if the steps don't run at set times
     */
    public long dueMillis(int occurrence) {
        if (!isTimed()) {
            return 0;
        }
        boolean isBeyondRange =
                occurrence > 0 && intervalMillis > (Long.MAX_VALUE - firstDueMillis) / occurrence;
        return isBeyondRange ? Long.MAX_VALUE : firstDueMillis + occurrence * intervalMillis;
    }
}
