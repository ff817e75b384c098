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
 * Runs a workload through a scheduler on a virtual clock and measures what comes of it.
 *
 * <p>Use: {@code new Simulation(scheduler, accelerators).run(jobs)}.
 */
final class Simulation {

    private static final long ROUND_MILLIS = 1_000;

    /** What a checkpoint and its restart cost a job, in run time. */
    private static final long CHECKPOINT_MILLIS = 30_000;

    /** What a run measured; times in seconds; utilisation without what checkpoints cost. */
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
            return new Quantiles(at(sorted, 50), at(sorted, 95), at(sorted, 99));
        }

        private static double at(long[] sorted, int percent) {
            return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) * percent / 100] / 1_000.0;
        }
    }

    /**
     * A data centre's absence.
     *
     * @param site which, not null
     * @param fromMillis when it goes, in milliseconds
     * @param untilMillis when it is back, in milliseconds
     * @param accelerators how many it has
     */
    record Outage(DataCentreId site, long fromMillis, long untilMillis, int accelerators) {}

    private record End(long atMillis, JobId job, int start) {}

    private static final class State {
        private final SimJob job;
        private long leftMillis;
        private long startedMillis = -1;
        private long waitedMillis;
        private long waitingSinceMillis;
        private int starts;

        State(SimJob job) {
            this.job = job;
            leftMillis = job.runMillis();
            waitingSinceMillis = job.arrivesMillis();
        }
    }

    private final Scheduler scheduler;
    private final int accelerators;
    private final Map<JobId, State> states = new HashMap<>();
    private final PriorityQueue<End> ends =
            new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    private final List<Long> smallCompletion = new ArrayList<>();
    private final List<Long> largeCompletion = new ArrayList<>();
    private final List<Long> largeWait = new ArrayList<>();
    private int busy;
    private double work;
    private double outageWork;
    private double fragments;
    private long rounds;

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
     * @param jobs the jobs in order of arrival
     * @param outage a data centre's absence, null for none
     * @param cancelSeed the seed of waves of cancellations, 0 for none
     * @param measureFromMillis from when utilisation and fragmentation count, in milliseconds
     */
    Result run(List<SimJob> jobs, Outage outage, long cancelSeed, long measureFromMillis) {
        long lastArrival = jobs.get(jobs.size() - 1).arrivesMillis();
        Random cancels = new Random(cancelSeed);
        int next = 0;
        for (long now = 0; now <= lastArrival || !ends.isEmpty(); now += ROUND_MILLIS) {
            boolean changed = endUntil(now);
            while (next < jobs.size() && jobs.get(next).arrivesMillis() <= now) {
                SimJob job = jobs.get(next++);
                states.put(job.id(), new State(job));
                scheduler.submit(job);
                changed = true;
            }
            changed |= outage != null && applyOutage(outage, now);
            changed |= cancelSeed != 0 && cancelWave(cancels, now);
            while (changed) {
                Scheduler.Round round = scheduler.round(now);
                apply(round, now);
                changed = !round.stopped().isEmpty();
            }
            measure(now, lastArrival, measureFromMillis, outage);
        }
        double possible = accelerators * (double) (lastArrival - measureFromMillis);
        double ideal =
                outage == null
                        ? 1
                        : (accelerators - outage.accelerators())
                                * (double) (outage.untilMillis() - outage.fromMillis());
        return new Result(
                Quantiles.of(smallCompletion),
                Quantiles.of(largeCompletion),
                Quantiles.of(largeWait),
                work / possible,
                fragments / Math.max(1, rounds),
                outageWork / ideal);
    }

    private boolean endUntil(long now) {
        boolean changed = false;
        while (!ends.isEmpty() && ends.peek().atMillis() <= now) {
            End end = ends.poll();
            State state = states.get(end.job());
            if (state != null && state.starts == end.start() && state.startedMillis >= 0) {
                scheduler.ended(end.job(), now);
                busy -= state.job.spec().demand().accelerators();
                long completion = end.atMillis() - state.job.arrivesMillis();
                (state.job.isLarge() ? largeCompletion : smallCompletion).add(completion);
                if (state.job.isLarge()) {
                    largeWait.add(state.waitedMillis);
                }
                states.remove(end.job());
                changed = true;
            }
        }
        return changed;
    }

    private boolean applyOutage(Outage outage, long now) {
        if (now == outage.fromMillis()) {
            scheduler.out(Set.of(outage.site())).forEach(job -> stop(job, now));
            return true;
        }
        if (now == outage.untilMillis()) {
            scheduler.out(Set.of());
            return true;
        }
        return false;
    }

    private boolean cancelWave(Random random, long now) {
        if (now == 0 || now % 3_600_000 != 0) {
            return false;
        }
        for (State state : List.copyOf(states.values())) {
            if (state.startedMillis < 0 && random.nextInt(5) == 0) {
                scheduler.cancel(state.job.id());
                states.remove(state.job.id());
            }
        }
        return true;
    }

    private void apply(Scheduler.Round round, long now) {
        round.stopped().forEach(job -> stop(job, now));
        for (JobId id : round.started()) {
            State state = states.get(id);
            state.starts++;
            state.startedMillis = now;
            state.waitedMillis += now - state.waitingSinceMillis;
            busy += state.job.spec().demand().accelerators();
            ends.add(new End(now + state.leftMillis, id, state.starts));
        }
    }

    /**
     * Stops a job with a checkpoint: what it has run is kept, but for what the checkpoint costs.
     */
    private void stop(JobId id, long now) {
        State state = states.get(id);
        int size = state.job.spec().demand().accelerators();
        state.leftMillis += CHECKPOINT_MILLIS - (now - state.startedMillis);
        state.startedMillis = -1;
        state.waitingSinceMillis = now;
        busy -= size;
        work -= size * (double) CHECKPOINT_MILLIS;
    }

    private void measure(long now, long lastArrival, long fromMillis, Outage outage) {
        if (now >= fromMillis && now < lastArrival) {
            work += busy * (double) ROUND_MILLIS;
            fragments += scheduler.fragmentation();
            rounds++;
        }
        if (outage != null && now >= outage.fromMillis() && now < outage.untilMillis()) {
            outageWork += busy * (double) ROUND_MILLIS;
        }
    }
}
