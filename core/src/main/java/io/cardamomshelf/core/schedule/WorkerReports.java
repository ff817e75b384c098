package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.TaskId;
import java.util.List;
import java.util.Set;

/**
 * What the scheduler state knows and needs of the workers' reports of their runs.
 *
 * <p>Use: after {@link SchedulerState#updateRuns}, {@code takeNewEnds} returns the ends of runs
 * that are to be acknowledged once the resulting progress is stored.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
public final class WorkerReports {

    /**
     * The ends of runs that were received from one incarnation of a worker.
     *
     * @param worker the worker, not null
     * @param bornMillis the incarnation, in milliseconds since 1970
     * @param lastNumber the number of the last end
     */
    public record ReceivedEnds(WorkerId worker, long bornMillis, long lastNumber) {}

    private final WorkerTable workers;

    WorkerReports(WorkerTable workers) {
        this.workers = workers;
    }

    /**
     * Returns whether the runs of all inherited workers are known.
     *
     * @return true once each of them has reported or was lost
     */
    public boolean areComplete() {
        return workers.unreported().isEmpty();
    }

    /**
     * Returns the inherited workers that haven't reported their runs yet.
     *
     * @return their identifiers, never null
     */
    public Set<WorkerId> missing() {
        return Set.copyOf(workers.unreported());
    }

    /**
     * Requires a new report of a worker's runs, as it seems to have restarted. It gets no starts
     * before.
     *
     * @param id the worker, not null
     */
    public void require(WorkerId id) {
        workers.find(id).ifPresent(worker -> worker.reported = false);
    }

    /**
     * Begins another incarnation of a worker, which may be born before the current one. Runs that
     * only the current one can have are removed.
     *
     * @param id the worker, not null
     * @param bornMillis when the incarnation started, in milliseconds since 1970
     */
    public void beginIncarnation(WorkerId id, long bornMillis) {
        workers.find(id).ifPresent(worker -> workers.beginIncarnation(worker, bornMillis));
    }

    /**
     * Returns the ends of runs that were received since the last call.
     *
     * @return the ends by worker, never null; only workers with new ones
     */
    public List<ReceivedEnds> takeNewEnds() {
        return workers.all().stream()
                .filter(WorkerState::takeNewEnds)
                .map(
                        worker ->
                                new ReceivedEnds(
                                        worker.id(),
                                        worker.info().bornMillis(),
                                        worker.lastEndNumber()))
                .toList();
    }

    /**
     * Returns the number of the last end that was received from a worker's current incarnation.
     *
     * @param id the worker, not null
     * @return the number, 0 if there is none
     */
    public long lastEndNumber(WorkerId id) {
        return workers.find(id).map(WorkerState::lastEndNumber).orElse(0L);
    }

    /**
     * Returns the rack of a worker.
     *
     * @param id the worker, not null
     * @return its rack, empty if the worker isn't known
     */
    public String rackOf(WorkerId id) {
        return workers.find(id).map(worker -> worker.info().rack()).orElse("");
    }

    /**
     * Returns whether a worker has or may have a run of a task that this scheduler knows.
     *
     * @param id the worker, not null
     * @param task the task, not null
     * @return true if such a run is ordered, running or being stopped there
     */
    public boolean hasRunOf(WorkerId id, TaskId task) {
        return workers.find(id)
                .map(worker -> worker.runs().stream().anyMatch(run -> run.task.equals(task)))
                .orElse(false);
    }

    /**
     * Counts the runs that are ordered, running or being stopped, on all workers.
     *
     * @return the number, 0 or more
     */
    public int countRuns() {
        return workers.all().stream().mapToInt(worker -> worker.runs().size()).sum();
    }

    /**
     * Returns whether a worker has to be asked for its lists.
     *
     * @param id the worker, not null
     * @return true if it has runs, or hasn't reported yet
     */
    public boolean needsPolling(WorkerId id) {
        return workers.find(id)
                .map(worker -> !worker.isIdle() || !worker.reported || workers.orphans().hasAny(id))
                .orElse(false);
    }

    /**
     * Returns whether a worker is registered or may have runs.
     *
     * @param id the worker, not null
     * @return false if it is neither
     */
    public boolean isWorkerKnown(WorkerId id) {
        return workers.find(id).isPresent();
    }
}
