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
 * Makes fleets, lists and jobs of a seed: bursts, and run times declared up to ten times wrong.
 *
 * <p>Use: {@code new Workload(seed).jobs(hours, load, accelerators)}.
 */
final class Workload {

    /** From how many accelerators a job counts as large. */
    static final int LARGE = 16;

    private static final long MINUTE_MILLIS = 60_000;
    private static final int WORKERS_IN_RACK = 8;
    private static final int ACCELERATORS = 8;
    private static final int CORES = 130;
    private static final int MEMORY_MB = 500_000;
    private static final int QUOTA = 1_000_000;
    private static final double MAX_ERROR = 10;
    private static final int[] SMALL = {1, 1, 1, 2, 2, 3, 4, 4, 8};
    private static final int[] BIG = {16, 16, 24, 32};
    private static final double BIG_SHARE = 0.12;
    private static final int MAX_BURST = 12;

    private final Random random;

    Workload(long seed) {
        random = new Random(seed);
    }

    /** Returns workers of 8 accelerators, 8 to a rack, in data centres of the given sizes. */
    static List<Worker> workers(int... sizes) {
        List<Worker> workers = new ArrayList<>();
        for (int site = 0; site < sizes.length; site++) {
            for (int index = 0; index < sizes[site]; index++) {
                workers.add(
                        new Worker(
                                WorkerId.of("w-" + site + "-" + index),
                                site(site),
                                "r-" + site + "-" + index / WORKERS_IN_RACK,
                                ACCELERATORS,
                                CORES,
                                MEMORY_MB));
            }
        }
        return workers;
    }

    static DataCentreId site(int index) {
        return DataCentreId.of("site-" + index);
    }

    static OrganisationId organisation(int index) {
        return OrganisationId.of("team-" + index);
    }

    /**
     * Returns lists of organisations that may use all data centres; the first holds a guarantee.
     */
    static ConfigState lists(int organisations, int sites) {
        Set<DataCentreId> everywhere = new TreeSet<>();
        for (int site = 0; site < sites; site++) {
            everywhere.add(site(site));
        }
        List<Change> changes = new ArrayList<>();
        for (int index = 0; index < organisations; index++) {
            List<Guarantee> promised =
                    index == 0 ? List.of(new Guarantee(site(0), LARGE, 2)) : List.of();
            Plan plan = new Plan(promised, QUOTA, 1);
            OrganisationId name = organisation(index);
            changes.add(new Change(EntryKey.plan(name), 0, Optional.of(plan)));
            Grant grant = new Grant(everywhere, 1);
            changes.add(new Change(EntryKey.grant(name), 0, Optional.of(grant)));
        }
        Edit edit = new Edit(Edit.FORMAT, "e-1", "bench", changes);
        return ConfigState.EMPTY.fold(1, edit).state();
    }

    /**
     * Returns jobs whose work is a share of what the accelerators can do in the time.
     *
     * @param hours how long jobs keep coming
     * @param load the share, 1 for all
     * @param accelerators the fleet's accelerators
     * @param organisations how many organisations send them
     */
    List<SimJob> jobs(int hours, double load, int accelerators, int organisations) {
        long end = hours * 60 * MINUTE_MILLIS;
        double budget = load * accelerators * end;
        List<SimJob> jobs = new ArrayList<>();
        while (budget > 0) {
            long at = (long) (random.nextDouble() * end);
            int burst = 1 + random.nextInt(MAX_BURST);
            for (int index = 0; index < burst; index++) {
                SimJob job = job(jobs.size(), at, organisations);
                budget -= job.runMillis() * (double) job.spec().demand().accelerators();
                jobs.add(job);
            }
        }
        jobs.sort((a, b) -> Long.compare(a.arrivesMillis(), b.arrivesMillis()));
        return jobs;
    }

    private SimJob job(int number, long at, int organisations) {
        boolean big = random.nextDouble() < BIG_SHARE;
        int[] sizes = big ? BIG : SMALL;
        int size = sizes[random.nextInt(sizes.length)];
        long run = (long) (MINUTE_MILLIS * Math.pow(60, random.nextDouble()));
        double error = Math.pow(MAX_ERROR, 2 * random.nextDouble() - 1);
        Demand demand = new Demand(size, Adjacency.RACK, 1, 1_000);
        JobSpec spec =
                new JobSpec(
                        organisation(random.nextInt(organisations)),
                        demand,
                        false,
                        Math.max(1, (long) (run * error)),
                        "");
        return new SimJob(JobId.of("j-" + number), spec, at, run);
    }
}
