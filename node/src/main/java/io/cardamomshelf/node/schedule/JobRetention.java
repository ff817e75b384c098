package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Finds ended jobs whose records are dropped from the store.
 *
 * <p>The retention counts from when this scheduler first found the job ended, so a change of
 * scheduler extends it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobRetention {

    private final JobsView jobs;
    private final long keptMillis;

    /** When this scheduler first found each job ended, on the monotonic clock. */
    private final Map<JobId, Long> endSeenMillis = new HashMap<>();

    JobRetention(JobsView jobs, long keptMillis) {
        this.jobs = jobs;
        this.keptMillis = keptMillis;
    }

    /** Returns the records that drop the expired jobs, and reports each job that has ended. */
    List<StoredRecord> findExpired(long nowMillis, Consumer<JobId> ended) {
        List<StoredRecord> drops = new ArrayList<>();
        for (JobsView.Entry entry : jobs.acceptedJobs()) {
            if (!entry.progress().state().isEnded()) {
                continue;
            }
            JobId id = entry.job().orElseThrow().id();
            ended.accept(id);
            long seenMillis = endSeenMillis.computeIfAbsent(id, key -> nowMillis);
            if (nowMillis - seenMillis > keptMillis) {
                drops.addAll(JobRecords.jobDropped(id));
                endSeenMillis.remove(id);
            }
        }
        return drops;
    }
}
