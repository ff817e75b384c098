package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import java.util.OptionalLong;

/** One run of a task on a worker, from its order until its end is known. */
final class Run {

    /** The phase of a run. */
    enum Phase {
        /** Its start was ordered and isn't confirmed. */
        ORDERED,
        /** The worker has the run. */
        RUNNING,
        /** Its stop was ordered and isn't answered yet. */
        STOPPING,
        /** Its stop was answered; its end isn't listed yet. */
        STOPPED
    }

    /** How many cores an accelerator counts as when lost work is compared. */
    private static final long ACCELERATOR_CORES = 8;

    /**
     * How long capacity is idle during a stop and the restart from a checkpoint, in milliseconds.
     */
    private static final long RESTART_MILLIS = 1_000;

    /** Milliseconds in a second, and thousandths of a core in a core. */
    private static final long MILLIS_PER_UNIT = 1_000;

    /** The progress of a run that has completed its task. */
    static final int COMPLETE_PERCENT = 100;

    private static final long NEVER = Long.MIN_VALUE;

    final TaskId task;
    final long number;
    final WorkerState worker;
    final TaskGroup group;
    final long orderedMillis;
    final RunProgress progress = new RunProgress();
    Phase phase = Phase.ORDERED;

    /**
     * When the last order was answered, on the monotonic clock. If a list that was requested later
     * lacks the run, the run no longer exists.
     */
    long answeredMillis = NEVER;

    /** Whether its start got no answer; such a run is stopped, as it may exist or not. */
    boolean startUnanswered;

    /** Whether its worker has listed it. */
    boolean listed;

    /** The measurement that its worker last listed, see {@link WorkerLists.Running}. */
    OptionalLong measurement = OptionalLong.empty();

    /** Whether it ended outside its preferred rack, where the platform slows work down. */
    boolean endedNonLocal;

    /**
     * When an attempt at its start last got no answer, on the monotonic clock. The worker may
     * receive such an attempt late.
     */
    private long unansweredMillis = NEVER;

    Run(TaskId task, long number, WorkerState worker, TaskGroup group, long nowMillis) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.group = group;
        this.orderedMillis = nowMillis;
    }

    boolean isAnsweredBefore(long millis) {
        return answeredMillis != NEVER && answeredMillis < millis;
    }

    /**
     * Whether a new incarnation of its worker may have the run or may still receive its start. An
     * answer to a start doesn't tell the incarnation that gave it; a list does.
     */
    boolean mayBeOnNewIncarnation() {
        return !listed || wasUnanswered();
    }

    /** Records that an attempt at its start got no answer. */
    void markUnanswered(long nowMillis) {
        unansweredMillis = nowMillis;
    }

    boolean wasUnanswered() {
        return startUnanswered || unansweredMillis != NEVER;
    }

    /** Whether an attempt at its start that got no answer may still be carried out. */
    boolean mayStillStart(long nowMillis) {
        return unansweredMillis != NEVER
                && nowMillis - unansweredMillis <= LeaseClock.MAX_CALL_DELAY_MILLIS;
    }

    /** When an attempt at its start last got no answer. */
    long unansweredMillis() {
        return unansweredMillis;
    }

    /** Whether an attempt at its start got no answer at this time or later. */
    boolean isUnansweredSince(long millis) {
        return unansweredMillis >= millis;
    }

    /**
     * Continues on a new incarnation of its worker. An unanswered start may reach that one too, so
     * it has to be stopped there again.
     */
    void beginIncarnation() {
        if (wasUnanswered()) {
            startUnanswered = true;
            phase = phase == Phase.STOPPED ? Phase.ORDERED : phase;
            answeredMillis = NEVER;
        }
    }

    boolean isBeingStopped() {
        return phase == Phase.STOPPING || phase == Phase.STOPPED;
    }

    /**
     * The expected time to its end, from its progress or its estimate, in milliseconds. Learnt run
     * times aren't used: with them, more jobs of each class were late in {@code
     * UnequalWorkersTest}.
     */
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

    /** The work that a stop now would lose, in core-milliseconds; 0 if checkpoints are saved. */
    long lostWork(long nowMillis) {
        if (isBeingStopped() || group.spec().checkpointing()) {
            return 0;
        }
        return coreEquivalents(group.spec()) * Math.max(0, nowMillis - orderedMillis);
    }

    /**
     * Whether its job can still meet its objective if the run is stopped now. Allows for estimates
     * that are too low by half.
     */
    boolean hasTimeToRestart(ClockReading now) {
        long restartMillis = RESTART_MILLIS + group.spec().estimateMillis() / 2;
        return group.hasEstimate() && now.wallMillis() + restartMillis <= group.latestStartMillis();
    }

    /** The cost of a stop now, in core-milliseconds: the lost work and the restart. */
    long stopCost(long nowMillis) {
        return isBeingStopped()
                ? 0
                : lostWork(nowMillis) + coreEquivalents(group.spec()) * RESTART_MILLIS;
    }

    /** The cores that a task uses, with its accelerators converted to cores. */
    static long coreEquivalents(StepSpec spec) {
        return spec.demand().cpuMillis() / MILLIS_PER_UNIT
                + ACCELERATOR_CORES * spec.demand().accelerators();
    }
}
