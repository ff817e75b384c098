package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which runs to stop on draining workers.
 *
 * <p>A run that isn't expected to end before its worker shuts down is stopped at once, and
 * continues on another worker from the checkpoint that the stop saves. Otherwise it would be lost
 * with the worker, and its capacity and its gang would be blocked until a lease lapses.
 * Long-running runs have no expected end, so they are always stopped.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
final class DrainPolicy {

    /**
     * How much later than the announced end of the drain a run without checkpoints may end and
     * still isn't stopped, in milliseconds. A stop would lose its work, and the worker may stay
     * longer than it announced.
     */
    private static final long UNSAVED_WORK_GRACE_MILLIS = 2_000;

    private final Map<WorkerId, Long> drainEndMillisByWorker = new HashMap<>();

    /**
     * Stops the runs that aren't expected to end before their worker shuts down, with their gangs.
     */
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
                            id -> now.monotonicMillis() + worker.info().remainingMillis());
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
        long runEndMillis = now.monotonicMillis() + run.remainingMillis(now.monotonicMillis());
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
