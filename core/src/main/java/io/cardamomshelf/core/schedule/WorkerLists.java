package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import java.util.List;
import java.util.OptionalLong;

/**
 * The lists of current and ended runs that a worker returned.
 *
 * <p>Use: pass each answer to {@link SchedulerState#updateRuns}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param bornMillis the incarnation that answered, in milliseconds since 1970
 * @param running the current runs, not null
 * @param ended the ends that aren't acknowledged yet, in order, not null
 */
public record WorkerLists(long bornMillis, List<Running> running, List<Ended> ended) {

    /**
     * A current run.
     *
     * @param task the task, not null
     * @param run the run's number
     * @param checkpoint its newest saved progress, empty for none
     * @param percent its progress in percent, or 100 for a serving task that is up
     * @param measurement a rough measurement of the last half second: the tail of the response
     *     times of a serving task, in milliseconds, or the processor time that any other task uses,
     *     in thousandths of a core; empty if the worker doesn't list it
     */
    public record Running(
            TaskId task, long run, String checkpoint, int percent, OptionalLong measurement) {

        /**
         * Creates a run without a measurement.
         *
         * @param task the task, not null
         * @param run the run's number
         * @param checkpoint its newest saved progress, empty for none
         * @param percent its progress in percent, or 100 for a serving task that is up
         */
        public Running(TaskId task, long run, String checkpoint, int percent) {
            this(task, run, checkpoint, percent, OptionalLong.empty());
        }
    }

    /**
     * A run that ended.
     *
     * @param number the end's number in the worker's incarnation, from 1
     * @param task the task, not null
     * @param run the run's number
     * @param end how it ended, not null
     * @param checkpoint its newest saved progress, empty for none
     */
    public record Ended(long number, TaskId task, long run, RunEnd end, String checkpoint) {}

    /** Creates lists. */
    public WorkerLists {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
