package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.StepSpec;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Finds jobs that no registered worker could ever run, so that they are refused at once.
 *
 * <p>Tasks that are larger than every worker, or that require a label which no worker has, would
 * wait until their callers give up. The check compares the demand with each worker's total capacity
 * and ignores current use, so no job is refused because the fleet is busy.
 *
 * <p>Stateless and thread-safe.
 */
public final class Feasibility {

    private Feasibility() {}

    /**
     * Finds a step whose tasks no worker of the service could run.
     *
     * @param request the request, not null
     * @param service the worker pool of the job's queue, not null
     * @param workers the registered workers, not null
     * @return why the job can't run, empty if it can or if no worker of the pool is registered
     */
    public static Optional<String> obstacle(
            JobRequest request, String service, Collection<WorkerInfo> workers) {
        List<WorkerInfo> pool =
                workers.stream().filter(worker -> worker.service().equals(service)).toList();
        if (pool.isEmpty()) {
            return Optional.empty();
        }
        for (int i = 0; i < request.steps().size(); i++) {
            StepSpec step = request.steps().get(i);
            if (pool.stream().noneMatch(worker -> fits(worker, step))) {
                return Optional.of(
                        "no worker could run a task of step " + i + ": " + step.demand());
            }
        }
        return Optional.empty();
    }

    private static boolean fits(WorkerInfo worker, StepSpec step) {
        return step.allocation().isWithin(worker.capacity())
                && (step.label().isEmpty() || worker.labels().contains(step.label()));
    }
}
