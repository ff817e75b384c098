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
 * Fetches tickets for the steps that need them, one call after the other.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class AdviceFetcher {

    /** Workers asked about in one call: enough for a rack or two, as each one costs time. */
    private static final int WORKERS = 30;

    /** How long a call may take, in milliseconds: a decision and a period for each worker. */
    private static final long TIMEOUT_MILLIS = 3_000;

    /** The pause after a call without a usable answer, in milliseconds. */
    private static final long RETRY_MILLIS = 300;

    private final PlacementAdvice advice;
    private final SchedulerState board;
    private final Timers timers;
    private final Clock clock;
    private final Runnable changed;
    private final Deque<StepId> queue = new ArrayDeque<>();
    private boolean busy;
    private boolean closed;

    AdviceFetcher(SchedulerTermContext parts, SchedulerState board, Runnable changed) {
        this.advice = parts.advice();
        this.board = board;
        this.timers = parts.timers();
        this.clock = parts.clock();
        this.changed = changed;
    }

    /** Takes the steps that the board wants tickets for. */
    void look() {
        for (StepId step : board.advice().takeUnadvised()) {
            if (!queue.contains(step)) {
                queue.add(step);
            }
        }
        next();
    }

    void close() {
        closed = true;
    }

    private void next() {
        if (busy || closed || queue.isEmpty()) {
            return;
        }
        StepId step = queue.poll();
        List<WorkerId> workers = board.advice().adviceCandidates(step, WORKERS);
        if (workers.isEmpty()) {
            timers.after(RETRY_MILLIS, this::next);
            return;
        }
        busy = true;
        advice.advise(step, workers, TIMEOUT_MILLIS)
                .subscribe()
                .with(answer -> answered(step, workers.size(), answer));
    }

    private void answered(StepId step, int asked, Optional<Advice> answer) {
        if (closed) {
            return;
        }
        EventLog.of(NodeEvent.ADVICE_TAKEN)
                .with("step", step)
                .with("asked", asked)
                .with("given", answer.map(found -> found.tickets().size()).orElse(-1))
                .write();
        answer.ifPresent(
                found ->
                        board.advice()
                                .putTickets(
                                        step,
                                        found.tickets(),
                                        clock.steadyMillis() + found.validMillis()));
        timers.after(
                answer.isPresent() ? 0 : RETRY_MILLIS,
                () -> {
                    busy = false;
                    next();
                });
        changed.run();
    }
}
