package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Edit;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.config.Guarantee;
import io.cardamomshelf.core.config.Plan;
import io.cardamomshelf.core.fleet.Adjacency;
import io.cardamomshelf.core.fleet.Demand;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.job.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

/**
 * Creates the fleets and configurations of the benchmarks, and random jobs from a seed. Jobs arrive
 * in bursts, and their declared run times are wrong by a factor of up to ten.
 *
 * <p>Use: {@code new Workload(seed).jobs(hours, load, accelerators, organisations)}.
 */
final class Workload {

    /** The number of accelerators from which a job counts as large. */
    static final int LARGE_ACCELERATORS = 16;

    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final int WORKERS_PER_RACK = 8;
    private static final int ACCELERATORS_PER_WORKER = 8;
    private static final int CORES_PER_WORKER = 130;
    private static final int MEMORY_MB_PER_WORKER = 500_000;
    private static final int QUOTA = 1_000_000;
    private static final double MAX_ESTIMATE_FACTOR = 10;
    private static final int[] SMALL_JOB_SIZES = {1, 1, 1, 2, 2, 3, 4, 4, 8};
    private static final int[] LARGE_JOB_SIZES = {16, 16, 24, 32};
    private static final double LARGE_JOB_SHARE = 0.12;
    private static final int MAX_JOBS_PER_BURST = 12;

    private final Random random;

    Workload(long seed) {
        random = new Random(seed);
    }

    /** Returns workers of 8 accelerators, 8 to a rack, in data centres of the given sizes. */
    static List<Worker> workers(int... workersPerDataCentre) {
        List<Worker> workers = new ArrayList<>();
        for (int dataCentre = 0; dataCentre < workersPerDataCentre.length; dataCentre++) {
            for (int index = 0; index < workersPerDataCentre[dataCentre]; index++) {
                workers.add(
                        new Worker(
                                WorkerId.of("w-" + dataCentre + "-" + index),
                                dataCentre(dataCentre),
                                "r-" + dataCentre + "-" + index / WORKERS_PER_RACK,
                                ACCELERATORS_PER_WORKER,
                                CORES_PER_WORKER,
                                MEMORY_MB_PER_WORKER));
            }
        }
        return workers;
    }

    static DataCentreId dataCentre(int index) {
        return DataCentreId.of("site-" + index);
    }

    static OrganisationId organisation(int index) {
        return OrganisationId.of("team-" + index);
    }

    /**
     * Returns a configuration whose organisations may use all data centres; the first one has a
     * guarantee.
     */
    static ConfigState configuration(int organisations, int dataCentres) {
        Set<DataCentreId> allDataCentres = new TreeSet<>();
        for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
            allDataCentres.add(dataCentre(dataCentre));
        }
        List<Change> changes = new ArrayList<>();
        for (int index = 0; index < organisations; index++) {
            List<Guarantee> guarantees =
                    index == 0
                            ? List.of(new Guarantee(dataCentre(0), LARGE_ACCELERATORS, 2))
                            : List.of();
            Plan plan = new Plan(guarantees, QUOTA, 1);
            OrganisationId name = organisation(index);
            changes.add(new Change(EntryKey.plan(name), 0, Optional.of(plan)));
            Grant grant = new Grant(allDataCentres, 1);
            changes.add(new Change(EntryKey.grant(name), 0, Optional.of(grant)));
        }
        Edit edit = new Edit(Edit.FORMAT, "e-1", "bench", changes);
        return ConfigState.EMPTY.fold(1, edit).state();
    }

    /**
     * Returns jobs in order of arrival, whose work is a share of what the accelerators can do in
     * the given hours.
     *
     * @param hours the time over which jobs arrive, in hours
     * @param load the share, 1 for the full capacity
     * @param accelerators the number of accelerators of the fleet
     * @param organisations the number of organisations that submit the jobs
     */
    List<SimJob> jobs(int hours, double load, int accelerators, int organisations) {
        long endMillis = hours * 60 * MILLIS_PER_MINUTE;
        double remainingWork = load * accelerators * endMillis;
        List<SimJob> jobs = new ArrayList<>();
        while (remainingWork > 0) {
            long arrivalMillis = (long) (random.nextDouble() * endMillis);
            int jobsInBurst = 1 + random.nextInt(MAX_JOBS_PER_BURST);
            for (int index = 0; index < jobsInBurst; index++) {
                SimJob job = createJob(jobs.size(), arrivalMillis, organisations);
                remainingWork -= job.runMillis() * (double) job.spec().demand().accelerators();
                jobs.add(job);
            }
        }
        jobs.sort((a, b) -> Long.compare(a.arrivalMillis(), b.arrivalMillis()));
        return jobs;
    }

    private SimJob createJob(int number, long arrivalMillis, int organisations) {
        boolean large = random.nextDouble() < LARGE_JOB_SHARE;
        int[] sizes = large ? LARGE_JOB_SIZES : SMALL_JOB_SIZES;
        int size = sizes[random.nextInt(sizes.length)];
        long runMillis = (long) (MILLIS_PER_MINUTE * Math.pow(60, random.nextDouble()));
        double estimateFactor = Math.pow(MAX_ESTIMATE_FACTOR, 2 * random.nextDouble() - 1);
        Demand demand = new Demand(size, Adjacency.RACK, 1, 1_000);
        JobSpec spec =
                new JobSpec(
                        organisation(random.nextInt(organisations)),
                        demand,
                        false,
                        Math.max(1, (long) (runMillis * estimateFactor)),
                        "");
        return new SimJob(JobId.of("j-" + number), spec, arrivalMillis, runMillis);
    }
}
