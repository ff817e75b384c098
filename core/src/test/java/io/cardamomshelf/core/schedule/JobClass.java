package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import java.util.List;
import java.util.Random;

/**
 * Jobs of one kind, each of one step, as {@link LoadSimulation} draws them.
 *
 * @param queue the policy of their queue
 * @param perSecond how many arrive
 * @param atStart how many wait from the start
 * @param meanWidth the mean number of tasks
 * @param maxWidth the largest number of tasks
 * @param cpuMillis thousandths of a core a task
 * @param memoryMb megabytes a task
 * @param accelerators accelerators a task, one of these for all tasks of a job
 * @param workMillis the mean work of a task
 * @param gang whether the tasks work only together
 * @param rackLocalShare the share of jobs that are slowed down when spread over racks
 * @param savingShare the share of jobs that save their progress
 * @param estimateSpread by how much callers misjudge the work, as a logarithm's deviation
 * @param lateWorth what a late job is worth of one in time
 */
record JobClass(
        QueuePolicy queue,
        double perSecond,
        int atStart,
        double meanWidth,
        int maxWidth,
        long cpuMillis,
        long memoryMb,
        List<Integer> accelerators,
        long workMillis,
        boolean gang,
        double rackLocalShare,
        double savingShare,
        double estimateSpread,
        double lateWorth) {

    private static final double WIDTH_SPREAD = 0.8;
    private static final double WORK_SPREAD = 0.3;
    private static final double MIN_WORK_MILLIS = 500;
    private static final double MIN_ESTIMATE_MILLIS = 100;

    String name() {
        return queue.name();
    }

    long drawWork(Random random) {
        return (long) Math.max(MIN_WORK_MILLIS, skewed(random, workMillis, WORK_SPREAD));
    }

    StepSpec drawStep(Random random, long work) {
        long width = Math.round(skewed(random, meanWidth, WIDTH_SPREAD));
        double estimate = skewed(random, work, estimateSpread);
        return new StepSpec(
                (int) Math.max(1, Math.min(maxWidth, width)),
                Resources.of(
                        cpuMillis, memoryMb, accelerators.get(random.nextInt(accelerators.size()))),
                (long) Math.max(MIN_ESTIMATE_MILLIS, estimate),
                List.of(),
                random.nextDouble() < savingShare,
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

    /** Draws from a logarithmic normal distribution of the given mean. */
    private static double skewed(Random random, double mean, double spread) {
        return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }
}
