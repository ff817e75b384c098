package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import io.cardamomshelf.core.base.JobId;

/**
 * Identifies a step of a job in one occurrence.
 *
 * <p>Use: {@code StepId.of(job, 0, 1)}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param job the job, not null
 * @param occurrence the repetition, counted from 0
 * @param step the step, counted from 0
 */
public record StepId(JobId job, int occurrence, int step) {

    /**
     * Creates an identifier.
     *
     * @throws IllegalArgumentException if the job is missing or a number is negative
     */
    public StepId {
        Checks.notNull("job", job);
        Checks.range("occurrence", occurrence, 0, Integer.MAX_VALUE);
        Checks.range("step", step, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns the identifier of a step.
     *
     * @param job the job, not null
     * @param occurrence the repetition, counted from 0
     * @param step the step, counted from 0
     * @return the identifier, never null
     */
    public static StepId of(JobId job, int occurrence, int step) {
        return new StepId(job, occurrence, step);
    }

    @Override
    public String toString() {
        return job + "." + occurrence + "." + step;
    }
}
