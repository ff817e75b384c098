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
    private static final long SETTLING_MILLIS = 600;

    private static final long NEVER = Long.MIN_VALUE;

    private final LiveJobTable jobs = new LiveJobTable();
    private final WorkerTable workers = new WorkerTable(jobs);
    private Map<OrganisationId, Integer> guarantees = Map.of();
    private Set<DataCentreId> closed = Set.of();
    private final DrainPolicy departures = new DrainPolicy();
    private final StragglerDetector laggards = new StragglerDetector();
    private final PlacementTickets tickets = new PlacementTickets();
    private final AdviceRequests adviceRequests = new AdviceRequests(this, tickets);
    private Map<JobId, WaitReason> waitReasons = Map.of();
    private int held;
    private long lastRun;
    private boolean inheriting = true;
    private long begunMillis = NEVER;

    /**
     * Creates an empty board.
     *
     * @param firstRun a number above those of all earlier runs
     */
    public SchedulerState(long firstRun) {
        this.lastRun = firstRun;
    }

    /** Ends the loading of what an earlier scheduler left; jobs and workers are new from here. */
    public void endInheritance() {
        inheriting = false;
        jobs.endInheritance(workers.unseen());
    }

    /**
     * Asks whether all that was inherited is accounted for.
     *
     * @return true once every worker has told, or has lapsed
     */
    public boolean haveAllWorkersReported() {
        return workers.unseen().isEmpty();
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
    public void setClosedDataCentres(Set<DataCentreId> dataCentres) {
        closed = Set.copyOf(dataCentres);
    }

    /**
     * Adds an accepted job, once.
     *
     * @param job the job, not null
     * @param stored how far it has come, empty if no scheduler has stored anything of it, so that
     *     it certainly has no run
     */
    public void addJob(TaskJob job, Optional<JobProgress> stored) {
        jobs.put(job, stored, inheriting);
    }

    /**
     * Notes that the oldest progress under way was stored, so that a later scheduler knows where
     * the job may have runs.
     *
     * @param id the job, not null
     */
    public void confirmProgressStored(JobId id) {
        jobs.find(id).ifPresent(job -> job.hosts().stored());
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
    public void removeJobIfEnded(JobId id) {
        jobs.forget(id);
        tickets.retain(jobs.steps());
    }

    /**
     * Takes a worker's entry in the registry.
     *
     * @param info the entry, not null
     */
    public void putWorker(WorkerInfo info) {
        workers.put(info, inheriting);
    }

    /**
     * Opens a worker to starts, once the next scheduler would know of it.
     *
     * @param id the worker, not null
     */
    public void admitWorker(WorkerId id) {
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
    public void markWorkerLost(WorkerId id) {
        workers.lose(id);
    }

    /**
     * Notes whether a worker answers.
     *
     * @param id the worker, not null
     * @param silent true if its calls get no answer
     */
    public void setUnresponsive(WorkerId id, boolean silent) {
        workers.find(id).ifPresent(worker -> worker.silent = silent);
    }

    /**
     * Takes the lists of a worker.
     *
     * @param id the worker, not null
     * @param lists what it listed, not null
     * @param askedMillis when the call for them was sent, on the steady clock
     * @param whole whether no end was left out
     * @param now the time, not null
     */
    public void updateRuns(
            WorkerId id, WorkerLists lists, long askedMillis, boolean whole, ClockReading now) {
        workers.find(id).ifPresent(w -> workers.report(w, lists, askedMillis, whole, now));
    }

    /**
     * Takes the outcome of a start.
     *
     * @param start the order, not null
     * @param outcome what the answer tells, not null
     * @param now the time, not null
     */
    public void handleStartOutcome(Order.Start start, StartOutcome outcome, ClockReading now) {
        Optional<Run> found = workers.find(start);
        if (found.isEmpty()) {
            return;
        }
        Run run = found.get();
        switch (outcome) {
            case STARTED -> workers.settle(run, now);
            case REFUSED -> {
                workers.remove(run);
                run.worker.plusRefusal(now.monotonicMillis());
            }
            default -> run.abort = true;
        }
    }

    /**
     * Takes the answer to a stop.
     *
     * @param stop the order, not null
     * @param now the time, not null
     */
    public void confirmStopOrder(Order.Stop stop, ClockReading now) {
        workers.find(stop)
                .ifPresent(
                        run -> {
                            run.phase = Run.Phase.STOPPED;
                            run.settledMillis = now.monotonicMillis();
                        });
    }

    /**
     * Decides what to start and what to stop.
     *
     * @param now the time, not null
     * @return the orders, never null; they are on the board already
     */
    public List<Order> decide(ClockReading now) {
        if (begunMillis == NEVER) {
            begunMillis = now.monotonicMillis();
        }
        jobs.updateStates();
        List<Order> orders = new ArrayList<>(workers.strays().takeOrders(now.monotonicMillis()));
        orders.addAll(ObsoleteRuns.stops(jobs.all(), this, now));
        orders.addAll(departures.stops(workers.all(), this, now));
        laggards.update(workers.all(), now.monotonicMillis());
        Round round = new Round(this, now);
        orders.addAll(round.decide(jobs.all()));
        waitReasons = Map.copyOf(round.waits());
        held = round.heldAccelerators();
        return orders;
    }

    /**
     * Returns what is asked of the placement advice and was learnt from it.
     *
     * @return the advice, never null
     */
    public AdviceRequests adviceRequests() {
        return adviceRequests;
    }

    /**
     * Returns the jobs of which something waited in the last round.
     *
     * @return the reason by job, never null
     */
    public Map<JobId, WaitReason> waitReasons() {
        return waitReasons;
    }

    /**
     * Adds up how the accelerators are used.
     *
     * @param now the time, not null
     * @return the load as of the last round, never null
     */
    public FleetLoad load(ClockReading now) {
        return FleetLoad.of(this, jobs.all(), held, now);
    }

    /**
     * Returns the workers on which work stands still or goes much slower than elsewhere.
     *
     * @return their identifiers, never null; they get no new starts
     */
    public Set<WorkerId> stragglers() {
        return laggards.lagging();
    }

    /**
     * Returns the progress that has changed since the last call.
     *
     * @return what to store by job, never null
     */
    public Map<JobId, JobProgress> takeChangedProgress() {
        return jobs.takeChanged();
    }

    /**
     * Asks whether a worker may have something to tell.
     *
     * @param id the worker, not null
     * @return true if it has runs here, or its lists haven't been read
     */
    public boolean needsPolling(WorkerId id) {
        return workers.find(id)
                .map(state -> !state.isIdle() || !state.reported || workers.strays().isAt(id))
                .orElse(false);
    }

    /**
     * Asks whether a worker has runs, or may have some that weren't listed yet.
     *
     * @param id the worker, not null
     * @return true if a loss of it matters
     */
    public boolean mayHaveRuns(WorkerId id) {
        return workers.unseen().contains(id)
                || workers.find(id).map(state -> !state.isIdle()).orElse(false);
    }

    /**
     * Asks whether a worker is registered or may have runs.
     *
     * @param id the worker, not null
     * @return false if nothing is left of it
     */
    public boolean isWorkerKnown(WorkerId id) {
        return workers.find(id).isPresent();
    }

    /**
     * Returns the rack of a worker.
     *
     * @param id the worker, not null
     * @return its rack, empty if the worker isn't known
     */
    public String rackOf(WorkerId id) {
        return workers.find(id).map(state -> state.info().rack()).orElse("");
    }

    /**
     * Returns the number of the last end that was taken of a worker.
     *
     * @param id the worker, not null
     * @return the number, 0 if there is none
     */
    public long lastEndNumber(WorkerId id) {
        return workers.find(id).map(WorkerState::lastEnd).orElse(0L);
    }

    /**
     * Returns the workers whose runs aren't known yet after a change of scheduler.
     *
     * @return their identifiers, never null
     */
    public Set<WorkerId> unreportedWorkers() {
        return Set.copyOf(workers.unseen());
    }

    /**
     * Counts the runs that are ordered, running or being stopped.
     *
     * @return the number, 0 or more
     */
    public int countRuns() {
        return workers.all().stream().mapToInt(worker -> worker.runs().size()).sum();
    }

    /** The workers whose room is known: all but those that run what no job wants. */
    Collection<WorkerState> workers() {
        return workers.all().stream().filter(w -> !workers.strays().isAt(w.id())).toList();
    }

    Optional<WorkerState> worker(WorkerId id) {
        return workers.find(id);
    }

    Set<DataCentreId> closed() {
        return closed;
    }

    QueuePolicy policy(LiveJob job) {
        return jobs.policy(job);
    }

    int guarantee(OrganisationId organisation) {
        return guarantees.getOrDefault(organisation, 0);
    }

    long nextRun() {
        return ++lastRun;
    }

    /** The jobs, to have it stored where they may have runs. */
    LiveJobTable jobs() {
        return jobs;
    }

    /** While most workers are still to tell what they run, their room only seems to be taken. */
    boolean isSettled(ClockReading now) {
        return haveAllWorkersReported() || now.monotonicMillis() - begunMillis >= SETTLING_MILLIS;
    }

    /** An inherited job may run on a worker that hasn't told yet. */
    boolean isUncertain(LiveJob job) {
        return job.hosts().isInDoubt(haveAllWorkersReported());
    }

    Order.Start start(
            TaskGroup group, int index, WorkerState worker, long number, ClockReading now) {
        Run run = new Run(group.task(index), number, worker, group, now.monotonicMillis());
        group.plus(run);
        worker.plus(run);
        String spec = group.owner().job().request().spec();
        String ticket = ticket(group, worker, now.monotonicMillis()).orElse("");
        return new Order.Start(
                worker.id(), run.task, number, spec, group.checkpoint(index), ticket);
    }

    Optional<String> ticket(TaskGroup group, WorkerState worker, long nowMillis) {
        return tickets.find(group.id(), worker, nowMillis);
    }

    void wantTickets(TaskGroup group, ClockReading now) {
        tickets.want(group.id(), now.monotonicMillis());
    }

    Optional<Order> stop(Run run, Order.StopReason reason, ClockReading now) {
        if (run.isLeaving()) {
            return Optional.empty();
        }
        run.phase = Run.Phase.STOPPING;
        return Optional.of(new Order.Stop(run.worker.id(), run.task, run.number, reason));
    }
}
