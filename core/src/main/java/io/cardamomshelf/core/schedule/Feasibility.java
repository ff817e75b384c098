package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Finds jobs that could never run, so that they are refused at once: no registered worker could run
 * them, or their organisation's cap is too low.
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

    /**
     * Finds a step that can never start under its organisation's cap, as one task of it, or the
     * whole gang, needs more than the cap with its overage.
     *
     * @param request the request, not null
     * @param limits the organisation's limits, not null
     * @param overage the fraction of its cap by which an organisation may exceed it, 0 or more
     * @return why the job can't run, empty if it can
     */
    public static Optional<String> capObstacle(
            JobRequest request, OrganisationLimits limits, double overage) {
        if (!limits.hasCap()) {
            return Optional.empty();
        }
        Resources cap = limits.capWithOverage(overage);
        for (int i = 0; i < request.steps().size(); i++) {
            StepSpec step = request.steps().get(i);
            int unit = step.gang() ? step.count() : 1;
            if (step.demand().copiesIn(cap) < unit) {
                return Optional.of(
                        "the organisation's cap never allows "
                                + (step.gang() ? "the gang of step " : "a task of step ")
                                + i
                                + ": "
                                + unit
                                + " x "
                                + step.demand());
            }
        }
        return Optional.empty();
    }

    private static boolean fits(WorkerInfo worker, StepSpec step) {
        return step.allocation().isWithin(worker.capacity())
                && (step.label().isEmpty() || worker.labels().contains(step.label()));
    }
}
