package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;

/** One run of a task on a worker, from its order until its end is known. */
final class Run {

    /** Where the run stands. */
    enum Phase {
        /** Its start was ordered and isn't settled. */
        ORDERED,
        /** The worker has it. */
        RUNNING,
        /** Its stop was ordered and isn't answered. */
        STOPPING,
        /** Its stop was answered; its end is still to be listed. */
        STOPPED
    }

    /** How many cores an accelerator counts as when lost work is compared. */
    private static final long ACCELERATOR_CORES = 8;

    /** The time for which room stands idle at a stop and a restoring start, in milliseconds. */
    private static final long RESTART_MILLIS = 1_000;

    private static final long MILLIS_PER_UNIT = 1_000;
    private static final int COMPLETE_PERCENT = 100;
    private static final long NOT_ANSWERED = Long.MIN_VALUE;

    final TaskId task;
    final long number;
    final WorkerState worker;
    final TaskGroup group;
    final long orderedMillis;
    final RunProgress progress = new RunProgress();
    Phase phase = Phase.ORDERED;

    /** When the last order was answered; a list asked for later shows the run or it isn't there. */
    long answeredMillis = NOT_ANSWERED;

    /** True once its start got no answer, so that it is stopped rather than trusted. */
    boolean startUnanswered;

    Run(TaskId task, long number, WorkerState worker, TaskGroup group, long nowMillis) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.group = group;
        this.orderedMillis = nowMillis;
    }

    boolean isAnsweredBefore(long millis) {
        return answeredMillis != NOT_ANSWERED && answeredMillis < millis;
    }

    boolean isBeingStopped() {
        return phase == Phase.STOPPING || phase == Phase.STOPPED;
    }

    /** How much longer it is likely to run, in milliseconds, by its progress or its estimate. */
    long remainingMillis(long nowMillis) {
        int percent = progress.percent();
        double speed = progress.percentPerSecond(nowMillis);
        if (speed > 0) {
            return (long) (MILLIS_PER_UNIT * (COMPLETE_PERCENT - percent) / speed);
        }
        long elapsedMillis = Math.max(0, nowMillis - orderedMillis);
        return percent > 0
                ? group.spec().estimateMillis() * (COMPLETE_PERCENT - percent) / COMPLETE_PERCENT
                : Math.max(0, group.spec().estimateMillis() - elapsedMillis);
    }

    /** Work that a stop now throws away, in core-milliseconds; saved work isn't lost. */
    long lostWork(long nowMillis) {
        if (isBeingStopped() || group.spec().checkpointing()) {
            return 0;
        }
        return coreEquivalents(group.spec()) * Math.max(0, nowMillis - orderedMillis);
    }

    /** What a stop now costs, in core-milliseconds: the lost work, and the restart. */
    long stopCost(long nowMillis) {
        return isBeingStopped()
                ? 0
                : lostWork(nowMillis) + coreEquivalents(group.spec()) * RESTART_MILLIS;
    }

    /** The cores that a task takes, with its accelerators counted as cores. */
    static long coreEquivalents(StepSpec spec) {
        return spec.demand().cpuMillis() / MILLIS_PER_UNIT
                + ACCELERATOR_CORES * spec.demand().accelerators();
    }
}
