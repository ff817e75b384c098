package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests random faults: schedulers that die, resign or lose the store, unresponsive workers. */
class SuccessionFuzzTest extends SchedulingFixture {

    private static final String[] WORKERS = {"w1", "w2", "w3", "w4", "w5"};
    private static final long SIMULATED_MILLIS = 60_000;
    private static final int MAX_JOBS = 40;

    /** Longer than the leases of an unresponsive worker take to lapse, in milliseconds. */
    private static final long RECOVERY_MILLIS = 15_000;

    private final List<JobId> jobs = new ArrayList<>();
    private Random random;
    private Process newestProcess;
    private int processCount;
    private boolean equalRandomNumbers;
    private boolean rivals;

    private void simulate(long seed) {
        random = new Random(seed);
        storeConfigurationAndWorkers(WORKERS);
        newestProcess = startProcess();
        long endMillis = time.monotonicMillis() + SIMULATED_MILLIS;
        while (time.monotonicMillis() < endMillis) {
            time.advance(random.nextInt(800));
            performRandomAction();
        }
        recover();
    }

    private void performRandomAction() {
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> submitJob();
            case 3, 4, 5 -> finishRandomRun(random.nextInt(4) == 0 ? RunEnd.FAILED : RunEnd.DONE);
            case 6 -> toggleConnection();
            case 7 -> replaceScheduler();
            case 8 -> store.fault = Fault.values()[random.nextInt(Fault.values().length)];
            default -> store.fault = Fault.NONE;
        }
    }

    private void submitJob() {
        if (jobs.size() < MAX_JOBS) {
            JobId id = JobId.of(String.format("%016x", 0xf00 + jobs.size()));
            jobs.add(id);
            submit(id, 1 + random.nextInt(3), random.nextBoolean());
        }
    }

    private void finishRandomRun(RunEnd end) {
        List<Runnable> ends = new ArrayList<>();
        workers.running()
                .forEach(
                        (worker, tasks) ->
                                tasks.forEach(task -> ends.add(() -> finish(worker, task, end))));
        if (!ends.isEmpty()) {
            ends.get(random.nextInt(ends.size())).run();
        }
    }

    /** Ends a task and the other members of its gang, which have the same run number. */
    private void finish(WorkerId worker, TaskId endedTask, RunEnd end) {
        Long run = workers.worker(worker.value()).running.get(endedTask);
        RunEnd endOfOthers = end == RunEnd.DONE ? RunEnd.DONE : RunEnd.BROKEN;
        workers.running()
                .forEach(
                        (host, tasks) ->
                                tasks.stream()
                                        .filter(task -> task.job().equals(endedTask.job()))
                                        .filter(task -> isRunOf(run, host, task))
                                        .forEach(
                                                task ->
                                                        workers.finish(
                                                                host.value(),
                                                                task,
                                                                task.equals(endedTask)
                                                                        ? end
                                                                        : endOfOthers)));
    }

    private boolean isRunOf(Long run, WorkerId host, TaskId task) {
        return run.equals(workers.worker(host.value()).running.get(task));
    }

    private void toggleConnection() {
        WorkerId worker = WorkerId.of(WORKERS[random.nextInt(WORKERS.length)]);
        if (!workers.disconnected.remove(worker)) {
            workers.disconnected.add(worker);
        }
    }

    /** Starts a new process. The old one may go on without connections and must not interfere. */
    private void replaceScheduler() {
        switch (random.nextInt(3)) {
            case 0 -> newestProcess.links.disconnectAll(WORKERS);
            case 1 -> newestProcess.links.disconnectStore();
            default -> newestProcess.candidate.resign().subscribe().with(done -> {});
        }
        newestProcess = startProcess();
    }

    /** Starts a process; if candidates are to have equal random numbers, starts two. */
    private Process startProcess() {
        if (rivals) {
            new Process("p" + processCount++);
        }
        if (!equalRandomNumbers) {
            return new Process("p" + processCount++);
        }
        new Process("p" + processCount++, 1, new Random(1));
        return new Process("p" + processCount++, 1, new Random(1));
    }

    /** Ends all faults, and finishes runs until every job has ended. */
    private void recover() {
        store.fault = Fault.NONE;
        workers.disconnected.clear();
        time.advance(RECOVERY_MILLIS);
        for (int i = 0; i < 10 * MAX_JOBS && !newestProcess.unendedOf(jobs).isEmpty(); i++) {
            finishRandomRun(RunEnd.DONE);
            time.advance(500);
        }
        time.advance(RECOVERY_MILLIS);
    }

    @Nested
    class RandomFaults {

        /** Each first call of a scheduler renews leases by the clock in the worker's entry. */
        @ParameterizedTest
        @ValueSource(longs = {41, 42, 43, 44, 45, 46, 47, 48, 49, 50})
        void causeNeitherWithWorkerClocksAndAShorterMaximum(long seed) {
            setMaxLease(6_000);
            reportWorkerClocks();
            causeNeitherOverlappingRunsNorUnendedJobs(seed);
        }

        /** Guards against overlapping terms of processes that stay connected. */
        @ParameterizedTest
        @ValueSource(longs = {51, 52, 53, 54, 55, 56, 57, 58, 59, 60})
        void causeNeitherWithRivals(long seed) {
            rivals = true;
            causeNeitherOverlappingRunsNorUnendedJobs(seed);
        }

        /** Guards against two schedulers of one epoch, which start the same tasks. */
        @ParameterizedTest
        @ValueSource(longs = {51, 52, 53, 54, 55, 56, 57, 58, 59, 60})
        void causeNeitherWithEqualRandomNumbers(long seed) {
            equalRandomNumbers = true;
            causeNeitherOverlappingRunsNorUnendedJobs(seed);
        }

        @ParameterizedTest
        @ValueSource(
                longs = {
                    1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22,
                    23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36, 37, 38, 39, 40
                })
        void causeNeitherOverlappingRunsNorUnendedJobs(long seed) {
            simulate(seed);
            assertEquals(List.of(), workers.overlaps);
            assertEquals(List.of(), newestProcess.unendedOf(jobs));
            assertEquals(
                    Set.of(),
                    Set.copyOf(workers.running().values().stream().flatMap(Set::stream).toList()));
        }
    }
}
