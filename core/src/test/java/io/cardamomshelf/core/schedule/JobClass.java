package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.List;
import java.util.Random;
import java.util.function.ToLongFunction;

/**
 * A class of one-step jobs that {@link LoadSimulation} draws at random.
 *
 * @param queue the policy of the jobs' queue
 * @param arrivalsPerSecond the mean number of jobs that arrive per second
 * @param initialJobs the number of jobs that wait at the start
 * @param meanWidth the mean number of tasks
 * @param maxWidth the largest number of tasks
 * @param cpuMillis thousandths of a core per task
 * @param memoryMb memory per task, in megabytes
 * @param accelerators accelerators per task; each job draws one of these values for all its tasks
 * @param workMillis the mean work of a task, in milliseconds
 * @param gang whether the tasks of a job form a gang
 * @param rackLocalShare the share of jobs that are slowed down when spread over racks
 * @param checkpointingShare the share of jobs that write checkpoints
 * @param estimateSpread the error of the callers' estimates, as the standard deviation of the
 *     logarithm
 * @param lateValue the value of a late job, as a fraction of its value in time
 */
record JobClass(
        QueuePolicy queue,
        double arrivalsPerSecond,
        int initialJobs,
        double meanWidth,
        int maxWidth,
        long cpuMillis,
        long memoryMb,
        List<Integer> accelerators,
        long workMillis,
        boolean gang,
        double rackLocalShare,
        double checkpointingShare,
        double estimateSpread,
        double lateValue) {

    /** The standard deviation of the logarithm of the number of tasks. */
    private static final double WIDTH_SPREAD = 0.8;

    /** The standard deviation of the logarithm of the work of a task. */
    private static final double WORK_SPREAD = 0.3;

    private static final double MIN_WORK_MILLIS = 500;
    private static final double MIN_ESTIMATE_MILLIS = 100;

    String name() {
        return queue.name();
    }

    long drawWorkMillis(Random random) {
        return (long) Math.max(MIN_WORK_MILLIS, drawLogNormal(random, workMillis, WORK_SPREAD));
    }

    /** Draws a step; {@code maxGangWidth} gives the width of a gang that fits one rack. */
    StepSpec drawStep(Random random, long taskMillis, ToLongFunction<Resources> maxGangWidth) {
        long width = Math.round(drawLogNormal(random, meanWidth, WIDTH_SPREAD));
        double estimate = drawLogNormal(random, taskMillis, estimateSpread);
        int drawnAccelerators = accelerators.get(random.nextInt(accelerators.size()));
        Resources demand = Resources.of(cpuMillis, memoryMb, drawnAccelerators);
        long widest = gang ? Math.min(maxWidth, maxGangWidth.applyAsLong(demand)) : maxWidth;
        return new StepSpec(
                (int) Math.max(1, Math.min(widest, width)),
                demand,
                (long) Math.max(MIN_ESTIMATE_MILLIS, estimate),
                List.of(),
                random.nextDouble() < checkpointingShare,
                gang,
                random.nextDouble() < rackLocalShare,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    /** Draws from a log-normal distribution with the given mean. */
    private static double drawLogNormal(Random random, double mean, double spread) {
        return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }
}
