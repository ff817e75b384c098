package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The progress of one step in one occurrence: its completed tasks, failures and checkpoints.
 *
 * <p>Use: part of {@link JobProgress}. The failures of a gang are recorded for task 0.
 *
 * <p>Immutable and thread-safe.
 *
 * @param occurrence the occurrence, counted from 0
 * @param step the step, counted from 0
 * @param done the tasks that have succeeded
 * @param failures the failed attempts by task
 * @param checkpoints the newest checkpoint by task
 */
public record StepProgress(
        int occurrence,
        int step,
        BitSet done,
        Map<Integer, Failures> failures,
        Map<Integer, String> checkpoints) {

    /**
     * The failed attempts of one task.
     *
     * <p>After a takeover, several workers may report the same failures again, in any order. The
     * numbers of the runs are stored rather than a count, so that each failure counts once.
     *
     * @param runs the numbers of the runs that failed, not null
     */
    public record Failures(Set<Long> runs) {

        /** No failed attempt. */
        public static final Failures NONE = new Failures(Set.of());

        /** Creates a set of failures. */
        public Failures {
            runs = Set.copyOf(runs);
        }

        /**
         * Adds a failed run.
         *
         * @param run the run's number
         * @return the failures including the run, never null; equal to these if it was included
         *     before
         */
        public Failures withRun(long run) {
            Set<Long> extended = new HashSet<>(runs);
            extended.add(run);
            return new Failures(extended);
        }

        /**
         * Returns the number of failed attempts.
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
