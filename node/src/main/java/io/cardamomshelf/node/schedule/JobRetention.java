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
 * Finds ended jobs and early cancellations whose records are dropped from the store.
 *
 * <p>The retention counts from when this scheduler first found the job ended or the cancellation
 * stored, so a change of scheduler extends it. It exceeds by far the time in which the submission
 * of a job that was cancelled early can still be stored: the timeout of its route and the seconds
 * by which the store may be late.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobRetention {

    private final JobsView jobs;
    private final long keptMillis;

    /** When this scheduler first found each job ended, on the monotonic clock. */
    private final Map<JobId, Long> endSeenMillis = new HashMap<>();

    /** When this scheduler first found each early cancellation, by key, on the monotonic clock. */
    private final Map<String, Long> cancellationSeenMillis = new HashMap<>();

    JobRetention(JobsView jobs, long keptMillis) {
        this.jobs = jobs;
        this.keptMillis = keptMillis;
    }

    /** Returns the records that drop what has expired, and reports each job that has ended. */
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
        drops.addAll(findExpiredCancellations(nowMillis));
        return drops;
    }

    private List<StoredRecord> findExpiredCancellations(long nowMillis) {
        List<StoredRecord> drops = new ArrayList<>();
        Map<String, JobRecords.EarlyCancellation> stored = jobs.earlyCancellations().byKey();
        cancellationSeenMillis.keySet().retainAll(stored.keySet());
        stored.forEach(
                (key, cancellation) -> {
                    long seenMillis =
                            cancellationSeenMillis.computeIfAbsent(key, unseen -> nowMillis);
                    if (nowMillis - seenMillis > keptMillis && !isNeeded(cancellation)) {
                        drops.add(StoredRecord.tombstone(key));
                    }
                });
        return drops;
    }

    /**
     * Returns whether a cancelled job hasn't ended, so that only this record shows it cancelled.
     */
    private boolean isNeeded(JobRecords.EarlyCancellation cancellation) {
        return jobs.find(cancellation.job())
                .filter(entry -> !entry.progress().state().isEnded())
                .flatMap(JobsView.Entry::job)
                .filter(job -> job.organisation().equals(cancellation.organisation()))
                .isPresent();
    }
}
