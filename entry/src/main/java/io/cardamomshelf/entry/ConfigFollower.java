package io.cardamomshelf.entry;

import io.cardamomshelf.client.ConfigJson;
import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.cardamomshelf.core.config.ConfigLog;
import io.cardamomshelf.core.config.ConfigRecord;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.event.EventType;
import io.vertx.mutiny.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps the configuration in force in step with the log, and snapshots it before edits expire.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ConfigFollower {

    /** How many records may follow a snapshot before another is due. */
    private static final long SNAPSHOT_EVERY = 1_000;

    private final LogClient log;
    private final Events events;
    private final LogStreamFollower follower;
    private final ConfigLog fold = new ConfigLog();
    private final Consumer<ConfigState> listener;
    private boolean reachable = true;
    private boolean snapshotting;

    ConfigFollower(Vertx vertx, LogClient log, Events events, Consumer<ConfigState> listener) {
        this.log = log;
        this.events = events;
        this.listener = listener;
        this.follower =
                new LogStreamFollower(
                        vertx, log, LogClient.CONFIG, () -> fold.state().offset(), this::apply);
    }

    void start() {
        follower.start();
    }

    void stop() {
        follower.stop();
    }

    ConfigState state() {
        return fold.state();
    }

    long tailReadMillis() {
        return follower.tailReadMillis();
    }

    boolean isReachable() {
        return follower.isReachable();
    }

    /** Asks whether the state can be trusted at all: it has been read, and holds no gap. */
    boolean isKnown() {
        return !fold.hasGap() && (follower.tailReadMillis() > 0 || fold.state().offset() > 0);
    }

    /** Says when the log goes away and comes back, as events. */
    void watch() {
        if (reachable != follower.isReachable()) {
            reachable = follower.isReachable();
            events.publish(reachable ? EventType.LOG_BACK : EventType.LOG_AWAY, "config", "");
        }
    }

    /** Takes a peer's state if it is newer. */
    void adopt(ConfigState other) {
        if (fold.adopt(other)) {
            listener.accept(fold.state());
        }
    }

    private void apply(LogPage page) {
        List<ConfigLog.LoggedRecord> records = new ArrayList<>();
        for (LogPage.LogRecord record : page.records()) {
            ConfigRecord read = ConfigJson.readRecord(record.body());
            if (read instanceof ConfigRecord.Unreadable) {
                events.publish(EventType.RECORD_SKIPPED, "config", "offset " + record.offset());
            }
            records.add(new ConfigLog.LoggedRecord(record.offset(), read));
        }
        boolean gapBefore = fold.hasGap();
        List<ConfigLog.FoldedEdit> folded = fold.fold(page.first(), records);
        if (fold.hasGap() && !gapBefore) {
            events.publish(EventType.LOG_GAP, "config", "first offset " + page.first());
        }
        folded.forEach(this::publish);
        if (!records.isEmpty()) {
            listener.accept(fold.state());
        }
        snapshotIfDue();
    }

    private void publish(ConfigLog.FoldedEdit folded) {
        EventType type =
                folded.result().isInForce() ? EventType.EDIT_ACCEPTED : EventType.EDIT_REFUSED;
        events.publish(
                type,
                folded.edit().id(),
                folded.edit().author(),
                folded.result().status() + " " + folded.result().conflicts());
    }

    /** Any instance may append a snapshot; two do no harm. */
    private void snapshotIfDue() {
        ConfigState state = fold.state();
        boolean due = state.offset() - fold.snapshotOffset() >= SNAPSHOT_EVERY;
        if (!due || snapshotting || fold.hasGap()) {
            return;
        }
        snapshotting = true;
        log.append(LogClient.CONFIG, ConfigJson.write(state))
                .onTermination()
                .invoke(() -> snapshotting = false)
                .subscribe()
                .with(
                        offset ->
                                events.publish(
                                        EventType.SNAPSHOT_APPENDED, "config", "offset " + offset),
                        failure -> snapshotting = false);
    }
}
