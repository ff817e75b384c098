package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.job.JobSpec;

/**
 * A job of a workload, with what only the workload knows: when it comes and how long it really
 * runs.
 *
 * @param id the job, not null
 * @param spec what is asked, not null
 * @param arrivesMillis when it comes, in milliseconds
 * @param runMillis how long it really runs, in milliseconds
 */
record SimJob(JobId id, JobSpec spec, long arrivesMillis, long runMillis) {

    boolean isLarge() {
        return spec.demand().accelerators() >= Workload.LARGE;
    }
}
