package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.VirtualTime;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;

/**
 * The clock and timers of one process, which may be paused alone: its timers and the answers to its
 * calls wait until it goes on, while time passes for all others.
 */
final class ProcessTime implements Clock, Timers {

    private final VirtualTime time;
    private final List<Runnable> waiting = new ArrayList<>();
    private long pausedUntilMillis = Long.MIN_VALUE;

    ProcessTime(VirtualTime time) {
        this.time = time;
    }

    @Override
    public ClockReading now() {
        return time.now();
    }

    @Override
    public void after(long millis, Runnable task) {
        time.after(millis, () -> runOnceAwake(task));
    }

    /** Pauses the process, longer if it is paused already. */
    void pause(long millis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, time.monotonicMillis() + millis);
        time.after(millis, this::goOn);
    }

    /** Ends the process. */
    void kill() {
        pausedUntilMillis = Long.MAX_VALUE;
        waiting.clear();
    }

    boolean isKilled() {
        return pausedUntilMillis == Long.MAX_VALUE;
    }

    /** Passes on the answer to a call once the process isn't paused. */
    <T> Uni<T> deliver(Uni<T> call) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                call.subscribe()
                                        .with(
                                                item -> runOnceAwake(() -> emitter.complete(item)),
                                                failure ->
                                                        runOnceAwake(() -> emitter.fail(failure))));
    }

    private boolean isPaused() {
        return time.monotonicMillis() < pausedUntilMillis;
    }

    private void runOnceAwake(Runnable task) {
        if (isPaused()) {
            waiting.add(task);
        } else {
            task.run();
        }
    }

    private void goOn() {
        if (!isPaused()) {
            List<Runnable> due = List.copyOf(waiting);
            waiting.clear();
            due.forEach(Runnable::run);
        }
    }
}
