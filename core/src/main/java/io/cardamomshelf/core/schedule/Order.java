package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.TaskId;

/**
 * An order that a decision gives to a worker.
 *
 * <p>Use: carried out by the caller of {@link SchedulerState#decide}, whose outcome goes back to
 * the board.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface Order {

    /**
     * Returns the worker that is to carry it out.
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
     * @param spec the caller's text, not null
     * @param checkpoint the saved progress to go on from, empty for none
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
     * @param reason why, not null
     */
    record Stop(WorkerId worker, TaskId task, long run, StopReason reason) implements Order {}

    /** Why a run is stopped. */
    enum StopReason {
        /** The job was cancelled. */
        CANCELLED,
        /** The job has failed. */
        JOB_FAILED,
        /** Its room is needed by more urgent work. */
        RECLAIMED,
        /** Its worker leaves before it would end. */
        WORKER_LEAVES,
        /** Its gang can't be completed, or the start got no answer. */
        START_ABORTED,
        /** No job wants it. */
        UNWANTED
    }
}
