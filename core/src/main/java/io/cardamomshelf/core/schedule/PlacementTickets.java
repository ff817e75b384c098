package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The placement tickets that steps of advised queues need to start on workers.
 *
 * <p>Advice is slow and limited to one call at a time, so a step requests it for many workers at
 * once, and again only when its tickets expire, or while it waits and fits on a worker that it
 * hasn't asked for. It starts only on workers that it has a ticket for.
 */
final class PlacementTickets {

    /**
     * The least remaining validity for using a ticket, in milliseconds, as the start may arrive
     * late.
     */
    private static final long START_MARGIN_MILLIS = 300;

    /**
     * The advice on one incarnation of a worker, with a ticket if the step may run there; it
     * expires at a time on the monotonic clock.
     */
    private record Answer(Optional<String> ticket, long bornMillis, long expiryMillis) {}

    private final Map<StepId, Map<WorkerId, Answer>> answers = new HashMap<>();
    private final Map<StepId, Long> adviceExpiryMillis = new HashMap<>();
    private final Set<StepId> requestedSteps = new LinkedHashSet<>();

    /** Stores the advice on the asked workers; those without a ticket may not run the step. */
    void put(
            StepId step,
            Collection<WorkerState> asked,
            Map<WorkerId, String> ticketsByWorker,
            long expiryMillis) {
        Map<WorkerId, Answer> byWorker = answers.computeIfAbsent(step, id -> new HashMap<>());
        for (WorkerState worker : asked) {
            Optional<String> ticket = Optional.ofNullable(ticketsByWorker.get(worker.id()));
            byWorker.put(worker.id(), new Answer(ticket, worker.info().bornMillis(), expiryMillis));
        }
        adviceExpiryMillis.merge(step, expiryMillis, Math::max);
    }

    Optional<String> find(StepId step, WorkerState worker, long nowMillis) {
        return validAnswer(step, worker, nowMillis).flatMap(Answer::ticket);
    }

    /** Whether advice on a worker is known and valid. */
    boolean isAnswered(StepId step, WorkerState worker, long nowMillis) {
        return validAnswer(step, worker, nowMillis).isPresent();
    }

    private Optional<Answer> validAnswer(StepId step, WorkerState worker, long nowMillis) {
        return Optional.ofNullable(answers.getOrDefault(step, Map.of()).get(worker.id()))
                .filter(answer -> answer.bornMillis() == worker.info().bornMillis())
                .filter(answer -> nowMillis + START_MARGIN_MILLIS < answer.expiryMillis());
    }

    void request(StepId step) {
        requestedSteps.add(step);
    }

    /** Requests advice for a waiting step, unless its tickets are valid for long enough. */
    void requestIfNeeded(StepId step, long nowMillis) {
        if (nowMillis + START_MARGIN_MILLIS
                >= adviceExpiryMillis.getOrDefault(step, Long.MIN_VALUE)) {
            requestedSteps.add(step);
        }
    }

    Set<StepId> takeRequestedSteps() {
        Set<StepId> result = Set.copyOf(requestedSteps);
        requestedSteps.clear();
        return result;
    }

    void retainSteps(Collection<StepId> liveSteps) {
        answers.keySet().retainAll(liveSteps);
        adviceExpiryMillis.keySet().retainAll(liveSteps);
    }
}
