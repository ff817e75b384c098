package io.cardamomshelf.entry;

import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.LogPage;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobTable;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.util.HashMap;
import java.util.Map;

/**
 * Follows the stream of jobs in the log, folds its records into the job table, and appends records.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobLog {

    /** How old the last read of the log may be when a job is placed. */
    private static final long MAX_READ_AGE_MILLIS = 2_000;

    private final LogClient log;
    private final JobTable table;
    private final Events events;
    private final LogStreamFollower follower;

    /** The requests whose jobs aren't known to be accepted yet, by job. */
    private final Map<JobId, String> submissions = new HashMap<>();

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
     * Appends the acceptance of a job. The event of it is published when the record is first known
     * to be stored: by the log's answer, or by reading it, which may come before the answer.
     */
    Uni<Long> appendAccepted(String requestId, JobRecord.Accepted record) {
        submissions.put(record.job(), requestId);
        return append(record)
                .invoke(offset -> publishAcceptance(record.job()))
                .onTermination()
                .invoke(() -> submissions.remove(record.job()));
    }

    /** Reads the log up to its tail; fails with a {@code PlatformException} if it can't be read. */
    Uni<Void> catchUp() {
        return log.read(LogClient.JOBS, table.offset() + 1, 0)
                .invoke(this::apply)
                .chain(
                        page ->
                                table.offset() + 1 < page.next()
                                        ? catchUp()
                                        : Uni.createFrom().voidItem());
    }

    private void publishAcceptance(JobId job) {
        String requestId = submissions.remove(job);
        if (requestId != null) {
            events.publish(EventType.JOB_ACCEPTED, job.value(), requestId, "");
        }
    }

    /**
     * Returns whether the job table is recent enough to place a job that changed at the given time.
     * Records that aren't read yet may have ended the job or changed its owner; while the log is
     * unreachable, no such records can exist.
     */
    boolean isUpToDateSince(long changedMillis) {
        long tailReadMillis = follower.tailReadMillis();
        boolean current =
                tailReadMillis > changedMillis
                        && Clock.monotonicMillis() - tailReadMillis <= MAX_READ_AGE_MILLIS;
        return current || !follower.isReachable();
    }

    private void apply(LogPage page) {
        for (LogPage.LogRecord record : page.records()) {
            try {
                JobRecord content = Json.read(record.body(), JobRecord.class);
                if (content instanceof JobRecord.Accepted accepted) {
                    publishAcceptance(accepted.job());
                }
                table.fold(record.offset(), content);
            } catch (FormatException e) {
                table.skip(record.offset());
                events.publish(EventType.RECORD_SKIPPED, "jobs", "offset " + record.offset());
            }
        }
    }
}
