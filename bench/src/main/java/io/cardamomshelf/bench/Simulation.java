package io.cardamomshelf.bench;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.JobId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Runs a workload through a scheduler on a virtual clock, and measures completion times and
 * utilisation.
 *
 * <p>Use: {@code new Simulation(scheduler, accelerators).run(jobs)}.
 */
final class Simulation {

    private static final long ROUND_MILLIS = 1_000;

    /** The run time that a job loses by a checkpoint and its restart. */
    private static final long CHECKPOINT_COST_MILLIS = 30_000;

    /**
     * The measurements of one simulation; times are in seconds.
     *
     * @param smallCompletion the times from arrival to end of small jobs, not null
     * @param largeCompletion the times from arrival to end of large jobs, not null
     * @param largeWait the total waiting times of large jobs, not null
     * @param utilisation the share of accelerator time used by jobs, without the run time lost by
     *     checkpoints
     * @param fragmentation the average of {@link Scheduler#fragmentation} over the measured rounds
     * @param workThroughOutage the accelerator time used during the outage, as a share of the time
     *     of all accelerators outside the withdrawn data centre; 0 without an outage
     */
    record Result(
            Quantiles smallCompletion,
            Quantiles largeCompletion,
            Quantiles largeWait,
            double utilisation,
            double fragmentation,
            double workThroughOutage) {}

    /**
     * Quantiles of times.
     *
     * @param p50 the median, in seconds
     * @param p95 the 95th percentile, in seconds
     * @param p99 the 99th percentile, in seconds
     */
    record Quantiles(double p50, double p95, double p99) {

        static Quantiles of(List<Long> millis) {
            long[] sorted = millis.stream().mapToLong(Long::longValue).sorted().toArray();
            return new Quantiles(
                    percentile(sorted, 50), percentile(sorted, 95), percentile(sorted, 99));
        }

        private static double percentile(long[] sorted, int percent) {
            return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) * percent / 100] / 1_000.0;
        }
    }

    /**
     * A period in which a data centre is withdrawn.
     *
     * @param dataCentre the withdrawn data centre, not null
     * @param fromMillis the time at which it is withdrawn, in milliseconds
     * @param untilMillis the time at which it is restored, in milliseconds
     * @param accelerators the number of its accelerators
     */
    record Outage(DataCentreId dataCentre, long fromMillis, long untilMillis, int accelerators) {}

    private record RunEnd(long atMillis, JobId job, int startNumber) {}

    private static final class JobState {
        private final SimJob job;
        private long remainingMillis;
        private long runningSinceMillis = -1;
        private long waitedMillis;
        private long waitingSinceMillis;
        private int starts;

        JobState(SimJob job) {
            this.job = job;
            remainingMillis = job.runMillis();
            waitingSinceMillis = job.arrivalMillis();
        }
    }

    private final Scheduler scheduler;
    private final int accelerators;
    private final Map<JobId, JobState> states = new HashMap<>();
    private final PriorityQueue<RunEnd> ends =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final List<Long> smallCompletion = new ArrayList<>();
    private final List<Long> largeCompletion = new ArrayList<>();
    private final List<Long> largeWait = new ArrayList<>();
    private int busyAccelerators;
    private double usefulAcceleratorMillis;
    private double outageAcceleratorMillis;
    private double fragmentationSum;
    private long measuredRounds;

    Simulation(Scheduler scheduler, int accelerators) {
        this.scheduler = scheduler;
        this.accelerators = accelerators;
    }

    Result run(List<SimJob> jobs) {
        return run(jobs, null, 0, 0);
    }

    /**
     * Runs a workload.
     *
     * @param jobs the jobs in order of arrival, not null, not empty
     * @param outage the outage of a data centre, null for none
     * @param cancelSeed the seed of the hourly waves of cancellations, 0 for none
     * @param measureFromMillis the time from which utilisation and fragmentation are measured, in
     *     milliseconds
     */
    Result run(List<SimJob> jobs, Outage outage, long cancelSeed, long measureFromMillis) {
        long lastArrivalMillis = jobs.get(jobs.size() - 1).arrivalMillis();
        Random cancelRandom = new Random(cancelSeed);
        int nextJob = 0;
        for (long nowMillis = 0;
                nowMillis <= lastArrivalMillis || !ends.isEmpty();
                nowMillis += ROUND_MILLIS) {
            boolean changed = endRunsUntil(nowMillis);
            while (nextJob < jobs.size() && jobs.get(nextJob).arrivalMillis() <= nowMillis) {
                SimJob job = jobs.get(nextJob++);
                states.put(job.id(), new JobState(job));
                scheduler.submit(job);
                changed = true;
            }
            changed |= outage != null && applyOutage(outage, nowMillis);
            changed |= cancelSeed != 0 && cancelWaiting(cancelRandom, nowMillis);
            while (changed) {
                Scheduler.Round round = scheduler.runRound(nowMillis);
                applyRound(round, nowMillis);
                changed = !round.stopped().isEmpty();
            }
            measure(nowMillis, lastArrivalMillis, measureFromMillis, outage);
        }
        double availableAcceleratorMillis =
                accelerators * (double) (lastArrivalMillis - measureFromMillis);
        double idealOutageAcceleratorMillis =
                outage == null
                        ? 1
                        : (accelerators - outage.accelerators())
                                * (double) (outage.untilMillis() - outage.fromMillis());
        return new Result(
                Quantiles.of(smallCompletion),
                Quantiles.of(largeCompletion),
                Quantiles.of(largeWait),
                usefulAcceleratorMillis / availableAcceleratorMillis,
                fragmentationSum / Math.max(1, measuredRounds),
                outageAcceleratorMillis / idealOutageAcceleratorMillis);
    }

    private boolean endRunsUntil(long nowMillis) {
        boolean changed = false;
        while (!ends.isEmpty() && ends.peek().atMillis() <= nowMillis) {
            RunEnd end = ends.poll();
            JobState state = states.get(end.job());
            if (state != null
                    && state.starts == end.startNumber()
                    && state.runningSinceMillis >= 0) {
                scheduler.jobEnded(end.job(), nowMillis);
                busyAccelerators -= state.job.spec().demand().accelerators();
                long completionMillis = end.atMillis() - state.job.arrivalMillis();
                (state.job.isLarge() ? largeCompletion : smallCompletion).add(completionMillis);
                if (state.job.isLarge()) {
                    largeWait.add(state.waitedMillis);
                }
                states.remove(end.job());
                changed = true;
            }
        }
        return changed;
    }

    private boolean applyOutage(Outage outage, long nowMillis) {
        if (nowMillis == outage.fromMillis()) {
            scheduler
                    .setWithdrawn(Set.of(outage.dataCentre()))
                    .forEach(job -> stopJob(job, nowMillis));
            return true;
        }
        if (nowMillis == outage.untilMillis()) {
            scheduler.setWithdrawn(Set.of());
            return true;
        }
        return false;
    }

    /** Cancels about a fifth of the waiting jobs, on each full hour. */
    private boolean cancelWaiting(Random random, long nowMillis) {
        if (nowMillis == 0 || nowMillis % 3_600_000 != 0) {
            return false;
        }
        for (JobState state : List.copyOf(states.values())) {
            if (state.runningSinceMillis < 0 && random.nextInt(5) == 0) {
                scheduler.cancel(state.job.id());
                states.remove(state.job.id());
            }
        }
        return true;
    }

    private void applyRound(Scheduler.Round round, long nowMillis) {
        round.stopped().forEach(job -> stopJob(job, nowMillis));
        for (JobId id : round.started()) {
            JobState state = states.get(id);
            state.starts++;
            state.runningSinceMillis = nowMillis;
            state.waitedMillis += nowMillis - state.waitingSinceMillis;
            busyAccelerators += state.job.spec().demand().accelerators();
            ends.add(new RunEnd(nowMillis + state.remainingMillis, id, state.starts));
        }
    }

    /**
     * Stops a job with a checkpoint. The job keeps its progress except for the cost of the
     * checkpoint.
     */
    private void stopJob(JobId id, long nowMillis) {
        JobState state = states.get(id);
        int size = state.job.spec().demand().accelerators();
        state.remainingMillis += CHECKPOINT_COST_MILLIS - (nowMillis - state.runningSinceMillis);
        state.runningSinceMillis = -1;
        state.waitingSinceMillis = nowMillis;
        busyAccelerators -= size;
        usefulAcceleratorMillis -= size * (double) CHECKPOINT_COST_MILLIS;
    }

    private void measure(long nowMillis, long lastArrivalMillis, long fromMillis, Outage outage) {
        if (nowMillis >= fromMillis && nowMillis < lastArrivalMillis) {
            usefulAcceleratorMillis += busyAccelerators * (double) ROUND_MILLIS;
            fragmentationSum += scheduler.fragmentation();
            measuredRounds++;
        }
        if (outage != null
                && nowMillis >= outage.fromMillis()
                && nowMillis < outage.untilMillis()) {
            outageAcceleratorMillis += busyAccelerators * (double) ROUND_MILLIS;
        }
    }
}
