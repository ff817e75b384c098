package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * How far a job has come, as stored: enough for another scheduler to go on from.
 *
 * <p>Use: written whole whenever something of it has changed; the newest one counts. What runs now
 * isn't in it, as the workers tell that themselves; only where it may run is.
 *
 * <p>Immutable and thread-safe.
 *
 * @param state the state to show, not null
 * @param steps the steps of which something has ended, not null
 * @param hosts where runs may be; null, as in records of before there were any, is anywhere
 */
public record JobProgress(JobState state, List<StepProgress> steps, RunHosts hosts) {

    /** An accepted job of which nothing has started. */
    public static final JobProgress QUEUED =
            new JobProgress(JobState.QUEUED, List.of(), RunHosts.NONE);

    /**
     * Creates a progress.
     *
     * @throws IllegalArgumentException if a value is missing
     */
    public JobProgress {
        Checks.notNull("state", state);
        steps = List.copyOf(steps);
        hosts = hosts == null ? RunHosts.ANYWHERE : hosts;
    }
}
