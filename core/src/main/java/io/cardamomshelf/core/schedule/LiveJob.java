package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.CompletedSteps;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepProgress;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.core.task.TaskSet;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** An accepted job in the scheduler state: its job state, groups of tasks and host intents. */
final class LiveJob {

    private record GroupKey(int occurrence, int step) implements Comparable<GroupKey> {
        @Override
        public int compareTo(GroupKey other) {
            int order = Integer.compare(occurrence, other.occurrence);
            return order != 0 ? order : Integer.compare(step, other.step);
        }
    }

    private final TaskJob job;
    private final HostIntents hostIntents;
    private final TaskIntents taskIntents;

    /** The groups that aren't done, and those that are and still have runs. */
    private final Map<GroupKey, TaskGroup> groups = new TreeMap<>();

    private final StepCompletion completion;

    /** The stored progress of steps whose groups haven't been created yet. */
    private final Map<GroupKey, StepProgress> restoredSteps = new TreeMap<>();

    private JobState state;

    /**
     * Creates a job from its stored progress. An inherited job may have runs that this scheduler
     * doesn't know of yet, unless nothing is stored, as its host intents are stored before its
     * first run.
     */
    LiveJob(TaskJob job, Optional<JobProgress> storedProgress, boolean inherited) {
        JobProgress progress = storedProgress.orElse(JobProgress.QUEUED);
        this.job = job;
        this.state = progress.state();
        this.hostIntents = new HostIntents(storedProgress.map(JobProgress::hosts), inherited);
        this.taskIntents = new TaskIntents(storedProgress.map(JobProgress::tasks));
        this.completion = new StepCompletion(job.request().steps().size(), progress.completed());
        for (StepProgress step : progress.steps()) {
            if (step.done().cardinality() == job.request().steps().get(step.step()).count()) {
                completion.markDone(step.occurrence(), step.step());
            } else {
                restoredSteps.put(new GroupKey(step.occurrence(), step.step()), step);
            }
        }
    }

    TaskJob job() {
        return job;
    }

    /** The workers that are stored as possible hosts of its runs. */
    HostIntents hostIntents() {
        return hostIntents;
    }

    /** The tasks that are stored as possibly having runs. */
    TaskIntents taskIntents() {
        return taskIntents;
    }

    /** Records that the oldest progress record in flight is stored. */
    void confirmOldestRecord() {
        hostIntents.confirmOldestRecord();
        taskIntents.confirmOldestRecord();
    }

    JobState state() {
        return state;
    }

    boolean isEnded() {
        return state.isEnded();
    }

    /** The queue's policy in the newest configuration, or else the policy at acceptance. */
    QueuePolicy policy(Map<String, QueuePolicy> queues) {
        return queues.getOrDefault(job.queue().name(), job.queue());
    }

    void end(JobState endState) {
        state = endState;
    }

    /** Marks a queued job as running; returns false if it was not queued. */
    boolean markRunning() {
        if (state != JobState.QUEUED) {
            return false;
        }
        state = JobState.RUNNING;
        return true;
    }

    /** The groups whose due time and earlier steps allow a start; creates missing ones. */
    List<TaskGroup> readyGroups(long wallMillis) {
        List<TaskGroup> ready = new ArrayList<>();
        int occurrence = completion.nextOpen(0);
        while (occurrence < job.request().occurrences()
                && job.request().dueMillis(occurrence) <= wallMillis) {
            for (int step = 0; step < job.request().steps().size(); step++) {
                if (!isStepDone(occurrence, step) && areEarlierStepsDone(occurrence, step)) {
                    ready.add(findOrCreateGroup(occurrence, step, wallMillis));
                }
            }
            occurrence = completion.nextOpen(occurrence + 1);
        }
        return ready;
    }

    Collection<TaskGroup> groups() {
        return groups.values();
    }

    /** The group of a task, created if needed; empty if the job has no such task. */
    Optional<TaskGroup> group(TaskId task, long wallMillis) {
        if (task.occurrence() >= job.request().occurrences()
                || task.step() >= job.request().steps().size()
                || task.index() >= job.request().steps().get(task.step()).count()) {
            return Optional.empty();
        }
        return Optional.of(findOrCreateGroup(task.occurrence(), task.step(), wallMillis));
    }

    boolean hasFailed(int maxAttempts) {
        return groups.values().stream().anyMatch(group -> group.hasFailed(maxAttempts));
    }

    boolean isIdle() {
        return groups.values().stream().allMatch(group -> group.runs().isEmpty());
    }

    boolean isDone() {
        for (int occurrence = completion.nextOpen(0);
                occurrence < job.request().occurrences();
                occurrence = completion.nextOpen(occurrence + 1)) {
            for (int step = 0; step < job.request().steps().size(); step++) {
                if (!isStepDone(occurrence, step)) {
                    return false;
                }
            }
        }
        return true;
    }

    /**
     * Returns the progress to store, which counts as in flight from now on. {@code allReported} is
     * whether the runs of all inherited workers are known. The record of an ended job has no steps,
     * as none of them starts again.
     */
    JobProgress nextRecord(boolean allReported) {
        completeDoneGroups();
        List<StepProgress> steps = new ArrayList<>();
        if (!isEnded()) {
            steps.addAll(restoredSteps.values());
            groups.values().stream()
                    .filter(group -> !group.isDone() && group.hasProgress())
                    .forEach(group -> steps.add(group.progress()));
        }
        List<WorkerId> runningWorkers =
                groups.values().stream()
                        .flatMap(group -> group.runs().stream())
                        .map(run -> run.worker.id())
                        .toList();
        return new JobProgress(
                state,
                steps,
                hostIntents.nextRecord(runningWorkers),
                isEnded() ? CompletedSteps.NONE : completion.toRecord(),
                taskIntents.nextRecord(groups.values(), allReported));
    }

    /** Keeps only the mark of groups that are done and have no runs any more. */
    private void completeDoneGroups() {
        groups.forEach(
                (key, group) -> {
                    if (group.isDone()) {
                        completion.markDone(key.occurrence(), key.step());
                    }
                });
        groups.values().removeIf(group -> group.isDone() && group.runs().isEmpty());
    }

    /** What a task of a step needs; nothing if there is no such step. */
    Resources demand(int step) {
        List<StepSpec> steps = job.request().steps();
        return step < steps.size() ? steps.get(step).demand() : Resources.NONE;
    }

    /**
     * Returns by step how many tasks an earlier scheduler may have started that aren't known to run
     * or to be done. If its record allows any task, all tasks that are due count.
     */
    int[] unreportedTasks(long wallMillis) {
        int[] counts = new int[job.request().steps().size()];
        TaskSet recorded = taskIntents.inherited();
        if (!recorded.any()) {
            for (TaskSet.StepTasks tasks : recorded.steps()) {
                if (tasks.step() < counts.length) {
                    BitSet unknown = tasks.tasks();
                    unknown.andNot(knownTasks(tasks.occurrence(), tasks.step()));
                    counts[tasks.step()] += unknown.cardinality();
                }
            }
        } else if (state != JobState.COMPLETED) {
            for (int occurrence = completion.nextOpen(0);
                    occurrence < job.request().occurrences()
                            && job.request().dueMillis(occurrence) <= wallMillis;
                    occurrence = completion.nextOpen(occurrence + 1)) {
                for (int step = 0; step < counts.length; step++) {
                    counts[step] +=
                            job.request().steps().get(step).count()
                                    - knownTasks(occurrence, step).cardinality();
                }
            }
        }
        return counts;
    }

    /** The tasks of a step that are done or have a known run. */
    private BitSet knownTasks(int occurrence, int step) {
        GroupKey key = new GroupKey(occurrence, step);
        BitSet known = new BitSet();
        if (groups.containsKey(key)) {
            known.or(groups.get(key).progress().done());
            groups.get(key).runs().forEach(run -> known.set(run.task.index()));
        } else if (restoredSteps.containsKey(key)) {
            known.or(restoredSteps.get(key).done());
        } else if (completion.isDone(occurrence, step)) {
            known.set(0, job.request().steps().get(step).count());
        }
        return known;
    }

    /** The accelerators that its widest step needs at once. */
    long peakAccelerators() {
        return job.request().steps().stream()
                .mapToLong(step -> (long) step.count() * step.demand().accelerators())
                .max()
                .orElse(0);
    }

    private boolean areEarlierStepsDone(int occurrence, int step) {
        return job.request().steps().get(step).after().stream()
                .allMatch(before -> isStepDone(occurrence, before));
    }

    private boolean isStepDone(int occurrence, int step) {
        TaskGroup group = groups.get(new GroupKey(occurrence, step));
        return group != null ? group.isDone() : completion.isDone(occurrence, step);
    }

    private TaskGroup findOrCreateGroup(int occurrence, int step, long wallMillis) {
        return groups.computeIfAbsent(
                new GroupKey(occurrence, step),
                key -> {
                    TaskGroup group = new TaskGroup(this, occurrence, step, wallMillis);
                    StepProgress progress = restoredSteps.remove(key);
                    if (progress != null) {
                        group.restore(progress);
                    }
                    if (completion.isDone(occurrence, step)) {
                        group.restoreAsDone();
                    }
                    return group;
                });
    }
}
