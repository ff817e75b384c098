package io.cardamomshelf.entry;

import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobTable;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;

/**
 * Keeps the table of jobs in step with the log, and appends to it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobLog {

    /** How old the evidence for who owns a job may be when the job is placed. */
    private static final long FRESH_MILLIS = 2_000;

    private final LogClient log;
    private final JobTable table;
    private final Events events;
    private final LogStreamFollower follower;

    JobLog(Vertx vertx, LogClient log, JobTable table, Events events) {
        this.log = log;
        this.table = table;
        this.events = events;
        this.follower =
                new LogStreamFollower(vertx, log, LogClient.JOBS, table::offset, this::apply);
    }

    void start() {
        follower.start();
    }

    void stop() {
        follower.stop();
    }

    Uni<Long> append(JobRecord record) {
        return log.append(LogClient.JOBS, Json.write(record));
    }

    /**
     * Asks whether a job that changed at a time may be placed by what the table says: another may
     * own it, or have ended it, by records that aren't read yet. While the log is away there can be
     * none.
     */
    boolean isReadSince(long changedMillis) {
        long read = follower.tailReadMillis();
        boolean current = read > changedMillis && Clock.millis() - read <= FRESH_MILLIS;
        return current || !follower.isReachable();
    }

    private void apply(LogPage page) {
        for (LogPage.LogRecord record : page.records()) {
            try {
                table.fold(record.offset(), Json.read(record.body(), JobRecord.class));
            } catch (FormatException e) {
                table.skip(record.offset());
                events.publish(EventType.RECORD_SKIPPED, "jobs", "offset " + record.offset());
            }
        }
    }
}
