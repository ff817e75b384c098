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
    private static final long GAMBLE_MILLIS = 2_000;

    private final Map<WorkerId, Long> leavesAtMillis = new HashMap<>();

    /** Stops what wouldn't end before its worker leaves; a gang is stopped whole. */
    List<Order> stops(Collection<WorkerState> workers, SchedulerState board, ClockReading now) {
        leavesAtMillis.keySet().retainAll(workers.stream().map(WorkerState::id).toList());
        List<Order> orders = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (!worker.info().draining()) {
                leavesAtMillis.remove(worker.id());
                continue;
            }
            long leavesAt =
                    leavesAtMillis.computeIfAbsent(
                            worker.id(),
                            any -> now.monotonicMillis() + worker.info().remainingMillis());
            for (Run run : worker.runs()) {
                if (run.phase == Run.Phase.RUNNING && isDoomed(run, leavesAt, now)) {
                    stop(run, board, now, orders);
                }
            }
        }
        return orders;
    }

    private static boolean isDoomed(Run run, long leavesAtMillis, ClockReading now) {
        long spare = run.group.spec().checkpointing() ? 0 : GAMBLE_MILLIS;
        long endsAt = now.monotonicMillis() + run.remainingMillis(now.monotonicMillis());
        return run.group.spec().longRunning() || endsAt > leavesAtMillis + spare;
    }

    private static void stop(Run run, SchedulerState board, ClockReading now, List<Order> orders) {
        Collection<Run> all = run.group.spec().gang() ? run.group.runs() : List.of(run);
        all.forEach(
                member ->
                        board.stop(member, Order.StopReason.WORKER_LEAVES, now)
                                .ifPresent(orders::add));
    }
}
