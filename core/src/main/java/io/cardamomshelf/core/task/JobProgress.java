package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * The stored progress of a job, from which another scheduler can continue the job.
 *
 * <p>Use: the scheduler stores the complete progress after each change; the newest record is valid.
 * It doesn't include the current runs, which the workers report, but only the workers that may have
 * runs of the job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state the state that callers see, not null
 * @param steps the progress of the steps that have ended runs and aren't done, not null
 * @param hosts the workers that may have runs; null, as in older records without this field, means
 *     any worker
 * @param completed the steps that are done; null, as in older records without this field, means
 *     that {@code steps} has those, too
 * @param tasks the tasks that may have runs; null, as in older records without this field, means
 *     any task
 */
public record JobProgress(
        JobState state,
        List<StepProgress> steps,
        RunHosts hosts,
        CompletedSteps completed,
        TaskSet tasks) {

    /** The progress of an accepted job that has not started. */
    public static final JobProgress QUEUED =
            new JobProgress(
                    JobState.QUEUED, List.of(), RunHosts.NONE, CompletedSteps.NONE, TaskSet.NONE);

    /**
     * Creates the progress of a job.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public JobProgress {
        Checks.notNull("state", state);
        steps = List.copyOf(steps);
        hosts = hosts == null ? RunHosts.ANYWHERE : hosts;
        completed = completed == null ? CompletedSteps.NONE : completed;
        tasks = tasks == null ? TaskSet.ANY : tasks;
    }

    /**
     * Returns whether the job may have runs by this record, also if it has ended.
     *
     * @return false if it has none
     */
    public boolean mayHaveRuns() {
        return tasks.any() ? state != JobState.COMPLETED : !tasks.steps().isEmpty();
    }

    /**
     * Creates the progress of a job of which no step is done and any task may have runs.
     *
     * @param state the state that callers see, not null
     * @param steps the progress of the steps that have ended runs, not null
     * @param hosts the workers that may have runs; null means any worker
     */
    public JobProgress(JobState state, List<StepProgress> steps, RunHosts hosts) {
        this(state, steps, hosts, CompletedSteps.NONE, TaskSet.ANY);
    }
}
