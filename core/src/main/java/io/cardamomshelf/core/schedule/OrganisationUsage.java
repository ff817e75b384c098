package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What may be running of each organisation, by the demands of the tasks.
 *
 * <p>These count: the runs on all workers until their end is certain, also those that are being
 * stopped and those on unresponsive workers; runs that a worker lists and no job needs; starts
 * without an answer that may still be carried out; and, after a change of scheduler, the tasks that
 * are recorded as possibly running on workers that haven't reported yet.
 *
 * <p>Limits: a filling task counts with its whole demand of cores. Runs of jobs that this scheduler
 * doesn't know, as their retention has passed, belong to no organisation and don't count.
 */
final class OrganisationUsage {

    /** No usage at all. */
    static final OrganisationUsage NONE = new OrganisationUsage();

    private final Map<OrganisationId, Resources> used = new HashMap<>();

    private OrganisationUsage() {}

    static OrganisationUsage of(WorkerTable workers, LiveJobTable jobs, ClockReading now) {
        OrganisationUsage usage = new OrganisationUsage();
        for (WorkerState worker : workers.all()) {
            for (Run run : worker.runs()) {
                usage.add(run.group.owner(), run.group.spec().demand());
            }
        }
        workers.lateStarts(now)
                .forEach(run -> usage.add(run.group.owner(), run.group.spec().demand()));
        workers.orphans()
                .tasks()
                .forEach(
                        task ->
                                jobs.find(task.job())
                                        .ifPresent(job -> usage.add(job, job.demand(task.step()))));
        if (!workers.unreported().isEmpty()) {
            usage.addUnreported(workers, jobs, now);
        }
        return usage;
    }

    Resources of(OrganisationId organisation) {
        return used.getOrDefault(organisation, Resources.NONE);
    }

    /** The usage of all organisations that have any. */
    Map<OrganisationId, Resources> all() {
        return used;
    }

    /**
     * Adds the recorded tasks that aren't known to run, as far as the workers that haven't reported
     * can have them: far more tasks are recorded than started.
     */
    private void addUnreported(WorkerTable workers, LiveJobTable jobs, ClockReading now) {
        Resources capacity = capacityOf(workers, workers.unreported());
        Map<OrganisationId, Resources> allocated = new HashMap<>();
        for (LiveJob job : jobs.all()) {
            if (job.hostIntents().mayHaveUnreportedRuns(false)) {
                int[] tasks = job.unreportedTasks(now.wallMillis());
                for (int step = 0; step < tasks.length; step++) {
                    StepSpec spec = job.job().request().steps().get(step);
                    allocated.merge(
                            job.job().organisation(),
                            spec.allocation().timesSaturated(tasks[step]),
                            Resources::plusSaturated);
                    add(job, spareDemand(spec).timesSaturated(tasks[step]));
                }
            }
        }
        allocated.forEach(
                (organisation, amount) ->
                        used.merge(organisation, amount.min(capacity), Resources::plusSaturated));
    }

    private static Resources capacityOf(WorkerTable workers, Collection<WorkerId> ids) {
        Resources capacity = Resources.NONE;
        for (WorkerId id : ids) {
            capacity =
                    workers.find(id)
                            .map(worker -> worker.info().capacity())
                            .orElse(Resources.NONE)
                            .plusSaturated(capacity);
        }
        return capacity;
    }

    /** The processor time that a filling task demands beyond its allocation. */
    private static Resources spareDemand(StepSpec spec) {
        return spec.demand().minus(spec.allocation());
    }

    private void add(LiveJob job, Resources amount) {
        used.merge(job.job().organisation(), amount, Resources::plusSaturated);
    }
}
