package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.TaskJob;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All that the elected scheduler knows: jobs, workers and runs; and what it decides of them.
 *
 * <p>Use: feed it what was stored, listed and answered, then carry out the orders of {@code
 * decide(now)} and give their outcomes back. {@code takeChanged()} returns what has to be stored
 * before the workers may forget the ends that led to it.
 *
 * <p>Limits: a run's room counts as taken from its order until its end is listed, or until it is
 * certain that it doesn't exist. Not thread-safe: belongs to the instance's event loop.
 */
public final class SchedulerState {

    /** How a start ended, as far as the answer tells. */
    public enum StartOutcome {
        /** The worker has the run. */
        STARTED,
        /** The worker has refused it and never runs it. */
        REFUSED,
        /** There was no answer; the worker may have it, or may still get it. */
        UNKNOWN
    }

    /** How long workers may take to tell their runs after a takeover, in milliseconds. */
    private static final long TAKEOVER_GRACE_MILLIS = 600;

    private static final long NEVER = Long.MIN_VALUE;

    private final LiveJobTable jobs = new LiveJobTable();
    private final WorkerTable workers = new WorkerTable(jobs);
    private Map<OrganisationId, Integer> guarantees = Map.of();
    private Set<DataCentreId> closedDataCentres = Set.of();
    private final DrainPolicy drainPolicy = new DrainPolicy();
    private final StragglerDetector stragglerDetector = new StragglerDetector();
    private final PlacementTickets tickets = new PlacementTickets();
    private final AdviceRequests advice = new AdviceRequests(this, tickets);
    private Map<JobId, WaitReason> waits = Map.of();
    private int heldAccelerators;
    private long lastRunNumber;
    private boolean loadingInherited = true;
    private long firstDecisionMillis = NEVER;

    /**
     * Creates an empty board.
     *
     * @param initialRunNumber a number above those of all earlier runs
     */
    public SchedulerState(long initialRunNumber) {
        this.lastRunNumber = initialRunNumber;
    }

    /** Ends the loading of what an earlier scheduler left; jobs and workers are new from here. */
    public void endInheritance() {
        loadingInherited = false;
        jobs.endInheritance(workers.unreported());
    }

    /**
     * Asks whether all that was inherited is accounted for.
     *
     * @return true once every worker has told, or has lapsed
     */
    public boolean isAccountedFor() {
        return workers.unreported().isEmpty();
    }

    /**
     * Sets what the configuration says.
     *
     * @param newQueues the policies by queue, not null
     * @param newGuarantees the accelerators by organisation, not null
     */
    public void configure(
            Map<String, QueuePolicy> newQueues, Map<OrganisationId, Integer> newGuarantees) {
        jobs.configure(newQueues);
        guarantees = Map.copyOf(newGuarantees);
    }

    /**
     * Sets the data centres that are taken out.
     *
     * @param dataCentres where nothing may start, not null
     */
    public void close(Set<DataCentreId> dataCentres) {
        closedDataCentres = Set.copyOf(dataCentres);
    }

    /**
     * Adds an accepted job, once.
     *
     * @param job the job, not null
     * @param storedProgress how far it has come, empty if no scheduler has stored anything of it,
     *     so that it certainly has no run
     */
    public void putJob(TaskJob job, Optional<JobProgress> storedProgress) {
        jobs.put(job, storedProgress, loadingInherited);
    }

    /**
     * Notes that the oldest progress under way was stored, so that a later scheduler knows where
     * the job may have runs.
     *
     * @param id the job, not null
     */
    public void progressStored(JobId id) {
        jobs.find(id).ifPresent(job -> job.hostIntents().confirmOldestRecord());
    }

    /**
     * Cancels a job that isn't over.
     *
     * @param id the job, not null
     * @return true if it was live and is cancelled now
     */
    public boolean cancel(JobId id) {
        return jobs.cancel(id);
    }

    /**
     * Forgets a job that is over, once nothing of it runs.
     *
     * @param id the job, not null
     */
    public void forget(JobId id) {
        jobs.forget(id);
        tickets.retain(jobs.steps());
    }

    /**
     * Takes a worker's entry in the registry.
     *
     * @param info the entry, not null
     */
    public void putWorker(WorkerInfo info) {
        workers.put(info, loadingInherited);
    }

    /**
     * Opens a worker to starts, once the next scheduler would know of it.
     *
     * @param id the worker, not null
     */
    public void admit(WorkerId id) {
        workers.find(id).ifPresent(worker -> worker.admitted = true);
    }

    /**
     * Notes that a worker has left the registry; its runs stay until they are known to be over.
     *
     * @param id the worker, not null
     */
    public void removeWorker(WorkerId id) {
        workers.remove(id);
    }

    /**
     * Notes that nothing of a worker's runs can be left.
     *
     * @param id the worker, not null
     */
    public void loseWorker(WorkerId id) {
        workers.markLost(id);
    }

    /**
     * Notes whether a worker answers.
     *
     * @param id the worker, not null
     * @param unresponsive true if its calls get no answer
     */
    public void markSilent(WorkerId id, boolean unresponsive) {
        workers.find(id).ifPresent(worker -> worker.unresponsive = unresponsive);
    }

    /**
     * Takes the lists of a worker.
     *
     * @param id the worker, not null
     * @param lists what it listed, not null
     * @param sentMillis when the call for them was sent, on the steady clock
     * @param complete whether no end was left out
     * @param now the time, not null
     */
    public void report(
            WorkerId id, WorkerLists lists, long sentMillis, boolean complete, ClockReading now) {
        workers.find(id).ifPresent(w -> workers.report(w, lists, sentMillis, complete, now));
    }

    /**
     * Takes the outcome of a start.
     *
     * @param start the order, not null
     * @param outcome what the answer tells, not null
     * @param now the time, not null
     */
    public void started(Order.Start start, StartOutcome outcome, ClockReading now) {
        Optional<Run> found = workers.find(start);
        if (found.isEmpty()) {
            return;
        }
        Run run = found.get();
        switch (outcome) {
            case STARTED -> workers.confirmStart(run, now);
            case REFUSED -> {
                workers.remove(run);
                run.worker.recordRefusal(now.steadyMillis());
            }
            default -> run.startUnanswered = true;
        }
    }

    /**
     * Takes the answer to a stop.
     *
     * @param stop the order, not null
     * @param now the time, not null
     */
    public void stopped(Order.Stop stop, ClockReading now) {
        workers.find(stop)
                .ifPresent(
                        run -> {
                            run.phase = Run.Phase.STOPPED;
                            run.answeredMillis = now.steadyMillis();
                        });
    }

    /**
     * Decides what to start and what to stop.
     *
     * @param now the time, not null
     * @return the orders, never null; they are on the board already
     */
    public List<Order> decide(ClockReading now) {
        if (firstDecisionMillis == NEVER) {
            firstDecisionMillis = now.steadyMillis();
        }
        jobs.updateStates();
        List<Order> orders = new ArrayList<>(workers.orphans().takeDueStops(now.steadyMillis()));
        orders.addAll(ObsoleteRuns.stopOrders(jobs.all(), this, now));
        orders.addAll(drainPolicy.stopOrders(workers.all(), this, now));
        stragglerDetector.update(workers.all(), now.steadyMillis());
        Round round = new Round(this, now);
        orders.addAll(round.decide(jobs.all()));
        waits = Map.copyOf(round.waitReasons());
        heldAccelerators = round.heldAccelerators();
        return orders;
    }

    /**
     * Returns what is asked of the placement advice and was learnt from it.
     *
     * @return the advice, never null
     */
    public AdviceRequests advice() {
        return advice;
    }

    /**
     * Returns the jobs of which something waited in the last round.
     *
     * @return the reason by job, never null
     */
    public Map<JobId, WaitReason> waits() {
        return waits;
    }

    /**
     * Adds up how the accelerators are used.
     *
     * @param now the time, not null
     * @return the load as of the last round, never null
     */
    public FleetLoad load(ClockReading now) {
        return FleetLoad.of(this, jobs.all(), heldAccelerators, now);
    }

    /**
     * Returns the workers on which work stands still or goes much slower than elsewhere.
     *
     * @return their identifiers, never null; they get no new starts
     */
    public Set<WorkerId> lagging() {
        return stragglerDetector.stragglers();
    }

    /**
     * Returns the progress that has changed since the last call.
     *
     * @return what to store by job, never null
     */
    public Map<JobId, JobProgress> takeChanged() {
        return jobs.takeChanged();
    }

    /**
     * Asks whether a worker may have something to tell.
     *
     * @param id the worker, not null
     * @return true if it has runs here, or its lists haven't been read
     */
    public boolean isWatched(WorkerId id) {
        return workers.find(id)
                .map(worker -> !worker.isIdle() || !worker.reported || workers.orphans().hasAny(id))
                .orElse(false);
    }

    /**
     * Asks whether a worker has runs, or may have some that weren't listed yet.
     *
     * @param id the worker, not null
     * @return true if a loss of it matters
     */
    public boolean isOccupied(WorkerId id) {
        return workers.unreported().contains(id)
                || workers.find(id).map(worker -> !worker.isIdle()).orElse(false);
    }

    /**
     * Asks whether a worker is registered or may have runs.
     *
     * @param id the worker, not null
     * @return false if nothing is left of it
     */
    public boolean isKnown(WorkerId id) {
        return workers.find(id).isPresent();
    }

    /**
     * Returns the rack of a worker.
     *
     * @param id the worker, not null
     * @return its rack, empty if the worker isn't known
     */
    public String rackOf(WorkerId id) {
        return workers.find(id).map(worker -> worker.info().rack()).orElse("");
    }

    /**
     * Returns the number of the last end that was taken of a worker.
     *
     * @param id the worker, not null
     * @return the number, 0 if there is none
     */
    public long lastEnd(WorkerId id) {
        return workers.find(id).map(WorkerState::lastEndNumber).orElse(0L);
    }

    /**
     * Returns the workers whose runs aren't known yet after a change of scheduler.
     *
     * @return their identifiers, never null
     */
    public Set<WorkerId> unseen() {
        return Set.copyOf(workers.unreported());
    }

    /**
     * Counts the runs that are ordered, running or being stopped.
     *
     * @return the number, 0 or more
     */
    public int runs() {
        return workers.all().stream().mapToInt(worker -> worker.runs().size()).sum();
    }

    /** The workers whose room is known: all but those that run what no job wants. */
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

    int guarantee(OrganisationId organisation) {
        return guarantees.getOrDefault(organisation, 0);
    }

    long nextRunNumber() {
        return ++lastRunNumber;
    }

    /** The jobs, to have it stored where they may have runs. */
    LiveJobTable jobs() {
        return jobs;
    }

    /** While most workers are still to tell what they run, their room only seems to be taken. */
    boolean mayPreempt(ClockReading now) {
        return isAccountedFor()
                || now.steadyMillis() - firstDecisionMillis >= TAKEOVER_GRACE_MILLIS;
    }

    /** An inherited job may run on a worker that hasn't told yet. */
    boolean mayHaveUnreportedRuns(LiveJob job) {
        return job.hostIntents().mayHaveUnreportedRuns(isAccountedFor());
    }

    Order.Start start(
            TaskGroup group, int index, WorkerState worker, long number, ClockReading now) {
        Run run = new Run(group.task(index), number, worker, group, now.steadyMillis());
        group.addRun(run);
        worker.addRun(run);
        String spec = group.owner().job().request().spec();
        String ticket = ticket(group, worker, now.steadyMillis()).orElse("");
        return new Order.Start(
                worker.id(), run.task, number, spec, group.checkpoint(index), ticket);
    }

    Optional<String> ticket(TaskGroup group, WorkerState worker, long nowMillis) {
        return tickets.find(group.id(), worker, nowMillis);
    }

    void requestTickets(TaskGroup group, ClockReading now) {
        tickets.requestIfNeeded(group.id(), now.steadyMillis());
    }

    Optional<Order> stop(Run run, Order.StopReason reason, ClockReading now) {
        if (run.isBeingStopped()) {
            return Optional.empty();
        }
        run.phase = Run.Phase.STOPPING;
        return Optional.of(new Order.Stop(run.worker.id(), run.task, run.number, reason));
    }
}
