package io.cardamomshelf.node.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.task.RunEnd;
import io.cardamomshelf.core.task.TaskId;
import io.cardamomshelf.node.FakeStore.Fault;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.store.JobRecords;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that no start brings an organisation above its cap, beside random faults: changes of the
 * scheduler, unresponsive and restarting workers, lost answers, calls that are carried out seconds
 * late, cancelled jobs, and changes of the cap.
 *
 * <p>The system properties {@code caps.seed} and {@code caps.seeds} give the first seed and the
 * number of seeds of a longer run.
 */
class OrganisationCapsFuzzTest extends SchedulingFixture {

    private static final long FIRST_SEED = Long.getLong("caps.seed", 1);
    private static final long SEEDS = Long.getLong("caps.seeds", 20);

    private static final String[] WORKERS = {"w1", "w2", "w3", "w4", "w5", "w6"};
    private static final long SIMULATED_MILLIS = 60_000;
    private static final int MAX_JOBS = 60;
    private static final int MAX_SIZE = 4;
    private static final int MIN_CAP = 8;
    private static final int MAX_CAP = 24;

    /** Longer than an old cap may be in force, or a start under it may be late, in milliseconds. */
    private static final long CAP_KEPT_MILLIS = 16_000;

    private static final long RECOVERY_MILLIS = 40_000;

    private record Cap(int accelerators, long replacedMillis) {}

    private final List<JobId> jobs = new ArrayList<>();
    private final Map<JobId, Integer> sizes = new HashMap<>();
    private final List<String> excesses = new ArrayList<>();
    private final Deque<Cap> earlierCaps = new ArrayDeque<>();
    private int cap;
    private Random random;
    private Process process;
    private int processCount;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    private void simulate(long seed) {
        random = new Random(seed);
        workers.onStart = this::recordExcess;
        setStateKept(10 * SIMULATED_MILLIS);
        storeConfigurationAndWorkers(WORKERS);
        changeCap();
        process = new Process("p" + processCount++);
        time.advance(4_000);
        long endMillis = time.monotonicMillis() + SIMULATED_MILLIS;
        while (time.monotonicMillis() < endMillis) {
            time.advance(random.nextInt(400));
            performRandomAction();
        }
        recover();
    }

    private void performRandomAction() {
        WorkerId worker = WorkerId.of(WORKERS[random.nextInt(WORKERS.length)]);
        switch (random.nextInt(24)) {
            case 0, 1, 2, 3, 4 -> submitJob();
            case 5, 6, 7, 8, 9, 10 -> finishRandomRun(random.nextInt(6) == 0);
            case 11, 12 -> restart(worker.value());
            case 13 -> toggle(workers.disconnected, worker);
            case 14 -> toggle(workers.losingAnswers, worker);
            case 15 -> toggle(workers.losingConnections, worker);
            case 16 -> toggle(workers.refusing, worker);
            case 17, 18 -> toggleDelay(worker);
            case 19 -> cancelRandomJob();
            case 20 -> replaceScheduler();
            case 21 -> changeCap();
            case 22 -> store.fault = Fault.REFUSING;
            default -> store.fault = Fault.NONE;
        }
    }

    private void changeCap() {
        earlierCaps.addLast(new Cap(cap, time.monotonicMillis()));
        cap = MIN_CAP + random.nextInt(MAX_CAP - MIN_CAP + 1);
        capAccelerators(cap);
    }

    private void recordExcess() {
        int used = usedAccelerators();
        long oldestMillis = time.monotonicMillis() - CAP_KEPT_MILLIS;
        earlierCaps.removeIf(earlier -> earlier.replacedMillis() < oldestMillis);
        int highest =
                Math.max(cap, earlierCaps.stream().mapToInt(Cap::accelerators).max().orElse(0));
        if (used > highest) {
            excesses.add(used + " of " + highest + " at " + time.monotonicMillis());
        }
    }

    private int usedAccelerators() {
        return workers.running().values().stream()
                .flatMap(Set::stream)
                .mapToInt(task -> sizes.get(task.job()))
                .sum();
    }

    private void submitJob() {
        if (jobs.size() < MAX_JOBS) {
            JobId id = JobId.of(String.format("%016x", 0xf00 + jobs.size()));
            int size = 1 + random.nextInt(MAX_SIZE);
            boolean gang = random.nextInt(3) == 0;
            jobs.add(id);
            sizes.put(id, size);
            submit(id, 1 + random.nextInt(gang ? MIN_CAP / size : 8), size, gang);
        }
    }

    private void cancelRandomJob() {
        if (!jobs.isEmpty()) {
            store.write(Stream.JOBS, JobRecords.cancelled(jobs.get(random.nextInt(jobs.size()))));
        }
    }

    private void finishRandomRun(boolean fails) {
        List<Runnable> ends = new ArrayList<>();
        workers.running()
                .forEach(
                        (worker, tasks) ->
                                tasks.stream()
                                        .sorted((a, b) -> a.toString().compareTo(b.toString()))
                                        .forEach(
                                                task ->
                                                        ends.add(
                                                                () ->
                                                                        finish(
                                                                                worker, task,
                                                                                fails))));
        if (!ends.isEmpty()) {
            ends.get(random.nextInt(ends.size())).run();
        }
    }

    /** Ends a task and the other tasks that started with it, which have the same run number. */
    private void finish(WorkerId worker, TaskId endedTask, boolean fails) {
        long run = runOf(worker, endedTask);
        workers.running()
                .forEach(
                        (host, tasks) ->
                                tasks.stream()
                                        .filter(task -> task.job().equals(endedTask.job()))
                                        .filter(task -> runOf(host, task) == run)
                                        .forEach(
                                                task ->
                                                        workers.finish(
                                                                host.value(),
                                                                task,
                                                                fails
                                                                        ? RunEnd.FAILED
                                                                        : RunEnd.DONE)));
    }

    private long runOf(WorkerId host, TaskId task) {
        return workers.worker(host.value()).running.get(task);
    }

    private void restart(String worker) {
        workers.restart(worker);
        time.after(random.nextInt(2_500), () -> register(worker));
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

    private static void toggle(Set<WorkerId> set, WorkerId id) {
        if (!set.remove(id)) {
            set.add(id);
        }
    }

    private void toggleDelay(WorkerId id) {
        if (workers.lateMillis.remove(id) == null) {
            workers.lateMillis.put(id, 2_000L + random.nextInt(10_001));
        }
    }

    /** Ends all faults, and finishes runs until every job has ended. */
    private void recover() {
        store.fault = Fault.NONE;
        workers.disconnected.clear();
        workers.losingAnswers.clear();
        workers.losingConnections.clear();
        workers.refusing.clear();
        workers.lateMillis.clear();
        time.advance(RECOVERY_MILLIS);
        for (int i = 0; i < 10 * MAX_JOBS && !process.unendedOf(jobs).isEmpty(); i++) {
            finishRandomRun(false);
            time.advance(300);
        }
    }

    @Nested
    class RandomFaults {

        @ParameterizedTest
        @MethodSource("io.cardamomshelf.node.schedule.OrganisationCapsFuzzTest#seeds")
        void causeNoStartAboveTheCapAndNoUnendedJobs(long seed) {
            simulate(seed);
            assertEquals(List.of(), excesses);
            assertEquals(List.of(), process.unendedOf(jobs));
        }
    }
}
