package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.membership.Rendezvous;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Takes over open jobs whose owner is no longer live, by appending a claim record to the log. The
 * first claim in the log wins. Each such job is assigned to one live entry by rendezvous hashing.
 * {@link EntryInstance} calls it periodically until it shuts down.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Takeover {

    private final InstanceIdentity identity;
    private final JobTable table;
    private final InstanceDirectory directory;
    private final JobLog log;
    private final Events events;
    private final PauseDetector pauseDetector;
    private final Set<JobId> claiming = new HashSet<>();

    Takeover(
            InstanceIdentity identity,
            JobTable table,
            InstanceDirectory directory,
            JobLog log,
            Events events,
            PauseDetector pauseDetector) {
        this.identity = identity;
        this.table = table;
        this.directory = directory;
        this.log = log;
        this.events = events;
        this.pauseDetector = pauseDetector;
    }

    void tick() {
        long now = Clock.monotonicMillis();
        if (now - pauseDetector.runningSinceMillis() < InstanceDirectory.HEARTBEAT_TIMEOUT_MILLIS) {
            // After a pause, heartbeats of live owners may not have been received yet.
            return;
        }
        List<String> liveRuns = directory.liveEntryRuns(now, false);
        for (JobTable.Job job : table.open()) {
            boolean orphaned = !liveRuns.contains(job.owner().value());
            boolean assignedHere =
                    Rendezvous.owner(job.id().value(), liveRuns)
                            .filter(identity.runId().value()::equals)
                            .isPresent();
            if (orphaned && assignedHere && claiming.add(job.id())) {
                claim(job);
            }
        }
    }

    private void claim(JobTable.Job job) {
        log.append(new JobRecord.Claimed(job.id(), job.ownerOffset(), identity.runId()))
                .onTermination()
                .invoke(() -> claiming.remove(job.id()))
                .subscribe()
                .with(
                        offset ->
                                events.publish(
                                        EventType.JOB_TAKEN_OVER,
                                        job.id().value(),
                                        "from " + job.owner()),
                        failure -> {});
    }
}
