package io.cardamomshelf.entry;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.util.concurrent.TimeoutException;

/**
 * Delays and timeouts that complete on the instance's event loop; those of Mutiny would complete on
 * another thread.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Timers {

    private final Vertx vertx;

    Timers(Vertx vertx) {
        this.vertx = vertx;
    }

    Uni<Void> delay(long millis) {
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                vertx.setTimer(Math.max(1, millis), id -> emitter.complete(null)));
    }

    /** Fails with {@link TimeoutException} if there is no item within the time. */
    <T> Uni<T> withTimeout(long millis, Uni<T> uni) {
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            long timer =
                                    vertx.setTimer(
                                            Math.max(1, millis),
                                            id -> emitter.fail(new TimeoutException()));
                            uni.onTermination()
                                    .invoke(() -> vertx.cancelTimer(timer))
                                    .subscribe()
                                    .with(emitter::complete, emitter::fail);
                        });
    }
}
