package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.StepId;
import io.cardamomshelf.core.task.StepProgress;
import io.cardamomshelf.core.task.StepProgress.Failures;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** The tasks of one step in one occurrence of a job, with their current runs and progress. */
final class TaskGroup {

    /** The index under which a gang's failures and checkpoint are kept, as it has one of each. */
    private static final int GANG_INDEX = 0;

    /** Work that has waited for longer than this multiple of its objective has starved. */
    private static final int STARVED_FACTOR = 2;

    private static final Avoidance NO_AVOIDANCE = new Avoidance();
    private static final long NOT_DELAYED = Long.MIN_VALUE;

    private final LiveJob owner;
    private final int occurrence;
    private final int step;
    private final StepSpec spec;
    private final long readyMillis;
    private final long estimatedLatestStartMillis;
    private final BitSet doneTasks = new BitSet();
    private final Map<Integer, Failures> failures = new HashMap<>();
    private final Map<Integer, String> checkpoints = new HashMap<>();
    private final Map<Integer, Run> runs = new HashMap<>();
    private final Map<WorkerId, Avoidance> avoidances = new HashMap<>();
    private long expectedMillis;
    private String reservedRack = "";
    private long delayedSinceMillis = NOT_DELAYED;

    /** The gang's run whose members have ended as broken, and their number. */
    private long brokenRun;

    private int brokenMembers;

    TaskGroup(LiveJob owner, int occurrence, int step, long readyMillis) {
        this.owner = owner;
        this.occurrence = occurrence;
        this.step = step;
        this.spec = owner.job().request().steps().get(step);
        this.readyMillis = readyMillis;
        this.expectedMillis = spec.estimateMillis();
        this.estimatedLatestStartMillis =
                objectiveStartMillis()
                        + owner.job().objectiveMillis()
                        - owner.job().request().longestChainMillis(step);
    }

    LiveJob owner() {
        return owner;
    }

    int occurrence() {
        return occurrence;
    }

    int step() {
        return step;
    }

    StepSpec spec() {
        return spec;
    }

    /** When its tasks first became ready to start, in milliseconds since 1970. */
    long readyMillis() {
        return readyMillis;
    }

    /** The time from which its job's objective counts, in milliseconds since 1970. */
    long objectiveStartMillis() {
        return owner.job().request().isTimed()
                ? owner.job().request().dueMillis(occurrence)
                : owner.job().acceptedMillis();
    }

    /**
     * The latest start with which its job meets its objective, by the callers' estimates and the
     * expected run time of its own tasks, in milliseconds since 1970.
     */
    long latestStartMillis() {
        long longerMillis = expectedMillis - spec.estimateMillis();
        return estimatedLatestStartMillis
                + (long) ((owner.job().queue().slackFactor() - 1) * longerMillis);
    }

    /** The expected run time of a task, which is the caller's estimate until more is known. */
    long expectedMillis() {
        return expectedMillis;
    }

    void setExpectedMillis(long millis) {
        expectedMillis = millis;
    }

    /** Whether the time that a task takes is known. */
    boolean hasEstimate() {
        return spec.estimateMillis() > 0 && !spec.longRunning();
    }

    /** Whether all of its tasks start at the same time. */
    boolean isPlacedTogether() {
        return spec.gang() || spec.count() == 1;
    }

    /**
     * Whether it has waited for so long that it may be protected from work of equal priority, no
     * longer comes after work that can meet its objective, and no longer waits for its preferred
     * rack.
     */
    boolean hasStarved(ClockReading now) {
        return now.wallMillis() - objectiveStartMillis()
                > STARVED_FACTOR * owner.job().objectiveMillis();
    }

    StepId id() {
        return StepId.of(owner.job().id(), occurrence, step);
    }

    TaskId task(int index) {
        return TaskId.of(owner.job().id(), occurrence, step, index);
    }

    boolean isDone() {
        return doneTasks.cardinality() == spec.count();
    }

    /** The tasks to start; none of a gang while any member of its last run is left. */
    List<Integer> waitingTasks() {
        if (spec.gang() && !runs.isEmpty()) {
            return List.of();
        }
        return IntStream.range(0, spec.count())
                .filter(index -> !doneTasks.get(index) && !runs.containsKey(index))
                .boxed()
                .toList();
    }

    Collection<Run> runs() {
        return List.copyOf(runs.values());
    }

    /** Whether a run that a worker lists can become a current run of the group. */
    boolean isAdoptable(int index, long number) {
        if (index >= spec.count() || doneTasks.get(index) || runs.containsKey(index)) {
            return false;
        }
        return !spec.gang() || runs.values().stream().allMatch(run -> run.number == number);
    }

    /** Records in a round in which tasks wait whether their service is mostly idle. */
    void updateIdleDelay(boolean isMostlyIdle, long nowMillis) {
        if (!isMostlyIdle) {
            delayedSinceMillis = NOT_DELAYED;
        } else if (delayedSinceMillis == NOT_DELAYED) {
            delayedSinceMillis = nowMillis;
        }
    }

    /** For how long no task has started while the service was mostly idle, in milliseconds. */
    long idleDelayMillis(long nowMillis) {
        return delayedSinceMillis == NOT_DELAYED ? 0 : nowMillis - delayedSinceMillis;
    }

    void addRun(Run run) {
        delayedSinceMillis = NOT_DELAYED;
        runs.put(run.task.index(), run);
    }

    void removeRun(Run run) {
        runs.remove(run.task.index(), run);
    }

    /** Whether it is a gang that can't finish, as a member has ended or is being stopped. */
    boolean isBrokenGang() {
        if (!spec.gang() || runs.isEmpty() || isDone()) {
            return false;
        }
        return runs.size() < spec.count() || runs.values().stream().anyMatch(Run::isBeingStopped);
    }

    /** Records that a member of a gang's run ended because another member had ended. */
    void recordBrokenMember(long runNumber) {
        brokenMembers = runNumber == brokenRun ? brokenMembers + 1 : 1;
        brokenRun = runNumber;
    }

    /**
     * Whether a gang's current runs certainly have ended, though their worker hasn't reported it:
     * they are on one worker, and all other members ended because another one had.
     */
    boolean haveRemainingMembersEnded() {
        if (!spec.gang() || runs.isEmpty() || runs.size() + brokenMembers != spec.count()) {
            return false;
        }
        WorkerState worker = runs.values().iterator().next().worker;
        return runs.values().stream()
                .allMatch(
                        run ->
                                run.number == brokenRun
                                        && run.worker == worker
                                        && !run.mayBeOnNewIncarnation());
    }

    String checkpoint(int index) {
        return checkpoints.getOrDefault(progressIndex(index), "");
    }

    /** Stores a checkpoint; returns whether it is new. */
    boolean saveCheckpoint(int index, String checkpoint) {
        return !checkpoint.isEmpty()
                && !doneTasks.get(index)
                && !checkpoint.equals(checkpoints.put(progressIndex(index), checkpoint));
    }

    /**
     * Records how a run ended; returns whether that changes the progress to store. The end of a
     * long-running task never does, as the task is restarted.
     */
    boolean recordEnd(TaskId task, long runNumber, RunEnd end) {
        if (doneTasks.get(task.index())) {
            return false;
        }
        if (end == RunEnd.DONE && !spec.longRunning()) {
            markDone(task.index());
            return true;
        }
        if (end != RunEnd.FAILED || spec.longRunning()) {
            return false;
        }
        int index = progressIndex(task.index());
        Failures before = failures.getOrDefault(index, Failures.NONE);
        Failures after = before.withRun(runNumber);
        failures.put(index, after);
        return !after.equals(before);
    }

    /** Records that a run failed on a worker, even if the worker may not have caused it. */
    void avoidWorker(WorkerId worker, long nowMillis) {
        avoidances.computeIfAbsent(worker, id -> new Avoidance()).begin(nowMillis);
    }

    /**
     * Whether it avoids a worker on which a run failed. Without avoidance, a faulty worker would
     * use up all attempts of a task.
     */
    Avoidance avoidance(WorkerId worker) {
        return avoidances.getOrDefault(worker, NO_AVOIDANCE);
    }

    /** The rack in which capacity was last reserved for it, empty if there is none. */
    String reservedRack() {
        return reservedRack;
    }

    void setReservedRack(String rack) {
        reservedRack = rack;
    }

    boolean hasFailed(int maxAttempts) {
        return failures.values().stream().anyMatch(counted -> counted.count() >= maxAttempts);
    }

    boolean hasProgress() {
        return !doneTasks.isEmpty() || !failures.isEmpty() || !checkpoints.isEmpty();
    }

    StepProgress progress() {
        return new StepProgress(occurrence, step, doneTasks, failures, checkpoints);
    }

    void restore(StepProgress progress) {
        doneTasks.or(progress.done());
        failures.putAll(progress.failures());
        checkpoints.putAll(progress.checkpoints());
    }

    /** Restores a group whose step is done, as a late report names one of its tasks. */
    void restoreAsDone() {
        doneTasks.set(0, spec.count());
    }

    private void markDone(int index) {
        if (spec.gang()) {
            doneTasks.set(0, spec.count());
        } else {
            doneTasks.set(index);
        }
        checkpoints.remove(progressIndex(index));
    }

    private int progressIndex(int index) {
        return spec.gang() ? GANG_INDEX : index;
    }
}
