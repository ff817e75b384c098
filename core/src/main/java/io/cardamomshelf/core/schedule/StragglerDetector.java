package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds workers on which work stands still or goes much slower than elsewhere, by the progress of
 * what runs there.
 *
 * <p>Load it answers: a worker that has turned slow or stalls still registers, answers and takes
 * starts; urgent tasks with little time to spare must not be sent there. What runs there goes on.
 *
 * <p>Limits: it needs something that runs there to judge by; a worker stays under suspicion for a
 * short time after the last evidence. Not thread-safe: belongs to the instance's event loop.
 */
final class StragglerDetector {

    /** How often progress is compared, in milliseconds; longer than a usual renewal. */
    private static final long EVERY_MILLIS = 1_000;

    /** How long a worker stays under suspicion without new evidence, in milliseconds. */
    private static final long SUSPICION_MILLIS = 3_000;

    /** How long all of a worker's runs may show no progress, in milliseconds. */
    private static final long STALL_MILLIS = 2_000;

    /** A run below this share of its step's usual speed is slow. */
    private static final double SLOW = 0.4;

    /** The fewest runs of a step of which a usual speed is taken. */
    private static final int MIN_RUNS = 4;

    /** Where more than one worker in so many lags, the fleet is slow and none is left out. */
    private static final int MOST_SHARE = 3;

    private final Map<WorkerId, Long> suspectedUntil = new HashMap<>();
    private long comparedMillis = Long.MIN_VALUE / 2;
    private Set<WorkerId> lagging = Set.of();

    /** Compares again if it is time to. */
    void update(Collection<WorkerState> workers, long nowMillis) {
        if (nowMillis - comparedMillis < EVERY_MILLIS) {
            return;
        }
        comparedMillis = nowMillis;
        Map<TaskGroup, Double> usual = usualSpeeds(workers, nowMillis);
        for (WorkerState worker : workers) {
            judge(worker, usual, nowMillis);
        }
        suspectedUntil.values().removeIf(until -> until <= nowMillis);
        boolean few = suspectedUntil.size() * MOST_SHARE <= workers.size();
        lagging = few ? Set.copyOf(suspectedUntil.keySet()) : Set.of();
    }

    Set<WorkerId> lagging() {
        return lagging;
    }

    private void judge(WorkerState worker, Map<TaskGroup, Double> usual, long nowMillis) {
        List<Run> running = running(worker);
        if (running.isEmpty() || worker.silent) {
            return;
        }
        boolean stalled =
                running.stream().allMatch(run -> run.progress.isStill(nowMillis, STALL_MILLIS));
        boolean sound = false;
        boolean slow = false;
        for (Run run : running) {
            double speed = run.progress.speed(nowMillis);
            Double typical = usual.get(run.group);
            if (typical != null && speed >= 0) {
                slow |= speed < SLOW * typical;
                sound |= speed >= SLOW * typical;
            }
        }
        if (stalled || slow && !sound) {
            suspectedUntil.put(worker.id(), nowMillis + SUSPICION_MILLIS);
        } else if (sound) {
            suspectedUntil.remove(worker.id());
        }
    }

    /** The median speed of each step that has runs enough; gangs move together and tell nothing. */
    private static Map<TaskGroup, Double> usualSpeeds(
            Collection<WorkerState> workers, long nowMillis) {
        Map<TaskGroup, List<Double>> speeds = new HashMap<>();
        for (WorkerState worker : workers) {
            for (Run run : running(worker)) {
                double speed = run.progress.speed(nowMillis);
                if (speed >= 0 && !run.group.spec().gang()) {
                    speeds.computeIfAbsent(run.group, any -> new ArrayList<>()).add(speed);
                }
            }
        }
        Map<TaskGroup, Double> medians = new HashMap<>();
        speeds.forEach(
                (group, all) -> {
                    if (all.size() >= MIN_RUNS) {
                        all.sort(null);
                        medians.put(group, all.get(all.size() / 2));
                    }
                });
        return medians;
    }

    private static List<Run> running(WorkerState worker) {
        return worker.runs().stream()
                .filter(run -> run.phase == Run.Phase.RUNNING && !run.group.spec().longRunning())
                .toList();
    }
}
