package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.WorkerId;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * What a scheduler has learnt about workers from the runs there. None of it is stored: a new
 * scheduler learns it again, and decides without it until then.
 *
 * <p>Use: {@code SchedulerState.observations()} after a round.
 *
 * <p>Not thread-safe: used only on the instance's event loop.
 */
public final class FleetObservations {

    private final StragglerDetector stragglerDetector = new StragglerDetector();
    private final FlapDetector flapDetector = new FlapDetector();
    private final Interference interference = new Interference();
    private final WorkerSpeeds workerSpeeds;
    private final RunTimeModel runTimeModel;

    FleetObservations() {
        this(new WorkerSpeeds(WorkerSpeeds.MIN_WORKERS), new RunTimeModel(RunTimeModel.MAX_SHAPES));
    }

    FleetObservations(WorkerSpeeds workerSpeeds, RunTimeModel runTimeModel) {
        this.workerSpeeds = workerSpeeds;
        this.runTimeModel = runTimeModel;
    }

    /**
     * Updates what follows from the progress of the current runs; called before each round.
     *
     * @param completedRuns the runs that have completed their task since the last call
     */
    void update(
            Collection<WorkerState> workers,
            Collection<LiveJob> jobs,
            Collection<Run> completedRuns,
            ClockReading now) {
        stragglerDetector.update(workers, now.monotonicMillis());
        flapDetector.update(workers, now.monotonicMillis());
        interference.update(workers, stragglers(), now.monotonicMillis());
        workerSpeeds.update(workers, completedRuns, stragglers(), now.monotonicMillis());
        runTimeModel.update(jobs, completedRuns, now.monotonicMillis());
    }

    /**
     * Returns the persistent speeds of workers.
     *
     * @return the known speeds, never null
     */
    public FleetSpeeds speeds() {
        return workerSpeeds.summary();
    }

    /**
     * Returns the errors of callers' estimates of run times, once each.
     *
     * @return those of the jobs that have ended since the last call, never null
     */
    public List<EstimationError> takeEstimationErrors() {
        return runTimeModel.takeErrors();
    }

    Set<WorkerId> stragglers() {
        return stragglerDetector.stragglers();
    }

    FlapDetector flapDetector() {
        return flapDetector;
    }

    WorkerSpeeds workerSpeeds() {
        return workerSpeeds;
    }

    /** The cost of placing tasks on workers, by what was learnt about both. */
    HostCost hostCost() {
        return HostCost.sumOf(
                interference.hasKnownPairs()
                        ? List.of(workerSpeeds, interference)
                        : List.of(workerSpeeds));
    }

    /** Records a start before its run is added to the worker. */
    void recordStart(TaskGroup group, WorkerState worker) {
        interference.recordStart(group, worker);
    }

    /**
     * Returns how many pairs of kinds of tasks are known to interfere with each other.
     *
     * @return the number of pairs, 0 or more
     */
    public int interferingPairs() {
        return interference.interferingPairs();
    }

    /**
     * Returns how many starts avoided a worker with interference that had room.
     *
     * @return the number of tasks that were started, 0 or more
     */
    public long startsAvoidingInterference() {
        return interference.avoidingStarts();
    }

    /**
     * Returns the pairs that became known to interfere with each other since the last call.
     *
     * @return the pairs with their figures, never null
     */
    public List<InterferingPair> takeNewInterferingPairs() {
        return interference.takeNewPairs();
    }
}
