package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.task.StepId;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.PlacementAdvice;
import io.cardamomshelf.node.port.PlacementAdvice.Advice;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Fetches placement tickets for the steps that need them, one call at a time.
 *
 * <p>Use: {@link SchedulerTerm} calls {@code fetchMissing} after each scheduling round. The tickets
 * are added to the scheduler state. A call without a usable answer isn't repeated at once: the step
 * is queued behind others when a later round requests tickets for it again.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class AdviceFetcher {

    /** Workers per call: one or two racks. Each worker adds to the time that the call takes. */
    private static final int MAX_WORKERS_PER_CALL = 30;

    /** The timeout of a call, in milliseconds. It allows for a decision and a time per worker. */
    private static final long TIMEOUT_MILLIS = 3_000;

    /**
     * The pause before the next step's call, in milliseconds, after a call without a usable answer
     * or a step without candidate workers.
     */
    private static final long FAILURE_PAUSE_MILLIS = 300;

    private final PlacementAdvice advice;
    private final SchedulerState state;
    private final Timers timers;
    private final Clock clock;
    private final Runnable onChange;
    private final Deque<StepId> queue = new ArrayDeque<>();
    private boolean callInFlight;
    private boolean closed;

    AdviceFetcher(SchedulerTermContext context, SchedulerState state, Runnable onChange) {
        this.advice = context.advice();
        this.state = state;
        this.timers = context.timers();
        this.clock = context.clock();
        this.onChange = onChange;
    }

    /** Queues the steps that need tickets, and calls unless a call is in flight. */
    void fetchMissing() {
        for (StepId step : state.adviceRequests().takeUnadvisedSteps()) {
            if (!queue.contains(step)) {
                queue.add(step);
            }
        }
        fetchNext();
    }

    void close() {
        closed = true;
    }

    private void fetchNext() {
        if (callInFlight || closed || queue.isEmpty()) {
            return;
        }
        StepId step = queue.poll();
        List<WorkerId> workers =
                state.adviceRequests()
                        .candidateWorkers(step, MAX_WORKERS_PER_CALL, clock.monotonicMillis());
        if (workers.isEmpty()) {
            timers.after(FAILURE_PAUSE_MILLIS, this::fetchNext);
            return;
        }
        callInFlight = true;
        advice.advise(step, workers, TIMEOUT_MILLIS)
                .subscribe()
                .with(answer -> adviceReceived(step, workers, answer));
    }

    private void adviceReceived(StepId step, List<WorkerId> asked, Optional<Advice> answer) {
        if (closed) {
            return;
        }
        EventLog.of(NodeEvent.ADVICE_TAKEN)
                .with("step", step)
                .with("asked", asked.size())
                .with("given", answer.map(given -> given.tickets().size()).orElse(-1))
                .write();
        answer.ifPresent(
                given ->
                        state.adviceRequests()
                                .putTickets(
                                        step,
                                        asked,
                                        given.tickets(),
                                        clock.monotonicMillis() + given.validMillis()));
        timers.after(
                answer.isPresent() ? 0 : FAILURE_PAUSE_MILLIS,
                () -> {
                    callInFlight = false;
                    fetchNext();
                });
        onChange.run();
    }
}
