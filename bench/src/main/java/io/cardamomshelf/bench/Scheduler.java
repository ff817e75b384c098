package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.List;
import java.util.Set;

/**
 * A scheduling policy under test. {@link Simulation} submits jobs to it, and in each round it
 * decides which jobs start and which running jobs stop.
 */
interface Scheduler {

    /**
     * The decisions of one round.
     *
     * @param started the jobs that start now, not null
     * @param stopped the running jobs that stop with a checkpoint and wait again, not null
     */
    record Round(List<JobId> started, List<JobId> stopped) {}

    void submit(SimJob job);

    Round runRound(long nowMillis);

    void jobEnded(JobId job, long nowMillis);

    void cancel(JobId job);

    /**
     * Replaces the set of withdrawn data centres; the empty set restores all. Returns the jobs that
     * were running in them, which have stopped and wait again.
     */
    Set<JobId> setWithdrawn(Set<DataCentreId> dataCentres);

    /** Returns the share of free accelerators that cannot form blocks for large jobs, 0 to 1. */
    double fragmentation();
}
