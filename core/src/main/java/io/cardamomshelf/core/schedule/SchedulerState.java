package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.TaskJob;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The jobs, workers and runs that the elected scheduler knows, and its decisions about them.
 *
 * <p>Use: pass in stored records, registry entries and workers' answers, carry out the orders of
 * {@code decide(now)} and pass their outcomes back. Store {@code takeChangedProgress()} before
 * workers get acknowledgements of the run ends that led to it, as they then discard those.
 *
 * <p>Limits: a run occupies capacity from its order until its end is listed, or until it is certain
 * that the run doesn't exist. Not thread-safe: used only on the instance's event loop.
 */
public final class SchedulerState {

    /** How long preemption waits for workers to report after a takeover, in milliseconds. */
    private static final long TAKEOVER_GRACE_MILLIS = 600;

    private static final long NEVER = Long.MIN_VALUE;

    private final LiveJobTable jobs = new LiveJobTable();
    private final WorkerTable workers = new WorkerTable(jobs);
    private final WorkerReports workerReports = new WorkerReports(workers);
    private final OrganisationTable organisations;
    private Set<DataCentreId> closedDataCentres = Set.of();
    private final DrainPolicy drainPolicy = new DrainPolicy();
    private final FleetObservations observations;
    private final PlacementTickets tickets = new PlacementTickets();
    private final AdviceRequests adviceRequests = new AdviceRequests(this, tickets);
    private Map<JobId, WaitReason> waitReasons = Map.of();
    private int heldAccelerators;
    private int groupsOverCap;
    private long lastRunNumber;
    private boolean loadingInherited = true;
    private long firstDecisionMillis = NEVER;

    /**
     * Creates a state without jobs and workers.
     *
     * @param initialRunNumber a number above those of all earlier runs
     */
    public SchedulerState(long initialRunNumber) {
        this(initialRunNumber, 0);
    }

    /**
     * Creates a state without jobs and workers.
     *
     * @param initialRunNumber a number above those of all earlier runs
     * @param quotaOverage the fraction of its cap by which an organisation may exceed it
     */
    public SchedulerState(long initialRunNumber, double quotaOverage) {
        this(initialRunNumber, quotaOverage, new FleetObservations());
    }

    SchedulerState(long initialRunNumber, double quotaOverage, FleetObservations observations) {
        this.lastRunNumber = initialRunNumber;
        this.organisations = new OrganisationTable(jobs, workers, quotaOverage);
        this.observations = observations;
    }

    /** Ends the loading of an earlier scheduler's jobs and workers; later ones count as new. */
    public void endInheritance() {
        loadingInherited = false;
        jobs.endInheritance(workers.unreported());
    }

    /**
     * Applies the configuration.
     *
     * @param newQueues the policies by queue name, not null
     * @param newLimits the limits by organisation, not null
     */
    public void configure(
            Map<String, QueuePolicy> newQueues, Map<OrganisationId, OrganisationLimits> newLimits) {
        jobs.configure(newQueues);
        organisations.configure(newLimits);
    }

    /**
     * Sets the data centres that are withdrawn.
     *
     * @param dataCentres those that take no starts, not null
     */
    public void setClosedDataCentres(Set<DataCentreId> dataCentres) {
        closedDataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Adds an accepted job, unless it was added before.
     *
     * @param job the job, not null
     * @param storedProgress its progress, empty if none is stored, so that it can't have runs
     */
    public void addJob(TaskJob job, Optional<JobProgress> storedProgress) {
        jobs.add(job, storedProgress, loadingInherited);
    }

    /**
     * Records that a job's oldest progress record in flight was stored.
     *
     * @param id the job, not null
     */
    public void confirmProgressStored(JobId id) {
        jobs.find(id).ifPresent(LiveJob::confirmOldestRecord);
    }

    /**
     * Cancels a job that hasn't ended.
     *
     * @param id the job, not null
     * @return true if the job is known, hadn't ended and is cancelled now
     */
    public boolean cancel(JobId id) {
        return jobs.end(id, JobState.CANCELLED);
    }

    /**
     * Ends a job that can't go on as failed.
     *
     * @param id the job, not null
     */
    public void fail(JobId id) {
        jobs.end(id, JobState.FAILED);
    }

    /**
     * Removes a job if it has ended and has no run left.
     *
     * @param id the job, not null
     */
    public void removeJobIfEnded(JobId id) {
        jobs.removeIfEnded(id);
        tickets.retainSteps(jobs.steps());
    }

    /**
     * Adds a worker, or updates it, unless its entry was born before its current incarnation.
     *
     * @param info the entry, not null
     */
    public void putWorker(WorkerInfo info) {
        workers.put(info, loadingInherited);
    }

    /**
     * Allows starts on a worker; called once it is stored, so that later schedulers know of it.
     *
     * @param id the worker, not null
     */
    public void admitWorker(WorkerId id) {
        workers.find(id).ifPresent(worker -> worker.admitted = true);
    }

    /**
     * Records that a worker has left the registry; its runs stay until their end is certain.
     *
     * @param id the worker, not null
     */
    public void removeWorker(WorkerId id) {
        workers.remove(id);
    }

    /**
     * Records that none of a worker's runs can still exist, and removes them. Those whose start got
     * no answer lately stay: a restarted worker may have them under a longer lease than granted.
     *
     * @param id the worker, not null
     * @param unansweredBeforeMillis until when an unanswered start leaves no run, on the monotonic
     *     clock
     */
    public void markWorkerLost(WorkerId id, long unansweredBeforeMillis) {
        workers.markLost(id, unansweredBeforeMillis);
    }

    /**
     * Sets whether a worker is unresponsive; such a worker gets no starts.
     *
     * @param id the worker, not null
     * @param unresponsive true if its calls get no answer
     */
    public void setUnresponsive(WorkerId id, boolean unresponsive) {
        workers.find(id).ifPresent(worker -> worker.unresponsive = unresponsive);
    }

    /**
     * Updates a worker's runs from its lists, unless they were born before its incarnation.
     *
     * @param id the worker, not null
     * @param lists the lists, not null
     * @param sentMillis when the call for them was sent, on the monotonic clock
     * @param complete whether the lists contain all ends that aren't acknowledged
     * @param now the time, not null
     */
    public void updateRuns(
            WorkerId id, WorkerLists lists, long sentMillis, boolean complete, ClockReading now) {
        workers.find(id).ifPresent(w -> workers.updateRuns(w, lists, sentMillis, complete, now));
    }

    /**
     * Records a failed attempt at a start. A worker may still receive one that it hasn't answered.
     *
     * @param start the order, not null
     * @param unanswered whether there was no answer
     * @param now the time, not null
     * @return whether to repeat it: not if the run isn't known any more, or is being stopped
     */
    public boolean handleFailedStart(Order.Start start, boolean unanswered, ClockReading now) {
        Optional<Run> run = workers.find(start);
        if (unanswered) {
            run.ifPresent(found -> found.markUnanswered(now.monotonicMillis()));
        }
        return run.isPresent() && !run.get().isBeingStopped();
    }

    /**
     * Handles the outcome of a start.
     *
     * @param start the order, not null
     * @param outcome the outcome, not null
     * @param now the time, not null
     */
    public void handleStartOutcome(Order.Start start, StartOutcome outcome, ClockReading now) {
        Optional<Run> found = workers.find(start);
        if (found.isEmpty()) {
            return;
        }
        Run run = found.get();
        switch (outcome) {
            case STARTED -> workers.confirmStart(run, now);
            case REFUSED -> {
                workers.remove(run);
                run.worker.recordRefusal(now.monotonicMillis());
            }
            default -> run.startUnanswered = true;
        }
    }

    /**
     * Records that the worker has answered a stop.
     *
     * @param stop the order, not null
     * @param now the time, not null
     */
    public void confirmStopOrder(Order.Stop stop, ClockReading now) {
        workers.find(stop)
                .ifPresent(
                        run -> {
                            run.phase = Run.Phase.STOPPED;
                            run.answeredMillis = now.monotonicMillis();
                        });
    }

    /**
     * Decides what to start and what to stop.
     *
     * @param now the time, not null
     * @return the orders, never null; this state already contains them
     */
    public List<Order> decide(ClockReading now) {
        if (firstDecisionMillis == NEVER) {
            firstDecisionMillis = now.monotonicMillis();
        }
        workers.removeEndedGangMembers();
        jobs.updateStates();
        List<Order> orders = new ArrayList<>(workers.orphans().takeDueStops(now.monotonicMillis()));
        orders.addAll(ObsoleteRuns.stopOrders(jobs.all(), this, now));
        orders.addAll(drainPolicy.stopOrders(workers.all(), this, now));
        observations.update(workers.all(), jobs.all(), workers.takeCompletedRuns(), now);
        Round round = new Round(this, now);
        orders.addAll(round.decide(jobs.all()));
        waitReasons = Map.copyOf(round.waitReasons());
        heldAccelerators = round.heldAccelerators();
        groupsOverCap = round.groupsOverCap();
        return orders;
    }

    /**
     * Returns what is known and needed of the workers' reports.
     *
     * @return the reports, never null
     */
    public WorkerReports workerReports() {
        return workerReports;
    }

    /**
     * Returns the requests for placement advice.
     *
     * @return the requests, never null
     */
    public AdviceRequests adviceRequests() {
        return adviceRequests;
    }

    /**
     * Returns why jobs had waiting tasks in the last round.
     *
     * @return the reason by job, never null
     */
    public Map<JobId, WaitReason> waitReasons() {
        return waitReasons;
    }

    /**
     * Sums up the use of the accelerators.
     *
     * @param now the time, not null
     * @return the load as of the last round, never null
     */
    public FleetLoad load(ClockReading now) {
        return FleetLoad.of(this, jobs.all(), heldAccelerators, groupsOverCap, now);
    }

    /**
     * Returns what was learnt from the progress of runs.
     *
     * @return the observations, never null
     */
    public FleetObservations observations() {
        return observations;
    }

    /**
     * Returns the workers on which work has stalled or is much slower than elsewhere.
     *
     * @return their identifiers, never null; they get no starts
     */
    public Set<WorkerId> stragglers() {
        return observations.stragglers();
    }

    /**
     * Returns the progress that has changed since the last call.
     *
     * @return the progress to store, by job, never null
     */
    public Map<JobId, JobProgress> takeChangedProgress() {
        return jobs.takeChangedProgress(workerReports.areComplete());
    }

    /**
     * Returns whether a worker has runs, or may have some that it hasn't reported yet.
     *
     * @param id the worker, not null
     * @return true if its loss would affect jobs
     */
    public boolean mayHaveRuns(WorkerId id) {
        return workers.unreported().contains(id)
                || workers.find(id).map(worker -> !worker.isIdle()).orElse(false);
    }

    /** The workers whose free capacity is known: those without orphaned runs. */
    Collection<WorkerState> workers() {
        return workers.all().stream()
                .filter(worker -> !workers.orphans().hasAny(worker.id()))
                .toList();
    }

    Optional<WorkerState> worker(WorkerId id) {
        return workers.find(id);
    }

    Set<DataCentreId> closedDataCentres() {
        return closedDataCentres;
    }

    QueuePolicy policy(LiveJob job) {
        return jobs.policy(job);
    }

    OrganisationTable organisations() {
        return organisations;
    }

    long nextRunNumber() {
        return ++lastRunNumber;
    }

    /** The jobs, through which host intents are added. */
    LiveJobTable jobs() {
        return jobs;
    }

    /** False shortly after a takeover, as workers that haven't reported yet may be idle. */
    boolean mayPreempt(ClockReading now) {
        return workerReports.areComplete()
                || now.monotonicMillis() - firstDecisionMillis >= TAKEOVER_GRACE_MILLIS;
    }

    /** Whether the job may have runs that this scheduler doesn't know of yet. */
    boolean mayHaveUnreportedRuns(LiveJob job) {
        return job.hostIntents().mayHaveUnreportedRuns(workerReports.areComplete());
    }

    Order.Start start(
            TaskGroup group, int index, WorkerState worker, long number, ClockReading now) {
        Run run = new Run(group.task(index), number, worker, group, now.monotonicMillis());
        observations.recordStart(group, worker);
        group.addRun(run);
        worker.addRun(run);
        String spec = group.owner().job().request().spec();
        String ticket = ticket(group, worker, now.monotonicMillis()).orElse("");
        return new Order.Start(
                worker.id(), run.task, number, spec, group.checkpoint(index), ticket);
    }

    Optional<String> ticket(TaskGroup group, WorkerState worker, long nowMillis) {
        return tickets.find(group.id(), worker, nowMillis);
    }

    void requestTickets(TaskGroup group, ClockReading now) {
        tickets.requestIfNeeded(group.id(), now.monotonicMillis());
    }

    Optional<Order> stop(Run run, Order.StopReason reason, ClockReading now) {
        if (run.isBeingStopped()) {
            return Optional.empty();
        }
        run.phase = Run.Phase.STOPPING;
        return Optional.of(new Order.Stop(run.worker.id(), run.task, run.number, reason));
    }
}
