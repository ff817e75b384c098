package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/**
 * Sums up the orders for each job, and logs one event when the job ends. The event shows whether
 * the job was late, and the possible causes: a late first start, stopped runs, or gangs that were
 * spread over several racks.
 *
 * <p>Use: called by {@link SchedulerTerm} for each order and each stored end of a job.
 *
 * <p>Limits: counts only this scheduler's orders, not those of an earlier one. Not thread-safe:
 * belongs to the instance's event loop.
 */
final class JobReporter {

    private final ServiceMetrics metrics;
    private final Function<WorkerId, String> rackOf;
    private final Map<JobId, JobTotals> totalsByJob = new HashMap<>();

    JobReporter(ServiceMetrics metrics, Function<WorkerId, String> rackOf) {
        this.metrics = metrics;
        this.rackOf = rackOf;
    }

    void startOrdered(Order.Start start, long nowMillis) {
        totalsOf(start.task().job()).addStart(start, rackOf.apply(start.worker()), nowMillis);
    }

    void stopOrdered(Order.Stop stop, int priority, long nowMillis) {
        totalsOf(stop.task().job()).addStop(stop, nowMillis);
        metrics.count(Name.STOPS, stop.reason(), priority);
    }

    /** Logs a job whose end is stored, and discards its totals. */
    void jobEnded(TaskJob job, JobState state, long nowMillis) {
        JobTotals totals = totalsByJob.remove(job.id());
        if (totals == null) {
            totals = new JobTotals();
        }
        long elapsedMillis = nowMillis - job.acceptedMillis();
        metrics.recordDuration(Name.JOB_MILLIS, elapsedMillis, job.queue().priority(), state);
        EventLog.of(NodeEvent.JOB_ENDED)
                .with("job", job.id())
                .with("state", state)
                .with("priority", job.queue().priority())
                .with("tookMillis", elapsedMillis)
                .with("objectiveMillis", job.objectiveMillis())
                .with("firstStartMillis", firstStartDelayMillis(totals, job))
                .with("starts", totals.starts())
                .with("spreadRuns", totals.spreadRuns())
                .with("stops", totals.stops())
                .with("stoppedRunMillis", totals.stoppedRunMillis())
                .write();
    }

    /** Discards the totals of orders that were given after the job's end was logged. */
    void forget(JobId id) {
        totalsByJob.remove(id);
    }

    private static long firstStartDelayMillis(JobTotals totals, TaskJob job) {
        return totals.firstStartMillis() < 0
                ? -1
                : totals.firstStartMillis() - job.acceptedMillis();
    }

    private JobTotals totalsOf(JobId id) {
        return totalsByJob.computeIfAbsent(id, key -> new JobTotals());
    }
}
