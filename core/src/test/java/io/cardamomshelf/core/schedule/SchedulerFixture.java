package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobRequest;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.QueuePolicy;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.RunHosts;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.core.task.TaskJob;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A scheduler state with workers whose reports and answers the test determines, on a test clock.
 */
final class SchedulerFixture {

    static final Resources WORKER_CAPACITY = Resources.of(128_000, 512_000, 8);
    static final OrganisationId ORGANISATION = OrganisationId.of("circle");
    static final OrganisationId OTHER_ORGANISATION = OrganisationId.of("square");
    static final long FIRST_RUN_NUMBER = 1_000_000;
    static final double QUOTA_OVERAGE = 0.1;

    /**
     * The progress of a queued job whose stored host intent allows all workers, so it starts at
     * once.
     */
    static final JobProgress QUEUED_ANYWHERE =
            new JobProgress(JobState.QUEUED, List.of(), RunHosts.ANYWHERE);

    final SchedulerState state = new SchedulerState(FIRST_RUN_NUMBER, QUOTA_OVERAGE);
    private final Map<WorkerId, Long> endNumbers = new HashMap<>();
    private final Map<WorkerId, Long> incarnations = new HashMap<>();
    private long nowMillis = 10_000;

    static WorkerId worker(String name) {
        return WorkerId.of(name);
    }

    static JobId job(int number) {
        return JobId.of(String.format("%016x", number));
    }

    static TaskId task(int job, int index) {
        return TaskId.of(job(job), 0, 0, index);
    }

    static QueuePolicy queue(int priority) {
        return new QueuePolicy("q" + priority, "rota", priority, 3, 3, 1_500, false);
    }

    static StepBuilder step(int count, long cpuMillis, long memoryMb, int accelerators) {
        return new StepBuilder(count, Resources.of(cpuMillis, memoryMb, accelerators));
    }

    /** Builds a step with the properties that tests set. */
    static final class StepBuilder {
        private final int count;
        private final Resources demand;
        private boolean gang;
        private boolean rackLocal;
        private boolean checkpointing;
        private boolean longRunning;
        private String label = "";
        private String dataRack = "";
        private int maxPerWorker;
        private long estimateMillis = 6_000;
        private List<Integer> after = List.of();

        private StepBuilder(int count, Resources demand) {
            this.count = count;
            this.demand = demand;
        }

        StepBuilder gang() {
            gang = true;
            return this;
        }

        StepBuilder rackLocal() {
            rackLocal = true;
            return this;
        }

        StepBuilder checkpointing() {
            checkpointing = true;
            return this;
        }

        StepBuilder longRunning() {
            longRunning = true;
            return this;
        }

        StepBuilder label(String value) {
            label = value;
            return this;
        }

        StepBuilder dataRack(String rack) {
            dataRack = rack;
            return this;
        }

        StepBuilder maxPerWorker(int limit) {
            maxPerWorker = limit;
            return this;
        }

        StepBuilder estimateMillis(long millis) {
            estimateMillis = millis;
            return this;
        }

        StepBuilder after(Integer... steps) {
            after = List.of(steps);
            return this;
        }

        StepSpec build() {
            return new StepSpec(
                    count,
                    demand,
                    estimateMillis,
                    after,
                    checkpointing,
                    gang,
                    rackLocal,
                    label,
                    dataRack,
                    maxPerWorker,
                    false,
                    longRunning,
                    "",
                    0,
                    false,
                    0);
        }
    }

    ClockReading now() {
        return new ClockReading(nowMillis, nowMillis);
    }

    SchedulerFixture advanceClock(long millis) {
        nowMillis += millis;
        return this;
    }

    /** Registers a worker and reports that it has no runs. */
    SchedulerFixture addIdleWorker(String name, String rack) {
        registerWorker(name, rack);
        return report(name);
    }

    SchedulerFixture registerWorker(String name, String rack) {
        return registerWorker(name, rack, false, 0);
    }

    /** Registers a draining worker that shuts down after the given time at the earliest. */
    SchedulerFixture drainWorker(String name, String rack, long remainingMillis) {
        return registerWorker(name, rack, true, remainingMillis);
    }

    private SchedulerFixture registerWorker(
            String name, String rack, boolean draining, long remainingMillis) {
        WorkerId id = worker(name);
        incarnations.putIfAbsent(id, 1L);
        state.putWorker(
                new WorkerInfo(
                        id,
                        incarnations.get(id),
                        "rota",
                        Endpoint.parse("127.0.0.1:80"),
                        DataCentreId.of("jhb-a"),
                        rack,
                        List.of("a", rack),
                        WORKER_CAPACITY,
                        draining,
                        remainingMillis,
                        0));
        state.admitWorker(id);
        return this;
    }

    /** Restarts a worker, which registers and reports that it has no runs. */
    SchedulerFixture restartWorker(String name) {
        return restartUnnoticed(name).registerWorker(name, rackOf(name)).report(name);
    }

    /** Restarts a worker under its identifier, without an entry or a report of it. */
    SchedulerFixture restartUnnoticed(String name) {
        incarnations.merge(worker(name), 1L, Long::sum);
        endNumbers.remove(worker(name));
        return this;
    }

    private String rackOf(String name) {
        return state.workerReports().rackOf(worker(name));
    }

    SchedulerFixture submit(int number, int priority, StepBuilder... steps) {
        List<StepSpec> specs = new ArrayList<>();
        for (StepBuilder step : steps) {
            specs.add(step.build());
        }
        return submit(number, priority, new JobRequest("x", specs, 0, 0, 0));
    }

    SchedulerFixture submitAdvised(int number, StepBuilder step) {
        QueuePolicy policy = new QueuePolicy("advised", "rota", 1, 3, 3, 1_500, true);
        JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
        state.addJob(
                new TaskJob(job(number), ORGANISATION, policy, nowMillis, request),
                Optional.of(QUEUED_ANYWHERE));
        return this;
    }

    SchedulerFixture submit(int number, int priority, JobRequest request) {
        return submit(ORGANISATION, number, priority, request);
    }

    SchedulerFixture submitForOther(int number, int priority, StepBuilder step) {
        JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
        return submit(OTHER_ORGANISATION, number, priority, request);
    }

    private SchedulerFixture submit(
            OrganisationId organisation, int number, int priority, JobRequest request) {
        state.addJob(
                new TaskJob(job(number), organisation, queue(priority), nowMillis, request),
                Optional.of(QUEUED_ANYWHERE));
        return this;
    }

    /** Limits the accelerators that the fixture's organisation may have running. */
    SchedulerFixture capAccelerators(int cap) {
        return configure(new OrganisationLimits(0, 0, Resources.of(0, 0, cap)));
    }

    SchedulerFixture configure(OrganisationLimits limits) {
        state.configure(Map.of(), Map.of(ORGANISATION, limits));
        return this;
    }

    List<Order> decide() {
        return state.decide(now());
    }

    List<Order.Start> decideStarts() {
        return ordersOfType(Order.Start.class, decide());
    }

    List<Order.Stop> decideStops() {
        return ordersOfType(Order.Stop.class, decide());
    }

    static <T extends Order> List<T> ordersOfType(Class<T> type, List<Order> orders) {
        return orders.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Decides, and confirms every start. */
    List<Order.Start> startAll() {
        List<Order.Start> starts = decideStarts();
        starts.forEach(this::confirmStart);
        return starts;
    }

    void confirmStart(Order.Start start) {
        state.handleStartOutcome(start, StartOutcome.STARTED, now());
    }

    /** Reports the runs of a worker, in a list that was requested after all earlier answers. */
    SchedulerFixture report(String name, WorkerLists.Running... running) {
        advanceClock(1);
        state.updateRuns(
                worker(name),
                new WorkerLists(incarnations.get(worker(name)), List.of(running), List.of()),
                nowMillis,
                true,
                now());
        return this;
    }

    /** A listed run with a progress of 10 %. */
    static WorkerLists.Running running(TaskId task, long run) {
        return new WorkerLists.Running(task, run, "", 10);
    }

    /** Reports the end of one run and the other runs that its worker still lists. */
    SchedulerFixture reportEnd(Order.Start start, RunEnd runEnd, WorkerLists.Running... others) {
        return reportEnd(start.worker().value(), start.task(), start.run(), runEnd, "", others);
    }

    SchedulerFixture reportEnd(
            String worker,
            TaskId task,
            long run,
            RunEnd runEnd,
            String checkpoint,
            WorkerLists.Running... others) {
        long endNumber = endNumbers.merge(worker(worker), 1L, Long::sum);
        state.updateRuns(
                worker(worker),
                new WorkerLists(
                        incarnations.get(worker(worker)),
                        List.of(others),
                        List.of(new WorkerLists.Ended(endNumber, task, run, runEnd, checkpoint))),
                nowMillis,
                true,
                now());
        return this;
    }
}
