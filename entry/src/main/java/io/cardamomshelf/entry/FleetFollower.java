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
import io.cardamomshelf.core.lease.GangNote;
import io.cardamomshelf.core.lease.GangDecisionTable;
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
 * Keeps the books in step with the workers' reports, and renews the leases of running gangs.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class FleetFollower {

    /** How long a running member's lease lasts after a renewal. */
    static final long RUN_TTL_MILLIS = 10_000;

    /** How old a report may be to count as fresh. */
    static final long FRESH_MILLIS = 3_000;

    /** Tells whether a report may show a job's cells as they were before this instance's change. */
    interface Changing {
        boolean test(JobId job, long sentMillis);
    }

    private static final class Seen {
        private final WorkerReport report;
        private final long polledMillis;

        Seen(WorkerReport report, long polledMillis) {
            this.report = report;
            this.polledMillis = polledMillis;
        }
    }

    private final Members members;
    private final PauseWatch pauses;
    private final WorkerClient client;
    private final CapacityState books;
    private final WorkerHealth health = new WorkerHealth();
    private final Events events;
    private final Changing changing;
    private final Function<WorkerId, List<WorkerCommand.Renewal>> renewals;
    private final Consumer<JobId> gone;
    private final Map<WorkerId, Seen> seen = new HashMap<>();
    private final Set<WorkerId> polling = new HashSet<>();
    private final Set<WorkerId> quarantined = new HashSet<>();
    private final Set<WorkerId> asked = new HashSet<>();

    /**
     * Creates a follower.
     *
     * @param pauses tells since when this process has listened
     * @param changing tells the jobs whose cells this instance is changing itself
     * @param renewals gives the leases to renew on a worker
     * @param gone takes the jobs of which no worker reports a lease any more
     */
    FleetFollower(
            Members members,
            WorkerClient client,
            CapacityState books,
            Events events,
            PauseWatch pauses,
            Changing changing,
            Function<WorkerId, List<WorkerCommand.Renewal>> renewals,
            Consumer<JobId> gone) {
        this.members = members;
        this.client = client;
        this.books = books;
        this.events = events;
        this.pauses = pauses;
        this.changing = changing;
        this.renewals = renewals;
        this.gone = gone;
    }

    /** Polls every listed worker that isn't being polled, and drops those that are gone. */
    void tick() {
        for (Instance worker : members.workers()) {
            WorkerId id = WorkerId.of(worker.id());
            if (polling.add(id)) {
                poll(id, new Endpoint(worker.host(), worker.port()));
            }
        }
        forgetUnlisted();
        long now = Clock.millis();
        seen.forEach(
                (id, last) -> {
                    if (now - heardMillis(last) > FRESH_MILLIS && books.fleet().remove(id)) {
                        events.publish(EventType.WORKER_LOST, id.value(), "");
                    }
                });
    }

    /** Asks whether every listed worker has been asked once, so that what never fits is known. */
    boolean hasAskedAll() {
        return members.workers().stream()
                .allMatch(worker -> asked.contains(WorkerId.of(worker.id())));
    }

    /** Returns the workers that get no new tasks, for what they start fails. */
    List<WorkerId> quarantined() {
        return health.quarantined();
    }

    private void forgetUnlisted() {
        Set<WorkerId> listed = new HashSet<>();
        members.workers().forEach(worker -> listed.add(WorkerId.of(worker.id())));
        asked.retainAll(listed);
        for (WorkerId id : List.copyOf(seen.keySet())) {
            boolean empty = books.fleet().jobsOn(id).isEmpty();
            if (!listed.contains(id) && empty) {
                health.forget(id);
                quarantined.remove(id);
                books.fleet().forget(id, seen.remove(id).report.worker().dataCentre());
            }
        }
    }

    /** Returns what is seen of each member of a gang by reports asked for after a time. */
    List<GangDecisionTable.Member> sight(JobId job, Placement placement, long sinceMillis) {
        long now = Clock.millis();
        List<GangDecisionTable.Member> sights = new ArrayList<>();
        for (Slice slice : placement.slices()) {
            Seen last = seen.get(slice.worker());
            sights.add(
                    new GangDecisionTable.Member(
                            slice.worker(), sight(last, now, sinceMillis), lease(last, job)));
        }
        return sights;
    }

    /** Returns the token under which a gang's members were last reported, 1 if none was. */
    long token(JobId job, Placement placement) {
        return placement.slices().stream()
                .map(slice -> lease(seen.get(slice.worker()), job))
                .flatMap(Optional::stream)
                .mapToLong(Lease::token)
                .max()
                .orElse(1);
    }

    private GangDecisionTable.ReportAge sight(Seen last, long now, long sinceMillis) {
        if (last == null || now - heardMillis(last) > RUN_TTL_MILLIS + FRESH_MILLIS) {
            return GangDecisionTable.ReportAge.GONE;
        }
        boolean stale = now - last.polledMillis > FRESH_MILLIS || last.polledMillis <= sinceMillis;
        return stale ? GangDecisionTable.ReportAge.STALE : GangDecisionTable.ReportAge.FRESH;
    }

    /** A worker that couldn't be heard while this process was paused isn't silent by that. */
    private long heardMillis(Seen last) {
        return Math.max(last.polledMillis, pauses.awakeSinceMillis());
    }

    private static Optional<Lease> lease(Seen last, JobId job) {
        return last == null
                ? Optional.empty()
                : last.report.leases().stream().filter(l -> l.job().equals(job)).findFirst();
    }

    private void poll(WorkerId id, Endpoint endpoint) {
        Seen last = seen.get(id);
        long since = last == null ? 0 : last.report.version();
        long sentMillis = Clock.millis();
        client.poll(endpoint, new WorkerCommand.Poll(since, RUN_TTL_MILLIS, renewals.apply(id)))
                .onTermination()
                .invoke(() -> asked(id))
                .subscribe()
                .with(report -> polled(id, report, sentMillis), failure -> {});
    }

    private void asked(WorkerId id) {
        polling.remove(id);
        asked.add(id);
    }

    private void polled(WorkerId id, Optional<WorkerReport> report, long sentMillis) {
        Seen last = seen.get(id);
        WorkerReport current = report.orElseGet(() -> last.report);
        seen.put(id, new Seen(current, sentMillis));
        health.update(id, current.leases(), members.workers().size(), Clock.millis());
        if (health.isQuarantined(id, Clock.millis())) {
            quarantine(id);
        } else if (books.fleet().put(current.worker())) {
            boolean restored = quarantined.remove(id);
            EventType type = restored ? EventType.WORKER_RESTORED : EventType.WORKER_SEEN;
            events.publish(type, id.value(), "" + current.worker().rack());
        }
        // An unchanged report still corrects books that this instance has changed in the meantime.
        apply(id, current, sentMillis);
    }

    /** Its running tasks go on; the cells are neither free nor reclaimable meanwhile. */
    private void quarantine(WorkerId id) {
        books.fleet().remove(id);
        if (quarantined.add(id)) {
            events.publish(EventType.WORKER_QUARANTINED, id.value(), "its tasks fail");
        }
    }

    private void apply(WorkerId id, WorkerReport report, long sentMillis) {
        Set<JobId> reported = new HashSet<>();
        for (Lease lease : report.leases()) {
            reported.add(lease.job());
            boolean booked = books.fleet().allocation(lease.job()).isPresent();
            if (!booked && !changing.test(lease.job(), sentMillis)) {
                books.allocate(allocation(lease.note()));
            }
        }
        for (JobId job : List.copyOf(books.fleet().jobsOn(id))) {
            if (!reported.contains(job) && !changing.test(job, sentMillis)) {
                releaseIfGone(job);
            }
        }
    }

    private void releaseIfGone(JobId job) {
        Placement placement = books.fleet().allocation(job).orElseThrow().placement();
        boolean anywhere =
                sight(job, placement, Long.MIN_VALUE).stream()
                        .anyMatch(member -> member.lease().isPresent());
        if (!anywhere) {
            gone.accept(job);
        }
    }

    private static Allocation allocation(GangNote note) {
        return new Allocation(
                note.job(),
                note.spec().organisation(),
                note.spec().demand(),
                note.placement(),
                note.block(),
                Clock.millis(),
                note.spec().estimateMillis());
    }
}
