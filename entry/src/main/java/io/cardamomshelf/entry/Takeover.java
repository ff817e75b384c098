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
 * Takes over jobs whose owner is gone, by a claim record in the log; the first claim wins.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class Takeover {

    private final InstanceIdentity self;
    private final JobTable table;
    private final Members members;
    private final JobLog log;
    private final Events events;
    private final PauseWatch pauses;
    private final Set<JobId> claiming = new HashSet<>();

    Takeover(
            InstanceIdentity self,
            JobTable table,
            Members members,
            JobLog log,
            Events events,
            PauseWatch pauses) {
        this.self = self;
        this.table = table;
        this.members = members;
        this.log = log;
        this.events = events;
        this.pauses = pauses;
    }

    void tick() {
        long now = Clock.millis();
        if (now - pauses.awakeSinceMillis() < Members.LIVE_MILLIS) {
            // Heartbeats of live owners may not have arrived yet.
            return;
        }
        List<String> live = members.liveEntries(now, false);
        for (JobTable.Job job : table.open()) {
            boolean orphan = !live.contains(job.owner().value());
            boolean mine =
                    Rendezvous.owner(job.id().value(), live)
                            .filter(self.run().value()::equals)
                            .isPresent();
            if (orphan && mine && claiming.add(job.id())) {
                claim(job);
            }
        }
    }

    private void claim(JobTable.Job job) {
        log.append(new JobRecord.Claimed(job.id(), job.ownerOffset(), self.run()))
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
