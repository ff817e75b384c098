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
 * What a board wants to know of the placement advice, and what it has learnt from it.
 *
 * <p>Use: ask the advice for each step of {@code takeUnadvised()} on {@code adviceCandidates}, then
 * {@code putTickets}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class AdviceRequests {

    private final SchedulerState board;
    private final PlacementTickets tickets;

    AdviceRequests(SchedulerState board, PlacementTickets tickets) {
        this.board = board;
        this.tickets = tickets;
    }

    /**
     * Returns the steps that wait for advice since the last call.
     *
     * @return their identifiers, never null
     */
    public Set<StepId> takeUnadvisedSteps() {
        return tickets.takeWanted();
    }

    /**
     * Returns the workers to ask advice on for a step: the most room first.
     *
     * @param step the step, not null
     * @param most the largest number
     * @return the workers, never null; none if the step's job is over
     */
    public List<WorkerId> candidateWorkers(StepId step, int most) {
        Optional<LiveJob> job = board.jobs().find(step.job()).filter(found -> !found.isEnded());
        if (job.isEmpty()) {
            return List.of();
        }
        String service = board.policy(job.get()).service();
        return board.workers().stream()
                .filter(worker -> worker.isListed() && worker.info().service().equals(service))
                .filter(worker -> !board.closed().contains(worker.info().dataCentre()))
                .sorted(Comparator.comparingInt(worker -> -worker.free().accelerators()))
                .limit(most)
                .map(WorkerState::id)
                .toList();
    }

    /**
     * Takes the tickets of a step.
     *
     * @param step the step, not null
     * @param given the tickets by worker, not null
     * @param untilMillis when they end, on the steady clock
     */
    public void putTickets(StepId step, Map<WorkerId, String> given, long untilMillis) {
        Map<WorkerState, String> known = new HashMap<>();
        given.forEach(
                (id, ticket) -> board.worker(id).ifPresent(found -> known.put(found, ticket)));
        tickets.put(step, known, untilMillis);
    }
}
