package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.TaskId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A worker in the scheduler state, with the runs that it has or may have. Changed by {@link
 * WorkerTable} and {@link SchedulerState}; rounds only read it.
 */
final class WorkerState {

    /** Consecutive failures, of different jobs, after which a worker is paused. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /** How long a worker gets no starts after it refused one, in milliseconds. */
    private static final long REFUSAL_PAUSE_MILLIS = 500;

    private final Map<RunKey, Run> runs = new HashMap<>();
    private Resources used = Resources.NONE;
    private WorkerInfo info;
    private boolean registered = true;
    private long lastEndNumber;
    private long takenEndNumber;
    private int consecutiveFailures;
    private String lastFailedJob = "";
    private long pausedUntilMillis = Long.MIN_VALUE;
    private final Avoidance avoidance = new Avoidance();

    /** Whether the current incarnation has reported its runs to this scheduler. */
    boolean reported;

    /** Whether a later scheduler would know that the current incarnation may have runs. */
    boolean admitted;

    /** Whether calls to the worker currently get no answer. */
    boolean unresponsive;

    WorkerState(WorkerInfo info) {
        this.info = info;
    }

    WorkerId id() {
        return info.id();
    }

    WorkerInfo info() {
        return info;
    }

    void update(WorkerInfo next) {
        info = next;
        registered = true;
    }

    /** Its stored entry may be dropped from now on, so it has to be admitted again. */
    void markUnregistered() {
        registered = false;
        admitted = false;
    }

    boolean isRegistered() {
        return registered;
    }

    boolean acceptsStarts(long nowMillis) {
        return registered
                && admitted
                && reported
                && !unresponsive
                && !info.draining()
                && nowMillis >= pausedUntilMillis;
    }

    /** Whether runs of several jobs have failed on it lately. */
    Avoidance avoidance() {
        return avoidance;
    }

    Resources free() {
        return info.capacity().minus(used);
    }

    Collection<Run> runs() {
        return List.copyOf(runs.values());
    }

    boolean isIdle() {
        return runs.isEmpty();
    }

    Optional<Run> run(TaskId task, long number) {
        return Optional.ofNullable(runs.get(new RunKey(task, number)));
    }

    void addRun(Run run) {
        runs.put(new RunKey(run.task, run.number), run);
        used = used.plus(run.group.spec().allocation());
    }

    void removeRun(Run run) {
        if (runs.remove(new RunKey(run.task, run.number)) != null) {
            used = used.minus(run.group.spec().allocation());
        }
    }

    long lastEndNumber() {
        return lastEndNumber;
    }

    /** Returns whether an end is new; if so, it becomes the last one. */
    boolean advanceLastEnd(long number) {
        if (number <= lastEndNumber) {
            return false;
        }
        lastEndNumber = number;
        return true;
    }

    /** Returns whether there are ends since the last call, which count as taken from now on. */
    boolean takeNewEnds() {
        boolean hasNewEnds = takenEndNumber < lastEndNumber;
        takenEndNumber = lastEndNumber;
        return hasNewEnds;
    }

    /**
     * Begins a new incarnation. It gets no starts before its entry and its lists were read, as its
     * address, labels and capacity may differ, and it may already have runs.
     */
    void beginIncarnation(long bornMillis) {
        info = info.withBornMillis(bornMillis);
        registered = false;
        reported = false;
        admitted = false;
        lastEndNumber = 0;
        takenEndNumber = 0;
        consecutiveFailures = 0;
    }

    void recordRefusal(long nowMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + REFUSAL_PAUSE_MILLIS);
    }

    void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** Counts a failure, unless the last failure was of the same job, which may be at fault. */
    void recordFailure(TaskId task, long nowMillis) {
        String job = task.job().value();
        if (job.equals(lastFailedJob)) {
            return;
        }
        lastFailedJob = job;
        consecutiveFailures++;
        if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            consecutiveFailures = 0;
            avoidance.begin(nowMillis);
        }
    }
}
