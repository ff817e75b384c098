package io.cardamomshelf.entry;

import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.request.ClaimRecord;
import io.cardamomshelf.core.request.ClaimTable;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.mutiny.core.Vertx;
import java.util.ArrayList;
import java.util.List;

/**
 * Follows the stream of claims in the log, folds its records into the table of claimed idempotency
 * keys, and claims keys for {@link RequestRouter}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ClaimLog {

    private static final int MAX_KEYS = 500_000;

    private record Waiter(long offset, UniEmitter<? super Void> emitter) {}

    private final LogClient log;
    private final Events events;
    private final ClaimTable table = new ClaimTable(MAX_KEYS);
    private final LogStreamFollower follower;
    private final List<Waiter> waiters = new ArrayList<>();

    ClaimLog(Vertx vertx, LogClient log, Events events) {
        this.log = log;
        this.events = events;
        this.follower =
                new LogStreamFollower(vertx, log, LogClient.CLAIMS, table::offset, this::apply);
    }

    void start() {
        follower.start();
    }

    void stop() {
        follower.stop();
    }

    ClaimTable table() {
        return table;
    }

    /**
     * Claims a key and waits until the stream is folded up to the claim.
     *
     * @return the claim that holds the key, which may be another instance's; fails if the record
     *     was not appended or may not have been, and then the request must not run
     */
    Uni<ClaimRecord> claim(ClaimRecord claim) {
        return log.append(LogClient.CLAIMS, Json.write(claim))
                .chain(this::awaitFolded)
                .map(done -> table.winner(claim.organisation(), claim.key()).orElseThrow());
    }

    private Uni<Void> awaitFolded(long offset) {
        if (table.offset() >= offset) {
            return Uni.createFrom().voidItem();
        }
        return Uni.createFrom().emitter(emitter -> waiters.add(new Waiter(offset, emitter)));
    }

    private void apply(LogPage page) {
        for (LogPage.LogRecord record : page.records()) {
            try {
                table.fold(record.offset(), Json.read(record.body(), ClaimRecord.class));
            } catch (FormatException e) {
                table.skip(record.offset());
                events.publish(EventType.RECORD_SKIPPED, "claims", "offset " + record.offset());
            }
        }
        List<Waiter> folded =
                waiters.stream().filter(waiter -> waiter.offset() <= table.offset()).toList();
        waiters.removeAll(folded);
        folded.forEach(waiter -> waiter.emitter().complete(null));
    }
}
