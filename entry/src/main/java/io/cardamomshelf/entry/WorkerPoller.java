package io.cardamomshelf.entry;

import io.cardamomshelf.client.WorkerClient;
import io.cardamomshelf.client.WorkerCommand;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.fleet.Allocation;
import io.cardamomshelf.core.fleet.Placement;
import io.cardamomshelf.core.fleet.Slice;
import io.cardamomshelf.core.fleet.WorkerHealth;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.lease.GangDecisionTable;
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.Lease;
import io.cardamomshelf.core.lease.WorkerReport;
import io.cardamomshelf.core.membership.Instance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Polls the workers for reports, updates the capacity state from them, and renews the leases of
 * running gangs. {@link JobRunner} reads the state of its gangs from the last reports.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class WorkerPoller {

    /** How long a running member's lease lasts after a renewal. */
    static final long RUN_LEASE_MILLIS = 10_000;

    /** How old a report may be before it is considered stale. */
    static final long MAX_REPORT_AGE_MILLIS = 3_000;

    /** Decides whether a report may predate this instance's own change of a job's cells. */
    interface ChangeCheck {
        boolean test(JobId job, long sentMillis);
    }

    private static final class LastReport {
        private final WorkerReport report;
        private final long polledMillis;

        LastReport(WorkerReport report, long polledMillis) {
            this.report = report;
            this.polledMillis = polledMillis;
        }
    }

    private final InstanceDirectory directory;
    private final PauseDetector pauseDetector;
    private final WorkerClient client;
    private final CapacityState capacity;
    private final WorkerHealth health = new WorkerHealth();
    private final Events events;
    private final ChangeCheck changing;
    private final Function<WorkerId, List<WorkerCommand.Renewal>> renewals;
    private final Consumer<JobId> unreported;
    private final Map<WorkerId, LastReport> lastReports = new HashMap<>();
    private final Set<WorkerId> polling = new HashSet<>();
    private final Set<WorkerId> quarantined = new HashSet<>();
    private final Set<WorkerId> polledOnce = new HashSet<>();

    /**
     * Creates a poller.
     *
     * @param pauseDetector provides the time since which this process runs without a pause
     * @param changing decides which jobs this instance is changing itself
     * @param renewals returns the leases to renew on a worker
     * @param unreported called with each job of which no worker reports a lease any more
     */
    WorkerPoller(
            InstanceDirectory directory,
            WorkerClient client,
            CapacityState capacity,
            Events events,
            PauseDetector pauseDetector,
            ChangeCheck changing,
            Function<WorkerId, List<WorkerCommand.Renewal>> renewals,
            Consumer<JobId> unreported) {
        this.directory = directory;
        this.client = client;
        this.capacity = capacity;
        this.events = events;
        this.pauseDetector = pauseDetector;
        this.changing = changing;
        this.renewals = renewals;
        this.unreported = unreported;
    }

    /** Polls every listed worker that isn't being polled, and removes unresponsive ones. */
    void tick() {
        for (Instance worker : directory.workers()) {
            WorkerId id = WorkerId.of(worker.id());
            if (polling.add(id)) {
                poll(id, new Endpoint(worker.host(), worker.port()));
            }
        }
        forgetUnlisted();
        long now = Clock.monotonicMillis();
        lastReports.forEach(
                (id, last) -> {
                    if (now - lastContactMillis(last) > MAX_REPORT_AGE_MILLIS
                            && capacity.fleet().remove(id)) {
                        events.publish(EventType.WORKER_LOST, id.value(), "");
                    }
                });
    }

    /** Returns whether every listed worker was polled once, so that total capacity is known. */
    boolean hasPolledAll() {
        return directory.workers().stream()
                .allMatch(worker -> polledOnce.contains(WorkerId.of(worker.id())));
    }

    /** Returns the workers that get no new tasks because tasks keep failing on them. */
    List<WorkerId> quarantined() {
        return health.quarantined();
    }

    private void forgetUnlisted() {
        Set<WorkerId> listed = new HashSet<>();
        directory.workers().forEach(worker -> listed.add(WorkerId.of(worker.id())));
        polledOnce.retainAll(listed);
        for (WorkerId id : List.copyOf(lastReports.keySet())) {
            boolean empty = capacity.fleet().jobsOn(id).isEmpty();
            if (!listed.contains(id) && empty) {
                health.forget(id);
                quarantined.remove(id);
                capacity.fleet().forget(id, lastReports.remove(id).report.worker().dataCentre());
            }
        }
    }

    /**
     * Returns the state of each member of a gang according to the last reports. A report that was
     * not requested after the given time counts as stale.
     */
    List<GangDecisionTable.Member> members(JobId job, Placement placement, long sinceMillis) {
        long now = Clock.monotonicMillis();
        List<GangDecisionTable.Member> members = new ArrayList<>();
        for (Slice slice : placement.slices()) {
            LastReport last = lastReports.get(slice.worker());
            members.add(
                    new GangDecisionTable.Member(
                            slice.worker(), reportAge(last, now, sinceMillis), lease(last, job)));
        }
        return members;
    }

    /** Returns the highest token last reported by a gang's members, 1 if none was reported. */
    long token(JobId job, Placement placement) {
        return placement.slices().stream()
                .map(slice -> lease(lastReports.get(slice.worker()), job))
                .flatMap(Optional::stream)
                .mapToLong(Lease::token)
                .max()
                .orElse(1);
    }

    private GangDecisionTable.ReportAge reportAge(
            LastReport last, long nowMillis, long sinceMillis) {
        if (last == null
                || nowMillis - lastContactMillis(last) > RUN_LEASE_MILLIS + MAX_REPORT_AGE_MILLIS) {
            return GangDecisionTable.ReportAge.GONE;
        }
        boolean stale =
                nowMillis - last.polledMillis > MAX_REPORT_AGE_MILLIS
                        || last.polledMillis <= sinceMillis;
        return stale ? GangDecisionTable.ReportAge.STALE : GangDecisionTable.ReportAge.FRESH;
    }

    /** Returns when a worker was last in contact; a pause of this process is not counted. */
    private long lastContactMillis(LastReport last) {
        return Math.max(last.polledMillis, pauseDetector.runningSinceMillis());
    }

    private static Optional<Lease> lease(LastReport last, JobId job) {
        return last == null
                ? Optional.empty()
                : last.report.leases().stream()
                        .filter(lease -> lease.job().equals(job))
                        .findFirst();
    }

    private void poll(WorkerId id, Endpoint endpoint) {
        LastReport last = lastReports.get(id);
        long knownVersion = last == null ? 0 : last.report.version();
        long sentMillis = Clock.monotonicMillis();
        client.poll(
                        endpoint,
                        new WorkerCommand.Poll(knownVersion, RUN_LEASE_MILLIS, renewals.apply(id)))
                .onTermination()
                .invoke(() -> pollEnded(id))
                .subscribe()
                .with(report -> reportReceived(id, report, sentMillis), failure -> {});
    }

    private void pollEnded(WorkerId id) {
        polling.remove(id);
        polledOnce.add(id);
    }

    private void reportReceived(WorkerId id, Optional<WorkerReport> report, long sentMillis) {
        LastReport last = lastReports.get(id);
        WorkerReport current = report.orElseGet(() -> last.report);
        lastReports.put(id, new LastReport(current, sentMillis));
        health.update(id, current.leases(), directory.workers().size(), Clock.monotonicMillis());
        if (health.isQuarantined(id, Clock.monotonicMillis())) {
            quarantine(id);
        } else if (capacity.fleet().put(current.worker())) {
            boolean restored = quarantined.remove(id);
            EventType type = restored ? EventType.WORKER_RESTORED : EventType.WORKER_SEEN;
            events.publish(type, id.value(), "" + current.worker().rack());
        }
        // An unchanged report still corrects changes that this instance has made meanwhile.
        updateAllocations(id, current, sentMillis);
    }

    /**
     * Removes a worker from the fleet. Its running tasks continue; its cells are neither free nor
     * reclaimable in the meantime.
     */
    private void quarantine(WorkerId id) {
        capacity.fleet().remove(id);
        if (quarantined.add(id)) {
            events.publish(EventType.WORKER_QUARANTINED, id.value(), "its tasks fail");
        }
    }

    private void updateAllocations(WorkerId id, WorkerReport report, long sentMillis) {
        Set<JobId> reported = new HashSet<>();
        for (Lease lease : report.leases()) {
            reported.add(lease.job());
            boolean allocated = capacity.fleet().allocation(lease.job()).isPresent();
            if (!allocated && !changing.test(lease.job(), sentMillis)) {
                capacity.allocate(allocation(lease.note()));
            }
        }
        for (JobId job : List.copyOf(capacity.fleet().jobsOn(id))) {
            if (!reported.contains(job) && !changing.test(job, sentMillis)) {
                releaseIfUnreported(job);
            }
        }
    }

    private void releaseIfUnreported(JobId job) {
        Placement placement = capacity.fleet().allocation(job).orElseThrow().placement();
        boolean reported =
                members(job, placement, Long.MIN_VALUE).stream()
                        .anyMatch(member -> member.lease().isPresent());
        if (!reported) {
            unreported.accept(job);
        }
    }

    private static Allocation allocation(GangNote note) {
        return new Allocation(
                note.job(),
                note.spec().organisation(),
                note.spec().demand(),
                note.placement(),
                note.block(),
                Clock.monotonicMillis(),
                note.spec().estimateMillis());
    }
}
