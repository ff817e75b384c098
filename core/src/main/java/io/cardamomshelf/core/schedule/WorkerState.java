package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.TaskId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What is known of a worker, and what it runs or may run. */
final class WorkerState {

    /** Failures in a row, of different jobs, after which a worker rests. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /** How long a worker that fails what it starts gets nothing new, in milliseconds. */
    private static final long FAILURE_PAUSE_MILLIS = 8_000;

    /** How long a worker that refused a start gets nothing new, in milliseconds. */
    private static final long REFUSAL_PAUSE_MILLIS = 500;

    private record RunKey(TaskId task, long number) {}

    private final Map<RunKey, Run> runs = new HashMap<>();
    private Resources used = Resources.NONE;
    private WorkerInfo info;
    private boolean registered = true;
    private long lastEndNumber;
    private int consecutiveFailures;
    private String lastFailedJob = "";
    private long pausedUntilMillis = Long.MIN_VALUE;

    /** False until the worker has told its runs to this board. */
    boolean reported;

    /** True once a next scheduler would know that it may have runs. */
    boolean admitted;

    /** True while its calls get no answer. */
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

    void markUnregistered() {
        registered = false;
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

    boolean advanceLastEnd(long number) {
        if (number <= lastEndNumber) {
            return false;
        }
        lastEndNumber = number;
        return true;
    }

    void beginIncarnation(long bornMillis) {
        info = info.withBornMillis(bornMillis);
        lastEndNumber = 0;
        consecutiveFailures = 0;
    }

    void recordRefusal(long nowMillis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, nowMillis + REFUSAL_PAUSE_MILLIS);
    }

    void recordSuccess() {
        consecutiveFailures = 0;
    }

    /** One job that fails again and again says nothing of the worker. */
    void recordFailure(TaskId task, long nowMillis) {
        String job = task.job().value();
        if (job.equals(lastFailedJob)) {
            return;
        }
        lastFailedJob = job;
        consecutiveFailures++;
        if (consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            consecutiveFailures = 0;
            pausedUntilMillis = nowMillis + FAILURE_PAUSE_MILLIS;
        }
    }
}
