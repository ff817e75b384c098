package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.StepId;
import io.cardamomshelf.core.task.TaskJob;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The accepted jobs of a {@link SchedulerState}, and a list of those with changed progress to
 * store.
 */
final class LiveJobTable {

    private final Map<JobId, LiveJob> jobs = new LinkedHashMap<>();
    private final Set<JobId> changedJobs = new LinkedHashSet<>();
    private final Set<LiveJob> jobsWithUnreportedHosts = new LinkedHashSet<>();
    private Map<String, QueuePolicy> queues = Map.of();

    void configure(Map<String, QueuePolicy> newQueues) {
        queues = Map.copyOf(newQueues);
    }

    void add(TaskJob job, Optional<JobProgress> storedProgress, boolean inherited) {
        jobs.computeIfAbsent(job.id(), id -> new LiveJob(job, storedProgress, inherited));
    }

    Optional<LiveJob> find(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    Collection<LiveJob> all() {
        return List.copyOf(jobs.values());
    }

    QueuePolicy policy(LiveJob job) {
        return job.policy(queues);
    }

    /** Ends a job; returns false if it isn't known or had ended. */
    boolean end(JobId id, JobState end) {
        LiveJob job = jobs.get(id);
        if (job == null || job.isEnded()) {
            return false;
        }
        end(job, end);
        return true;
    }

    /** Removes a job if it has ended and has no run left. */
    void removeIfEnded(JobId id) {
        LiveJob job = jobs.get(id);
        if (job != null && job.isEnded() && job.isIdle()) {
            jobs.remove(id);
        }
    }

    /** The steps of all jobs in the table. */
    Set<StepId> steps() {
        Set<StepId> steps = new LinkedHashSet<>();
        for (LiveJob job : jobs.values()) {
            job.groups().forEach(group -> steps.add(group.id()));
        }
        return steps;
    }

    /** Adds workers to a job's host intents, and marks the job for storing if that is needed. */
    void addHostIntents(LiveJob job, Collection<WorkerId> hosts) {
        if (job.hostIntents().add(hosts)) {
            markChanged(job.job().id());
        }
    }

    /** Adds tasks to a job's task intents, and marks the job for storing if that is needed. */
    void addTaskIntents(TaskGroup group, Collection<Integer> tasks) {
        LiveJob job = group.owner();
        if (job.taskIntents().add(group, tasks)) {
            markChanged(job.job().id());
        }
    }

    /** Extends a job's host intent to any worker, and marks the job if that has to be stored. */
    void addIntentForAnyWorker(LiveJob job) {
        if (job.hostIntents().addAnyWorker()) {
            markChanged(job.job().id());
        }
    }

    /**
     * Records that all inherited jobs are loaded, and which workers may have runs that aren't
     * known.
     */
    void endInheritance(Set<WorkerId> unreported) {
        for (LiveJob job : jobs.values()) {
            job.hostIntents().retainUnreported(unreported);
            if (job.hostIntents().hasUnreportedWorkers()) {
                jobsWithUnreportedHosts.add(job);
            }
        }
    }

    /** Records that all runs of a worker are known, except possibly those of some jobs. */
    void markReported(WorkerId worker, Set<JobId> exceptJobs) {
        for (LiveJob job : jobsWithUnreportedHosts) {
            if (!exceptJobs.contains(job.job().id())) {
                job.hostIntents().markReported(worker);
            }
        }
        jobsWithUnreportedHosts.removeIf(job -> !job.hostIntents().hasUnreportedWorkers());
    }

    void markChanged(JobId id) {
        changedJobs.add(id);
    }

    /** Ends the jobs that are done or have failed. */
    void updateStates() {
        for (LiveJob job : jobs.values()) {
            if (job.isEnded()) {
                continue;
            }
            if (job.hasFailed(policy(job).maxAttempts())) {
                end(job, JobState.FAILED);
            } else if (job.isDone()) {
                end(job, JobState.COMPLETED);
            }
        }
    }

    /**
     * Returns the changed progress to store, which counts as in flight from now on. {@code
     * allReported} is whether the runs of all inherited workers are known.
     */
    Map<JobId, JobProgress> takeChangedProgress(boolean allReported) {
        Map<JobId, JobProgress> result = new LinkedHashMap<>();
        for (JobId id : changedJobs) {
            find(id).ifPresent(job -> result.put(id, job.nextRecord(allReported)));
        }
        changedJobs.clear();
        return result;
    }

    private void end(LiveJob job, JobState state) {
        job.end(state);
        changedJobs.add(job.job().id());
    }
}
