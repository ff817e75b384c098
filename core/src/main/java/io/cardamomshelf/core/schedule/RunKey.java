package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.TaskId;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param number the number of the run
 */
record RunKey(TaskId task, long number) {

    /** Written out, as the generated method is costly to set up in a restarted process. */
    @Override
    public boolean equals(Object other) {
        return other instanceof RunKey that && number == that.number && task.equals(that.task);
    }

    /** Written out for the same reason as {@link #equals}. */
    @Override
    public int hashCode() {
        return task.hashCode() * 31 + Long.hashCode(number);
    }
}
