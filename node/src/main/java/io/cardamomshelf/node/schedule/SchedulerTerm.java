package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.ClockReading;
import io.cardamomshelf.core.schedule.Order;
import io.cardamomshelf.core.schedule.OrganisationLimits;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.Voters;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.schedule.WorkerReports;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.StoredRecord;
import io.cardamomshelf.node.store.JobRecords;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.SchedulerAppender;
import io.cardamomshelf.node.store.WorkersView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One process's term as scheduler: from its election until it resigns or is deposed.
 *
 * <p>Use: {@link SchedulerCandidate} calls {@code begin()} once every record up to the election has
 * been read, and then reports each change of the jobs, the workers and the configuration. A
 * scheduling round follows each change. The end of a run must not be acknowledged to its worker
 * before the resulting progress is stored.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class SchedulerTerm implements LinkOwner {

    /** Run numbers reserved for each epoch, so that they rise from one scheduler to the next. */
    private static final long RUNS_PER_EPOCH = 1_000_000;

    /** The longest time between rounds, in milliseconds, so that time limits are checked. */
    private static final long TICK_INTERVAL_MILLIS = 100;

    /** How often ended jobs are dropped from the store, in milliseconds. */
    private static final long CLEANUP_INTERVAL_MILLIS = 5_000;

    private final SchedulerTermContext context;
    private final SchedulerAppender appender;
    private final JobsView jobs;
    private final OperatorsView operators;
    private final WorkersView workers;
    private final Runnable onDeposed;
    private final SchedulerState state;
    private final AdviceFetcher adviceFetcher;
    private final RosterWriter rosterWriter;
    private final FenceRefusals fenceRefusals;
    private final WorkerLinks links;

    private final JobRetention retention;
    private final RoundReporter roundReporter;
    private final JobReporter jobReporter;

    private boolean roundDue;
    private boolean heartbeatInFlight;
    private boolean retired;
    private boolean takingOver = true;
    private boolean granting = true;

    /** The workers that earlier schedulers have stored. */
    private Voters inheritedVoters = Voters.of(Set.of());

    SchedulerTerm(
            SchedulerTermContext context,
            SchedulerAppender appender,
            JobsView jobs,
            OperatorsView operators,
            WorkersView workers,
            Runnable onDeposed) {
        this.context = context;
        this.appender = appender;
        this.jobs = jobs;
        this.operators = operators;
        this.workers = workers;
        this.onDeposed = onDeposed;
        this.state =
                new SchedulerState(
                        context.epoch() * RUNS_PER_EPOCH, context.settings().quotaOverage());
        this.links = new WorkerLinks(context, state, workers, this);
        this.adviceFetcher = new AdviceFetcher(context, state, this::stateChanged);
        this.roundReporter = new RoundReporter(context, state, jobs);
        this.jobReporter = new JobReporter(context.metrics(), state.workerReports()::rackOf);
        this.fenceRefusals = new FenceRefusals(context, this::endFenced);
        this.retention = new JobRetention(jobs, context.settings().stateKeptMillis());
        this.rosterWriter = new RosterWriter(appender, state, this::stateChanged);
    }

    /** Loads the stored jobs and workers, and starts rounds and calls to workers. */
    void begin() {
        configure();
        rosterWriter.load(jobs.roster());
        inheritedVoters = rosterWriter.voters();
        for (JobsView.Entry entry : jobs.acceptedJobs()) {
            if (entry.storedProgress().isPresent()) {
                roundReporter.markStarted(entry.job().orElseThrow().id());
            }
            addEndedJobWithRuns(entry);
            jobChanged(entry);
        }
        links.begin(jobs.roster());
        state.endInheritance();
        links.renewIfNeeded();
        tick();
        scheduleCleanup();
    }

    /** Ends rounds and calls to workers. The appender stays open to store the resignation. */
    void retire() {
        retired = true;
        adviceFetcher.close();
        roundReporter.retire();
        links.close();
    }

    /** Ends the term. Records that aren't stored yet are discarded. */
    void end() {
        retire();
        appender.close();
    }

    long epoch() {
        return context.epoch();
    }

    long lastStoredAppendMillis() {
        return context.leaderLease().provenMillis();
    }

    <T> T read(Function<SchedulerState, T> reader) {
        return reader.apply(state);
    }

    SchedulerAppender appender() {
        return appender;
    }

    /**
     * Stores a heartbeat, unless one is in flight. A stored heartbeat proves that no other
     * scheduler was elected before it. It shares an append with other queued records, so that it
     * isn't delayed while many records are stored.
     */
    void appendHeartbeat(StoredRecord heartbeat) {
        if (!heartbeatInFlight) {
            heartbeatInFlight = true;
            append(List.of(heartbeat), () -> heartbeatInFlight = false);
        }
    }

    /** Applies the operators' settings in force. */
    void configure() {
        state.setClosedDataCentres(operators.withdrawnDataCentres());
        operators.configuration().ifPresent(this::configure);
    }

    /**
     * Adds a job that ended before this term, as runs of it may still count for its organisation.
     */
    private void addEndedJobWithRuns(JobsView.Entry entry) {
        entry.storedProgress()
                .filter(stored -> stored.state().isEnded() && stored.mayHaveRuns())
                .ifPresent(stored -> state.addJob(entry.job().orElseThrow(), Optional.of(stored)));
    }

    void jobChanged(JobsView.Entry entry) {
        if (entry.job().isEmpty() || entry.progress().state().isEnded()) {
            return;
        }
        links.useService(entry.job().get().queue().service());
        state.addJob(entry.job().get(), entry.storedProgress());
        if (entry.isCancelled()) {
            state.cancel(entry.job().get().id());
        }
        stateChanged();
    }

    void workerRegistered(WorkerInfo info) {
        links.workerRegistered(info);
    }

    void workerUnregistered(WorkerId id) {
        links.workerUnregistered(id);
        state.removeWorker(id);
        EventLog.of(NodeEvent.WORKER_UNLISTED).with("worker", id).write();
        rosterWriter.dropUnregistered(registeredWorkers());
    }

    @Override
    public void stateChanged() {
        if (!roundDue && !retired) {
            roundDue = true;
            context.timers().after(0, this::round);
        }
    }

    @Override
    public void workerLost(WorkerId worker, long unansweredBeforeMillis) {
        state.markWorkerLost(worker, unansweredBeforeMillis);
        rosterWriter.dropUnregistered(registeredWorkers());
        stateChanged();
    }

    @Override
    public boolean mayGrant() {
        return context.leaderLease().mayGrant(context.clock().now(), rosterWriter::voters);
    }

    @Override
    public boolean havePredecessorLeasesLapsed() {
        return context.leaderLease()
                .havePredecessorLeasesLapsed(
                        context.clock().now(), context.settings().leaseMillis());
    }

    @Override
    public void fenced(WorkerInfo worker) {
        if (!retired) {
            fenceRefusals.record(worker);
        }
    }

    private void endFenced() {
        if (!retired) {
            EventLog.of(NodeEvent.LEADERSHIP_LOST)
                    .with("epoch", epoch())
                    .with("cause", "several workers have seen a higher fencing token")
                    .write();
            onDeposed.run();
        }
    }

    private void tick() {
        if (retired) {
            return;
        }
        // Scheduled first, so that an unexpected error doesn't end the ticks.
        context.timers().after(TICK_INTERVAL_MILLIS, this::tick);
        stateChanged();
        context.leaderLease().updateMajority(context.clock().now(), inheritedVoters);
        if (context.leaderLease().needsWorkerAnswers(context.clock().now())) {
            links.renewIfNeeded();
        }
    }

    private void scheduleCleanup() {
        context.timers()
                .after(
                        CLEANUP_INTERVAL_MILLIS,
                        () -> {
                            if (!retired) {
                                scheduleCleanup();
                                dropExpiredJobs();
                            }
                        });
    }

    private void configure(Configuration configuration) {
        Map<String, QueuePolicy> queues = new HashMap<>();
        for (Configuration.Route route : configuration.routes()) {
            queues.put(route.policy().name(), route.policy());
            links.useService(route.policy().service());
        }
        Map<OrganisationId, OrganisationLimits> limits = new HashMap<>();
        configuration
                .organisations()
                .forEach(organisation -> limits.put(organisation.id(), organisation.limits()));
        state.configure(queues, limits);
        stateChanged();
    }

    @Override
    public void entryConfirmed(WorkerInfo entry, boolean isFirst) {
        if (isFirst) {
            EventLog.of(NodeEvent.WORKER_SEEN)
                    .with("worker", entry.id())
                    .with("bornMillis", entry.bornMillis())
                    .with("clockMillis", entry.clockMillis())
                    .with("dataCentre", entry.dataCentre())
                    .with("rack", entry.rack())
                    .with("capacity", entry.capacity())
                    .write();
        }
        state.putWorker(entry);
        rosterWriter.admit(entry);
    }

    private void round() {
        roundDue = false;
        if (retired) {
            return;
        }
        updateGranting(mayGrant());
        if (granting) {
            state.decide(context.clock().now()).forEach(this::sendOrder);
        }
        adviceFetcher.fetchMissing();
        roundReporter.reportRound();
        storeChanges();
        if (takingOver && state.workerReports().areComplete()) {
            takingOver = false;
            EventLog.of(NodeEvent.TAKEOVER_COMPLETE)
                    .with("epoch", epoch())
                    .with("runs", state.workerReports().countRuns())
                    .write();
        }
    }

    private void updateGranting(boolean allowed) {
        if (allowed != granting) {
            granting = allowed;
            EventLog.of(allowed ? NodeEvent.TENURE_PROVEN : NodeEvent.TENURE_IN_DOUBT)
                    .with("epoch", epoch())
                    .with("workers", registeredWorkers().size())
                    .write();
        }
    }

    private Set<WorkerId> registeredWorkers() {
        return workers.registered().stream().map(WorkerInfo::id).collect(Collectors.toSet());
    }

    private void sendOrder(Order order) {
        WorkerLink link = links.link(order.worker());
        if (order instanceof Order.Start start) {
            EventLog.of(NodeEvent.RUN_ORDERED)
                    .with("task", start.task())
                    .with("run", start.run())
                    .with("worker", start.worker())
                    .with("waitedMillis", roundReporter.millisSinceAccepted(start.task().job()))
                    .with("checkpointed", !start.checkpoint().isEmpty())
                    .with("configuration", configurationVersion())
                    .write();
            roundReporter.startOrdered(start.task().job());
            jobReporter.startOrdered(start, wallMillis());
            link.start(start);
        } else if (order instanceof Order.Stop stop) {
            EventLog.of(NodeEvent.STOP_ORDERED)
                    .with("task", stop.task())
                    .with("run", stop.run())
                    .with("worker", stop.worker())
                    .with("reason", stop.reason())
                    .write();
            jobReporter.stopOrdered(
                    stop, roundReporter.priorityOf(stop.task().job()), wallMillis());
            link.stop(stop);
        }
    }

    private long wallMillis() {
        return context.clock().now().wallMillis();
    }

    private long configurationVersion() {
        return operators.configuration().map(Configuration::version).orElse(-1L);
    }

    /** Stores changed progress, and only then acknowledges the ends of runs that led to it. */
    private void storeChanges() {
        Map<JobId, JobProgress> progress = new LinkedHashMap<>(state.takeChangedProgress());
        progress.forEach(this::failIfTooLong);
        progress.putAll(state.takeChangedProgress());
        List<WorkerReports.ReceivedEnds> newEnds = state.workerReports().takeNewEnds();
        if (progress.isEmpty() && newEnds.isEmpty()) {
            return;
        }
        List<StoredRecord> records = new ArrayList<>();
        progress.forEach((id, value) -> records.add(JobRecords.progress(id, value)));
        append(
                records,
                () -> {
                    progress.forEach(this::confirmProgressStored);
                    stateChanged();
                    newEnds.forEach(ends -> links.link(ends.worker()).confirmEndsStored(ends));
                });
    }

    /** Ends a job as failed whose progress the store can't take; that record is short. */
    private void failIfTooLong(JobId id, JobProgress progress) {
        int sizeBytes = JobRecords.progress(id, progress).sizeBytes();
        int maxBytes = context.limits().recordBytes();
        if (sizeBytes > maxBytes) {
            EventLog.of(NodeEvent.RECORD_TOO_LONG)
                    .with("job", id)
                    .with("bytes", sizeBytes)
                    .with("maxBytes", maxBytes)
                    .write();
            state.fail(id);
        }
    }

    private void append(List<StoredRecord> records, Runnable whenStored) {
        ClockReading sentAt = context.clock().now();
        appender.append(
                records,
                () -> {
                    if (!records.isEmpty()) {
                        context.leaderLease().recordStoredAppend(sentAt);
                    }
                    whenStored.run();
                });
    }

    private void confirmProgressStored(JobId id, JobProgress progress) {
        state.confirmProgressStored(id);
        EventLog.of(NodeEvent.PROGRESS_STORED)
                .with("job", id)
                .with("state", progress.state())
                .with(
                        "hosts",
                        progress.hosts().anywhere() ? "any" : progress.hosts().workers().size())
                .write();
        if (progress.state().isEnded()) {
            jobs.find(id)
                    .flatMap(JobsView.Entry::job)
                    .ifPresent(job -> jobReporter.jobEnded(job, progress.state(), wallMillis()));
        }
    }

    /** Drops the records of jobs whose retention has passed. */
    private void dropExpiredJobs() {
        List<StoredRecord> drops =
                retention.findExpired(context.clock().monotonicMillis(), this::forgetEnded);
        if (!drops.isEmpty()) {
            appender.append(drops, () -> {});
        }
        rosterWriter.dropUnregistered(registeredWorkers());
    }

    private void forgetEnded(JobId id) {
        state.removeJobIfEnded(id);
        roundReporter.forget(id);
        jobReporter.forget(id);
    }
}
