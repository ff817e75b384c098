package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * A step of a job: a number of like tasks and what each of them needs.
 *
 * <p>Use: decoded from a caller's submission; {@code step.demand()} is what a placement allocates.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the number of tasks, 1 to 10,000
 * @param demand what one task takes, not null
 * @param estimateMillis the caller's estimate of a task's run time, in milliseconds, 0 if unknown
 * @param after the earlier steps, by position from 0, whose tasks must all have ended well
 * @param checkpointing whether the tasks save their progress
 * @param gang whether the tasks work only together
 * @param rackLocal whether the tasks run slowly when spread over racks
 * @param label a label that the worker must have, empty for none
 * @param dataRack the rack next to the data, empty for none
 * @param maxPerWorker the most tasks of the step on one worker, 0 for no limit
 * @param speculative whether several runs of one task may overlap
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image what the tasks run, empty if unnamed; tasks of one image behave alike
 * @param tailTargetMillis the response time tail that a serving task must keep, 0 for none
 * @param filling whether the tasks use left-over processor time, so that it isn't allocated
 * @param maxUnavailable the most serving tasks that may be away by the scheduler's doing, 0 for no
 *     limit
 */
public record StepSpec(
        int count,
        Resources demand,
        long estimateMillis,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean rackLocal,
        String label,
        String dataRack,
        int maxPerWorker,
        boolean speculative,
        boolean longRunning,
        String image,
        long tailTargetMillis,
        boolean filling,
        int maxUnavailable) {

    /** The most tasks of a step. */
    public static final int MAX_TASKS = 10_000;

    /**
     * Creates a step.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public StepSpec {
        Checks.range("count", count, 1, MAX_TASKS);
        Checks.notNull("demand", demand);
        Checks.range("estimateMillis", estimateMillis, 0, Long.MAX_VALUE);
        after = List.copyOf(after);
        Checks.notNull("label", label);
        Checks.notNull("dataRack", dataRack);
        Checks.range("maxPerWorker", maxPerWorker, 0, Integer.MAX_VALUE);
        Checks.notNull("image", image);
        Checks.range("tailTargetMillis", tailTargetMillis, 0, Long.MAX_VALUE);
        Checks.range("maxUnavailable", maxUnavailable, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns what a task takes of its worker's capacity.
     *
     * @return the amount, never null; without the processor time of a filling task
     */
    public Resources allocation() {
        return filling ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }
}
