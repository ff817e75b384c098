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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The jobs as stored, and who schedules them.
 *
 * <p>Use: the fold of the stream of jobs; callers' questions are answered from it, and a newly
 * elected scheduler starts from it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class JobsView implements StreamFollower.Fold {

    /** Hears what changes. */
    public interface Listener {

        /**
         * Hears of a job that was accepted or cancelled.
         *
         * @param entry the job, not null
         */
        void jobChanged(Entry entry);

        /**
         * Hears of a record of the scheduler.
         *
         * @param leader who it is, not null
         */
        void leaderSeen(JobRecords.Leader leader);

        /** Hears that the view has reached the end of the stream. */
        void caughtUp();
    }

    /** A job as stored. */
    public static final class Entry {

        private TaskJob job;
        private boolean cancelled;
        private JobProgress progress;

        /**
         * Returns the job.
         *
         * @return the job, empty while only later facts of it have been read
         */
        public Optional<TaskJob> job() {
            return Optional.ofNullable(job);
        }

        /**
         * Asks whether its caller has cancelled it.
         *
         * @return true if a cancellation is stored
         */
        public boolean isCancelled() {
            return cancelled;
        }

        /**
         * Returns how far it has come.
         *
         * @return the progress, never null
         */
        public JobProgress progress() {
            return stored().orElse(JobProgress.QUEUED);
        }

        /**
         * Returns what a scheduler has stored of it.
         *
         * @return the progress, empty before the first
         */
        public Optional<JobProgress> stored() {
            return Optional.ofNullable(progress);
        }

        /**
         * Returns the state to show.
         *
         * @return the state, never null
         */
        public JobState state() {
            JobState reached = progress().state();
            return cancelled && !reached.isEnded() ? JobState.CANCELLED : reached;
        }
    }

    private final Listener listener;
    private Map<JobId, Entry> entries = new LinkedHashMap<>();
    private JobRecords.Leader leader;
    private Roster roster = new Roster();

    /**
     * Creates a view of nothing.
     *
     * @param listener hears what changes, not null
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
    public Collection<Entry> all() {
        return entries.values().stream().filter(entry -> entry.job != null).toList();
    }

    /**
     * Counts the jobs of a queue of which nothing has started.
     *
     * @param queue the queue's name, not null
     * @return the number, 0 or more
     */
    public long pending(String queue) {
        return all().stream()
                .filter(entry -> entry.state() == JobState.QUEUED)
                .filter(entry -> entry.job.queue().name().equals(queue))
                .count();
    }

    /**
     * Returns the scheduler.
     *
     * @return who it is, empty if there never was one
     */
    public Optional<JobRecords.Leader> leader() {
        return Optional.ofNullable(leader);
    }

    /**
     * Returns the workers that may hold runs.
     *
     * @return the roster as read so far, never null
     */
    public Roster roster() {
        return roster;
    }

    @Override
    public void replace(List<StoredRecord> records) {
        entries = new HashMap<>();
        List<StoredRecord> ordered = new ArrayList<>(records);
        ordered.sort((a, b) -> Long.compare(a.offset(), b.offset()));
        entries = new LinkedHashMap<>();
        roster = new Roster();
        ordered.forEach(this::apply);
    }

    @Override
    public void apply(StoredRecord record) {
        try {
            take(record);
        } catch (StoreException e) {
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

    private void take(StoredRecord record) throws StoreException {
        switch (JobRecords.kind(record)) {
            case ACCEPTED -> accept(record);
            case CANCELLED -> cancel(record);
            case PROGRESS -> progress(record);
            case LEADER -> lead(record);
            case WORKER -> roster.apply(record);
            default -> throw new StoreException("unknown key");
        }
    }

    /** The first acceptance counts; a repeat of it has the same content. */
    private void accept(StoredRecord record) throws StoreException {
        if (record.isDrop()) {
            entries.remove(JobRecords.job(record));
            return;
        }
        Entry entry = entry(record);
        if (entry.job == null) {
            entry.job = JobRecords.read(record, TaskJob.class);
            listener.jobChanged(entry);
        }
    }

    private void cancel(StoredRecord record) {
        if (record.isDrop()) {
            return;
        }
        Entry entry = entry(record);
        entry.cancelled = true;
        if (entry.job != null) {
            listener.jobChanged(entry);
        }
    }

    private void progress(StoredRecord record) throws StoreException {
        if (!record.isDrop()) {
            entry(record).progress = JobRecords.read(record, JobProgress.class);
        }
    }

    private void lead(StoredRecord record) throws StoreException {
        JobRecords.Leader next = JobRecords.read(record, JobRecords.Leader.class);
        if (leader == null || next.epoch() >= leader.epoch()) {
            leader = next;
        }
        listener.leaderSeen(next);
    }

    private Entry entry(StoredRecord record) {
        return entries.computeIfAbsent(JobRecords.job(record), id -> new Entry());
    }
}
