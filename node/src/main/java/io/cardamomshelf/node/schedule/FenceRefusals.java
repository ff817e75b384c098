package io.cardamomshelf.node.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides what refusals of a scheduler's fencing token mean for its term.
 *
 * <p>A worker that has seen a higher token may have it from a successor, or from a service that has
 * nothing to do with this one. Until the term is proven again, no leases are granted. A successor
 * shows in the store, which ends the term at the next append or read. Without the store, several
 * refusals end it; a single worker never does.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class FenceRefusals {

    /** How long the store may take to prove the term, in milliseconds: two heartbeats. */
    private static final long PROOF_TIMEOUT_MILLIS = 1_000;

    /** How many workers have to agree for a term to end without the store. */
    private static final int MIN_REFUSING_WORKERS = 2;

    private final SchedulerTermContext context;
    private final Runnable onDeposed;
    private final Set<WorkerId> refusing = new HashSet<>();
    private boolean checkDue;

    FenceRefusals(SchedulerTermContext context, Runnable onDeposed) {
        this.context = context;
        this.onDeposed = onDeposed;
    }

    void record(WorkerInfo worker) {
        EventLog.of(NodeEvent.TOKEN_REFUSED)
                .with("epoch", context.epoch())
                .with("worker", worker.id())
                .with("bornMillis", worker.bornMillis())
                .write();
        if (context.leaderLease().isProvenSinceRefusal()) {
            refusing.clear();
        }
        refusing.add(worker.id());
        context.leaderLease().recordRefusal(context.clock().now());
        if (!checkDue) {
            checkDue = true;
            context.timers().after(PROOF_TIMEOUT_MILLIS, this::check);
        }
    }

    private void check() {
        checkDue = false;
        boolean isProven = context.leaderLease().isProvenSinceRefusal();
        if (!isProven && refusing.size() >= MIN_REFUSING_WORKERS) {
            onDeposed.run();
        }
    }
}
