package io.cardamomshelf.node.store;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The stored jobs, the scheduler and the roster of workers.
 *
 * <p>Use: a {@link StreamFollower} applies the records of the jobs' stream to it. Callers' queries
 * are answered from it, and a newly elected scheduler loads it. It must not write to the store.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class JobsView implements StreamFollower.Fold {

    /** Is notified of changes. */
    public interface Listener {

        /**
         * Called when a job was accepted or cancelled.
         *
         * @param entry the job, not null
         */
        void jobChanged(Entry entry);

        /**
         * Called for each leader record, including heartbeats.
         *
         * @param leader the record's content, not null
         */
        void leaderRecordRead(JobRecords.Leader leader);

        /**
         * Called for each record that a scheduler has stored, after all earlier ones were applied;
         * not for records that are loaded at once, as those that later ones replaced are missing.
         *
         * @param offset the record's offset in the stream
         */
        default void schedulerRecordRead(long offset) {}

        /** Called when the view has reached the end of the stream. */
        void caughtUp();
    }

    /** The stored records of one job. */
    public static final class Entry {

        private TaskJob job;
        private boolean cancelled;
        private JobProgress progress;

        /**
         * Returns the job.
         *
         * @return the job, empty if its cancellation or progress was read but not its acceptance
         */
        public Optional<TaskJob> job() {
            return Optional.ofNullable(job);
        }

        /**
         * Returns whether its caller has cancelled it.
         *
         * @return true if a cancellation is stored
         */
        public boolean isCancelled() {
            return cancelled;
        }

        /**
         * Returns the progress of the job.
         *
         * @return the progress, never null; {@code JobProgress.QUEUED} before the first is stored
         */
        public JobProgress progress() {
            return storedProgress().orElse(JobProgress.QUEUED);
        }

        /**
         * Returns the progress that a scheduler has stored.
         *
         * @return the progress, empty before the first is stored
         */
        public Optional<JobProgress> storedProgress() {
            return Optional.ofNullable(progress);
        }

        /**
         * Returns the state to report to callers.
         *
         * @return the state, never null; a job that is cancelled but hasn't ended is {@code
         *     CANCELLED}
         */
        public JobState state() {
            JobState storedState = progress().state();
            return cancelled && !storedState.isEnded() ? JobState.CANCELLED : storedState;
        }
    }

    private final Listener listener;
    private Map<JobId, Entry> entries = new LinkedHashMap<>();
    private EarlyCancellations earlyCancellations = new EarlyCancellations();
    private JobRecords.Leader leader;
    private Roster roster = new Roster();
    private boolean replacing;

    /**
     * Creates an empty view.
     *
     * @param listener is notified of changes, not null
     */
    public JobsView(Listener listener) {
        this.listener = listener;
    }

    /**
     * Finds an accepted job.
     *
     * @param id the job, not null
     * @return its entry, empty if it isn't stored
     */
    public Optional<Entry> find(JobId id) {
        return Optional.ofNullable(entries.get(id)).filter(entry -> entry.job != null);
    }

    /**
     * Returns the accepted jobs in the order of their acceptance.
     *
     * @return the entries, never null
     */
    public Collection<Entry> acceptedJobs() {
        return entries.values().stream().filter(entry -> entry.job != null).toList();
    }

    /**
     * Returns the cancellations that came before their jobs.
     *
     * @return those that are stored, never null; replaced when the records are loaded again
     */
    public EarlyCancellations earlyCancellations() {
        return earlyCancellations;
    }

    /**
     * Returns the number of jobs in a queue that haven't started.
     *
     * @param queue the queue's name, not null
     * @return the number, 0 or more
     */
    public long countPending(String queue) {
        return acceptedJobs().stream()
                .filter(entry -> entry.state() == JobState.QUEUED)
                .filter(entry -> entry.job.queue().name().equals(queue))
                .count();
    }

    /**
     * Returns the scheduler.
     *
     * @return the leader record with the highest epoch, empty if there is none
     */
    public Optional<JobRecords.Leader> leader() {
        return Optional.ofNullable(leader);
    }

    /**
     * Returns the workers that may have runs.
     *
     * @return the roster as read so far, never null
     */
    public Roster roster() {
        return roster;
    }

    @Override
    public void replace(List<StoredRecord> records) {
        List<StoredRecord> ordered = new ArrayList<>(records);
        ordered.sort((a, b) -> Long.compare(a.offset(), b.offset()));
        entries = new LinkedHashMap<>();
        earlyCancellations = new EarlyCancellations();
        roster = new Roster();
        replacing = true;
        try {
            ordered.forEach(this::apply);
        } finally {
            replacing = false;
        }
        acceptedJobs().forEach(listener::jobChanged);
    }

    @Override
    public void apply(StoredRecord record) {
        try {
            applyByKind(record);
        } catch (StoreException | IllegalArgumentException e) {
            EventLog.of(NodeEvent.RECORD_IGNORED)
                    .with("key", record.key())
                    .with("offset", record.offset())
                    .with("reason", e.getMessage())
                    .write();
        }
    }

    @Override
    public void caughtUp() {
        listener.caughtUp();
    }

    private void applyByKind(StoredRecord record) throws StoreException {
        switch (JobRecords.kindOf(record)) {
            case ACCEPTED -> applyAccepted(record);
            case CANCELLED -> applyCancelled(record);
            case EARLY_CANCELLATION -> applyEarlyCancellation(record);
            case PROGRESS -> {
                applyProgress(record);
                reportSchedulerRecord(record);
            }
            case LEADER -> {
                applyLeader(record);
                reportSchedulerRecord(record);
            }
            case WORKER -> {
                roster.apply(record);
                reportSchedulerRecord(record);
            }
            default -> throw new StoreException("unknown key");
        }
    }

    /**
     * Adds a job, or removes it with its cancellation and progress. A repeated acceptance has the
     * same content and is ignored.
     */
    private void applyAccepted(StoredRecord record) throws StoreException {
        if (record.isTombstone()) {
            entries.remove(JobRecords.jobId(record));
            return;
        }
        Entry entry = entryOf(record);
        if (entry.job == null) {
            entry.job = JobRecords.read(record, TaskJob.class);
            entry.cancelled |=
                    earlyCancellations.contains(entry.job.id(), entry.job.organisation());
            reportChange(entry);
        }
    }

    private void applyCancelled(StoredRecord record) {
        if (record.isTombstone()) {
            return;
        }
        Entry entry = entryOf(record);
        entry.cancelled = true;
        reportChange(entry);
    }

    /** Keeps an early cancellation, and applies it if the job has been stored before it. */
    private void applyEarlyCancellation(StoredRecord record) throws StoreException {
        Optional<JobRecords.EarlyCancellation> added = earlyCancellations.apply(record);
        if (added.isEmpty()) {
            return;
        }
        find(added.get().job())
                .filter(entry -> entry.job.organisation().equals(added.get().organisation()))
                .filter(entry -> !entry.cancelled)
                .ifPresent(
                        entry -> {
                            entry.cancelled = true;
                            reportChange(entry);
                        });
    }

    /** Reports a change of a job, but not while its other records may not have been loaded yet. */
    private void reportChange(Entry entry) {
        if (entry.job != null && !replacing) {
            listener.jobChanged(entry);
        }
    }

    private void applyProgress(StoredRecord record) throws StoreException {
        if (!record.isTombstone()) {
            entryOf(record).progress = JobRecords.read(record, JobProgress.class);
        }
    }

    private void applyLeader(StoredRecord record) throws StoreException {
        JobRecords.Leader next = JobRecords.read(record, JobRecords.Leader.class);
        if (leader == null || next.epoch() >= leader.epoch()) {
            leader = next;
        }
        listener.leaderRecordRead(next);
    }

    private void reportSchedulerRecord(StoredRecord record) {
        if (!replacing) {
            listener.schedulerRecordRead(record.offset());
        }
    }

    private Entry entryOf(StoredRecord record) {
        return entries.computeIfAbsent(JobRecords.jobId(record), id -> new Entry());
    }
}
