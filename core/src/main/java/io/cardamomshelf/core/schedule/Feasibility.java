package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.StepSpec;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Tells which jobs no worker could ever run, so that they are refused at once.
 *
 * <p>Load it answers: tasks that are larger than any worker, or want a label that none has, which
 * would wait until their callers give up. It looks at workers one by one and at nothing that
 * changes, so a busy fleet refuses nothing by it.
 *
 * <p>Stateless and thread-safe.
 */
public final class Feasibility {

    private Feasibility() {}

    /**
     * Looks for a step that no worker of the service could run a task of.
     *
     * @param request what is asked for, not null
     * @param service the pool that its queue names, not null
     * @param workers the workers that are registered, not null
     * @return why it can't be served, empty if it can or if no worker of the pool is known
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
