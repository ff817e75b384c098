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
import io.cardamomshelf.core.job.RunTimeEstimates;
import io.cardamomshelf.core.job.JobFailures;
import io.cardamomshelf.core.job.JobRecord;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.lease.GangAction;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.GangDecisionTable;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.LeaseState;
import io.cardamomshelf.core.lease.FencingTokens;
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
 * Runs the jobs that this instance owns: places them, takes each gang through its steps, and acts
 * on what the workers report by {@link GangDecisionTable}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class JobRunner {

    private static final int TRUSTED_PERCENT = 75;

    private final InstanceIdentity self;
    private final JobTable table;
    private final CapacityState books;
    private final GangClient gangs;
    private final JobLog log;
    private final Events events;
    private final Predicate<DataCentreId> startable;
    private final RunTimeEstimates estimates = new RunTimeEstimates(TRUSTED_PERCENT);
    private final Dispatcher dispatcher;
    private final Map<JobId, Integer> attempts = new HashMap<>();
    private final Map<JobId, String> waits = new HashMap<>();
    private final Set<JobId> busy = new HashSet<>();
    private final Map<JobId, Long> changedMillis = new HashMap<>();
    private final Set<JobId> whole = new HashSet<>();
    private final JobFailures failures = new JobFailures();
    private final Map<JobId, String> checkpoints = new HashMap<>();
    private final RoundGate gate = new RoundGate();
    private FleetFollower fleet;
    private boolean leaving;

    JobRunner(
            InstanceIdentity self,
            JobTable table,
            CapacityState books,
            GangClient gangs,
            JobLog log,
            Events events,
            Predicate<DataCentreId> startable) {
        this.self = self;
        this.table = table;
        this.books = books;
        this.gangs = gangs;
        this.log = log;
        this.events = events;
        this.startable = startable;
        this.dispatcher = new Dispatcher(books, estimates);
    }

    void follow(FleetFollower follower) {
        fleet = follower;
    }

    void leave() {
        leaving = true;
    }

    /** Takes a job's cells off the books when no worker reports a lease of it any more. */
    void gone(JobId id) {
        books.release(id);
        whole.remove(id);
        changedMillis.put(id, Clock.millis());
        if (owned(id).filter(JobTable.Job::isOpen).isPresent()) {
            events.publish(EventType.GANG_ABORTED, id.value(), "no worker reports it any more");
        }
    }

    /** Asks whether a report asked for at a time may show the job's cells before a change. */
    boolean isChanging(JobId job, long sentMillis) {
        return busy.contains(job) || changed(job) >= sentMillis;
    }

    /** Asks whether this instance is taking a job's gang through its steps. */
    boolean isStarting(JobId job) {
        return busy.contains(job);
    }

    /** Asks whether no gang is between its first hold and its start, or being ended. */
    boolean isIdle() {
        return busy.isEmpty();
    }

    /** Returns why a job waits, empty if it doesn't or another instance owns it. */
    String waitReason(JobId job) {
        return waits.getOrDefault(job, "");
    }

    /** Returns the leases to renew on a worker: those of own gangs that were seen to run whole. */
    List<WorkerCommand.Renewal> renewals(WorkerId worker) {
        List<WorkerCommand.Renewal> renewals = new ArrayList<>();
        for (JobId id : books.fleet().jobsOn(worker)) {
            owned(id)
                    .filter(job -> whole.contains(id))
                    .ifPresent(job -> renewals.add(new WorkerCommand.Renewal(id, token(job))));
        }
        return renewals;
    }

    /** One round: looks after every gang that has cells, then places what waits. */
    void tick() {
        List<JobTable.Job> waiting = new ArrayList<>();
        for (JobTable.Job job : table.open()) {
            if (!job.owner().equals(self.run()) || busy.contains(job.id())) {
                continue;
            }
            Optional<Allocation> cells = books.fleet().allocation(job.id());
            if (cells.isPresent()) {
                lookAfter(job, cells.get());
            } else if (job.cancelled()) {
                end(job, JobRecord.Result.CANCELLED, "cancelled before it ran");
            } else if (!leaving && log.isReadSince(changed(job.id()))) {
                waiting.add(job);
            }
        }
        place(waiting);
        for (Map<JobId, ?> memory : List.of(attempts, waits, changedMillis, checkpoints)) {
            memory.keySet().removeIf(this::isEnded);
        }
        whole.removeIf(this::isEnded);
        failures.forget(this::isEnded);
    }

    private boolean isEnded(JobId id) {
        return table.job(id).map(job -> job.end().isPresent()).orElse(true);
    }

    private void place(List<JobTable.Job> waiting) {
        long now = Clock.millis();
        RoundGate.Sight sight = sight(waiting);
        if (!gate.isDue(sight, now)) {
            return;
        }
        List<Dispatcher.Planned> round = dispatcher.round(waiting, startable, now);
        gate.passed(sight.withFleetVersion(books.fleet().version()), now);
        for (Dispatcher.Planned planned : round) {
            if (planned.decision() instanceof Decision.Place place) {
                runOrWait(planned.job(), place);
            } else if (planned.decision() instanceof Decision.Refuse never) {
                // A worker may be away for now; what was accepted waits for its return.
                waits(planned.job(), never.reason());
            } else if (planned.decision() instanceof Decision.Wait wait) {
                waits(planned.job(), wait.reason());
            }
        }
    }

    private RoundGate.Sight sight(List<JobTable.Job> waiting) {
        return new RoundGate.Sight(
                waiting.stream().map(JobTable.Job::id).toList(),
                books.fleet().version(),
                books.config().offset(),
                books.fleet().dataCentres().stream().filter(startable).toList());
    }

    private void waits(JobTable.Job job, String why) {
        if (!why.equals(waits.put(job.id(), why))) {
            events.publish(EventType.JOB_WAITING, job.id().value(), why);
        }
    }

    private void runOrWait(JobTable.Job job, Decision.Place place) {
        boolean changing = place.victims().stream().anyMatch(victim -> busy.contains(victim.job()));
        if (changing) {
            books.release(job.id());
            place.victims().forEach(books::allocate);
            waits(job, "a job that must make room is changing");
        } else {
            run(job, place);
        }
    }

    private void run(JobTable.Job job, Decision.Place place) {
        JobId id = job.id();
        Allocation made = place.allocation();
        int attempt = attempts.merge(id, 1, Integer::sum);
        long token = FencingTokens.of(job.ownerOffset(), attempt);
        GangNote note = new GangNote(id, job.spec(), made.placement(), made.block());
        String resume = checkpoints.getOrDefault(id, job.checkpoint());
        busy.add(id);
        waits.remove(id);
        List<Uni<Void>> evictions = place.victims().stream().map(v -> evict(v, id)).toList();
        events.publish(EventType.JOB_PLACED, id.value(), describe(made));
        Uni<Void> room =
                evictions.isEmpty()
                        ? Uni.createFrom().voidItem()
                        : Uni.join().all(evictions).andCollectFailures().replaceWithVoid();
        room.chain(() -> gangs.hold(note, token, resume))
                .subscribe()
                .with(done -> held(id, made, token), failure -> notHeld(id, text(failure)));
    }

    private void held(JobId id, Allocation made, long token) {
        events.publish(EventType.GANG_HELD, id.value(), "");
        gangs.commit(id, made.placement(), token)
                .invoke(() -> events.publish(EventType.GANG_COMMITTED, id.value(), ""))
                .chain(() -> startIfAllowed(id, made, token))
                .subscribe()
                .with(done -> started(id), failure -> abort(id, made, token, text(failure)));
    }

    private void notHeld(JobId id, String why) {
        events.publish(EventType.GANG_ABORTED, id.value(), why);
        books.release(id);
        settle(id);
    }

    /**
     * The configuration may have changed since the placement; a start is never made on an old one.
     */
    private Uni<Void> startIfAllowed(JobId id, Allocation made, long token) {
        DataCentreId site = made.placement().dataCentre();
        boolean allowed =
                startable.test(site) && books.config().isGranted(made.organisation(), site);
        return allowed
                ? gangs.start(id, made.placement(), token)
                : Uni.createFrom()
                        .failure(new IllegalStateException(site + " may start nothing now"));
    }

    private void started(JobId id) {
        settle(id);
        events.publish(EventType.GANG_STARTED, id.value(), "");
    }

    private void abort(JobId id, Allocation made, long token, String why) {
        events.publish(EventType.GANG_ABORTED, id.value(), why);
        whole.remove(id);
        gangs.stop(id, made.placement(), token)
                .onTermination()
                .invoke(
                        () -> {
                            books.release(id);
                            settle(id);
                        })
                .subscribe()
                .with(done -> {}, failure -> {});
    }

    /** Checkpoints and stops a job that makes room for another; its owner queues it again. */
    private Uni<Void> evict(Allocation victim, JobId claimant) {
        events.publish(EventType.JOB_RECLAIMED, victim.job().value(), claimant.value(), "");
        busy.add(victim.job());
        return checkpointAndStop(victim).onTermination().invoke(() -> settle(victim.job()));
    }

    /** Moves a job out of a data centre that was taken out, if another has room for it. */
    private void evacuate(JobTable.Job job, Allocation cells) {
        busy.add(job.id());
        whole.remove(job.id());
        String from = "out of " + cells.placement().dataCentre();
        events.publish(EventType.JOB_RECLAIMED, job.id().value(), from);
        checkpointAndStop(cells)
                .onTermination()
                .invoke(
                        () -> {
                            books.release(job.id());
                            settle(job.id());
                        })
                .subscribe()
                .with(done -> {}, failure -> {});
    }

    private Uni<Void> checkpointAndStop(Allocation victim) {
        JobId id = victim.job();
        long token = fleet.token(id, victim.placement());
        return gangs.pause(id, victim.placement(), token)
                .onFailure()
                .recoverWithNull()
                .chain(() -> gangs.checkpoint(id, victim.placement(), token))
                .chain(text -> keep(id, text))
                .chain(() -> gangs.stop(id, victim.placement(), token));
    }

    /** Keeps a checkpoint in the log, so that any later owner resumes from it. */
    private Uni<Void> keep(JobId id, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return Uni.createFrom().voidItem();
        }
        checkpoints.put(id, checkpoint);
        return log.append(new JobRecord.Checkpointed(id, checkpoint))
                .onFailure()
                .recoverWithNull()
                .replaceWithVoid();
    }

    private boolean isToBeEvacuated(Allocation cells) {
        DataCentreId site = cells.placement().dataCentre();
        return !books.config().isOpen(site)
                && books.fleet().dataCentres().stream()
                        .filter(other -> books.config().isGranted(cells.organisation(), other))
                        .filter(startable)
                        .anyMatch(
                                other ->
                                        books.fleet().freeCells(other).find(cells.demand()).isPresent());
    }

    private void lookAfter(JobTable.Job job, Allocation cells) {
        long since = changed(job.id());
        List<GangDecisionTable.Member> members = fleet.sight(job.id(), cells.placement(), since);
        if (job.cancelled()) {
            finish(job, cells, JobRecord.Result.CANCELLED, "cancelled while it ran");
            return;
        }
        GangAction action = GangDecisionTable.decide(job.id(), cells.placement(), members);
        if (action == GangAction.RENEW || action == GangAction.FINISH) {
            // An ended gang's leases are renewed too, until its end is in the log.
            whole.add(job.id());
        }
        if (action == GangAction.RENEW && isToBeEvacuated(cells)) {
            evacuate(job, cells);
            return;
        }
        switch (action) {
            case START -> resume(job, cells);
            case FINISH -> finish(job, cells, JobRecord.Result.SUCCEEDED, "");
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
                        failure -> abort(job.id(), cells, token, text(failure)));
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
            finish(job, cells, JobRecord.Result.FAILED, "members failed, last on " + failed);
        } else {
            busy.add(job.id());
            abort(job.id(), cells, token(job), "members failed on " + failed);
        }
    }

    private static boolean isFailed(Lease lease) {
        return lease.state() == LeaseState.FAILED;
    }

    private void finish(
            JobTable.Job job, Allocation cells, JobRecord.Result result, String detail) {
        busy.add(job.id());
        log.append(new JobRecord.Ended(job.id(), result, detail))
                .chain(() -> gangs.stop(job.id(), cells.placement(), token(job)))
                .onTermination()
                .invoke(() -> settle(job.id()))
                .subscribe()
                .with(
                        done -> {
                            books.release(job.id());
                            learn(cells, result);
                            EventType type =
                                    result == JobRecord.Result.CANCELLED
                                            ? EventType.JOB_CANCELLED
                                            : EventType.JOB_ENDED;
                            events.publish(type, job.id().value(), result + " " + detail);
                        },
                        failure -> {});
    }

    private void learn(Allocation ended, JobRecord.Result result) {
        if (result == JobRecord.Result.SUCCEEDED) {
            long ranMillis = Clock.millis() - ended.startedMillis();
            estimates.add(ended.organisation(), ended.estimateMillis(), ranMillis);
        }
    }

    private void end(JobTable.Job job, JobRecord.Result result, String detail) {
        busy.add(job.id());
        log.append(new JobRecord.Ended(job.id(), result, detail))
                .onTermination()
                .invoke(() -> settle(job.id()))
                .subscribe()
                .with(
                        done -> events.publish(EventType.JOB_CANCELLED, job.id().value(), detail),
                        failure -> {});
    }

    private void settle(JobId id) {
        busy.remove(id);
        changedMillis.put(id, Clock.millis());
    }

    private long changed(JobId id) {
        return changedMillis.getOrDefault(id, Long.MIN_VALUE);
    }

    private Optional<JobTable.Job> owned(JobId id) {
        return table.job(id).filter(job -> job.owner().equals(self.run()));
    }

    private long token(JobTable.Job job) {
        return FencingTokens.of(job.ownerOffset(), attempts.getOrDefault(job.id(), 0));
    }

    private static String text(Throwable failure) {
        return String.valueOf(failure.getMessage());
    }

    private static String describe(Allocation made) {
        return made.placement().accelerators()
                + " accelerators on "
                + made.placement().slices().size()
                + " workers in "
                + made.placement().dataCentre()
                + (made.guaranteed() ? ", guaranteed" : ", borrowed");
    }
}
