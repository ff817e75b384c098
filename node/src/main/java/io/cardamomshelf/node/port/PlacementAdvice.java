package io.cardamomshelf.node.port;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.StepId;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The platform's placement advice: which workers may run a step, for queues whose placement rules
 * are defined outside this service.
 *
 * <p>Use: the scheduler requests tickets for each step of such a queue before it starts the tasks.
 *
 * <p>Calls don't block, never fail, and their results arrive on the caller's event loop.
 */
public interface PlacementAdvice {

    /**
     * Tickets that permit the tasks of a step to start.
     *
     * @param tickets the ticket for each worker that may run the step, not null
     * @param validMillis how long the tickets are valid from the answer on, in milliseconds
     */
    record Advice(Map<WorkerId, String> tickets, long validMillis) {}

    /**
     * Requests tickets for a step.
     *
     * @param step the step, not null
     * @param workers the workers to ask about, not null
     * @param timeoutMillis the maximum time to wait for the answer, in milliseconds
     * @return the advice, empty if there is no usable answer
     */
    Uni<Optional<Advice>> advise(StepId step, List<WorkerId> workers, long timeoutMillis);
}
