package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.LeaseClock;
import io.cardamomshelf.core.schedule.SchedulerState;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.store.Roster;
import io.cardamomshelf.node.store.WorkersView;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The links of one scheduler's term to the workers of the services that it uses.
 *
 * <p>Others write to the registry, too. Workers of a service that no queue and no job names get no
 * calls, and so have no vote on the term. A worker that has a link keeps it, as it may have runs.
 *
 * <p>Use: {@code useService} for each queue and job, before {@code begin} and later, and {@code
 * workerRegistered} for each entry that is read after {@code begin}.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class WorkerLinks {

    private final SchedulerTermContext context;
    private final SchedulerState state;
    private final WorkersView workers;
    private final LinkOwner owner;
    private final Map<WorkerId, WorkerLink> links = new LinkedHashMap<>();
    private final Set<String> services = new HashSet<>();

    /** The lease clocks of new links; null before the term begins. */
    private LeaseClocks leaseClocks;

    private Roster inherited;

    WorkerLinks(
            SchedulerTermContext context,
            SchedulerState state,
            WorkersView workers,
            LinkOwner owner) {
        this.context = context;
        this.state = state;
        this.workers = workers;
        this.owner = owner;
    }

    /** Adds the registered workers and those that earlier schedulers have stored. */
    void begin(Roster roster) {
        inherited = roster;
        leaseClocks =
                LeaseClocks.of(
                        context.epoch(),
                        context.leaderLease(),
                        context.settings(),
                        context.clock().monotonicMillis());
        workers.registered().stream().filter(this::isInUse).forEach(this::addInherited);
        for (WorkerInfo info : roster.workers()) {
            if (!links.containsKey(info.id())) {
                // No longer registered, but may have runs: it is called, and gets no new runs.
                addInherited(info);
                state.removeWorker(info.id());
            }
        }
    }

    /** Uses the workers of a service from now on. */
    void useService(String service) {
        if (services.add(service) && leaseClocks != null) {
            workers.registered().stream()
                    .filter(info -> info.service().equals(service))
                    .forEach(this::workerRegistered);
        }
    }

    void workerRegistered(WorkerInfo info) {
        if (isInUse(info)) {
            add(info, leaseClocks.ofNewWorker(startedMillis(info)));
            links.get(info.id()).renewIfNeeded();
        }
    }

    void workerUnregistered(WorkerId id) {
        if (links.containsKey(id)) {
            links.get(id).entryRemoved();
        }
    }

    /** Returns the link to a worker that orders are for. */
    WorkerLink link(WorkerId id) {
        return links.get(id);
    }

    void renewIfNeeded() {
        links.values().forEach(WorkerLink::renewIfNeeded);
    }

    void close() {
        links.values().forEach(WorkerLink::close);
    }

    private boolean isInUse(WorkerInfo info) {
        return services.contains(info.service()) || links.containsKey(info.id());
    }

    private void addInherited(WorkerInfo info) {
        add(info, leaseClocks.ofInheritedWorker(startedMillis(info)));
    }

    /** Adds a worker with the given clock, or updates one that has a link. */
    private void add(WorkerInfo info, LeaseClock leaseClock) {
        WorkerLink link = links.get(info.id());
        if (link != null) {
            link.entryRead(info);
            return;
        }
        links.put(info.id(), new WorkerLink(context, state, owner, info, leaseClock));
        owner.entryConfirmed(info, true);
    }

    /** Returns when the incarnation of an entry had started at the latest. */
    private long startedMillis(WorkerInfo info) {
        return inherited.isStoredWithOtherIncarnation(info)
                ? context.clock().monotonicMillis()
                : context.restarts().startedMillis(info.id());
    }
}
