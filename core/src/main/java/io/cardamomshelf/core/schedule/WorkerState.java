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
    private static final int MAX_FAILURES = 2;

    /** How long a worker that fails what it starts gets nothing new, in milliseconds. */
    private static final long REST_MILLIS = 8_000;

    /** How long a worker that refused a start gets nothing new, in milliseconds. */
    private static final long REFUSAL_REST_MILLIS = 500;

    private record RunKey(TaskId task, long number) {}

    private final Map<RunKey, Run> runs = new HashMap<>();
    private Resources used = Resources.NONE;
    private WorkerInfo info;
    private boolean listed = true;
    private long lastEnd;
    private int failures;
    private String lastFailedJob = "";
    private long restsUntilMillis = Long.MIN_VALUE;

    /** False until the worker has told its runs to this board. */
    boolean reported;

    /** True once a next scheduler would know that it may have runs. */
    boolean admitted;

    /** True while its calls get no answer. */
    boolean silent;

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
        listed = true;
    }

    void unlist() {
        listed = false;
    }

    boolean isListed() {
        return listed;
    }

    boolean isOpen(long nowMillis) {
        return listed
                && admitted
                && reported
                && !silent
                && !info.draining()
                && nowMillis >= restsUntilMillis;
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

    void plus(Run run) {
        runs.put(new RunKey(run.task, run.number), run);
        used = used.plus(run.group.spec().allocation());
    }

    void minus(Run run) {
        if (runs.remove(new RunKey(run.task, run.number)) != null) {
            used = used.minus(run.group.spec().allocation());
        }
    }

    long lastEnd() {
        return lastEnd;
    }

    boolean isNewEnd(long number) {
        if (number <= lastEnd) {
            return false;
        }
        lastEnd = number;
        return true;
    }

    void beginIncarnation(long bornMillis) {
        info = info.withBornMillis(bornMillis);
        lastEnd = 0;
        failures = 0;
    }

    void plusRefusal(long nowMillis) {
        restsUntilMillis = Math.max(restsUntilMillis, nowMillis + REFUSAL_REST_MILLIS);
    }

    void plusSuccess() {
        failures = 0;
    }

    /** One job that fails again and again says nothing of the worker. */
    void plusFailure(TaskId task, long nowMillis) {
        String job = task.job().value();
        if (job.equals(lastFailedJob)) {
            return;
        }
        lastFailedJob = job;
        failures++;
        if (failures >= MAX_FAILURES) {
            failures = 0;
            restsUntilMillis = nowMillis + REST_MILLIS;
        }
    }
}
