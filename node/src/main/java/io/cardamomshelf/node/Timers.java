package io.cardamomshelf.node;

import io.vertx.mutiny.core.Vertx;

/**
 * Runs delayed tasks on the event loop; tests replace it by simulated time.
 *
 * <p>Use: {@code timers.after(250, this::retry)}.
 */
@FunctionalInterface
public interface Timers {

    /**
     * Runs a task once.
     *
     * @param delayMillis the delay, in milliseconds; 0 to run the task after the current one
     * @param task the task, not null
     */
    void after(long delayMillis, Runnable task);

    /**
     * Returns the timers of an event loop.
     *
     * @param vertx the Vert.x instance, not null
     * @return the timers, never null
     */
    static Timers of(Vertx vertx) {
        return (delayMillis, task) -> {
            if (delayMillis <= 0) {
                vertx.runOnContext(task);
            } else {
                vertx.setTimer(delayMillis, id -> task.run());
            }
        };
    }

    /**
     * Runs a task repeatedly until the process exits, also after an execution that failed.
     *
     * @param delayMillis the interval between executions, in milliseconds
     * @param task the task, not null
     */
    default void every(long delayMillis, Runnable task) {
        after(
                delayMillis,
                () -> {
                    every(delayMillis, task);
                    task.run();
                });
    }
}
