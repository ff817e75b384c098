package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.BitSet;
import java.util.Map;

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
     * @param count how many
     * @param lastRun the number of the last run that failed, so that none counts twice
     */
    public record Failures(int count, long lastRun) {

        /** No failed attempt. */
        public static final Failures NONE = new Failures(0, 0);

        /**
         * Counts a failed run.
         *
         * @param run the run's number
         * @return the failures with it, never null; the same if the run was counted before
         */
        public Failures plus(long run) {
            return run > lastRun ? new Failures(count + 1, run) : this;
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
