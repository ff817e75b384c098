package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskJob;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/**
 * Plays a load on a board and adds up what callers got, by class of job.
 *
 * <p>Use: {@code new LoadSimulation(seed, classes).with(33, 8, worker).play(34_000)}. The same seed
 * plays the same load.
 */
final class LoadSimulation {

    static final String SERVICE = "rota";

    /** A time in which a class arrives more often. */
    record Burst(String name, double factor, long fromMillis, long toMillis) {}

    /** What the callers of a class were owed and got: a job in time counts whole. */
    static final class Tally {
        private double owed;
        private double earned;

        double share() {
            return owed == 0 ? 1 : earned / owed;
        }
    }

    private static final class Played {
        private final JobClass kind;
        private final TaskJob job;
        private final SimulatedWorkers.Work work;
        private boolean over;

        private Played(JobClass kind, TaskJob job, SimulatedWorkers.Work work) {
            this.kind = kind;
            this.job = job;
            this.work = work;
        }

        /** A job counts by its work, the smallest for a third and none for more than four. */
        private double weight() {
            double mean = kind.workMillis() * kind.meanWidth();
            return Math.min(4, 0.3 + 0.7 * work.millis() * work.step().count() / mean);
        }

        private double earned(long tookMillis) {
            double objective =
                    kind.queue().slackFactor() * work.millis() + kind.queue().targetMillis();
            if (tookMillis <= objective) {
                return weight();
            }
            return tookMillis <= LATE_FACTOR * objective ? weight() * kind.lateWorth() : 0;
        }
    }

    private static final int LATE_FACTOR = 3;
    private static final long TICK_MILLIS = 50;
    private static final long MILLIS = 1_000;

    /** Jobs that aren't over so long after the last arrival have got nothing. */
    private static final long DRAIN_MILLIS = 120_000;

    private static final long BEGIN_MILLIS = 1_000_000;

    private final Random random;
    private final List<JobClass> classes;
    private final SchedulerState board = new SchedulerState(1_000_000);
    private final SimulatedWorkers workers = new SimulatedWorkers(board, this::workOf);
    private final Map<JobId, Played> jobs = new LinkedHashMap<>();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private Optional<Burst> burst = Optional.empty();
    private long now = BEGIN_MILLIS;

    LoadSimulation(long seed, List<JobClass> classes) {
        this.random = new Random(seed);
        this.classes = classes;
        classes.forEach(kind -> tallies.put(kind.name(), new Tally()));
    }

    LoadSimulation with(int count, int rackSize, Resources capacity) {
        workers.add(count, rackSize, capacity, moment());
        return this;
    }

    LoadSimulation with(Burst more) {
        burst = Optional.of(more);
        return this;
    }

    /** Plays until every job is over; jobs arrive for the given time. */
    Map<String, Tally> play(long arrivalMillis) {
        board.endInheritance();
        classes.forEach(
                kind -> {
                    for (int i = 0; i < kind.atStart(); i++) {
                        arrive(kind);
                    }
                });
        Map<JobClass, Double> untilNext = new HashMap<>();
        while (played() < arrivalMillis || played() < arrivalMillis + DRAIN_MILLIS && !isOver()) {
            long before = now;
            now += TICK_MILLIS;
            if (played() < arrivalMillis) {
                classes.forEach(kind -> arriveIfDue(kind, untilNext));
            }
            workers.work(moment(), before);
            board.decide(moment()).forEach(order -> workers.carryOut(order, moment()));
            settle();
        }
        return tallies;
    }

    private SimulatedWorkers.Work workOf(JobId id) {
        return jobs.get(id).work;
    }

    private long played() {
        return now - BEGIN_MILLIS;
    }

    private ClockReading moment() {
        return new ClockReading(now, now);
    }

    private boolean isOver() {
        return jobs.values().stream().allMatch(played -> played.over);
    }

    private void arriveIfDue(JobClass kind, Map<JobClass, Double> untilNext) {
        double left = untilNext.getOrDefault(kind, random.nextDouble());
        left -= rate(kind) * TICK_MILLIS / MILLIS;
        while (left <= 0) {
            arrive(kind);
            left -= Math.log(1 - random.nextDouble());
        }
        untilNext.put(kind, left);
    }

    private double rate(JobClass kind) {
        return burst.filter(more -> more.name().equals(kind.name()))
                .filter(more -> played() >= more.fromMillis() && played() < more.toMillis())
                .map(more -> more.factor() * kind.perSecond())
                .orElse(kind.perSecond());
    }

    private void arrive(JobClass kind) {
        long millis = kind.drawWork(random);
        StepSpec step = kind.drawStep(random, millis);
        JobId id = JobId.of(String.format("%016x", jobs.size() + 1));
        JobRequest request = new JobRequest("x", List.of(step), 0, 0, 0);
        TaskJob job = new TaskJob(id, OrganisationId.of("circle"), kind.queue(), now, request);
        jobs.put(id, new Played(kind, job, new SimulatedWorkers.Work(step, millis)));
        tallies.get(kind.name()).owed += jobs.get(id).weight();
        board.addJob(job, Optional.of(SchedulerFixture.ANNOUNCED));
    }

    private void settle() {
        board.takeChangedProgress()
                .forEach(
                        (id, progress) -> {
                            if (progress.state() == JobState.COMPLETED) {
                                complete(jobs.get(id));
                            }
                        });
    }

    private void complete(Played played) {
        played.over = true;
        tallies.get(played.kind.name()).earned += played.earned(now - played.job.acceptedMillis());
        board.removeJobIfEnded(played.job.id());
    }
}
