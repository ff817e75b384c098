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
 * Follows the configuration stream of the log, folds its records into the configuration in force,
 * and appends snapshots before old records expire. While the log is unreachable, {@link
 * PeerNetwork} passes it newer configurations of other entries.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ConfigFollower {

    /** The number of records after a snapshot at which the next one is due. */
    private static final long SNAPSHOT_INTERVAL_RECORDS = 1_000;

    private final LogClient log;
    private final Events events;
    private final LogStreamFollower follower;
    private final ConfigLog configLog = new ConfigLog();
    private final Consumer<ConfigState> listener;
    private boolean reachable = true;
    private boolean snapshotInFlight;

    ConfigFollower(Vertx vertx, LogClient log, Events events, Consumer<ConfigState> listener) {
        this.log = log;
        this.events = events;
        this.listener = listener;
        this.follower =
                new LogStreamFollower(
                        vertx,
                        log,
                        LogClient.CONFIG,
                        () -> configLog.state().offset(),
                        this::apply);
    }

    void start() {
        follower.start();
    }

    void stop() {
        follower.stop();
    }

    ConfigState state() {
        return configLog.state();
    }

    long tailReadMillis() {
        return follower.tailReadMillis();
    }

    boolean isReachable() {
        return follower.isReachable();
    }

    /** Returns whether the configuration has been read and misses no records. */
    boolean isKnown() {
        return !configLog.hasGap()
                && (follower.tailReadMillis() > 0 || configLog.state().offset() > 0);
    }

    /** Publishes an event when the log becomes unreachable or reachable again. */
    void publishReachability() {
        if (reachable != follower.isReachable()) {
            reachable = follower.isReachable();
            events.publish(reachable ? EventType.LOG_BACK : EventType.LOG_AWAY, "config", "");
        }
    }

    /** Adopts a peer's configuration if it is newer. */
    void adopt(ConfigState other) {
        if (configLog.adopt(other)) {
            listener.accept(configLog.state());
        }
    }

    private void apply(LogPage page) {
        List<ConfigLog.LoggedRecord> records = new ArrayList<>();
        for (LogPage.LogRecord record : page.records()) {
            ConfigRecord parsed = ConfigJson.readRecord(record.body());
            if (parsed instanceof ConfigRecord.Unreadable) {
                events.publish(EventType.RECORD_SKIPPED, "config", "offset " + record.offset());
            }
            records.add(new ConfigLog.LoggedRecord(record.offset(), parsed));
        }
        boolean gapBefore = configLog.hasGap();
        List<ConfigLog.FoldedEdit> folded = configLog.fold(page.first(), records);
        if (configLog.hasGap() && !gapBefore) {
            events.publish(EventType.LOG_GAP, "config", "first offset " + page.first());
        }
        folded.forEach(this::publish);
        if (!records.isEmpty()) {
            listener.accept(configLog.state());
        }
        appendSnapshotIfDue();
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

    /**
     * Appends a snapshot if one is due. Any instance may do so; if two append one at the same time,
     * the second does no harm.
     */
    private void appendSnapshotIfDue() {
        ConfigState state = configLog.state();
        boolean due = state.offset() - configLog.snapshotOffset() >= SNAPSHOT_INTERVAL_RECORDS;
        if (!due || snapshotInFlight || configLog.hasGap()) {
            return;
        }
        snapshotInFlight = true;
        log.append(LogClient.CONFIG, ConfigJson.write(state))
                .onTermination()
                .invoke(() -> snapshotInFlight = false)
                .subscribe()
                .with(
                        offset ->
                                events.publish(
                                        EventType.SNAPSHOT_APPENDED, "config", "offset " + offset),
                        failure -> snapshotInFlight = false);
    }
}
