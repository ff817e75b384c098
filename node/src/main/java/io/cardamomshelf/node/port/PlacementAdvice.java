package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tells which workers may run a step, where a queue's policy is known only outside.
 *
 * <p>Calls don't block, never fail, and their results arrive on the caller's event loop.
 */
public interface PlacementAdvice {

    /**
     * Tickets for a step.
     *
     * @param tickets the ticket by worker, not null
     * @param validMillis how long they are valid from the answer on, in milliseconds
     */
    record Advice(Map<WorkerId, String> tickets, long validMillis) {}

    /**
     * Asks for tickets.
     *
     * @param step the step, not null
     * @param workers the workers to ask about, not null
     * @param timeoutMillis how long to wait for the answer, in milliseconds
     * @return the advice, empty if there is no usable answer
     */
    Uni<Optional<Advice>> advise(StepId step, List<WorkerId> workers, long timeoutMillis);
}
