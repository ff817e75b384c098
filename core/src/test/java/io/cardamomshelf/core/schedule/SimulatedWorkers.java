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
 * Workers in memory that carry a board's orders out, work and tell.
 *
 * <p>Limits: they are sound, answer at once and progress evenly.
 */
final class SimulatedWorkers {

    /** What is run for a task: its step and how long it works. */
    record Work(StepSpec step, long millis) {}

    private static final class Active {
        private final Order.Start start;
        private final Work work;
        private final double doneBefore;
        private double done;
        private long workingSince = -1;
        private long stoppedAt = Long.MAX_VALUE;

        private Active(Order.Start start, Work work) {
            this.start = start;
            this.work = work;
            this.doneBefore =
                    start.checkpoint().isEmpty() ? 0 : Double.parseDouble(start.checkpoint());
            this.done = doneBefore;
        }

        private String saved() {
            return work.step().checkpointing() && done > 0 ? String.valueOf(done) : "";
        }
    }

    private static final long STOP_MILLIS = 200;
    private static final long TELL_MILLIS = 1_000;
    private static final int SPREAD_FACTOR = 3;
    private static final int BORN = 1;

    private final SchedulerState board;
    private final Function<JobId, Work> workOf;
    private final Map<WorkerId, String> racks = new LinkedHashMap<>();
    private final Map<WorkerId, List<Active>> active = new LinkedHashMap<>();
    private final Map<WorkerId, List<WorkerLists.Ended>> ended = new HashMap<>();
    private final Map<WorkerId, Long> ends = new HashMap<>();

    SimulatedWorkers(SchedulerState board, Function<JobId, Work> workOf) {
        this.board = board;
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
        board.putWorker(
                new WorkerInfo(
                        id,
                        BORN,
                        LoadSimulation.SERVICE,
                        Endpoint.parse("127.0.0.1:80"),
                        DataCentreId.of("jhb-a"),
                        rack,
                        List.of("a", rack),
                        capacity,
                        false,
                        0,
                        0));
        board.admitWorker(id);
        tell(id, now);
    }

    void carryOut(Order order, ClockReading now) {
        if (order instanceof Order.Start start) {
            active.get(start.worker()).add(new Active(start, workOf.apply(start.task().job())));
            board.handleStartOutcome(start, SchedulerState.StartOutcome.STARTED, now);
        } else if (order instanceof Order.Stop stop) {
            active.get(stop.worker()).stream()
                    .filter(run -> run.start.task().equals(stop.task()))
                    .filter(run -> run.start.run() == stop.run())
                    .forEach(run -> run.stoppedAt = now.monotonicMillis() + STOP_MILLIS);
            board.confirmStopOrder(stop, now);
        }
    }

    /** Works up to now, and tells what has ended and, once a second, how far the rest is. */
    void work(ClockReading now, long sinceMillis) {
        Map<Long, List<Active>> gangs = new LinkedHashMap<>();
        for (List<Active> runs : active.values()) {
            for (Active run : List.copyOf(runs)) {
                if (now.monotonicMillis() >= run.stoppedAt) {
                    end(run, RunEnd.STOPPED);
                } else if (run.work.step().gang()) {
                    gangs.computeIfAbsent(run.start.run(), any -> new ArrayList<>()).add(run);
                } else {
                    advance(run, now.monotonicMillis(), 1);
                }
            }
        }
        gangs.values().forEach(gang -> workTogether(gang, now.monotonicMillis()));
        boolean due = now.monotonicMillis() / TELL_MILLIS != sinceMillis / TELL_MILLIS;
        for (WorkerId id : active.keySet()) {
            if (!ended.get(id).isEmpty() || due && !active.get(id).isEmpty()) {
                tell(id, now);
            }
        }
    }

    private void workTogether(List<Active> gang, long now) {
        StepSpec step = gang.get(0).work.step();
        if (gang.size() == step.count()) {
            long used = gang.stream().map(run -> racks.get(run.start.worker())).distinct().count();
            int slow = step.rackLocal() && used > 1 ? SPREAD_FACTOR : 1;
            gang.forEach(run -> advance(run, now, slow));
        }
    }

    private void advance(Active run, long now, int slow) {
        if (run.workingSince < 0) {
            run.workingSince = now;
        }
        double worked = (double) (now - run.workingSince) / slow;
        run.done = run.doneBefore + worked / run.work.millis();
        if (run.done >= 1) {
            end(run, RunEnd.DONE);
        }
    }

    private void end(Active run, RunEnd how) {
        WorkerId worker = run.start.worker();
        long number = ends.merge(worker, 1L, Long::sum);
        String saved = how == RunEnd.DONE ? "" : run.saved();
        active.get(worker).remove(run);
        ended.get(worker)
                .add(new WorkerLists.Ended(number, run.start.task(), run.start.run(), how, saved));
    }

    private void tell(WorkerId id, ClockReading now) {
        List<WorkerLists.Running> rows =
                active.get(id).stream()
                        .map(
                                run ->
                                        new WorkerLists.Running(
                                                run.start.task(),
                                                run.start.run(),
                                                run.saved(),
                                                (int) Math.min(99, 100 * run.done)))
                        .toList();
        WorkerLists lists = new WorkerLists(BORN, rows, List.copyOf(ended.get(id)));
        board.updateRuns(id, lists, now.monotonicMillis(), true, now);
        ended.get(id).clear();
    }
}
