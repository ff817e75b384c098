package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What has ended of one step in one occurrence.
 *
 * <p>Use: part of {@link JobProgress}; a gang counts its failures under task 0.
 *
 * <p>Immutable and thread-safe.
 *
 * @param occurrence the occurrence from 0
 * @param step the step from 0
 * @param done the tasks that ended well
 * @param failures the failed attempts by task
 * @param checkpoints the newest saved progress by task
 */
public record StepProgress(
        int occurrence,
        int step,
        BitSet done,
        Map<Integer, Failures> failures,
        Map<Integer, String> checkpoints) {

    /**
     * The failed attempts at one task.
     *
     * <p>Several workers may list them again, in any order, to a scheduler that took over, so the
     * runs themselves are kept rather than their number.
     *
     * @param runs the numbers of the runs that failed, not null
     */
    public record Failures(Set<Long> runs) {

        /** No failed attempt. */
        public static final Failures NONE = new Failures(Set.of());

        /** Creates failures. */
        public Failures {
            runs = Set.copyOf(runs);
        }

        /**
         * Counts a failed run.
         *
         * @param run the run's number
         * @return the failures with it, never null; equal to these if the run was counted before
         */
        public Failures withRun(long run) {
            Set<Long> more = new HashSet<>(runs);
            more.add(run);
            return new Failures(more);
        }

        /**
         * Returns how many attempts failed.
         *
         * @return the number, 0 or more
         */
        public int count() {
            return runs.size();
        }
    }

    /**
     * Creates the progress of a step.
     *
     * @throws IllegalArgumentException if a value is missing or negative
     */
    public StepProgress {
        Checks.range("occurrence", occurrence, 0, Integer.MAX_VALUE);
        Checks.range("step", step, 0, Integer.MAX_VALUE);
        Checks.notNull("done", done);
        done = (BitSet) done.clone();
        failures = Map.copyOf(failures);
        checkpoints = Map.copyOf(checkpoints);
    }

    @Override
    public BitSet done() {
        return (BitSet) done.clone();
    }
}
