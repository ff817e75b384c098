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
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Adds up what this scheduler ordered for each job, and writes one line when the job ends: whether
 * it was late, and whether for a late start, for runs that were stopped, or for detours.
 *
 * <p>Limits: orders of an earlier scheduler aren't in it. Not thread-safe: belongs to the
 * instance's event loop.
 */
final class JobReporter {

    private static final class Account {
        private long firstStartMillis = -1;
        private int starts;
        private final Map<Long, String> racksOfRuns = new HashMap<>();
        private final Set<Long> spreadRuns = new HashSet<>();
        private final Map<Order.StopReason, Integer> stops = new EnumMap<>(Order.StopReason.class);
    }

    private final ServiceMetrics metrics;
    private final Function<WorkerId, String> rackOf;
    private final Map<JobId, Account> accounts = new HashMap<>();

    JobReporter(ServiceMetrics metrics, Function<WorkerId, String> rackOf) {
        this.metrics = metrics;
        this.rackOf = rackOf;
    }

    void started(Order.Start start, long nowMillis) {
        Account account = account(start.task().job());
        if (account.firstStartMillis < 0) {
            account.firstStartMillis = nowMillis;
        }
        account.starts++;
        String rack = rackOf.apply(start.worker());
        String first = account.racksOfRuns.putIfAbsent(start.run(), rack);
        if (first != null && !first.equals(rack)) {
            account.spreadRuns.add(start.run());
        }
    }

    void stopped(Order.Stop stop, int priority) {
        account(stop.task().job()).stops.merge(stop.reason(), 1, Integer::sum);
        metrics.count(Name.STOPS, stop.reason(), priority);
    }

    /** Writes the line of a job whose end is stored, and forgets the job. */
    void ended(TaskJob job, JobState state, long nowMillis) {
        Account account = accounts.remove(job.id());
        if (account == null) {
            account = new Account();
        }
        long took = nowMillis - job.acceptedMillis();
        metrics.time(Name.JOB_MILLIS, took, job.queue().priority(), state);
        EventLog.of(NodeEvent.JOB_ENDED)
                .with("job", job.id())
                .with("state", state)
                .with("priority", job.queue().priority())
                .with("tookMillis", took)
                .with("objectiveMillis", job.objectiveMillis())
                .with("firstStartMillis", sinceAccepted(account, job))
                .with("starts", account.starts)
                .with("spreadRuns", account.spreadRuns.size())
                .with("stops", account.stops)
                .write();
    }

    /** Forgets a job that ended before its last orders. */
    void forget(JobId id) {
        accounts.remove(id);
    }

    private static long sinceAccepted(Account account, TaskJob job) {
        return account.firstStartMillis < 0 ? -1 : account.firstStartMillis - job.acceptedMillis();
    }

    private Account account(JobId id) {
        return accounts.computeIfAbsent(id, any -> new Account());
    }
}
