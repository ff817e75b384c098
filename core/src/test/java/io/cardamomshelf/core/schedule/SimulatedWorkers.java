package io.cardamomshelf.core.schedule;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.Resources;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.StepSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Simulated workers that carry out the orders of a scheduler state and report to it.
 *
 * <p>Limits: they have no faults, answer at once and progress evenly. The text of a checkpoint is
 * the progress of the run, from 0 to 1.
 */
final class SimulatedWorkers {

    /** What a task runs: its step and its working time. */
    record Work(StepSpec step, long millis) {}

    private static final class ActiveRun {
        private final Order.Start start;
        private final Work work;
        private final double initialProgress;
        private double progress;
        private long workingSinceMillis = -1;
        private long stopsAtMillis = Long.MAX_VALUE;

        private ActiveRun(Order.Start start, Work work) {
            this.start = start;
            this.work = work;
            this.initialProgress =
                    start.checkpoint().isEmpty() ? 0 : Double.parseDouble(start.checkpoint());
            this.progress = initialProgress;
        }

        private String checkpoint() {
            return work.step().checkpointing() && progress > 0 ? String.valueOf(progress) : "";
        }
    }

    private static final long STOP_DELAY_MILLIS = 200;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;
    private static final int NON_LOCAL_SLOWDOWN = 3;
    private static final int BORN_MILLIS = 1;

    private final SchedulerState state;
    private final Function<JobId, Work> workOf;
    private final Map<WorkerId, String> racks = new LinkedHashMap<>();
    private final Map<WorkerId, List<ActiveRun>> active = new LinkedHashMap<>();
    private final Map<WorkerId, List<WorkerLists.Ended>> ended = new HashMap<>();
    private final Map<WorkerId, Long> endNumbers = new HashMap<>();

    SimulatedWorkers(SchedulerState state, Function<JobId, Work> workOf) {
        this.state = state;
        this.workOf = workOf;
    }

    void add(int count, int rackSize, Resources capacity, ClockReading now) {
        for (int i = 0; i < count; i++) {
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
                    advance(run, now.monotonicMillis(), 1);
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
            gang.forEach(run -> advance(run, nowMillis, slowdown));
        }
    }

    private void advance(ActiveRun run, long nowMillis, int slowdown) {
        if (run.workingSinceMillis < 0) {
            run.workingSinceMillis = nowMillis;
        }
        double workedMillis = (double) (nowMillis - run.workingSinceMillis) / slowdown;
        run.progress = run.initialProgress + workedMillis / run.work.millis();
        if (run.progress >= 1) {
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
