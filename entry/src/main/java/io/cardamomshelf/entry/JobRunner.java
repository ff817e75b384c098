package io.cardamomshelf.entry;

import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.Decision;
import io.cardamomshelf.core.job.Dispatcher;
import io.cardamomshelf.core.job.JobFailures;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.job.RunTimeEstimates;
import io.cardamomshelf.core.lease.FencingTokens;
import io.cardamomshelf.core.lease.GangAction;
import io.cardamomshelf.core.lease.GangDecisionTable;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.LeaseState;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Runs the jobs that this instance owns: places them, starts their gangs, and applies the decisions
 * of {@link GangDecisionTable} to workers' reports. A job's cells are its allocated accelerators.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobRunner {

    /** The share of jobs that are expected to end within their corrected run time. */
    private static final int TRUSTED_ESTIMATE_PERCENT = 75;

    private final InstanceIdentity identity;
    private final JobTable table;
    private final CapacityState capacity;
    private final GangClient gangs;
    private final JobLog log;
    private final Events events;
    private final Predicate<DataCentreId> startable;
    private final RunTimeEstimates estimates = new RunTimeEstimates(TRUSTED_ESTIMATE_PERCENT);
    private final Dispatcher dispatcher;
    private final Map<JobId, Integer> attempts = new HashMap<>();
    private final Map<JobId, String> waitReasons = new HashMap<>();
    private final Set<JobId> busy = new HashSet<>();
    private final Map<JobId, Long> changedMillis = new HashMap<>();
    private final Set<JobId> running = new HashSet<>();
    private final JobFailures failures = new JobFailures();
    private final Map<JobId, String> checkpoints = new HashMap<>();
    private final DispatchTrigger trigger = new DispatchTrigger();
    private WorkerPoller poller;
    private boolean shuttingDown;

    JobRunner(
            InstanceIdentity identity,
            JobTable table,
            CapacityState capacity,
            GangClient gangs,
            JobLog log,
            Events events,
            Predicate<DataCentreId> startable) {
        this.identity = identity;
        this.table = table;
        this.capacity = capacity;
        this.gangs = gangs;
        this.log = log;
        this.events = events;
        this.startable = startable;
        this.dispatcher = new Dispatcher(capacity, estimates);
    }

    void setPoller(WorkerPoller workerPoller) {
        poller = workerPoller;
    }

    void beginShutdown() {
        shuttingDown = true;
    }

    /** Releases the cells of a job for which no worker reports a lease any more. */
    void releaseUnreported(JobId id) {
        capacity.release(id);
        running.remove(id);
        changedMillis.put(id, Clock.monotonicMillis());
        if (owned(id).filter(JobTable.Job::isOpen).isPresent()) {
            events.publish(EventType.GANG_ABORTED, id.value(), "no worker reports it any more");
        }
    }

    /** Returns whether a report requested at that time may predate a change of the job's cells. */
    boolean isChanging(JobId job, long sentMillis) {
        return busy.contains(job) || lastChangeMillis(job) >= sentMillis;
    }

    /** Returns whether this instance is starting, moving or ending the job's gang. */
    boolean hasPendingChange(JobId job) {
        return busy.contains(job);
    }

    boolean hasNoPendingChanges() {
        return busy.isEmpty();
    }

    /** Returns why a job waits, empty if it does not wait or another instance owns it. */
    String waitReason(JobId job) {
        return waitReasons.getOrDefault(job, "");
    }

    /** Returns the leases to renew on a worker: those of own gangs that run on all members. */
    List<WorkerCommand.Renewal> renewals(WorkerId worker) {
        List<WorkerCommand.Renewal> renewals = new ArrayList<>();
        for (JobId id : capacity.fleet().jobsOn(worker)) {
            owned(id)
                    .filter(job -> running.contains(id))
                    .ifPresent(job -> renewals.add(new WorkerCommand.Renewal(id, token(job))));
        }
        return renewals;
    }

    /** Manages every gang that has cells, then places the waiting jobs. */
    void tick() {
        List<JobTable.Job> waiting = new ArrayList<>();
        for (JobTable.Job job : table.open()) {
            if (!job.owner().equals(identity.runId()) || busy.contains(job.id())) {
                continue;
            }
            Optional<Allocation> cells = capacity.fleet().allocation(job.id());
            if (cells.isPresent()) {
                manageGang(job, cells.get());
            } else if (job.cancelled()) {
                endUnplaced(job, JobRecord.Result.CANCELLED, "cancelled before it ran");
            } else if (!shuttingDown && log.isUpToDateSince(lastChangeMillis(job.id()))) {
                waiting.add(job);
            }
        }
        place(waiting);
        for (Map<JobId, ?> perJob : List.of(attempts, waitReasons, changedMillis, checkpoints)) {
            perJob.keySet().removeIf(this::isEnded);
        }
        running.removeIf(this::isEnded);
        failures.forget(this::isEnded);
    }

    private boolean isEnded(JobId id) {
        return table.job(id).map(job -> job.end().isPresent()).orElse(true);
    }

    private void place(List<JobTable.Job> waiting) {
        long now = Clock.monotonicMillis();
        DispatchTrigger.Inputs inputs = dispatchInputs(waiting);
        if (!trigger.isDue(inputs, now)) {
            return;
        }
        List<Dispatcher.Planned> round = dispatcher.round(waiting, startable, now);
        trigger.recordRound(inputs.withFleetVersion(capacity.fleet().version()), now);
        for (Dispatcher.Planned planned : round) {
            if (planned.decision() instanceof Decision.Place place) {
                launchOrWait(planned.job(), place);
            } else if (planned.decision() instanceof Decision.Refuse refuse) {
                // A worker may be unreachable for now, so an accepted job waits for its return.
                recordWait(planned.job(), refuse.reason());
            } else if (planned.decision() instanceof Decision.Wait wait) {
                recordWait(planned.job(), wait.reason());
            }
        }
    }

    private DispatchTrigger.Inputs dispatchInputs(List<JobTable.Job> waiting) {
        return new DispatchTrigger.Inputs(
                waiting.stream().map(JobTable.Job::id).toList(),
                capacity.fleet().version(),
                capacity.config().offset(),
                capacity.fleet().dataCentres().stream().filter(startable).toList());
    }

    private void recordWait(JobTable.Job job, String reason) {
        if (!reason.equals(waitReasons.put(job.id(), reason))) {
            events.publish(EventType.JOB_WAITING, job.id().value(), reason);
        }
    }

    private void launchOrWait(JobTable.Job job, Decision.Place place) {
        boolean changing = place.victims().stream().anyMatch(victim -> busy.contains(victim.job()));
        if (changing) {
            capacity.release(job.id());
            place.victims().forEach(capacity::allocate);
            recordWait(job, "a job that must make room is changing");
        } else {
            launch(job, place);
        }
    }

    private void launch(JobTable.Job job, Decision.Place place) {
        JobId id = job.id();
        Allocation cells = place.allocation();
        int attempt = attempts.merge(id, 1, Integer::sum);
        long token = FencingTokens.of(job.ownerOffset(), attempt);
        GangNote gang = new GangNote(id, job.spec(), cells.placement(), cells.block());
        String resume = checkpoints.getOrDefault(id, job.checkpoint());
        busy.add(id);
        waitReasons.remove(id);
        List<Uni<Void>> evictions = place.victims().stream().map(v -> evict(v, id)).toList();
        events.publish(EventType.JOB_PLACED, id.value(), describe(cells));
        Uni<Void> evicted =
                evictions.isEmpty()
                        ? Uni.createFrom().voidItem()
                        : Uni.join().all(evictions).andCollectFailures().replaceWithVoid();
        evicted.chain(() -> gangs.hold(gang, token, resume))
                .subscribe()
                .with(done -> held(id, cells, token), failure -> holdFailed(id, message(failure)));
    }

    private void held(JobId id, Allocation cells, long token) {
        events.publish(EventType.GANG_HELD, id.value(), "");
        gangs.commit(id, cells.placement(), token)
                .invoke(() -> events.publish(EventType.GANG_COMMITTED, id.value(), ""))
                .chain(() -> startIfAllowed(id, cells, token))
                .subscribe()
                .with(done -> started(id), failure -> abort(id, cells, token, message(failure)));
    }

    private void holdFailed(JobId id, String reason) {
        events.publish(EventType.GANG_ABORTED, id.value(), reason);
        capacity.release(id);
        endChange(id);
    }

    /** Starts the gang if the configuration, which may have changed since, still permits it. */
    private Uni<Void> startIfAllowed(JobId id, Allocation cells, long token) {
        DataCentreId target = cells.placement().dataCentre();
        boolean allowed =
                startable.test(target) && capacity.config().isGranted(cells.organisation(), target);
        return allowed
                ? gangs.start(id, cells.placement(), token)
                : Uni.createFrom()
                        .failure(new IllegalStateException(target + " permits no start now"));
    }

    private void started(JobId id) {
        endChange(id);
        events.publish(EventType.GANG_STARTED, id.value(), "");
    }

    private void abort(JobId id, Allocation cells, long token, String reason) {
        events.publish(EventType.GANG_ABORTED, id.value(), reason);
        running.remove(id);
        gangs.stop(id, cells.placement(), token)
                .onTermination()
                .invoke(
                        () -> {
                            capacity.release(id);
                            endChange(id);
                        })
                .subscribe()
                .with(done -> {}, failure -> {});
    }

    /** Checkpoints and stops a job to free its cells for another; its owner queues it again. */
    private Uni<Void> evict(Allocation victim, JobId claimant) {
        events.publish(EventType.JOB_RECLAIMED, victim.job().value(), claimant.value(), "");
        busy.add(victim.job());
        return checkpointAndStop(victim).onTermination().invoke(() -> endChange(victim.job()));
    }

    /** Checkpoints and stops a job in a withdrawn data centre, so that it is placed elsewhere. */
    private void evacuate(JobTable.Job job, Allocation cells) {
        busy.add(job.id());
        running.remove(job.id());
        String from = "out of " + cells.placement().dataCentre();
        events.publish(EventType.JOB_RECLAIMED, job.id().value(), from);
        checkpointAndStop(cells)
                .onTermination()
                .invoke(
                        () -> {
                            capacity.release(job.id());
                            endChange(job.id());
                        })
                .subscribe()
                .with(done -> {}, failure -> {});
    }

    private Uni<Void> checkpointAndStop(Allocation victim) {
        JobId id = victim.job();
        long token = poller.token(id, victim.placement());
        return gangs.pause(id, victim.placement(), token)
                .onFailure()
                .recoverWithNull()
                .chain(() -> gangs.checkpoint(id, victim.placement(), token))
                .chain(checkpoint -> storeCheckpoint(id, checkpoint))
                .chain(() -> gangs.stop(id, victim.placement(), token));
    }

    /** Appends a checkpoint to the log, so that any later owner resumes from it. */
    private Uni<Void> storeCheckpoint(JobId id, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        checkpoints.put(id, checkpoint);
        return log.append(new JobRecord.Checkpointed(id, checkpoint))
                .onFailure()
                .recoverWithNull()
                .replaceWithVoid();
    }

    private boolean needsEvacuation(Allocation cells) {
        DataCentreId current = cells.placement().dataCentre();
        return !capacity.config().isOpen(current)
                && capacity.fleet().dataCentres().stream()
                        .filter(target -> capacity.config().isGranted(cells.organisation(), target))
                        .filter(startable)
                        .anyMatch(
                                target ->
                                        capacity.fleet()
                                                .freeCells(target)
                                                .find(cells.demand())
                                                .isPresent());
    }

    private void manageGang(JobTable.Job job, Allocation cells) {
        long since = lastChangeMillis(job.id());
        List<GangDecisionTable.Member> members = poller.members(job.id(), cells.placement(), since);
        if (job.cancelled()) {
            end(job, cells, JobRecord.Result.CANCELLED, "cancelled while it ran");
            return;
        }
        GangAction action = GangDecisionTable.decide(job.id(), cells.placement(), members);
        if (action == GangAction.RENEW || action == GangAction.FINISH) {
            // The leases of an ended gang are renewed until its end is in the log.
            running.add(job.id());
        }
        if (action == GangAction.RENEW && needsEvacuation(cells)) {
            evacuate(job, cells);
            return;
        }
        switch (action) {
            case START -> resume(job, cells);
            case FINISH -> end(job, cells, JobRecord.Result.SUCCEEDED, "");
            case STOP -> stop(job, cells, members);
            default -> {}
        }
    }

    private void resume(JobTable.Job job, Allocation cells) {
        busy.add(job.id());
        long token = token(job);
        startIfAllowed(job.id(), cells, token)
                .subscribe()
                .with(
                        done -> started(job.id()),
                        failure -> abort(job.id(), cells, token, message(failure)));
    }

    private void stop(JobTable.Job job, Allocation cells, List<GangDecisionTable.Member> members) {
        List<WorkerId> failed =
                members.stream()
                        .filter(member -> member.lease().stream().anyMatch(JobRunner::isFailed))
                        .map(GangDecisionTable.Member::worker)
                        .toList();
        if (failed.isEmpty()) {
            busy.add(job.id());
            abort(job.id(), cells, token(job), "a member was lost");
        } else if (failures.add(job.id(), failed)) {
            end(job, cells, JobRecord.Result.FAILED, "members failed, last on " + failed);
        } else {
            busy.add(job.id());
            abort(job.id(), cells, token(job), "members failed on " + failed);
        }
    }

    private static boolean isFailed(Lease lease) {
        return lease.state() == LeaseState.FAILED;
    }

    private void end(JobTable.Job job, Allocation cells, JobRecord.Result result, String detail) {
        busy.add(job.id());
        log.append(new JobRecord.Ended(job.id(), result, detail))
                .chain(() -> gangs.stop(job.id(), cells.placement(), token(job)))
                .onTermination()
                .invoke(() -> endChange(job.id()))
                .subscribe()
                .with(
                        done -> {
                            capacity.release(job.id());
                            updateEstimates(cells, result);
                            EventType type =
                                    result == JobRecord.Result.CANCELLED
                                            ? EventType.JOB_CANCELLED
                                            : EventType.JOB_ENDED;
                            events.publish(type, job.id().value(), result + " " + detail);
                        },
                        failure -> {});
    }

    private void updateEstimates(Allocation ended, JobRecord.Result result) {
        if (result == JobRecord.Result.SUCCEEDED) {
            long ranMillis = Clock.monotonicMillis() - ended.startedMillis();
            estimates.add(ended.organisation(), ended.estimateMillis(), ranMillis);
        }
    }

    private void endUnplaced(JobTable.Job job, JobRecord.Result result, String detail) {
        busy.add(job.id());
        log.append(new JobRecord.Ended(job.id(), result, detail))
                .onTermination()
                .invoke(() -> endChange(job.id()))
                .subscribe()
                .with(
                        done -> events.publish(EventType.JOB_CANCELLED, job.id().value(), detail),
                        failure -> {});
    }

    private void endChange(JobId id) {
        busy.remove(id);
        changedMillis.put(id, Clock.monotonicMillis());
    }

    private long lastChangeMillis(JobId id) {
        return changedMillis.getOrDefault(id, Long.MIN_VALUE);
    }

    private Optional<JobTable.Job> owned(JobId id) {
        return table.job(id).filter(job -> job.owner().equals(identity.runId()));
    }

    private long token(JobTable.Job job) {
        return FencingTokens.of(job.ownerOffset(), attempts.getOrDefault(job.id(), 0));
    }

    private static String message(Throwable failure) {
        return String.valueOf(failure.getMessage());
    }

    private static String describe(Allocation cells) {
        return cells.placement().accelerators()
                + " accelerators on "
                + cells.placement().slices().size()
                + " workers in "
                + cells.placement().dataCentre()
                + (cells.guaranteed() ? ", guaranteed" : ", borrowed");
    }
}
