package io.cardamomshelf.entry;

import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.vertx.mutiny.core.Vertx;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Follows one stream of the log: reads page after page, waits for records at the tail, and retries
 * after failures.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class LogStreamFollower {

    private static final long READ_WAIT_MILLIS = 500;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final Vertx vertx;
    private final LogClient log;
    private final String stream;
    private final LongSupplier foldedOffset;
    private final Consumer<LogPage> pageHandler;

    /** At first half of the minimum, so that subtracting it from a time does not overflow. */
    private long tailReadMillis = Long.MIN_VALUE / 2;

    private boolean reachable = true;
    private boolean stopped;

    LogStreamFollower(
            Vertx vertx,
            LogClient log,
            String stream,
            LongSupplier foldedOffset,
            Consumer<LogPage> pageHandler) {
        this.vertx = vertx;
        this.log = log;
        this.stream = stream;
        this.foldedOffset = foldedOffset;
        this.pageHandler = pageHandler;
    }

    void start() {
        long from = foldedOffset.getAsLong() + 1;
        long sentMillis = Clock.monotonicMillis();
        log.read(stream, from, READ_WAIT_MILLIS)
                .subscribe()
                .with(page -> handlePage(page, sentMillis), failure -> handleFailure());
    }

    void stop() {
        stopped = true;
    }

    /**
     * Returns when the stream was last known to be folded to its tail, in monotonic milliseconds.
     * This is the time at which that read was sent, since its answer may have been delayed.
     */
    long tailReadMillis() {
        return tailReadMillis;
    }

    boolean isReachable() {
        return reachable;
    }

    private void handlePage(LogPage page, long sentMillis) {
        if (stopped) {
            return;
        }
        reachable = true;
        pageHandler.accept(page);
        if (foldedOffset.getAsLong() + 1 >= page.next()) {
            tailReadMillis = sentMillis;
        }
        start();
    }

    private void handleFailure() {
        reachable = false;
        if (!stopped) {
            vertx.setTimer(RETRY_DELAY_MILLIS, id -> start());
        }
    }
}
