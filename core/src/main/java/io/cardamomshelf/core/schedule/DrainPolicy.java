package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which runs to stop on workers that are about to leave.
 *
 * <p>Load it answers: workers that leave with work on them. What can't end there in time goes on
 * elsewhere from what its stop saves, at once; left alone it would end with the worker, and its
 * room and its gang would wait for a lease to lapse.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class DrainPolicy {

    /** Work that isn't saved may gamble on a worker that stays longer, in milliseconds. */
    private static final long UNSAVED_WORK_GRACE_MILLIS = 2_000;

    private final Map<WorkerId, Long> drainEndMillisByWorker = new HashMap<>();

    /** Stops what wouldn't end before its worker leaves; a gang is stopped whole. */
    List<Order> stopOrders(
            Collection<WorkerState> workers, SchedulerState state, ClockReading now) {
        drainEndMillisByWorker.keySet().retainAll(workers.stream().map(WorkerState::id).toList());
        List<Order> orders = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (!worker.info().draining()) {
                drainEndMillisByWorker.remove(worker.id());
                continue;
            }
            long drainEndMillis =
                    drainEndMillisByWorker.computeIfAbsent(
                            worker.id(),
                            id -> now.steadyMillis() + worker.info().remainingMillis());
            for (Run run : worker.runs()) {
                if (run.phase == Run.Phase.RUNNING && willNotEndInTime(run, drainEndMillis, now)) {
                    addStops(run, state, now, orders);
                }
            }
        }
        return orders;
    }

    private static boolean willNotEndInTime(Run run, long drainEndMillis, ClockReading now) {
        long graceMillis = run.group.spec().checkpointing() ? 0 : UNSAVED_WORK_GRACE_MILLIS;
        long runEndMillis = now.steadyMillis() + run.remainingMillis(now.steadyMillis());
        return run.group.spec().longRunning() || runEndMillis > drainEndMillis + graceMillis;
    }

    private static void addStops(
            Run run, SchedulerState state, ClockReading now, List<Order> orders) {
        Collection<Run> members = run.group.spec().gang() ? run.group.runs() : List.of(run);
        members.forEach(
                member ->
                        state.stop(member, Order.StopReason.WORKER_LEAVES, now)
                                .ifPresent(orders::add));
    }
}
