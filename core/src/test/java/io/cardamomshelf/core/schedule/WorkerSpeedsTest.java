package io.cardamomshelf.core.schedule;

import static io.cardamomshelf.core.schedule.SchedulerFixture.step;
import static io.cardamomshelf.core.schedule.SchedulerFixture.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests what is learnt from three runs on each of nine workers, whose progress the tests set, and
 * where later work is placed. Each rack has a slow, a normal and a fast worker.
 */
class WorkerSpeedsTest {

    private static final int WORKERS = 9;
    private static final int TASKS_PER_WORKER = 3;
    private static final long FORGET_MILLIS = 240_000;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private final Map<String, List<Order.Start>> runs = new TreeMap<>();
    private int jobs;

    WorkerSpeedsTest() {
        for (int i = 1; i <= WORKERS; i++) {
            fixture.addIdleWorker("w" + i, "r" + (i - 1) / 3);
        }
    }

    private static int percentByModel(String name) {
        return switch (Integer.parseInt(name.substring(1)) % 3) {
            case 1 -> 8;
            case 2 -> 10;
            default -> 12;
        };
    }

    /** Runs tasks on all workers for some seconds, and ends them. */
    private void runTasks(ToIntFunction<String> percentPerSecond) {
        fixture.submit(
                ++jobs, 1, step(WORKERS * TASKS_PER_WORKER, 1_000, 1_000, 2).maxPerWorker(3));
        runs.clear();
        fixture.startAll()
                .forEach(
                        start ->
                                runs.computeIfAbsent(
                                                start.worker().value(), key -> new ArrayList<>())
                                        .add(start));
        assertEquals(WORKERS, runs.size());
        for (int second = 1; second <= 7; second++) {
            fixture.advanceClock(1_000);
            int elapsed = second;
            runs.forEach(
                    (name, starts) ->
                            fixture.report(
                                    name,
                                    running(starts, elapsed * percentPerSecond.applyAsInt(name))));
            fixture.decide();
        }
        runs.values().forEach(this::endAll);
        fixture.decide();
    }

    /** A task of each worker has 2% more work, and one has 2% less. */
    private static WorkerLists.Running[] running(List<Order.Start> starts, int percent) {
        WorkerLists.Running[] rows = new WorkerLists.Running[starts.size()];
        for (int i = 0; i < rows.length; i++) {
            Order.Start start = starts.get(i);
            int shown = percent * (99 + i) / 100;
            rows[i] = new WorkerLists.Running(start.task(), start.run(), "", shown);
        }
        return rows;
    }

    private void endAll(List<Order.Start> starts) {
        for (int i = 0; i < starts.size(); i++) {
            fixture.reportEnd(
                    starts.get(i),
                    RunEnd.STOPPED,
                    running(starts.subList(i + 1, starts.size()), 99));
        }
        fixture.state.cancel(starts.get(0).task().job());
    }

    private FleetSpeeds speeds() {
        return fixture.state.observations().speeds();
    }

    private static Set<WorkerId> workers(String... names) {
        return List.of(names).stream().map(SchedulerFixture::worker).collect(Collectors.toSet());
    }

    private List<String> hosts(SchedulerFixture.StepBuilder step, int priority) {
        fixture.submit(++jobs, priority, step);
        return fixture.startAll().stream().map(start -> start.worker().value()).sorted().toList();
    }

    @Nested
    class Learning {

        @Test
        void findsSlowAndFastWorkers() {
            runTasks(WorkerSpeedsTest::percentByModel);
            assertEquals(workers("w1", "w4", "w7"), speeds().slow());
            assertEquals(workers("w3", "w6", "w9"), speeds().fast());
            assertEquals(WORKERS, speeds().known());
        }

        @Test
        void findsNothingOnEqualWorkers() {
            runTasks(name -> 10);
            assertEquals(0, speeds().known());
        }

        /** Guards against a speed that is ascribed to a worker of another model or size. */
        @Test
        void startsAgainForARestartedWorker() {
            runTasks(WorkerSpeedsTest::percentByModel);
            fixture.restartWorker("w1").advanceClock(1_000).decide();
            assertEquals(workers("w4", "w7"), speeds().slow());
            assertEquals(WORKERS - 1, speeds().known());
        }

        @Test
        void isForgottenWithoutNewRuns() {
            runTasks(WorkerSpeedsTest::percentByModel);
            fixture.advanceClock(FORGET_MILLIS).decide();
            assertEquals(FleetSpeeds.NONE, speeds());
        }

        /** Guards against avoiding a worker for long after it was slow for some seconds. */
        @Test
        void leavesOutStragglers() {
            runTasks(name -> name.equals("w5") ? 2 : 10);
            assertEquals(FleetSpeeds.NONE, speeds());
            assertEquals(Set.of(worker("w5")), fixture.state.stragglers());
        }
    }

    @Nested
    class Placement {

        @Test
        void putsAnUrgentGangOnFastWorkers() {
            runTasks(WorkerSpeedsTest::percentByModel);
            assertEquals(List.of("w3", "w6", "w9"), hosts(step(3, 1_000, 1_000, 8).gang(), 0));
        }

        @Test
        void putsAnUrgentTaskOnAFastWorkerThatWouldBeLeftMostlyEmpty() {
            runTasks(WorkerSpeedsTest::percentByModel);
            hosts(step(1, 1_000, 1_000, 7).label("r0"), 1);
            assertEquals(List.of("w3"), hosts(step(1, 1_000, 1_000, 1).label("r0"), 0));
        }

        /** Guards against a fast worker that waits for the slow members of the same gang. */
        @Test
        void leavesFastWorkersOutOfAGangWithASlowMember() {
            runTasks(WorkerSpeedsTest::percentByModel);
            hosts(step(2, 1_000, 1_000, 8).gang().label("r0"), 0);
            assertEquals(
                    List.of("w1", "w4", "w5", "w7", "w8"),
                    hosts(step(5, 1_000, 1_000, 8).gang(), 1));
        }

        @Test
        void putsAnUrgentGangIntoTheFasterRack() {
            runTasks(name -> name.compareTo("w4") < 0 ? 9 : name.compareTo("w7") < 0 ? 11 : 7);
            assertEquals(
                    List.of("w4", "w5", "w6"),
                    hosts(step(3, 1_000, 1_000, 8).gang().rackLocal(), 0));
        }

        @Test
        void leavesFastWorkersToUrgentWork() {
            runTasks(WorkerSpeedsTest::percentByModel);
            assertEquals(List.of("w1"), hosts(step(1, 1_000, 1_000, 1), 2));
        }

        /** Guards against work that waits for a fast worker beside free capacity. */
        @Test
        void usesSlowWorkersWhereNoOthersAreFree() {
            runTasks(WorkerSpeedsTest::percentByModel);
            assertEquals(WORKERS, hosts(step(WORKERS, 1_000, 1_000, 8).gang(), 0).size());
        }
    }
}
