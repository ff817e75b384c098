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

/** The tasks of one step in one occurrence, with their current runs and what has ended. */
final class TaskGroup {

    /** A gang counts its failures and keeps its saved progress as one. */
    private static final int WHOLE_GANG = 0;

    /** Work that waits so often its objective has starved. */
    private static final int STARVED_FACTOR = 2;

    /** How long a worker on which a task failed gets no task of its step, in milliseconds. */
    private static final long AVOID_MILLIS = 8_000;

    private final LiveJob owner;
    private final int occurrence;
    private final int step;
    private final StepSpec spec;
    private final long readyMillis;
    private final BitSet done = new BitSet();
    private final Map<Integer, Failures> failures = new HashMap<>();
    private final Map<Integer, String> checkpoints = new HashMap<>();
    private final Map<Integer, Run> runs = new HashMap<>();
    private final Map<WorkerId, Long> failedOn = new HashMap<>();
    private String reservedRack = "";

    TaskGroup(LiveJob owner, int occurrence, int step, long readyMillis) {
        this.owner = owner;
        this.occurrence = occurrence;
        this.step = step;
        this.spec = owner.job().request().steps().get(step);
        this.readyMillis = readyMillis;
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

    /** When its tasks could first start, on the wall clock. */
    long readyMillis() {
        return readyMillis;
    }

    /** What its job's objective counts from, in milliseconds since 1970. */
    long sinceMillis() {
        return owner.job().request().isTimed()
                ? owner.job().request().dueMillis(occurrence)
                : owner.job().acceptedMillis();
    }

    /** Whether it has waited for so long that it comes before its equals and takes any room. */
    boolean hasStarved(ClockReading now) {
        return now.wallMillis() - sinceMillis() > STARVED_FACTOR * owner.job().objectiveMillis();
    }

    StepId id() {
        return StepId.of(owner.job().id(), occurrence, step);
    }

    TaskId task(int index) {
        return TaskId.of(owner.job().id(), occurrence, step, index);
    }

    boolean isDone() {
        return done.cardinality() == spec.count();
    }

    /** The tasks to start; a gang waits until nothing of its last run is left. */
    List<Integer> waiting() {
        if (spec.gang() && !runs.isEmpty()) {
            return List.of();
        }
        return IntStream.range(0, spec.count())
                .filter(index -> !done.get(index) && !runs.containsKey(index))
                .boxed()
                .toList();
    }

    Collection<Run> runs() {
        return List.copyOf(runs.values());
    }

    /** Whether a run found on a worker can be a current one. */
    boolean isAdoptable(int index, long number) {
        if (index >= spec.count() || done.get(index) || runs.containsKey(index)) {
            return false;
        }
        return !spec.gang() || runs.values().stream().allMatch(run -> run.number == number);
    }

    void plus(Run run) {
        runs.put(run.task.index(), run);
    }

    void minus(Run run) {
        runs.remove(run.task.index(), run);
    }

    /** A gang of which a member has gone or is leaving can't finish, and is stopped whole. */
    boolean isBroken() {
        if (!spec.gang() || runs.isEmpty() || isDone()) {
            return false;
        }
        return runs.size() < spec.count() || runs.values().stream().anyMatch(Run::isLeaving);
    }

    String checkpoint(int index) {
        return checkpoints.getOrDefault(slot(index), "");
    }

    /** Keeps saved progress; returns whether it is new. */
    boolean save(int index, String checkpoint) {
        return !checkpoint.isEmpty()
                && !done.get(index)
                && !checkpoint.equals(checkpoints.put(slot(index), checkpoint));
    }

    /** Counts how a run ended; returns whether that changes what is to be stored. */
    boolean plusEnd(TaskId task, long run, RunEnd end) {
        if (done.get(task.index())) {
            return false;
        }
        if (end == RunEnd.DONE && !spec.longRunning()) {
            markDone(task.index());
            return true;
        }
        if (end != RunEnd.FAILED || spec.longRunning()) {
            return false;
        }
        int slot = slot(task.index());
        Failures before = failures.getOrDefault(slot, Failures.NONE);
        Failures after = before.withRun(run);
        failures.put(slot, after);
        return !after.equals(before);
    }

    /** Notes that a run failed on a worker, through its own fault or the worker's. */
    void avoid(WorkerId worker, long nowMillis) {
        failedOn.put(worker, nowMillis);
    }

    /** Whether another worker is to be preferred, as one that fails all would use up attempts. */
    boolean isAvoiding(WorkerId worker, long nowMillis) {
        Long failed = failedOn.get(worker);
        return failed != null && nowMillis - failed < AVOID_MILLIS;
    }

    /** The rack in which room was kept for it in the last round, empty if there is none. */
    String reservedRack() {
        return reservedRack;
    }

    void reserveRack(String rack) {
        reservedRack = rack;
    }

    boolean hasFailed(int maxAttempts) {
        return failures.values().stream().anyMatch(count -> count.count() >= maxAttempts);
    }

    boolean isTouched() {
        return !done.isEmpty() || !failures.isEmpty() || !checkpoints.isEmpty();
    }

    StepProgress progress() {
        return new StepProgress(occurrence, step, done, failures, checkpoints);
    }

    void restore(StepProgress progress) {
        done.or(progress.done());
        failures.putAll(progress.failures());
        checkpoints.putAll(progress.checkpoints());
    }

    private void markDone(int index) {
        if (spec.gang()) {
            done.set(0, spec.count());
        } else {
            done.set(index);
        }
        checkpoints.remove(slot(index));
    }

    private int slot(int index) {
        return spec.gang() ? WHOLE_GANG : index;
    }
}
