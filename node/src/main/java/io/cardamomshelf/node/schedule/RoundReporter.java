package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.FleetLoad;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WaitReason;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.store.JobsView;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Logs and counts what rounds decide, each fact once: why jobs wait, which workers lag, how long a
 * job waited for its first start.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RoundReporter {

    /** How often the fleet's load is noted while jobs wait, in milliseconds. */
    private static final long LOAD_MILLIS = 1_000;

    private final SchedulerTermContext parts;
    private final SchedulerState board;
    private final JobsView jobs;
    private final Set<JobId> firstStarts = new HashSet<>();
    private Map<JobId, WaitReason> lastWaits = Map.of();
    private long loadNotedMillis = Long.MIN_VALUE / 2;
    private Set<WorkerId> lastLagging = Set.of();

    RoundReporter(SchedulerTermContext parts, SchedulerState board, JobsView jobs) {
        this.parts = parts;
        this.board = board;
        this.jobs = jobs;
    }

    /** Notes the round that was just decided. */
    void round() {
        noteWaits();
        noteLagging();
        noteLoad();
    }

    /** Notes a job that an earlier scheduler may have started. */
    void inherit(JobId id) {
        firstStarts.add(id);
    }

    /** Notes that a task of a job was ordered to start. */
    void started(JobId id) {
        jobs.find(id)
                .filter(entry -> firstStarts.add(id))
                .flatMap(JobsView.Entry::job)
                .ifPresent(
                        job ->
                                parts.metrics()
                                        .time(
                                                Name.FIRST_START_MILLIS,
                                                parts.clock().now().wallMillis()
                                                        - job.acceptedMillis(),
                                                job.queue().priority()));
    }

    void forget(JobId id) {
        firstStarts.remove(id);
    }

    /** Milliseconds since a job's acceptance, -1 if it isn't known any more. */
    long sinceAccepted(JobId id) {
        long now = parts.clock().now().wallMillis();
        return jobs.find(id)
                .flatMap(JobsView.Entry::job)
                .map(job -> now - job.acceptedMillis())
                .orElse(-1L);
    }

    /** One line when a job begins to wait and one when the reason changes. */
    private void noteWaits() {
        Map<JobId, WaitReason> waits = board.waits();
        for (Map.Entry<JobId, WaitReason> wait : waits.entrySet()) {
            if (wait.getValue() != lastWaits.get(wait.getKey())) {
                EventLog.of(NodeEvent.JOB_WAITING)
                        .with("job", wait.getKey())
                        .with("reason", wait.getValue())
                        .with("waitedMillis", sinceAccepted(wait.getKey()))
                        .with("unseenWorkers", board.unseen().size())
                        .write();
            }
        }
        lastWaits = waits;
    }

    /** The priority of a job's queue, -1 if the job isn't known any more. */
    int priorityOf(JobId id) {
        return jobs.find(id)
                .flatMap(JobsView.Entry::job)
                .map(job -> job.queue().priority())
                .orElse(-1);
    }

    /** Tells from the same line whether work waits for room, or while there is room. */
    private void noteLoad() {
        long now = parts.clock().steadyMillis();
        if (lastWaits.isEmpty() || now - loadNotedMillis < LOAD_MILLIS) {
            return;
        }
        loadNotedMillis = now;
        FleetLoad load = board.load(parts.clock().now());
        EventLog.of(NodeEvent.FLEET_LOAD)
                .with("accelerators", load.accelerators())
                .with("free", load.free())
                .with("held", load.held())
                .with("running", load.running())
                .with("waiting", load.waiting())
                .with("waitingJobs", lastWaits.size())
                .write();
    }

    private void noteLagging() {
        Set<WorkerId> lagging = board.lagging();
        if (!lagging.equals(lastLagging)) {
            EventLog.of(NodeEvent.WORKERS_LAGGING).with("workers", lagging).write();
            lastLagging = lagging;
        }
    }
}
