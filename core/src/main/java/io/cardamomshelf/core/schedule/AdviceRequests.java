package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The scheduler state's requests for placement advice, and the entry point for the answers.
 *
 * <p>Use: request advice for each step of {@code takeUnadvisedSteps()} on its {@code
 * candidateWorkers}, then pass the tickets to {@code putTickets}.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
public final class AdviceRequests {

    private final SchedulerState state;
    private final PlacementTickets tickets;

    AdviceRequests(SchedulerState state, PlacementTickets tickets) {
        this.state = state;
        this.tickets = tickets;
    }

    /**
     * Returns the steps that have requested advice since the last call.
     *
     * @return their identifiers, never null
     */
    public Set<StepId> takeUnadvisedSteps() {
        return tickets.takeRequestedSteps();
    }

    /**
     * Returns the workers to request advice on for a step, those with most free accelerators first.
     *
     * @param step the step, not null
     * @param limit the largest number of workers
     * @return the workers, never null; none if the step's job has ended
     */
    public List<WorkerId> candidateWorkers(StepId step, int limit) {
        Optional<LiveJob> job = state.jobs().find(step.job()).filter(found -> !found.isEnded());
        if (job.isEmpty()) {
            return List.of();
        }
        String service = state.policy(job.get()).service();
        return state.workers().stream()
                .filter(worker -> worker.isRegistered() && worker.info().service().equals(service))
                .filter(worker -> !state.closedDataCentres().contains(worker.info().dataCentre()))
                .sorted(Comparator.comparingInt(worker -> -worker.free().accelerators()))
                .limit(limit)
                .map(WorkerState::id)
                .toList();
    }

    /**
     * Stores the tickets of a step.
     *
     * @param step the step, not null
     * @param ticketsByWorker the tickets by worker, not null
     * @param expiryMillis when they expire, on the monotonic clock
     */
    public void putTickets(StepId step, Map<WorkerId, String> ticketsByWorker, long expiryMillis) {
        Map<WorkerState, String> ticketsByState = new HashMap<>();
        ticketsByWorker.forEach(
                (id, ticket) ->
                        state.worker(id).ifPresent(worker -> ticketsByState.put(worker, ticket)));
        tickets.put(step, ticketsByState, expiryMillis);
    }
}
