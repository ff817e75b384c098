package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Detects stragglers: workers on which runs have stalled or are much slower than elsewhere.
 *
 * <p>A worker that has become slow or has stalled still registers, answers and accepts starts, but
 * urgent tasks with little time to spare must not be placed there. Stragglers get no starts; their
 * present runs continue.
 *
 * <p>Limits: a worker without runs can't be compared, so it stays suspected only for a short time
 * after the last evidence. Not thread-safe: used only on the instance's event loop.
 */
final class StragglerDetector {

    /** The interval between comparisons, in milliseconds; longer than a usual renewal interval. */
    private static final long COMPARISON_INTERVAL_MILLIS = 1_000;

    /** How long a worker stays suspected without new evidence, in milliseconds. */
    private static final long SUSPICION_MILLIS = 3_000;

    /** How long all runs of a worker may show no progress, in milliseconds. */
    private static final long STALL_MILLIS = 2_000;

    /** A run below this share of the median speed of its step is slow. */
    private static final double SLOW_SHARE = 0.4;

    /** The fewest runs of a step from which a median speed is computed. */
    private static final int MIN_RUNS = 4;

    /** If more than one in this many workers is suspected, the fleet is slow; none is excluded. */
    private static final int MIN_WORKERS_PER_SUSPECT = 3;

    private final Map<WorkerId, Long> suspectedUntilMillis = new HashMap<>();
    private long lastComparisonMillis = Long.MIN_VALUE / 2;
    private Set<WorkerId> stragglers = Set.of();

    /** Compares the progress of all runs, if the interval since the last comparison has passed. */
    void update(Collection<WorkerState> workers, long nowMillis) {
        if (nowMillis - lastComparisonMillis < COMPARISON_INTERVAL_MILLIS) {
            return;
        }
        lastComparisonMillis = nowMillis;
        Map<TaskGroup, Double> medianSpeeds = medianSpeeds(workers, nowMillis);
        for (WorkerState worker : workers) {
            updateSuspicion(worker, medianSpeeds, nowMillis);
        }
        suspectedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        boolean fewSuspects =
                suspectedUntilMillis.size() * MIN_WORKERS_PER_SUSPECT <= workers.size();
        stragglers = fewSuspects ? Set.copyOf(suspectedUntilMillis.keySet()) : Set.of();
    }

    Set<WorkerId> stragglers() {
        return stragglers;
    }

    private void updateSuspicion(
            WorkerState worker, Map<TaskGroup, Double> medianSpeeds, long nowMillis) {
        List<Run> runs = comparableRuns(worker);
        if (runs.isEmpty() || worker.unresponsive) {
            return;
        }
        boolean stalled =
                runs.stream().allMatch(run -> run.progress.hasStalled(nowMillis, STALL_MILLIS));
        boolean normal = false;
        boolean slow = false;
        for (Run run : runs) {
            double speed = run.progress.percentPerSecond(nowMillis);
            Double median = medianSpeeds.get(run.group);
            if (median != null && speed >= 0) {
                slow |= speed < SLOW_SHARE * median;
                normal |= speed >= SLOW_SHARE * median;
            }
        }
        if (stalled || slow && !normal) {
            suspectedUntilMillis.put(worker.id(), nowMillis + SUSPICION_MILLIS);
        } else if (normal) {
            suspectedUntilMillis.remove(worker.id());
        }
    }

    /**
     * The median speed of each step with enough runs; gangs are left out, as their members progress
     * at the same speed.
     */
    private static Map<TaskGroup, Double> medianSpeeds(
            Collection<WorkerState> workers, long nowMillis) {
        Map<TaskGroup, List<Double>> speeds = new HashMap<>();
        for (WorkerState worker : workers) {
            for (Run run : comparableRuns(worker)) {
                double speed = run.progress.percentPerSecond(nowMillis);
                if (speed >= 0 && !run.group.spec().gang()) {
                    speeds.computeIfAbsent(run.group, group -> new ArrayList<>()).add(speed);
                }
            }
        }
        Map<TaskGroup, Double> medians = new HashMap<>();
        speeds.forEach(
                (group, groupSpeeds) -> {
                    if (groupSpeeds.size() >= MIN_RUNS) {
                        groupSpeeds.sort(null);
                        medians.put(group, groupSpeeds.get(groupSpeeds.size() / 2));
                    }
                });
        return medians;
    }

    private static List<Run> comparableRuns(WorkerState worker) {
        return worker.runs().stream()
                .filter(run -> run.phase == Run.Phase.RUNNING && !run.group.spec().longRunning())
                .toList();
    }
}
