package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.job.JobSpec;

/**
 * A simulated job: its specification, and its arrival and actual run times, which schedulers must
 * not read.
 *
 * @param id the job, not null
 * @param spec the specification that schedulers see, not null
 * @param arrivalMillis the time of its arrival, in milliseconds
 * @param runMillis its actual run time, in milliseconds
 */
record SimJob(JobId id, JobSpec spec, long arrivalMillis, long runMillis) {

    boolean isLarge() {
        return spec.demand().accelerators() >= Workload.LARGE_ACCELERATORS;
    }
}
