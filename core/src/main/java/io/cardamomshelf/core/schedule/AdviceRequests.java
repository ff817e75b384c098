package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

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

    /** Requests advice for a waiting group that fits on a worker which it hasn't asked for. */
    void requestOnFreeWorkers(TaskGroup group, String service, ClockReading now) {
        long nowMillis = now.monotonicMillis();
        boolean fits =
                candidates(service)
                        .filter(worker -> worker.acceptsStarts(nowMillis))
                        .filter(worker -> !tickets.isAnswered(group.id(), worker, nowMillis))
                        .anyMatch(
                                worker ->
                                        TaskPlacer.fittingTasks(worker, group, worker.free()) > 0);
        if (fits) {
            tickets.request(group.id());
        }
    }

    /**
     * Returns the workers to request advice on for a step: those without valid advice, those with
     * most free accelerators first.
     *
     * @param step the step, not null
     * @param limit the largest number of workers
     * @param nowMillis the monotonic clock, in milliseconds
     * @return the workers, never null; none if the step's job has ended
     */
    public List<WorkerId> candidateWorkers(StepId step, int limit, long nowMillis) {
        Optional<LiveJob> job = state.jobs().find(step.job()).filter(found -> !found.isEnded());
        if (job.isEmpty()) {
            return List.of();
        }
        String service = state.policy(job.get()).service();
        return candidates(service)
                .filter(worker -> !tickets.isAnswered(step, worker, nowMillis))
                .sorted(Comparator.comparingInt(worker -> -worker.free().accelerators()))
                .limit(limit)
                .map(WorkerState::id)
                .toList();
    }

    private Stream<WorkerState> candidates(String service) {
        return state.workers().stream()
                .filter(worker -> worker.isRegistered() && worker.info().service().equals(service))
                .filter(worker -> !state.closedDataCentres().contains(worker.info().dataCentre()));
    }

    /**
     * Stores the advice on a step.
     *
     * @param step the step, not null
     * @param asked the workers that the advice is on, not null
     * @param ticketsByWorker the tickets by worker, not null; a worker that was asked for and has
     *     none may not run the step
     * @param expiryMillis when they expire, on the monotonic clock
     */
    public void putTickets(
            StepId step,
            Collection<WorkerId> asked,
            Map<WorkerId, String> ticketsByWorker,
            long expiryMillis) {
        List<WorkerState> askedStates =
                asked.stream().flatMap(id -> state.worker(id).stream()).toList();
        tickets.put(step, askedStates, ticketsByWorker, expiryMillis);
    }
}
