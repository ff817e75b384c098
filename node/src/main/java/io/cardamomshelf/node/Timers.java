package io.cardamomshelf.node;

import io.vertx.mutiny.core.Vertx;

/**
 * Runs tasks later on the event loop, so that tests can let time pass.
 *
 * <p>Use: {@code timers.after(250, this::retry)}.
 */
@FunctionalInterface
public interface Timers {

    /**
     * Runs a task once.
     *
     * @param millis when, in milliseconds from now; 0 for after what is under way
     * @param task the task, not null
     */
    void after(long millis, Runnable task);

    /**
     * Returns the timers of an event loop.
     *
     * @param vertx the event loop's owner, not null
     * @return the timers, never null
     */
    static Timers of(Vertx vertx) {
        return (millis, task) -> {
            if (millis <= 0) {
                vertx.runOnContext(task);
            } else {
                vertx.setTimer(millis, id -> task.run());
            }
        };
    }

    /**
     * Runs a task again and again for as long as the process lives.
     *
     * @param millis the pause between runs, in milliseconds
     * @param task the task, not null
     */
    default void every(long millis, Runnable task) {
        after(
                millis,
                () -> {
                    task.run();
                    every(millis, task);
                });
    }
}
