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

/** A board with workers that answer as they are told, on a clock that the test sets. */
final class SchedulerFixture {

    static final Resources WORKER = Resources.of(128_000, 512_000, 8);
    static final OrganisationId ORGANISATION = OrganisationId.of("circle");
    static final long EPOCH_RUNS = 1_000_000;

    /** A job of which it is stored that runs may be anywhere, so that it starts at once. */
    static final JobProgress ANNOUNCED =
            new JobProgress(JobState.QUEUED, List.of(), RunHosts.ANYWHERE);

    final SchedulerState board = new SchedulerState(EPOCH_RUNS);
    private final Map<WorkerId, Long> ends = new HashMap<>();
    private final Map<WorkerId, Long> born = new HashMap<>();
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

    static StepBuilder step(int count, long cpu, long memory, int accelerators) {
        return new StepBuilder(count, Resources.of(cpu, memory, accelerators));
    }

    /** Builds a step with the few properties that tests set. */
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

        StepBuilder near(String rack) {
            dataRack = rack;
            return this;
        }

        StepBuilder apart(int most) {
            maxPerWorker = most;
            return this;
        }

        StepBuilder estimate(long millis) {
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

    SchedulerFixture pass(long millis) {
        nowMillis += millis;
        return this;
    }

    /** Lists a worker that has told that it runs nothing. */
    SchedulerFixture openWorker(String name, String rack) {
        listWorker(name, rack);
        return report(name);
    }

    SchedulerFixture listWorker(String name, String rack) {
        return listWorker(name, rack, false, 0);
    }

    /** Lists a worker that leaves after a time at the earliest. */
    SchedulerFixture drainWorker(String name, String rack, long remainingMillis) {
        return listWorker(name, rack, true, remainingMillis);
    }

    private SchedulerFixture listWorker(
            String name, String rack, boolean draining, long remainingMillis) {
        WorkerId id = worker(name);
        born.putIfAbsent(id, 1L);
        board.putWorker(
                new WorkerInfo(
                        id,
                        born.get(id),
                        "rota",
                        Endpoint.parse("127.0.0.1:80"),
                        DataCentreId.of("jhb-a"),
                        rack,
                        List.of("a", rack),
                        WORKER,
                        draining,
                        remainingMillis,
                        0));
        board.admitWorker(id);
        return this;
    }

    SchedulerFixture restartWorker(String name) {
        born.merge(worker(name), 1L, Long::sum);
        ends.remove(worker(name));
        return report(name);
    }

    SchedulerFixture submit(int id, int priority, StepBuilder... steps) {
        List<StepSpec> specs = new ArrayList<>();
        for (StepBuilder step : steps) {
            specs.add(step.build());
        }
        return submit(id, priority, new JobRequest("x", specs, 0, 0, 0));
    }

    SchedulerFixture submitAdvised(int id, StepBuilder step) {
        QueuePolicy policy = new QueuePolicy("advised", "rota", 1, 3, 3, 1_500, true);
        JobRequest request = new JobRequest("x", List.of(step.build()), 0, 0, 0);
        board.addJob(
                new TaskJob(job(id), ORGANISATION, policy, nowMillis, request),
                Optional.of(ANNOUNCED));
        return this;
    }

    SchedulerFixture submit(int id, int priority, JobRequest request) {
        board.addJob(
                new TaskJob(job(id), ORGANISATION, queue(priority), nowMillis, request),
                Optional.of(ANNOUNCED));
        return this;
    }

    List<Order> decide() {
        return board.decide(now());
    }

    List<Order.Start> starts() {
        return of(Order.Start.class, decide());
    }

    List<Order.Stop> stops() {
        return of(Order.Stop.class, decide());
    }

    static <T extends Order> List<T> of(Class<T> type, List<Order> orders) {
        return orders.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Decides, and has the workers carry every start out. */
    List<Order.Start> startAll() {
        List<Order.Start> starts = starts();
        starts.forEach(this::answerStarted);
        return starts;
    }

    void answerStarted(Order.Start start) {
        board.handleStartOutcome(start, SchedulerState.StartOutcome.STARTED, now());
    }

    SchedulerFixture report(String name, WorkerLists.Running... running) {
        pass(1);
        board.updateRuns(
                worker(name),
                new WorkerLists(born.get(worker(name)), List.of(running), List.of()),
                nowMillis,
                true,
                now());
        return this;
    }

    static WorkerLists.Running running(TaskId task, long run) {
        return new WorkerLists.Running(task, run, "", 10);
    }

    /** Has a worker list one end beside the runs that go on. */
    SchedulerFixture end(Order.Start start, RunEnd how, WorkerLists.Running... others) {
        return end(start.worker().value(), start.task(), start.run(), how, "", others);
    }

    SchedulerFixture end(
            String worker,
            TaskId task,
            long run,
            RunEnd how,
            String checkpoint,
            WorkerLists.Running... others) {
        long number = ends.merge(worker(worker), 1L, Long::sum);
        board.updateRuns(
                worker(worker),
                new WorkerLists(
                        born.get(worker(worker)),
                        List.of(others),
                        List.of(new WorkerLists.Ended(number, task, run, how, checkpoint))),
                nowMillis,
                true,
                now());
        return this;
    }
}
