package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;

/**
 * Identifies a task of a job.
 *
 * <p>Use: {@code TaskId.of(job, 0, 1, 17)}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param occurrence the repetition, counted from 0; 0 for a job that runs once
 * @param step the step, counted from 0
 * @param index the task's position in its step, counted from 0
 */
public record TaskId(JobId job, int occurrence, int step, int index) {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the job is missing or a number is negative
     */
    public TaskId {
        Checks.notNull("job", job);
        Checks.range("occurrence", occurrence, 0, Integer.MAX_VALUE);
        Checks.range("step", step, 0, Integer.MAX_VALUE);
        Checks.range("index", index, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns the identifier of a task.
     *
     * @param job the job, not null
     * @param occurrence the repetition, counted from 0
     * @param step the step, counted from 0
     * @param index the task's position, counted from 0
     * @return the identifier, never null
     */
    public static TaskId of(JobId job, int occurrence, int step, int index) {
        return new TaskId(job, occurrence, step, index);
    }

    /** Written out, as the generated method is costly to set up in a restarted process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof TaskId that
                && index == that.index
                && step == that.step
                && occurrence == that.occurrence
                && job.equals(that.job);
    }

    /** Written out for the same reason as {@link #equals}. */
    @Override
    public int hashCode() {
        return ((job.hashCode() * 31 + occurrence) * 31 + step) * 31 + index;
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
