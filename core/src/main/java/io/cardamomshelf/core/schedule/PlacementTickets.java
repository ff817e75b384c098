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
 * once, and again only when its tickets expire. It starts only on workers that it has a ticket for.
 */
final class PlacementTickets {

    /**
     * The least remaining validity for using a ticket, in milliseconds, as the start may arrive
     * late.
     */
    private static final long START_MARGIN_MILLIS = 300;

    /** A ticket for one incarnation of a worker; it expires at a time on the monotonic clock. */
    private record Ticket(String text, long bornMillis, long expiryMillis) {}

    private final Map<StepId, Map<WorkerId, Ticket>> tickets = new HashMap<>();
    private final Map<StepId, Long> adviceExpiryMillis = new HashMap<>();
    private final Set<StepId> requestedSteps = new LinkedHashSet<>();

    void put(StepId step, Map<WorkerState, String> ticketsByWorker, long expiryMillis) {
        Map<WorkerId, Ticket> byWorker = tickets.computeIfAbsent(step, id -> new HashMap<>());
        ticketsByWorker.forEach(
                (worker, text) ->
                        byWorker.put(
                                worker.id(),
                                new Ticket(text, worker.info().bornMillis(), expiryMillis)));
        adviceExpiryMillis.put(step, expiryMillis);
    }

    Optional<String> find(StepId step, WorkerState worker, long nowMillis) {
        return Optional.ofNullable(tickets.getOrDefault(step, Map.of()).get(worker.id()))
                .filter(ticket -> ticket.bornMillis() == worker.info().bornMillis())
                .filter(ticket -> nowMillis + START_MARGIN_MILLIS < ticket.expiryMillis())
                .map(Ticket::text);
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
        tickets.keySet().retainAll(liveSteps);
        adviceExpiryMillis.keySet().retainAll(liveSteps);
    }
}
