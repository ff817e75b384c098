package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.StepSpec;
import io.cardamomshelf.core.task.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

/**
 * Simulated workers that carry out the orders of a scheduler state and report to it.
 *
 * <p>Limits: they have no faults and answer at once. A gang progresses at the speed of its slowest
 * worker. The text of a checkpoint is the progress of the run, from 0 to 1.
 */
final class SimulatedWorkers {

    /**
     * What a task runs.
     *
     * @param millis its mean working time at speed 1
     * @param spread by how much the work of the tasks of a step that isn't a gang differs from the
     *     mean at most, as a share
     */
    record Work(StepSpec step, long millis, double spread) {

        /** The working time of one task, which is the same in each of its runs. */
        double millis(TaskId task) {
            return step.gang()
                    ? millis
                    : millis * (1 + spread * (2 * new Random(task.hashCode()).nextDouble() - 1));
        }
    }

    /** The speed of a worker at a time; 1 takes the working time of a task. */
    @FunctionalInterface
    interface Speeds {

        /** Equal and constant speeds. */
        Speeds EQUAL = (index, elapsedMillis) -> 1;

        double speed(int index, long elapsedMillis);
    }

    private static final class ActiveRun {
        private final Order.Start start;
        private final Work work;
        private final double workMillis;
        private double progress;
        private long workedUntilMillis = -1;
        private long stopsAtMillis = Long.MAX_VALUE;

        private ActiveRun(Order.Start start, Work work) {
            this.start = start;
            this.work = work;
            this.workMillis = work.millis(start.task());
            this.progress =
                    start.checkpoint().isEmpty() ? 0 : Double.parseDouble(start.checkpoint());
        }

        private String checkpoint() {
            return work.step().checkpointing() && progress > 0 ? String.valueOf(progress) : "";
        }
    }

    private static final long STOP_DELAY_MILLIS = 200;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final int NON_LOCAL_SLOWDOWN = 3;
    private static final int BORN_MILLIS = 1;

    /** The error of sums of progress up to which a task counts as done. */
    private static final double ROUNDING = 1e-9;

    private final SchedulerState state;
    private final Function<JobId, Work> workOf;
    private final Map<WorkerId, String> racks = new LinkedHashMap<>();
    private final Map<WorkerId, List<ActiveRun>> active = new LinkedHashMap<>();
    private final Map<WorkerId, List<WorkerLists.Ended>> ended = new HashMap<>();
    private final Map<WorkerId, Long> endNumbers = new HashMap<>();
    private final Map<WorkerId, Integer> indices = new HashMap<>();
    private Speeds speeds = Speeds.EQUAL;
    private long initialMillis;

    SimulatedWorkers(SchedulerState state, Function<JobId, Work> workOf) {
        this.state = state;
        this.workOf = workOf;
    }

    void setSpeeds(Speeds newSpeeds) {
        speeds = newSpeeds;
    }

    void add(int count, int rackSize, Resources capacity, ClockReading now) {
        initialMillis = now.monotonicMillis();
        for (int i = 0; i < count; i++) {
            indices.put(WorkerId.of("w" + i), i);
            add(WorkerId.of("w" + i), "r" + i / rackSize, capacity, now);
        }
    }

    private void add(WorkerId id, String rack, Resources capacity, ClockReading now) {
        racks.put(id, rack);
        active.put(id, new ArrayList<>());
        ended.put(id, new ArrayList<>());
        state.putWorker(
                new WorkerInfo(
                        id,
                        BORN_MILLIS,
                        LoadSimulation.SERVICE,
                        Endpoint.parse("127.0.0.1:80"),
                        DataCentreId.of("jhb-a"),
                        rack,
                        List.of("a", rack),
                        capacity,
                        false,
                        0,
                        0));
        state.admitWorker(id);
        report(id, now);
    }

    void carryOut(Order order, ClockReading now) {
        if (order instanceof Order.Start start) {
            active.get(start.worker()).add(new ActiveRun(start, workOf.apply(start.task().job())));
            state.handleStartOutcome(start, StartOutcome.STARTED, now);
        } else if (order instanceof Order.Stop stop) {
            active.get(stop.worker()).stream()
                    .filter(run -> run.start.task().equals(stop.task()))
                    .filter(run -> run.start.run() == stop.run())
                    .forEach(run -> run.stopsAtMillis = now.monotonicMillis() + STOP_DELAY_MILLIS);
            state.confirmStopOrder(stop, now);
        }
    }

    /**
     * Advances all runs to the given time. Reports ended runs at once, and the progress of the
     * others once a second.
     */
    void advanceTo(ClockReading now, long previousMillis) {
        Map<Long, List<ActiveRun>> gangs = new LinkedHashMap<>();
        for (List<ActiveRun> runs : active.values()) {
            for (ActiveRun run : List.copyOf(runs)) {
                if (now.monotonicMillis() >= run.stopsAtMillis) {
                    end(run, RunEnd.STOPPED);
                } else if (run.work.step().gang()) {
                    gangs.computeIfAbsent(run.start.run(), key -> new ArrayList<>()).add(run);
                } else {
                    advance(run, now.monotonicMillis(), speed(run, now.monotonicMillis()));
                }
            }
        }
        gangs.values().forEach(gang -> advanceGang(gang, now.monotonicMillis()));
        boolean reportDue =
                now.monotonicMillis() / REPORT_INTERVAL_MILLIS
                        != previousMillis / REPORT_INTERVAL_MILLIS;
        for (WorkerId id : active.keySet()) {
            if (!ended.get(id).isEmpty() || reportDue && !active.get(id).isEmpty()) {
                report(id, now);
            }
        }
    }

    private void advanceGang(List<ActiveRun> gang, long nowMillis) {
        StepSpec step = gang.get(0).work.step();
        if (gang.size() == step.count()) {
            long rackCount =
                    gang.stream().map(run -> racks.get(run.start.worker())).distinct().count();
            int slowdown = step.rackLocal() && rackCount > 1 ? NON_LOCAL_SLOWDOWN : 1;
            double slowest =
                    gang.stream().mapToDouble(run -> speed(run, nowMillis)).min().orElseThrow();
            gang.forEach(run -> advance(run, nowMillis, slowest / slowdown));
        }
    }

    private double speed(ActiveRun run, long nowMillis) {
        return speeds.speed(indices.get(run.start.worker()), nowMillis - initialMillis);
    }

    private void advance(ActiveRun run, long nowMillis, double speed) {
        if (run.workedUntilMillis >= 0) {
            run.progress += (nowMillis - run.workedUntilMillis) * speed / run.workMillis;
        }
        run.workedUntilMillis = nowMillis;
        if (run.progress >= 1 - ROUNDING) {
            end(run, RunEnd.DONE);
        }
    }

    private void end(ActiveRun run, RunEnd runEnd) {
        WorkerId worker = run.start.worker();
        long endNumber = endNumbers.merge(worker, 1L, Long::sum);
        String checkpoint = runEnd == RunEnd.DONE ? "" : run.checkpoint();
        active.get(worker).remove(run);
        ended.get(worker)
                .add(
                        new WorkerLists.Ended(
                                endNumber, run.start.task(), run.start.run(), runEnd, checkpoint));
    }

    private void report(WorkerId id, ClockReading now) {
        List<WorkerLists.Running> running =
                active.get(id).stream()
                        .map(
                                run ->
                                        new WorkerLists.Running(
                                                run.start.task(),
                                                run.start.run(),
                                                run.checkpoint(),
                                                (int) Math.min(99, 100 * run.progress)))
                        .toList();
        WorkerLists lists = new WorkerLists(BORN_MILLIS, running, List.copyOf(ended.get(id)));
        state.updateRuns(id, lists, now.monotonicMillis(), true, now);
        ended.get(id).clear();
    }
}
