package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskJob;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates a load on a scheduler state and sums up the value that callers got, by class of job.
 *
 * <p>Use: {@code new LoadSimulation(seed, classes).withWorkers(33, 8, worker).run(34_000)}. The
 * same seed gives the same load.
 */
final class LoadSimulation {

    static final String SERVICE = "rota";

    /** A period in which jobs of one class arrive more often, by a factor. */
    record Burst(String name, double factor, long fromMillis, long toMillis) {}

    /**
     * The value of a class's jobs, and how much of it callers got: the full value for a job in
     * time.
     */
    static final class Tally {
        private double maxValue;
        private double value;
        private int jobs;
        private int inTime;
        private long totalMillis;

        double share() {
            return maxValue == 0 ? 1 : value / maxValue;
        }

        int jobs() {
            return jobs;
        }

        int late() {
            return jobs - inTime;
        }

        /** The mean time from the acceptance of a job to its end, of those that have ended. */
        double meanMillis() {
            return (double) totalMillis / Math.max(1, jobs);
        }

        private void add(double jobValue, long tookMillis, boolean jobInTime) {
            value += jobValue;
            totalMillis += tookMillis;
            inTime += jobInTime ? 1 : 0;
        }
    }

    private static final class SimulatedJob {
        private final JobClass jobClass;
        private final TaskJob job;
        private final SimulatedWorkers.Work work;
        private boolean ended;

        private SimulatedJob(JobClass jobClass, TaskJob job, SimulatedWorkers.Work work) {
            this.jobClass = jobClass;
            this.job = job;
            this.work = work;
        }

        /** The value of a job grows with its work, from 0.3 for the smallest to 4 at most. */
        private double maxValue() {
            double meanWorkMillis = jobClass.workMillis() * jobClass.meanWidth();
            return Math.min(4, 0.3 + 0.7 * work.millis() * work.step().count() / meanWorkMillis);
        }

        private double objectiveMillis() {
            return jobClass.queue().slackFactor() * work.millis() + jobClass.queue().targetMillis();
        }

        private boolean isInTime(long tookMillis) {
            return tookMillis <= objectiveMillis();
        }

        private double value(long tookMillis) {
            if (isInTime(tookMillis)) {
                return maxValue();
            }
            return tookMillis <= LATE_FACTOR * objectiveMillis()
                    ? maxValue() * jobClass.lateValue()
                    : 0;
        }
    }

    /** Jobs that take longer than this multiple of their objective have no value. */
    private static final int LATE_FACTOR = 3;

    private static final long TICK_MILLIS = 50;
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Jobs that have not ended this long after the last arrival count as worthless. */
    private static final long DRAIN_MILLIS = 120_000;

    private static final long START_MILLIS = 1_000_000;

    private final Random random;
    private final List<JobClass> classes;
    private final SchedulerState schedulerState;
    private final SimulatedWorkers workers;
    private final Map<JobId, SimulatedJob> jobs = new LinkedHashMap<>();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final List<JobId> unconfirmed = new ArrayList<>();
    private Map<String, OrganisationId> organisations = Map.of();
    private Optional<Burst> burst = Optional.empty();
    private Resources workerCapacity = Resources.NONE;
    private int maxGangHosts = Integer.MAX_VALUE;
    private double taskSpread;
    private int ordersDigest;
    private int mostKnownSpeeds;
    private long nowMillis = START_MILLIS;

    LoadSimulation(long seed, List<JobClass> classes) {
        this(seed, classes, new FleetObservations());
    }

    /** Creates a simulation with a policy that learns the given observations. */
    LoadSimulation(long seed, List<JobClass> classes, FleetObservations observations) {
        this.random = new Random(seed);
        this.classes = classes;
        this.schedulerState = new SchedulerState(1_000_000, 0, observations);
        this.workers = new SimulatedWorkers(schedulerState, this::workOf);
        classes.forEach(jobClass -> tallies.put(jobClass.name(), new Tally()));
    }

    LoadSimulation withWorkers(int count, int rackSize, Resources capacity) {
        workers.add(count, rackSize, capacity, clockReading());
        workerCapacity = capacity;
        return this;
    }

    LoadSimulation withSpeeds(SimulatedWorkers.Speeds speeds) {
        workers.setSpeeds(speeds);
        return this;
    }

    /** Lets the work of the tasks of a step differ from their mean by up to this share. */
    LoadSimulation withTaskSpread(double spread) {
        taskSpread = spread;
        return this;
    }

    /** The largest number of workers whose speed was known at a time. */
    int mostKnownSpeeds() {
        return mostKnownSpeeds;
    }

    /** The same for two simulations if each round gave the same orders. */
    int ordersDigest() {
        return ordersDigest;
    }

    /** Sets which organisation each class of jobs is of, and what these may use. */
    LoadSimulation withOrganisations(
            Map<String, OrganisationId> byClass, Map<OrganisationId, OrganisationLimits> limits) {
        organisations = byClass;
        schedulerState.configure(Map.of(), limits);
        return this;
    }

    /** Limits the width of gangs to what fits on a number of workers, such as those of a rack. */
    LoadSimulation withMaxGangHosts(int hosts) {
        maxGangHosts = hosts;
        return this;
    }

    private long maxGangWidth(Resources demand) {
        return (long) maxGangHosts * demand.copiesIn(workerCapacity);
    }

    LoadSimulation withBurst(Burst newBurst) {
        burst = Optional.of(newBurst);
        return this;
    }

    /** Runs until every job has ended; jobs arrive for the given time. */
    Map<String, Tally> run(long arrivalMillis) {
        schedulerState.endInheritance();
        classes.forEach(
                jobClass -> {
                    for (int i = 0; i < jobClass.initialJobs(); i++) {
                        submitJob(jobClass);
                    }
                });
        Map<JobClass, Double> arrivalsUntilNext = new HashMap<>();
        while (elapsedMillis() < arrivalMillis
                || elapsedMillis() < arrivalMillis + DRAIN_MILLIS && !haveAllJobsEnded()) {
            long previousMillis = nowMillis;
            nowMillis += TICK_MILLIS;
            if (elapsedMillis() < arrivalMillis) {
                classes.forEach(jobClass -> submitDueJobs(jobClass, arrivalsUntilNext));
            }
            workers.advanceTo(clockReading(), previousMillis);
            List<Order> orders = schedulerState.decide(clockReading());
            orders.forEach(order -> workers.carryOut(order, clockReading()));
            ordersDigest = 31 * ordersDigest + Set.copyOf(orders).hashCode();
            mostKnownSpeeds =
                    Math.max(mostKnownSpeeds, schedulerState.observations().speeds().known());
            recordCompletedJobs();
        }
        return tallies;
    }

    private SimulatedWorkers.Work workOf(JobId id) {
        return jobs.get(id).work;
    }

    private long elapsedMillis() {
        return nowMillis - START_MILLIS;
    }

    private ClockReading clockReading() {
        return new ClockReading(nowMillis, nowMillis);
    }

    private boolean haveAllJobsEnded() {
        return jobs.values().stream().allMatch(job -> job.ended);
    }

    private void submitDueJobs(JobClass jobClass, Map<JobClass, Double> arrivalsUntilNext) {
        double left = arrivalsUntilNext.getOrDefault(jobClass, random.nextDouble());
        left -= arrivalsPerSecond(jobClass) * TICK_MILLIS / MILLIS_PER_SECOND;
        while (left <= 0) {
            submitJob(jobClass);
            left -= Math.log(1 - random.nextDouble());
        }
        arrivalsUntilNext.put(jobClass, left);
    }

    private double arrivalsPerSecond(JobClass jobClass) {
        return burst.filter(active -> active.name().equals(jobClass.name()))
                .filter(
                        active ->
                                elapsedMillis() >= active.fromMillis()
                                        && elapsedMillis() < active.toMillis())
                .map(active -> active.factor() * jobClass.arrivalsPerSecond())
                .orElse(jobClass.arrivalsPerSecond());
    }

    private void submitJob(JobClass jobClass) {
        long workMillis = jobClass.drawWorkMillis(random);
        StepSpec step = jobClass.drawStep(random, workMillis, this::maxGangWidth);
        JobId id = JobId.of(String.format("%016x", jobs.size() + 1));
        JobRequest request = new JobRequest("x", List.of(step), 0, 0, 0);
        TaskJob job =
                new TaskJob(
                        id,
                        organisations.getOrDefault(jobClass.name(), SchedulerFixture.ORGANISATION),
                        jobClass.queue(),
                        nowMillis,
                        request);
        jobs.put(
                id,
                new SimulatedJob(
                        jobClass, job, new SimulatedWorkers.Work(step, workMillis, taskSpread)));
        tallies.get(jobClass.name()).maxValue += jobs.get(id).maxValue();
        tallies.get(jobClass.name()).jobs++;
        schedulerState.addJob(job, Optional.of(SchedulerFixture.QUEUED_ANYWHERE));
    }

    /** Stores the changed progress. The store answers before the next step of the simulation. */
    private void recordCompletedJobs() {
        unconfirmed.forEach(schedulerState::confirmProgressStored);
        unconfirmed.clear();
        schedulerState
                .takeChangedProgress()
                .forEach(
                        (id, progress) -> {
                            unconfirmed.add(id);
                            if (progress.state() == JobState.COMPLETED) {
                                complete(jobs.get(id));
                            }
                        });
    }

    private void complete(SimulatedJob job) {
        job.ended = true;
        long tookMillis = nowMillis - job.job.acceptedMillis();
        tallies.get(job.jobClass.name())
                .add(job.value(tookMillis), tookMillis, job.isInTime(tookMillis));
        schedulerState.removeJobIfEnded(job.job.id());
    }
}
