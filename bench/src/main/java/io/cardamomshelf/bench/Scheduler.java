package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.List;
import java.util.Set;

/** A policy under test: takes jobs, and says at each round which start and which must stop. */
interface Scheduler {

    /**
     * What a round decided.
     *
     * @param started the jobs that start now, not null
     * @param stopped the running jobs that were stopped with a checkpoint and wait again, not null
     */
    record Round(List<JobId> started, List<JobId> stopped) {}

    void submit(SimJob job);

    Round round(long nowMillis);

    void ended(JobId job, long nowMillis);

    void cancel(JobId job);

    /** Takes data centres out; returns the running jobs that must leave them. */
    Set<JobId> out(Set<DataCentreId> sites);

    /** Returns the share of free accelerators that can't serve the next large shape. */
    double fragmentation();
}
