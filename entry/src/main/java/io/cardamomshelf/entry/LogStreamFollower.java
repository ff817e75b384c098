package io.cardamomshelf.entry;

import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.vertx.mutiny.core.Vertx;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Follows one stream of the log: reads page after page, waits at the tail, tries again after
 * failures.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class LogStreamFollower {

    private static final long WAIT_MILLIS = 500;
    private static final long PAUSE_MILLIS = 200;

    private final Vertx vertx;
    private final LogClient log;
    private final String stream;
    private final LongSupplier offset;
    private final Consumer<LogPage> pages;
    private long tailReadMillis = Long.MIN_VALUE / 2;
    private boolean reachable = true;
    private boolean stopped;

    LogStreamFollower(
            Vertx vertx,
            LogClient log,
            String stream,
            LongSupplier offset,
            Consumer<LogPage> pages) {
        this.vertx = vertx;
        this.log = log;
        this.stream = stream;
        this.offset = offset;
        this.pages = pages;
    }

    void start() {
        long from = offset.getAsLong() + 1;
        long sentMillis = Clock.millis();
        log.read(stream, from, WAIT_MILLIS)
                .subscribe()
                .with(page -> read(page, sentMillis), failure -> fail());
    }

    void stop() {
        stopped = true;
    }

    /**
     * Returns when the log was last known to hold nothing that isn't folded: the time at which the
     * read that showed it was sent, for the answer may have been under way since.
     */
    long tailReadMillis() {
        return tailReadMillis;
    }

    boolean isReachable() {
        return reachable;
    }

    private void read(LogPage page, long sentMillis) {
        if (stopped) {
            return;
        }
        reachable = true;
        pages.accept(page);
        if (offset.getAsLong() + 1 >= page.next()) {
            tailReadMillis = sentMillis;
        }
        start();
    }

    private void fail() {
        reachable = false;
        if (!stopped) {
            vertx.setTimer(PAUSE_MILLIS, id -> start());
        }
    }
}
