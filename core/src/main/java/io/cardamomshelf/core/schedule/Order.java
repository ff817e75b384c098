package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.TaskId;

/**
 * An order to a worker, as the result of a decision.
 *
 * <p>Use: the caller of {@link SchedulerState#decide} carries it out and passes the outcome back to
 * the scheduler state.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface Order {

    /**
     * Returns the worker that the order is for.
     *
     * @return the worker, never null
     */
    WorkerId worker();

    /**
     * Returns the task.
     *
     * @return the task, never null
     */
    TaskId task();

    /**
     * Returns the number of the run.
     *
     * @return the number, from 1, rising over all starts of the task
     */
    long run();

    /**
     * Starts a run.
     *
     * @param worker the worker, not null
     * @param task the task, not null
     * @param run the run's number
     * @param spec the task's specification as the caller wrote it, not null
     * @param checkpoint the checkpoint to resume from, empty for none
     * @param ticket the placement advice's ticket, empty where none is needed
     */
    record Start(
            WorkerId worker, TaskId task, long run, String spec, String checkpoint, String ticket)
            implements Order {}

    /**
     * Stops a run.
     *
     * @param worker the worker, not null
     * @param task the task, not null
     * @param run the run's number
     * @param reason the reason, not null
     */
    record Stop(WorkerId worker, TaskId task, long run, StopReason reason) implements Order {}

    /** The reason for stopping a run. */
    enum StopReason {
        /** The job was cancelled. */
        CANCELLED,
        /** The job has failed. */
        JOB_FAILED,
        /** More urgent work needs its capacity. */
        RECLAIMED,
        /** Its worker is draining, and the run won't end in time. */
        WORKER_LEAVES,
        /** Its gang can't finish, or its start got no answer. */
        START_ABORTED,
        /** No live job needs it. */
        UNWANTED
    }
}
