package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.store.JobRecords;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests one scheduler with workers that restart under their identifiers, beside cuts, refusals,
 * answers that are lost or slow, cancelled jobs and outages of the store.
 */
class WorkerRestartFuzzTest extends SchedulingFixture {

    private static final String[] WORKERS = {"w1", "w2", "w3", "w4"};
    private static final long SIMULATED_MILLIS = 60_000;
    private static final int MAX_JOBS = 60;
    private static final long HEARTBEAT_MILLIS = 2_000;

    /** Longer than the leases of an unresponsive worker take to lapse, in milliseconds. */
    private static final long RECOVERY_MILLIS = 15_000;

    /** The same if calls are carried out late. */
    private static final long RECOVERY_FROM_DELAYS_MILLIS = 40_000;

    private static final int MIN_DELAY_MILLIS = 2_000;
    private static final int MAX_DELAY_MILLIS = 12_000;

    /** Longer than a simulation, in milliseconds, so that no job is dropped before its end. */
    private static final long STATE_KEPT_MILLIS = 10_000_000;

    private final List<JobId> jobs = new ArrayList<>();
    private Random random;
    private Process process;
    private int processCount;

    /** Whether schedulers are replaced too. */
    private boolean replacesSchedulers;

    /** Whether the time of day of workers' machines is set back and forth. */
    private boolean setsClocks;

    /** Whether workers carry calls out late, without an answer. */
    private boolean delaysCalls;

    private final Set<Long> usedBornMillis = new HashSet<>(Set.of(1L));

    private void simulate(long seed) {
        random = new Random(seed);
        if (delaysCalls) {
            setStateKept(STATE_KEPT_MILLIS);
        }
        storeConfigurationAndWorkers(WORKERS);
        if (random.nextBoolean()) {
            reportWorkerClocks();
        }
        process = new Process("p" + processCount++);
        time.advance(4_000);
        long endMillis = time.monotonicMillis() + SIMULATED_MILLIS;
        while (time.monotonicMillis() < endMillis) {
            time.advance(random.nextInt(400));
            int choice = replacesSchedulers ? random.nextInt(16) : -1;
            if (delaysCalls && random.nextInt(12) == 0) {
                toggleDelay(WorkerId.of(WORKERS[random.nextInt(WORKERS.length)]));
            }
            if (choice == 0) {
                replaceScheduler();
            } else if (choice == 1) {
                toggle(
                        workers.losingConnections,
                        WorkerId.of(WORKERS[random.nextInt(WORKERS.length)]));
            } else {
                performRandomAction();
            }
        }
        recover();
    }

    private void performRandomAction() {
        String worker = WORKERS[random.nextInt(WORKERS.length)];
        WorkerId id = WorkerId.of(worker);
        switch (random.nextInt(16)) {
            case 0, 1, 2 -> submitJob();
            case 3, 4, 5, 6 -> finishRandomRun(random.nextInt(4) == 0);
            case 7, 8 -> restart(worker, random.nextInt(2_500));
            case 9 -> toggle(workers.disconnected, id);
            case 10 -> toggle(workers.losingAnswers, id);
            case 11 -> toggle(workers.refusing, id);
            case 12 -> toggle(workers.answerDelayMillis, id, 500);
            case 13 -> cancelRandomJob();
            case 14 -> store.fault = Fault.REFUSING;
            default -> store.fault = Fault.NONE;
        }
    }

    private void submitJob() {
        if (jobs.size() < MAX_JOBS) {
            JobId id = JobId.of(String.format("%016x", 0xf00 + jobs.size()));
            jobs.add(id);
            submit(id, 1 + random.nextInt(2), false);
        }
    }

    private void cancelRandomJob() {
        if (!jobs.isEmpty()) {
            store.write(Stream.JOBS, JobRecords.cancelled(jobs.get(random.nextInt(jobs.size()))));
        }
    }

    private void finishRandomRun(boolean fails) {
        List<Runnable> ends = new ArrayList<>();
        RunEnd end = fails ? RunEnd.FAILED : RunEnd.DONE;
        for (Map.Entry<WorkerId, Set<TaskId>> host : workers.running().entrySet()) {
            for (TaskId task : host.getValue()) {
                ends.add(() -> workers.finish(host.getKey().value(), task, end));
            }
        }
        if (!ends.isEmpty()) {
            ends.get(random.nextInt(ends.size())).run();
        }
    }

    /** Restarts a worker, which registers some time later. */
    private void restart(String worker, long registrationDelayMillis) {
        if (setsClocks) {
            long endedBornMillis = workers.worker(worker).bornMillis;
            workers.restart(worker, unusedBornMillis());
            if (random.nextInt(4) == 0) {
                writeLate(worker, endedBornMillis, random.nextInt(4_000));
            }
        } else {
            workers.restart(worker);
        }
        time.after(registrationDelayMillis, () -> register(worker));
    }

    private long unusedBornMillis() {
        long bornMillis = random.nextInt(1_000_000);
        return usedBornMillis.add(bornMillis) ? bornMillis : unusedBornMillis();
    }

    /** Writes the entry of an ended incarnation, and that of the current one with its next beat. */
    private void writeLate(String worker, long bornMillis, long delayMillis) {
        time.after(delayMillis, () -> store.write(Stream.WORKERS, record(worker, bornMillis)));
        time.after(delayMillis + HEARTBEAT_MILLIS, () -> register(worker));
    }

    /** Starts a new process. The old one may go on without connections and must not interfere. */
    private void replaceScheduler() {
        switch (random.nextInt(3)) {
            case 0 -> process.links.disconnectAll(WORKERS);
            case 1 -> process.links.disconnectStore();
            default -> process.candidate.resign().subscribe().with(done -> {});
        }
        process = new Process("p" + processCount++);
    }

    private static void toggle(Set<WorkerId> workers, WorkerId id) {
        if (!workers.remove(id)) {
            workers.add(id);
        }
    }

    private void toggleDelay(WorkerId id) {
        if (workers.lateMillis.remove(id) == null) {
            int range = MAX_DELAY_MILLIS - MIN_DELAY_MILLIS + 1;
            workers.lateMillis.put(id, (long) MIN_DELAY_MILLIS + random.nextInt(range));
        }
    }

    private void toggle(Map<WorkerId, Long> delays, WorkerId id, int maxMillis) {
        if (delays.remove(id) == null) {
            delays.put(id, (long) random.nextInt(maxMillis));
        }
    }

    /** Ends all faults, and finishes runs until every job has ended. */
    private void recover() {
        store.fault = Fault.NONE;
        workers.disconnected.clear();
        workers.losingAnswers.clear();
        workers.losingConnections.clear();
        workers.refusing.clear();
        workers.answerDelayMillis.clear();
        workers.lateMillis.clear();
        long recoveryMillis = delaysCalls ? RECOVERY_FROM_DELAYS_MILLIS : RECOVERY_MILLIS;
        time.advance(recoveryMillis);
        for (int i = 0; i < 10 * MAX_JOBS && !process.unendedOf(jobs).isEmpty(); i++) {
            finishRandomRun(false);
            time.advance(500);
        }
        time.advance(recoveryMillis);
    }

    private void assertEachTaskRanOnceAndNoneIsLeft() {
        assertEquals(List.of(), workers.overlaps);
        assertEquals(List.of(), workers.repeats);
        assertEquals(List.of(), workers.unreadEnds);
        assertEquals(List.of(), process.unendedOf(jobs));
        assertEquals(
                Set.of(),
                Set.copyOf(workers.running().values().stream().flatMap(Set::stream).toList()));
        for (String worker : WORKERS) {
            assertEquals(List.of(), workers.worker(worker).ended);
        }
    }

    @Nested
    class RandomRestarts {

        /**
         * Guards against ends that a later scheduler doesn't know of, or counts for another run.
         */
        @ParameterizedTest
        @ValueSource(
                longs = {
                    101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112, 113, 114, 115, 116,
                    117, 118, 119, 120
                })
        void besideChangesOfTheSchedulerCauseNeither(long seed) {
            replacesSchedulers = true;
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }

        /** Guards against calls that the next incarnation carries out seconds later. */
        @ParameterizedTest
        @ValueSource(
                longs = {
                    4101, 4102, 4103, 4104, 4105, 4106, 4107, 4108, 4109, 4110, 4111, 4112, 4113,
                    4114, 4115, 4129, 4170, 4296
                })
        void besideDelayedCallsCauseNeither(long seed) {
            delaysCalls = true;
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }

        /** Guards against the same beside changes of the scheduler. */
        @ParameterizedTest
        @ValueSource(longs = {1101, 1102, 1103, 1104, 1105, 1106, 1107, 1108, 1109, 1110})
        void besideDelayedCallsAndChangesOfTheSchedulerCauseNeither(long seed) {
            delaysCalls = true;
            replacesSchedulers = true;
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }

        /** Guards against the same on machines whose clocks are set. */
        @ParameterizedTest
        @ValueSource(longs = {2101, 2102, 2103, 2104, 2105, 2106, 2107, 2108, 2109, 2110})
        void besideDelayedCallsOnMachinesWhoseClocksAreSetCauseNeither(long seed) {
            delaysCalls = true;
            setsClocks = true;
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }

        /** Guards against an order of incarnations by their start times. */
        @ParameterizedTest
        @ValueSource(
                longs = {201, 202, 203, 204, 205, 206, 207, 208, 209, 210, 211, 212, 213, 214, 215})
        void onMachinesWhoseClocksAreSetCauseNeither(long seed) {
            setsClocks = true;
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }

        /** Guards against the same beside changes of the scheduler. */
        @ParameterizedTest
        @ValueSource(longs = {301, 302, 303, 304, 305, 306, 307, 308, 309, 310})
        void onMachinesWhoseClocksAreSetBesideChangesOfTheSchedulerCauseNeither(long seed) {
            setsClocks = true;
            replacesSchedulers = true;
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }

        @ParameterizedTest
        @ValueSource(
                longs = {
                    1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22,
                    23, 24, 25, 26, 27, 28, 29, 30
                })
        void causeNoTaskToRunTwiceAndLeaveNoneBehind(long seed) {
            simulate(seed);
            assertEachTaskRanOnceAndNoneIsLeft();
        }
    }
}
