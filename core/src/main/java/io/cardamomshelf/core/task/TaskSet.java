package io.cardamomshelf.core.task;

import io.cardamomshelf.core.base.Checks;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;

/**
 * A set of tasks of one job.
 *
 * <p>Use: part of {@link JobProgress}, as the tasks that may have runs.
 *
 * <p>Immutable and thread-safe.
 *
 * @param any whether all tasks of the job are included; then {@code steps} is empty
 * @param steps the tasks by step and occurrence, each at most once, not null
 */
public record TaskSet(boolean any, List<StepTasks> steps) {

    /** All tasks. */
    public static final TaskSet ANY = new TaskSet(true, List.of());

    /** No task. */
    public static final TaskSet NONE = new TaskSet(false, List.of());

    /**
     * Tasks of one step in one occurrence.
     *
     * @param occurrence the occurrence, counted from 0
     * @param step the step, counted from 0
     * @param tasks the indices of the tasks, not null
     */
    public record StepTasks(int occurrence, int step, BitSet tasks) {

        /**
         * Creates the tasks.
         *
         * @throws IllegalArgumentException if the tasks are missing
         */
        public StepTasks {
            Checks.notNull("tasks", tasks);
            tasks = (BitSet) tasks.clone();
        }

        @Override
        public BitSet tasks() {
            return (BitSet) tasks.clone();
        }

        private boolean isOf(int otherOccurrence, int otherStep) {
            return occurrence == otherOccurrence && step == otherStep;
        }
    }

    /** Creates a set of tasks. */
    public TaskSet {
        steps = List.copyOf(steps);
    }

    /**
     * Returns whether this set includes tasks of one step.
     *
     * @param occurrence the occurrence, counted from 0
     * @param step the step, counted from 0
     * @param tasks the indices of the tasks, not null
     * @return true if each of them is included
     */
    public boolean containsAll(int occurrence, int step, BitSet tasks) {
        if (any) {
            return true;
        }
        BitSet missing = (BitSet) tasks.clone();
        find(occurrence, step).ifPresent(found -> missing.andNot(found.tasks));
        return missing.isEmpty();
    }

    /**
     * Returns whether this set includes a task.
     *
     * @param occurrence the occurrence, counted from 0
     * @param step the step, counted from 0
     * @param index the task's index
     * @return true if it is included
     */
    public boolean contains(int occurrence, int step, int index) {
        return any || find(occurrence, step).filter(found -> found.tasks.get(index)).isPresent();
    }

    /**
     * Returns the intersection with another set.
     *
     * @param other the other set, not null
     * @return the tasks in both sets, never null
     */
    public TaskSet intersection(TaskSet other) {
        if (any) {
            return other;
        }
        if (other.any) {
            return this;
        }
        List<StepTasks> shared = new ArrayList<>();
        for (StepTasks own : steps) {
            other.find(own.occurrence, own.step)
                    .ifPresent(
                            found -> {
                                BitSet tasks = own.tasks();
                                tasks.and(found.tasks);
                                shared.add(new StepTasks(own.occurrence, own.step, tasks));
                            });
        }
        return new TaskSet(false, shared);
    }

    /**
     * Returns the union with another set.
     *
     * @param other the other set, not null
     * @return the tasks in either set, never null
     */
    public TaskSet union(TaskSet other) {
        if (any || other.any) {
            return ANY;
        }
        List<StepTasks> united = new ArrayList<>();
        for (StepTasks own : steps) {
            BitSet tasks = own.tasks();
            other.find(own.occurrence, own.step).ifPresent(found -> tasks.or(found.tasks));
            united.add(new StepTasks(own.occurrence, own.step, tasks));
        }
        other.steps.stream()
                .filter(found -> find(found.occurrence, found.step).isEmpty())
                .forEach(united::add);
        return new TaskSet(false, united);
    }

    private Optional<StepTasks> find(int occurrence, int step) {
        return steps.stream().filter(found -> found.isOf(occurrence, step)).findFirst();
    }
}
