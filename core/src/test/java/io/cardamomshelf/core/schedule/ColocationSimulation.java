package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskJob;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Function;

/**
 * Simulates tasks that slow each other down on shared workers, and sums up the callers' times. The
 * same seed gives the same load. Progress is listed in whole percent about once a second.
 *
 * <p>Limits: workers have no faults. A gang runs at the speed of its slowest member.
 */
final class ColocationSimulation {

    /** A class of jobs that arrive at a mean rate; the work of their tasks differs by up to 30%. */
    record Load(
            String name,
            double jobsPerSecond,
            int tasks,
            Resources demand,
            long workMillis,
            boolean gang,
            String label) {}

    /** How many times slower a task is on a worker, beside the given number of tasks by load. */
    interface Slowdown {
        double factor(
                String load, WorkerId worker, Map<String, Integer> others, long elapsedMillis);
    }

    /** The mean times of callers and of runs by load, and the starts in order. */
    static final class Outcome {
        final Map<String, List<Long>> jobMillis = new HashMap<>();
        final Map<String, List<Long>> runMillis = new HashMap<>();
        final List<String> starts = new ArrayList<>();
        int maxPairs;

        double meanJobMillis(String load) {
            return jobMillis.get(load).stream().mapToLong(millis -> millis).average().orElseThrow();
        }

        double meanRunMillis(String load) {
            return runMillis.get(load).stream().mapToLong(millis -> millis).average().orElseThrow();
        }
    }

    private record SimulatedJob(Load load, long submittedMillis) {}

    private static final class ActiveRun {
        private final Order.Start start;
        private final Load load;
        private final double workMillis;
        private final long startedMillis;
        private double progress;

        private ActiveRun(Order.Start start, Load load, double workMillis, long startedMillis) {
            this.start = start;
            this.load = load;
            this.workMillis = workMillis;
            this.startedMillis = startedMillis;
        }
    }

    static final Resources CAPACITY = Resources.of(64_000, 262_144, 8);
    private static final double WORK_SPREAD = 0.3;
    private static final long TICK_MILLIS = 100;
    private static final long REPORT_MILLIS = 1_000;
    private static final long START_MILLIS = 1_000_000;

    final SchedulerState state = new SchedulerState(1_000_000);
    private final Random random;
    private final List<Load> loads;
    private final Slowdown slowdown;
    private final Function<String, String> imageOf;
    private final Map<WorkerId, List<ActiveRun>> active = new LinkedHashMap<>();
    private final Map<WorkerId, List<WorkerLists.Ended>> ended = new HashMap<>();
    private final Map<WorkerId, Long> endNumbers = new HashMap<>();
    private final Map<JobId, SimulatedJob> jobs = new LinkedHashMap<>();
    private final Map<String, Double> workFactors = new HashMap<>();
    private final Outcome outcome = new Outcome();
    private long nowMillis = START_MILLIS;

    /**
     * Creates a simulation.
     *
     * @param imageOf gives the image of a job of a load; a new one for each job prevents learning
     */
    ColocationSimulation(
            long seed, List<Load> loads, Slowdown slowdown, Function<String, String> imageOf) {
        this.random = new Random(seed);
        this.loads = loads;
        this.slowdown = slowdown;
        this.imageOf = imageOf;
    }

    ColocationSimulation withWorkers(int count, Function<Integer, String> labelOf) {
        for (int i = 0; i < count; i++) {
            WorkerId id = WorkerId.of("w" + i);
            active.put(id, new ArrayList<>());
            ended.put(id, new ArrayList<>());
            state.putWorker(
                    new WorkerInfo(
                            id,
                            1,
                            LoadSimulation.SERVICE,
                            Endpoint.parse("127.0.0.1:80"),
                            DataCentreId.of("jhb-a"),
                            "r0",
                            List.of(labelOf.apply(i)),
                            CAPACITY,
                            false,
                            0,
                            0));
            state.admitWorker(id);
            report(id);
        }
        state.endInheritance();
        return this;
    }

    /** Lets jobs arrive for the given time, and returns the outcome of those that ended. */
    Outcome run(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            for (Load load : loads) {
                if (random.nextDouble() < load.jobsPerSecond() * TICK_MILLIS / 1_000) {
                    submit(load);
                }
            }
            advanceClock();
        }
        return outcome;
    }

    /** Lets the given time pass without arrivals. */
    void drain(long millis) {
        for (long passedMillis = 0; passedMillis < millis; passedMillis += TICK_MILLIS) {
            advanceClock();
        }
    }

    /** Advances the clock by one step, and lets the scheduler decide once. */
    void advanceClock() {
        nowMillis += TICK_MILLIS;
        advanceAll();
        int offset = 0;
        for (WorkerId worker : active.keySet()) {
            offset += 1;
            boolean due = (nowMillis + TICK_MILLIS * offset) % REPORT_MILLIS == 0;
            if (due || !ended.get(worker).isEmpty()) {
                report(worker);
            }
        }
        state.decide(now()).forEach(this::carryOut);
        outcome.maxPairs = Math.max(outcome.maxPairs, state.observations().interferingPairs());
        recordEndedJobs();
    }

    ClockReading now() {
        return new ClockReading(nowMillis, nowMillis);
    }

    void submit(Load load) {
        JobId id = JobId.of(String.format("%016x", jobs.size() + 1));
        StepSpec step =
                new StepSpec(
                        load.tasks(),
                        load.demand(),
                        load.workMillis(),
                        List.of(),
                        false,
                        load.gang(),
                        false,
                        load.label(),
                        "",
                        0,
                        false,
                        false,
                        imageOf.apply(load.name()),
                        0,
                        false,
                        0);
        jobs.put(id, new SimulatedJob(load, nowMillis));
        state.addJob(
                new TaskJob(
                        id,
                        OrganisationId.of("circle"),
                        SchedulerFixture.queue(2),
                        nowMillis,
                        new JobRequest("x", List.of(step), 0, 0, 0)),
                Optional.of(SchedulerFixture.QUEUED_ANYWHERE));
    }

    private void carryOut(Order order) {
        if (order instanceof Order.Start start) {
            Load load = jobs.get(start.task().job()).load();
            double factor =
                    workFactors.computeIfAbsent(
                            load.gang() ? "" + start.run() : start.task() + " " + start.run(),
                            key -> 1 + WORK_SPREAD * (2 * random.nextDouble() - 1));
            active.get(start.worker())
                    .add(new ActiveRun(start, load, load.workMillis() * factor, nowMillis));
            outcome.starts.add(start.task() + " " + start.worker() + " " + nowMillis);
            state.handleStartOutcome(start, StartOutcome.STARTED, now());
        }
    }

    private void advanceAll() {
        Map<ActiveRun, Double> factors = new LinkedHashMap<>();
        Map<Long, Double> gangFactors = new HashMap<>();
        active.forEach(
                (worker, runs) -> {
                    for (ActiveRun run : runs) {
                        double factor = factor(worker, runs, run);
                        factors.put(run, factor);
                        gangFactors.merge(run.start.run(), factor, Math::max);
                    }
                });
        factors.forEach(
                (run, factor) -> {
                    double actual = run.load.gang() ? gangFactors.get(run.start.run()) : factor;
                    run.progress += TICK_MILLIS / run.workMillis / actual;
                    if (run.progress >= 1) {
                        end(run);
                    }
                });
    }

    private double factor(WorkerId worker, List<ActiveRun> runs, ActiveRun run) {
        Map<String, Integer> others = new HashMap<>();
        runs.stream()
                .filter(other -> other != run)
                .forEach(other -> others.merge(other.load.name(), 1, Integer::sum));
        return slowdown.factor(run.load.name(), worker, others, nowMillis - START_MILLIS);
    }

    private void end(ActiveRun run) {
        WorkerId worker = run.start.worker();
        active.get(worker).remove(run);
        outcome.runMillis
                .computeIfAbsent(run.load.name(), name -> new ArrayList<>())
                .add(nowMillis - run.startedMillis);
        long number = endNumbers.merge(worker, 1L, Long::sum);
        ended.get(worker)
                .add(
                        new WorkerLists.Ended(
                                number, run.start.task(), run.start.run(), RunEnd.DONE, ""));
    }

    private void report(WorkerId worker) {
        List<WorkerLists.Running> running =
                active.get(worker).stream()
                        .map(
                                run ->
                                        new WorkerLists.Running(
                                                run.start.task(),
                                                run.start.run(),
                                                "",
                                                (int) (100 * run.progress),
                                                OptionalLong.empty()))
                        .toList();
        WorkerLists lists = new WorkerLists(1, running, List.copyOf(ended.get(worker)));
        state.updateRuns(worker, lists, nowMillis, true, now());
        ended.get(worker).clear();
    }

    private void recordEndedJobs() {
        state.takeChangedProgress()
                .forEach(
                        (id, progress) -> {
                            state.confirmProgressStored(id);
                            if (progress.state().isEnded()) {
                                SimulatedJob job = jobs.get(id);
                                outcome.jobMillis
                                        .computeIfAbsent(
                                                job.load().name(), name -> new ArrayList<>())
                                        .add(nowMillis - job.submittedMillis());
                                state.removeJobIfEnded(id);
                            }
                        });
    }
}
