package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Learns the persistent speed of each worker from the progress of its runs.
 *
 * <p>A run is one sample: its average speed compared with other runs of the same step, whose
 * workers' known speeds are factored out. Gangs are left out, as their members progress at the same
 * speed. As the work of the tasks of a step differs, speeds count only while the means of the
 * workers differ by more than the spread of the samples of one worker explains (an F-test). Then
 * the estimate for each worker is its mean, reduced towards 0 the fewer samples it has, in steps of
 * a speed class.
 *
 * <p>Limits: belongs to an incarnation of a worker. A straggler's speed is discarded. Samples lose
 * half of their weight in a minute. Not thread-safe: used only on the instance's event loop.
 */
final class WorkerSpeeds implements HostCost {

    /** The fewest workers with samples from which differences count. */
    static final int MIN_WORKERS = 6;

    /** The interval between updates, in milliseconds, that of workers' lists. */
    private static final long UPDATE_INTERVAL_MILLIS = 1_000;

    /** How long a step is kept after the last measurement of a run, in milliseconds. */
    private static final long STEP_RETENTION_MILLIS = 10_000;

    /**
     * A larger logarithm of the relative speed is a temporary fault, or a task of unusual work, and
     * is ignored. Persistent differences of 0.25 and work that differs by 30% stay below it.
     */
    private static final double MAX_DEVIATION = 0.5;

    /** The smallest standard deviation assumed for a sample: the error of listed progress. */
    private static final double MIN_DEVIATION = 0.03;

    /**
     * By how many standard deviations the F statistic must exceed 1. With 5, equal workers aren't
     * mistaken for different ones in days of updates.
     */
    private static final double SIGNIFICANCE = 5;

    /** The fewest degrees of freedom from which the deviation of a sample is known. */
    private static final double MIN_DEGREES_OF_FREEDOM = 6;

    /** The weight of a worker's samples below which they are discarded. */
    private static final double MIN_RETAINED_WEIGHT = 0.2;

    /** The weight of a worker's samples from which its speed counts. */
    private static final double MIN_WEIGHT = 1.2;

    /**
     * The step between speed classes, as a logarithm. Smaller differences are mostly errors of the
     * estimate, and choosing workers by them would scatter work.
     */
    private static final double CLASS_STEP = 0.1;

    private final int minWorkers;
    private final Map<TaskGroup, StepSpeeds> steps = new HashMap<>();
    private final Map<WorkerId, SpeedSamples> samples = new HashMap<>();
    private Map<WorkerId, Double> logSpeeds = Map.of();
    private FleetSpeeds summary = FleetSpeeds.NONE;
    private long updatedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an instance without samples.
     *
     * @param minWorkers the fewest workers with samples from which differences count
     */
    WorkerSpeeds(int minWorkers) {
        this.minWorkers = minWorkers;
    }

    /**
     * Takes samples from completed runs, and from all runs if the interval since the last update
     * has passed.
     */
    void update(
            Collection<WorkerState> workers,
            Collection<Run> completedRuns,
            Set<WorkerId> stragglers,
            long nowMillis) {
        completedRuns.forEach(run -> measure(run, nowMillis));
        if (nowMillis - updatedMillis < UPDATE_INTERVAL_MILLIS) {
            return;
        }
        updatedMillis = nowMillis;
        discardOutdated(workers, nowMillis);
        for (WorkerState worker : workers) {
            boolean straggling = stragglers.contains(worker.id());
            if (straggling) {
                samples.remove(worker.id());
            }
            for (Run run : worker.runs()) {
                if (straggling) {
                    run.progress.discardAverage();
                } else {
                    measure(run, nowMillis);
                }
            }
        }
        steps.values()
                .forEach(
                        step ->
                                step.compareDue(
                                        nowMillis,
                                        worker -> logSpeed(worker.id()),
                                        (worker, sample) -> add(worker, sample, nowMillis)));
        estimate();
    }

    /** The known speed of a worker relative to the mean of the fleet, 1 if it isn't known. */
    double speed(WorkerId worker) {
        return Math.exp(logSpeed(worker));
    }

    FleetSpeeds summary() {
        return summary;
    }

    @Override
    public double extraTimeShare(TaskGroup group, WorkerState worker) {
        return extraTimeShare(worker);
    }

    /** The additional run time of any task on a worker, as a share of its run time. */
    double extraTimeShare(WorkerState worker) {
        if (logSpeeds.isEmpty()) {
            return 0;
        }
        return Math.expm1(-logSpeed(worker.id()));
    }

    private double logSpeed(WorkerId worker) {
        return logSpeeds.getOrDefault(worker, 0.0);
    }

    private void measure(Run run, long nowMillis) {
        if (isComparable(run)) {
            run.progress
                    .takeAverageSpeed()
                    .ifPresent(
                            speed ->
                                    steps.computeIfAbsent(run.group, key -> new StepSpeeds())
                                            .add(run.worker, speed, nowMillis));
        }
    }

    /** Runs outside their data's rack are slow for that reason, filling ones for want of cores. */
    private static boolean isComparable(Run run) {
        return !run.isBeingStopped()
                && !run.group.spec().gang()
                && !run.group.spec().longRunning()
                && !run.group.spec().filling()
                && !LocalityPolicy.isNonLocal(run);
    }

    private void add(WorkerState worker, double sample, long nowMillis) {
        if (Math.abs(sample) <= MAX_DEVIATION) {
            long bornMillis = worker.info().bornMillis();
            samples.computeIfAbsent(worker.id(), id -> new SpeedSamples(bornMillis, nowMillis))
                    .add(sample);
        }
    }

    private void discardOutdated(Collection<WorkerState> workers, long nowMillis) {
        Map<WorkerId, Long> incarnations = new HashMap<>();
        workers.forEach(worker -> incarnations.put(worker.id(), worker.info().bornMillis()));
        samples.entrySet()
                .removeIf(
                        entry -> {
                            Long bornMillis = incarnations.get(entry.getKey());
                            return bornMillis == null
                                    || bornMillis != entry.getValue().bornMillis();
                        });
        samples.values().forEach(workerSamples -> workerSamples.decayTo(nowMillis));
        samples.values().removeIf(workerSamples -> workerSamples.weight() < MIN_RETAINED_WEIGHT);
        steps.values().removeIf(step -> nowMillis - step.lastMillis() > STEP_RETENTION_MILLIS);
    }

    /** Estimates the speed of each worker by the means of all workers and the spread of samples. */
    private void estimate() {
        double weight = 0;
        double sum = 0;
        double squaredDeviations = 0;
        double degrees = 0;
        for (SpeedSamples worker : samples.values()) {
            weight += worker.weight();
            sum += worker.sum();
            squaredDeviations += worker.squaredDeviations();
            degrees += worker.degreesOfFreedom();
        }
        int count = samples.size();
        if (count < minWorkers || degrees < MIN_DEGREES_OF_FREEDOM) {
            publish(Map.of());
            return;
        }
        double mean = sum / weight;
        double variance = Math.max(MIN_DEVIATION * MIN_DEVIATION, squaredDeviations / degrees);
        double between = 0;
        for (SpeedSamples worker : samples.values()) {
            between += worker.weight() * (worker.mean() - mean) * (worker.mean() - mean);
        }
        double ratio = between / (count - 1) / variance;
        double ratioDeviation = Math.sqrt(2.0 / (count - 1) + 2.0 / degrees);
        double workerVariance = (ratio - 1) * variance * count / weight;
        boolean different =
                ratio > 1 + SIGNIFICANCE * ratioDeviation
                        && workerVariance >= CLASS_STEP * CLASS_STEP / 4;
        publish(different ? estimates(mean, variance / workerVariance) : Map.of());
    }

    /**
     * The estimates of all workers with enough samples.
     *
     * @param priorWeight the number of samples that say as much as the spread of all workers
     */
    private Map<WorkerId, Double> estimates(double mean, double priorWeight) {
        Map<WorkerId, Double> estimates = new HashMap<>();
        samples.forEach(
                (id, worker) -> {
                    if (worker.weight() >= MIN_WEIGHT) {
                        double share = worker.weight() / (worker.weight() + priorWeight);
                        double estimate = (worker.mean() - mean) * share;
                        estimates.put(id, Math.rint(estimate / CLASS_STEP) * CLASS_STEP);
                    }
                });
        return estimates;
    }

    private void publish(Map<WorkerId, Double> estimates) {
        logSpeeds = estimates;
        double lowest = 0;
        double highest = 0;
        Set<WorkerId> slow = new HashSet<>();
        Set<WorkerId> fast = new HashSet<>();
        for (Map.Entry<WorkerId, Double> estimate : estimates.entrySet()) {
            lowest = Math.min(lowest, estimate.getValue());
            highest = Math.max(highest, estimate.getValue());
            if (estimate.getValue() < 0) {
                slow.add(estimate.getKey());
            } else if (estimate.getValue() > 0) {
                fast.add(estimate.getKey());
            }
        }
        summary =
                new FleetSpeeds(estimates.size(), Math.exp(lowest), Math.exp(highest), slow, fast);
    }
}
