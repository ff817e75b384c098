package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.EstimationError;
import io.cardamomshelf.core.schedule.FleetLoad;
import io.cardamomshelf.core.schedule.FleetSpeeds;
import io.cardamomshelf.core.schedule.InterferingPair;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WaitReason;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.store.JobsView;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Logs and measures the outcome of scheduling rounds: why jobs wait, which workers are stragglers,
 * which kinds of tasks interfere, how long a job waited for its first start. Each change is logged
 * once.
 *
 * <p>Use: {@link SchedulerTerm} calls {@code reportRound} after each round, and {@code
 * startOrdered} for each start.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RoundReporter {

    /** The interval between logs of the fleet's load while jobs wait, in milliseconds. */
    private static final long LOAD_INTERVAL_MILLIS = 1_000;

    /** The shortest interval between logs of changed speeds of workers, in milliseconds. */
    private static final long SPEEDS_INTERVAL_MILLIS = 1_000;

    /** The most workers that a log of changed speeds lists. */
    private static final int MAX_LISTED_WORKERS = 8;

    private final SchedulerTermContext context;
    private final SchedulerState state;
    private final JobsView jobs;

    /** The jobs whose first start was measured, or isn't to be measured. */
    private final Set<JobId> startedJobs = new HashSet<>();

    private Map<JobId, WaitReason> lastWaits = Map.of();
    private long loadLoggedMillis = Long.MIN_VALUE / 2;
    private Set<WorkerId> lastStragglers = Set.of();
    private long countedAvoidingStarts;
    private FleetSpeeds lastSpeeds = FleetSpeeds.NONE;
    private long speedsLoggedMillis = Long.MIN_VALUE / 2;

    RoundReporter(SchedulerTermContext context, SchedulerState state, JobsView jobs) {
        this.context = context;
        this.state = state;
        this.jobs = jobs;
    }

    /** Logs what the latest round has changed. */
    void reportRound() {
        logWaits();
        logStragglers();
        reportInterference();
        logSpeeds();
        recordEstimationErrors();
        logLoad();
    }

    /** Excludes a job from the first-start times, as an earlier scheduler may have started it. */
    void markStarted(JobId id) {
        startedJobs.add(id);
    }

    /** Measures the time to the first start when a start is ordered for the job. */
    void startOrdered(JobId id) {
        jobs.find(id)
                .filter(entry -> startedJobs.add(id))
                .flatMap(JobsView.Entry::job)
                .ifPresent(
                        job ->
                                context.metrics()
                                        .recordDuration(
                                                Name.FIRST_START_MILLIS,
                                                context.clock().now().wallMillis()
                                                        - job.acceptedMillis(),
                                                job.queue().priority()));
    }

    void forget(JobId id) {
        startedJobs.remove(id);
    }

    /** Returns the milliseconds since a job's acceptance, -1 if the job isn't stored any more. */
    long millisSinceAccepted(JobId id) {
        long now = context.clock().now().wallMillis();
        return jobs.find(id)
                .flatMap(JobsView.Entry::job)
                .map(job -> now - job.acceptedMillis())
                .orElse(-1L);
    }

    /** Logs a job when it begins to wait and when the reason changes. */
    private void logWaits() {
        Map<JobId, WaitReason> waits = state.waitReasons();
        for (Map.Entry<JobId, WaitReason> wait : waits.entrySet()) {
            if (wait.getValue() != lastWaits.get(wait.getKey())) {
                EventLog.of(NodeEvent.JOB_WAITING)
                        .with("job", wait.getKey())
                        .with("reason", wait.getValue())
                        .with("waitedMillis", millisSinceAccepted(wait.getKey()))
                        .with("unseenWorkers", state.workerReports().missing().size())
                        .write();
            }
        }
        lastWaits = waits;
    }

    /** Returns the priority of a job's queue, -1 if the job isn't stored any more. */
    int priorityOf(JobId id) {
        return jobs.find(id)
                .flatMap(JobsView.Entry::job)
                .map(job -> job.queue().priority())
                .orElse(-1);
    }

    /** Logs load and waiting jobs together, to show whether jobs wait despite free capacity. */
    private void logLoad() {
        long now = context.clock().monotonicMillis();
        if (lastWaits.isEmpty() || now - loadLoggedMillis < LOAD_INTERVAL_MILLIS) {
            return;
        }
        loadLoggedMillis = now;
        FleetLoad load = state.load(context.clock().now());
        EventLog.of(NodeEvent.FLEET_LOAD)
                .with("accelerators", load.accelerators())
                .with("free", load.free())
                .with("freeMemoryMb", load.freeMemoryMb())
                .with("idleWorkers", load.idleWorkers())
                .with("held", load.held())
                .with("running", load.running())
                .with("waiting", load.waiting())
                .with("waitingJobs", lastWaits.size())
                .with("groupsOverCap", load.groupsOverCap())
                .write();
    }

    private void recordEstimationErrors() {
        for (EstimationError error : state.observations().takeEstimationErrors()) {
            context.metrics()
                    .recordValue(Name.ESTIMATION_ERROR_PERCENT, error.percent(), error.queue());
        }
    }

    private void logStragglers() {
        Set<WorkerId> stragglers = state.stragglers();
        if (!stragglers.equals(lastStragglers)) {
            EventLog.of(NodeEvent.WORKERS_LAGGING).with("workers", stragglers).write();
            lastStragglers = stragglers;
        }
    }

    /** Sets the gauges of this term to 0, as another process may be the scheduler from now on. */
    void retire() {
        context.metrics().set(Name.INTERFERING_PAIRS, 0);
    }

    /**
     * Logs the pairs of kinds of tasks that became known to interfere, each once, and counts the
     * starts that avoided them.
     */
    private void reportInterference() {
        context.metrics().set(Name.INTERFERING_PAIRS, state.observations().interferingPairs());
        long avoidingStarts = state.observations().startsAvoidingInterference();
        context.metrics()
                .add(Name.STARTS_AVOIDING_INTERFERENCE, avoidingStarts - countedAvoidingStarts);
        countedAvoidingStarts = avoidingStarts;
        for (InterferingPair pair : state.observations().takeNewInterferingPairs()) {
            EventLog.of(NodeEvent.INTERFERENCE_FOUND)
                    .with("slowed", pair.slowed())
                    .with("slowing", pair.slowing())
                    .with("slowdownPercent", pair.slowdownPercent())
                    .with("comparisons", pair.samples())
                    .with("workers", pair.workers())
                    .with("ageMillis", pair.ageMillis())
                    .write();
        }
    }

    /** Logs the workers whose speed class has changed; lists only some, as all may change. */
    private void logSpeeds() {
        FleetSpeeds speeds = state.observations().speeds();
        long now = context.clock().monotonicMillis();
        if (speeds.slow().equals(lastSpeeds.slow()) && speeds.fast().equals(lastSpeeds.fast())
                || now - speedsLoggedMillis < SPEEDS_INTERVAL_MILLIS) {
            return;
        }
        Set<WorkerId> changed = new TreeSet<>(speeds.changedSince(lastSpeeds));
        EventLog.of(NodeEvent.WORKER_SPEEDS_CHANGED)
                .with("changed", changed.stream().limit(MAX_LISTED_WORKERS).toList())
                .with("changedCount", changed.size())
                .with("slow", speeds.slow().size())
                .with("fast", speeds.fast().size())
                .with("known", speeds.known())
                .with("lowest", speeds.lowest())
                .with("highest", speeds.highest())
                .write();
        lastSpeeds = speeds;
        speedsLoggedMillis = now;
    }
}
