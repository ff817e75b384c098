package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.List;

/**
 * A step of a job: a number of identical tasks with their requirements.
 *
 * <p>Use: decoded from a caller's submission. A placement allocates {@code step.allocation()} for
 * each task.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the number of tasks, 1 to 10,000
 * @param demand the resources that one task needs, not null
 * @param estimateMillis the caller's estimate of a task's run time, in milliseconds, 0 if unknown
 * @param after the positions, counted from 0, of the earlier steps whose tasks must all succeed
 *     first
 * @param checkpointing whether the tasks write checkpoints
 * @param gang whether the tasks must run at the same time
 * @param rackLocal whether the tasks run slowly if they are spread over racks
 * @param label a label that the worker must have, empty for none
 * @param dataRack the rack closest to the data, empty for none
 * @param maxPerWorker the maximum number of tasks of the step on one worker, 0 for no limit
 * @param speculative whether several runs of one task may be active at the same time
 * @param longRunning whether the tasks run until the job is cancelled
 * @param image the image that the tasks run, empty if unknown; tasks of the same image behave alike
 * @param tailTargetMillis the target for the tail of a serving task's response times, in
 *     milliseconds, 0 for none
 * @param filling whether the tasks only use spare processor time, which is then not allocated to
 *     them
 * @param maxUnavailable the maximum number of serving tasks that the scheduler may make unavailable
 *     at a time, 0 for no limit
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

    /** The maximum number of tasks of a step. */
    public static final int MAX_TASKS = 10_000;

    /** Longer estimates count as this long, a year in milliseconds, so that sums don't overflow. */
    private static final long MAX_ESTIMATE_MILLIS = 365L * 24 * 3_600 * 1_000;

    /**
     * Creates a step.
     *
     * @throws IllegalArgumentException if a value is missing or out of range
     */
    public StepSpec {
        Checks.range("count", count, 1, MAX_TASKS);
        Checks.notNull("demand", demand);
        Checks.range("estimateMillis", estimateMillis, 0, Long.MAX_VALUE);
        estimateMillis = Math.min(estimateMillis, MAX_ESTIMATE_MILLIS);
        after = List.copyOf(after);
        Checks.notNull("label", label);
        Checks.notNull("dataRack", dataRack);
        Checks.range("maxPerWorker", maxPerWorker, 0, Integer.MAX_VALUE);
        Checks.notNull("image", image);
        Checks.range("tailTargetMillis", tailTargetMillis, 0, Long.MAX_VALUE);
        Checks.range("maxUnavailable", maxUnavailable, 0, Integer.MAX_VALUE);
    }

    /**
     * Returns the amount of its worker's capacity that a task is allocated.
     *
     * @return the amount, never null; a filling task is allocated no processor time
     */
    public Resources allocation() {
        return filling ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }
}
